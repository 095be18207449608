//! Requests with a prompt part that crashes each engine which begins to answer them.
//!
//! Requests with the part come at any router, each with other shared parts beside it, which sound
//! requests share.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::{Part, Prompt};
use hibiscusrail_fleet::event::{Execution, Reason};
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, failure_reason, sent_to, submission};

/// Part that crashes engines.
const DEADLY: u64 = 666;

/// Returns a prompt with the shared parts and a part of its own.
fn prompt(shared: &[u64]) -> Prompt {
    let shared = shared.iter().map(|id| Part {
        id: *id,
        tokens: 500,
    });
    let own = Part {
        id: u64::MAX,
        tokens: 10,
    };
    let parts: Vec<Part> = shared.chain([own]).collect();
    Prompt {
        input: parts.iter().map(|p| p.tokens).sum(),
        output: 10,
        parts,
    }
}

/// Submits a request that can't be resumed and returns the decisions.
fn submit(fleet: &mut Fleet, key: u64, shared: &[u64], now: Instant) -> Vec<Decision> {
    let mut request = submission(key, 1, prompt(shared), now);
    request.resumable = false;
    fleet.handle(now, Event::Submit(request))
}

/// Submits a request whose engine crashes, and removes that engine; returns whether it was sent.
fn crash(fleet: &mut Fleet, key: u64, shared: &[u64], now: Instant) -> bool {
    crash_request(fleet, key, key, shared, now)
}

/// Like [`crash`], for a request with the fingerprint.
fn crash_request(
    fleet: &mut Fleet,
    key: u64,
    fingerprint: u64,
    shared: &[u64],
    now: Instant,
) -> bool {
    let mut request = submission(key, 1, prompt(shared), now);
    request.resumable = false;
    request.fingerprint = fingerprint;
    let decisions = fleet.handle(now, Event::Submit(request));
    let Some(engine) = sent_to(&decisions).map(str::to_owned) else {
        return false;
    };
    fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Broken));
    let mut servers = fleet.registry().entries(now);
    servers.remove(&engine);
    let revision = Revision(fleet.registry().revision().0 + 1);
    fleet.handle(now, Event::Servers(revision, servers));
    true
}

/// Submits a request that is answered completely.
fn answer(fleet: &mut Fleet, key: u64, shared: &[u64], now: Instant) {
    let decisions = submit(fleet, key, shared, now);
    assert!(sent_to(&decisions).is_some(), "{decisions:?}");
    fleet.handle(now, Event::FirstByte(RequestKey(key)));
    fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Answered));
}

/// Returns a router that last answered a request, with these shared parts, a minute ago.
fn rested_router(name: &str, shared: &[u64], now: Instant) -> Fleet {
    let earlier = now.checked_sub(Duration::from_secs(60));
    let earlier = earlier.expect("the clock has run for a minute");
    let mut fleet = support::router(name, 16, earlier);
    answer(&mut fleet, 1, shared, earlier);
    support::hear_servers(&mut fleet, now);
    fleet
}

#[test]
fn part_that_crashed_three_engines_is_quarantined() {
    let now = Instant::now();
    let mut fleet = support::router("r", 16, now);
    let crashes = (0..8).filter(|key| crash(&mut fleet, *key, &[1, DEADLY], now));
    assert_eq!(crashes.count(), 3);
    let refused = submit(&mut fleet, 100, &[2, DEADLY], now);
    assert_eq!(failure_reason(&refused), Some(Reason::Quarantined));
    let execution = refused.iter().find_map(|d| match d {
        Decision::Fail { execution, .. } => Some(*execution),
        _ => None,
    });
    assert_eq!(execution, Some(Execution::NotRun));
}

#[test]
fn part_that_crashed_engines_at_several_routers_is_quarantined() {
    let now = Instant::now();
    let mut routers: Vec<Fleet> = ["a", "b", "c"]
        .iter()
        .map(|name| support::router(name, 16, now))
        .collect();
    let mut engines = Vec::new();
    for (number, fleet) in routers.iter_mut().enumerate() {
        let key = u64::try_from(number).expect("it is small");
        // Each crash hits an engine that no other router has lost yet.
        let mut servers = support::servers(16);
        servers.retain(|id, _| !engines.contains(id));
        fleet.handle(now, Event::Servers(Revision(2), servers));
        let decisions = submit(fleet, key, &[key, DEADLY], now);
        engines.extend(sent_to(&decisions).map(str::to_owned));
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Broken));
    }
    for sender in 0..routers.len() {
        let report = routers[sender].report(now, Scope::All);
        for receiver in (0..routers.len()).filter(|r| *r != sender) {
            routers[receiver].handle(now, Event::Report(report.clone()));
        }
    }
    for fleet in &mut routers {
        let refused = submit(fleet, 100, &[9, DEADLY], now);
        assert_eq!(failure_reason(&refused), Some(Reason::Quarantined));
    }
}

#[test]
fn parts_beside_deadly_part_stay_in_use() {
    let now = Instant::now();
    let mut fleet = support::router("r", 16, now);
    for key in 0..8 {
        crash(&mut fleet, 2 * key, &[1, DEADLY], now);
        answer(&mut fleet, 2 * key + 1, &[1, 10 + key], now);
    }
    let sound = submit(&mut fleet, 100, &[1, 99], now);
    assert!(sent_to(&sound).is_some(), "{sound:?}");
}

