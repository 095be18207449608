//! An entry's exchange of demand with one dispatcher.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::ids::{Flow, ServerId, ServiceId};
use crate::message::FlowDemand;
use crate::params::Params;

use super::flow_demand;
use super::queue::QueueDemand;

/// Number of periods, beyond the grant lifetime, with usage reports after a demand or grant.
const REPORT_PERIODS: u32 = 3;

/// State of the exchange with one dispatcher.
#[derive(Debug, Default)]
pub(super) struct Link {
    pub last_sent: Option<Instant>,
    /// Number of waiting requests last sent, per flow.
    pub sent_counts: BTreeMap<Flow, u32>,
    /// Flows whose demand is to be sent.
    pub dirty: BTreeSet<Flow>,
    pub urgent: bool,
    /// Whether the next demand requires an answer if no slot is free.
    pub wants_answer: bool,
    pub prefer: Option<ServerId>,
    pub full_until: BTreeMap<ServiceId, Instant>,
    /// Remaining periods with usage reports.
    reports_left: u32,
}

impl Link {
    /// Schedules a request for a slot for `flow`, to be sent without delay.
    pub fn request_slot(&mut self, flow: Flow) {
        self.wants_answer = true;
        self.urgent = true;
        self.dirty.insert(flow);
    }

    pub fn is_full(&self, now: Instant, service: ServiceId) -> bool {
        self.full_until.get(&service).is_some_and(|t| *t > now)
    }

    /// Returns when the next demand is due, or `None` if no flow is dirty.
    pub fn due(&self, now: Instant, params: &Params) -> Option<Instant> {
        if self.dirty.is_empty() {
            return None;
        }
        let delayed = self.last_sent.map_or(now, |l| l + params.demand_delay);
        Some(if self.urgent { now } else { delayed })
    }

    /// Records a flow's demand as sent and returns it; `None` if there is nothing to withdraw.
    pub fn record_demand(
        &mut self,
        now: Instant,
        flow: Flow,
        demand: Option<QueueDemand>,
    ) -> Option<FlowDemand> {
        match demand {
            Some(demand) => {
                self.sent_counts.insert(flow, demand.count);
            }
            None => {
                self.sent_counts.remove(&flow)?;
            }
        }
        Some(flow_demand(now, flow, demand))
    }

    /// Schedules the demand of all flows to be sent again.
    pub fn refresh(&mut self) {
        self.dirty.extend(self.sent_counts.keys().copied());
    }

    /// Schedules usage reports for as long as a grant may still be used.
    pub fn keep_reporting(&mut self, params: &Params) {
        let grant_periods = params.grant_life.as_millis() / params.period.as_millis().max(1);
        let grant_periods = u32::try_from(grant_periods).unwrap_or(u32::MAX);
        self.reports_left = REPORT_PERIODS.saturating_add(grant_periods);
    }

    /// Returns whether a usage report is due in this period, and counts it as sent.
    pub fn take_report(&mut self) -> bool {
        let due = self.reports_left > 0;
        self.reports_left = self.reports_left.saturating_sub(1);
        due
    }

    /// Returns whether the link holds no state and can be removed.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.sent_counts.is_empty()
            && self.dirty.is_empty()
            && self.reports_left == 0
            && self.full_until.values().all(|t| *t <= now)
    }
}
