//! The dispatcher: hands out the slots of the servers assigned to this router.
//!
//! A server has one dispatcher at a time, which alone decides the server's
//! concurrency limit. A free slot goes to the waiting flow with the least
//! normalised service, and within it to the entry whose request has waited longest.
//!
//! * this module: demand, grants and releases;
//! * `pool`: the order in which waiting flows are served;
//! * `slots`: the slots in use;
//! * `managed`: the state of one server;
//! * `report`: usage reports of entries and load reports of servers;
//! * `takeover`: the change of a server's dispatcher.

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
use pool::{EntryDemand, Pool, Rank};
use slots::{Slot, Slots};

/// Time to live of demand that is not refreshed, in periods.
const DEMAND_TTL_PERIODS: u32 = 4;

/// Time, configuration, membership and parameters that the dispatcher decides by.
#[derive(Debug, Clone, Copy)]
pub struct Env<'a> {
    /// The current time.
    pub now: Instant,
    /// Configuration in force.
    pub config: &'a Configuration,
    /// Membership of the fleet.
    pub members: &'a Membership,
    /// Policy parameters.
    pub params: &'a Params,
}

impl Env<'_> {
    /// Returns the share of a workspace, 1.0 if it is unknown.
    fn share(&self, workspace: WorkspaceId) -> f64 {
        self.config.workspace(workspace).map_or(1.0, |w| w.share)
    }

    /// Returns whether `flow` is configured; no state is kept for other flows.
    #[must_use]
    pub fn knows(&self, flow: Flow) -> bool {
        self.config.workspace(flow.workspace).is_some()
            && self.config.service(flow.service).is_some()
    }
}

/// State that a dispatcher keeps of an entry.
#[derive(Debug)]
struct EntryState {
    incarnation: Incarnation,
    /// The entry's clock in its latest report of its slots.
    report_clock: Duration,
    /// When that report was received.
    last_report: Instant,
    /// When any message was last received from the entry.
    last_contact: Instant,
}

/// The dispatcher role of one router.
#[derive(Debug)]
pub struct Dispatcher {
    me: Peer,
    next_grant: u64,
    next_term: u64,
    servers: BTreeMap<ServerId, Managed>,
    slots: Slots,
    pools: BTreeMap<ServiceId, Pool>,
    entries: BTreeMap<RouterId, EntryState>,
    /// Routers that are no longer present, with the time of their loss.
    lost: BTreeMap<RouterId, Instant>,
    started: Instant,
    shares: BTreeMap<WorkspaceId, f64>,
    accounts: Accounts,
    /// Charges that an account holder has not answered in this period.
    unanswered: BTreeMap<RouterId, Vec<FlowTotal>>,
    /// Incarnation and sequence number of the latest totals from each account holder.
    latest_totals: BTreeMap<RouterId, (Incarnation, u64)>,
}