// Guards against LOST: a workspace that came back with a deadly part had its sound parts
// quarantined too, as its last answers were too long ago to clear them.
#[test]
fn parts_beside_deadly_part_stay_in_use_after_rest() {
    let now = Instant::now();
    let mut fleet = rested_router("r", &[1, 2], now);
    for key in 10..13 {
        assert!(crash(&mut fleet, key, &[1, 2, DEADLY], now));
    }
    let sound = submit(&mut fleet, 100, &[1, 2], now);
    assert!(sent_to(&sound).is_some(), "{sound:?}");
    for (key, shared) in [(101, &[1, 2, DEADLY][..]), (102, &[9, DEADLY])] {
        let refused = submit(&mut fleet, key, shared, now);
        assert_eq!(failure_reason(&refused), Some(Reason::Quarantined));
    }
}

// Guards against LOST: the same where one request crashes engines each time that it comes again.
#[test]
fn parts_of_deadly_request_stay_in_use_after_rest() {
    let now = Instant::now();
    let mut fleet = rested_router("r", &[1, 2], now);
    for key in 10..13 {
        let sent = crash_request(&mut fleet, key, 7, &[1, 2], now);
        assert!(sent, "request {key} is refused");
    }
    let sound = submit(&mut fleet, 100, &[1, 2], now);
    assert!(sent_to(&sound).is_some(), "{sound:?}");
    assert!(!crash_request(&mut fleet, 101, 7, &[1, 2], now));
}

// Guards against BUDGET: answers of long ago must not protect a part that crashes engines by now.
#[test]
fn part_answered_long_ago_that_crashes_engines_is_quarantined() {
    let now = Instant::now();
    let mut fleet = rested_router("r", &[1, 2], now);
    let crashes = (10..20).filter(|key| crash(&mut fleet, *key, &[1, 100 + key], now));
    assert_eq!(crashes.count(), 3);
    let refused = submit(&mut fleet, 100, &[1, 2], now);
    assert_eq!(failure_reason(&refused), Some(Reason::Quarantined));
}

// Guards against BUDGET: the part that a request does not have explains its failures no longer once
// an engine crashes on the request.
#[test]
fn part_beside_innocent_new_part_is_quarantined_at_next_crash() {
    let now = Instant::now();
    let mut fleet = rested_router("r", &[1, 2], now);
    for key in 10..13 {
        assert!(crash(&mut fleet, key, &[1, 5], now));
    }
    let crashes = (20..30).filter(|key| crash(&mut fleet, *key, &[1, 2], now));
    assert_eq!(crashes.count(), 1);
}

// Guards against LOST: a router that never saw the sound parts answered follows one that did.
#[test]
fn parts_beside_deadly_part_are_cleared_by_router_that_knows_them() {
    let now = Instant::now();
    let mut fleet = rested_router("r", &[], now);
    let mut other = rested_router("other", &[1, 2], now);
    for key in 10..13 {
        assert!(crash(&mut fleet, key, &[1, 2, DEADLY], now));
    }
    let report = fleet.report(now, Scope::All);
    other.handle(now, Event::Report(report));
    answer(&mut other, 20, &[1, 2], now);
    let report = other.report(now, Scope::All);
    fleet.handle(now, Event::Report(report));
    let sound = submit(&mut fleet, 100, &[1, 2], now);
    assert!(sent_to(&sound).is_some(), "{sound:?}");
    for router in [&mut fleet, &mut other] {
        let refused = submit(router, 101, &[1, 2, DEADLY], now);
        assert_eq!(failure_reason(&refused), Some(Reason::Quarantined));
    }
}

#[test]
fn part_answered_at_another_router_is_cleared() {
    let now = Instant::now();
    let mut fleet = support::router("r", 16, now);
    let mut other = support::router("other", 16, now);
    answer(&mut other, 1, &[1, 2], now);
    for key in 0..3 {
        crash(&mut fleet, key, &[1, 2], now);
    }
    let report = fleet.report(now, Scope::All);
    other.handle(now, Event::Report(report));
    let report = other.report(now, Scope::All);
    fleet.handle(now, Event::Report(report));
    let sent = submit(&mut fleet, 100, &[1, 2], now);
    assert!(sent_to(&sent).is_some(), "{sent:?}");
}

#[test]
fn quarantine_ends_after_time() {
    let now = Instant::now();
    let mut fleet = support::router("r", 16, now);
    for key in 0..3 {
        crash(&mut fleet, key, &[1, DEADLY], now);
    }
    let later = now + Duration::from_secs(31);
    let sent = submit(&mut fleet, 100, &[1, DEADLY], later);
    assert!(sent_to(&sent).is_some(), "{sent:?}");
}

#[test]
fn stream_that_breaks_after_several_events_accuses_no_part() {
    let now = Instant::now();
    let mut fleet = support::router("r", 16, now);
    for key in 0..6 {
        let sent = submit(&mut fleet, key, &[1, 2], now);
        assert!(sent_to(&sent).is_some(), "{sent:?}");
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
        for _ in 0..3 {
            let (key, gap) = (RequestKey(key), Duration::from_millis(10));
            fleet.handle(
                now,
                Event::StreamProgress {
                    key,
                    gap,
                    tokens: 7,
                },
            );
        }
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Broken));
    }
    let sent = submit(&mut fleet, 100, &[1, 2], now);
    assert!(sent_to(&sent).is_some(), "{sent:?}");
}
