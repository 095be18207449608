//! The reducer: one function over all events.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::attempt::{Attempt, Outcome, Phase};
use crate::configuration::{Configuration, Object, Version};
use crate::dispatch::{Dispatcher, Surroundings};
use crate::effect::{Counter, Dispatch, Effect, Execution, Level, Refusal, Refused};
use crate::entry::Entry;
use crate::event::{Call, Event, Milestone, Repeat, Stage};
use crate::ids::{
    AttemptKey, CallId, Flow, GrantRef, Incarnation, RequestKey, RouterId, ServiceId, ZoneId,
};
use crate::membership::{Member, Membership};
use crate::message::{Grant, GrantEnd, Held, Message, Release, Totals, Usage};
use crate::outbox::Outbox;
use crate::params::Params;
use crate::share::Ledger;

/// A caller's request inside the reducer.
#[derive(Debug)]
struct Request {
    call: Call,
    flow: Flow,
    attempts: u32,
    running: Option<AttemptKey>,
    tokens: u64,
}

/// Something that falls due at a time.
#[hibiscusrail_macros::id]
enum Timer {
    Period,
    Flush,
    Deadline(RequestKey),
    Silence(AttemptKey),
}

/// What the roles decide by: objects in force, live routers, parameters.
#[derive(Debug)]
struct World {
    config: Configuration,
    members: Membership,
    params: Params,
}

impl World {
    fn at(&self, now: Instant) -> Surroundings<'_> {
        Surroundings {
            now,
            config: &self.config,
            members: &self.members,
            params: &self.params,
        }
    }
}

/// All state of one router, and every decision it takes.
#[derive(Debug)]
pub struct Router {
    me: RouterId,
    incarnation: Incarnation,
    world: World,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    calls: std::collections::BTreeMap<CallId, RequestKey>,
    entry: Entry,
    dispatcher: Dispatcher,
    ledger: Ledger,
    totals_seq: u64,
    timers: BTreeSet<(Instant, Timer)>,
    draining: Option<Instant>,
    out: Outbox,
}

