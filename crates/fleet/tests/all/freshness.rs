//! Age of the server list: what the store confirmed, and what reports tell of it.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::freshness::Source;
use hibiscusrail_fleet::objects::{Repeat, Revision};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, confirm_list, prompt, sent_to, submission};

fn age(fleet: &Fleet, now: Instant) -> Option<Duration> {
    fleet.freshness().age(now)
}

#[test]
fn age_unknown_before_first_confirmation() {
    let now = Instant::now();
    assert_eq!(age(&support::router("r", 1, now), now), None);
}

#[test]
fn age_counts_from_newest_confirmation() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    let later = start + Duration::from_millis(300);
    confirm_list(&mut fleet, 1, later);
    confirm_list(&mut fleet, 1, start);
    let now = start + Duration::from_millis(500);
    assert_eq!(age(&fleet, now), Some(Duration::from_millis(200)));
}

#[test]
fn age_of_newer_list_counts_once_it_is_applied() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    confirm_list(&mut fleet, 1, start);
    let later = start + Duration::from_millis(300);
    confirm_list(&mut fleet, 2, later);
    assert_eq!(age(&fleet, later), Some(Duration::from_millis(300)));
    fleet.handle(later, Event::Servers(Revision(2), support::servers(2)));
    assert_eq!(age(&fleet, later), Some(Duration::ZERO));
}

#[test]
fn age_by_report_is_that_of_sender_and_way() {
    let start = Instant::now();
    let mut reader = support::router("reader", 1, start);
    let mut follower = support::router("follower", 1, start);
    confirm_list(&mut reader, 1, start);
    let sent = start + Duration::from_millis(200);
    let mut report = reader.report(sent, Scope::All);
    // The daemon adds the time in which the datagram may have waited.
    report.list_age = report.list_age.map(|age| age + 50);
    let read = sent + Duration::from_millis(50);
    follower.handle(read, Event::Report(report));
    assert_eq!(age(&follower, read), Some(Duration::from_millis(250)));
    let source = follower.freshness().own().map(|c| c.source);
    assert!(matches!(source, Some(Source::Router(_))));
}

#[test]
fn age_by_report_of_older_version_stays_unknown() {
    let now = Instant::now();
    let mut reader = support::router("reader", 1, now);
    let mut follower = support::router("follower", 1, now);
    confirm_list(&mut reader, 1, now);
    let mut report = reader.report(now, Scope::All);
    report.list_age = None;
    follower.handle(now, Event::Report(report));
    assert_eq!(age(&follower, now), None);
}

#[test]
fn age_grows_when_report_is_lost() {
    let start = Instant::now();
    let mut reader = support::router("reader", 1, start);
    let mut follower = support::router("follower", 1, start);
    confirm_list(&mut reader, 1, start);
    let report = reader.report(start, Scope::All);
    follower.handle(start, Event::Report(report));
    confirm_list(&mut reader, 1, start + Duration::from_millis(900));
    let now = start + Duration::from_secs(1);
    assert_eq!(age(&follower, now), Some(Duration::from_secs(1)));
}

/// Returns whether any of many requests, whose callers leave at once, is sent to `e0`.
fn uses_first_engine(fleet: &mut Fleet, now: Instant) -> bool {
    (0..20).any(|key| {
        let request = submission(key, 1, prompt(key, 10), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Left));
        sent_to(&decisions) == Some("e0")
    })
}

/// Sends a request to each of two engines at `sent` and has `e0` answer it at `answered`.
fn answer_by_first_engine(fleet: &mut Fleet, sent: Instant, answered: Instant) {
    let first = (100..140).find(|key| {
        let request = submission(*key, 1, prompt(*key, 10), sent);
        let decisions = fleet.handle(sent, Event::Submit(request));
        let is_first = sent_to(&decisions) == Some("e0");
        if !is_first {
            fleet.handle(sent, Event::Ended(RequestKey(*key), Outcome::Left));
        }
        is_first
    });
    let key = RequestKey(first.expect("the engines are idle"));
    fleet.handle(answered, Event::FirstByte(key));
    fleet.handle(answered, Event::Ended(key, Outcome::Answered));
}

/// Age at which a list is too old, with the bound of [`support::params`].
const TOO_OLD: Duration = Duration::from_millis(1_600);

#[test]
fn late_list_allows_server_that_answered_since() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    fleet.handle(start, Event::StoreAnswered);
    confirm_list(&mut fleet, 1, start);
    let sent = start + Duration::from_millis(400);
    answer_by_first_engine(&mut fleet, sent, start + TOO_OLD);
    assert!(uses_first_engine(&mut fleet, start + TOO_OLD));
    // The answer counts from when its request was sent.
    let old = sent + TOO_OLD;
    assert!(!uses_first_engine(&mut fleet, old));
}

#[test]
fn late_list_allows_no_server_that_said_it_leaves() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    fleet.handle(start, Event::StoreAnswered);
    confirm_list(&mut fleet, 1, start);
    answer_by_first_engine(&mut fleet, start, start);
    let mut servers = fleet.registry().of_service(support::ENGINES);
    let first = servers.find(|(_, s)| s.id == "e0").map(|(key, _)| key);
    let first = first.expect("it is registered");
    drop(servers);
    fleet.handle(start, Event::ServerLeaving(first));
    assert!(!uses_first_engine(&mut fleet, start + TOO_OLD));
}

