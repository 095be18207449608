//! Requests that have lost a server which may have run them, and servers that are silent at a probe.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, ENGINES, failure_reason, prompt, sent_to, submission};

const KEY: RequestKey = RequestKey(1);
/// Silence after which the daemon looks for another server.
const SILENCE: Duration = Duration::from_millis(1_800);

/// Lets both engines of a router prefill until a new request would start late.
fn crowd(fleet: &mut Fleet, now: Instant) {
    for key in 10..60 {
        let submission = submission(key, 1, prompt(key, 4_000), now);
        fleet.handle(now, Event::Submit(submission));
    }
}

/// Guards against a request that was admitted and is refused for its share after the server that
/// replaced a silent one rejected it.
#[test]
fn replaced_request_that_is_rejected_is_sent_to_third_server() {
    let now = Instant::now();
    let mut fleet = support::router("r", 3, now);
    let mut request = submission(1, 1, prompt(1, 10), now);
    request.max_attempts = 4;
    fleet.handle(now, Event::Submit(request));
    let late = now + SILENCE;
    support::hear_servers(&mut fleet, late);
    crowd(&mut fleet, late);
    assert!(sent_to(&fleet.handle(late, Event::Stalled(KEY))).is_some());
    fleet.handle(late, Event::Replaced(KEY));
    let decisions = fleet.handle(late, Event::Ended(KEY, Outcome::NotRun));
    assert_eq!(failure_reason(&decisions), None, "{decisions:?}");
    assert!(sent_to(&decisions).is_some(), "{decisions:?}");
}

/// Guards against a request that was admitted and is refused for its share, with a 502, after the
/// connection to its server broke.
#[test]
fn broken_request_over_share_is_sent_elsewhere_after_target() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    let late = now + SILENCE;
    support::hear_servers(&mut fleet, late);
    crowd(&mut fleet, late);
    let decisions = fleet.handle(late, Event::Ended(KEY, Outcome::Broken));
    assert_eq!(failure_reason(&decisions), None, "{decisions:?}");
    assert!(sent_to(&decisions).is_some(), "{decisions:?}");
}

/// Guards against a burst to a server that restarted cold and was slow to answer its probe.
#[test]
fn server_silent_at_its_probe_is_cold() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    for key in 0..2 {
        let submission = submission(key, 1, prompt(1, 10), start);
        fleet.handle(start, Event::Submit(submission));
        fleet.handle(start, Event::Ended(RequestKey(key), Outcome::Unreachable));
    }
    let probed = start + Duration::from_millis(500);
    let probe = fleet.handle(
        probed,
        Event::Submit(submission(6, 1, prompt(1, 10), probed)),
    );
    assert!(sent_to(&probe).is_some(), "one request probes the server");
    let stalled = probed + SILENCE;
    fleet.handle(stalled, Event::Stalled(RequestKey(6)));
    let now = stalled + Duration::from_millis(200);
    fleet.handle(now, Event::FirstByte(RequestKey(6)));
    let burst = (10..40)
        .filter(|key| {
            sent_to(&fleet.handle(now, Event::Submit(submission(*key, 1, prompt(1, 10), now))))
                .is_some()
        })
        .count();
    assert!(
        burst <= 1,
        "{burst} requests at once to a server that may be cold"
    );
}

/// Guards against a server that is paused since a single request was silent until its deadline.
#[test]
fn single_silence_until_deadline_does_not_pause_server() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    fleet.handle(now + SILENCE, Event::Stalled(KEY));
    let end = now + Duration::from_secs(12);
    fleet.handle(end, Event::Ended(KEY, Outcome::Expired));
    let sent = fleet.handle(end, Event::Submit(submission(2, 1, prompt(1, 10), end)));
    assert!(sent_to(&sent).is_some(), "{sent:?}");
}

/// Guards against a silent server that is given up right before the deadline, when no other one can
/// answer in time any more.
#[test]
fn silent_server_is_kept_near_deadline() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    // The prompt alone takes about 90 ms to prefill.
    let late = now + Duration::from_secs(12) - Duration::from_millis(20);
    let decisions = fleet.handle(late, Event::Stalled(KEY));
    assert_eq!(sent_to(&decisions), None, "{decisions:?}");
}

/// Guards against a sound server that is held to be slow since its first tokens came late once.
#[test]
fn silence_does_not_lower_prefill_rate() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    for key in 1..=8 {
        fleet.handle(now, Event::Submit(submission(key, 1, prompt(1, 10), now)));
    }
    let time = |fleet: &Fleet| {
        let mut engines = fleet
            .registry()
            .all()
            .filter(|s| s.backend.service == ENGINES);
        engines.next().map(|s| s.prefill_time(5_000, 55.0))
    };
    let before = time(&fleet);
    let late = now + SILENCE;
    for key in 1..=8 {
        fleet.handle(late, Event::Stalled(RequestKey(key)));
        fleet.handle(late, Event::FirstByte(RequestKey(key)));
    }
    assert_eq!(time(&fleet), before);
}
