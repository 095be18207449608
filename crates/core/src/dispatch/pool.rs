//! Demand for one service, in the order in which it is served.
//!
//! The next flow, the entry within it and the server with the most free slots
//! are each found in logarithmic time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{Incarnation, RouterId, ServerId, WorkspaceId};
use crate::share::Tag;

/// Latest demand of one entry for one flow.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntryDemand {
    pub incarnation: Incarnation,
    pub seq: u64,
    pub waiting: u32,
    /// Since when the oldest request waits.
    pub since: Instant,
    /// The entry's clock when it sent the demand.
    pub sent: Duration,
    pub prefer: Option<ServerId>,
    /// Cost hint of the oldest request, in cost units.
    pub hint: Option<f64>,
    pub received: Instant,
}

/// Rank of a flow in the order of service; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub tag: Tag,
    /// Hash that differs by dispatcher, so that each serves flows with equal tags in another order.
    pub tie: u64,
    /// Since when the flow's oldest request waits.
    pub since: Instant,
}

/// Demand of one flow at all entries.
#[derive(Debug, Default)]
struct WorkspaceDemand {
    /// Rank under which the flow is listed, if any of its requests waits.
    rank: Option<Rank>,
    entries: BTreeMap<RouterId, EntryDemand>,
    /// Entries with waiting requests, the longest wait first.
    order: BTreeSet<(Instant, RouterId)>,
}

/// Demand for one service and its servers with free slots.
#[derive(Debug, Default)]
pub(super) struct Pool {
    flows: BTreeMap<WorkspaceId, WorkspaceDemand>,
    /// Flows with waiting requests, in the order of service.
    ready: BTreeSet<(Rank, WorkspaceId)>,
    /// Servers with free slots, by the number of free slots.
    free: BTreeSet<(u32, ServerId)>,
    /// Entries that were told that no slot is free.
    pub told_full: BTreeSet<RouterId>,
}

impl Pool {
    /// Returns the demand of `entry` for a flow.
    pub fn demand(&self, workspace: WorkspaceId, entry: RouterId) -> Option<&EntryDemand> {
        self.flows.get(&workspace)?.entries.get(&entry)
    }

    /// Returns whether any request of the flow waits.
    pub fn has_waiting(&self, workspace: WorkspaceId) -> bool {
        self.flows
            .get(&workspace)
            .is_some_and(|d| !d.order.is_empty())
    }

    /// Returns since when the oldest request of the flow waits.
    pub fn oldest(&self, workspace: WorkspaceId) -> Option<Instant> {
        let (since, _) = self.flows.get(&workspace)?.order.first()?;
        Some(*since)
    }

    /// Replaces the demand of `entry` for a flow; the caller must set the flow's rank.
    pub fn set_demand(&mut self, workspace: WorkspaceId, entry: RouterId, demand: EntryDemand) {
        let flow = self.flows.entry(workspace).or_default();
        if let Some(old) = flow.entries.insert(entry, demand) {
            flow.order.remove(&(old.since, entry));
        }
        if demand.waiting > 0 {
            flow.order.insert((demand.since, entry));
        }
    }

    /// Subtracts one request from the demand of `entry`; the caller must set the flow's rank.
    pub fn take_one(&mut self, workspace: WorkspaceId, entry: RouterId) -> Option<EntryDemand> {
        let mut demand = *self.demand(workspace, entry)?;
        demand.waiting = demand.waiting.checked_sub(1)?;
        self.set_demand(workspace, entry, demand);
        Some(demand)
    }

    /// Ranks a flow, or removes it from the order if no request of it waits.
    pub fn set_rank(&mut self, workspace: WorkspaceId, rank: Rank) {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return;
        };
        let next = (!flow.order.is_empty()).then_some(rank);
        if flow.rank == next {
            return;
        }
        if let Some(old) = flow.rank {
            self.ready.remove(&(old, workspace));
        }
        if let Some(rank) = next {
            self.ready.insert((rank, workspace));
        }
        flow.rank = next;
        if flow.entries.is_empty() {
            self.flows.remove(&workspace);
        }
    }

    /// Returns whether a request of any flow waits.
    pub fn any_waiting(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Returns the first flow and entry in the order of service whose entry is `eligible`.
    pub fn first(&self, eligible: impl Fn(RouterId) -> bool) -> Option<(WorkspaceId, RouterId)> {
        self.ready.iter().find_map(|(_, workspace)| {
            let order = &self.flows.get(workspace)?.order;
            let (_, entry) = order.iter().find(|(_, entry)| eligible(*entry))?;
            Some((*workspace, *entry))
        })
    }

    /// Returns the entries with waiting requests.
    pub fn waiting_entries(&self) -> BTreeSet<RouterId> {
        let flows = self.flows.values();
        flows
            .flat_map(|d| d.order.iter().map(|(_, e)| *e))
            .collect()
    }

    /// Returns the workspaces with demand, including demand of zero requests.
    pub fn workspaces(&self) -> Vec<WorkspaceId> {
        self.flows.keys().copied().collect()
    }

    /// Drops demand of a flow for which `keep` returns false; the caller must then set its rank.
    pub fn retain(
        &mut self,
        workspace: WorkspaceId,
        keep: impl Fn(RouterId, &EntryDemand) -> bool,
    ) {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return;
        };
        flow.entries.retain(|entry, demand| {
            let keep = keep(*entry, demand);
            if !keep {
                flow.order.remove(&(demand.since, *entry));
            }
            keep
        });
    }

    /// Removes a flow that has neither demand nor rank.
    pub fn prune(&mut self, workspace: WorkspaceId) {
        if self
            .flows
            .get(&workspace)
            .is_some_and(|d| d.entries.is_empty() && d.rank.is_none())
        {
            self.flows.remove(&workspace);
        }
    }

    /// Changes the number of free slots of a server from `old` to `new`.
    pub fn set_free(&mut self, server: ServerId, old: u32, new: u32) {
        self.free.remove(&(old, server));
        if new > 0 {
            self.free.insert((new, server));
        }
    }

    /// Returns the servers with free slots, those with the most first.
    pub fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.free.iter().rev().map(|(_, s)| *s)
    }

    /// Returns whether no slot is free.
    pub fn is_full(&self) -> bool {
        self.free.is_empty()
    }
}
