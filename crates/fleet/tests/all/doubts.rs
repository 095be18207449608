//! Load pattern: many routers that each ask each engine seldom, while some engines are dark.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet, Outcome, Params, RequestKey};

use super::support::{self, ask, prompt, sent};

/// A router of a zone.
fn router(name: &str, zone: &str, now: Instant) -> Fleet {
    let mut fleet = support::router(name, 3, now);
    fleet.set_params(Params {
        zone: zone.to_owned(),
        ..support::params()
    });
    fleet
}

/// Lets a router find out that the home of subject 7 is silent; returns that engine.
fn find_out(fleet: &mut Fleet, now: Instant) -> String {
    let mut home = String::new();
    for key in 0..2 {
        let decisions = fleet.handle(now, Event::Submit(ask(key, 1, prompt(7, 100), now)));
        sent(&decisions)
            .expect("engines are idle")
            .clone_into(&mut home);
    }
    for key in 0..2 {
        // The repeat goes elsewhere, and its caller leaves.
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Silent));
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Left));
    }
    home
}

/// Tells a router what `count` routers of a zone found out.
fn told(fleet: &mut Fleet, count: u32, zone: &str, now: Instant) -> String {
    let mut home = String::new();
    for number in 0..count {
        let mut sender = router(&format!("{zone}{number}"), zone, now);
        home = find_out(&mut sender, now);
        let mut report = sender.report(now, Scope::All);
        // What the others hold would draw the request as well.
        report.placed.clear();
        fleet.handle(now, Event::Report(report));
    }
    home
}

fn choice(fleet: &mut Fleet, now: Instant) -> String {
    let decisions = fleet.handle(now, Event::Submit(ask(9, 1, prompt(7, 100), now)));
    sent(&decisions).expect("engines are idle").to_owned()
}

#[test]
fn submit_engine_that_two_routers_doubt_is_passed_over() {
    let now = Instant::now();
    let mut fleet = router("r", "a", now);
    let dark = told(&mut fleet, 2, "a", now);
    assert_ne!(choice(&mut fleet, now), dark);
}

#[test]
fn submit_one_router_alone_may_be_cut_off() {
    let now = Instant::now();
    let mut fleet = router("r", "a", now);
    let dark = told(&mut fleet, 1, "a", now);
    assert_eq!(choice(&mut fleet, now), dark);
}

#[test]
fn submit_routers_of_another_zone_may_be_cut_off() {
    let now = Instant::now();
    let mut fleet = router("r", "a", now);
    let dark = told(&mut fleet, 3, "b", now);
    assert_eq!(choice(&mut fleet, now), dark);
}

#[test]
fn submit_own_answer_counts_more_than_doubts() {
    let now = Instant::now();
    let mut fleet = router("r", "a", now);
    fleet.handle(now, Event::Submit(ask(1, 1, prompt(7, 100), now)));
    fleet.handle(now, Event::FirstByte(RequestKey(1)));
    fleet.handle(now, Event::Ended(RequestKey(1), Outcome::Answered));
    let home = told(&mut fleet, 2, "a", now);
    assert_eq!(choice(&mut fleet, now), home);
}

#[test]
fn submit_doubts_end_with_the_routers_that_told_them() {
    let now = Instant::now();
    let mut fleet = router("r", "a", now);
    let dark = told(&mut fleet, 2, "a", now);
    let later = now + Duration::from_secs(5);
    fleet.handle(later, Event::Tick);
    assert_eq!(choice(&mut fleet, later), dark);
}
