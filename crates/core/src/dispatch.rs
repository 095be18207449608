//! The dispatcher: hands out the slots of the servers assigned to this router.
//!
//! One router at a time hands out a server's slots, so one place decides its
//! concurrency limit. A free slot goes to the waiting flow with the least
//! normalised service, and there to the entry whose request has waited longest.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::configuration::{Configuration, Server};
use crate::effect::Counter;
use crate::ids::{Flow, GrantId, Incarnation, RouterId, ServerId, ServiceId, WorkspaceId};
use crate::membership::Membership;
use crate::message::{Charges, Demand, FlowTotal, Grant, GrantEnd, Message, Release, Usage};
use crate::outbox::Outbox;
use crate::params::{Params, Policy};
use crate::server::Limit;
use crate::share::Accounts;

/// Periods after which demand that was not refreshed is dropped.
const DEMAND_PERIODS: u32 = 4;

/// A slot in use or on its way to an entry.
#[derive(Debug)]
struct Slot {
    entry: RouterId,
    flow: Flow,
    charged: f64,
    echo: Duration,
}

/// A server whose slots this router hands out.
#[derive(Debug)]
struct Managed {
    service: ServiceId,
    limit: Limit,
    slots: BTreeMap<GrantId, Slot>,
    open: bool,
}

impl Managed {
    fn new(server: &Server) -> Self {
        Self {
            service: server.service,
            limit: Limit::new(server.cold_limit, server.max_limit),
            slots: BTreeMap::new(),
            open: false,
        }
    }

    fn free(&self) -> usize {
        if !self.open {
            return 0;
        }
        (self.limit.get() as usize).saturating_sub(self.slots.len())
    }
}

/// What one entry wants for one flow.
#[derive(Debug)]
struct Want {
    seq: u64,
    waiting: u32,
    since: Instant,
    sent: Duration,
    prefer: Option<ServerId>,
    heard: Instant,
}

/// Demand for one service.
#[derive(Debug, Default)]
struct Pool {
    wants: BTreeMap<WorkspaceId, BTreeMap<RouterId, Want>>,
    told_full: BTreeSet<RouterId>,
}

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

/// State of the dispatcher role.
#[derive(Debug)]
pub struct Dispatcher {
    incarnation: Incarnation,
    next_grant: u64,
    servers: BTreeMap<ServerId, Managed>,
    pools: BTreeMap<ServiceId, Pool>,
    accounts: Accounts,
}

