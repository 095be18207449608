//! Several reducers, a bag of messages between them, and servers that count.
//!
//! Time is moved by hand in small steps. Messages may be lost, repeated and
//! delayed; routers may crash, restart and be paused; views of the membership
//! may differ. After each step the invariants are checked, and the first one
//! that does not hold is kept as a [`Violation`].

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

/// Time moved by one step.
pub const STEP: Duration = Duration::from_millis(5);
/// Time to the first byte of an answer.
const FIRST_BYTE: Duration = Duration::from_millis(10);
/// Time between two reports of progress.
const PROGRESS: Duration = Duration::from_millis(250);
/// Time between two load reports.
const REPORT: Duration = Duration::from_millis(500);
/// Time after which a server notices that a router crashed.
const NOTICE: Duration = Duration::from_millis(700);
/// Time that a caller waits.
const PATIENCE: Duration = Duration::from_secs(600);

/// How messages between routers suffer.
#[value]
pub struct Faults {
    /// Portion that is lost.
    pub loss: f64,
    /// Portion that arrives twice.
    pub repeat: f64,
    /// Longest delay; the order of messages follows from random delays.
    pub delay: Duration,
}

impl Faults {
    /// Returns a network that delivers everything within a few milliseconds.
    #[must_use]
    pub fn none() -> Self {
        Self {
            loss: 0.0,
            repeat: 0.0,
            delay: Duration::from_millis(2),
        }
    }

    /// Returns a network that loses, repeats and reorders.
    #[must_use]
    pub fn rough() -> Self {
        Self {
            loss: 0.05,
            repeat: 0.05,
            delay: Duration::from_millis(40),
        }
    }
}

/// An invariant that did not hold.
#[record]
pub enum Violation {
    /// A server ran more requests than any limit allowed that they came under.
    OverLimit {
        /// The server.
        server: ServerId,
        /// Requests that it ran.
        running: u32,
        /// The largest limit.
        limit: u32,
        /// The server's requests and what its dispatchers keep of it.
        detail: String,
    },
    /// One request was at servers twice at the same time.
    Twice(CallId),
}

/// A message on its way.
#[derive(Debug, Clone)]
struct Flying {
    from: usize,
    to: usize,
    incarnation: Incarnation,
    message: Message,
}

/// A router's process.
#[derive(Debug)]
struct Node {
    id: RouterId,
    zone: ZoneId,
    life: u32,
    incarnation: Incarnation,
    router: Option<Router>,
    paused: Option<Instant>,
    inbox: Vec<Event>,
}

/// A request that callers submitted.
#[derive(Debug, Clone, Copy)]
struct Job {
    workspace: usize,
    length: Duration,
    node: usize,
}

/// The next thing that a running request does.
#[derive(Debug, Clone, Copy)]
struct Due {
    server: ServerId,
    run: u64,
    what: Stage,
}

#[derive(Debug, Clone, Copy)]
enum Stage {
    FirstByte,
    Progress,
    End,
    /// The server notices that the router is gone.
    Abandon,
}

/// The fleet with everything around it.
#[derive(Debug)]
pub struct Fleet {
    clock: ManualClock,
    rng: SmallRng,
    layout: Layout,
    params: Params,
    objects: Vec<(Version, Object)>,
    faults: Faults,
    nodes: Vec<Node>,
    bag: BTreeMap<(Instant, u64), Flying>,
    due: BTreeMap<(Instant, u64), Due>,
    cuts: BTreeSet<(usize, usize)>,
    /// The servers.
    pub servers: BTreeMap<ServerId, SlotServer>,
    jobs: BTreeMap<CallId, Job>,
    served: Vec<f64>,
    next: u64,
    next_report: Instant,
    violations: Vec<Violation>,
    sent: BTreeMap<&'static str, u64>,
    refused: u64,
    overloads: u64,
}

