//! Routers use a cold server while they know different members of the fleet.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::{Revision, Servers};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, ENGINES, backend, params, prompt, sent_to, submission};

/// Limit on the requests per second to one cold server.
const LIMIT: f64 = 10.0 * 1.5 + 5.0;
/// Time between two requests at each router.
const STEP: Duration = Duration::from_millis(10);
/// Time between two reports of each router.
const REPORTS: Duration = Duration::from_millis(100);
/// Simulated time of a run.
const LENGTH: Duration = Duration::from_secs(12);
/// Sizes of the fleet: both sides of the size from which zones report to each other less often.
const SIZES: [usize; 4] = [7, 14, 30, 77];

/// Routers that know one cold engine.
struct Cluster {
    start: Instant,
    elapsed: Duration,
    names: Vec<String>,
    routers: Vec<Fleet>,
    /// Arrivals at the cold engine since the start.
    arrivals: Vec<Duration>,
    next_key: u64,
}

fn new_router(name: &str, incarnation: u64, now: Instant) -> Fleet {
    let mut cold = backend(ENGINES, 0);
    cold.cold = Duration::from_secs(60);
    let servers = Servers::from([("cold".to_owned(), cold)]);
    let mut fleet = Fleet::new(name, incarnation, params(), now);
    fleet.handle(now, Event::Config(Revision(1), support::config(&[])));
    fleet.handle(now, Event::Servers(Revision(1), servers));
    fleet
}

impl Cluster {
    /// Creates routers that do not know each other.
    fn new(count: usize) -> Self {
        let start = Instant::now();
        let names: Vec<String> = (0..count).map(|n| format!("r{n}")).collect();
        let routers = names.iter().map(|n| new_router(n, 1, start)).collect();
        Self {
            start,
            elapsed: Duration::ZERO,
            names,
            routers,
            arrivals: Vec::new(),
            next_key: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    /// Tells a router the members in the table.
    fn set_members(&mut self, router: usize, members: &[String]) {
        let now = self.now();
        self.routers[router].handle(now, Event::Members(members.to_vec()));
    }

    /// Tells the routers with these numbers that these are the members.
    fn know(&mut self, numbers: std::ops::Range<usize>) {
        let members = self.names[numbers.clone()].to_vec();
        for router in numbers {
            self.set_members(router, &members);
        }
    }

    fn restart(&mut self, router: usize) {
        let now = self.now();
        self.routers[router] = new_router(&self.names[router], 2, now);
    }

    /// Delivers a full report of each router to all others.
    fn report(&mut self) {
        let now = self.now();
        for sender in 0..self.routers.len() {
            let report = self.routers[sender].report(now, Scope::All);
            for (receiver, fleet) in self.routers.iter_mut().enumerate() {
                if receiver != sender {
                    fleet.handle(now, Event::Report(report.clone()));
                }
            }
        }
        for fleet in &mut self.routers {
            fleet.handle(now, Event::Tick);
        }
    }

    /// Sends each router a request in each step, until `until` from the start.
    fn run(&mut self, until: Duration) {
        while self.elapsed < until {
            if self.elapsed.as_millis().is_multiple_of(REPORTS.as_millis()) {
                self.report();
            }
            let now = self.now();
            for fleet in &mut self.routers {
                let key = self.next_key;
                self.next_key += 1;
                let request = submission(key, 1, prompt(1, 10), now);
                if sent_to(&fleet.handle(now, Event::Submit(request))).is_some() {
                    self.arrivals.push(self.elapsed);
                    fleet.handle(now, Event::FirstByte(RequestKey(key)));
                    fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Answered));
                }
            }
            self.elapsed += STEP;
        }
    }

    /// Returns the most arrivals within any second.
    fn max_per_second(&self) -> usize {
        let second = Duration::from_secs(1);
        let within = |(first, from): (usize, &Duration)| {
            let rest = &self.arrivals[first..];
            rest.partition_point(|at| *at < *from + second)
        };
        self.arrivals
            .iter()
            .enumerate()
            .map(within)
            .max()
            .unwrap_or(0)
    }

    /// Checks that the limit held for all routers together.
    fn assert_within_limit(&self) {
        let (count, most) = (self.routers.len(), self.max_per_second());
        assert!(
            most as f64 <= LIMIT,
            "{count} routers sent {most} requests in a second"
        );
    }

    /// Checks that the server receives requests in the last second of the run.
    fn assert_used(&self) {
        let last = self.elapsed.checked_sub(Duration::from_secs(1));
        let count = self.routers.len();
        assert!(
            self.arrivals.last().copied() >= last,
            "{count} routers leave the cold server unused"
        );
    }
}

// Guards against FAILBACK while the store answers no router that has restarted.
#[test]
fn submit_cold_server_before_members_are_known() {
    for count in SIZES {
        let mut cluster = Cluster::new(count);
        cluster.run(LENGTH / 2);
        cluster.assert_within_limit();
        cluster.know(0..count);
        cluster.run(LENGTH);
        cluster.assert_within_limit();
        cluster.assert_used();
    }
}

// Guards against FAILBACK after a third of the routers were killed while the store is slow.
#[test]
fn submit_cold_server_after_a_third_restarted() {
    for count in SIZES {
        let mut cluster = Cluster::new(count);
        cluster.know(0..count);
        cluster.run(Duration::from_secs(4));
        for router in 0..count / 3 {
            cluster.restart(router);
        }
        cluster.run(Duration::from_secs(8));
        cluster.assert_used();
        let names = cluster.names.clone();
        for router in 0..count / 3 {
            cluster.set_members(router, &names);
        }
        cluster.run(LENGTH);
        cluster.assert_within_limit();
        cluster.assert_used();
    }
}

// Guards against FAILBACK while each half of the fleet has read only its own rows.
#[test]
fn submit_cold_server_with_half_of_the_rows_each() {
    for count in SIZES {
        let mut cluster = Cluster::new(count);
        cluster.know(0..count / 2);
        cluster.know(count / 2..count);
        cluster.run(LENGTH);
        cluster.assert_within_limit();
        cluster.assert_used();
    }
}

// Guards against FAILBACK while others have not read the rows of routers that were added.
#[test]
fn submit_cold_server_with_routers_added() {
    for count in SIZES {
        let mut cluster = Cluster::new(count);
        let before = count * 3 / 4;
        let others = cluster.routers.split_off(before);
        cluster.know(0..before);
        cluster.run(Duration::from_secs(4));
        cluster.routers.extend(others);
        let names = cluster.names.clone();
        for router in before..count {
            // The table as read before and after the router's own row is written.
            cluster.set_members(router, &names[..before]);
            cluster.set_members(router, &names);
        }
        cluster.run(LENGTH);
        cluster.assert_within_limit();
        cluster.assert_used();
    }
}

// Guards against FAILBACK while routers whose rows are gone still serve, in their grace or cut off
// from the store.
#[test]
fn submit_cold_server_with_rows_removed_early() {
    for count in SIZES {
        let mut cluster = Cluster::new(count);
        cluster.know(0..count);
        cluster.run(Duration::from_secs(4));
        let names = cluster.names.clone();
        for router in count / 4..count {
            cluster.set_members(router, &names[count / 4..]);
        }
        cluster.run(LENGTH);
        cluster.assert_within_limit();
        cluster.assert_used();
    }
}
