//! Reports between routers that are lost, duplicated and reordered.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::peers::Report;
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};
use proptest::prelude::*;

use super::support::{self, prompt, submission};

fn running(fleet: &Fleet) -> u32 {
    fleet.registry().all().map(|s| s.peer_load.running).sum()
}

/// Returns reports of a router that starts a request before each of them.
fn reports(count: u64, now: Instant) -> Vec<Report> {
    let mut sender = support::router("sender", 4, now);
    (0..count)
        .map(|key| {
            sender.handle(now, Event::Submit(submission(key, 1, prompt(key, 10), now)));
            sender.report(now, Scope::All)
        })
        .collect()
}

#[test]
fn report_has_complete_load() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    let reports = reports(3, now);
    fleet.handle(now, Event::Report(reports[2].clone()));
    assert_eq!(running(&fleet), 3);
}

#[test]
fn report_expires() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    fleet.handle(now, Event::Report(reports(3, now)[2].clone()));
    fleet.handle(now + Duration::from_secs(2), Event::Tick);
    assert_eq!(running(&fleet), 0);
}

#[test]
fn report_of_restarted_router_replaces_previous() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    fleet.handle(now, Event::Report(reports(3, now)[2].clone()));
    let mut again = Fleet::new("sender", 2, support::params(), now);
    fleet.handle(now, Event::Report(again.report(now, Scope::All)));
    assert_eq!(running(&fleet), 0);
}

#[test]
fn report_without_requests_is_empty() {
    let now = Instant::now();
    let mut sender = support::router("sender", 4, now);
    sender.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    sender.handle(now, Event::Ended(RequestKey(1), Outcome::Answered));
    let later = now + Duration::from_secs(5);
    assert!(sender.report(later, Scope::All).loads.is_empty());
}

proptest! {
    #[test]
    fn report_newest_wins_in_any_order(
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

/// Returns routers of one zone that know and have received each other's reports at `now`, given the
/// milliseconds since the store last answered each.
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
            report.read_age = Some(*age);
            report
        })
        .collect();
    let names: Vec<String> = (0..ages.len()).map(|n| format!("r{n}")).collect();
    for fleet in &mut routers {
        fleet.handle(now, Event::Members(names.clone()));
        for report in &reports {
            fleet.handle(now, Event::Report(report.clone()));
        }
    }
    routers
}

fn store_readers(routers: &[Fleet], now: Instant) -> usize {
    routers.iter().filter(|f| f.reads_store(now)).count()
}

#[test]
fn reads_store_two_routers_of_each_zone() {
    let now = Instant::now() + Duration::from_secs(60);
    for size in [1, 2, 3, 29] {
        assert_eq!(store_readers(&zone(&vec![0; size], now), now), size.min(2));
    }
}

#[test]
fn reads_store_all_routers_if_store_answers_none() {
    let now = Instant::now() + Duration::from_secs(60);
    assert_eq!(store_readers(&zone(&[5_000; 9], now), now), 9);
}

#[test]
fn reads_store_unreachable_routers_are_replaced() {
    let now = Instant::now() + Duration::from_secs(60);
    let routers = zone(&[0; 9], now);
    assert_eq!(store_readers(&routers, now + Duration::from_secs(2)), 9);
}

#[test]
fn reads_store_router_without_configuration() {
    let now = Instant::now();
    let fleet = Fleet::new("r", 1, support::params(), now);
    assert!(fleet.reads_store(now));
}
