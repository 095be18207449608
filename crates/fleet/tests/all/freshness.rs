//! Age of the server list: what the store confirmed, and what reports tell of it.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::freshness::{Confirmation, Source};
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, prompt, sent_to, submission};

/// Records that the store confirmed the list of a revision to a router.
fn confirm(fleet: &mut Fleet, revision: u64, at: Instant) {
    let confirmation = Confirmation {
        revision: Revision(revision),
        at,
        source: Source::Store,
    };
    fleet.handle(at, Event::ServersConfirmed(confirmation));
}

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
    confirm(&mut fleet, 1, later);
    confirm(&mut fleet, 1, start);
    let now = start + Duration::from_millis(500);
    assert_eq!(age(&fleet, now), Some(Duration::from_millis(200)));
}

#[test]
fn age_of_newer_list_counts_once_it_is_applied() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    confirm(&mut fleet, 1, start);
    let later = start + Duration::from_millis(300);
    confirm(&mut fleet, 2, later);
    assert_eq!(age(&fleet, later), Some(Duration::from_millis(300)));
    fleet.handle(later, Event::Servers(Revision(2), support::servers(2)));
    assert_eq!(age(&fleet, later), Some(Duration::ZERO));
}

#[test]
fn age_by_report_is_that_of_sender_and_way() {
    let start = Instant::now();
    let mut reader = support::router("reader", 1, start);
    let mut follower = support::router("follower", 1, start);
    confirm(&mut reader, 1, start);
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
    confirm(&mut reader, 1, now);
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
    confirm(&mut reader, 1, start);
    let report = reader.report(start, Scope::All);
    follower.handle(start, Event::Report(report));
    confirm(&mut reader, 1, start + Duration::from_millis(900));
    let now = start + Duration::from_secs(1);
    assert_eq!(age(&follower, now), Some(Duration::from_secs(1)));
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
    confirm(&mut fleet, 1, start);
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
