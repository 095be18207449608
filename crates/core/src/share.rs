//! Service given to each flow, and the normalised service that orders flows.
//!
//! A dispatcher charges its own grants at once and learns the service that
//! others gave from the account holder of the flow, once per period. Counters
//! are cumulative per dispatcher incarnation, so a lost, repeated or reordered
//! exchange leaves the sum right.

use std::collections::{BTreeMap, BTreeSet};

use hibiscusrail_macros::value;

use crate::ids::{Flow, Incarnation, RouterId, ServiceId};
use crate::message::FlowTotal;

/// Weight of the newest request in a flow's running mean cost.
const MEAN_WEIGHT: f64 = 0.1;

/// Normalised service of a flow, in cost units per unit of share.
#[value]
#[derive(PartialOrd)]
pub struct Tag(pub f64);

/// One flow as its dispatcher accounts for it.
#[derive(Debug, Default)]
struct Account {
    own: f64,
    others: f64,
    offset: f64,
    mean: Option<f64>,
    changed: bool,
}

/// The service counters of one dispatcher.
#[derive(Debug, Default)]
pub struct Accounts {
    flows: BTreeMap<Flow, Account>,
    virtual_time: BTreeMap<ServiceId, f64>,
    seq: u64,
}

impl Accounts {
    /// Creates counters at zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the normalised service of `flow` at `share`.
    #[must_use]
    pub fn tag(&self, flow: Flow, share: f64) -> Tag {
        let Some(account) = self.flows.get(&flow) else {
            return Tag(0.0);
        };
        Tag((account.own + account.others) / share + account.offset)
    }

    /// Returns the normalised service of `flow` at this dispatcher alone.
    #[must_use]
    pub fn local_tag(&self, flow: Flow, share: f64) -> Tag {
        let Some(account) = self.flows.get(&flow) else {
            return Tag(0.0);
        };
        Tag(account.own / share + account.offset)
    }

    /// Starts a flow that returns from idle at the virtual time of its service.
    pub fn activate(&mut self, flow: Flow, share: f64) {
        let start = self.virtual_time.get(&flow.service).copied().unwrap_or(0.0);
        let tag = self.tag(flow, share).0;
        if tag < start {
            self.flows.entry(flow).or_default().offset += start - tag;
        }
    }

    /// Moves the virtual time of a service forward to the tag of the flow served.
    pub fn advance(&mut self, service: ServiceId, tag: Tag) {
        let time = self.virtual_time.entry(service).or_insert(0.0);
        *time = time.max(tag.0);
    }

    /// Charges `cost` to `flow`; a negative cost corrects an estimate.
    pub fn charge(&mut self, flow: Flow, cost: f64) {
        let account = self.flows.entry(flow).or_default();
        account.own += cost;
        account.changed = true;
    }

    /// Takes the final cost of a request into the flow's running mean.
    pub fn observe(&mut self, flow: Flow, cost: f64) {
        let account = self.flows.entry(flow).or_default();
        let mean = account.mean.unwrap_or(cost);
        account.mean = Some(mean + MEAN_WEIGHT * (cost - mean));
    }

    /// Returns the expected cost of the flow's next request.
    #[must_use]
    pub fn estimate(&self, flow: Flow, first: f64) -> f64 {
        self.flows.get(&flow).and_then(|a| a.mean).unwrap_or(first)
    }

    /// Takes the flows whose counters changed since the last call.
    pub fn take_changed(&mut self) -> Vec<FlowTotal> {
        let mut changed = Vec::new();
        for (flow, account) in &mut self.flows {
            if std::mem::take(&mut account.changed) {
                changed.push(FlowTotal {
                    flow: *flow,
                    cost: account.own,
                });
            }
        }
        changed
    }

    /// Returns the number of the next message of counters.
    pub fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Sets the service that others gave to `flow`.
    pub fn set_others(&mut self, flow: Flow, cost: f64) {
        self.flows.entry(flow).or_default().others = cost;
    }

    /// Returns the cumulative service of each flow at this dispatcher.
    pub fn totals(&self) -> impl Iterator<Item = (Flow, f64)> + '_ {
        self.flows.iter().map(|(f, a)| (*f, a.own + a.others))
    }
}

/// Counter of one dispatcher at the account holder.
#[derive(Debug, Default)]
struct Part {
    incarnation: Option<Incarnation>,
    seq: u64,
    past: f64,
    current: f64,
}

/// Sums of the flows whose account holder this router is.
#[derive(Debug, Default)]
pub struct Ledger {
    parts: BTreeMap<Flow, BTreeMap<RouterId, Part>>,
    touched: BTreeSet<Flow>,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a dispatcher's counter.
    pub fn record(&mut self, from: RouterId, incarnation: Incarnation, seq: u64, total: FlowTotal) {
        let parts = self.parts.entry(total.flow).or_default();
        let part = parts.entry(from).or_default();
        if part.incarnation != Some(incarnation) {
            if part.incarnation.is_some_and(|old| old > incarnation) {
                return;
            }
            part.past += part.current;
            part.incarnation = Some(incarnation);
            part.seq = 0;
        }
        if seq <= part.seq {
            return;
        }
        part.seq = seq;
        part.current = total.cost;
        self.touched.insert(total.flow);
    }

    /// Takes the totals that changed, for each dispatcher that serves the flow.
    pub fn take_totals(&mut self) -> BTreeMap<RouterId, Vec<FlowTotal>> {
        let mut out: BTreeMap<RouterId, Vec<FlowTotal>> = BTreeMap::new();
        for flow in std::mem::take(&mut self.touched) {
            let parts = &self.parts[&flow];
            let sum: f64 = parts.values().map(|p| p.past + p.current).sum();
            for (router, part) in parts {
                let cost = sum - part.current;
                out.entry(*router)
                    .or_default()
                    .push(FlowTotal { flow, cost });
            }
        }
        out
    }
}
