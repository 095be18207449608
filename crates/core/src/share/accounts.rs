//! Service counters of one dispatcher, per flow, and the virtual time of each service.

use std::collections::BTreeMap;

use crate::ids::{Flow, ServiceId};
use crate::message::FlowTotal;

use super::{RemoteCost, SEND_PERIODS, Tag};

/// Weight of the newest request in the moving average of request costs.
const COST_WEIGHT: f64 = 0.1;
/// Maximum factor by which a hint may deviate from the assumed initial cost, up or down.
const HINT_FACTOR: f64 = 10.0;
/// Weight of the newest period in the moving average of the virtual time per period.
const ADVANCE_WEIGHT: f64 = 0.2;
/// Maximum change of a flow's remote cost by one report, in periods of its fair service.
const MAX_REPORT_PERIODS: f64 = 4.0;
/// Number of requests of mean cost that are added to this maximum.
const MAX_REPORT_REQUESTS: f64 = 8.0;
/// Weight of the newest period in the moving averages of a flow's rates.
const RATE_WEIGHT: f64 = 0.1;
/// Mean age of the remote cost in a report, in periods.
const REPORT_AGE: f64 = 0.5;
/// Maximum remote cost expected for each unit of own cost.
const MAX_REMOTE_RATIO: f64 = 64.0;
/// Number of periods without demand or change after which a flow counts as idle.
const IDLE_PERIODS: u32 = 2;
/// Number of periods without demand or change after which a flow is removed.
const FLOW_TTL_PERIODS: u32 = 600;

/// Service counters of one flow: cost charged by this dispatcher and by other dispatchers.
#[derive(Debug, Default)]
struct Account {
    own: f64,
    remote: RemoteCost,
    /// Correction of the tag after idle time or a change of the share.
    offset: f64,
    /// Moving average of the cost of a request.
    mean: Option<f64>,
    rates: Rates,
    /// Number of periods in which the counter still has to be sent.
    sends_left: u32,
    /// Number of periods without demand or change.
    idle: u32,
}

impl Account {
    fn tag(&self, share: f64) -> Tag {
        let expected = self.rates.expected(self.own);
        let served = self.own + self.remote.counted() + expected;
        Tag(served / share + self.offset)
    }
}

/// Cost of one flow per period, at this dispatcher and at the others.
///
/// When a flow falls behind, all dispatchers serve it at once without knowing of
/// each other's service until the next exchange, so the overshoot would grow with
/// their number. Each dispatcher therefore expects the others to keep serving the
/// flow at their recent rate, in proportion to its own service.
#[derive(Debug, Default)]
struct Rates {
    /// Moving average of the own cost per period.
    own: f64,
    /// Moving average of the remote cost per period.
    remote: f64,
    /// Own counter at the end of the last period.
    closed: f64,
    /// Own counter at the time that the reported remote cost corresponds to.
    matched: f64,
    /// Remote cost reported in the current period.
    reported: f64,
}

impl Rates {
    /// Returns the remote cost for each unit of own cost.
    fn ratio(&self) -> f64 {
        if self.own <= 0.0 {
            return 0.0;
        }
        (self.remote / self.own).clamp(0.0, MAX_REMOTE_RATIO)
    }

    /// Adds remote cost from a new report.
    fn match_report(&mut self, added: f64) {
        self.reported += added;
        self.matched = self.closed - self.own.max(0.0) * REPORT_AGE;
    }

    /// Ends a period with the own counter at `own`.
    fn close(&mut self, own: f64) {
        self.own += RATE_WEIGHT * (own - self.closed - self.own);
        self.remote += RATE_WEIGHT * (self.reported - self.remote);
        self.closed = own;
        self.reported = 0.0;
    }

    /// Returns the expected remote cost that is not reported yet.
    fn expected(&self, own: f64) -> f64 {
        (own - self.matched).max(0.0) * self.ratio()
    }
}

/// Virtual time and mean request cost of one service.
#[derive(Debug, Default)]
struct ServiceClock {
    virtual_time: f64,
    /// Virtual time at the end of the last period.
    closed: f64,
    /// Moving average of the virtual time that one period adds.
    advance: Option<f64>,
    /// Moving average of the cost of a request of any flow.
    mean: Option<f64>,
}

/// Service counters of one dispatcher.
#[derive(Debug, Default)]
pub struct Accounts {
    flows: BTreeMap<Flow, Account>,
    clocks: BTreeMap<ServiceId, ServiceClock>,
    seq: u64,
}

impl Accounts {
    /// Creates an empty set of counters.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the normalised service of `flow` across the fleet, for weight `share`.
    #[must_use]
    pub fn tag(&self, flow: Flow, share: f64) -> Tag {
        let Some(account) = self.flows.get(&flow) else {
            return Tag(0.0);
        };
        account.tag(share)
    }

    /// Returns the normalised service of `flow` at this dispatcher only, for weight `share`.
    #[must_use]
    pub fn local_tag(&self, flow: Flow, share: f64) -> Tag {
        let Some(account) = self.flows.get(&flow) else {
            return Tag(0.0);
        };
        Tag(account.own / share + account.offset)
    }