impl Dispatcher {
    /// Creates the dispatcher role of `me`, which starts at `now`.
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
            latest_totals: BTreeMap::new(),
        }
    }

    /// Returns the service counters of this dispatcher.
    #[must_use]
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Returns each server dispatched here with its limit and its number of slots in use.
    pub fn servers(&self) -> impl Iterator<Item = (ServerId, u32, usize)> + '_ {
        self.servers
            .iter()
            .map(|(id, s)| (*id, s.limit.get(), s.used as usize))
    }

    /// Returns the state of a server as text for debugging.
    #[must_use]
    pub fn explain(&self, server: ServerId) -> Option<String> {
        let managed = self.servers.get(&server)?;
        Some(format!("{managed:?}"))
    }

    /// Returns whether a take-over is still in progress for any server.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.servers.values().any(Managed::is_recovering)
    }

    /// Updates an entry's demand and grants free slots.
    pub fn handle_demand(&mut self, env: Env<'_>, from: Peer, demand: &Demand, out: &mut Outbox) {
        if !self.note_contact(env, from) {
            return;
        }
        let mut services = BTreeSet::new();
        for item in &demand.flows {
            if env.knows(item.flow) && self.update_demand(env, from, demand, item) {
                services.insert(item.flow.service);
            }
        }
        for service in services {
            self.grant_free(env, service, out);
            let pool = self.pools.entry(service).or_default();
            if demand.wants_answer && pool.is_full() {
                pool.told_full.insert(from.router);
                out.send(from.router, Message::NoFreeSlot(service));
            }
        }
    }

    /// Updates an entry's demand for one flow; returns whether the message is newer than the last.
    fn update_demand(
        &mut self,
        env: Env<'_>,
        from: Peer,
        demand: &Demand,
        item: &FlowDemand,
    ) -> bool {
        let Flow { service, workspace } = item.flow;
        let pool = self.pools.entry(service).or_default();
        let old = pool.demand(workspace, from.router);
        if old.is_some_and(|d| d.incarnation == from.incarnation && d.seq >= demand.seq) {
            return false;
        }
        let was_waiting = pool.has_waiting(workspace);
        let latest = EntryDemand {
            incarnation: from.incarnation,
            seq: demand.seq,
            waiting: item.waiting,
            since: env.now.checked_sub(item.oldest).unwrap_or(env.now),
            sent: demand.sent,
            prefer: demand.prefer,
            hint: item.hint,
            received: env.now,
        };
        pool.set_demand(workspace, from.router, latest);
        if !was_waiting && item.waiting > 0 {
            let tag = self.tag(env, item.flow);
            self.accounts.activate(item.flow, tag);
        }
        self.rerank(env, item.flow);
        true
    }

    /// Returns the tag of a flow under the configured policy.
    fn tag(&self, env: Env<'_>, flow: Flow) -> Tag {
        let share = env.share(flow.workspace);
        match env.params.policy {
            Policy::FleetFair => self.accounts.tag(flow, share),
            Policy::LocalFair => self.accounts.local_tag(flow, share),
            Policy::Fifo => Tag(0.0),
        }
    }

    /// Updates the rank of a flow after its service or demand changed.
    fn rerank(&mut self, env: Env<'_>, flow: Flow) {
        let tag = self.tag(env, flow);
        let tie = match env.params.policy {
            Policy::FleetFair | Policy::LocalFair => tie_break(self.me.router, flow),
            Policy::Fifo => 0,
        };
        let Some(pool) = self.pools.get_mut(&flow.service) else {
            return;
        };
        let since = pool.oldest(flow.workspace).unwrap_or(env.now);
        pool.set_rank(flow.workspace, Rank { tag, tie, since });
    }

    fn charge(&mut self, env: Env<'_>, flow: Flow, cost: f64) {
        self.accounts.charge(flow, cost);
        self.rerank(env, flow);
    }

    /// Reports a changed number of free slots of a server to its pool.
    fn update_free(&mut self, server: ServerId) {
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let free = managed.free();
        if free == managed.listed_free {
            return;
        }
        let pool = self.pools.entry(managed.service).or_default();
        pool.set_free(server, managed.listed_free, free);
        managed.listed_free = free;
    }

    fn grant_all_free(&mut self, env: Env<'_>, out: &mut Outbox) {
        let services: Vec<_> = self.pools.keys().copied().collect();
        for service in services {
            self.grant_free(env, service, out);
        }
    }

    /// Grants free slots of `service` until no slot is free or no request waits.
    fn grant_free(&mut self, env: Env<'_>, service: ServiceId, out: &mut Outbox) {
        while let Some((server, workspace, entry)) = self.next_match(service) {
            self.grant(env, Flow { service, workspace }, entry, server, out);
        }
        let Some(pool) = self.pools.get_mut(&service) else {
            return;
        };
        if pool.is_full() {
            return;
        }
        for router in std::mem::take(&mut pool.told_full) {
            out.send(router, Message::SlotFree(service));
        }
        if pool.any_waiting() {
            self.request_waiting_acks(env, service, out);
        }
    }

    /// Returns the server, the workspace and the entry of the next grant.
    fn next_match(&self, service: ServiceId) -> Option<(ServerId, WorkspaceId, RouterId)> {
        let pool = self.pools.get(&service)?;
        if !pool.any_waiting() {
            return None;
        }
        pool.servers().find_map(|server| {
            let managed = self.servers.get(&server)?;
            let (workspace, entry) = pool.first(|e| managed.acked_by(e))?;
            Some((server, workspace, entry))
        })
    }

    fn grant(
        &mut self,
        env: Env<'_>,
        flow: Flow,
        entry: RouterId,
        fallback: ServerId,
        out: &mut Outbox,
    ) {
        let tag = self.tag(env, flow);
        self.accounts.advance(flow.service, tag);
        let pool = self.pools.get_mut(&flow.service);
        let Some(demand) = pool.and_then(|p| p.take_one(flow.workspace, entry)) else {
            return;
        };
        let estimate = self
            .accounts
            .estimate(flow, demand.hint, env.params.first_cost);
        self.charge(env, flow, estimate);
        let server = self.preferred(flow, entry, &demand).unwrap_or(fallback);
        self.next_grant += 1;
        let id = GrantId(self.next_grant);
        let reference = self.grant_ref(id);
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let slot = Slot {
            server,
            term: Some(managed.term),
            entry: Peer {
                router: entry,
                incarnation: demand.incarnation,
            },
            flow,
            charged: estimate,
            reported: false,
            demand_sent: demand.sent,
            deadline: env.now + env.params.orphan_life,
            orphaned_at: None,
        };
        self.slots.insert(reference, slot);
        managed.used += 1;
        let grant = Grant {
            id,
            server,
            flow,
            demand_sent: demand.sent,
            term: managed.term,
            warm_up: managed.limit.warm_up(),
        };
        self.update_free(server);
        out.count(Counter::Granted);
        out.send(entry, Message::Grant(grant));
    }

    /// Returns the server that the entry prefers, if one of its slots can be granted to it.
    fn preferred(&self, flow: Flow, entry: RouterId, demand: &EntryDemand) -> Option<ServerId> {
        let server = demand.prefer?;
        let managed = self.servers.get(&server)?;
        let fits = managed.service == flow.service && managed.free() > 0 && managed.acked_by(entry);
        fits.then_some(server)
    }

    /// Returns the reference of a grant that this dispatcher incarnation issued.
    fn grant_ref(&self, grant: GrantId) -> GrantRef {
        GrantRef {
            dispatcher: self.me.router,
            incarnation: self.me.incarnation,
            grant,
        }
    }

    /// Frees the slot of a grant that ended and grants it again.
    pub fn handle_release(
        &mut self,
        env: Env<'_>,
        from: Peer,
        release: &Release,
        out: &mut Outbox,
    ) {
        if !self.note_contact(env, from) {
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
            self.update_free(slot.server);
            if let (GrantEnd::Fenced, Some(term)) = (release.end, slot.term) {
                self.handle_fenced(env, slot.server, term, out);
            }
        }
        if let Some(service) = self.servers.get(&release.server).map(|m| m.service) {
            self.grant_free(env, service, out);
        }
    }

    /// Returns whether a grant is known to belong to another entry.
    fn is_foreign(&mut self, from: Peer, grant: GrantRef) -> bool {
        self.slots
            .get_mut(grant)
            .is_some_and(|s| s.entry.router != from.router)
    }

    /// Removes a slot and frees it at its server.
    fn free_slot(&mut self, grant: GrantRef) -> Option<Slot> {
        let slot = self.slots.remove(grant)?;
        if let Some(managed) = self.servers.get_mut(&slot.server) {
            managed.used = managed.used.saturating_sub(1);
        }
        self.update_free(slot.server);
        Some(slot)
    }

    /// Updates the service given by other dispatchers, as an account holder reports it.
    pub fn handle_totals(&mut self, env: Env<'_>, from: Peer, totals: &Totals) {
        if env.members.get(from.router).is_none() {
            return;
        }
        let number = (from.incarnation, totals.seq);
        let latest = self.latest_totals.get(&from.router);
        if latest.is_some_and(|l| *l >= number) {
            return;
        }
        self.latest_totals.insert(from.router, number);
        self.unanswered.remove(&from.router);
        for total in &totals.flows {
            if env.members.account_holder(total.flow) == from.router {
                let share = env.share(total.flow.workspace);
                self.accounts.set_remote(total.flow, share, total.cost);
                self.rerank(env, total.flow);
            }
        }
    }

    /// Ends a period: expires demand and slots, sends charges and grants free slots.
    pub fn end_period(&mut self, env: Env<'_>, out: &mut Outbox) {
        self.expire_demand(env);
        let pools = &self.pools;
        self.accounts.close_period(|flow| {
            pools
                .get(&flow.service)
                .is_some_and(|p| p.has_waiting(flow.workspace))
        });
        let mut by_holder: BTreeMap<RouterId, Vec<FlowTotal>> = BTreeMap::new();
        for total in self.accounts.take_changed() {
            let holder = env.members.account_holder(total.flow);
            by_holder.entry(holder).or_default().push(total);
        }
        self.unanswered = by_holder;
        self.send_charges(out);
        self.expire_slots(env);
        self.query_silent(env, out);
        let servers: Vec<_> = self.servers.keys().copied().collect();
        for server in servers {
            self.update_health(env, server);
            self.update_standbys(env, server, out);
        }
        self.grant_all_free(env, out);
    }

    /// Sends the charges that account holders have not answered.
    pub fn send_charges(&mut self, out: &mut Outbox) {
        for (holder, flows) in &self.unanswered {
            let seq = self.accounts.next_seq();
            let flows = flows.clone();
            out.send(*holder, Message::Charges(Charges { seq, flows }));
        }
    }

    /// Allows a trial request to a failed server once its pause is over.
    fn update_health(&mut self, env: Env<'_>, server: ServerId) {
        let managed = self.servers.get_mut(&server);
        if managed.is_some_and(|m| m.health.tick(env.now)) {
            self.update_free(server);
        }
    }

    /// Drops demand that was not refreshed within its time to live.
    fn expire_demand(&mut self, env: Env<'_>) {
        let ttl = env.params.period * DEMAND_TTL_PERIODS;
        self.retain_demand(env, |_, d| env.now.duration_since(d.received) < ttl);
    }

    /// Drops the demand for which `keep` returns false.
    fn retain_demand(&mut self, env: Env<'_>, keep: impl Fn(RouterId, &EntryDemand) -> bool) {
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

/// Returns a hash that orders flows with equal tags, differently at each dispatcher.
fn tie_break(me: RouterId, flow: Flow) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&me.0.to_le_bytes());
    bytes[4..8].copy_from_slice(&flow.service.0.to_le_bytes());
    bytes[8..].copy_from_slice(&flow.workspace.0.to_le_bytes());
    xxh3_64(&bytes)
}
