//! The reducer: one function over all events.

mod attempts;
mod calls;
mod claims;
mod config;
mod exchange;
mod membership;
mod progress;
mod silence;
mod slots;
mod stop;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

use slotmap::SlotMap;

use crate::attempt::{History, Running};
use crate::claim::{Claims, Lease, Stored};
use crate::configuration::Configuration;
use crate::configuration::exchange::{Sync, Waiting};
use crate::dispatch::{Dispatcher, Surroundings};
use crate::effect::{Effect, Refusal};
use crate::entry::Entry;
use crate::event::{Call, Event};
use crate::ids::{
    AttemptKey, CallId, Flow, GrantRef, Incarnation, Peer, RequestKey, RouterId, ServerId, TableOp,
    ZoneId,
};
use crate::membership::{Member, Membership};
use crate::message::Message;
use crate::outbox::Outbox;
use crate::params::Params;
use crate::retry::Budgets;
use crate::share::Ledger;
use membership::Swim;

use config::Reaches;
use slots::Obedience;

/// How far the execution claim of a request has come.
#[derive(Debug)]
enum Claim {
    /// The request has no key.
    Needless,
    /// The table is being called.
    Pending(TableOp),
    /// The request may run.
    Held(Lease),
}

/// A caller's request inside the reducer.
#[derive(Debug)]
struct Request {
    call: Call,
    flow: Flow,
    attempts: u32,
    running: Option<AttemptKey>,
    tokens: u64,
    history: History,
    claim: Claim,
    kept: Option<Stored>,
    avoid: Option<ServerId>,
    declined: u32,
}

/// Something that falls due at a time.
#[hibiscusrail_macros::id]
enum Timer {
    Period,
    Flush,
    Recover,
    Charges,
    Deadline(RequestKey),
    Silence(AttemptKey),
    Probe,
    Probation,
    Claim(TableOp),
    Queue,
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
    attempts: SlotMap<AttemptKey, Running>,
    calls: BTreeMap<CallId, RequestKey>,
    grants: BTreeMap<GrantRef, AttemptKey>,
    obedience: Obedience,
    recovery_due: bool,
    view: u64,
    reaches: Rc<Reaches>,
    last: Instant,
    entry: Entry,
    dispatcher: Dispatcher,
    ledger: Ledger,
    totals_seq: u64,
    timers: BTreeSet<(Instant, Timer)>,
    draining: Option<Instant>,
    swim: Swim,
    sync: Sync,
    waited: Option<Waiting>,
    drained: bool,
    claims: Claims,
    budgets: Budgets,
    /// Time of the event at hand.
    now: Instant,
    latencies: silence::Latencies,
    cost_rates: progress::CostRates,
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
        let peer = Peer {
            router: me,
            incarnation,
        };
        let budgets = Budgets::new(params.retry_burst);
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
            calls: BTreeMap::new(),
            grants: BTreeMap::new(),
            obedience: Obedience::default(),
            recovery_due: false,
            view: 0,
            reaches: Rc::default(),
            last: now,
            entry: Entry::new(now, incarnation),
            dispatcher: Dispatcher::new(peer, now),
            ledger: Ledger::new(),
            totals_seq: 0,
            timers: BTreeSet::from([(first, Timer::Period)]),
            draining: None,
            swim: Swim::default(),
            sync: Sync::new(),
            waited: Some(Waiting::NoSource),
            drained: false,
            claims: Claims::new(),
            budgets,
            now,
            latencies: silence::Latencies::new(),
            cost_rates: progress::CostRates::default(),
            out: Outbox::new(me),
        }
    }

    /// Returns the incarnation of this run.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
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
        if !self.sync.is_ready() {
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
        self.now = now;
        self.check_pause(now);
        self.step(now, event);
        self.check_view(now);
        while let Some(message) = self.out.next_local() {
            self.on_message(now, self.me, self.incarnation, message);
        }
        self.flush(now);
        while let Some(message) = self.out.next_local() {
            self.on_message(now, self.me, self.incarnation, message);
        }
        self.schedule_recovery(now);
        self.check_drained(now);
        self.out.take()
    }

    fn step(&mut self, now: Instant, event: Event) {
        match event {
            Event::Submit(call) => self.submit(now, call),
            Event::Hangup(call) => self.hangup(call),
            Event::Attempt(key, milestone) => self.milestone(now, key, milestone),
            Event::Claim(op, answer) => self.claim_answer(now, op, answer),
            Event::Peer {
                from,
                incarnation,
                message,
            } => self.on_message(now, from, incarnation, message),
            Event::Objects(objects) => self.objects(now, objects),
            Event::Load(server, report) => {
                let env = self.world.at(now);
                self.dispatcher.load(env, server, report, &mut self.out);
            }
            Event::Changes(objects) => self.changes(now, objects),
            Event::Join(address) => self.join(now, address),
            Event::Hosts(hosts) => self.hosts(now, &hosts),
            Event::Tick => self.tick(now),
            Event::Drain { patience } => self.drain(now, patience),
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
        let peer = Peer {
            router: from,
            incarnation,
        };
        match message {
            Message::Demand(demand) => self.dispatcher.demand(env, peer, &demand, &mut self.out),
            Message::Release(release) => {
                self.dispatcher.release(env, peer, &release, &mut self.out);
            }
            Message::Usage(usage) => self.dispatcher.usage(env, peer, &usage, &mut self.out),
            Message::Totals(totals) => self.dispatcher.totals(env, peer, &totals),
            Message::Charges(charges) => self.on_charges(peer, &charges),
            Message::Grant(grant) => self.on_grant(now, peer, &grant),
            Message::Full(service) => {
                let reaches = Rc::clone(&self.reaches);
                let world = &self.world;
                self.entry
                    .full(now, service, from, world.params.full_memory, |flow| {
                        reaches.of(world, flow)
                    });
            }
            Message::Room(service) => self.entry.room(service, from),
            Message::Recover(recover) => self.on_recover(now, peer, recover),
            Message::Recovered(answer) => {
                self.dispatcher.recovered(env, peer, &answer, &mut self.out);
            }
            Message::Standby(standby) => {
                if self.named(standby.server) == Some(from) {
                    self.obedience.keep_warmth(standby.server, standby.warmth);
                }
            }
            Message::Handover(handover) => {
                self.dispatcher
                    .handover(env, peer, &handover, &mut self.out);
            }
            Message::Probe(probe) => self.on_probe(now, from, incarnation, &probe),
            Message::Exchange(exchange) => self.on_exchange(now, from, exchange),
        }
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
                Timer::Charges => self.dispatcher.send_charges(&mut self.out),
                Timer::Recover => self.retry_recovery(now),
                Timer::Probe => self.probe_tick(now),
                Timer::Probation => self.end_probation(now),
                Timer::Deadline(key) => self.expire(key),
                Timer::Silence(key) => self.check_silence(now, key),
                Timer::Claim(op) => self.claim_resume(now, op),
                Timer::Queue => self.refuse_waiting(),
            }
        }
    }
}