    /// Activates a flow with new demand; one that was idle starts at the service's virtual time.
    ///
    /// `tag` is the flow's current tag. Time without demand earns no credit. A flow whose demand
    /// was used up only shortly before the entry's next message was not idle and keeps its credit.
    pub fn activate(&mut self, flow: Flow, tag: Tag) {
        let start = self.clocks.entry(flow.service).or_default().virtual_time;
        let known = self.flows.contains_key(&flow);
        let account = self.flows.entry(flow).or_default();
        let idle = std::mem::take(&mut account.idle);
        account.sends_left = SEND_PERIODS;
        if known && idle < IDLE_PERIODS {
            return;
        }
        if tag.0 < start {
            account.offset += start - tag.0;
        }
    }

    /// Advances the virtual time of a service to the tag of the served flow.
    pub fn advance(&mut self, service: ServiceId, tag: Tag) {
        let clock = self.clocks.entry(service).or_default();
        clock.virtual_time = clock.virtual_time.max(tag.0);
    }

    /// Keeps the tag of `flow` when its share changes from `old` to `new`.
    pub fn rescale(&mut self, flow: Flow, old: f64, new: f64) {
        if let Some(account) = self.flows.get_mut(&flow) {
            let served = account.own + account.remote.counted();
            account.offset += served / old - served / new;
        }
    }

    /// Charges `cost` to `flow`; a negative cost corrects an estimate.
    pub fn charge(&mut self, flow: Flow, cost: f64) {
        if cost == 0.0 {
            return;
        }
        let account = self.flows.entry(flow).or_default();
        account.own += cost;
        account.sends_left = SEND_PERIODS;
        account.idle = 0;
    }

    /// Adds the final cost of a request to the mean costs of its flow and service.
    pub fn observe(&mut self, flow: Flow, cost: f64) {
        let account = self.flows.entry(flow).or_default();
        let mean = account.mean.unwrap_or(cost);
        account.mean = Some(mean + COST_WEIGHT * (cost - mean));
        let clock = self.clocks.entry(flow.service).or_default();
        let mean = clock.mean.unwrap_or(cost);
        clock.mean = Some(mean + COST_WEIGHT * (cost - mean));
    }

    /// Returns the expected cost of the flow's next request.
    ///
    /// This is the flow's own mean, else the mean of all flows of its service. A
    /// hint is used only until a request of the service has ended here, and only
    /// within a factor of `HINT_FACTOR` of `first`: an estimate that is too high advances the
    /// virtual time, at which other flows start, and is corrected only when the
    /// request ends, which would leave the difference to the flow as credit.
    #[must_use]
    pub fn estimate(&self, flow: Flow, hint: Option<f64>, first: f64) -> f64 {
        let own = self.flows.get(&flow).and_then(|a| a.mean);
        let all = self.clocks.get(&flow.service).and_then(|c| c.mean);
        let initial = hint.map_or(first, |h| h.clamp(first / HINT_FACTOR, first * HINT_FACTOR));
        own.or(all).unwrap_or(initial)
    }

    /// Ends a period: updates the moving averages and removes flows idle for too long.
    pub fn close_period(&mut self, active: impl Fn(Flow) -> bool) {
        for clock in self.clocks.values_mut() {
            let added = clock.virtual_time - clock.closed;
            let advance = clock.advance.unwrap_or(added);
            clock.advance = Some(advance + ADVANCE_WEIGHT * (added - advance));
            clock.closed = clock.virtual_time;
        }
        self.flows.retain(|flow, account| {
            account.rates.close(account.own);
            account.idle = if active(*flow) { 0 } else { account.idle + 1 };
            if account.idle == 0 {
                account.sends_left = SEND_PERIODS;
            }
            account.idle < FLOW_TTL_PERIODS
        });
    }

    /// Returns the counters that are due to be sent, and counts them as sent.
    pub fn take_changed(&mut self) -> Vec<FlowTotal> {
        let mut changed = Vec::new();
        for (flow, account) in &mut self.flows {
            if account.sends_left == 0 {
                continue;
            }
            account.sends_left -= 1;
            changed.push(FlowTotal {
                flow: *flow,
                cost: account.own,
            });
        }
        changed
    }

    /// Schedules every counter to be sent again, because account holders have changed.
    pub fn resend(&mut self) {
        for account in self.flows.values_mut() {
            account.sends_left = SEND_PERIODS;
        }
    }

    /// Returns the sequence number of the next message of counters.
    pub fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Sets the service that other dispatchers gave to `flow`, if the flow is known here.
    ///
    /// An unknown flow starts at the virtual time anyway. The change per report is bounded, so
    /// that routers rejoining after a partition charge a flow for at most a few periods' service.
    pub fn set_remote(&mut self, flow: Flow, share: f64, cost: f64) {
        let Some(account) = self.flows.get_mut(&flow) else {
            return;
        };
        let clock = self.clocks.entry(flow.service).or_default();
        let current = clock.virtual_time - clock.closed;
        let max_change = clock.advance.map_or(f64::INFINITY, |mean| {
            let fair = mean.max(current) * share;
            fair * MAX_REPORT_PERIODS + account.mean.unwrap_or(0.0) * MAX_REPORT_REQUESTS
        });
        let before = account.remote.counted();
        account.remote.report(cost, max_change);
        let added = account.remote.counted() - before;
        account.rates.match_report(added);
    }

    /// Returns the service that this dispatcher gave to each flow.
    pub fn totals(&self) -> impl Iterator<Item = (Flow, f64)> + '_ {
        self.flows.iter().map(|(f, a)| (*f, a.own))
    }
}
