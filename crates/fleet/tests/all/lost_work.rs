//! Requests that servers never begin, and the share of the workspaces that sent them.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, failure_reason, prompt, sent_to, submission};

/// Workspace whose requests reach the engine that goes dark.
const STRUCK: u64 = 1;
/// Requests of that workspace; together far more than its guaranteed share.
const REQUESTS: u64 = 20;

/// Sends requests of a workspace to the only engine, which begins none of them.
fn send_to_dark_engine(fleet: &mut Fleet, now: Instant) {
    for key in 0..REQUESTS {
        let request = submission(key, STRUCK, prompt(1, 100), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        assert!(sent_to(&decisions).is_some(), "{decisions:?}");
    }
    // Another workspace asks for as much, so that the throughput is shared.
    for key in REQUESTS..2 * REQUESTS {
        fleet.handle(now, Event::Submit(submission(key, 2, prompt(2, 100), now)));
    }
}

/// Returns a router that has sent a request of each workspace, so that its reports tell changes.
fn other_router(now: Instant) -> Fleet {
    let mut other = support::router("other", 1, now);
    for workspace in [STRUCK, 2] {
        let request = submission(10_000 + workspace, workspace, prompt(1, 100), now);
        other.handle(now, Event::Submit(request));
    }
    other
}

fn fail(fleet: &mut Fleet, now: Instant, outcome: Outcome) {
    for key in 0..REQUESTS {
        fleet.handle(now, Event::Ended(RequestKey(key), outcome));
    }
}

/// Returns the share status, as the reason of a refusal says it, of one more request while no
/// engine has room.
fn refusal(fleet: &mut Fleet, now: Instant) -> Option<Reason> {
    let mut request = submission(1_000, STRUCK, prompt(1, 100), now);
    request.target = now;
    failure_reason(&fleet.handle(now, Event::Submit(request)))
}

/// Guards against a workspace that loses its share to requests which no server began: those sent to
/// engines that went dark.
#[test]
fn silent_requests_do_not_use_up_share() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    send_to_dark_engine(&mut fleet, start);
    assert_eq!(refusal(&mut fleet, start), Some(Reason::OverShare));
    let now = start + Duration::from_millis(800);
    fail(&mut fleet, now, Outcome::Left);
    assert_eq!(refusal(&mut fleet, now), Some(Reason::Busy));
}

/// The same for requests at another router, of which reports tell.
#[test]
fn silent_requests_at_other_router_do_not_use_up_share() {
    let start = Instant::now();
    let mut other = other_router(start);
    let mut fleet = support::router("r", 1, start);
    let mut exchange = |other: &mut Fleet, now| {
        let report = other.report(now, Scope::All);
        fleet.handle(now, Event::Report(report));
        refusal(&mut fleet, now)
    };
    exchange(&mut other, start);
    send_to_dark_engine(&mut other, start);
    assert_eq!(exchange(&mut other, start), Some(Reason::OverShare));
    let now = start + Duration::from_millis(800);
    fail(&mut other, now, Outcome::Left);
    assert_eq!(exchange(&mut other, now), Some(Reason::Busy));
}

/// The same for requests at a router that was killed.
#[test]
fn requests_of_silent_router_do_not_use_up_share() {
    let start = Instant::now();
    let mut other = other_router(start);
    let mut fleet = support::router("r", 1, start);
    fleet.handle(start, Event::Report(other.report(start, Scope::All)));
    send_to_dark_engine(&mut other, start);
    fleet.handle(start, Event::Report(other.report(start, Scope::All)));
    assert_eq!(refusal(&mut fleet, start), Some(Reason::OverShare));
    let later = start + Duration::from_secs(2);
    fleet.handle(later, Event::Tick);
    // The engine has nothing else to do, as far as reports tell.
    assert_eq!(refusal(&mut fleet, later), None);
}

#[test]
fn begun_requests_use_up_share() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    send_to_dark_engine(&mut fleet, start);
    for key in 0..REQUESTS {
        fleet.handle(start, Event::FirstByte(RequestKey(key)));
    }
    fail(&mut fleet, start, Outcome::Answered);
    assert_eq!(refusal(&mut fleet, start), Some(Reason::OverShare));
}
