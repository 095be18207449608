//! Tests the report and the audit of a load.

use std::time::{Duration, Instant};

use hibiscusrail_load::audit::Audit;
use hibiscusrail_load::client::{CallerResult, Ending, Kind};
use hibiscusrail_load::report::Report;
use hibiscusrail_standin::runs::Run;

fn received(id: &str, kind: Kind, ending: Ending, millis: u64) -> CallerResult {
    CallerResult {
        id: id.to_owned(),
        workspace: "w".to_owned(),
        kind,
        idempotency_key: None,
        started: Instant::now(),
        ending,
        status: 200,
        code: String::new(),
        first_byte: Duration::from_millis(millis),
        total: Duration::from_millis(2 * millis),
    }
}

fn run(id: &str, complete: bool) -> Run {
    Run {
        request: id.to_owned(),
        workspace: "w".to_owned(),
        key: None,
        start_ms: 0,
        first_output_ms: None,
        end_ms: None,
        prefill_tokens: 0,
        output_tokens: 1,
        complete,
        running: 1,
        capacity: 1,
    }
}

#[test]
fn report_of_mixed_endings() {
    let mut refused = received("c", Kind::Lookup, Ending::NotRun, 1);
    refused.code = "queue_full".to_owned();
    let report = Report::new(&[
        received("a", Kind::Draft, Ending::Right, 100),
        received("b", Kind::Draft, Ending::Right, 200),
        refused,
        received("d", Kind::Lookup, Ending::Right, 5),
    ]);
    insta::assert_snapshot!(report.to_string(), @r"
    requests: 4
      Right: 3
      NotRun: 1
      code queue_full: 1
    Draft: 2 right
      first byte: p50 100.0 ms, p95 200.1 ms, p99 200.1 ms, max 200.1 ms
      total: p50 200.1 ms, p95 400.1 ms, p99 400.1 ms, max 400.1 ms
    Lookup: 1 right
      first byte: p50 5.0 ms, p95 5.0 ms, p99 5.0 ms, max 5.0 ms
      total: p50 10.0 ms, p95 10.0 ms, p99 10.0 ms, max 10.0 ms
    ");
    insta::assert_snapshot!(serde_json::to_string(&report.times[&Kind::Lookup]).expect("JSON"), @r#"{"first_byte":{"count":1,"p50":5003,"p95":5003,"p99":5003,"max":5003},"total":{"count":1,"p50":10007,"p95":10007,"p99":10007,"max":10007}}"#);
}

#[test]
fn audit_finds_each_violation() {
    let all = [
        received("wrong", Kind::Draft, Ending::Wrong, 1),
        received("doubled", Kind::Write, Ending::Right, 1),
        received("false", Kind::Write, Ending::NotRun, 1),
        received("never", Kind::Lookup, Ending::Right, 1),
        received("fine", Kind::Lookup, Ending::Right, 1),
        received("refused", Kind::Write, Ending::NotRun, 1),
    ];
    let runs = [
        run("wrong", true),
        run("doubled", true),
        run("doubled", false),
        run("false", false),
        run("never", false),
        run("fine", true),
        run("fine", true),
    ];
    let audit = Audit::new(&all, &runs);
    assert_eq!(audit.wrong, ["wrong"]);
    assert_eq!(audit.doubled, ["doubled"]);
    assert_eq!(audit.false_not_run, ["false"]);
    assert_eq!(audit.not_run_answered, ["never"]);
}

#[test]
fn audit_retry_refused_after_run() {
    let all = [
        received("a", Kind::Write, Ending::Unknown, 1),
        received("a", Kind::Write, Ending::NotRun, 1),
    ];
    assert_eq!(Audit::new(&all, &[run("a", true)]).violations(), 0);
}
