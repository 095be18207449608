//! Sums of service over all dispatchers, kept by the account holder of a flow.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Flow, Peer, RouterId};
use crate::message::FlowTotal;

use super::SEND_PERIODS;

/// Periods after which a counter that nobody sends is forgotten.
const FORGET_PERIODS: u32 = 600;

/// Counter of one dispatcher at the account holder.
#[derive(Debug, Default)]
struct Part {
    peer: Option<Peer>,
    seq: u64,
    past: f64,
    current: f64,
    idle: u32,
}

/// The counters of one flow.
#[derive(Debug, Default)]
struct Sum {
    parts: BTreeMap<RouterId, Part>,
    /// Periods in which the sum still has to be sent.
    sends: u32,
}

/// Sums of the flows whose account holder this router is.
#[derive(Debug, Default)]
pub struct Ledger {
    sums: BTreeMap<Flow, Sum>,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a dispatcher's counter.
    pub fn record(&mut self, from: Peer, seq: u64, total: FlowTotal) {
        let sum = self.sums.entry(total.flow).or_default();
        let part = sum.parts.entry(from.router).or_default();
        if part.peer != Some(from) {
            if part.peer.is_some_and(|old| old > from) {
                return;
            }
            part.past += part.current;
            part.current = 0.0;
            part.peer = Some(from);
            part.seq = 0;
        }
        if seq <= part.seq {
            return;
        }
        part.seq = seq;
        part.current = total.cost;
        part.idle = 0;
        sum.sends = SEND_PERIODS;
    }

    /// Takes the sums that are due, for each dispatcher that serves the flow.
    ///
    /// Each dispatcher is told what all the others gave.
    pub fn take_totals(&mut self) -> BTreeMap<RouterId, Vec<FlowTotal>> {
        let mut out: BTreeMap<RouterId, Vec<FlowTotal>> = BTreeMap::new();
        for (flow, sum) in &mut self.sums {
            if sum.sends == 0 {
                continue;
            }
            sum.sends -= 1;
            let whole: f64 = sum.parts.values().map(|p| p.past + p.current).sum();
            for (router, part) in &sum.parts {
                let total = FlowTotal {
                    flow: *flow,
                    cost: whole - part.current,
                };
                out.entry(*router).or_default().push(total);
            }
        }
        self.forget();
        out
    }

    /// Drops the flows that no dispatcher has served for long.
    fn forget(&mut self) {
        self.sums.retain(|_, sum| {
            for part in sum.parts.values_mut() {
                part.idle += 1;
            }
            sum.parts.values().any(|p| p.idle < FORGET_PERIODS)
        });
    }

    /// Drops the flows for which `keep` does not hold, as they have another holder.
    pub fn retain(&mut self, keep: impl Fn(Flow) -> bool) {
        self.sums.retain(|flow, _| keep(*flow));
    }

    /// Returns the flows that are summed here.
    #[must_use]
    pub fn flows(&self) -> BTreeSet<Flow> {
        self.sums.keys().copied().collect()
    }
}