#[test]
fn late_list_stops_request_before_it_is_sent() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    fleet.handle(start, Event::StoreAnswered);
    confirm_list(&mut fleet, 1, start);
    let key = fleet.registry().of_service(support::ENGINES).next();
    let key = key.map(|(key, _)| key).expect("one is registered");
    assert!(fleet.may_send(start, key, false));
    assert!(!fleet.may_send(start + TOO_OLD, key, false));
}

#[test]
fn late_list_is_used_again_once_confirmed() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    fleet.handle(start, Event::StoreAnswered);
    confirm_list(&mut fleet, 1, start);
    let now = start + TOO_OLD;
    assert!(!uses_first_engine(&mut fleet, now));
    confirm_list(&mut fleet, 1, now);
    assert!(uses_first_engine(&mut fleet, now));
}

#[test]
fn old_list_of_router_cut_off_from_store_is_used() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    fleet.handle(start, Event::StoreAnswered);
    confirm_list(&mut fleet, 1, start);
    fleet.handle(start + Duration::from_secs(1), Event::StoreFailed);
    assert!(uses_first_engine(
        &mut fleet,
        start + Duration::from_secs(9)
    ));
}

#[test]
fn old_list_is_used_while_reports_tell_outage() {
    let start = Instant::now();
    let mut reader = support::router("reader", 2, start);
    let mut follower = support::router("follower", 2, start);
    reader.handle(start, Event::StoreAnswered);
    confirm_list(&mut reader, 1, start);
    confirm_list(&mut follower, 1, start);
    let now = start + Duration::from_secs(9);
    reader.handle(now, Event::StoreFailed);
    let report = reader.report(now, Scope::All);
    follower.handle(now, Event::Report(report));
    assert!(uses_first_engine(&mut follower, now));
}

#[test]
fn old_list_is_late_while_reports_tell_of_newer_one() {
    let start = Instant::now();
    let mut reader = support::router("reader", 2, start);
    let mut follower = support::router("follower", 2, start);
    confirm_list(&mut follower, 1, start);
    let now = start + TOO_OLD;
    // It is cut off from the store, but not from the reader.
    follower.handle(now, Event::StoreFailed);
    reader.handle(now, Event::Servers(Revision(2), support::servers(2)));
    confirm_list(&mut reader, 2, now);
    let report = reader.report(now, Scope::All);
    follower.handle(now, Event::Report(report));
    assert!(!uses_first_engine(&mut follower, now));
    follower.handle(now, Event::Servers(Revision(2), support::servers(2)));
    assert!(uses_first_engine(&mut follower, now));
}

#[test]
fn old_list_of_overloaded_router_is_late_though_its_calls_fail() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    confirm_list(&mut fleet, 1, start);
    let now = start + TOO_OLD;
    for turn in 0..20 {
        let at = start + Duration::from_millis(turn * 80);
        fleet.handle(at, Event::LoopLag(Duration::from_millis(80)));
    }
    fleet.handle(now, Event::StoreFailed);
    assert!(fleet.list_is_late(now));
}

#[test]
fn list_is_due_before_it_is_late() {
    let start = Instant::now();
    let mut fleet = support::router("follower", 2, start);
    assert!(fleet.list_is_due(start), "its age is unknown");
    confirm_list(&mut fleet, 1, start);
    assert!(!fleet.list_is_due(start + Duration::from_secs(1)));
    let due = start + Duration::from_millis(1_400);
    assert!(fleet.list_is_due(due));
    assert!(!fleet.list_is_late(due));
}

/// Time that one turn of a flooded router's event loop takes.
const TURN: Duration = Duration::from_millis(600);

// Guards against DRAIN broken by a router whose event loop is so late that neither reports nor the
// store's answers reach it in time: it placed requests by a list of any age.
#[test]
fn flooded_router_uses_no_server_after_bound_on_its_departure() {
    let start = Instant::now();
    let mut fleet = support::router("flooded", 2, start);
    fleet.handle(start, Event::StoreAnswered);
    confirm_list(&mut fleet, 1, start);
    // The store lists e0 as leaving right after; what tells so waits in the router's sockets.
    let left = start + Duration::from_millis(10);
    let bound = left + Duration::from_secs(2);
    let mut key = 0;
    for turn in 1..=6 {
        let now = start + TURN * turn;
        fleet.handle(now, Event::Tick);
        for _ in 0..20 {
            key += 1;
            let request = submission(key, 1, prompt(key, 10), now);
            let decisions = fleet.handle(now, Event::Submit(request));
            let server = sent_to(&decisions);
            // The callers leave before any server has answered.
            fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Left));
            // The bytes leave in the next turn.
            assert!(server != Some("e0") || now + TURN <= bound, "turn {turn}");
        }
    }
}

// Guards against services without streams that are refused whole while the list is late: their
// answers proved nothing.
#[test]
fn late_list_allows_plain_server_that_answered() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    fleet.handle(start, Event::StoreAnswered);
    confirm_list(&mut fleet, 1, start);
    let sent = start + Duration::from_millis(400);
    let request = support::plain(1, Repeat::Idempotent, sent);
    let decisions = fleet.handle(sent, Event::Submit(request));
    let server = sent_to(&decisions).expect("it is sent").to_owned();
    let ended = Event::Ended(RequestKey(1), Outcome::Answered);
    fleet.handle(start + TOO_OLD, ended);
    let request = support::plain(2, Repeat::Idempotent, start + TOO_OLD);
    let decisions = fleet.handle(start + TOO_OLD, Event::Submit(request));
    assert_eq!(sent_to(&decisions), Some(server.as_str()));
}
