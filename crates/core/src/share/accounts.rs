//! The service counters of one dispatcher.

use std::collections::BTreeMap;

use crate::ids::{Flow, ServiceId};
use crate::message::FlowTotal;

use super::{Others, SEND_PERIODS, Tag};

/// Weight of the newest request in a flow's running mean cost.
const MEAN_WEIGHT: f64 = 0.1;
/// A hint counts within this factor of the first cost, either way.
const HINT_FACTOR: f64 = 10.0;
/// Weight of the newest period in the running mean of a service's pace.
const PACE_WEIGHT: f64 = 0.2;
/// Periods' worth of a flow's fair service that one report may add to it.
const JUMP_PERIODS: f64 = 4.0;
/// Requests of mean cost that one report may add to it besides.
const JUMP_REQUESTS: f64 = 8.0;
/// Weight of the newest period in a flow's rates.
const RATE_WEIGHT: f64 = 0.1;
/// Mean age of the service that others reported, in periods.
const REPORT_AGE: f64 = 0.5;
/// Service of others expected for each unit of own service at most.
const MOST_RATIO: f64 = 64.0;
/// Periods without demand or change after which a flow counts as idle.
const IDLE_PERIODS: u32 = 2;
/// Periods without demand or change after which a flow is forgotten.
const FORGET_PERIODS: u32 = 600;

/// One flow as its dispatcher accounts for it.
#[derive(Debug, Default)]
struct Account {
    own: f64,
    others: Others,
    offset: f64,
    mean: Option<f64>,
    rates: Rates,
    /// Periods in which the counter still has to be sent.
    sends: u32,
    idle: u32,
}

impl Account {
    fn tag(&self, share: f64) -> Tag {
        let expected = self.rates.expected(self.own);
        let served = self.own + self.others.counted() + expected;
        Tag(served / share + self.offset)
    }
}

/// Service of one flow in one period, here and elsewhere.
///
/// Dispatchers see the same flow behind and all serve it at once, each without
/// knowledge of the others until the next exchange. Left alone they overshoot
/// as often as there are dispatchers. So each one expects that the others
/// serve the flow as they did of late, in proportion to its own service.
#[derive(Debug, Default)]
struct Rates {
    own: f64,
    others: f64,
    /// Own counter when the last period closed.
    closed: f64,
    /// Own counter that the reported service of others corresponds to.
    matched: f64,
    /// Service of others reported in the current period.
    reported: f64,
}

impl Rates {
    /// Returns the service of others for each unit of own service.
    fn ratio(&self) -> f64 {
        if self.own <= 0.0 {
            return 0.0;
        }
        (self.others / self.own).clamp(0.0, MOST_RATIO)
    }

    /// Takes in that others' service was reported anew.
    fn match_report(&mut self, added: f64) {
        self.reported += added;
        self.matched = self.closed - self.own.max(0.0) * REPORT_AGE;
    }

    /// Closes a period at which the own counter stands at `own`.
    fn close(&mut self, own: f64) {
        self.own += RATE_WEIGHT * (own - self.closed - self.own);
        self.others += RATE_WEIGHT * (self.reported - self.others);
        self.closed = own;
        self.reported = 0.0;
    }

    /// Returns the service of others that is not reported yet.
    fn expected(&self, own: f64) -> f64 {
        (own - self.matched).max(0.0) * self.ratio()
    }
}

/// What a dispatcher knows of one service as a whole.
#[derive(Debug, Default)]
struct Pace {
    virtual_time: f64,
    /// Virtual time when the last period closed.
    closed: f64,
    /// Running mean of the virtual time that one period adds.
    advance: Option<f64>,
    /// Running mean of the cost of a request of any flow.
    mean: Option<f64>,
}

/// The service counters of one dispatcher.
#[derive(Debug, Default)]
pub struct Accounts {
    flows: BTreeMap<Flow, Account>,
    paces: BTreeMap<ServiceId, Pace>,
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
        account.tag(share)
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
    ///
    /// `tag` is the flow's present tag: time without demand is no credit. A
    /// flow whose last demand was used up a moment ago, before the entry's next
    /// word arrived, was not idle and keeps what it is owed.
    pub fn activate(&mut self, flow: Flow, tag: Tag) {
        let start = self.paces.entry(flow.service).or_default().virtual_time;
        let known = self.flows.contains_key(&flow);
        let account = self.flows.entry(flow).or_default();
        let idle = std::mem::take(&mut account.idle);
        account.sends = SEND_PERIODS;
        if known && idle < IDLE_PERIODS {
            return;
        }
        if tag.0 < start {
            account.offset += start - tag.0;
        }
    }

