//! Routers, servers, network and store of a case.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::freshness::{Confirmation, Source};
use hibiscusrail_fleet::model::Learn;
use hibiscusrail_fleet::objects::{
    Backend, Deployment, Limits, OperatorConfig, Repeat, Revision, Route, Servers, Service, Target,
};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::retry::RetryBound;
use hibiscusrail_fleet::rollout::order::{Bounds, Order, Proposal, State, Status};
use hibiscusrail_fleet::unrecorded::Shard;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, Params, RequestKey, Submission};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::oracle::{CONTACT, Oracle};
use super::store::{CALL_TIME, CALL_TIMEOUT, Call, Store};
use super::{Link, ROUTERS, Step, VERSIONS};

/// Time by which one step of the simulation advances the clock.
const STEP: Duration = Duration::from_millis(10);
/// Interval of reports, reads of the tables and calls to the store.
const EXCHANGE: Duration = Duration::from_millis(100);
/// Time in which routers serve requests before the first order.
const WARM_UP: Duration = Duration::from_secs(6);
/// Time limit of an order.
const LIMIT: Duration = Duration::from_secs(12);
/// Time in which an order ends after its limit once nothing fails any more.
const SETTLE: Duration = Duration::from_secs(8);
/// Time after which the servers of a version leave whose rollout was reverted.
const DRAIN_DELAY: Duration = Duration::from_secs(3);
/// Time after which a connection to the other zone fails while that is cut off.
const CONNECT_TIME: Duration = Duration::from_millis(100);
/// Probability of a request at each router in each step.
const REQUEST_RATE: f64 = 0.4;
/// Probability that a report is lost.
const LOSS: f64 = 0.1;
/// Time of day at the start, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;
const SERVICE: &str = "plain";
const ZONES: [&str; 2] = ["a", "b"];
const FIRST_VERSION: &str = "v1";
const SERVERS_PER_VERSION: usize = 4;
const BOUNDS: Bounds = Bounds {
    share: 0.1,
    slack: 50.0,
    rollback: Duration::from_secs(5),
    max_skew: Duration::from_secs(6),
};

struct Router {
    /// None while the process is dead.
    fleet: Option<Fleet>,
    incarnation: u64,
    link: Link,
    /// When this router was last disturbed: killed, started, or without the store or the others.
    disturbed: Instant,
    /// Until when it waits for a call to the store.
    waits: Option<Instant>,
}

/// Request at a server.
struct Pending {
    due: Instant,
    router: usize,
    incarnation: u64,
    request: RequestKey,
    server: String,
    version: String,
    outcome: Outcome,
    /// Whether the server, and not the network, is at fault for a failure.
    is_bad: bool,
}

/// How the servers of a version respond.
#[derive(Default)]
struct Behaviour {
    failures: f64,
    refuses: bool,
}

/// State of a case.
pub struct World {
    now: Instant,
    start: Instant,
    rng: SmallRng,
    routers: Vec<Router>,
    pending: Vec<Pending>,
    store: Store,
    config: OperatorConfig,
    servers: Servers,
    revision: u64,
    behaviours: BTreeMap<String, Behaviour>,
    is_cut: bool,
    /// When the servers of the version in the status row leave.
    leaves: Option<(Instant, String)>,
    next_request: u64,
    oracle: Oracle,
}

