//! Requests whose server is silent: a sound one may go on after a second or so.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::objects::{Repeat, Revision};
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey, Submission};

use super::support::{self, failure_reason, plain, prompt, sent_to, submission};

const KEY: RequestKey = RequestKey(1);
/// Silence after which the daemon looks for another server.
const SILENCE: Duration = Duration::from_millis(1_800);

/// Returns why a request waits for its silent server.
fn wait_reason(decisions: &[Decision]) -> Option<Reason> {
    decisions.iter().find_map(|d| match d {
        Decision::Wait { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Returns the number of requests in progress at all servers.
fn running(fleet: &Fleet) -> u32 {
    fleet.registry().all().map(|s| s.own_load.running).sum()
}

/// Submits a request and returns the id of its server.
fn submit(fleet: &mut Fleet, submission: Submission, now: Instant) -> String {
    let decisions = fleet.handle(now, Event::Submit(submission));
    sent_to(&decisions).expect("a server is free").to_owned()
}

/// Guards against a stream that is cut because its silent server can't be replaced.
#[test]
fn stalled_stream_waits_if_no_server_is_left() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    submit(&mut fleet, submission(1, 1, prompt(1, 10), now), now);
    fleet.handle(now, Event::FirstByte(KEY));
    let late = now + SILENCE;
    let decisions = fleet.handle(late, Event::Stalled(KEY));
    assert_eq!(wait_reason(&decisions), Some(Reason::NoServer));
    assert_eq!(failure_reason(&decisions), None);
    assert_eq!((running(&fleet), fleet.requests()), (1, 1));
    let ended = fleet.handle(late, Event::Ended(KEY, Outcome::Answered));
    assert_eq!(failure_reason(&ended), None);
    assert_eq!((running(&fleet), fleet.requests()), (0, 0));
}

/// Guards against a request that was admitted and is refused for its share while its server is silent.
#[test]
fn stalled_request_over_share_is_sent_elsewhere_after_target() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let server = submit(&mut fleet, submission(1, 1, prompt(1, 10), now), now);
    let late = now + SILENCE;
    support::hear_servers(&mut fleet, late);
    // Both engines have prompts to prefill, so a new request would start late.
    for key in 10..60 {
        fleet.handle(
            late,
            Event::Submit(submission(key, 1, prompt(key, 4_000), late)),
        );
    }
    let new = submission(100, 1, prompt(1, 10), late - SILENCE);
    let refused = fleet.handle(late, Event::Submit(new));
    assert!(failure_reason(&refused).is_some(), "{refused:?}");
    let decisions = fleet.handle(late, Event::Stalled(KEY));
    let other = sent_to(&decisions).expect("the other engine has free slots");
    assert_ne!(other, server);
}

/// Guards against a request that is sent to a second server while the first one still works on it.
#[test]
fn replaced_attempt_leaves_silent_server() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    let first = submit(&mut fleet, plain(1, Repeat::Idempotent, now), now);
    let decisions = fleet.handle(now + SILENCE, Event::Stalled(KEY));
    let second = sent_to(&decisions)
        .expect("two servers are left")
        .to_owned();
    assert_ne!(first, second);
    assert_eq!(
        running(&fleet),
        2,
        "both count while the second is connected"
    );
    fleet.handle(now + SILENCE, Event::Replaced(KEY));
    let busy: Vec<_> = fleet
        .registry()
        .all()
        .filter(|s| s.own_load.running > 0)
        .collect();
    assert_eq!(busy.len(), 1);
    assert_eq!(busy[0].id, second);
}

/// Guards against a silent attempt that is lost because its replacement can't be connected.
#[test]
fn stalled_request_keeps_silent_server_if_replacement_is_unreachable() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    let mut request = plain(1, Repeat::Idempotent, now);
    request.max_attempts = 2;
    submit(&mut fleet, request, now);
    let late = now + SILENCE;
    for _ in 0..2 {
        assert!(sent_to(&fleet.handle(late, Event::Stalled(KEY))).is_some());
        let decisions = fleet.handle(late, Event::Ended(KEY, Outcome::Unreachable));
        assert_eq!(
            (sent_to(&decisions), failure_reason(&decisions)),
            (None, None)
        );
        assert_eq!((running(&fleet), fleet.requests()), (1, 1));
    }
    let decisions = fleet.handle(late, Event::Stalled(KEY));
    assert_eq!(wait_reason(&decisions), Some(Reason::NoServer));
    let ended = fleet.handle(late, Event::Ended(KEY, Outcome::Answered));
    assert_eq!(failure_reason(&ended), None);
    assert_eq!((running(&fleet), fleet.requests()), (0, 0));
}