    /// Moves the virtual time of a service forward to the tag of the flow served.
    pub fn advance(&mut self, service: ServiceId, tag: Tag) {
        let pace = self.paces.entry(service).or_default();
        pace.virtual_time = pace.virtual_time.max(tag.0);
    }

    /// Keeps the tag of a flow when its share changes from `old` to `new`.
    pub fn rescale(&mut self, flow: Flow, old: f64, new: f64) {
        if let Some(account) = self.flows.get_mut(&flow) {
            let served = account.own + account.others.counted();
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
        account.sends = SEND_PERIODS;
        account.idle = 0;
    }

    /// Takes the final cost of a request into the flow's running mean.
    pub fn observe(&mut self, flow: Flow, cost: f64) {
        let account = self.flows.entry(flow).or_default();
        let mean = account.mean.unwrap_or(cost);
        account.mean = Some(mean + MEAN_WEIGHT * (cost - mean));
        let pace = self.paces.entry(flow.service).or_default();
        let mean = pace.mean.unwrap_or(cost);
        pace.mean = Some(mean + MEAN_WEIGHT * (cost - mean));
    }

    /// Returns the expected cost of the flow's next request.
    ///
    /// That is the flow's own mean, else the mean of all flows of its service.
    /// A hint counts only until a request of the service has ended here, and
    /// little: an estimate that is too high moves the virtual time, at which
    /// other flows start, and is taken back when the request ends; the flow
    /// would keep the difference as credit.
    #[must_use]
    pub fn estimate(&self, flow: Flow, hint: Option<f64>, first: f64) -> f64 {
        let own = self.flows.get(&flow).and_then(|a| a.mean);
        let all = self.paces.get(&flow.service).and_then(|p| p.mean);
        let seed = hint.map_or(first, |h| h.clamp(first / HINT_FACTOR, first * HINT_FACTOR));
        own.or(all).unwrap_or(seed)
    }

    /// Closes a period: updates the pace of every service and forgets idle flows.
    pub fn close_period(&mut self, active: impl Fn(Flow) -> bool) {
        for pace in self.paces.values_mut() {
            let added = pace.virtual_time - pace.closed;
            let advance = pace.advance.unwrap_or(added);
            pace.advance = Some(advance + PACE_WEIGHT * (added - advance));
            pace.closed = pace.virtual_time;
        }
        self.flows.retain(|flow, account| {
            account.rates.close(account.own);
            account.idle = if active(*flow) { 0 } else { account.idle + 1 };
            if account.idle == 0 {
                account.sends = SEND_PERIODS;
            }
            account.idle < FORGET_PERIODS
        });
    }

    /// Takes the counters that are due to be sent.
    pub fn take_changed(&mut self) -> Vec<FlowTotal> {
        let mut changed = Vec::new();
        for (flow, account) in &mut self.flows {
            if account.sends == 0 {
                continue;
            }
            account.sends -= 1;
            changed.push(FlowTotal {
                flow: *flow,
                cost: account.own,
            });
        }
        changed
    }

    /// Makes every counter due again, as account holders have changed.
    pub fn resend(&mut self) {
        for account in self.flows.values_mut() {
            account.sends = SEND_PERIODS;
        }
    }

    /// Returns the number of the next message of counters.
    pub fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Sets the service that others gave to `flow`, if the flow is known here.
    ///
    /// A flow that is not known starts at the virtual time anyway.
    /// A part of the fleet that was cut off brings no debt beyond a few periods.
    pub fn set_others(&mut self, flow: Flow, share: f64, cost: f64) {
        let Some(account) = self.flows.get_mut(&flow) else {
            return;
        };
        let pace = self.paces.entry(flow.service).or_default();
        let running = pace.virtual_time - pace.closed;
        let most = pace.advance.map_or(f64::INFINITY, |mean| {
            let fair = mean.max(running) * share;
            fair * JUMP_PERIODS + account.mean.unwrap_or(0.0) * JUMP_REQUESTS
        });
        let before = account.others.counted();
        account.others.report(cost, most);
        let added = account.others.counted() - before;
        account.rates.match_report(added);
    }

    /// Returns the service of each flow that this dispatcher gave.
    pub fn totals(&self) -> impl Iterator<Item = (Flow, f64)> + '_ {
        self.flows.iter().map(|(f, a)| (*f, a.own))
    }
}
