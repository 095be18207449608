//! The waiting requests of one flow.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use crate::ids::{RequestKey, RouterId};

use super::Arrival;
use super::reach::Reach;

/// A request in a queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub request: RequestKey,
    pub since: Instant,
    pub hint: Option<f64>,
    /// The dispatcher that was asked for it, unless the flow is spread.
    pub asked: Option<RouterId>,
}

impl Waiting {
    pub fn new(arrival: &Arrival, now: Instant, asked: Option<RouterId>) -> Self {
        Self {
            request: arrival.request,
            since: now,
            hint: arrival.hint,
            asked,
        }
    }
}

/// What a flow wants of one dispatcher.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wanted {
    pub count: u32,
    pub since: Instant,
    pub hint: Option<f64>,
}

/// The queue of one flow.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    /// Whether the flow is announced to its targets as a whole.
    spread: bool,
    targets: BTreeSet<RouterId>,
    /// Targets that were asked whether they have room.
    probes: BTreeSet<RouterId>,
    /// Probes that turned out to have room in this period.
    found: usize,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_spread(&self) -> bool {
        self.spread
    }

    pub fn targets(&self) -> &BTreeSet<RouterId> {
        &self.targets
    }

    pub fn push(&mut self, waiting: Waiting, front: bool) {
        if front {
            self.waiting.push_front(waiting);
        } else {
            self.waiting.push_back(waiting);
        }
    }

    /// Returns the dispatchers that single requests ask.
    pub fn asked(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.waiting.iter().filter_map(|w| w.asked)
    }

    /// Returns whether anything here waits for `router`.
    pub fn waits_for(&self, router: RouterId) -> bool {
        self.targets.contains(&router) || self.asked().any(|r| r == router)
    }

    /// Returns since when the oldest request that asks a dispatcher waits.
    pub fn oldest_ask(&self) -> Option<Instant> {
        let asking = self.waiting.iter().filter(|w| w.asked.is_some());
        asking.map(|w| w.since).min()
    }

    /// Ends single asks; returns the dispatchers that were asked.
    pub fn clear_asked(&mut self) -> BTreeSet<RouterId> {
        self.spread = true;
        let asked = self.waiting.iter_mut();
        asked.filter_map(|w| w.asked.take()).collect()
    }

    /// Sets whom the flow is announced to; returns those it no longer is.
    pub fn set_targets(&mut self, targets: BTreeSet<RouterId>) -> BTreeSet<RouterId> {
        let gone = self.targets.difference(&targets).copied().collect();
        self.probes.retain(|r| targets.contains(r));
        self.targets = targets;
        gone
    }

    /// Takes in that a target is full; returns whether it was a mere probe.
    pub fn end_probe(&mut self, router: RouterId) -> bool {
        let probe = self.probes.remove(&router);
        if probe {
            self.targets.remove(&router);
        }
        probe
    }

    /// Adds further targets, to find dispatchers with room.
    ///
    /// Their number doubles as long as all of them have had room.
    pub fn probe(&mut self, reach: &Reach) -> Vec<RouterId> {
        let number = std::mem::take(&mut self.found) * 2 + 1;
        let next = reach.beyond(&self.targets, number);
        self.targets.extend(next.iter().copied());
        self.probes = next.iter().copied().collect();
        next
    }

    pub fn move_asks(&mut self, from: RouterId, to: RouterId) {
        for waiting in &mut self.waiting {
            if waiting.asked == Some(from) {
                waiting.asked = Some(to);
            }
        }
    }

    /// Takes the request that a grant of `router` is used for.
    pub fn take(&mut self, router: RouterId) -> Option<Waiting> {
        if self.probes.remove(&router) {
            self.found += 1;
        }
        let at = self.waiting.iter().position(|w| w.asked == Some(router));
        self.waiting.remove(at.unwrap_or(0))
    }

    /// Takes out a request that is given up.
    pub fn remove(&mut self, request: RequestKey) -> Option<Waiting> {
        let at = self.waiting.iter().position(|w| w.request == request)?;
        self.waiting.remove(at)
    }

    /// Returns what the flow wants of `router`; none when nothing.
    pub fn wanted(&self, router: RouterId) -> Option<Wanted> {
        let whole = self.spread && self.targets.contains(&router);
        let mut waiting = self
            .waiting
            .iter()
            .filter(|w| whole || w.asked == Some(router));
        let first = waiting.next()?;
        let count = u32::try_from(waiting.count() + 1).unwrap_or(u32::MAX);
        Some(Wanted {
            count,
            since: first.since,
            hint: first.hint,
        })
    }
}
