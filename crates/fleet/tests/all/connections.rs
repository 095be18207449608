//! Connections of one server that all routers share.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::peers::{Report, ServerLoad};
use hibiscusrail_fleet::placement::name_hash;
use hibiscusrail_fleet::{Event, Fleet};

use super::support::{self, ENGINES, prompt, sent_to, submission};

/// Connections that the only engine accepts.
const CONNECTIONS: u32 = 80;
const ROUTERS: u32 = 8;

/// Returns a router of eight, of which `reporting` others report and use `used` connections each.
fn router(reporting: u32, used: u32, now: Instant) -> Fleet {
    let mut config = support::config(&[]);
    let deployment = config.deployment.as_mut().expect("there is a deployment");
    let service = deployment
        .services
        .get_mut(ENGINES)
        .expect("it has engines");
    service.connections = CONNECTIONS;
    let mut fleet = support::router("r0", 1, now);
    fleet.handle(
        now,
        Event::Config(hibiscusrail_fleet::objects::Revision(2), config),
    );
    let names: Vec<String> = (0..ROUTERS).map(|n| format!("r{n}")).collect();
    fleet.handle(now, Event::Members(names.clone()));
    let engine = fleet.registry().all().find(|s| s.id == "e0");
    let engine = engine.expect("it is registered").hash;
    for name in names.iter().skip(1).take(reporting as usize) {
        let report = Report {
            sender: name_hash(name),
            incarnation: 1,
            sequence: 1,
            zone: name_hash("a"),
            loads: vec![ServerLoad {
                server: engine,
                pending_prefill: 0,
                running: used,
                sent_tokens: 0,
                token_interval: 0,
                sent_requests: 0,
            }],
            ..Report::default()
        };
        fleet.handle(now, Event::Report(report));
    }
    fleet.handle(now, Event::Tick);
    fleet
}

/// Returns how many of many requests a router sends to its engine.
fn sent(fleet: &mut Fleet, now: Instant) -> u32 {
    let mut sent = 0;
    for key in 0..u64::from(CONNECTIONS) {
        let request = submission(key, key, prompt(1, 10), now);
        sent += u32::from(sent_to(&fleet.handle(now, Event::Submit(request))).is_some());
    }
    sent
}

/// Guards against overrunning a server's connections while the routers don't hear of each other.
#[test]
fn submit_without_reports_uses_even_part() {
    let now = Instant::now();
    assert_eq!(sent(&mut router(0, 0, now), now), CONNECTIONS / ROUTERS);
}

/// Guards against a router that is held to its even part while the others use nothing.
#[test]
fn submit_with_idle_others_uses_half() {
    let now = Instant::now();
    assert_eq!(sent(&mut router(ROUTERS - 1, 0, now), now), CONNECTIONS / 2);
}

#[test]
fn submit_with_busy_others_uses_what_they_leave() {
    let now = Instant::now();
    let left = CONNECTIONS / 2 - (ROUTERS - 1) * 3;
    assert_eq!(sent(&mut router(ROUTERS - 1, 3, now), now), left);
}

#[test]
fn submit_with_silent_other_leaves_its_even_part() {
    let now = Instant::now();
    let left = CONNECTIONS / 2 - CONNECTIONS / ROUTERS;
    assert_eq!(sent(&mut router(ROUTERS - 2, 0, now), now), left);
}

#[test]
fn submit_after_reports_expired_uses_even_part() {
    let now = Instant::now();
    let mut fleet = router(ROUTERS - 1, 0, now);
    let later = now + Duration::from_secs(2);
    fleet.handle(later, Event::Tick);
    support::hear_servers(&mut fleet, later);
    assert_eq!(sent(&mut fleet, later), CONNECTIONS / ROUTERS);
}
