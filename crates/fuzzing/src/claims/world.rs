//! Routers, table and servers, moved step by step.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hibiscusrail_core::claim::{Answer, Key, Request, Stored};
use hibiscusrail_core::configuration::{
    Admission, Object, Server, Service, ServiceKind, Version, Workspace, Zone,
};
use hibiscusrail_core::effect::Dispatch;
use hibiscusrail_core::event::{Call, Milestone, Repeat, Stage};
use hibiscusrail_core::{
    AttemptKey, CallId, Clock, Effect, Event, Incarnation, ManualClock, Params, Router, RouterId,
    ServiceId, TableOp, WorkspaceId, ZoneId,
};

use super::oracle::{CallRef, Kind, Oracle};
use super::step::{Fate, Step, TableFate};
use super::table::Table;

/// Routers of a world.
const ROUTERS: usize = 3;
/// Keys that callers use.
const KEYS: usize = 3;
/// Requests that one server bears.
const LIMIT: u32 = 2;
/// Time that a caller waits.
const DEADLINE: Duration = Duration::from_secs(10);
/// Time for a stop.
const PATIENCE: Duration = Duration::from_secs(4);
/// Steps of the healing after which everything must have ended.
const HEALING_STEPS: usize = 5_000;

/// One run of a router's process.
struct Process {
    router: Router,
    incarnation: Incarnation,
    drained: u32,
}

/// A call of the table under way.
struct TableCall {
    router: usize,
    incarnation: Incarnation,
    op: TableOp,
    request: Request,
}

/// A dispatched request.
struct Job {
    router: usize,
    incarnation: Incarnation,
    dispatch: Dispatch,
    running: bool,
}

/// Everything, as data.
pub struct World {
    clock: ManualClock,
    processes: Vec<Process>,
    table: Table,
    table_calls: Vec<TableCall>,
    late: Vec<Request>,
    jobs: Vec<Job>,
    calls: Vec<(CallRef, Kind)>,
    oracle: Oracle,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World")
            .field("oracle", &self.oracle)
            .finish_non_exhaustive()
    }
}

impl Default for World {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the item that a number chooses.
fn choose(number: usize, count: usize) -> Option<usize> {
    (count > 0).then(|| number % count)
}

fn zone_name(router: usize) -> String {
    format!("zone-{router}")
}

fn workspace() -> Workspace {
    Workspace {
        name: "workspace".to_owned(),
        share: 1.0,
        key_hash: [0; 32],
        queue_limit: 100,
        retry_fraction: 0.1,
    }
}

fn service() -> Service {
    Service {
        name: "service".to_owned(),
        kind: ServiceKind::Plain,
        prompt_weight: 1.0,
        output_weight: 0.0,
    }
}

fn server(router: usize) -> Server {
    let port = 1 + u16::try_from(router).expect("few routers");
    Server {
        name: format!("server-{router}"),
        service: ServiceId::new("service"),
        zone: ZoneId::new(&zone_name(router)),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        cold_limit: LIMIT,
        max_limit: LIMIT,
        admission: Admission::Open,
    }
}

fn objects() -> Vec<(Version, Object)> {
    let mut objects = vec![Object::Workspace(workspace()), Object::Service(service())];
    for router in 0..ROUTERS {
        objects.push(Object::Zone(Zone {
            name: zone_name(router),
            admission: Admission::Open,
        }));
        objects.push(Object::Server(server(router)));
    }
    objects.into_iter().map(|o| (Version(1), o)).collect()
}

impl World {
    /// Creates routers that each hand out the slots of one server in their zone.
    #[must_use]
    pub fn new() -> Self {
        let mut world = Self {
            clock: ManualClock::new(),
            processes: Vec::new(),
            table: Table::default(),
            table_calls: Vec::new(),
            late: Vec::new(),
            jobs: Vec::new(),
            calls: Vec::new(),
            oracle: Oracle::default(),
        };
        for index in 0..ROUTERS {
            let process = world.process(index, Incarnation(1));
            world.processes.push(process);
        }
        for index in 0..ROUTERS {
            world.event(index, Event::Objects(objects()));
        }
        world
    }

    fn process(&self, index: usize, incarnation: Incarnation) -> Process {
        let name = format!("router-{index}");
        let zone = ZoneId::new(&zone_name(index));
        let now = self.clock.now();
        let me = RouterId::new(&name);
        Process {
            router: Router::new(me, zone, incarnation, Params::new(), now),
            incarnation,
            drained: 0,
        }
    }