impl Router {
    /// Creates a router that knows of no other and has no configuration.
    #[must_use]
    pub fn new(
        me: RouterId,
        zone: ZoneId,
        incarnation: Incarnation,
        params: Params,
        now: Instant,
    ) -> Self {
        let first = now + params.period;
        Self {
            me,
            incarnation,
            world: World {
                config: Configuration::new(),
                members: Membership::new(me, zone),
                params,
            },
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            calls: std::collections::BTreeMap::new(),
            entry: Entry::new(now),
            dispatcher: Dispatcher::new(incarnation),
            ledger: Ledger::new(),
            totals_seq: 0,
            timers: BTreeSet::from([(first, Timer::Period)]),
            draining: None,
            out: Outbox::new(me),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &Configuration {
        &self.world.config
    }

    /// Returns the dispatcher role, for status pages.
    #[must_use]
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// Returns the entry role, for status pages.
    #[must_use]
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns the membership, for status pages.
    #[must_use]
    pub fn members(&self) -> &Membership {
        &self.world.members
    }

    /// Returns whether callers may be sent here, else the reason why not.
    pub fn readiness(&self) -> Result<(), Refusal> {
        if self.draining.is_some() {
            return Err(Refusal::Stopping);
        }
        if self.world.config.head() == Version(0) {
            return Err(Refusal::NotReady);
        }
        Ok(())
    }

    /// Adds a router that is known from the settings.
    pub fn add_member(&mut self, router: RouterId, member: Member) {
        self.world.members.insert(router, member);
    }

    /// Returns the number of attempts that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Returns when [`Event::Tick`] is due next.
    #[must_use]
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Handles one event at time `now` and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.step(now, event);
        while let Some(message) = self.out.next_local() {
            self.on_message(now, self.me, self.incarnation, message);
        }
        self.flush(now);
        while let Some(message) = self.out.next_local() {
            self.on_message(now, self.me, self.incarnation, message);
        }
        self.check_drained(now);
        self.out.take()
    }

    fn step(&mut self, now: Instant, event: Event) {
        match event {
            Event::Submit(call) => self.submit(now, call),
            Event::Hangup(call) => self.hangup(now, call),
            Event::Attempt(key, milestone) => self.milestone(now, key, &milestone),
            Event::Peer {
                from,
                incarnation,
                message,
            } => self.on_message(now, from, incarnation, message),
            Event::Objects(objects) => self.objects(now, objects),
            Event::Load(server, report) => self.dispatcher.load(server, report.incarnation),
            Event::Hosts(_) => {}
            Event::Tick => self.tick(now),
            Event::Drain { patience } => self.drain(now, patience),
        }
    }

    /// Returns the routers that hand out slots of `service`.
    fn dispatchers(&self, service: ServiceId) -> Vec<RouterId> {
        let mut routers = BTreeSet::new();
        for (id, server) in self.world.config.servers() {
            if server.service == service && self.world.config.is_open(server) {
                routers.extend(self.world.members.dispatcher(id, server));
            }
        }
        routers.into_iter().collect()
    }

    fn submit(&mut self, now: Instant, call: Call) {
        if let Err(reason) = self.admit(now, &call) {
            self.refuse(call.id, reason, Execution::NotRun);
            return;
        }
        let flow = Flow {
            service: call.service,
            workspace: call.workspace,
        };
        let deadline = call.deadline;
        let id = call.id;
        let key = self.requests.insert(Request {
            call,
            flow,
            attempts: 0,
            running: None,
            tokens: 0,
        });
        self.calls.insert(id, key);
        self.timers.insert((deadline, Timer::Deadline(key)));
        self.out.count(Counter::Accepted);
        self.enqueue(now, key, false);
    }

    fn admit(&self, now: Instant, call: &Call) -> Result<(), Refusal> {
        self.readiness()?;
        if self.world.config.service(call.service).is_none() {
            return Err(Refusal::NoService);
        }
        if call.deadline <= now {
            return Err(Refusal::Expired);
        }
        let flow = Flow {
            service: call.service,
            workspace: call.workspace,
        };
        let limit = self
            .world
            .config
            .workspace(call.workspace)
            .map_or(0, |w| w.queue_limit as usize);
        if self.entry.waiting(flow) >= limit {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    fn enqueue(&mut self, now: Instant, key: RequestKey, front: bool) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let flow = request.flow;
        let dispatchers = self.dispatchers(flow.service);
        self.entry
            .enqueue(now, flow, key, front, &dispatchers, None);
    }

    /// Refuses a call, or ends one whose answer was cut.
    fn refuse(&mut self, call: CallId, reason: Refusal, execution: Execution) {
        let wait = matches!(
            reason,
            Refusal::QueueFull | Refusal::NotReady | Refusal::Stopping | Refusal::NoClaim
        );
        self.out.count(Counter::Refused);
        self.out.push(Effect::Refuse(
            call,
            Refused {
                reason,
                execution,
                retry_after: wait.then_some(Duration::from_secs(1)),
            },
        ));
    }

    fn forget(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        self.calls.remove(&request.call.id);
        self.timers
            .remove(&(request.call.deadline, Timer::Deadline(key)));
        Some(request)
    }

    fn hangup(&mut self, now: Instant, call: CallId) {
        let Some(key) = self.calls.get(&call).copied() else {
            return;
        };
        self.give_up(now, key);
    }

    /// Drops a request from its queue or cancels its attempt.
    fn give_up(&mut self, now: Instant, key: RequestKey) -> Option<Outcome> {
        let request = self.forget(key)?;
        let Some(attempt) = request.running else {
            self.entry.remove(request.flow, key);
            return Some(Outcome::NotRun);
        };
        self.out.push(Effect::Cancel(attempt));
        let phase = self.attempts.get(attempt).map(|a| a.phase);
        self.end_attempt(now, attempt, GrantEnd::Failed);
        match phase {
            Some(Phase::Unsent) => Some(Outcome::NotRun),
            _ => Some(Outcome::Unknown),
        }
    }

    fn milestone(&mut self, now: Instant, key: AttemptKey, milestone: &Milestone) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        attempt.progress = now;
        match *milestone {
            Milestone::Connected => {}
            Milestone::Sent => attempt.phase = Phase::Sent,
            Milestone::FirstByte => {
                attempt.phase = Phase::Output;
                attempt.first_byte = Some(now.duration_since(attempt.started));
            }
            Milestone::Progress { cost, tokens } => {
                attempt.cost = cost;
                attempt.tokens = tokens;
            }
            Milestone::Done { cost, .. } => {
                attempt.cost = cost;
                self.finish(now, key);
            }
            Milestone::Refused => self.retry(now, key, Outcome::NotRun, GrantEnd::Overload),
            Milestone::Broken(stage) => {
                let outcome = attempt.broken(stage);
                self.retry(now, key, outcome, GrantEnd::Failed);
            }
            Milestone::Mismatch => self.retry(now, key, Outcome::Unknown, GrantEnd::Failed),
        }
    }

    fn finish(&mut self, now: Instant, key: AttemptKey) {
        let Some(attempt) = self.end_attempt(now, key, GrantEnd::Done) else {
            return;
        };
        if let Some(request) = self.forget(attempt.request) {
            self.out.push(Effect::Finish(request.call.id));
        }
    }

    /// Ends an attempt and gives its slot back.
    fn end_attempt(&mut self, now: Instant, key: AttemptKey, end: GrantEnd) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        let _ = now;
        self.out.send(
            attempt.grant.dispatcher,
            Message::Release(Release {
                grant: attempt.grant.grant,
                incarnation: attempt.grant.incarnation,
                end,
                cost: attempt.cost,
                first_byte: attempt.first_byte,
            }),
        );
        Some(attempt)
    }