impl Fleet {
    /// Creates a fleet in which everyone knows everyone, and lets it settle.
    #[must_use]
    pub fn new(layout: Layout, params: Params, seed: u64) -> Self {
        let clock = ManualClock::new();
        clock.advance(Duration::from_secs(1));
        let now = clock.now();
        let servers = layout
            .servers()
            .map(|id| (id, SlotServer::new(layout.cold, layout.max)));
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(seed),
            objects: layout.objects(),
            faults: Faults::none(),
            nodes: Vec::new(),
            bag: BTreeMap::new(),
            due: BTreeMap::new(),
            cuts: BTreeSet::new(),
            servers: servers.collect(),
            jobs: BTreeMap::new(),
            served: vec![0.0; layout.shares.len()],
            next: 0,
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
                id: fleet.layout.router(index),
                zone: fleet.layout.zone(index),
                life: 0,
                incarnation: Incarnation(0),
                router: None,
                paused: None,
                inbox: Vec::new(),
            });
        }
        for index in 0..fleet.nodes.len() {
            fleet.restart(index);
        }
        fleet.run(Duration::from_millis(300));
        fleet
    }

    /// Sets how messages suffer from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the invariants that did not hold.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns how many messages of each kind were sent.
    #[must_use]
    pub fn sent(&self) -> &BTreeMap<&'static str, u64> {
        &self.sent
    }

    /// Returns the requests that were refused to callers.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the requests that servers would not bear.
    #[must_use]
    pub fn overloads(&self) -> u64 {
        self.overloads
    }

    /// Returns the layout.
    #[must_use]
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns the router of a node, unless it has crashed.
    #[must_use]
    pub fn router(&self, node: usize) -> Option<&Router> {
        self.nodes[node].router.as_ref()
    }

    /// Returns the requests that wait at a node for a workspace.
    #[must_use]
    pub fn waiting(&self, node: usize, workspace: usize) -> usize {
        let flow = self.layout.flow(workspace);
        self.router(node).map_or(0, |r| r.entry().waiting(flow))
    }

    /// Returns the requests that wait anywhere.
    #[must_use]
    pub fn total_waiting(&self) -> usize {
        let routers = self.nodes.iter().filter_map(|n| n.router.as_ref());
        routers.map(|r| r.entry().total_waiting()).sum()
    }

    /// Returns the service that a workspace has received, running requests included.
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

    /// Submits a request of `length` at a node; its cost is one unit per millisecond.
    pub fn submit(&mut self, node: usize, workspace: usize, length: Duration, hint: Option<f64>) {
        self.next += 1;
        let id = CallId(self.next);
        self.jobs.insert(
            id,
            Job {
                workspace,
                length,
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
            hint,
            prefix: None,
            deadline: self.now() + PATIENCE,
        };
        self.event(node, Event::Submit(call));
    }

    /// Tops the queue of a workspace at a node up to `depth` requests.
    ///
    /// Their hints are `hint` times their true cost.
    pub fn top_up(
        &mut self,
        node: usize,
        workspace: usize,
        depth: usize,
        hint: Option<f64>,
        mut length: impl FnMut(&mut SmallRng) -> Duration,
    ) {
        if self.nodes[node].paused.is_some() || self.nodes[node].router.is_none() {
            return;
        }
        while self.waiting(node, workspace) < depth {
            let length = length(&mut self.rng);
            let before = self.waiting(node, workspace) + self.running_at(node);
            let hint = hint.map(|h| h * length.as_secs_f64() * 1_000.0);
            self.submit(node, workspace, length, hint);
            if self.waiting(node, workspace) + self.running_at(node) <= before {
                return;
            }
        }
    }

    fn running_at(&self, node: usize) -> usize {
        self.router(node).map_or(0, |r| r.running() as usize)
    }

    /// Hands an event to a node, now or after its pause.
    pub fn event(&mut self, node: usize, event: Event) {
        let now = self.now();
        let at = &mut self.nodes[node];
        if at.paused.is_some() {
            at.inbox.push(event);
            return;
        }
        let Some(router) = at.router.as_mut() else {
            return;
        };
        let effects = router.handle(now, event);
        for (id, limit, _) in router.dispatcher().servers() {
            if let Some(server) = self.servers.get_mut(&id) {
                server.note_limit(now, limit);
            }
        }
        for effect in effects {
            self.effect(node, effect);
        }
    }

    fn effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(node, to, &message),
            Effect::Dispatch(dispatch) => self.dispatch(node, &dispatch),
            Effect::Cancel(attempt) => self.cancel(node, attempt),
            Effect::Refuse(call, _) => {
                self.jobs.remove(&call);
                self.refused += 1;
            }
            Effect::Finish(call) => {
                self.jobs.remove(&call);
            }
            Effect::Address(..)
            | Effect::Log(_)
            | Effect::Count(_)
            | Effect::Suspect(_)
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
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.repeat));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let most = u64::try_from(self.faults.delay.as_micros())
                .unwrap_or(1)
                .max(2);
            let delay = Duration::from_micros(self.rng.random_range(1..most));
            self.next += 1;
            let key = (self.now() + delay, self.next);
            let flying = Flying {
                from,
                to,
                incarnation: self.nodes[from].incarnation,
                message: message.clone(),
            };
            self.bag.insert(key, flying);
        }
    }

    fn dispatch(&mut self, node: usize, dispatch: &Dispatch) {
        let now = self.now();
        let Some(job) = self.jobs.get(&dispatch.call).copied() else {
            return;
        };
        debug_assert_eq!(job.node, node);
        let Some(server) = self.servers.get_mut(&dispatch.server) else {
            return;
        };
        if server.running() >= server.bearable() {
            self.overloads += 1;
            self.event(node, Event::Attempt(dispatch.attempt, Milestone::Refused));
            return;
        }
        self.next += 1;
        let run = self.next;
        server.runs.insert(
            run,
            Run {
                node,
                life: self.nodes[node].life,
                attempt: dispatch.attempt,
                workspace: job.workspace,
                started: now,
                length: job.length,
                limit: server.late_limit(),
            },
        );
        let (running, limit) = (server.running(), server.ceiling());
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
        self.schedule(FIRST_BYTE.min(job.length), id, run, Stage::FirstByte);
        self.schedule(job.length, id, run, Stage::End);
        self.schedule(PROGRESS, id, run, Stage::Progress);
    }

    fn schedule(&mut self, after: Duration, server: ServerId, run: u64, what: Stage) {
        self.next += 1;
        let key = (self.now() + after, self.next);
        self.due.insert(key, Due { server, run, what });
    }

    /// Describes a server's requests and what its dispatchers keep of it.
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
                lines.push(format!("dispatcher {index} life {}: {text}", node.life));
            }
        }
        lines.join("\n")
    }

    fn cancel(&mut self, node: usize, attempt: hibiscusrail_core::AttemptKey) {
        let life = self.nodes[node].life;
        let ids: Vec<_> = self.servers.keys().copied().collect();
        for id in ids {
            let Some(server) = self.servers.get(&id) else {
                continue;
            };
            let runs = server.runs.iter();
            let found = runs
                .filter(|(_, r)| (r.node, r.life, r.attempt) == (node, life, attempt))
                .map(|(k, _)| *k)
                .next();
            if let Some(run) = found {
                self.end_run(id, run);
            }
        }
    }

    /// Takes a request off its server and counts its service.
    fn end_run(&mut self, server: ServerId, run: u64) -> Option<Run> {
        let now = self.now();
        let run = self.servers.get_mut(&server)?.runs.remove(&run)?;
        self.served[run.workspace] += run.cost(now);
        Some(run)
    }

    /// Moves time by one step and lets everything due happen.
    pub fn step(&mut self) {
        self.clock.advance(STEP);
        let now = self.now();
        self.resume(now);
        while let Some(entry) = self.bag.first_entry().filter(|e| e.key().0 <= now) {
            let flying = entry.remove();
            let event = Event::Peer {
                from: self.nodes[flying.from].id,
                incarnation: flying.incarnation,
                message: flying.message,
            };
            self.event(flying.to, event);
        }
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= now) {
            let due = entry.remove();
            self.advance_run(due);
        }
        if self.next_report <= now {
            self.next_report = now + REPORT;
            self.report_loads();
        }
        for node in 0..self.nodes.len() {
            let timer = self.nodes[node]
                .router
                .as_ref()
                .and_then(Router::next_timer);
            if self.nodes[node].paused.is_none() && timer.is_some_and(|at| at <= now) {
                self.event(node, Event::Tick);
            }
        }
    }

    /// Moves time by `length`.
    pub fn run(&mut self, length: Duration) {
        let end = self.now() + length;
        while self.now() < end {
            self.step();
        }
    }

    fn resume(&mut self, now: Instant) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].paused.is_none_or(|until| until > now) {
                continue;
            }
            self.nodes[node].paused = None;
            for event in std::mem::take(&mut self.nodes[node].inbox) {
                self.event(node, event);
            }
        }
    }

    fn advance_run(&mut self, due: Due) {
        let now = self.now();
        let Some(server) = self.servers.get_mut(&due.server) else {
            return;
        };
        let Some(run) = server.runs.get(&due.run).cloned() else {
            return;
        };
        let milestone = match due.what {
            Stage::FirstByte => Milestone::FirstByte,
            Stage::Progress => {
                self.schedule(PROGRESS, due.server, due.run, Stage::Progress);
                Milestone::Progress {
                    cost: run.cost(now),
                    tokens: 1,
                }
            }
            Stage::End => {
                server.completed += 1;
                self.end_run(due.server, due.run);
                Milestone::Done {
                    cost: run.cost(now),
                    status: 200,
                }
            }
            Stage::Abandon => {
                self.end_run(due.server, due.run);
                return;
            }
        };
        if self.nodes[run.node].life == run.life {
            self.event(run.node, Event::Attempt(run.attempt, milestone));
        }
    }

    fn report_loads(&mut self) {
        let ids: Vec<_> = self.servers.keys().copied().collect();
        for id in ids {
            let Some(report) = self.servers.get_mut(&id).and_then(SlotServer::report) else {
                continue;
            };
            for node in 0..self.nodes.len() {
                let manages = self.nodes[node]
                    .router
                    .as_ref()
                    .is_some_and(|r| r.dispatcher().servers().any(|(s, ..)| s == id));
                if manages {
                    self.event(node, Event::Load(id, report));
                }
            }
        }
    }

    /// Ends a router's process without warning.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].router = None;
        self.nodes[node].paused = None;
        self.nodes[node].inbox.clear();
        self.nodes[node].life += 1;
        self.jobs.retain(|_, j| j.node != node);
        let left: Vec<_> = self
            .servers
            .iter()
            .flat_map(|(id, s)| s.runs.iter().map(|(k, r)| (*id, *k, r.node)))
            .filter(|(_, _, n)| *n == node)
            .collect();
        for (server, run, _) in left {
            self.schedule(NOTICE, server, run, Stage::Abandon);
        }
    }

    /// Starts a router's process with nothing in memory; it knows all members.
    pub fn restart(&mut self, node: usize) {
        if self.nodes[node].router.is_some() {
            self.crash(node);
        }
        let now = self.now();
        let at = &mut self.nodes[node];
        at.life += 1;
        at.incarnation = Incarnation(self.clock.epoch_ms() + u64::from(at.life));
        let params = self.params.clone();
        let mut router = Router::new(at.id, at.zone, at.incarnation, params, now);
        for other in 0..self.layout.routers {
            if other != node {
                router.add_member(
                    self.layout.router(other),
                    Member {
                        zone: self.layout.zone(other),
                        state: MemberState::Alive,
                    },
                );
            }
        }
        self.nodes[node].router = Some(router);
        self.event(node, Event::Objects(self.objects.clone()));
    }

    /// Stops a router's process for a while; it notices nothing.
    pub fn pause(&mut self, node: usize, length: Duration) {
        if self.nodes[node].router.is_some() {
            self.nodes[node].paused = Some(self.now() + length);
        }
    }

    /// Sets what `viewer` thinks of `of`.
    pub fn see(&mut self, viewer: usize, of: usize, state: MemberState) {
        let member = Member {
            zone: self.layout.zone(of),
            state,
        };
        let id = self.layout.router(of);
        if let Some(router) = self.nodes[viewer].router.as_mut() {
            router.add_member(id, member);
        }
        if self.nodes[viewer].paused.is_none() {
            self.event(viewer, Event::Tick);
        }
    }

    /// Sets what all others think of `of`.
    pub fn all_see(&mut self, of: usize, state: MemberState) {
        for viewer in 0..self.nodes.len() {
            if viewer != of {
                self.see(viewer, of, state);
            }
        }
    }

    /// Cuts or heals the network between two nodes.
    pub fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        for pair in [(a, b), (b, a)] {
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Turns a server cold without warning.
    pub fn chill(&mut self, server: ServerId) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.completed = 0;
        }
    }

    /// Restarts a server: it is cold, and its requests break.
    pub fn reboot(&mut self, server: ServerId) {
        let Some(at) = self.servers.get_mut(&server) else {
            return;
        };
        at.completed = 0;
        at.incarnation += 1;
        let runs: Vec<_> = at.runs.iter().map(|(k, r)| (*k, r.clone())).collect();
        for (key, run) in runs {
            self.end_run(server, key);
            if self.nodes[run.node].life == run.life {
                let stage = hibiscusrail_core::event::Stage::AfterSend;
                self.event(
                    run.node,
                    Event::Attempt(run.attempt, Milestone::Broken(stage)),
                );
            }
        }
    }

    /// Puts further objects in force at every router.
    pub fn configure(&mut self, objects: Vec<Object>) {
        let version = Version(self.objects.iter().map(|(v, _)| v.0).max().unwrap_or(0) + 1);
        let objects: Vec<_> = objects.into_iter().map(|o| (version, o)).collect();
        self.objects.extend(objects.iter().cloned());
        for node in 0..self.nodes.len() {
            self.event(node, Event::Objects(objects.clone()));
        }
    }

    /// Returns a flow by the identifiers of its parts.
    #[must_use]
    pub fn flow_of(service: &str, workspace: &str) -> Flow {
        Flow {
            service: ServiceId::new(service),
            workspace: WorkspaceId::new(workspace),
        }
    }
}
