//! Tests the figures of experiments on hand-made records.

use hibiscusrail_load::deployment::{Deployment, ServerSpec, WorkspaceSpec};
use hibiscusrail_load::experiment::contention::ContentionRun;
use hibiscusrail_load::experiment::lab::ServerRuns;
use hibiscusrail_load::experiment::service::{ServiceSeries, slot_seconds};
use hibiscusrail_load::experiment::verdict::Verdict;
use hibiscusrail_load::metrics::Metrics;
use hibiscusrail_standin::runs::Run;

const START_MS: u64 = 10_000;

/// Returns a run from `start` to `end`, in milliseconds after the start of the load.
fn run(workspace: &str, start: u64, end: Option<u64>, output_tokens: u64) -> Run {
    Run {
        request: String::new(),
        workspace: workspace.to_owned(),
        key: None,
        start_ms: START_MS + start,
        first_output_ms: Some(START_MS + start),
        end_ms: end.map(|ms| START_MS + ms),
        prefill_tokens: 0,
        output_tokens,
        complete: end.is_some(),
        running: 1,
        capacity: 1,
    }
}

/// Returns an engine with a limit of two requests when cold and four when warm.
fn engine(runs: Vec<Run>) -> ServerRuns {
    let mut servers = Deployment::small().with_engine_limits(2, 4).servers;
    let server: ServerSpec = servers.swap_remove(0);
    ServerRuns {
        server,
        runs,
        refused: 0,
    }
}

fn contention(runs: Vec<Run>) -> ContentionRun {
    let workspace = |name: &str, share| WorkspaceSpec {
        name: name.to_owned(),
        share,
    };
    ContentionRun {
        policy: "fleet_fair".to_owned(),
        workspaces: vec![workspace("a", 1.0), workspace("b", 3.0)],
        servers: vec![engine(runs)],
        start_ms: START_MS,
        warm_ms: START_MS,
        end_ms: START_MS + 1_000,
        received: Vec::new(),
    }
}

fn close(measured: f64, expected: f64) -> bool {
    (measured - expected).abs() < 1e-9
}

#[test]
fn series_spreads_work_over_time() {
    let servers = [engine(vec![run("a", 250, Some(750), 100)])];
    let series = ServiceSeries::new(&servers, START_MS, START_MS + 1_000);
    assert_eq!(series.cumulative("a"), [0.0, 50.0, 100.0, 100.0]);
}

#[test]
fn series_counts_unfinished_run() {
    let servers = [engine(vec![run("a", 500, None, 100)])];
    let series = ServiceSeries::new(&servers, START_MS, START_MS + 1_000);
    assert!(close(series.total(0..series.len()), 100.0));
}

#[test]
fn gap_of_service_by_share_is_zero() {
    let fair = contention(vec![
        run("a", 0, Some(1_000), 100),
        run("b", 0, Some(1_000), 300),
    ]);
    let figures = fair.figures();
    assert!(close(figures.gap_s, 0.0) && close(figures.portion, 0.0));
}

#[test]
fn gap_of_equal_service_at_unequal_shares() {
    let unfair = contention(vec![
        run("a", 0, Some(1_000), 100),
        run("b", 0, Some(1_000), 100),
    ]);
    let figures = unfair.figures();
    // 200 tokens/s over four shares: "a" got the service of two seconds, "b" of 2/3 s.
    assert!(close(figures.gap_s, 4.0 / 3.0), "{}", figures.gap_s);
    assert!(close(figures.portion, 1.0), "{}", figures.portion);
}

#[test]
fn gap_counts_a_workspace_without_service() {
    let starved = contention(vec![run("a", 0, Some(1_000), 100)]);
    assert!(close(starved.figures().gap_s, 4.0));
}

#[test]
fn slot_seconds_grow_with_completed_work() {
    let runs = vec![
        run("a", 0, Some(500), 1),
        run("a", 0, Some(500), 1),
        run("a", 500, Some(1_000), 1),
    ];
    let (used, available) = slot_seconds(&[engine(runs)], START_MS, START_MS + 1_000);
    assert!(close(used, 1.5));
    // The limit is two for half a second, then three after two of the four requests to be warm.
    assert!(close(available, 2.5), "{available}");
}

#[test]
fn verdict_nan_is_short() {
    assert!(!Verdict::at_most("a", f64::NAN, 1.0).ok);
    assert!(!Verdict::at_least("a", f64::NAN, 1.0).ok);
    let line = Verdict::at_most("a", 0.5, 2.0).to_string();
    assert_eq!(line, "a measured=0.5000 bound=2 ok");
}

#[test]
fn metrics_parse_labels() {
    let page = "# HELP x y\nx{direction=\"sent\",kind=\"grant\"} 3\nx{direction=\"sent\",kind=\"demand\"} 4\ny 1.5\n";
    let metrics = Metrics::parse(page);
    assert!(close(metrics.sums_by_label("x", "kind")["grant"], 3.0));
    assert!(close(metrics.sum("x"), 7.0) && close(metrics.sum("y"), 1.5));
}
