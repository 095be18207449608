//! Handling of requests whose attempts failed.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::{Execution, Reason};
use hibiscusrail_fleet::objects::Repeat;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, failure_reason, plain, prompt, sent_to, submission};

/// Submits a plain request, ends its attempts with `outcomes`, and returns the last decisions.
fn fail(repeat: Repeat, outcomes: &[Outcome]) -> Vec<Decision> {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    let mut last = fleet.handle(now, Event::Submit(plain(1, repeat, now)));
    for outcome in outcomes {
        assert!(
            sent_to(&last).is_some(),
            "no request was sent that could end with {outcome:?}"
        );
        last = fleet.handle(now, Event::Ended(RequestKey(1), *outcome));
    }
    last
}

fn execution(decisions: &[Decision]) -> Option<Execution> {
    decisions.iter().find_map(|d| match d {
        Decision::Fail { execution, .. } => Some(*execution),
        _ => None,
    })
}

#[test]
fn ended_unsafe_retry_is_not_sent() {
    for outcome in [Outcome::Broken, Outcome::Expired] {
        let decisions = fail(Repeat::Once, &[outcome]);
        assert_eq!(execution(&decisions), Some(Execution::Unknown));
    }
    let decisions = fail(Repeat::Once, &[Outcome::Failed]);
    assert_eq!(execution(&decisions), Some(Execution::Failed));
}

#[test]
fn ended_request_not_run_is_retried() {
    for outcome in [Outcome::NotRun, Outcome::Misdirected, Outcome::Unreachable] {
        assert!(sent_to(&fail(Repeat::Once, &[outcome])).is_some());
    }
}

#[test]
fn ended_not_run_only_if_no_attempt_may_have_run() {
    let refused = fail(Repeat::Once, &[Outcome::NotRun, Outcome::NotRun]);
    assert_eq!(execution(&refused), Some(Execution::NotRun));
    let broken = fail(Repeat::Idempotent, &[Outcome::Broken, Outcome::NotRun]);
    assert_eq!(execution(&broken), Some(Execution::Unknown));
}

#[test]
fn ended_attempts_limited_by_route() {
    let decisions = fail(Repeat::Idempotent, &[Outcome::Failed, Outcome::Failed]);
    assert_eq!(failure_reason(&decisions), Some(Reason::Exhausted));
}

#[test]
fn ended_unreachable_server_is_no_attempt() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    let mut request = plain(1, Repeat::Once, now);
    request.max_attempts = 1;
    let mut decisions = fleet.handle(now, Event::Submit(request));
    for _ in 0..2 {
        assert!(sent_to(&decisions).is_some(), "{decisions:?}");
        decisions = fleet.handle(now, Event::Ended(RequestKey(1), Outcome::Unreachable));
    }
    assert!(sent_to(&decisions).is_some(), "the third server is tried");
    let decisions = fleet.handle(now, Event::Ended(RequestKey(1), Outcome::Unreachable));
    assert_eq!(execution(&decisions), Some(Execution::NotRun));
}

#[test]
fn ended_broken_stream_resumes_if_resumable() {
    let now = Instant::now();
    for resumable in [true, false] {
        let mut fleet = support::router("r", 3, now);
        let mut request = submission(1, 1, prompt(1, 10), now);
        request.resumable = resumable;
        fleet.handle(now, Event::Submit(request));
        fleet.handle(now, Event::FirstByte(RequestKey(1)));
        let decisions = fleet.handle(now, Event::Ended(RequestKey(1), Outcome::Broken));
        assert_eq!(sent_to(&decisions).is_some(), resumable);
    }
}

#[test]
fn ended_after_deadline_is_expired() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    fleet.handle(now, Event::Submit(plain(1, Repeat::Idempotent, now)));
    let late = now + Duration::from_secs(3);
    let decisions = fleet.handle(late, Event::Ended(RequestKey(1), Outcome::Expired));
    assert_eq!(failure_reason(&decisions), Some(Reason::Expired));
}

#[test]
fn ended_caller_disconnected_releases_server() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    fleet.handle(now, Event::Submit(plain(1, Repeat::Idempotent, now)));
    let running =
        |fleet: &Fleet| -> u32 { fleet.registry().all().map(|s| s.own_load.running).sum() };
    assert_eq!(running(&fleet), 1);
    fleet.handle(now, Event::Ended(RequestKey(1), Outcome::Left));
    assert_eq!(running(&fleet), 0);
    assert_eq!(fleet.requests(), 0);
}

#[test]
fn submit_without_configuration_is_not_run() {
    let now = Instant::now();
    let mut fleet = Fleet::new("r", 1, support::params(), now);
    let decisions = fleet.handle(now, Event::Submit(plain(1, Repeat::Once, now)));
    assert_eq!(execution(&decisions), Some(Execution::NotRun));
}

/// Guards against a 502 for a request that was admitted before and whose server broke after its
/// target, since a new request would be refused then.
#[test]
fn ended_broken_request_is_retried_without_limits_on_new_ones() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let first = fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    let first = sent_to(&first).expect("an engine is free").to_owned();
    let late = now + Duration::from_millis(1_200);
    support::hear_servers(&mut fleet, late);
    for key in 10..60 {
        fleet.handle(
            late,
            Event::Submit(submission(key, 1, prompt(key, 4_000), late)),
        );
    }
    let refused = fleet.handle(late, Event::Submit(submission(100, 1, prompt(1, 10), now)));
    assert!(failure_reason(&refused).is_some(), "{refused:?}");
    let retried = fleet.handle(late, Event::Ended(RequestKey(1), Outcome::Broken));
    let second = sent_to(&retried).expect("the other engine has free slots");
    assert_ne!(first, second);
}

/// Guards against a server that is used on and on while it sends bytes without end: each of its answers
/// costs a caller its time, and the router as many bytes as an answer may have.
#[test]
fn ended_oversized_pauses_server() {
    for (outcome, is_paused) in [(Outcome::Invalid, false), (Outcome::Oversized, true)] {
        let now = Instant::now();
        let mut fleet = support::router("r", 1, now);
        let mut send = |key| {
            let request = submission(key, 1, prompt(key, 10), now);
            let decisions = fleet.handle(now, Event::Submit(request));
            let is_sent = sent_to(&decisions).is_some();
            fleet.handle(now, Event::Ended(RequestKey(key), outcome));
            is_sent
        };
        assert!(send(1) && send(2));
        assert_eq!(send(3), !is_paused, "{outcome:?}");
        let later = now + Duration::from_secs(1);
        let request = submission(4, 1, prompt(4, 10), later);
        let decisions = fleet.handle(later, Event::Submit(request));
        assert!(sent_to(&decisions).is_some(), "{outcome:?}");
    }
}
