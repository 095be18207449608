//! Many routers choose among the same engines within milliseconds.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, prompt, sent_to, submission};

/// Delivers a router's incremental report to all other routers.
fn deliver(fleets: &mut [Fleet], sender: usize, now: Instant) {
    let Some(report) = fleets[sender].incremental_report(now) else {
        return;
    };
    for (number, fleet) in fleets.iter_mut().enumerate() {
        if number != sender {
            fleet.handle(now, Event::Report(report.clone()));
        }
    }
}

/// Has eight routers send a long prompt each, and returns the number of engines they use.
fn engines_used(with_reports: bool) -> usize {
    let now = Instant::now();
    let mut fleets: Vec<Fleet> = (0..8)
        .map(|n| support::router(&format!("r{n}"), 8, now))
        .collect();
    let mut used = BTreeSet::new();
    for number in 0..fleets.len() {
        // The prompts share a prefix, so without reports all routers choose its preferred engine.
        let request = submission(1, 1, prompt(7, 20_000), now);
        let decisions = fleets[number].handle(now, Event::Submit(request));
        used.insert(sent_to(&decisions).expect("engines are idle").to_owned());
        if with_reports {
            deliver(&mut fleets, number, now);
        }
    }
    used.len()
}

#[test]
fn incremental_report_spreads_choices() {
    assert_eq!(engines_used(false), 1);
    assert_eq!(engines_used(true), 8);
}

#[test]
fn incremental_report_lists_each_request_once() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    assert!(!fleet.has_incremental_report() && fleet.incremental_report(now).is_none());
    fleet.handle(now, Event::Submit(submission(1, 1, prompt(7, 500), now)));
    assert!(fleet.has_incremental_report());
    let report = fleet.incremental_report(now).expect("something was sent");
    assert!(report.incremental && report.loads.len() == 1 && report.placed.len() == 1);
    assert!(fleet.incremental_report(now).is_none());
}

#[test]
fn incremental_report_keeps_other_loads() {
    let now = Instant::now();
    let mut sender = support::router("sender", 4, now);
    let mut fleet = support::router("r", 4, now);
    sender.handle(now, Event::Submit(submission(1, 1, prompt(1, 9_000), now)));
    fleet.handle(now, Event::Report(sender.report(now, Scope::All)));
    assert!(
        sender.incremental_report(now).is_some(),
        "already part of the full report"
    );
    sender.handle(now, Event::Submit(submission(2, 1, prompt(2, 9_000), now)));
    let report = sender.incremental_report(now).expect("something was sent");
    fleet.handle(now, Event::Report(report));
    let peer: u64 = fleet
        .registry()
        .all()
        .map(|s| s.peer_load.pending_prefill)
        .sum();
    let own: u64 = sender
        .registry()
        .all()
        .map(|s| s.own_load.pending_prefill)
        .sum();
    assert_eq!(peer, own);
}

#[test]
fn incremental_report_older_than_full_report_is_ignored() {
    let now = Instant::now();
    let mut sender = support::router("sender", 4, now);
    let mut fleet = support::router("r", 4, now);
    sender.handle(now, Event::Submit(submission(1, 1, prompt(1, 9_000), now)));
    let older = sender.incremental_report(now).expect("something was sent");
    sender.handle(now, Event::FirstByte(RequestKey(1)));
    sender.handle(now, Event::Ended(RequestKey(1), Outcome::Answered));
    fleet.handle(now, Event::Report(sender.report(now, Scope::All)));
    fleet.handle(now, Event::Report(older));
    let running: u32 = fleet.registry().all().map(|s| s.peer_load.running).sum();
    assert_eq!(running, 0);
}

#[test]
fn incremental_report_expires() {
    let now = Instant::now();
    let mut sender = support::router("sender", 4, now);
    let mut fleet = support::router("r", 4, now);
    sender.handle(now, Event::Submit(submission(1, 1, prompt(1, 9_000), now)));
    let report = sender.incremental_report(now).expect("something was sent");
    fleet.handle(now, Event::Report(report));
    let later = now + Duration::from_secs(2);
    fleet.handle(later, Event::Tick);
    let running: u32 = fleet.registry().all().map(|s| s.peer_load.running).sum();
    assert_eq!(running, 0);
}

#[test]
fn incremental_report_without_store_age() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    // More routers than the two that would read from the store in this router's place.
    for number in 0..8 {
        let mut sender = support::router(&format!("s{number}"), 4, now);
        sender.handle(now, Event::Submit(submission(1, 1, prompt(1, 9_000), now)));
        let report = sender.incremental_report(now).expect("something was sent");
        fleet.handle(now, Event::Report(report));
    }
    assert!(fleet.reads_store(now));
}
