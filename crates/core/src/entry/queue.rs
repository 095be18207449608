//! The waiting requests of one flow.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use crate::ids::{RequestKey, RouterId};

use super::Arrival;
use super::targets::Candidates;

/// A waiting request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub request: RequestKey,
    pub since: Instant,
    pub hint: Option<f64>,
    /// The dispatcher that was asked for a slot, unless the flow is announced.
    pub asked: Option<RouterId>,
    /// When the dispatcher was asked.
    pub asked_at: Instant,
}

impl Waiting {
    pub fn new(arrival: &Arrival, now: Instant, asked: Option<RouterId>) -> Self {
        Self {
            request: arrival.request,
            since: now,
            hint: arrival.hint,
            asked,
            asked_at: now,
        }
    }
}

/// Demand of a queue at one dispatcher.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueDemand {
    pub count: u32,
    /// Since when the first request waits.
    pub since: Instant,
    /// Cost hint of the first request, in cost units.
    pub hint: Option<f64>,
}

/// The queue of one flow.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    /// Whether all requests are announced to the targets, instead of asking one dispatcher each.
    announced: bool,
    targets: BTreeSet<RouterId>,
    /// Targets added to find out whether they have free slots.
    probes: BTreeSet<RouterId>,
    /// Number of probes that granted a slot in this period.
    probes_granted: usize,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_announced(&self) -> bool {
        self.announced
    }

    pub fn targets(&self) -> &BTreeSet<RouterId> {
        &self.targets
    }

    pub fn push(&mut self, waiting: Waiting, at_front: bool) {
        if at_front {
            self.waiting.push_front(waiting);
        } else {
            self.waiting.push_back(waiting);
        }
    }

    /// Returns the dispatchers that were asked for single slots.
    pub fn asked(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.waiting.iter().filter_map(|w| w.asked)
    }

    /// Returns the dispatcher and time of each pending slot request.
    pub fn asks(&self) -> impl Iterator<Item = (RouterId, Instant)> + '_ {
        let waiting = self.waiting.iter().filter(|_| !self.announced);
        waiting.filter_map(|w| Some((w.asked?, w.asked_at)))
    }

    /// Returns whether the flow waits for `router`.
    pub fn waits_for(&self, router: RouterId) -> bool {
        self.targets.contains(&router) || self.asked().any(|r| r == router)
    }

    /// Returns since when the oldest request with a pending slot request waits.
    pub fn oldest_ask(&self) -> Option<Instant> {
        let asking = self.waiting.iter().filter(|w| w.asked.is_some());
        asking.map(|w| w.since).min()
    }

    /// Switches from single slot requests to announcing; returns the dispatchers that were asked.
    pub fn start_announcing(&mut self) -> BTreeSet<RouterId> {
        self.announced = true;
        let asked = self.waiting.iter_mut();
        asked.filter_map(|w| w.asked.take()).collect()
    }

    /// Sets the dispatchers that the flow is announced to; returns the removed ones.
    pub fn set_targets(&mut self, targets: BTreeSet<RouterId>) -> BTreeSet<RouterId> {
        let removed = self.targets.difference(&targets).copied().collect();
        self.probes.retain(|r| targets.contains(r));
        self.targets = targets;
        removed
    }

    /// Removes a full target if it was a probe; returns whether it was.
    pub fn end_probe(&mut self, router: RouterId) -> bool {
        let was_probe = self.probes.remove(&router);
        if was_probe {
            self.targets.remove(&router);
        }
        was_probe
    }

    /// Adds targets as probes for free slots and returns them: one, and two more for each probe
    /// that granted a slot in the last period, so that the number doubles while all of them do.
    pub fn add_probes(&mut self, candidates: &Candidates) -> Vec<RouterId> {
        let count = std::mem::take(&mut self.probes_granted) * 2 + 1;
        let next = candidates.non_targets(&self.targets, count);
        self.targets.extend(next.iter().copied());
        self.probes = next.iter().copied().collect();
        next
    }

    pub fn move_asks(&mut self, now: Instant, from: RouterId, to: RouterId) {
        for waiting in &mut self.waiting {
            if waiting.asked == Some(from) {
                waiting.asked = Some(to);
                waiting.asked_at = now;
            }
        }
    }

    /// Removes and returns the request that uses a grant of `router`.
    pub fn take(&mut self, router: RouterId) -> Option<Waiting> {
        if self.probes.remove(&router) {
            self.probes_granted += 1;
        }
        let at = self.waiting.iter().position(|w| w.asked == Some(router));
        self.waiting.remove(at.unwrap_or(0))
    }

    /// Removes and returns a request that no longer waits.
    pub fn remove(&mut self, request: RequestKey) -> Option<Waiting> {
        let at = self.waiting.iter().position(|w| w.request == request)?;
        self.waiting.remove(at)
    }

    /// Returns the demand at `router`, or `None` if no request waits for it.
    pub fn demand(&self, router: RouterId) -> Option<QueueDemand> {
        let all = self.announced && self.targets.contains(&router);
        let mut waiting = self
            .waiting
            .iter()
            .filter(|w| all || w.asked == Some(router));
        let first = waiting.next()?;
        let count = u32::try_from(waiting.count() + 1).unwrap_or(u32::MAX);
        Some(QueueDemand {
            count,
            since: first.since,
            hint: first.hint,
        })
    }
}
