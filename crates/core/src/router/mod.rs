//! The reducer of a router: handles every event and owns all state.

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
use crate::configuration::exchange::{NotReady, SyncState};
use crate::dispatch::{Dispatcher, Env};
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

use config::Assignments;
use slots::Acknowledgements;

/// State of the claim of a request's idempotency key.
#[derive(Debug)]
enum Claim {
    /// The request has no key.
    NotKeyed,
    /// A table operation for the claim is in progress.
    Pending(TableOp),
    /// The claim is held, so the request may be executed.
    Held(Lease),
}

/// State of a caller's request.
#[derive(Debug)]
struct Request {
    call: Call,
    flow: Flow,
    attempts: u32,
    running: Option<AttemptKey>,
    /// Tokens of the answer that the caller has received.
    tokens: u64,
    history: History,
    claim: Claim,
    stored: Option<Stored>,
    /// Server of the last attempt, which a retry avoids.
    avoid: Option<ServerId>,
    /// Grants declined since the last attempt.
    declined: u32,
}

/// An action that is scheduled for a time.
#[hibiscusrail_macros::id]
enum Timer {
    Period,
    /// Only causes a call of `handle`, which flushes after each event.
    Flush,
    Recover,
    Charges,
    Deadline(RequestKey),
    Silence(AttemptKey),
    Probe,
    Probation,
    Claim(TableOp),
    RefuseWaiting,
}

/// State that all roles read: configuration in force, membership, parameters.
#[derive(Debug)]
struct Context {
    config: Configuration,
    members: Membership,
    params: Params,
}

impl Context {
    fn env(&self, now: Instant) -> Env<'_> {
        Env {
            now,
            config: &self.config,
            members: &self.members,
            params: &self.params,
        }
    }
}

/// The reducer: state and decision logic of one router.
#[derive(Debug)]
pub struct Router {
    me: RouterId,
    incarnation: Incarnation,
    ctx: Context,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Running>,
    calls: BTreeMap<CallId, RequestKey>,
    grants: BTreeMap<GrantRef, AttemptKey>,
    acks: Acknowledgements,
    recovery_due: bool,
    /// View number of the last role assignment.
    assigned_view: u64,
    assignments: Rc<Assignments>,
    last_event: Instant,
    entry: Entry,
    dispatcher: Dispatcher,
    ledger: Ledger,
    totals_seq: u64,
    timers: BTreeSet<(Instant, Timer)>,
    drain_deadline: Option<Instant>,
    swim: Swim,
    sync: SyncState,
    logged_not_ready: Option<NotReady>,
    drained: bool,
    claims: Claims,
    budgets: Budgets,
    /// Time of the current event.
    now: Instant,
    latencies: silence::Latencies,
    cost_rates: progress::CostRates,
    out: Outbox,
}

impl Router {
    /// Creates a router without other members and without configuration.
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
            ctx: Context {
                config: Configuration::new(),
                members: Membership::new(me, zone),
                params,
            },
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            calls: BTreeMap::new(),
            grants: BTreeMap::new(),
            acks: Acknowledgements::default(),
            recovery_due: false,
            assigned_view: 0,
            assignments: Rc::default(),
            last_event: now,
            entry: Entry::new(now, incarnation),
            dispatcher: Dispatcher::new(peer, now),
            ledger: Ledger::new(),
            totals_seq: 0,
            timers: BTreeSet::from([(first, Timer::Period)]),
            drain_deadline: None,
            swim: Swim::default(),
            sync: SyncState::new(),
            logged_not_ready: Some(NotReady::NoSource),
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
        &self.ctx.config
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
        &self.ctx.members
    }

    /// Returns whether the router accepts requests, or the reason for refusing them.
    pub fn readiness(&self) -> Result<(), Refusal> {
        if self.drain_deadline.is_some() {
            return Err(Refusal::Stopping);
        }
        if !self.sync.is_ready() {
            return Err(Refusal::NotReady);
        }
        Ok(())
    }

    /// Adds a router that is known from the settings.
    pub fn add_member(&mut self, router: RouterId, member: Member) {
        self.ctx.members.insert(router, member);
    }

    /// Returns the number of running attempts.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Handles one event at time `now` and returns the effects to perform.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.now = now;
        self.check_pause(now);
        self.on_event(now, event);
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

    fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Submit(call) => self.on_submit(now, call),
            Event::Hangup(call) => self.on_hangup(call),
            Event::Attempt(key, milestone) => self.on_milestone(now, key, milestone),
            Event::ClaimAnswer(op, answer) => self.on_claim_answer(now, op, answer),
            Event::Peer {
                from,
                incarnation,
                message,
            } => self.on_message(now, from, incarnation, message),
            Event::ConfigRead(objects) => self.on_objects(now, objects),
            Event::Load(server, report) => {
                let env = self.ctx.env(now);
                self.dispatcher
                    .handle_load(env, server, report, &mut self.out);
            }
            Event::ConfigChanged(objects) => self.on_changes(now, objects),
            Event::Join(address) => self.join(now, address),
            Event::Hosts(hosts) => self.on_hosts(now, &hosts),
            Event::Tick => self.tick(now),
            Event::Drain { time_limit } => self.drain(now, time_limit),
        }
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: RouterId,
        incarnation: Incarnation,
        message: Message,
    ) {
        let env = self.ctx.env(now);
        let peer = Peer {
            router: from,
            incarnation,
        };
        match message {
            Message::Demand(demand) => {
                self.dispatcher
                    .handle_demand(env, peer, &demand, &mut self.out);
            }
            Message::Release(release) => {
                self.dispatcher
                    .handle_release(env, peer, &release, &mut self.out);
            }
            Message::Usage(usage) => self
                .dispatcher
                .handle_usage(env, peer, &usage, &mut self.out),
            Message::Totals(totals) => self.dispatcher.handle_totals(env, peer, &totals),
            Message::Charges(charges) => self.on_charges(peer, &charges),
            Message::Grant(grant) => self.on_grant(now, peer, &grant),
            Message::NoFreeSlot(service) => {
                let assignments = Rc::clone(&self.assignments);
                let ctx = &self.ctx;
                self.entry
                    .handle_full(now, service, from, ctx.params.full_memory, |flow| {
                        assignments.candidates(ctx, flow)
                    });
            }
            Message::SlotFree(service) => self.entry.handle_room(service, from),
            Message::TermRequest(request) => self.on_recover(now, peer, request),
            Message::TermAck(answer) => {
                self.dispatcher
                    .handle_recovered(env, peer, &answer, &mut self.out);
            }
            Message::Standby(standby) => {
                if self.dispatcher_of(standby.server) == Some(from) {
                    self.acks.keep_warm_up(standby.server, standby.warm_up);
                }
            }
            Message::Handover(handover) => {
                self.dispatcher
                    .handle_handover(env, peer, &handover, &mut self.out);
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
                Timer::Period => self.run_period(now),
                Timer::Flush => {}
                Timer::Charges => self.dispatcher.send_charges(&mut self.out),
                Timer::Recover => self.retry_recovery(now),
                Timer::Probe => self.probe_tick(now),
                Timer::Probation => self.end_probation(now),
                Timer::Deadline(key) => self.expire(key),
                Timer::Silence(key) => self.check_silence(now, key),
                Timer::Claim(op) => self.resume_claim(now, op),
                Timer::RefuseWaiting => self.refuse_waiting(),
            }
        }
    }
}