impl Dispatcher {
    /// Creates the role for one run of the process.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            next_grant: 0,
            servers: BTreeMap::new(),
            pools: BTreeMap::new(),
            accounts: Accounts::new(),
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
            .map(|(id, s)| (*id, s.limit.get(), s.slots.len()))
    }

    /// Takes over and gives up servers after a change of view or configuration.
    pub fn reassign(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        let me = env.members.me();
        let mut mine = BTreeSet::new();
        for (id, server) in env.config.servers() {
            if env.members.dispatcher(id, server) != Some(me) {
                continue;
            }
            mine.insert(id);
            let managed = self
                .servers
                .entry(id)
                .or_insert_with(|| Managed::new(server));
            managed.limit.configure(server.cold_limit, server.max_limit);
            managed.open = env.config.is_open(server);
        }
        self.servers.retain(|id, _| mine.contains(id));
        self.serve_all(env, out);
    }

    /// Takes in an entry's demand and grants what can be granted.
    pub fn demand(
        &mut self,
        env: Surroundings<'_>,
        from: RouterId,
        demand: &Demand,
        out: &mut Outbox,
    ) {
        let mut services = BTreeSet::new();
        for item in &demand.flows {
            services.insert(item.flow.service);
            let pool = self.pools.entry(item.flow.service).or_default();
            let wants = pool.wants.entry(item.flow.workspace).or_default();
            let was_idle = wants.values().all(|w| w.waiting == 0);
            if wants.get(&from).is_some_and(|w| w.seq >= demand.seq) {
                continue;
            }
            let want = Want {
                seq: demand.seq,
                waiting: item.waiting,
                since: env.now.checked_sub(item.oldest).unwrap_or(env.now),
                sent: demand.sent,
                prefer: demand.prefer,
                heard: env.now,
            };
            wants.insert(from, want);
            if was_idle && item.waiting > 0 {
                let share = share_of(env.config, item.flow.workspace);
                self.accounts.activate(item.flow, share);
            }
        }
        for service in services {
            self.serve(env, service, out);
            if demand.ask && self.is_full(service) {
                let pool = self.pools.entry(service).or_default();
                pool.told_full.insert(from);
                out.send(from, Message::Full(service));
            }
        }
    }

    fn is_full(&self, service: ServiceId) -> bool {
        !self
            .servers
            .values()
            .any(|s| s.service == service && s.free() > 0)
    }

    fn serve_all(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        let services: BTreeSet<_> = self.servers.values().map(|s| s.service).collect();
        for service in services {
            self.serve(env, service, out);
        }
    }

    /// Grants free slots of `service` until none is free or nothing waits.
    fn serve(&mut self, env: Surroundings<'_>, service: ServiceId, out: &mut Outbox) {
        while let Some(server) = self.freest(service) {
            let Some((workspace, entry)) = self.next_want(env, service) else {
                self.tell_room(service, out);
                return;
            };
            self.grant(env, Flow { service, workspace }, entry, server, out);
        }
    }

    fn tell_room(&mut self, service: ServiceId, out: &mut Outbox) {
        let Some(pool) = self.pools.get_mut(&service) else {
            return;
        };
        for router in std::mem::take(&mut pool.told_full) {
            out.send(router, Message::Room(service));
        }
    }

    fn freest(&self, service: ServiceId) -> Option<ServerId> {
        self.servers
            .iter()
            .filter(|(_, s)| s.service == service && s.free() > 0)
            .max_by_key(|(_, s)| s.free())
            .map(|(id, _)| *id)
    }

    fn next_want(
        &self,
        env: Surroundings<'_>,
        service: ServiceId,
    ) -> Option<(WorkspaceId, RouterId)> {
        let pool = self.pools.get(&service)?;
        let mut best: Option<(f64, Instant, WorkspaceId, RouterId)> = None;
        for (workspace, wants) in &pool.wants {
            let Some((entry, since)) = oldest(wants) else {
                continue;
            };
            let flow = Flow {
                service,
                workspace: *workspace,
            };
            let tag = self.tag(env, flow);
            if best.is_none_or(|(t, s, ..)| (tag, since) < (t, s)) {
                best = Some((tag, since, *workspace, entry));
            }
        }
        best.map(|(_, _, workspace, entry)| (workspace, entry))
    }

    fn tag(&self, env: Surroundings<'_>, flow: Flow) -> f64 {
        let share = share_of(env.config, flow.workspace);
        match env.params.policy {
            Policy::FleetFair => self.accounts.tag(flow, share).0,
            Policy::LocalFair => self.accounts.local_tag(flow, share).0,
            Policy::Fifo => 0.0,
        }
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
        self.accounts.advance(flow.service, crate::share::Tag(tag));
        let estimate = self.accounts.estimate(flow, env.params.first_cost);
        self.accounts.charge(flow, estimate);
        self.next_grant += 1;
        let id = GrantId(self.next_grant);
        let Some(want) = self
            .pools
            .get_mut(&flow.service)
            .and_then(|p| p.wants.get_mut(&flow.workspace))
            .and_then(|w| w.get_mut(&entry))
        else {
            return;
        };
        want.waiting -= 1;
        let echo = want.sent;
        let prefer = want.prefer.filter(|s| {
            self.servers
                .get(s)
                .is_some_and(|m| m.service == flow.service && m.free() > 0)
        });
        let server = prefer.unwrap_or(freest);
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        managed.slots.insert(
            id,
            Slot {
                entry,
                flow,
                charged: estimate,
                echo,
            },
        );
        out.count(Counter::Granted);
        let grant = Grant {
            id,
            server,
            flow,
            echo,
            limit: managed.limit.get(),
        };
        out.send(entry, Message::Grant(grant));
    }

    /// Takes back a slot whose grant ended.
    pub fn release(&mut self, env: Surroundings<'_>, release: &Release, out: &mut Outbox) {
        if release.incarnation != self.incarnation {
            return;
        }
        let Some((server, slot)) = self.take_slot(release.grant) else {
            return;
        };
        self.accounts.charge(slot.flow, release.cost - slot.charged);
        if release.end == GrantEnd::Unused {
            out.count(Counter::Returned);
        } else if release.end == GrantEnd::Done {
            self.accounts.observe(slot.flow, release.cost);
        }
        if let Some(managed) = self.servers.get_mut(&server) {
            managed.limit.observe(release.end, release.first_byte);
            let service = managed.service;
            self.serve(env, service, out);
        }
    }

    fn take_slot(&mut self, grant: GrantId) -> Option<(ServerId, Slot)> {
        self.servers
            .iter_mut()
            .find_map(|(id, s)| Some((*id, s.slots.remove(&grant)?)))
    }

    /// Takes in an entry's report of the slots it uses.
    ///
    /// A slot of that entry that is missing from a report sent after the
    /// grant's lifetime was lost on its way and will never be used.
    pub fn usage(
        &mut self,
        env: Surroundings<'_>,
        from: RouterId,
        usage: &Usage,
        out: &mut Outbox,
    ) {
        let costs: BTreeMap<GrantId, f64> = usage
            .held
            .iter()
            .filter(|h| h.grant.incarnation == self.incarnation)
            .map(|h| (h.grant.grant, h.cost))
            .collect();
        let life = env.params.grant_life;
        for managed in self.servers.values_mut() {
            managed.slots.retain(|id, slot| {
                if slot.entry != from {
                    return true;
                }
                if let Some(cost) = costs.get(id) {
                    if *cost > slot.charged {
                        self.accounts.charge(slot.flow, *cost - slot.charged);
                        slot.charged = *cost;
                    }
                    return true;
                }
                let unused = usage.sent > slot.echo + life;
                if unused {
                    self.accounts.charge(slot.flow, -slot.charged);
                }
                !unused
            });
        }
        self.serve_all(env, out);
    }

    /// Takes in the load report of a server.
    pub fn load(&mut self, server: ServerId, incarnation: u64) {
        if let Some(managed) = self.servers.get_mut(&server) {
            managed.limit.observe_incarnation(incarnation);
        }
    }

    /// Takes in the service that others gave.
    pub fn totals(&mut self, flows: &[FlowTotal]) {
        for total in flows {
            self.accounts.set_others(total.flow, total.cost);
        }
    }

    /// Sends counters to the account holders and drops demand that is stale.
    pub fn period(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        let mut by_holder: BTreeMap<RouterId, Vec<FlowTotal>> = BTreeMap::new();
        for total in self.accounts.take_changed() {
            let holder = env.members.account_holder(total.flow);
            by_holder.entry(holder).or_default().push(total);
        }
        for (holder, flows) in by_holder {
            let seq = self.accounts.next_seq();
            out.send(holder, Message::Charges(Charges { seq, flows }));
        }
        let life = env.params.period * DEMAND_PERIODS;
        for pool in self.pools.values_mut() {
            for wants in pool.wants.values_mut() {
                wants.retain(|_, w| env.now.duration_since(w.heard) < life);
            }
            pool.wants.retain(|_, w| !w.is_empty());
        }
        self.serve_all(env, out);
    }
}

/// Returns the share of a workspace; one when it is unknown.
fn share_of(config: &Configuration, workspace: WorkspaceId) -> f64 {
    config.workspace(workspace).map_or(1.0, |w| w.share)
}

/// Returns the entry whose oldest request has waited longest.
fn oldest(wants: &BTreeMap<RouterId, Want>) -> Option<(RouterId, Instant)> {
    wants
        .iter()
        .filter(|(_, w)| w.waiting > 0)
        .min_by_key(|(_, w)| w.since)
        .map(|(id, w)| (*id, w.since))
}
