//! Simulated routers, table and servers, advanced step by step.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hibiscusrail_core::claim::{Key, Stored, TableAnswer, TableRequest};
use hibiscusrail_core::configuration::{
    Admission, Object, Server, Service, ServiceKind, Version, Workspace, Zone,
};
use hibiscusrail_core::effect::Dispatch;
use hibiscusrail_core::event::{Call, Milestone, Repeat, Stage};
use hibiscusrail_core::{
    AttemptKey, CallId, Clock, Effect, Event, Incarnation, ManualClock, Params, Router, RouterId,
    ServiceId, TableOp, WorkspaceId, ZoneId,
};

use super::oracle::{CallRef, Oracle, RunLimit};
use super::step::{Outcome, Step, TableOutcome};
use super::table::Table;

const ROUTERS: usize = 3;
const KEYS: usize = 3;
/// Number of slots of each server.
const SERVER_LIMIT: u32 = 2;
/// Time after which a caller stops waiting.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of steps after which [`World::settle`] fails if a call has no answer.
const MAX_SETTLE_STEPS: usize = 5_000;

/// A router and the incarnation of its process.
struct Process {
    router: Router,
    incarnation: Incarnation,
    /// Number of [`Effect::Drained`] seen.
    drained: u32,
}

/// A pending table request.
struct TableCall {
    router: usize,
    incarnation: Incarnation,
    op: TableOp,
    request: TableRequest,
}

struct Attempt {
    router: usize,
    incarnation: Incarnation,
    dispatch: Dispatch,
    running: bool,
}

