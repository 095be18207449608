//! Servers restart cold while all routers have requests for them.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::{Revision, Servers};
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, ENGINES, backend, params, prompt, sent_to, submission};

/// Limit on the requests per second to one cold server.
const LIMIT: f64 = 10.0 * 1.5 + 5.0;

/// Returns routers that know one cold engine and each other.
fn routers(count: usize, now: Instant) -> Vec<Fleet> {
    let names: Vec<String> = (0..count).map(|n| format!("r{n}")).collect();
    let mut cold = backend(ENGINES, 0);
    cold.cold = Duration::from_secs(30);
    let servers = Servers::from([("cold".to_owned(), cold)]);
    names
        .iter()
        .map(|name| {
            let mut fleet = Fleet::new(name, 1, params(), now);
            fleet.handle(now, Event::Config(Revision(1), support::config(&[])));
            fleet.handle(now, Event::Servers(Revision(1), servers.clone()));
            fleet.handle(now, Event::Members(names.clone()));
            fleet
        })
        .collect()
}

/// Sends each router a request every 10 ms; returns the most that reach the server in any second.
fn max_requests_per_second(count: usize) -> usize {
    let start = Instant::now();
    let mut routers = routers(count, start);
    let mut arrivals: Vec<Duration> = Vec::new();
    for step in 0..400_u64 {
        let elapsed = Duration::from_millis(step * 10);
        let now = start + elapsed;
        for fleet in &mut routers {
            let decisions =
                fleet.handle(now, Event::Submit(submission(step, 1, prompt(1, 10), now)));
            if sent_to(&decisions).is_some() {
                arrivals.push(elapsed);
                fleet.handle(now, Event::FirstByte(RequestKey(step)));
                fleet.handle(now, Event::Ended(RequestKey(step), Outcome::Answered));
            }
        }
    }
    let second = Duration::from_secs(1);
    let within = |from: &Duration| {
        let end = *from + second;
        arrivals
            .iter()
            .filter(|at| *at >= from && **at < end)
            .count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

#[test]
fn submit_cold_server_within_limit_of_all_routers() {
    for count in [1, 2, 3, 7, 10, 14, 30, 86, 300] {
        let most = max_requests_per_second(count);
        assert!(
            most as f64 <= LIMIT,
            "{count} routers sent {most} requests in a second"
        );
        assert!(most >= 1, "{count} routers sent nothing");
    }
}

#[test]
fn submit_server_back_from_pause_is_cold() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    let mut now = start;
    for key in 0..2 {
        fleet.handle(now, Event::Submit(submission(key, 1, prompt(1, 10), now)));
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Unreachable));
    }
    assert_eq!(
        sent_to(&fleet.handle(now, Event::Submit(submission(5, 1, prompt(1, 10), now)))),
        None
    );
    now += Duration::from_millis(500);
    let probe = fleet.handle(now, Event::Submit(submission(6, 1, prompt(1, 10), now)));
    assert!(sent_to(&probe).is_some(), "one request probes the server");
    fleet.handle(now, Event::FirstByte(RequestKey(6)));
    fleet.handle(now, Event::Ended(RequestKey(6), Outcome::Answered));
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
