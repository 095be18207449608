//! Demand for one service, in the order in which it is served.
//!
//! Every choice takes logarithmic time: the next flow, the entry within it,
//! and the server with the most free slots.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{Incarnation, RouterId, ServerId, WorkspaceId};
use crate::share::Tag;

/// What one entry wants for one flow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Want {
    pub incarnation: Incarnation,
    pub seq: u64,
    pub waiting: u32,
    pub since: Instant,
    pub sent: Duration,
    pub prefer: Option<ServerId>,
    pub hint: Option<f64>,
    pub heard: Instant,
}

/// The place of a flow in the order of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub tag: Tag,
    /// Hash by dispatcher, so that equal flows are served in another order at each.
    pub tie: u64,
    pub since: Instant,
}

/// Demand of one flow.
#[derive(Debug, Default)]
struct Wants {
    rank: Option<Rank>,
    entries: BTreeMap<RouterId, Want>,
    order: BTreeSet<(Instant, RouterId)>,
}

/// Demand for one service and its servers with free slots.
#[derive(Debug, Default)]
pub(super) struct Pool {
    flows: BTreeMap<WorkspaceId, Wants>,
    ready: BTreeSet<(Rank, WorkspaceId)>,
    free: BTreeSet<(u32, ServerId)>,
    /// Entries that were told that no slot is free.
    pub told_full: BTreeSet<RouterId>,
}

impl Pool {
    /// Returns what `entry` wants of a flow.
    pub fn want(&self, workspace: WorkspaceId, entry: RouterId) -> Option<&Want> {
        self.flows.get(&workspace)?.entries.get(&entry)
    }

    /// Returns whether anything of the flow waits.
    pub fn waits(&self, workspace: WorkspaceId) -> bool {
        self.flows
            .get(&workspace)
            .is_some_and(|w| !w.order.is_empty())
    }

    /// Returns since when the oldest request of the flow waits.
    pub fn oldest(&self, workspace: WorkspaceId) -> Option<Instant> {
        let (since, _) = self.flows.get(&workspace)?.order.first()?;
        Some(*since)
    }

    /// Replaces what `entry` wants of a flow; the flow's rank must be set after.
    pub fn set(&mut self, workspace: WorkspaceId, entry: RouterId, want: Want) {
        let wants = self.flows.entry(workspace).or_default();
        if let Some(old) = wants.entries.insert(entry, want) {
            wants.order.remove(&(old.since, entry));
        }
        if want.waiting > 0 {
            wants.order.insert((want.since, entry));
        }
    }

    /// Counts off one request of `entry`; the flow's rank must be set after.
    pub fn take(&mut self, workspace: WorkspaceId, entry: RouterId) -> Option<Want> {
        let mut want = *self.want(workspace, entry)?;
        want.waiting = want.waiting.checked_sub(1)?;
        self.set(workspace, entry, want);
        Some(want)
    }

    /// Puts a flow in its place, or takes it out when nothing of it waits.
    pub fn set_rank(&mut self, workspace: WorkspaceId, rank: Rank) {
        let Some(wants) = self.flows.get_mut(&workspace) else {
            return;
        };
        let next = (!wants.order.is_empty()).then_some(rank);
        if wants.rank == next {
            return;
        }
        if let Some(old) = wants.rank {
            self.ready.remove(&(old, workspace));
        }
        if let Some(rank) = next {
            self.ready.insert((rank, workspace));
        }
        wants.rank = next;
        if wants.entries.is_empty() {
            self.flows.remove(&workspace);
        }
    }

    /// Returns whether any flow waits.
    pub fn is_waiting(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Returns the first flow and entry in the order of service that may be served.
    pub fn next(&self, may: impl Fn(RouterId) -> bool) -> Option<(WorkspaceId, RouterId)> {
        self.ready.iter().find_map(|(_, workspace)| {
            let order = &self.flows.get(workspace)?.order;
            let (_, entry) = order.iter().find(|(_, entry)| may(*entry))?;
            Some((*workspace, *entry))
        })
    }

    /// Returns the entries whose requests wait.
    pub fn entries(&self) -> BTreeSet<RouterId> {
        let flows = self.flows.values();
        flows
            .flat_map(|w| w.order.iter().map(|(_, e)| *e))
            .collect()
    }

    /// Returns the workspaces that are known, waiting or not.
    pub fn workspaces(&self) -> Vec<WorkspaceId> {
        self.flows.keys().copied().collect()
    }

    /// Drops the wants of a flow for which `keep` does not hold; set its rank after.
    pub fn retain(&mut self, workspace: WorkspaceId, keep: impl Fn(RouterId, &Want) -> bool) {
        let Some(wants) = self.flows.get_mut(&workspace) else {
            return;
        };
        wants.entries.retain(|entry, want| {
            let keep = keep(*entry, want);
            if !keep {
                wants.order.remove(&(want.since, *entry));
            }
            keep
        });
    }

    /// Forgets a flow of which nothing is left.
    pub fn prune(&mut self, workspace: WorkspaceId) {
        if self
            .flows
            .get(&workspace)
            .is_some_and(|w| w.entries.is_empty() && w.rank.is_none())
        {
            self.flows.remove(&workspace);
        }
    }

    /// Notes that a server has `new` free slots where it had `old`.
    pub fn set_free(&mut self, server: ServerId, old: u32, new: u32) {
        self.free.remove(&(old, server));
        if new > 0 {
            self.free.insert((new, server));
        }
    }

    /// Returns the servers with free slots, the freest first.
    pub fn free(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.free.iter().rev().map(|(_, s)| *s)
    }

    /// Returns whether no slot is free.
    pub fn is_full(&self) -> bool {
        self.free.is_empty()
    }
}
