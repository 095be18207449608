//! The dispatcher: hands out the slots of the servers assigned to this router.
//!
//! One router at a time hands out a server's slots, so one place decides its
//! concurrency limit. A free slot goes to the waiting flow with the least
//! normalised service, and there to the entry whose request has waited longest.
//!
//! * this module: demand, grants and their ends;
//! * `pool`: the order of service;
//! * `slots`: the slots given out;
//! * `managed`: the state of one server;
//! * `report`: what entries and servers report of slots;
//! * `takeover`: how a server changes hands.

mod managed;
mod pool;
mod report;
mod slots;
mod takeover;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Configuration;
use crate::effect::Counter;
use crate::ids::{
    Flow, GrantId, GrantRef, Incarnation, Peer, RouterId, ServerId, ServiceId, WorkspaceId,
};
use crate::membership::Membership;
use crate::message::{
    Charges, Demand, FlowDemand, FlowTotal, Grant, GrantEnd, Message, Release, Totals,
};
use crate::outbox::Outbox;
use crate::params::{Params, Policy};
use crate::share::{Accounts, Tag};

use managed::Managed;
use pool::{Pool, Rank, Want};
use slots::{Slot, Slots};

/// Periods after which demand that was not refreshed is dropped.
const DEMAND_PERIODS: u32 = 4;

/// Facts about the surroundings that the dispatcher decides by.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings<'a> {
    /// The current time.
    pub now: Instant,
    /// Objects in force.
    pub config: &'a Configuration,
    /// Live routers.
    pub members: &'a Membership,
    /// Policy parameters.
    pub params: &'a Params,
}

impl Surroundings<'_> {
    /// Returns the share of a workspace; one when it is unknown.
    fn share(&self, workspace: WorkspaceId) -> f64 {
        self.config.workspace(workspace).map_or(1.0, |w| w.share)
    }

    /// Returns whether a flow is configured; others are not kept in memory.
    #[must_use]
    pub fn knows(&self, flow: Flow) -> bool {
        self.config.workspace(flow.workspace).is_some()
            && self.config.service(flow.service).is_some()
    }
}

/// What a dispatcher knows of an entry.
#[derive(Debug)]
struct EntryState {
    incarnation: Incarnation,
    /// The entry's clock at its latest report of slots.
    sent: Duration,
    /// When it last reported its slots.
    reported: Instant,
    /// When anything last came from it.
    heard: Instant,
}

/// State of the dispatcher role.
#[derive(Debug)]
pub struct Dispatcher {
    me: Peer,
    next_grant: u64,
    next_term: u64,
    servers: BTreeMap<ServerId, Managed>,
    slots: Slots,
    pools: BTreeMap<ServiceId, Pool>,
    entries: BTreeMap<RouterId, EntryState>,
    lost: BTreeMap<RouterId, Instant>,
    started: Instant,
    shares: BTreeMap<WorkspaceId, f64>,
    accounts: Accounts,
    /// Counters that an account holder has not answered in this period.
    unanswered: BTreeMap<RouterId, Vec<FlowTotal>>,
    /// The latest answer of each account holder.
    answers: BTreeMap<RouterId, (Incarnation, u64)>,
}

impl Dispatcher {
    /// Creates the role for one run of the process.
    #[must_use]
    pub fn new(me: Peer, now: Instant) -> Self {
        Self {
            me,
            started: now,
            next_grant: 0,
            next_term: 0,
            servers: BTreeMap::new(),
            slots: Slots::default(),
            pools: BTreeMap::new(),
            entries: BTreeMap::new(),
            lost: BTreeMap::new(),
            shares: BTreeMap::new(),
            accounts: Accounts::new(),
            unanswered: BTreeMap::new(),
            answers: BTreeMap::new(),
        }
    }

