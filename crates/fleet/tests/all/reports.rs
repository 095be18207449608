//! Reports between routers that are lost, repeated and overtaken.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::peers::Report;
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};
use proptest::prelude::*;

use super::support::{self, ask, prompt};

fn running(fleet: &Fleet) -> u32 {
    fleet.roster().all().map(|s| s.peer_load.running).sum()
}

/// Reports of a router that begins a request before each of them.
fn reports(count: u64, now: Instant) -> Vec<Report> {
    let mut sender = support::router("sender", 4, now);
    (0..count)
        .map(|key| {
            sender.handle(now, Event::Submit(ask(key, 1, prompt(key, 10), now)));
            sender.report(now, Scope::All)
        })
        .collect()
}

#[test]
fn report_names_the_senders_whole_load() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    let reports = reports(3, now);
    fleet.handle(now, Event::Report(reports[2].clone()));
    assert_eq!(running(&fleet), 3);
}

#[test]
fn report_of_a_router_that_fell_silent_no_longer_counts() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    fleet.handle(now, Event::Report(reports(3, now)[2].clone()));
    fleet.handle(now + Duration::from_secs(2), Event::Tick);
    assert_eq!(running(&fleet), 0);
}

#[test]
fn report_of_a_restarted_router_replaces_the_one_before() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    fleet.handle(now, Event::Report(reports(3, now)[2].clone()));
    let mut again = Fleet::new("sender", 2, support::params(), now);
    fleet.handle(now, Event::Report(again.report(now, Scope::All)));
    assert_eq!(running(&fleet), 0);
}

#[test]
fn report_after_the_end_of_all_requests_is_empty() {
    let now = Instant::now();
    let mut sender = support::router("sender", 4, now);
    sender.handle(now, Event::Submit(ask(1, 1, prompt(1, 10), now)));
    sender.handle(now, Event::Ended(RequestKey(1), Outcome::Answered));
    let later = now + Duration::from_secs(5);
    assert!(sender.report(later, Scope::All).loads.is_empty());
}

proptest! {
    #[test]
    fn report_any_order_and_loss_ends_with_the_newest(
        order in prop::collection::vec(0_usize..8, 0..30),
    ) {
        let now = Instant::now();
        let reports = reports(8, now);
        let mut fleet = support::router("r", 4, now);
        for at in &order {
            fleet.handle(now, Event::Report(reports[*at].clone()));
        }
        let newest = order.iter().max().map_or(0, |at| u32::try_from(at + 1).unwrap());
        prop_assert_eq!(running(&fleet), newest);
    }
}

/// Routers of one zone that have all heard each other at `now`, with the age of
/// the store's last answer at each.
fn zone(ages: &[u64], now: Instant) -> Vec<Fleet> {
    let mut routers: Vec<Fleet> = (0..ages.len())
        .map(|n| support::router(&format!("r{n}"), 1, now))
        .collect();
    let reports: Vec<Report> = routers
        .iter_mut()
        .zip(ages)
        .map(|(fleet, age)| {
            let mut report = fleet.report(now, Scope::All);
            report.store_age = *age;
            report
        })
        .collect();
    for fleet in &mut routers {
        for report in &reports {
            fleet.handle(now, Event::Report(report.clone()));
        }
    }
    routers
}

fn watching(routers: &[Fleet], now: Instant) -> usize {
    routers.iter().filter(|f| f.watches(now)).count()
}

#[test]
fn watches_two_routers_of_a_zone_follow_the_store() {
    let now = Instant::now() + Duration::from_secs(60);
    for size in [1, 2, 3, 29] {
        assert_eq!(watching(&zone(&vec![0; size], now), now), size.min(2));
    }
}

#[test]
fn watches_all_do_when_the_store_answers_nobody() {
    let now = Instant::now() + Duration::from_secs(60);
    assert_eq!(watching(&zone(&[5_000; 9], now), now), 9);
}

#[test]
fn watches_routers_that_fell_silent_are_replaced() {
    let now = Instant::now() + Duration::from_secs(60);
    let routers = zone(&[0; 9], now);
    assert_eq!(watching(&routers, now + Duration::from_secs(2)), 9);
}

#[test]
fn watches_router_without_configuration_asks_the_store() {
    let now = Instant::now();
    let fleet = Fleet::new("r", 1, support::params(), now);
    assert!(fleet.watches(now));
}
