//! Simulated fleet: several routers' reducers, the network between them, and servers.
//!
//! The clock advances in small steps. Messages may be lost, duplicated and delayed; routers may
//! crash, restart and be paused; their views of the membership may differ. Each dispatched request
//! is checked against the server's limit, and each excess is recorded as a [`Violation`].

mod layout;
mod server;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hibiscusrail_core::configuration::{Object, Version};
use hibiscusrail_core::effect::Dispatch;
use hibiscusrail_core::event::{Call, Milestone, Repeat};
use hibiscusrail_core::membership::{Member, MemberState};
use hibiscusrail_core::{
    CallId, Clock, Effect, Event, Flow, Incarnation, ManualClock, Message, Params, Router,
    RouterId, ServerId, ServiceId, WorkspaceId, ZoneId,
};
use hibiscusrail_macros::{record, value};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use layout::Layout;
pub use server::{Run, SlotServer};

/// Time by which one step advances the clock.
pub const STEP: Duration = Duration::from_millis(5);
/// Time to the first byte of an answer.
const FIRST_BYTE: Duration = Duration::from_millis(10);
/// Interval between progress reports of a request.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between load reports of a server.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a server detects that a router crashed.
const CRASH_DETECTION: Duration = Duration::from_millis(700);
/// Time after which a caller stops waiting.
const CALL_TIMEOUT: Duration = Duration::from_secs(600);

/// Faults of the network between routers.
#[value]
pub struct Faults {
    /// Fraction of lost messages.
    pub loss: f64,
    /// Fraction of duplicated messages.
    pub duplicate: f64,
    /// Exclusive upper bound on the random delay, which also reorders messages.
    pub max_delay: Duration,
}

impl Faults {
    /// Returns no faults: every message arrives once, within a few milliseconds.
    #[must_use]
    pub fn none() -> Self {
        Self {
            loss: 0.0,
            duplicate: 0.0,
            max_delay: Duration::from_millis(2),
        }
    }

    /// Returns faults that lose, duplicate, delay and reorder messages.
    #[must_use]
    pub fn lossy() -> Self {
        Self {
            loss: 0.05,
            duplicate: 0.05,
            max_delay: Duration::from_millis(40),
        }
    }
}

/// A violated invariant.
#[record]
pub enum Violation {
    /// A server ran more requests than the largest limit under which they were dispatched.
    OverLimit {
        /// The server.
        server: ServerId,
        /// Number of requests that it ran.
        running: u32,
        /// The largest limit.
        limit: u32,
        /// The server's requests and the state of its dispatchers, from [`Fleet::explain`].
        detail: String,
    },
    /// One request ran twice at the same time.
    RunTwice(CallId),
}

#[derive(Debug, Clone)]
struct Packet {
    from: usize,
    to: usize,
    incarnation: Incarnation,
    message: Message,
}

/// A router and the state of its process.
#[derive(Debug)]
struct Node {
    id: RouterId,
    zone: ZoneId,
    /// Number of starts and crashes; tells the router's processes apart.
    generation: u32,
    incarnation: Incarnation,
    /// The reducer; `None` after a crash.
    router: Option<Router>,
    paused_until: Option<Instant>,
    /// Events that arrived during the pause.
    inbox: Vec<Event>,
}

/// A submitted request without a final answer.
#[derive(Debug, Clone, Copy)]
struct Request {
    workspace: usize,
    duration: Duration,
    node: usize,
}

/// A scheduled event of a running request.
#[derive(Debug, Clone, Copy)]
struct RunTimer {
    server: ServerId,
    run: u64,
    stage: Stage,
}

#[derive(Debug, Clone, Copy)]
enum Stage {
    FirstByte,
    Progress,
    End,
    /// The server drops the request of a crashed router.
    Abandon,
}

/// Simulated routers, network, servers and callers.
#[derive(Debug)]
pub struct Fleet {
    clock: ManualClock,
    rng: SmallRng,
    layout: Layout,
    params: Params,
    objects: Vec<(Version, Object)>,
    faults: Faults,
    nodes: Vec<Node>,
    /// Messages in transit, by time of arrival.
    in_flight: BTreeMap<(Instant, u64), Packet>,
    timers: BTreeMap<(Instant, u64), RunTimer>,
    cut_links: BTreeSet<(usize, usize)>,
    /// Servers by identifier.
    pub servers: BTreeMap<ServerId, SlotServer>,
    requests: BTreeMap<CallId, Request>,
    /// Cost units of ended requests, by workspace.
    served: Vec<f64>,
    /// Last number used to identify a request, run, message or timer.
    last_id: u64,
    next_report: Instant,
    violations: Vec<Violation>,
    sent: BTreeMap<&'static str, u64>,
    refused: u64,
    overloads: u64,
}

