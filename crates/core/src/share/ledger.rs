//! Sums of service over all dispatchers, kept by the account holder of a flow.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Flow, Peer, RouterId};
use crate::message::FlowTotal;

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
    }

    /// Returns what dispatchers other than `router` gave to a flow.
    #[must_use]
    pub fn others(&self, router: RouterId, flow: Flow) -> FlowTotal {
        let parts = self.sums.get(&flow).into_iter().flat_map(|s| &s.parts);
        let cost = parts
            .map(|(r, p)| {
                if *r == router {
                    p.past
                } else {
                    p.past + p.current
                }
            })
            .sum();
        FlowTotal { flow, cost }
    }

    /// Closes a period.
    pub fn close_period(&mut self) {
        self.forget();
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