    /// Sends a request again after its attempt broke, or refuses it.
    fn retry(&mut self, now: Instant, key: AttemptKey, outcome: Outcome, end: GrantEnd) {
        let Some(attempt) = self.end_attempt(now, key, end) else {
            return;
        };
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        request.running = None;
        request.tokens = attempt.tokens;
        let again = match outcome {
            Outcome::NotRun => true,
            _ => request.call.repeat == Repeat::Idempotent,
        };
        let seen = attempt.phase == Phase::Output && !request.call.resumable;
        if again && !seen && request.attempts < self.world.params.max_attempts {
            self.out.count(Counter::Retried);
            self.enqueue(now, attempt.request, true);
            return;
        }
        let execution = match outcome {
            Outcome::NotRun => Execution::NotRun,
            _ => Execution::Unknown,
        };
        let reason = if again {
            Refusal::Exhausted
        } else {
            Refusal::Broken
        };
        if let Some(request) = self.forget(attempt.request) {
            self.refuse(request.call.id, reason, execution);
        }
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: RouterId,
        incarnation: Incarnation,
        message: Message,
    ) {
        let env = self.world.at(now);
        match message {
            Message::Demand(demand) => self.dispatcher.demand(env, from, &demand, &mut self.out),
            Message::Release(release) => self.dispatcher.release(env, &release, &mut self.out),
            Message::Usage(usage) => self.dispatcher.usage(env, from, &usage, &mut self.out),
            Message::Totals(totals) => self.dispatcher.totals(&totals.flows),
            Message::Charges(charges) => {
                for total in charges.flows {
                    self.ledger.record(from, incarnation, charges.seq, total);
                }
            }
            Message::Grant(grant) => self.on_grant(now, from, incarnation, &grant),
            Message::Full(service) => {
                let dispatchers = self.dispatchers(service);
                self.entry
                    .full(now, service, from, &dispatchers, &self.world.params);
            }
            Message::Room(service) => self.entry.room(service, from),
            Message::Recover(_) | Message::Recovered(_) => {}
        }
    }

    fn on_grant(&mut self, now: Instant, from: RouterId, incarnation: Incarnation, grant: &Grant) {
        let reference = GrantRef {
            dispatcher: from,
            incarnation,
            grant: grant.id,
        };
        let age = self.entry.clock(now).saturating_sub(grant.echo);
        let server = self.world.config.server(grant.server);
        let named = server.and_then(|s| self.world.members.dispatcher(grant.server, s));
        let address = server.map(|s| s.address);
        let usable = age < self.world.params.grant_life && named == Some(from);
        if !usable {
            self.out.count(Counter::Stale);
        }
        let (true, Some(address)) = (usable, address) else {
            self.return_grant(reference);
            return;
        };
        let Some(key) = self.entry.take(grant.flow, from) else {
            self.return_grant(reference);
            return;
        };
        let attempt = self
            .attempts
            .insert(Attempt::new(key, reference, grant.server, now));
        let Some(request) = self.requests.get_mut(key) else {
            self.attempts.remove(attempt);
            self.return_grant(reference);
            return;
        };
        request.running = Some(attempt);
        request.attempts += 1;
        self.timers.insert((
            now + self.world.params.progress_timeout,
            Timer::Silence(attempt),
        ));
        self.out.push(Effect::Dispatch(Dispatch {
            attempt,
            call: request.call.id,
            server: grant.server,
            address,
            reuse: request.call.repeat == Repeat::Idempotent,
            resume: (request.tokens > 0).then_some(request.tokens),
        }));
    }

    fn return_grant(&mut self, grant: GrantRef) {
        self.out.send(
            grant.dispatcher,
            Message::Release(Release {
                grant: grant.grant,
                incarnation: grant.incarnation,
                end: GrantEnd::Unused,
                cost: 0.0,
                first_byte: None,
            }),
        );
    }

