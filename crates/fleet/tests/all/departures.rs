//! Servers that leave while a router has not read the list that says so: it follows another router
//! and fetches the list only after a report, or the routers that it follows can't reach the store.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::{Revision, Servers};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet};

use super::support::{self, prompt, sent_to, submission};

/// Returns the registrations of two engines, of which `e0` is leaving.
fn leaving() -> Servers {
    let mut servers = support::servers(2);
    servers.get_mut("e0").expect("it is registered").leaving = true;
    servers
}

/// Returns the registrations without `e0`.
fn removed() -> Servers {
    let mut servers = support::servers(2);
    servers.remove("e0");
    servers
}

/// Returns a router that has received the report of one that read `servers` `delay` before.
fn follower(servers: Servers, delay: Duration, now: Instant) -> Fleet {
    let mut reader = support::router("reader", 2, now);
    let mut follower = support::router("follower", 2, now);
    reader.handle(now, Event::Servers(Revision(2), servers));
    let report = reader.report(now + delay, Scope::All);
    follower.handle(now + delay, Event::Report(report));
    follower
}

/// Returns whether any of many requests with different prefixes is sent to `e0`.
fn uses_first_engine(fleet: &mut Fleet, now: Instant) -> bool {
    (0..20).any(|key| {
        let request = submission(key, 1, prompt(key, 10), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        sent_to(&decisions) == Some("e0")
    })
}

#[test]
fn report_of_leaving_server_withdraws_it() {
    let now = Instant::now();
    let mut follower = follower(leaving(), Duration::ZERO, now);
    assert!(!uses_first_engine(&mut follower, now));
}

#[test]
fn report_of_removed_server_withdraws_it() {
    let now = Instant::now();
    let mut follower = follower(removed(), Duration::ZERO, now);
    assert!(!uses_first_engine(&mut follower, now));
}

#[test]
fn report_of_leaving_server_stops_request_before_it_is_sent() {
    let now = Instant::now();
    let mut follower = support::router("follower", 2, now);
    let mut reader = support::router("reader", 2, now);
    let key = follower
        .registry()
        .of_service(support::ENGINES)
        .find(|(_, server)| server.id == "e0")
        .map(|(key, _)| key)
        .expect("it is registered");
    assert!(follower.may_send(now, key, false));
    reader.handle(now, Event::Servers(Revision(2), leaving()));
    let report = reader.report(now, Scope::Zone);
    follower.handle(now, Event::Report(report));
    assert!(!follower.may_send(now, key, false));
}

#[test]
fn report_repeats_departure_after_lost_datagrams() {
    let now = Instant::now();
    let mut follower = follower(leaving(), Duration::from_millis(1_500), now);
    assert!(!uses_first_engine(&mut follower, now));
}

#[test]
fn report_of_departure_is_passed_on() {
    let now = Instant::now();
    let mut follower = follower(leaving(), Duration::ZERO, now);
    let mut third = support::router("third", 2, now);
    follower.handle(now, Event::Servers(Revision(2), leaving()));
    let report = follower.report(now, Scope::All);
    third.handle(now, Event::Report(report));
    assert!(!uses_first_engine(&mut third, now));
}

#[test]
fn newer_list_overrides_reported_departure() {
    let now = Instant::now();
    let mut follower = follower(removed(), Duration::ZERO, now);
    follower.handle(now, Event::Servers(Revision(3), support::servers(2)));
    assert!(uses_first_engine(&mut follower, now));
}

#[test]
fn report_of_older_list_withdraws_nothing() {
    let now = Instant::now();
    let mut reader = support::router("reader", 2, now);
    let mut follower = support::router("follower", 2, now);
    reader.handle(now, Event::Servers(Revision(2), removed()));
    follower.handle(now, Event::Servers(Revision(3), support::servers(2)));
    let report = reader.report(now, Scope::All);
    follower.handle(now, Event::Report(report));
    assert!(uses_first_engine(&mut follower, now));
}

/// Time after a server's departure from which no request may be sent to it.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Handles ticks until the bound on a departure at `left` has passed, and returns the time then.
fn tick_past_bound(fleet: &mut Fleet, left: Instant) -> Instant {
    let end = left + DRAIN_BOUND + Duration::from_millis(50);
    let mut now = left;
    while now < end {
        now += fleet.report_period();
        fleet.handle(now, Event::Tick);
    }
    now
}

// Guards against DRAIN broken by a follower that had no new list since an outage of the store: it
// took the next server that left for one whose registration had expired in the outage.
#[test]
fn removal_long_after_outage_is_no_expiry() {
    let start = Instant::now();
    let mut fleet = support::router("follower", 2, start);
    fleet.handle(start, Event::StoreFailed);
    let back = start + Duration::from_millis(1_600);
    fleet.handle(back, Event::StoreAnswered);
    let left = back + Duration::from_secs(4);
    fleet.handle(left, Event::Servers(Revision(2), removed()));
    let late = tick_past_bound(&mut fleet, left);
    assert!(!uses_first_engine(&mut fleet, late));
}

// Guards against DRAIN broken by a router whose calls to the store fail for its own late event loop
// while others are answered: it took a server that left for one that expired in an outage.
#[test]
fn removal_while_store_answers_others_is_no_expiry() {
    let start = Instant::now();
    let mut reader = support::router("reader", 2, start);
    let mut fleet = support::router("flooded", 2, start);
    fleet.handle(start, Event::StoreFailed);
    for ms in (100..1_500).step_by(100) {
        let now = start + Duration::from_millis(ms);
        reader.handle(now, Event::StoreAnswered);
        let report = reader.report(now, Scope::All);
        fleet.handle(now, Event::Report(report));
    }
    let left = start + Duration::from_millis(1_500);
    fleet.handle(left, Event::StoreAnswered);
    fleet.handle(left, Event::Servers(Revision(2), removed()));
    let late = tick_past_bound(&mut fleet, left);
    assert!(!uses_first_engine(&mut fleet, late));
}

// Guards against DRAIN broken by a router that fetches the list of one that keeps a server after an
// outage: the time for which the server is kept began anew at each router that took the list over.
#[test]
fn expired_server_is_dropped_with_router_that_kept_it() {
    let start = Instant::now();
    let mut reader = support::router("reader", 2, start);
    let mut follower = support::router("follower", 2, start);
    reader.handle(start, Event::StoreFailed);
    let back = start + Duration::from_secs(4);
    reader.handle(back, Event::StoreAnswered);
    reader.handle(back, Event::Servers(Revision(2), removed()));
    let fetched = back + Duration::from_secs(1);
    let entries = reader.registry().entries(fetched);
    follower.handle(fetched, Event::Servers(Revision(2), entries));
    let ended = back + Duration::from_millis(2_600);
    reader.handle(ended, Event::Tick);
    let report = reader.report(ended, Scope::All);
    follower.handle(ended, Event::Report(report));
    assert!(!uses_first_engine(&mut follower, ended));
}

// Guards against DRAIN broken by a server that is kept after an outage: a newer list that lacks it
// too took back what a report had told of its departure.
#[test]
fn list_without_kept_server_leaves_it_withdrawn() {
    let start = Instant::now();
    let mut reader = support::router("reader", 2, start);
    let mut fleet = support::router("follower", 2, start);
    fleet.handle(start, Event::StoreFailed);
    let back = start + Duration::from_secs(4);
    fleet.handle(back, Event::StoreAnswered);
    fleet.handle(back, Event::Servers(Revision(2), removed()));
    reader.handle(back, Event::Servers(Revision(3), removed()));
    let report = reader.report(back, Scope::All);
    fleet.handle(back, Event::Report(report));
    assert!(!uses_first_engine(&mut fleet, back));
    fleet.handle(back, Event::Servers(Revision(4), removed()));
    assert!(!uses_first_engine(&mut fleet, back));
}
