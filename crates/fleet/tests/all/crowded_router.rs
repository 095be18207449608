//! Load pattern: all callers of a large workspace meet at one small router.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::objects::Repeat;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, ask, given_up, plain, prompt, sent};

/// Period in which the loop is observed.
const PERIOD: Duration = Duration::from_millis(25);
/// Time in which the platform notices that a router is not ready.
const NOTICE: Duration = Duration::from_secs(2);

/// Lets the loop come round `late` for a time, and returns when that ends.
fn lag(fleet: &mut Fleet, from: Instant, late: Duration, time: Duration) -> Instant {
    let mut now = from;
    while now < from + time {
        now += PERIOD + late;
        fleet.handle(now, Event::Late(late));
    }
    now
}

#[test]
fn late_loop_sheds_connections_until_it_is_relieved() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    assert!(!fleet.sheds());
    let now = lag(
        &mut fleet,
        start,
        Duration::from_millis(80),
        Duration::from_secs(1),
    );
    assert!(fleet.sheds());
    let now = lag(&mut fleet, now, Duration::ZERO, NOTICE - PERIOD * 40);
    assert!(fleet.sheds(), "the platform may not have noticed yet");
    lag(&mut fleet, now, Duration::ZERO, NOTICE);
    assert!(!fleet.sheds());
}

#[test]
fn late_single_turn_is_no_overload() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let now = lag(&mut fleet, now, Duration::ZERO, Duration::from_secs(1));
    let late = Duration::from_millis(60);
    fleet.handle(now + PERIOD + late, Event::Late(late));
    assert!(!fleet.sheds());
}

#[test]
fn late_loop_is_told_to_the_log_once() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let late = Duration::from_millis(200);
    let mut told = 0;
    for turn in 1..10 {
        let decisions = fleet.handle(now + late * turn, Event::Late(late));
        let told_now = |d: &&Decision| matches!(d, Decision::Log { event, .. } if *event == "connections_shed");
        told += decisions.iter().filter(told_now).count();
    }
    assert_eq!(told, 1);
}

#[test]
fn submit_late_router_refuses_streams_beyond_the_share_first() {
    let start = Instant::now();
    let mut fleet = support::router("r", 4, start);
    // Workspace 1 has its share of the throughput, workspace 2 has received nothing.
    for key in 0..40 {
        fleet.handle(start, Event::Submit(ask(key, 1, prompt(key, 2_000), start)));
    }
    fleet.handle(start, Event::Submit(ask(100, 2, prompt(1, 100), start)));
    let time = Duration::from_millis(900);
    let now = lag(&mut fleet, start, Duration::from_millis(80), time);
    let beyond = fleet.handle(now, Event::Submit(ask(101, 1, prompt(1, 100), now)));
    assert_eq!(given_up(&beyond), Some(Reason::RouterBusy));
    let within = fleet.handle(now, Event::Submit(ask(102, 2, prompt(1, 100), now)));
    assert!(sent(&within).is_some(), "{within:?}");
}

#[test]
fn submit_router_that_is_far_too_late_refuses_all_streams_and_serves_the_rest() {
    let start = Instant::now();
    let mut fleet = support::router("r", 4, start);
    let time = Duration::from_secs(1);
    let now = lag(&mut fleet, start, Duration::from_millis(250), time);
    let stream = fleet.handle(now, Event::Submit(ask(1, 1, prompt(1, 100), now)));
    assert_eq!(given_up(&stream), Some(Reason::RouterBusy));
    let whole = fleet.handle(now, Event::Submit(plain(2, Repeat::Once, now)));
    assert!(sent(&whole).is_some(), "{whole:?}");
}

#[test]
fn submit_late_router_begins_the_streams_that_are_worth_most() {
    let start = Instant::now();
    let mut fleet = support::router("r", 4, start);
    // Half of the prompts are short; workspace 1 has its share by then.
    for key in 0..40 {
        let own = if key % 2 == 0 { 50 } else { 4_000 };
        fleet.handle(start, Event::Submit(ask(key, 1, prompt(key, own), start)));
        fleet.handle(start, Event::FirstByte(RequestKey(key)));
        fleet.handle(start, Event::Ended(RequestKey(key), Outcome::Answered));
    }
    fleet.handle(start, Event::Submit(ask(100, 2, prompt(1, 100), start)));
    let time = Duration::from_millis(1_500);
    let now = lag(&mut fleet, start, Duration::from_millis(57), time);
    let short = fleet.handle(now, Event::Submit(ask(101, 1, prompt(1, 50), now)));
    assert_eq!(given_up(&short), Some(Reason::RouterBusy));
    let long = fleet.handle(now, Event::Submit(ask(102, 1, prompt(1, 4_000), now)));
    assert!(sent(&long).is_some(), "{long:?}");
}