impl World {
    /// Starts routers that serve requests with the first version for some time.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let start = Instant::now();
        let mut world = Self {
            now: start,
            start,
            rng: SmallRng::seed_from_u64(seed),
            routers: Vec::new(),
            pending: Vec::new(),
            store: Store::default(),
            config: config(),
            servers: Servers::new(),
            revision: 10,
            behaviours: BTreeMap::new(),
            is_cut: false,
            leaves: None,
            next_request: 0,
            oracle: Oracle::new(start, BOUNDS, LIMIT, FIRST_VERSION),
        };
        world.start_servers(FIRST_VERSION);
        for index in 0..ROUTERS {
            let mut router = Router {
                fleet: None,
                incarnation: 0,
                link: Link::Up,
                disturbed: start,
                waits: None,
            };
            world.start_router(index, &mut router);
            world.routers.push(router);
        }
        world.advance(WARM_UP);
        world
    }

    /// Executes a step.
    pub fn step(&mut self, step: &Step) {
        match step {
            Step::Advance(time) => self.advance(*time),
            Step::Order {
                version,
                failures,
                refuses,
            } => self.order(VERSIONS[*version], *failures, *refuses),
            Step::Kill(index) => {
                let router = &mut self.routers[*index];
                router.fleet = None;
                router.waits = None;
                router.disturbed = self.now;
            }
            Step::Restart(index) => self.restart(*index),
            Step::Store(mask, link) => {
                for (index, router) in self.routers.iter_mut().enumerate() {
                    if mask & 1 << index != 0 {
                        router.link = *link;
                    }
                }
            }
            Step::Cut(is_cut) => self.is_cut = *is_cut,
        }
    }

    /// Ends all faults, and checks that the order in force gets a final state.
    pub fn settle(&mut self) {
        self.is_cut = false;
        for index in 0..ROUTERS {
            self.routers[index].link = Link::Up;
            if self.routers[index].fleet.is_none() {
                self.restart(index);
            }
        }
        self.advance(LIMIT + SETTLE);
        if let Some(order) = self.store.order {
            let state = self.oracle.state();
            assert!(state.is_some_and(State::is_final), "{order}: {state:?}");
        }
    }

    /// Returns the oracle.
    #[must_use]
    pub fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    fn order(&mut self, to: &str, failures: u8, refuses: bool) {
        let is_listed = self.servers.values().any(|s| s.version == to);
        if !is_listed {
            let failures = f64::from(failures) / 100.0;
            self.behaviours
                .insert(to.to_owned(), Behaviour { failures, refuses });
            self.start_servers(to);
        }
        let is_bad = self.behaviours.get(to).is_some_and(|b| b.failures > 0.0);
        self.leaves.take_if(|(_, version)| version == to);
        self.revision += 1;
        let order = Order {
            version: self.revision,
            to: Some(to.to_owned()),
            duration: LIMIT,
        };
        self.store.order = Some(order.version);
        // The version in service is not rolled out, so that no rule bounds its requests.
        let is_bad = is_bad && to != self.oracle.in_service();
        self.oracle
            .record_order(self.now, order.version, to, is_bad);
        self.config.rollouts.insert(SERVICE.to_owned(), order);
    }

    fn start_servers(&mut self, version: &str) {
        self.revision += 1;
        for number in 0..SERVERS_PER_VERSION {
            let port = 8_000 + u16::try_from(self.servers.len()).unwrap_or(0);
            let backend = Backend {
                service: SERVICE.to_owned(),
                address: SocketAddr::from(([10, 0, 0, 1], port)),
                zone: ZONES[number % 2].to_owned(),
                version: version.to_owned(),
                leaving: false,
                lapsed: false,
                slots: 24,
                cold: Duration::ZERO,
                sequence: 1,
                born: self.revision,
            };
            let id = format!("{version}-{}-{number}", self.revision);
            self.servers.insert(id, backend);
        }
    }

    fn stop_servers(&mut self, is_stopped: impl Fn(&str) -> bool) {
        self.revision += 1;
        self.servers.retain(|_, s| !is_stopped(&s.version));
    }

    fn start_router(&self, index: usize, router: &mut Router) {
        router.incarnation += 1;
        router.disturbed = self.now;
        router.waits = None;
        let name = format!("r{index}");
        let mut fleet = Fleet::new(&name, router.incarnation, params(index), self.now);
        let names = (0..ROUTERS).map(|n| format!("r{n}")).collect();
        fleet.handle(self.now, Event::Members(names));
        router.fleet = Some(fleet);
    }

    fn restart(&mut self, index: usize) {
        let mut router = self.routers.remove(index);
        self.start_router(index, &mut router);
        self.routers.insert(index, router);
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.end_requests();
            self.send_requests();
            let elapsed = self.now.saturating_duration_since(self.start).as_millis();
            if elapsed.is_multiple_of(EXCHANGE.as_millis()) {
                self.record_disturbances();
                self.exchange_reports();
                self.read_tables();
                self.call_store();
            }
            self.execute_calls();
            if let Some((_, version)) = self.leaves.take_if(|(at, _)| *at <= self.now) {
                self.stop_servers(|v| v == version);
            }
        }
    }

    /// Returns whether a router is in the zone that is cut off.
    fn is_cut_off(&self, router: usize) -> bool {
        self.is_cut && router % 2 == 1
    }

    fn record_disturbances(&mut self) {
        for index in 0..ROUTERS {
            let is_cut = self.is_cut_off(index);
            let router = &mut self.routers[index];
            if is_cut || router.link != Link::Up || router.fleet.is_none() {
                router.disturbed = self.now;
            }
        }
        if self.routers.iter().any(|r| r.link != Link::Up) || self.is_cut {
            self.oracle.store_disturbed();
        }
    }

    fn send_requests(&mut self) {
        for index in 0..ROUTERS {
            if !self.rng.random_bool(REQUEST_RATE) {
                continue;
            }
            self.next_request += 1;
            let submission = submission(self.next_request, self.now);
            self.handle(index, Event::Submit(submission));
        }
    }

    /// Passes an event to a router, and its requests on to servers.
    fn handle(&mut self, index: usize, event: Event) {
        let Some(fleet) = &mut self.routers[index].fleet else {
            return;
        };
        for decision in fleet.handle(self.now, event) {
            if let Decision::Send {
                request,
                id,
                version,
                ..
            } = decision
            {
                self.send(index, request, id, version);
            }
        }
    }

    fn send(&mut self, router: usize, request: RequestKey, server: String, version: String) {
        let took = Duration::from_millis(self.rng.random_range(8..25));
        let mut pending = Pending {
            due: self.now + took,
            router,
            incarnation: self.routers[router].incarnation,
            request,
            outcome: Outcome::Answered,
            is_bad: false,
            server,
            version,
        };
        let zone = self.servers.get(&pending.server).map(|s| s.zone.as_str());
        let behaviour = self.behaviours.get(&pending.version);
        let failures = behaviour.map_or(0.0, |b| b.failures);
        if zone.is_none() {
            pending.outcome = Outcome::Unreachable;
        } else if self.is_cut && zone != Some(ZONES[router % 2]) {
            pending.due = self.now + CONNECT_TIME;
            pending.outcome = Outcome::Unreachable;
        } else {
            if self.rng.random_bool(failures) {
                let refuses = behaviour.is_some_and(|b| b.refuses);
                let refused = [Outcome::Failed, Outcome::Unreachable];
                pending.outcome = refused[usize::from(refuses)];
                pending.is_bad = true;
            }
            let disturbed = self.routers[router].disturbed;
            let in_touch = self.now.saturating_duration_since(disturbed) > CONTACT;
            self.oracle
                .record_sent(self.now, &pending.version, in_touch);
        }
        self.pending.push(pending);
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let due: Vec<Pending> = self.pending.extract_if(.., |p| p.due <= now).collect();
        for pending in due {
            let router = &self.routers[pending.router];
            if router.fleet.is_none() || router.incarnation != pending.incarnation {
                continue;
            }
            if pending.is_bad && !self.is_cut_off(pending.router) {
                self.oracle.record_bad(now, &pending.version);
            }
            let is_gone = !self.servers.contains_key(&pending.server);
            let outcome = match pending.outcome {
                Outcome::Answered if is_gone => Outcome::Broken,
                outcome => outcome,
            };
            if outcome == Outcome::Answered {
                self.handle(pending.router, Event::FirstByte(pending.request));
            }
            self.handle(pending.router, Event::Ended(pending.request, outcome));
        }
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        let reports: Vec<_> = self
            .routers
            .iter_mut()
            .map(|r| r.fleet.as_mut().map(|f| f.report(now, Scope::All)))
            .collect();
        for (sender, report) in reports.into_iter().enumerate() {
            let Some(report) = report else {
                continue;
            };
            for index in 0..ROUTERS {
                let is_cut = self.is_cut && index % 2 != sender % 2;
                if index != sender && !is_cut && !self.rng.random_bool(LOSS) {
                    self.handle(index, Event::Report(report.clone()));
                }
            }
        }
        for index in 0..ROUTERS {
            self.handle(index, Event::Tick);
        }
    }

    /// Lets the routers read the operator configuration and the servers.
    fn read_tables(&mut self) {
        let revision = Revision(self.revision);
        let confirmation = Confirmation {
            revision,
            complete: revision,
            at: self.now,
            source: Source::Store,
        };
        for index in 0..ROUTERS {
            if self.is_cut_off(index) || self.routers[index].link != Link::Up {
                continue;
            }
            self.handle(index, Event::ConfigConfirmed(confirmation));
            self.handle(index, Event::Config(revision, self.config.clone()));
            self.handle(index, Event::ServersConfirmed(confirmation));
            self.handle(index, Event::Servers(revision, self.servers.clone()));
        }
    }

    fn epoch(&self) -> u64 {
        let elapsed = self.now.saturating_duration_since(self.start).as_millis();
        EPOCH + u64::try_from(elapsed).unwrap_or(0)
    }

    /// Makes the calls that the routers propose, one at a time for each.
    fn call_store(&mut self) {
        for index in 0..ROUTERS {
            let (now, epoch) = (self.now, self.epoch());
            let is_refused = self.is_cut_off(index) || self.routers[index].link == Link::Refused;
            let router = &mut self.routers[index];
            router.waits.take_if(|until| *until <= now);
            let Some(fleet) = router.fleet.as_mut().filter(|_| router.waits.is_none()) else {
                continue;
            };
            let proposal = fleet.rollout_proposals(now, epoch).into_iter().next();
            if let Some(proposal) = proposal.filter(|_| !is_refused) {
                self.send_call(index, proposal, false);
            }
        }
    }

    fn send_call(&mut self, index: usize, proposal: Proposal, is_write: bool) {
        let router = &mut self.routers[index];
        router.waits = Some(self.now + CALL_TIMEOUT);
        let time = match router.link {
            Link::Late(ms) => Duration::from_millis(ms),
            _ => CALL_TIME,
        };
        self.store.send(Call {
            router: index,
            incarnation: router.incarnation,
            proposal,
            sent: self.now,
            due: self.now + time,
            is_lost: router.link == Link::ResponsesLost,
            expected: is_write.then(|| self.store.versions()),
        });
    }

    fn execute_calls(&mut self) {
        for call in self.store.take_due(self.now) {
            let status = call.proposal.status.as_ref();
            if let Some((status, expected)) = status.zip(call.expected)
                && self.store.write(status, expected)
            {
                let status = status.clone();
                self.written(&status);
            }
            let router = &self.routers[call.router];
            let is_waiting = router.incarnation == call.incarnation && router.waits.is_some();
            let is_late = self.now.saturating_duration_since(call.sent) >= CALL_TIMEOUT;
            if !is_waiting || is_late || call.is_lost || self.is_cut_off(call.router) {
                continue;
            }
            self.answer(call);
        }
    }

    /// Passes the answer of a call to its router, which writes after a read as the daemon does.
    fn answer(&mut self, call: Call) {
        let index = call.router;
        let mut proposal = call.proposal;
        let order = proposal.order;
        let read = self.store.status.as_ref();
        let is_kept = read.is_some_and(|s| s.order == order && s.state.is_final());
        let is_refused = self.routers[index].link == Link::Refused;
        let is_write = call.expected.is_none() && !is_kept && self.store.order == Some(order);
        if let Some(fleet) = &mut self.routers[index].fleet
            && is_write
            && !is_refused
        {
            proposal.status = fleet.confirm_rollout(self.now, &proposal, read);
            if proposal.status.is_some() {
                return self.send_call(index, proposal, true);
            }
        }
        self.routers[index].waits = None;
        let event = Event::RolloutStatus {
            epoch_ms: self.epoch(),
            service: proposal.service,
            status: self.store.status.clone(),
        };
        self.handle(index, event);
    }

    /// Does what the operator does once a state was written.
    fn written(&mut self, status: &Status) {
        let (now, to) = (self.now, &status.to);
        self.oracle
            .record_state(now, status.order, to, status.state);
        match status.state {
            State::InProgress => {}
            State::Completed => self.stop_servers(|v| v != to),
            State::Reverted => self.leaves = Some((now + DRAIN_DELAY, to.clone())),
        }
    }
}

