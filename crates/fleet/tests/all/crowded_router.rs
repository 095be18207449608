//! All callers of a large workspace are connected to one small router.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::objects::Repeat;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, failure_reason, plain, prompt, sent_to, submission};

/// Period of the event loop lag observations.
const PERIOD: Duration = Duration::from_millis(25);
/// Time within which the platform detects that a router is not ready.
const DETECTION: Duration = Duration::from_secs(2);

/// Reports the event loop lag `lag` for the given time, and returns the time at the end.
fn add_lag(fleet: &mut Fleet, from: Instant, lag: Duration, duration: Duration) -> Instant {
    let mut now = from;
    while now < from + duration {
        now += PERIOD + lag;
        fleet.handle(now, Event::LoopLag(lag));
    }
    now
}

#[test]
fn loop_lag_sheds_connections_until_lag_falls() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    assert!(!fleet.sheds());
    let now = add_lag(
        &mut fleet,
        start,
        Duration::from_millis(80),
        Duration::from_secs(1),
    );
    assert!(fleet.sheds());
    let now = add_lag(&mut fleet, now, Duration::ZERO, DETECTION - PERIOD * 40);
    assert!(fleet.sheds(), "the platform may not have noticed yet");
    add_lag(&mut fleet, now, Duration::ZERO, DETECTION);
    assert!(!fleet.sheds());
}

#[test]
fn loop_lag_single_iteration_is_no_overload() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let now = add_lag(&mut fleet, now, Duration::ZERO, Duration::from_secs(1));
    let lag = Duration::from_millis(60);
    fleet.handle(now + PERIOD + lag, Event::LoopLag(lag));
    assert!(!fleet.sheds());
}

#[test]
fn loop_lag_overload_is_logged_once() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let lag = Duration::from_millis(200);
    let mut logged = 0;
    for iteration in 1..10 {
        let decisions = fleet.handle(now + lag * iteration, Event::LoopLag(lag));
        let is_shed = |d: &&Decision| matches!(d, Decision::Log { event, .. } if *event == "connections_shed");
        logged += decisions.iter().filter(is_shed).count();
    }
    assert_eq!(logged, 1);
}

#[test]
fn submit_lagging_router_refuses_streams_over_share_first() {
    let start = Instant::now();
    let mut fleet = support::router("r", 4, start);
    // Workspace 1 is over its fair share; workspace 2 has received nothing.
    for key in 0..40 {
        fleet.handle(
            start,
            Event::Submit(submission(key, 1, prompt(key, 2_000), start)),
        );
    }
    fleet.handle(
        start,
        Event::Submit(submission(100, 2, prompt(1, 100), start)),
    );
    let duration = Duration::from_millis(900);
    let now = add_lag(&mut fleet, start, Duration::from_millis(80), duration);
    let beyond = fleet.handle(now, Event::Submit(submission(101, 1, prompt(1, 100), now)));
    assert_eq!(failure_reason(&beyond), Some(Reason::RouterBusy));
    let within = fleet.handle(now, Event::Submit(submission(102, 2, prompt(1, 100), now)));
    assert!(sent_to(&within).is_some(), "{within:?}");
}

#[test]
fn submit_overloaded_router_refuses_only_streams() {
    let start = Instant::now();
    let mut fleet = support::router("r", 4, start);
    let duration = Duration::from_secs(1);
    let now = add_lag(&mut fleet, start, Duration::from_millis(250), duration);
    let stream = fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 100), now)));
    assert_eq!(failure_reason(&stream), Some(Reason::RouterBusy));
    let plain_request = fleet.handle(now, Event::Submit(plain(2, Repeat::Once, now)));
    assert!(sent_to(&plain_request).is_some(), "{plain_request:?}");
}

#[test]
fn submit_lagging_router_prefers_costly_streams() {
    let start = Instant::now();
    let mut fleet = support::router("r", 4, start);
    // Half of the prompts are short; workspace 1 is then over its fair share.
    for key in 0..40 {
        let own = if key % 2 == 0 { 50 } else { 4_000 };
        fleet.handle(
            start,
            Event::Submit(submission(key, 1, prompt(key, own), start)),
        );
        fleet.handle(start, Event::FirstByte(RequestKey(key)));
        fleet.handle(start, Event::Ended(RequestKey(key), Outcome::Answered));
    }
    fleet.handle(
        start,
        Event::Submit(submission(100, 2, prompt(1, 100), start)),
    );
    let duration = Duration::from_millis(1_500);
    let now = add_lag(&mut fleet, start, Duration::from_millis(57), duration);
    let short = fleet.handle(now, Event::Submit(submission(101, 1, prompt(1, 50), now)));
    assert_eq!(failure_reason(&short), Some(Reason::RouterBusy));
    let long = fleet.handle(
        now,
        Event::Submit(submission(102, 1, prompt(1, 4_000), now)),
    );
    assert!(sent_to(&long).is_some(), "{long:?}");
}

