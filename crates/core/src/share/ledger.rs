//! Sums of service over all dispatchers, kept by the account holder of each flow.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Flow, Peer, RouterId};
use crate::message::FlowTotal;

/// Number of periods after which a counter that no dispatcher sends expires.
const COUNTER_TTL_PERIODS: u32 = 600;

/// Service that one dispatcher gave to a flow, in cost units.
#[derive(Debug, Default)]
struct Counter {
    peer: Option<Peer>,
    seq: u64,
    /// Sum of the dispatcher's earlier incarnations.
    past: f64,
    /// Counter of the dispatcher's current incarnation.
    current: f64,
    /// Number of periods since the last message.
    idle: u32,
}

/// Counters of one flow, by dispatcher.
#[derive(Debug, Default)]
struct Sum {
    counters: BTreeMap<RouterId, Counter>,
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

    /// Records a counter that a dispatcher sent.
    pub fn record(&mut self, from: Peer, seq: u64, total: FlowTotal) {
        let sum = self.sums.entry(total.flow).or_default();
        let counter = sum.counters.entry(from.router).or_default();
        if counter.peer != Some(from) {
            if counter.peer.is_some_and(|old| old > from) {
                return;
            }
            counter.past += counter.current;
            counter.current = 0.0;
            counter.peer = Some(from);
            counter.seq = 0;
        }
        if seq <= counter.seq {
            return;
        }
        counter.seq = seq;
        counter.current = total.cost;
        counter.idle = 0;
    }

    /// Returns the service that dispatchers other than `router` gave to a flow.
    #[must_use]
    pub fn remote_total(&self, router: RouterId, flow: Flow) -> FlowTotal {
        let counters = self.sums.get(&flow).into_iter().flat_map(|s| &s.counters);
        let cost = counters
            .map(|(r, c)| {
                if *r == router {
                    c.past
                } else {
                    c.past + c.current
                }
            })
            .sum();
        FlowTotal { flow, cost }
    }

    /// Ends a period: removes flows whose counters have all expired.
    pub fn close_period(&mut self) {
        self.expire();
    }

    fn expire(&mut self) {
        self.sums.retain(|_, sum| {
            for counter in sum.counters.values_mut() {
                counter.idle += 1;
            }
            sum.counters.values().any(|c| c.idle < COUNTER_TTL_PERIODS)
        });
    }

    /// Drops the flows for which `keep` returns false, because they have another account holder.
    pub fn retain(&mut self, keep: impl Fn(Flow) -> bool) {
        self.sums.retain(|flow, _| keep(*flow));
    }

    /// Returns the flows with counters here.
    #[must_use]
    pub fn flows(&self) -> BTreeSet<Flow> {
        self.sums.keys().copied().collect()
    }
}