    fn objects(&mut self, now: Instant, objects: Vec<(Version, Object)>) {
        let mut changed = false;
        for (version, object) in objects {
            let name = format!("{:?}", object.id());
            if self.world.config.apply(version, object) {
                changed = true;
                let number = version.0.to_string();
                self.out.log(
                    Level::Info,
                    "config_in_force",
                    &[("object", &name), ("version", &number)],
                );
            }
        }
        if changed {
            self.reassign(now);
        }
    }

    fn reassign(&mut self, now: Instant) {
        let env = self.world.at(now);
        self.dispatcher.reassign(env, &mut self.out);
        let services: Vec<_> = self.world.config.services().map(|(id, _)| id).collect();
        let routers: std::collections::BTreeMap<_, _> = services
            .into_iter()
            .map(|s| (s, self.dispatchers(s)))
            .collect();
        self.entry
            .reassign(|s| routers.get(&s).cloned().unwrap_or_default());
    }

    fn tick(&mut self, now: Instant) {
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::Period => self.period(now),
                Timer::Flush => {}
                Timer::Deadline(key) => self.expire(now, key),
                Timer::Silence(key) => self.check_silence(now, key),
            }
        }
    }

    fn period(&mut self, now: Instant) {
        self.timers
            .insert((now + self.world.params.period, Timer::Period));
        self.entry.period();
        self.report_usage(now);
        let env = self.world.at(now);
        self.dispatcher.period(env, &mut self.out);
        for (router, flows) in self.ledger.take_totals() {
            self.totals_seq += 1;
            let totals = Totals {
                seq: self.totals_seq,
                flows,
            };
            self.out.send(router, Message::Totals(totals));
        }
    }

    /// Tells every dispatcher which of its slots are in use here.
    fn report_usage(&mut self, now: Instant) {
        let mut by_dispatcher: std::collections::BTreeMap<RouterId, Vec<Held>> =
            std::collections::BTreeMap::new();
        for (id, server) in self.world.config.servers() {
            if let Some(router) = self.world.members.dispatcher(id, server) {
                by_dispatcher.entry(router).or_default();
            }
        }
        for attempt in self.attempts.values() {
            let Some(request) = self.requests.get(attempt.request) else {
                continue;
            };
            let held = Held {
                grant: attempt.grant,
                server: attempt.server,
                flow: request.flow,
                cost: attempt.cost,
            };
            by_dispatcher
                .entry(attempt.grant.dispatcher)
                .or_default()
                .push(held);
        }
        let sent = self.entry.clock(now);
        for (router, held) in by_dispatcher {
            self.out.send(router, Message::Usage(Usage { sent, held }));
        }
    }

    fn expire(&mut self, now: Instant, key: RequestKey) {
        let Some(call) = self.requests.get(key).map(|r| r.call.id) else {
            return;
        };
        let outcome = self.give_up(now, key);
        let execution = match outcome {
            Some(Outcome::NotRun) => Execution::NotRun,
            _ => Execution::Unknown,
        };
        self.refuse(call, Refusal::Expired, execution);
    }

    fn check_silence(&mut self, now: Instant, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let patience = match attempt.phase {
            Phase::Output => self.world.params.progress_timeout,
            Phase::Unsent | Phase::Sent => self.world.params.first_timeout,
        };
        let due = attempt.progress + patience;
        if due > now {
            self.timers.insert((due, Timer::Silence(key)));
            return;
        }
        self.out.push(Effect::Cancel(key));
        let stage = match attempt.phase {
            Phase::Unsent => Stage::BeforeSend,
            Phase::Sent => Stage::AfterSend,
            Phase::Output => Stage::AfterOutput,
        };
        let outcome = attempt.broken(stage);
        self.retry(now, key, outcome, GrantEnd::Failed);
    }

    fn flush(&mut self, now: Instant) {
        if let Some(due) = self.entry.flush(now, &self.world.params, &mut self.out) {
            self.timers.insert((due, Timer::Flush));
        }
    }

    fn drain(&mut self, now: Instant, patience: Duration) {
        self.draining = Some(now + patience);
        self.timers.insert((now + patience, Timer::Flush));
        let waiting: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, r)| r.running.is_none())
            .map(|(k, _)| k)
            .collect();
        for key in waiting {
            let Some(call) = self.requests.get(key).map(|r| r.call.id) else {
                continue;
            };
            self.give_up(now, key);
            self.refuse(call, Refusal::Stopping, Execution::NotRun);
        }
    }

    fn check_drained(&mut self, now: Instant) {
        let Some(until) = self.draining else {
            return;
        };
        let left = self.attempts.len();
        if left == 0 || now >= until {
            let cut = self.running();
            self.out.push(Effect::Drained { cut });
        }
    }
}
