//! Servers that start again under their ids, as many routers see them: before the new registration is
//! read, or without a store.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::{Backend, OperatorConfig, Revision, Servers};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, Params, RequestKey};

use super::support::{self, ENGINES, backend, params, prompt, submission};

/// Limit on the requests per second to one cold server.
const LIMIT: usize = 20;
const COLD: Duration = Duration::from_secs(3);
const ZONES: [&str; 3] = ["a", "b", "c"];
const SERVERS: usize = 9;
/// Servers that crash: one of each zone.
const CRASHED: [usize; 3] = [0, 4, 8];
/// Requests per second of the fleet, which the servers that are left can bear.
const DEMAND: f64 = 300.0;
const STEP: Duration = Duration::from_millis(10);
const EVENT_GAP: Duration = Duration::from_millis(60);
const STREAM_TIME: Duration = Duration::from_millis(900);
/// Silence after which a router looks for another server for a stream.
const STALL_TIME: Duration = Duration::from_millis(1_200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const CRASH_AT: Duration = Duration::from_secs(6);
/// Sizes of the fleet: both sides of the size from which zones report to each other less often.
const SIZES: [usize; 4] = [7, 14, 30, 77];

/// What happens to the servers in [`CRASHED`] and to the routers.
#[derive(Debug, Clone, Copy)]
struct Day {
    routers: usize,
    /// Whether the servers' hosts answer nothing while they are down; connections are refused otherwise.
    dark: bool,
    down: Duration,
    /// Whether the servers go on with what they were running.
    silent: bool,
    /// Time from the start to the moment at which all routers know of it; none while the store is silent.
    registered: Option<Duration>,
    /// Whether a third of the routers restart while the servers are down.
    restarts: bool,
    /// Whether reports reach routers of the same zone alone.
    cut: bool,
}

const RESTART: Day = Day {
    routers: 7,
    dark: false,
    down: Duration::from_millis(1_200),
    silent: false,
    registered: Some(Duration::from_millis(400)),
    restarts: false,
    cut: false,
};

/// A stream at a server, or a connection that is being opened.
struct Stream {
    router: usize,
    key: RequestKey,
    server: usize,
    sent: Duration,
    heard: Duration,
    began: bool,
    /// Whether the server has the request.
    arrived: bool,
}

struct Cluster {
    day: Day,
    start: Instant,
    elapsed: Duration,
    routers: Vec<Fleet>,
    streams: Vec<Stream>,
    /// Arrivals at each server.
    arrivals: Vec<Vec<Duration>>,
    refused: Vec<Duration>,
    next_key: u64,
    registered: bool,
}

fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

fn config() -> OperatorConfig {
    let mut config = support::config(&[]);
    if let Some(deployment) = &mut config.deployment {
        deployment.limits.throughput = 1e9;
    }
    config
}

fn registration(number: usize, born: u64, cold: Duration) -> Backend {
    Backend {
        zone: zone(number / ZONES.len()).to_owned(),
        born,
        cold,
        ..backend(ENGINES, u16::try_from(number).unwrap_or(0))
    }
}

fn server_id(number: usize) -> String {
    format!("e{number}")
}

impl Cluster {
    fn new(day: Day) -> Self {
        let start = Instant::now();
        let mut cluster = Self {
            day,
            start,
            elapsed: Duration::ZERO,
            routers: Vec::new(),
            streams: Vec::new(),
            arrivals: vec![Vec::new(); SERVERS],
            refused: Vec::new(),
            next_key: 0,
            registered: false,
        };
        let routers = (0..day.routers).map(|n| cluster.router(n, 1)).collect();
        cluster.routers = routers;
        cluster
    }

    fn now(&self) -> Instant {
        // Routers look back, also at the first moment.
        self.start + Duration::from_secs(100) + self.elapsed
    }

    fn back_at(&self) -> Duration {
        CRASH_AT + self.day.down
    }

    fn is_up(&self, server: usize) -> bool {
        !CRASHED.contains(&server) || self.elapsed < CRASH_AT || self.elapsed >= self.back_at()
    }

    /// Returns a router that the table of routers lists for some time.
    fn router(&self, number: usize, incarnation: u64) -> Fleet {
        let now = self.now();
        let params = Params {
            zone: zone(number).to_owned(),
            ..params()
        };
        let name = |n: usize| format!("r{n}");
        let mut fleet = Fleet::new(&name(number), incarnation, params, now);
        let members = (0..self.day.routers).map(name).collect();
        fleet.handle(now - Duration::from_secs(5), Event::Members(members));
        fleet.handle(now, Event::Config(Revision(1), config()));
        fleet.handle(now, Event::Servers(Revision(1), self.registrations(false)));
        fleet
    }

    fn registrations(&self, restarted: bool) -> Servers {
        let entry = |n: usize| {
            let (born, cold) = if restarted && CRASHED.contains(&n) {
                (2, (self.back_at() + COLD).saturating_sub(self.elapsed))
            } else {
                (1, Duration::ZERO)
            };
            (server_id(n), registration(n, born, cold))
        };
        (0..SERVERS).map(entry).collect()
    }

    fn run(&mut self, until: Duration) {
        while self.elapsed < until {
            self.change();
            self.advance_streams();
            self.submit();
            self.report();
            self.elapsed += STEP;
        }
    }

    /// Makes the routers restart and know the new registrations.
    fn change(&mut self) {
        if self.day.restarts && self.elapsed == CRASH_AT + self.day.down / 2 {
            for number in 0..self.day.routers / 3 {
                self.streams.retain(|s| s.router != number);
                self.routers[number] = self.router(number, 2);
            }
        }
        let known_at = self.day.registered.map(|after| self.back_at() + after);
        if !self.day.silent && !self.registered && known_at.is_some_and(|at| self.elapsed >= at) {
            self.registered = true;
            let (now, servers) = (self.now(), self.registrations(true));
            for fleet in &mut self.routers {
                fleet.handle(now, Event::Servers(Revision(2), servers.clone()));
            }
        }
    }

    fn advance_streams(&mut self) {
        for mut stream in std::mem::take(&mut self.streams) {
            let (key, now) = (stream.key, self.elapsed);
            let silence = now - stream.heard;
            let is_lost = !self.day.silent && stream.sent < CRASH_AT && now >= CRASH_AT;
            let is_lost = CRASHED.contains(&stream.server) && (is_lost || !stream.arrived);
            let event = if !is_lost && self.is_up(stream.server) {
                if now >= stream.sent + STREAM_TIME {
                    Some(Event::Ended(key, Outcome::Answered))
                } else if silence < EVENT_GAP {
                    None
                } else if std::mem::replace(&mut stream.began, true) {
                    let (gap, tokens) = (silence, 7);
                    Some(Event::StreamProgress { key, gap, tokens })
                } else {
                    Some(Event::FirstByte(key))
                }
            } else if !stream.arrived {
                let refuses = !self.day.dark || silence >= CONNECT_TIMEOUT;
                refuses.then_some(Event::Ended(key, Outcome::Unreachable))
            } else if self.day.dark || self.day.silent {
                (silence >= STALL_TIME && is_lost).then_some(Event::Ended(key, Outcome::Broken))
            } else {
                Some(Event::Ended(key, Outcome::Broken))
            };
            let Some(event) = event else {
                self.streams.push(stream);
                continue;
            };
            let ends = matches!(event, Event::Ended(..));
            let router = stream.router;
            stream.heard = now;
            if !ends {
                self.streams.push(stream);
            }
            self.handle(router, event);
        }
    }

    fn submit(&mut self) {
        let interval = self.routers.len() as f64 / DEMAND;
        for router in 0..self.routers.len() {
            let phase = router as f64 / DEMAND;
            let count = |at: Duration| ((at.as_secs_f64() + phase) / interval).floor();
            if count(self.elapsed + STEP) > count(self.elapsed) {
                let key = self.next_key;
                self.next_key += 1;
                let request = submission(key, 1, prompt(key % 23, 10), self.now());
                self.handle(router, Event::Submit(request));
            }
        }
    }

    /// Has a router handle an event, and delivers the requests that it sends.
    fn handle(&mut self, router: usize, event: Event) {
        let now = self.now();
        let decisions = self.routers[router].handle(now, event);
        for decision in decisions {
            match decision {
                Decision::Send { request, id, .. } => {
                    let server = (0..SERVERS).find(|n| server_id(*n) == id);
                    let server = server.expect("the server is registered");
                    let arrived = self.is_up(server);
                    if arrived {
                        self.arrivals[server].push(self.elapsed);
                    }
                    self.streams.push(Stream {
                        router,
                        key: request,
                        server,
                        sent: self.elapsed,
                        heard: self.elapsed,
                        began: false,
                        arrived: arrived || self.day.silent,
                    });
                }
                Decision::Fail { .. } => self.refused.push(self.elapsed),
                _ => {}
            }
        }
    }

    /// Delivers the reports of the routers whose period ends.
    fn report(&mut self) {
        let now = self.now();
        let step = self.elapsed.as_millis() / STEP.as_millis();
        for sender in 0..self.routers.len() {
            if !(step + sender as u128).is_multiple_of(10) {
                continue;
            }
            let round = (step + sender as u128) / 10 + sender as u128;
            let fleet = &mut self.routers[sender];
            fleet.handle(now, Event::LoopLag(Duration::ZERO));
            fleet.handle(now, Event::Tick);
            let periods = u128::from(fleet.cross_zone_periods());
            let scope = if round.is_multiple_of(periods) {
                Scope::All
            } else {
                Scope::Zone
            };
            let report = fleet.report(now, scope);
            let to_all = scope == Scope::All && !self.day.cut;
            for (receiver, fleet) in self.routers.iter_mut().enumerate() {
                let is_reached = to_all || zone(receiver) == zone(sender);
                if receiver != sender && is_reached {
                    fleet.handle(now, Event::Report(report.clone()));
                }
            }
        }
    }

    /// Returns the most arrivals at a restarted server in any second of its cold time.
    fn most_while_cold(&self) -> usize {
        let second = Duration::from_secs(1);
        let (from, until) = (self.back_at(), self.back_at() + COLD);
        let most = CRASHED.iter().flat_map(|server| {
            let cold = self.arrivals[*server].iter();
            let cold: Vec<Duration> = cold
                .copied()
                .filter(|at| (from..until).contains(at))
                .collect();
            let within = |at: &Duration| {
                let later = cold.iter().filter(|a| **a >= *at && **a < *at + second);
                later.count()
            };
            cold.iter().map(within).collect::<Vec<_>>()
        });
        most.max().unwrap_or(0)
    }

    /// Returns the arrivals at the servers that crash between two moments.
    fn arrivals_between(&self, from: Duration, until: Duration) -> usize {
        let arrivals = CRASHED.iter().flat_map(|s| &self.arrivals[*s]);
        arrivals.filter(|at| (from..until).contains(at)).count()
    }
}

/// Checks that servers which start again are not flooded, and that no request is refused in calm.
fn check_restart(day: Day) {
    for routers in SIZES {
        for (dark, down) in [(false, 400), (false, 1_200), (true, 400), (true, 1_200)] {
            let day = Day {
                routers,
                dark,
                down: Duration::from_millis(down),
                ..day
            };
            let mut cluster = Cluster::new(day);
            let end = cluster.back_at() + COLD + Duration::from_secs(1);
            cluster.run(end);
            let most = cluster.most_while_cold();
            assert!(most <= LIMIT, "{most} requests in a second: {day:?}");
            let second = Duration::from_secs(1);
            for calm in [CRASH_AT - second..CRASH_AT, end - second..end] {
                let refused = cluster.refused.iter().filter(|at| calm.contains(at));
                assert_eq!(refused.count(), 0, "refused in {calm:?}: {day:?}");
            }
        }
    }
}

/// Guards against a flood of a cold server whose new registration no router has read.
#[test]
fn restarted_server_keeps_limit_before_registration() {
    check_restart(RESTART);
}

/// Guards against a flood of a cold server while the store tells no router of its restart.
#[test]
fn restarted_server_keeps_limit_without_store() {
    check_restart(Day {
        registered: None,
        ..RESTART
    });
}

/// Guards against a flood of a cold server by routers that started while it was down.
#[test]
fn restarted_server_keeps_limit_with_restarted_routers() {
    check_restart(Day {
        restarts: true,
        registered: None,
        ..RESTART
    });
}

/// Guards against a flood of a cold server by zones that do not hear of each other.
#[test]
fn restarted_server_keeps_limit_with_zones_cut_off() {
    check_restart(Day {
        cut: true,
        registered: None,
        ..RESTART
    });
}

/// Guards against a server that is taken for a cold one after it was only silent.
#[test]
fn silent_server_is_used_again_at_once() {
    for routers in SIZES {
        let day = Day {
            routers,
            silent: true,
            down: Duration::from_secs(1),
            registered: None,
            ..RESTART
        };
        let mut cluster = Cluster::new(day);
        let (second, back) = (Duration::from_secs(1), cluster.back_at());
        cluster.run(back + second * 2);
        let before = cluster.arrivals_between(CRASH_AT - second, CRASH_AT);
        let after = cluster.arrivals_between(back + second / 2, back + second * 3 / 2);
        assert!(after * 2 >= before, "{after} after {before}: {day:?}");
    }
}