    /// Returns the table.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns what ran and what callers were told.
    #[must_use]
    pub fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    /// Takes one step and checks what must hold.
    ///
    /// # Panics
    ///
    /// When something does not hold.
    pub fn step(&mut self, step: &Step) {
        match step {
            Step::Submit {
                router,
                key,
                idempotent,
            } => self.submit(router % ROUTERS, *key, *idempotent),
            Step::Table { call, fate } => self.table_call(*call, *fate),
            Step::LateWrite(index) => {
                if let Some(at) = choose(*index, self.late.len()) {
                    let request = self.late.swap_remove(at);
                    self.table.call(&request);
                }
            }
            Step::Server { request, fate } => self.server(*request, *fate),
            Step::Hangup(index) => self.hangup(*index),
            Step::Restart(router) => self.restart(router % ROUTERS),
            Step::Wait { ms } => self.wait(Duration::from_millis(*ms)),
            Step::Drain(router) => {
                self.event(router % ROUTERS, Event::Drain { patience: PATIENCE });
            }
        }
    }

    fn submit(&mut self, router: usize, key: Option<usize>, idempotent: bool) {
        let call = CallRef {
            router,
            incarnation: self.processes[router].incarnation,
            call: CallId(self.calls.len() as u64),
        };
        let (kind, repeat) = match key {
            Some(number) => {
                let name = format!("key-{}", number % KEYS);
                (Kind::Keyed(name.clone()), Repeat::Keyed(Key::new(&name)))
            }
            None if idempotent => (Kind::Idempotent, Repeat::Idempotent),
            None => (Kind::Once, Repeat::Once),
        };
        self.oracle.submit(call, kind.clone());
        self.calls.push((call, kind));
        let submit = Event::Submit(Call {
            id: call.call,
            request: format!("request-{}", call.call.0),
            workspace: WorkspaceId::new("workspace"),
            service: ServiceId::new("service"),
            repeat,
            resumable: false,
            hint: None,
            prefix: None,
            deadline: self.clock.now() + DEADLINE,
        });
        self.event(router, submit);
    }

    fn table_call(&mut self, index: usize, fate: TableFate) {
        let Some(at) = choose(index, self.table_calls.len()) else {
            return;
        };
        let call = self.table_calls.swap_remove(at);
        let answer = match fate {
            TableFate::Answered => self.table.call(&call.request),
            TableFate::AnswerLost => {
                self.table.call(&call.request);
                Answer::Lost
            }
            TableFate::Lost => Answer::Lost,
            TableFate::Late => {
                self.late.push(call.request);
                Answer::Lost
            }
            TableFate::Unreachable => Answer::Unsent,
            TableFate::Stale => self.table.call_stale(&call.request),
        };
        if self.processes[call.router].incarnation == call.incarnation {
            self.event(call.router, Event::Claim(call.op, answer));
        }
    }

    fn server(&mut self, index: usize, fate: Fate) {
        let Some(at) = choose(index, self.jobs.len()) else {
            return;
        };
        match (self.jobs[at].running, fate) {
            (false, Fate::NoConnection) => self.end_job(at, Milestone::Broken(Stage::BeforeSend)),
            (false, Fate::HandedBack) => {
                self.tell(at, Milestone::Sent);
                self.end_job(at, Milestone::Broken(Stage::BeforeSend));
            }
            (false, Fate::NotAdmitted) => {
                self.tell(at, Milestone::Sent);
                self.end_job(at, Milestone::Refused);
            }
            (false, Fate::Run) => self.run(at),
            (false, Fate::Cut) => {
                self.run(at);
                self.end_job(at, Milestone::Broken(Stage::AfterSend));
            }
            (true, Fate::Cut | Fate::NoConnection | Fate::HandedBack) => {
                self.end_job(at, Milestone::Broken(Stage::AfterSend));
            }
            (true, Fate::Answer | Fate::Run | Fate::NotAdmitted) => self.answer(at),
            (true, Fate::Fail) => self.end_job(at, done(500)),
            (false, Fate::Answer | Fate::Fail) => {}
        }
    }

    fn run(&mut self, at: usize) {
        self.tell(at, Milestone::Sent);
        let job = &mut self.jobs[at];
        job.running = true;
        let call = job.call();
        self.oracle.run(call);
    }