impl Fleet {
    /// Creates a fleet whose routers know one another, and runs it for 300 ms.
    #[must_use]
    pub fn new(layout: Layout, params: Params, seed: u64) -> Self {
        let clock = ManualClock::new();
        clock.advance(Duration::from_secs(1));
        let now = clock.now();
        let servers = layout
            .server_ids()
            .map(|id| (id, SlotServer::new(layout.cold_limit, layout.max_limit)));
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(seed),
            objects: layout.objects(),
            faults: Faults::none(),
            nodes: Vec::new(),
            in_flight: BTreeMap::new(),
            timers: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            servers: servers.collect(),
            requests: BTreeMap::new(),
            served: vec![0.0; layout.shares.len()],
            last_id: 0,
            next_report: now,
            violations: Vec::new(),
            sent: BTreeMap::new(),
            refused: 0,
            overloads: 0,
            clock,
            layout,
            params,
        };
        for index in 0..fleet.layout.routers {
            fleet.nodes.push(Node {
                id: fleet.layout.router_id(index),
                zone: fleet.layout.zone_id(index),
                generation: 0,
                incarnation: Incarnation(0),
                router: None,
                paused_until: None,
                inbox: Vec::new(),
            });
        }
        for index in 0..fleet.nodes.len() {
            fleet.restart(index);
        }
        fleet.advance(Duration::from_millis(300));
        fleet
    }

    /// Sets the faults of the network for messages sent from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns all violations so far.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of sent messages by kind.
    #[must_use]
    pub fn sent(&self) -> &BTreeMap<&'static str, u64> {
        &self.sent
    }

    /// Returns the number of requests that routers refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of attempts that servers rejected for lack of capacity.
    #[must_use]
    pub fn overloads(&self) -> u64 {
        self.overloads
    }

    /// Returns the layout.
    #[must_use]
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns the router at a node, or `None` after a crash.
    #[must_use]
    pub fn router(&self, node: usize) -> Option<&Router> {
        self.nodes[node].router.as_ref()
    }

    /// Returns the number of a workspace's requests that wait at a node.
    #[must_use]
    pub fn waiting(&self, node: usize, workspace: usize) -> usize {
        let flow = self.layout.flow(workspace);
        self.router(node).map_or(0, |r| r.entry().waiting(flow))
    }

    /// Returns the number of requests that wait at all nodes.
    #[must_use]
    pub fn total_waiting(&self) -> usize {
        let routers = self.nodes.iter().filter_map(|n| n.router.as_ref());
        routers.map(|r| r.entry().total_waiting()).sum()
    }

    /// Returns the cost units that a workspace has received, including its running requests.
    #[must_use]
    pub fn served(&self, workspace: usize) -> f64 {
        let now = self.now();
        let runs = self.servers.values().flat_map(|s| s.runs.values());
        let running: f64 = runs
            .filter(|r| r.workspace == workspace)
            .map(|r| r.cost(now))
            .sum();
        self.served[workspace] + running
    }

    /// Submits a request to a node; its cost is one unit per millisecond of `duration`.
    pub fn submit(
        &mut self,
        node: usize,
        workspace: usize,
        duration: Duration,
        cost_hint: Option<f64>,
    ) {
        self.last_id += 1;
        let id = CallId(self.last_id);
        self.requests.insert(
            id,
            Request {
                workspace,
                duration,
                node,
            },
        );
        let flow = self.layout.flow(workspace);
        let call = Call {
            id,
            request: id.0.to_string(),
            workspace: flow.workspace,
            service: flow.service,
            repeat: Repeat::Idempotent,
            resumable: false,
            cost_hint,
            prefix: None,
            deadline: self.now() + CALL_TIMEOUT,
        };
        self.handle(node, Event::Submit(call));
    }

    /// Submits requests until `depth` requests of a workspace wait at a node.
    ///
    /// `hint` is the ratio of the cost hint to the actual cost. Stops early when a request is
    /// neither queued nor started; does nothing if the node is paused or crashed.
    pub fn top_up(
        &mut self,
        node: usize,
        workspace: usize,
        depth: usize,
        hint: Option<f64>,
        mut duration: impl FnMut(&mut SmallRng) -> Duration,
    ) {
        if self.nodes[node].paused_until.is_some() || self.nodes[node].router.is_none() {
            return;
        }
        while self.waiting(node, workspace) < depth {
            let duration = duration(&mut self.rng);
            let before = self.waiting(node, workspace) + self.running_at(node);
            let hint = hint.map(|h| h * duration.as_secs_f64() * 1_000.0);
            self.submit(node, workspace, duration, hint);
            if self.waiting(node, workspace) + self.running_at(node) <= before {
                return;
            }
        }
    }

    fn running_at(&self, node: usize) -> usize {
        self.router(node).map_or(0, |r| r.running() as usize)
    }

    /// Passes an event to a node, at the end of its pause if it is paused.
    pub fn handle(&mut self, node: usize, event: Event) {
        let now = self.now();
        let process = &mut self.nodes[node];
        if process.paused_until.is_some() {
            process.inbox.push(event);
            return;
        }
        let Some(router) = process.router.as_mut() else {
            return;
        };
        let effects = router.handle(now, event);
        for (id, limit, _) in router.dispatcher().servers() {
            if let Some(server) = self.servers.get_mut(&id) {
                server.record_limit(now, limit);
            }
        }
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(node, to, &message),
            Effect::Dispatch(dispatch) => self.dispatch(node, &dispatch),
            Effect::Cancel(attempt) => self.cancel(node, attempt),
            Effect::Refuse(call, _) => {
                self.requests.remove(&call);
                self.refused += 1;
            }
            Effect::Finish(call) => {
                self.requests.remove(&call);
            }
            Effect::SetAddress(..)
            | Effect::Log(_)
            | Effect::Count(_)
            | Effect::DropIdleConnections(_)
            | Effect::Claim(..)
            | Effect::Replay(..)
            | Effect::Drained { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: RouterId, message: &Message) {
        *self.sent.entry(message.kind()).or_insert(0) += 1;
        let Some(to) = self.nodes.iter().position(|n| n.id == to) else {
            return;
        };
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let max = u64::try_from(self.faults.max_delay.as_micros())
                .unwrap_or(1)
                .max(2);
            let delay = Duration::from_micros(self.rng.random_range(1..max));
            self.last_id += 1;
            let key = (self.now() + delay, self.last_id);
            let packet = Packet {
                from,
                to,
                incarnation: self.nodes[from].incarnation,
                message: message.clone(),
            };
            self.in_flight.insert(key, packet);
        }
    }

    fn dispatch(&mut self, node: usize, dispatch: &Dispatch) {
        let now = self.now();
        let Some(request) = self.requests.get(&dispatch.call).copied() else {
            return;
        };
        debug_assert_eq!(request.node, node);
        let Some(server) = self.servers.get_mut(&dispatch.server) else {
            return;
        };
        if server.running() >= server.capacity() {
            self.overloads += 1;
            self.handle(node, Event::Attempt(dispatch.attempt, Milestone::Refused));
            return;
        }
        self.last_id += 1;
        let run = self.last_id;
        server.runs.insert(
            run,
            Run {
                node,
                generation: self.nodes[node].generation,
                attempt: dispatch.attempt,
                workspace: request.workspace,
                started: now,
                duration: request.duration,
                limit: server.recent_limit(),
            },
        );
        let (running, limit) = (server.running(), server.run_limit());
        if running > limit {
            let detail = self.explain(dispatch.server);
            self.violations.push(Violation::OverLimit {
                server: dispatch.server,
                running,
                limit,
                detail,
            });
        }
        let id = dispatch.server;
        self.schedule(FIRST_BYTE.min(request.duration), id, run, Stage::FirstByte);
        self.schedule(request.duration, id, run, Stage::End);
        self.schedule(PROGRESS_INTERVAL, id, run, Stage::Progress);
    }

    fn schedule(&mut self, after: Duration, server: ServerId, run: u64, stage: Stage) {
        self.last_id += 1;
        let key = (self.now() + after, self.last_id);
        self.timers.insert(key, RunTimer { server, run, stage });
    }

    /// Describes a server's running requests and the state of its dispatchers.
    #[must_use]
    pub fn explain(&self, server: ServerId) -> String {
        let mut lines = Vec::new();
        for run in self
            .servers
            .get(&server)
            .iter()
            .flat_map(|s| s.runs.values())
        {
            lines.push(format!("{run:?}"));
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let router = node.router.as_ref();
            if let Some(text) = router.and_then(|r| r.dispatcher().explain(server)) {
                lines.push(format!(
                    "dispatcher {index} generation {}: {text}",
                    node.generation
                ));
            }
        }
        lines.join("\n")
    }

    fn cancel(&mut self, node: usize, attempt: hibiscusrail_core::AttemptKey) {
        let generation = self.nodes[node].generation;
        let ids: Vec<_> = self.servers.keys().copied().collect();
        for id in ids {
            let Some(server) = self.servers.get(&id) else {
                continue;
            };
            let runs = server.runs.iter();
            let found = runs
                .filter(|(_, r)| (r.node, r.generation, r.attempt) == (node, generation, attempt))
                .map(|(k, _)| *k)
                .next();
            if let Some(run) = found {
                self.end_run(id, run);
            }
        }
    }

    /// Removes a run from its server and adds its cost to the workspace's service.
    fn end_run(&mut self, server: ServerId, run: u64) -> Option<Run> {
        let now = self.now();
        let run = self.servers.get_mut(&server)?.runs.remove(&run)?;
        self.served[run.workspace] += run.cost(now);
        Some(run)
    }

    /// Advances the clock by one step and processes all due events.
    pub fn step(&mut self) {
        self.clock.advance(STEP);
        let now = self.now();
        self.resume_paused(now);
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let packet = entry.remove();
            let event = Event::Peer {
                from: self.nodes[packet.from].id,
                incarnation: packet.incarnation,
                message: packet.message,
            };
            self.handle(packet.to, event);
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            self.advance_run(timer);
        }
        if self.next_report <= now {
            self.next_report = now + REPORT_INTERVAL;
            self.report_loads();
        }
        for node in 0..self.nodes.len() {
            let timer = self.nodes[node]
                .router
                .as_ref()
                .and_then(Router::next_timer);
            if self.nodes[node].paused_until.is_none() && timer.is_some_and(|at| at <= now) {
                self.handle(node, Event::Tick);
            }
        }
    }

    /// Advances the clock by `time`, in steps.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now() + time;
        while self.now() < end {
            self.step();
        }
    }

    fn resume_paused(&mut self, now: Instant) {
        for node in 0..self.nodes.len() {
            if self.nodes[node]
                .paused_until
                .is_none_or(|until| until > now)
            {
                continue;
            }
            self.nodes[node].paused_until = None;
            for event in std::mem::take(&mut self.nodes[node].inbox) {
                self.handle(node, event);
            }
        }
    }

    /// Processes a scheduled event of a run, if the run has not ended.
    fn advance_run(&mut self, timer: RunTimer) {
        let now = self.now();
        let Some(server) = self.servers.get_mut(&timer.server) else {
            return;
        };
        let Some(run) = server.runs.get(&timer.run).cloned() else {
            return;
        };
        let milestone = match timer.stage {
            Stage::FirstByte => Milestone::FirstByte,
            Stage::Progress => {
                self.schedule(PROGRESS_INTERVAL, timer.server, timer.run, Stage::Progress);
                Milestone::Progress {
                    cost: run.cost(now),
                    tokens: 1,
                }
            }
            Stage::End => {
                server.completed += 1;
                self.end_run(timer.server, timer.run);
                Milestone::Done {
                    cost: run.cost(now),
                    status: 200,
                }
            }
            Stage::Abandon => {
                self.end_run(timer.server, timer.run);
                return;
            }
        };
        if self.nodes[run.node].generation == run.generation {
            self.handle(run.node, Event::Attempt(run.attempt, milestone));
        }
    }

    fn report_loads(&mut self) {
        let ids: Vec<_> = self.servers.keys().copied().collect();
        for id in ids {
            let Some(report) = self.servers.get_mut(&id).and_then(SlotServer::report) else {
                continue;
            };
            for node in 0..self.nodes.len() {
                let dispatches = self.nodes[node]
                    .router
                    .as_ref()
                    .is_some_and(|r| r.dispatcher().servers().any(|(s, ..)| s == id));
                if dispatches {
                    self.handle(node, Event::Load(id, report));
                }
            }
        }
    }

    /// Crashes a router; its requests are lost, and servers drop them later.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].router = None;
        self.nodes[node].paused_until = None;
        self.nodes[node].inbox.clear();
        self.nodes[node].generation += 1;
        self.requests.retain(|_, r| r.node != node);
        let orphaned: Vec<_> = self
            .servers
            .iter()
            .flat_map(|(id, s)| s.runs.iter().map(|(k, r)| (*id, *k, r.node)))
            .filter(|(_, _, n)| *n == node)
            .collect();
        for (server, run, _) in orphaned {
            self.schedule(CRASH_DETECTION, server, run, Stage::Abandon);
        }
    }

    /// Starts a router without state, after a crash if it runs; the router sees all others alive.
    pub fn restart(&mut self, node: usize) {
        if self.nodes[node].router.is_some() {
            self.crash(node);
        }
        let now = self.now();
        let process = &mut self.nodes[node];
        process.generation += 1;
        process.incarnation = Incarnation(self.clock.epoch_ms() + u64::from(process.generation));
        let params = self.params.clone();
        let mut router = Router::new(process.id, process.zone, process.incarnation, params, now);
        for other in 0..self.layout.routers {
            if other != node {
                router.add_member(
                    self.layout.router_id(other),
                    Member {
                        zone: self.layout.zone_id(other),
                        state: MemberState::Alive,
                    },
                );
            }
        }
        self.nodes[node].router = Some(router);
        self.handle(node, Event::ConfigRead(self.objects.clone()));
    }

    /// Pauses a router for `time`; it processes its events afterwards, unaware of the pause.
    pub fn pause(&mut self, node: usize, time: Duration) {
        if self.nodes[node].router.is_some() {
            self.nodes[node].paused_until = Some(self.now() + time);
        }
    }

    /// Sets the state in which `viewer` sees `peer`.
    pub fn set_view(&mut self, viewer: usize, peer: usize, state: MemberState) {
        let member = Member {
            zone: self.layout.zone_id(peer),
            state,
        };
        let id = self.layout.router_id(peer);
        if let Some(router) = self.nodes[viewer].router.as_mut() {
            router.add_member(id, member);
        }
        if self.nodes[viewer].paused_until.is_none() {
            self.handle(viewer, Event::Tick);
        }
    }

    /// Sets the state in which all other routers see `peer`.
    pub fn set_all_views(&mut self, peer: usize, state: MemberState) {
        for viewer in 0..self.nodes.len() {
            if viewer != peer {
                self.set_view(viewer, peer, state);
            }
        }
    }

    /// Cuts or restores the network between two nodes, in both directions.
    pub fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        for pair in [(a, b), (b, a)] {
            if cut {
                self.cut_links.insert(pair);
            } else {
                self.cut_links.remove(&pair);
            }
        }
    }

    /// Makes a server cold without informing the routers.
    pub fn make_cold(&mut self, server: ServerId) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.completed = 0;
        }
    }

    /// Restarts a server: it becomes cold, and the connections of its requests break.
    pub fn restart_server(&mut self, server: ServerId) {
        let Some(target) = self.servers.get_mut(&server) else {
            return;
        };
        target.completed = 0;
        target.incarnation += 1;
        let runs: Vec<_> = target.runs.iter().map(|(k, r)| (*k, r.clone())).collect();
        for (key, run) in runs {
            self.end_run(server, key);
            if self.nodes[run.node].generation == run.generation {
                let stage = hibiscusrail_core::event::Stage::AfterSend;
                self.handle(
                    run.node,
                    Event::Attempt(run.attempt, Milestone::Broken(stage)),
                );
            }
        }
    }

    /// Updates configuration objects at every router, with a new version.
    pub fn configure(&mut self, objects: Vec<Object>) {
        let version = Version(self.objects.iter().map(|(v, _)| v.0).max().unwrap_or(0) + 1);
        let objects: Vec<_> = objects.into_iter().map(|o| (version, o)).collect();
        self.objects.extend(objects.iter().cloned());
        for node in 0..self.nodes.len() {
            self.handle(node, Event::ConfigRead(objects.clone()));
        }
    }

    /// Returns the flow of a workspace to a service, both given by name.
    #[must_use]
    pub fn flow_of(service: &str, workspace: &str) -> Flow {
        Flow {
            service: ServiceId::new(service),
            workspace: WorkspaceId::new(workspace),
        }
    }
}