/// Simulation of routers, the platform's table and servers.
pub struct World {
    clock: ManualClock,
    processes: Vec<Process>,
    table: Table,
    table_calls: Vec<TableCall>,
    /// Requests that were reported as lost but may still be executed.
    delayed: Vec<TableRequest>,
    attempts: Vec<Attempt>,
    /// All calls since the start.
    calls: Vec<(CallRef, RunLimit)>,
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

/// Returns `number` modulo `count`, or `None` if `count` is 0.
fn pick_index(number: usize, count: usize) -> Option<usize> {
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
        cold_limit: SERVER_LIMIT,
        max_limit: SERVER_LIMIT,
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
    /// Creates the routers, each in its own zone with one server.
    #[must_use]
    pub fn new() -> Self {
        let mut world = Self {
            clock: ManualClock::new(),
            processes: Vec::new(),
            table: Table::default(),
            table_calls: Vec::new(),
            delayed: Vec::new(),
            attempts: Vec::new(),
            calls: Vec::new(),
            oracle: Oracle::default(),
        };
        for index in 0..ROUTERS {
            let process = world.start_process(index, Incarnation(1));
            world.processes.push(process);
        }
        for index in 0..ROUTERS {
            world.handle(index, Event::ConfigRead(objects()));
        }
        world
    }

    fn start_process(&self, index: usize, incarnation: Incarnation) -> Process {
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

    /// Returns the platform's table.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the oracle.
    #[must_use]
    pub fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    /// Executes one step and checks the invariants.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn step(&mut self, step: &Step) {
        match step {
            Step::Submit {
                router,
                key,
                idempotent,
            } => self.submit(router % ROUTERS, *key, *idempotent),
            Step::Table { index, outcome } => self.end_table_call(*index, *outcome),
            Step::DelayedWrite(index) => {
                if let Some(at) = pick_index(*index, self.delayed.len()) {
                    let request = self.delayed.swap_remove(at);
                    self.table.execute(&request);
                }
            }
            Step::Server { index, outcome } => self.advance_attempt(*index, *outcome),
            Step::Hangup(index) => self.hangup(*index),
            Step::Restart(router) => self.restart(router % ROUTERS),
            Step::Wait { ms } => self.wait(Duration::from_millis(*ms)),
            Step::Drain(router) => {
                self.handle(
                    router % ROUTERS,
                    Event::Drain {
                        time_limit: DRAIN_TIMEOUT,
                    },
                );
            }
        }
    }

    fn submit(&mut self, router: usize, key: Option<usize>, idempotent: bool) {
        let call = CallRef {
            router,
            incarnation: self.processes[router].incarnation,
            call: CallId(self.calls.len() as u64),
        };
        let (limit, repeat) = match key {
            Some(number) => {
                let name = format!("key-{}", number % KEYS);
                (
                    RunLimit::Keyed(name.clone()),
                    Repeat::Keyed(Key::new(&name)),
                )
            }
            None if idempotent => (RunLimit::Idempotent, Repeat::Idempotent),
            None => (RunLimit::Once, Repeat::Once),
        };
        self.oracle.record_submit(call, limit.clone());
        self.calls.push((call, limit));
        let submit = Event::Submit(Call {
            id: call.call,
            request: format!("request-{}", call.call.0),
            workspace: WorkspaceId::new("workspace"),
            service: ServiceId::new("service"),
            repeat,
            resumable: false,
            cost_hint: None,
            prefix: None,
            deadline: self.clock.now() + CALL_TIMEOUT,
        });
        self.handle(router, submit);
    }

    fn end_table_call(&mut self, index: usize, outcome: TableOutcome) {
        let Some(at) = pick_index(index, self.table_calls.len()) else {
            return;
        };
        let call = self.table_calls.swap_remove(at);
        let answer = match outcome {
            TableOutcome::Answered => self.table.execute(&call.request),
            TableOutcome::AnswerLost => {
                self.table.execute(&call.request);
                TableAnswer::Lost
            }
            TableOutcome::Lost => TableAnswer::Lost,
            TableOutcome::Delayed => {
                self.delayed.push(call.request);
                TableAnswer::Lost
            }
            TableOutcome::Unreachable => TableAnswer::Unsent,
            TableOutcome::Stale => self.table.execute_stale(&call.request),
        };
        if self.processes[call.router].incarnation == call.incarnation {
            self.handle(call.router, Event::ClaimAnswer(call.op, answer));
        }
    }

    fn advance_attempt(&mut self, index: usize, outcome: Outcome) {
        let Some(at) = pick_index(index, self.attempts.len()) else {
            return;
        };
        match (self.attempts[at].running, outcome) {
            (false, Outcome::NoConnection) => self.end(at, Milestone::Broken(Stage::BeforeSend)),
            (false, Outcome::Unwritten) => {
                self.report(at, Milestone::Sent);
                self.end(at, Milestone::Broken(Stage::BeforeSend));
            }
            (false, Outcome::NotAdmitted) => {
                self.report(at, Milestone::Sent);
                self.end(at, Milestone::Refused);
            }
            (false, Outcome::Run) => self.run(at),
            (false, Outcome::Disconnect) => {
                self.run(at);
                self.end(at, Milestone::Broken(Stage::AfterSend));
            }
            (true, Outcome::Disconnect | Outcome::NoConnection | Outcome::Unwritten) => {
                self.end(at, Milestone::Broken(Stage::AfterSend));
            }
            (true, Outcome::Answer | Outcome::Run | Outcome::NotAdmitted) => self.answer(at),
            (true, Outcome::Fail) => self.end(at, done(500)),
            (false, Outcome::Answer | Outcome::Fail) => {}
        }
    }

    fn run(&mut self, at: usize) {
        self.report(at, Milestone::Sent);
        let attempt = &mut self.attempts[at];
        attempt.running = true;
        let call = attempt.call();
        self.oracle.record_run(call);
    }

    fn answer(&mut self, at: usize) {
        self.report(at, Milestone::FirstByte);
        let call = self.attempts[at].call();
        let limit = self.calls.iter().find(|(c, _)| *c == call);
        if let Some((_, RunLimit::Keyed(key))) = limit {
            let stored = Stored {
                status: 200,
                content_type: None,
                body: Oracle::expected_body(key),
            };
            self.report(at, Milestone::StoredAnswer(stored));
        }
        self.end(at, done(200));
    }

    /// Reports a milestone to the attempt's router, unless it has restarted since.
    fn report(&mut self, at: usize, milestone: Milestone) {
        let attempt = &self.attempts[at];
        let (router, key) = (attempt.router, attempt.dispatch.attempt);
        if self.processes[router].incarnation == attempt.incarnation {
            self.handle(router, Event::Attempt(key, milestone));
        }
    }

    /// Removes an attempt and reports its last milestone, as [`Self::report`] does.
    fn end(&mut self, at: usize, milestone: Milestone) {
        let attempt = self.attempts.remove(at);
        if self.processes[attempt.router].incarnation == attempt.incarnation {
            let event = Event::Attempt(attempt.dispatch.attempt, milestone);
            self.handle(attempt.router, event);
        }
    }

    fn hangup(&mut self, index: usize) {
        let Some(at) = pick_index(index, self.calls.len()) else {
            return;
        };
        let call = self.calls[at].0;
        if self.processes[call.router].incarnation == call.incarnation {
            self.handle(call.router, Event::Hangup(call.call));
        }
    }

    /// Restarts a router without its state and attempts; its table requests may still be executed.
    fn restart(&mut self, index: usize) {
        let next = Incarnation(self.processes[index].incarnation.0 + 1);
        self.processes[index] = self.start_process(index, next);
        let (own, others) = std::mem::take(&mut self.table_calls)
            .into_iter()
            .partition(|c| c.router == index);
        self.table_calls = others;
        self.delayed
            .extend(own.into_iter().map(|c: TableCall| c.request));
        self.attempts.retain(|a| a.router != index);
        self.handle(index, Event::ConfigRead(objects()));
    }

    fn wait(&mut self, time: Duration) {
        self.clock.advance(time);
        for index in 0..ROUTERS {
            self.handle(index, Event::Tick);
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.clock.now();
        let effects = self.processes[index].router.handle(now, event);
        for effect in effects {
            self.apply_effect(index, effect);
        }
    }

    fn apply_effect(&mut self, router: usize, effect: Effect) {
        let incarnation = self.processes[router].incarnation;
        let reference = |call| CallRef {
            router,
            incarnation,
            call,
        };
        match effect {
            Effect::Dispatch(dispatch) => self.attempts.push(Attempt {
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
                self.oracle
                    .record_refusal(reference(call), refused.execution);
            }
            Effect::Replay(call, stored) => self.oracle.record_replay(reference(call), &stored),
            Effect::Finish(call) => self.oracle.record_finish(reference(call)),
            Effect::Drained { .. } => {
                let process = &mut self.processes[router];
                process.drained += 1;
                assert_eq!(process.drained, 1, "the end of a drain was reported twice");
            }
            _ => {}
        }
    }

    /// Removes a cancelled attempt without reporting it.
    fn cancel(&mut self, router: usize, attempt: AttemptKey) {
        self.attempts
            .retain(|a| a.router != router || a.dispatch.attempt != attempt);
    }

    /// Advances without further faults until every call at a live router has its final answer.
    ///
    /// # Panics
    ///
    /// Panics if a call has no answer after `MAX_SETTLE_STEPS` steps.
    pub fn settle(&mut self) {
        for _ in 0..MAX_SETTLE_STEPS {
            if !self.table_calls.is_empty() {
                self.end_table_call(0, TableOutcome::Answered);
            } else if !self.attempts.is_empty() {
                self.advance_attempt(0, Outcome::Run);
            } else if self.unanswered().is_empty() {
                return;
            } else {
                self.wait(Duration::from_millis(500));
            }
        }
        panic!("calls without a final answer: {:?}", self.unanswered());
    }

    fn unanswered(&self) -> Vec<CallRef> {
        self.oracle
            .unanswered(|c| self.processes[c.router].incarnation == c.incarnation)
    }
}

fn done(status: u16) -> Milestone {
    Milestone::Done { cost: 1.0, status }
}

impl Attempt {
    fn call(&self) -> CallRef {
        CallRef {
            router: self.router,
            incarnation: self.incarnation,
            call: self.dispatch.call,
        }
    }
}