/// Returns a router whose streams are mostly workspace 1's, which was overloaded by them and has
/// recovered at the returned time.
fn recovered_router(start: Instant) -> (Fleet, Instant) {
    let mut fleet = support::router("r", 4, start);
    for key in 0..40 {
        let own = if key % 2 == 0 { 50 } else { 20_000 };
        let request = submission(key, 1, prompt(key, own), start);
        fleet.handle(start, Event::Submit(request));
        fleet.handle(start, Event::FirstByte(RequestKey(key)));
        fleet.handle(start, Event::Ended(RequestKey(key), Outcome::Answered));
    }
    let overload = Duration::from_secs(1);
    let now = add_lag(&mut fleet, start, Duration::from_millis(250), overload);
    assert!(fleet.sheds());
    let now = add_lag(&mut fleet, now, Duration::ZERO, Duration::from_secs(3));
    assert!(!fleet.sheds());
    support::hear_servers(&mut fleet, now);
    (fleet, now)
}

/// Returns such a router to which the wave has come back with its next connections, and the time at which
/// its event loop has been late for a few turns.
fn router_in_second_wave(start: Instant) -> (Fleet, Instant) {
    let (mut fleet, now) = recovered_router(start);
    for key in 50..70 {
        let request = submission(key, 1, prompt(key, 20_000), now);
        fleet.handle(now, Event::Submit(request));
    }
    let lag = Duration::from_millis(30);
    let now = add_lag(&mut fleet, now, lag, Duration::from_millis(110));
    assert!(!fleet.sheds());
    (fleet, now)
}

/// Guards against a router that refuses streams for an overload that is over.
#[test]
fn submit_recovered_router_admits_all_streams_while_in_time() {
    let (mut fleet, now) = recovered_router(Instant::now());
    for key in 101..110 {
        let own = if key % 2 == 0 { 50 } else { 20_000 };
        let decisions = fleet.handle(
            now,
            Event::Submit(submission(key, 1, prompt(key, own), now)),
        );
        let reason = failure_reason(&decisions);
        assert_ne!(reason, Some(Reason::RouterBusy), "{decisions:?}");
    }
}

/// Guards against a workspace that gets few tokens since the router that its callers meet spends
/// its time on the smallest streams of their wave.
#[test]
fn submit_recovered_router_prefers_costly_streams_of_wave() {
    let (mut fleet, now) = router_in_second_wave(Instant::now());
    let short = fleet.handle(now, Event::Submit(submission(101, 1, prompt(1, 50), now)));
    assert_eq!(failure_reason(&short), Some(Reason::RouterBusy));
    let long = submission(102, 1, prompt(1, 20_000), now);
    let long = fleet.handle(now, Event::Submit(long));
    assert_ne!(failure_reason(&long), Some(Reason::RouterBusy), "{long:?}");
}

#[test]
fn submit_recovered_router_admits_short_streams_of_other_workspaces() {
    let (mut fleet, now) = router_in_second_wave(Instant::now());
    let short = fleet.handle(now, Event::Submit(submission(101, 2, prompt(1, 50), now)));
    assert!(sent_to(&short).is_some(), "{short:?}");
}

#[test]
fn submit_router_long_after_wave_admits_short_streams() {
    let (mut fleet, now) = recovered_router(Instant::now());
    let now = add_lag(&mut fleet, now, Duration::ZERO, Duration::from_secs(60));
    let short = fleet.handle(now, Event::Submit(submission(101, 1, prompt(1, 50), now)));
    assert!(sent_to(&short).is_some(), "{short:?}");
}

#[test]
fn submit_flooded_router_admits_workspace_below_share_longer() {
    let start = Instant::now();
    let mut fleet = support::router("r", 4, start);
    // Workspace 1 has received most, workspace 2 its guaranteed share and less than an even one.
    for key in 0..30 {
        let workspace = if key % 5 == 0 { 2 } else { 1 };
        let request = submission(key, workspace, prompt(key, 6_000), start);
        fleet.handle(start, Event::Submit(request));
    }
    let lag = Duration::from_millis(70);
    let now = add_lag(&mut fleet, start, lag, Duration::from_millis(1_500));
    let most = submission(100, 1, prompt(1, 20_000), now);
    let most = fleet.handle(now, Event::Submit(most));
    assert_eq!(failure_reason(&most), Some(Reason::RouterBusy));
    let least = submission(101, 2, prompt(1, 20_000), now);
    let least = fleet.handle(now, Event::Submit(least));
    assert_ne!(
        failure_reason(&least),
        Some(Reason::RouterBusy),
        "{least:?}"
    );
}
