//! Servers that announce in their responses that they leave or want a pause.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::objects::{Repeat, Revision, Servers};
use hibiscusrail_fleet::registry::ServerKey;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, PLAIN, backend, failure_reason, plain, sent_to};

/// Returns the registration of one plain server.
fn one_server(sequence: u64, born: u64) -> Servers {
    let mut server = backend(PLAIN, 1);
    server.sequence = sequence;
    server.born = born;
    Servers::from([("p".to_owned(), server)])
}

/// Returns a router with the given servers at revision 1.
fn router(servers: Servers, now: Instant) -> Fleet {
    let mut fleet = support::router("r", 0, now);
    fleet.handle(now, Event::Servers(Revision(2), servers));
    fleet
}

fn submit(fleet: &mut Fleet, key: u64, now: Instant) -> Vec<Decision> {
    fleet.handle(now, Event::Submit(plain(key, Repeat::Idempotent, now)))
}

/// Sends a request and returns the key of its server.
fn place(fleet: &mut Fleet, key: u64, now: Instant) -> ServerKey {
    let decisions = submit(fleet, key, now);
    let server = decisions.iter().find_map(|d| match d {
        Decision::Send { server, .. } => Some(*server),
        _ => None,
    });
    server.expect("a server is available")
}

fn retry_after(decisions: &[Decision]) -> Option<Duration> {
    decisions.iter().find_map(|d| match d {
        Decision::Fail { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

#[test]
fn server_leaving_receives_nothing_more() {
    let now = Instant::now();
    let mut fleet = router(support::servers(0), now);
    let leaving = place(&mut fleet, 0, now);
    assert!(fleet.may_send(now, leaving, false));
    fleet.handle(now, Event::ServerLeaving(leaving));
    assert!(!fleet.may_send(now, leaving, false));
    for key in 1..50 {
        assert_ne!(place(&mut fleet, key, now), leaving);
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Answered));
    }
}

#[test]
fn server_leaving_row_still_ready_receives_nothing() {
    let now = Instant::now();
    let mut fleet = router(one_server(5, 9), now);
    let server = place(&mut fleet, 0, now);
    fleet.handle(now, Event::ServerLeaving(server));
    fleet.handle(now, Event::Servers(Revision(3), one_server(6, 9)));
    assert!(failure_reason(&submit(&mut fleet, 1, now)).is_some());
}

#[test]
fn server_leaving_row_removed_and_back_receives_nothing() {
    let now = Instant::now();
    let mut fleet = router(one_server(5, 9), now);
    let server = place(&mut fleet, 0, now);
    fleet.handle(now, Event::ServerLeaving(server));
    fleet.handle(now, Event::Servers(Revision(3), Servers::new()));
    fleet.handle(now, Event::Servers(Revision(4), one_server(6, 9)));
    assert!(failure_reason(&submit(&mut fleet, 1, now)).is_some());
}

#[test]
fn server_leaving_started_again_receives_requests() {
    let now = Instant::now();
    let mut fleet = router(one_server(5, 9), now);
    let server = place(&mut fleet, 0, now);
    fleet.handle(now, Event::ServerLeaving(server));
    fleet.handle(now, Event::Servers(Revision(3), one_server(1, 10)));
    assert_eq!(sent_to(&submit(&mut fleet, 1, now)), Some("p"));
}

#[test]
fn server_withdrawn_while_connecting_is_no_attempt() {
    let now = Instant::now();
    let mut fleet = router(support::servers(0), now);
    let mut request = plain(0, Repeat::Once, now);
    request.max_attempts = 1;
    let first = fleet.handle(now, Event::Submit(request));
    let first = sent_to(&first).expect("servers are idle").to_owned();
    let next = fleet.handle(now, Event::Ended(RequestKey(0), Outcome::Withdrawn));
    let next = sent_to(&next).expect("other servers are idle");
    assert_ne!(next, first);
}

#[test]
fn server_throttled_requests_go_elsewhere_until_its_end() {
    let now = Instant::now();
    let mut fleet = router(support::servers(0), now);
    let paused = place(&mut fleet, 0, now);
    fleet.handle(now, Event::Ended(RequestKey(0), Outcome::Answered));
    fleet.handle(now, Event::ServerThrottled(paused, Duration::from_secs(2)));
    let mut sent = 0;
    for key in 1_u64..100 {
        let at = now + Duration::from_millis(40) * u32::try_from(key).expect("a small key");
        // Three requests are in progress at any time, one for each server.
        if let Some(ended) = key.checked_sub(3) {
            fleet.handle(at, Event::Ended(RequestKey(ended), Outcome::Answered));
        }
        let server = place(&mut fleet, key, at);
        if at < now + Duration::from_secs(2) {
            assert_ne!(server, paused, "after {:?}", at - now);
        }
        sent += u32::from(server == paused);
    }
    assert!(sent > 0, "the server is used again after its pause");
}

#[test]
fn server_throttled_new_row_keeps_pause() {
    let now = Instant::now();
    let mut fleet = router(one_server(5, 9), now);
    let server = place(&mut fleet, 0, now);
    fleet.handle(now, Event::ServerThrottled(server, Duration::from_secs(2)));
    fleet.handle(now, Event::Servers(Revision(3), one_server(6, 9)));
    fleet.handle(now, Event::Servers(Revision(4), Servers::new()));
    fleet.handle(now, Event::Servers(Revision(5), one_server(7, 9)));
    let later = now + Duration::from_millis(1_900);
    assert_eq!(
        failure_reason(&submit(&mut fleet, 1, later)),
        Some(Reason::Throttled)
    );
    let end = now + Duration::from_secs(2);
    assert_eq!(sent_to(&submit(&mut fleet, 2, end)), Some("p"));
}

#[test]
fn server_throttled_shorter_pause_does_not_end_longer() {
    let now = Instant::now();
    let mut fleet = router(one_server(5, 9), now);
    let server = place(&mut fleet, 0, now);
    fleet.handle(now, Event::ServerThrottled(server, Duration::from_secs(2)));
    fleet.handle(now, Event::ServerThrottled(server, Duration::ZERO));
    assert!(!fleet.may_send(now + Duration::from_secs(1), server, false));
}

#[test]
fn server_throttled_all_refuse_with_shortest_pause() {
    let now = Instant::now();
    let mut fleet = router(support::servers(0), now);
    for (key, pause) in [(0, 5), (1, 3), (2, 4)] {
        let server = place(&mut fleet, key, now);
        let pause = Duration::from_secs(pause);
        fleet.handle(now, Event::ServerThrottled(server, pause));
    }
    let refused = submit(&mut fleet, 3, now + Duration::from_secs(1));
    assert_eq!(failure_reason(&refused), Some(Reason::Throttled));
    assert_eq!(retry_after(&refused), Some(Duration::from_secs(2)));
}

#[test]
fn server_throttled_for_hours_is_limited() {
    let now = Instant::now();
    let mut fleet = router(one_server(5, 9), now);
    let server = place(&mut fleet, 0, now);
    fleet.handle(now, Event::ServerThrottled(server, Duration::MAX));
    assert!(!fleet.may_send(now + Duration::from_secs(59), server, false));
    assert!(fleet.may_send(now + Duration::from_secs(60), server, false));
}