    /// Returns the service counters.
    #[must_use]
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Returns, for each server handled here, its limit and the slots in use.
    pub fn servers(&self) -> impl Iterator<Item = (ServerId, u32, usize)> + '_ {
        self.servers
            .iter()
            .map(|(id, s)| (*id, s.limit.get(), s.used as usize))
    }

    /// Returns all that is kept of a server, for finding faults.
    #[must_use]
    pub fn explain(&self, server: ServerId) -> Option<String> {
        let managed = self.servers.get(&server)?;
        Some(format!("{managed:?}"))
    }

    /// Returns whether any server is still being taken over.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.servers.values().any(Managed::is_recovering)
    }

    /// Takes in an entry's demand and grants what can be granted.
    pub fn demand(&mut self, env: Surroundings<'_>, from: Peer, demand: &Demand, out: &mut Outbox) {
        if !self.hear(env, from) {
            return;
        }
        let mut services = BTreeSet::new();
        for item in &demand.flows {
            if env.knows(item.flow) && self.want(env, from, demand, item) {
                services.insert(item.flow.service);
            }
        }
        for service in services {
            self.serve(env, service, out);
            let pool = self.pools.entry(service).or_default();
            if demand.ask && pool.is_full() {
                pool.told_full.insert(from.router);
                out.send(from.router, Message::Full(service));
            }
        }
    }

    /// Takes in what an entry wants of one flow; returns whether it is news.
    fn want(
        &mut self,
        env: Surroundings<'_>,
        from: Peer,
        demand: &Demand,
        item: &FlowDemand,
    ) -> bool {
        let Flow { service, workspace } = item.flow;
        let pool = self.pools.entry(service).or_default();
        let old = pool.want(workspace, from.router);
        if old.is_some_and(|w| w.incarnation == from.incarnation && w.seq >= demand.seq) {
            return false;
        }
        let waited = pool.waits(workspace);
        let want = Want {
            incarnation: from.incarnation,
            seq: demand.seq,
            waiting: item.waiting,
            since: env.now.checked_sub(item.oldest).unwrap_or(env.now),
            sent: demand.sent,
            prefer: demand.prefer,
            hint: item.hint,
            heard: env.now,
        };
        pool.set(workspace, from.router, want);
        if !waited && item.waiting > 0 {
            let tag = self.tag(env, item.flow);
            self.accounts.activate(item.flow, tag);
        }
        self.rerank(env, item.flow);
        true
    }

    fn tag(&self, env: Surroundings<'_>, flow: Flow) -> Tag {
        let share = env.share(flow.workspace);
        match env.params.policy {
            Policy::FleetFair => self.accounts.tag(flow, share),
            Policy::LocalFair => self.accounts.local_tag(flow, share),
            Policy::Fifo => Tag(0.0),
        }
    }

    /// Puts a flow in its place after its service or demand changed.
    fn rerank(&mut self, env: Surroundings<'_>, flow: Flow) {
        let tag = self.tag(env, flow);
        let tie = match env.params.policy {
            Policy::FleetFair | Policy::LocalFair => tie(self.me.router, flow),
            Policy::Fifo => 0,
        };
        let Some(pool) = self.pools.get_mut(&flow.service) else {
            return;
        };
        let since = pool.oldest(flow.workspace).unwrap_or(env.now);
        pool.set_rank(flow.workspace, Rank { tag, tie, since });
    }

    fn charge(&mut self, env: Surroundings<'_>, flow: Flow, cost: f64) {
        self.accounts.charge(flow, cost);
        self.rerank(env, flow);
    }

    /// Updates the place of a server in the order of free slots.
    fn relist(&mut self, server: ServerId) {
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let free = managed.free();
        if free == managed.listed {
            return;
        }
        let pool = self.pools.entry(managed.service).or_default();
        pool.set_free(server, managed.listed, free);
        managed.listed = free;
    }

    fn serve_all(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        let services: Vec<_> = self.pools.keys().copied().collect();
        for service in services {
            self.serve(env, service, out);
        }
    }

    /// Grants free slots of `service` until none is free or nothing waits.
    fn serve(&mut self, env: Surroundings<'_>, service: ServiceId, out: &mut Outbox) {
        while let Some((server, workspace, entry)) = self.next(service) {
            self.grant(env, Flow { service, workspace }, entry, server, out);
        }
        let Some(pool) = self.pools.get_mut(&service) else {
            return;
        };
        if pool.is_full() {
            return;
        }
        for router in std::mem::take(&mut pool.told_full) {
            out.send(router, Message::Room(service));
        }
        if pool.is_waiting() {
            self.ask_waiting(env, service, out);
        }
    }

    /// Returns the server, the flow and the entry of the next grant.
    fn next(&self, service: ServiceId) -> Option<(ServerId, WorkspaceId, RouterId)> {
        let pool = self.pools.get(&service)?;
        if !pool.is_waiting() {
            return None;
        }
        pool.free().find_map(|server| {
            let managed = self.servers.get(&server)?;
            let (workspace, entry) = pool.next(|e| managed.obeyed_by(e))?;
            Some((server, workspace, entry))
        })
    }

    fn grant(
        &mut self,
        env: Surroundings<'_>,
        flow: Flow,
        entry: RouterId,
        freest: ServerId,
        out: &mut Outbox,
    ) {
        let tag = self.tag(env, flow);
        self.accounts.advance(flow.service, tag);
        let pool = self.pools.get_mut(&flow.service);
        let Some(want) = pool.and_then(|p| p.take(flow.workspace, entry)) else {
            return;
        };
        let estimate = self
            .accounts
            .estimate(flow, want.hint, env.params.first_cost);
        self.charge(env, flow, estimate);
        let server = self.preferred(flow, entry, &want).unwrap_or(freest);
        self.next_grant += 1;
        let id = GrantId(self.next_grant);
        let reference = self.own(id);
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let slot = Slot {
            server,
            term: Some(managed.term),
            entry: Peer {
                router: entry,
                incarnation: want.incarnation,
            },
            flow,
            charged: estimate,
            seen: false,
            echo: want.sent,
            deadline: env.now + env.params.orphan_life,
            orphan: None,
        };
        self.slots.insert(reference, slot);
        managed.used += 1;
        let grant = Grant {
            id,
            server,
            flow,
            echo: want.sent,
            term: managed.term,
            warmth: managed.limit.warmth(),
        };
        self.relist(server);
        out.count(Counter::Granted);
        out.send(entry, Message::Grant(grant));
    }

    /// Returns the server that the entry prefers, if it has room.
    fn preferred(&self, flow: Flow, entry: RouterId, want: &Want) -> Option<ServerId> {
        let server = want.prefer?;
        let managed = self.servers.get(&server)?;
        let fits =
            managed.service == flow.service && managed.free() > 0 && managed.obeyed_by(entry);
        fits.then_some(server)
    }

    /// Returns the reference of a grant of this run.
    fn own(&self, grant: GrantId) -> GrantRef {
        GrantRef {
            dispatcher: self.me.router,
            incarnation: self.me.incarnation,
            grant,
        }
    }

    /// Takes back a slot whose grant ended.
    pub fn release(
        &mut self,
        env: Surroundings<'_>,
        from: Peer,
        release: &Release,
        out: &mut Outbox,
    ) {
        if !self.hear(env, from) {
            return;
        }
        if self.is_foreign(from, release.grant) {
            return;
        }
        if let Some(slot) = self.free_slot(release.grant) {
            self.charge(env, slot.flow, release.cost - slot.charged);
            match release.end {
                GrantEnd::Unused | GrantEnd::Fenced => out.count(Counter::Returned),
                GrantEnd::Done => self.accounts.observe(slot.flow, release.cost),
                GrantEnd::Cancelled | GrantEnd::Overload | GrantEnd::Failed => {}
            }
            if let Some(managed) = self.servers.get_mut(&slot.server) {
                managed.observe(env.now, release);
            }
            self.relist(slot.server);
            if let (GrantEnd::Fenced, Some(term)) = (release.end, slot.term) {
                self.fenced(env, slot.server, term, out);
            }
        }
        if let Some(service) = self.servers.get(&release.server).map(|m| m.service) {
            self.serve(env, service, out);
        }
    }

    /// Returns whether a grant is known to be another entry's.
    fn is_foreign(&mut self, from: Peer, grant: GrantRef) -> bool {
        self.slots
            .get_mut(grant)
            .is_some_and(|s| s.entry.router != from.router)
    }

    /// Forgets a slot and frees it at its server.
    fn free_slot(&mut self, grant: GrantRef) -> Option<Slot> {
        let slot = self.slots.remove(grant)?;
        if let Some(managed) = self.servers.get_mut(&slot.server) {
            managed.used = managed.used.saturating_sub(1);
        }
        self.relist(slot.server);
        Some(slot)
    }

    /// Takes in the service that others gave.
    pub fn totals(&mut self, env: Surroundings<'_>, from: Peer, totals: &Totals) {
        if env.members.get(from.router).is_none() {
            return;
        }
        let number = (from.incarnation, totals.seq);
        let latest = self.answers.get(&from.router);
        if latest.is_some_and(|l| *l >= number) {
            return;
        }
        self.answers.insert(from.router, number);
        self.unanswered.remove(&from.router);
        for total in &totals.flows {
            if env.members.account_holder(total.flow) == from.router {
                let share = env.share(total.flow.workspace);
                self.accounts.set_others(total.flow, share, total.cost);
                self.rerank(env, total.flow);
            }
        }
    }

    /// Sends counters to the account holders and drops what is stale.
    pub fn period(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        self.drop_stale(env);
        let pools = &self.pools;
        self.accounts.close_period(|flow| {
            pools
                .get(&flow.service)
                .is_some_and(|p| p.waits(flow.workspace))
        });
        let mut by_holder: BTreeMap<RouterId, Vec<FlowTotal>> = BTreeMap::new();
        for total in self.accounts.take_changed() {
            let holder = env.members.account_holder(total.flow);
            by_holder.entry(holder).or_default().push(total);
        }
        self.unanswered = by_holder;
        self.send_charges(out);
        self.expire_slots(env);
        self.ask_silent(env, out);
        let servers: Vec<_> = self.servers.keys().copied().collect();
        for server in servers {
            self.try_again(env, server);
            self.tell_standbys(env, server, out);
        }
        self.serve_all(env, out);
    }

    /// Sends the counters that account holders have not answered.
    pub fn send_charges(&mut self, out: &mut Outbox) {
        for (holder, flows) in &self.unanswered {
            let seq = self.accounts.next_seq();
            let flows = flows.clone();
            out.send(*holder, Message::Charges(Charges { seq, flows }));
        }
    }

    /// Tries a server that failed, once it has been left alone for long enough.
    fn try_again(&mut self, env: Surroundings<'_>, server: ServerId) {
        let managed = self.servers.get_mut(&server);
        if managed.is_some_and(|m| m.health.tick(env.now)) {
            self.relist(server);
        }
    }

    /// Drops demand that was not refreshed.
    fn drop_stale(&mut self, env: Surroundings<'_>) {
        let life = env.params.period * DEMAND_PERIODS;
        self.drop_wants(env, |_, w| env.now.duration_since(w.heard) < life);
    }

    /// Drops the wants for which `keep` does not hold.
    fn drop_wants(&mut self, env: Surroundings<'_>, keep: impl Fn(RouterId, &Want) -> bool) {
        let services: Vec<_> = self.pools.keys().copied().collect();
        for service in services {
            let workspaces = self.pools[&service].workspaces();
            for workspace in workspaces {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.retain(workspace, &keep);
                }
                self.rerank(env, Flow { service, workspace });
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.prune(workspace);
                }
            }
        }
    }
}

/// Hashes a flow differently at each dispatcher.
fn tie(me: RouterId, flow: Flow) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&me.0.to_le_bytes());
    bytes[4..8].copy_from_slice(&flow.service.0.to_le_bytes());
    bytes[8..].copy_from_slice(&flow.workspace.0.to_le_bytes());
    xxh3_64(&bytes)
}