fn params(index: usize) -> Params {
    Params {
        zone: ZONES[index % 2].to_owned(),
        cold_factor: 1.5,
        cold_slack: 5.0,
        drain_bound: Duration::from_secs(2),
        config_bound: Duration::from_secs(2),
        quota_window: Duration::from_secs(4),
        retries: RetryBound {
            ratio: 0.2,
            constant: 54.0,
            window: Duration::from_secs(10),
        },
        report_period: EXCHANGE,
        report_ttl: Duration::from_millis(1_500),
        rollout: Some(BOUNDS),
        read_rate: 55.0,
        step_time: Duration::from_micros(2_900),
        step_each: Duration::from_micros(100),
        learn: Learn::Auto,
        routers: ROUTERS,
        check_in: Duration::from_millis(1_200),
        restart_time: Duration::from_millis(250),
        lapse_grace: Duration::from_millis(2_500),
        store_ttl: Duration::from_millis(1_500),
        store_silence: Duration::from_millis(1_000),
    }
}

fn config() -> OperatorConfig {
    let route = Route {
        name: SERVICE.to_owned(),
        host: "host".to_owned(),
        prefix: "/".to_owned(),
        targets: vec![Target {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        repeat: Repeat::Idempotent,
        stream: false,
        resumable: false,
        public: false,
        timeout: Duration::from_secs(12),
        target: Duration::from_secs(1),
        attempts: 2,
        max_pause: None,
        rank: None,
    };
    let service = Service {
        health: "/health".to_owned(),
        connections: 360,
        cold_time: Duration::ZERO,
        cold_rate: 0.0,
        engine: None,
    };
    OperatorConfig {
        deployment: Some(Deployment {
            version: 1,
            routes: vec![route],
            services: BTreeMap::from([(SERVICE.to_owned(), service)]),
            workspaces: Vec::new(),
            limits: Limits {
                head_bytes: 16 << 10,
                body_bytes: 4 << 20,
                idle: Duration::from_secs(15),
                throughput: 20_000.0,
                head_timeout: None,
            },
        }),
        evacuated: BTreeSet::new(),
        rollouts: BTreeMap::new(),
    }
}

fn submission(key: u64, now: Instant) -> Submission {
    Submission {
        key: RequestKey(key),
        workspace: None,
        fingerprint: key,
        service: SERVICE.to_owned(),
        prompt: None,
        target: now + Duration::from_millis(300),
        deadline: now + Duration::from_secs(3),
        repeat: Repeat::Idempotent,
        resumable: false,
        max_attempts: 2,
        version: None,
        goes_on: false,
        shard: Shard::default(),
        rank: 0,
        max_pause: None,
    }
}