/// Guards against a server that counts as used though the silent one went on before.
#[test]
fn resumed_request_may_use_other_server_later() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    submit(&mut fleet, submission(1, 1, prompt(1, 10), now), now);
    let late = now + SILENCE;
    let other = sent_to(&fleet.handle(late, Event::Stalled(KEY))).map(str::to_owned);
    assert!(other.is_some());
    fleet.handle(
        late,
        Event::Resumed {
            key: KEY,
            sent: false,
        },
    );
    assert_eq!(running(&fleet), 1);
    let again = sent_to(&fleet.handle(late + SILENCE, Event::Stalled(KEY))).map(str::to_owned);
    assert_eq!(again, other);
}

/// Guards against load that stays counted when the caller leaves while a replacement is connected.
#[test]
fn caller_leaving_during_replacement_releases_both_servers() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    submit(&mut fleet, submission(1, 1, prompt(1, 10), now), now);
    assert!(sent_to(&fleet.handle(now + SILENCE, Event::Stalled(KEY))).is_some());
    fleet.handle(now + SILENCE, Event::Ended(KEY, Outcome::Left));
    assert_eq!((running(&fleet), fleet.requests()), (0, 0));
}

#[test]
fn stalled_request_that_may_not_repeat_waits() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    submit(&mut fleet, plain(1, Repeat::Once, now), now);
    let decisions = fleet.handle(now + SILENCE, Event::Stalled(KEY));
    assert_eq!(wait_reason(&decisions), Some(Reason::Exhausted));
}

/// Guards against a sound server that stays out of use after a silence in which its streams stalled.
#[test]
fn server_that_goes_on_is_used_again() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    for key in 1..=2 {
        submit(&mut fleet, submission(key, 1, prompt(1, 10), now), now);
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
    }
    let late = now + SILENCE;
    for key in 1..=2 {
        fleet.handle(late, Event::Stalled(RequestKey(key)));
    }
    let refused = fleet.handle(late, Event::Submit(submission(3, 1, prompt(1, 10), late)));
    assert_eq!(failure_reason(&refused), Some(Reason::NoServer));
    let gap = SILENCE;
    fleet.handle(
        late,
        Event::StreamProgress {
            key: KEY,
            gap,
            tokens: 7,
        },
    );
    let sent = fleet.handle(late, Event::Submit(submission(4, 1, prompt(1, 10), late)));
    assert!(sent_to(&sent).is_some(), "{sent:?}");
}

/// Guards against an attempt whose server was removed from the list and that is never released.
#[test]
fn stalled_request_survives_removal_of_its_server() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    submit(&mut fleet, submission(1, 1, prompt(1, 10), now), now);
    fleet.handle(now, Event::Servers(Revision(2), support::servers(0)));
    let late = now + SILENCE;
    let decisions = fleet.handle(late, Event::Stalled(KEY));
    assert!(wait_reason(&decisions).is_some(), "{decisions:?}");
    fleet.handle(late, Event::Ended(KEY, Outcome::Answered));
    assert_eq!(fleet.requests(), 0);
}

/// Guards against a sound server that is left alone since streams from it ran into their deadlines.
#[test]
fn expired_stream_does_not_count_against_server() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    let late = now + Duration::from_secs(12);
    for key in 1..=4 {
        submit(&mut fleet, submission(key, 1, prompt(1, 10), now), now);
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
    }
    for key in 1..=4 {
        let decisions = fleet.handle(late, Event::Ended(RequestKey(key), Outcome::Expired));
        assert_eq!(failure_reason(&decisions), Some(Reason::Expired));
    }
    let sent = fleet.handle(late, Event::Submit(submission(5, 1, prompt(1, 10), late)));
    assert!(sent_to(&sent).is_some(), "{sent:?}");
}

/// Guards against a dead server that stays in use since only requests that may not be repeated tell.
#[test]
fn expired_request_that_may_not_repeat_counts_against_server() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    let late = now + Duration::from_secs(3);
    for key in 1..=6 {
        submit(&mut fleet, plain(key, Repeat::Once, now), now);
    }
    for key in 1..=6 {
        fleet.handle(late, Event::Ended(RequestKey(key), Outcome::Expired));
    }
    let refused = fleet.handle(late, Event::Submit(plain(7, Repeat::Once, late)));
    assert_eq!(failure_reason(&refused), Some(Reason::NoServer));
}