    fn answer(&mut self, at: usize) {
        self.tell(at, Milestone::FirstByte);
        let call = self.jobs[at].call();
        let kind = self.calls.iter().find(|(c, _)| *c == call);
        if let Some((_, Kind::Keyed(key))) = kind {
            let stored = Stored {
                status: 200,
                content_type: None,
                body: Oracle::body(key),
            };
            self.tell(at, Milestone::Kept(stored));
        }
        self.end_job(at, done(200));
    }

    /// Reports a milestone, unless the job's router has restarted since.
    fn tell(&mut self, at: usize, milestone: Milestone) {
        let job = &self.jobs[at];
        let (router, attempt) = (job.router, job.dispatch.attempt);
        if self.processes[router].incarnation == job.incarnation {
            self.event(router, Event::Attempt(attempt, milestone));
        }
    }

    fn end_job(&mut self, at: usize, milestone: Milestone) {
        let job = self.jobs.remove(at);
        if self.processes[job.router].incarnation == job.incarnation {
            let event = Event::Attempt(job.dispatch.attempt, milestone);
            self.event(job.router, event);
        }
    }

    fn hangup(&mut self, index: usize) {
        let Some(at) = choose(index, self.calls.len()) else {
            return;
        };
        let call = self.calls[at].0;
        if self.processes[call.router].incarnation == call.incarnation {
            self.event(call.router, Event::Hangup(call.call));
        }
    }

    /// Restarts a router: what it had sent may still arrive, nothing else remains.
    fn restart(&mut self, index: usize) {
        let next = Incarnation(self.processes[index].incarnation.0 + 1);
        self.processes[index] = self.process(index, next);
        let (own, others) = std::mem::take(&mut self.table_calls)
            .into_iter()
            .partition(|c| c.router == index);
        self.table_calls = others;
        self.late
            .extend(own.into_iter().map(|c: TableCall| c.request));
        self.jobs.retain(|j| j.router != index);
        self.event(index, Event::Objects(objects()));
    }

    fn wait(&mut self, time: Duration) {
        self.clock.advance(time);
        for index in 0..ROUTERS {
            self.event(index, Event::Tick);
        }
    }

    fn event(&mut self, index: usize, event: Event) {
        let now = self.clock.now();
        let effects = self.processes[index].router.handle(now, event);
        for effect in effects {
            self.effect(index, effect);
        }
    }

    fn effect(&mut self, router: usize, effect: Effect) {
        let incarnation = self.processes[router].incarnation;
        let reference = |call| CallRef {
            router,
            incarnation,
            call,
        };
        match effect {
            Effect::Dispatch(dispatch) => self.jobs.push(Job {
                router,
                incarnation,
                dispatch,
                running: false,
            }),
            Effect::Cancel(attempt) => self.cancel(router, attempt),
            Effect::Claim(op, request) => self.table_calls.push(TableCall {
                router,
                incarnation,
                op,
                request,
            }),
            Effect::Refuse(call, refused) => {
                self.oracle.refuse(reference(call), refused.execution);
            }
            Effect::Replay(call, stored) => self.oracle.replay(reference(call), &stored),
            Effect::Finish(call) => self.oracle.finish(reference(call)),
            Effect::Drained { .. } => {
                let process = &mut self.processes[router];
                process.drained += 1;
                assert_eq!(process.drained, 1, "the end of a drain came twice");
            }
            _ => {}
        }
    }

    /// Drops the task of an attempt.
    fn cancel(&mut self, router: usize, attempt: AttemptKey) {
        self.jobs
            .retain(|j| j.router != router || j.dispatch.attempt != attempt);
    }

    /// Lets everything under way end without further faults.
    ///
    /// # Panics
    ///
    /// When a call at a live router is never answered.
    pub fn heal(&mut self) {
        for _ in 0..HEALING_STEPS {
            if !self.table_calls.is_empty() {
                self.table_call(0, TableFate::Answered);
            } else if !self.jobs.is_empty() {
                self.server(0, Fate::Run);
            } else if self.unanswered().is_empty() {
                return;
            } else {
                self.wait(Duration::from_millis(500));
            }
        }
        panic!("calls without an answer: {:?}", self.unanswered());
    }

    fn unanswered(&self) -> Vec<CallRef> {
        self.oracle
            .unanswered(|c| self.processes[c.router].incarnation == c.incarnation)
    }
}

fn done(status: u16) -> Milestone {
    Milestone::Done { cost: 1.0, status }
}

impl Job {
    fn call(&self) -> CallRef {
        CallRef {
            router: self.router,
            incarnation: self.incarnation,
            call: self.dispatch.call,
        }
    }
}
