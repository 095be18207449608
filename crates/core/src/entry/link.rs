//! What one dispatcher was told, and what it said.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::ids::{Flow, ServerId, ServiceId};
use crate::message::FlowDemand;
use crate::params::Params;

use super::flow_demand;
use super::queue::Wanted;

/// Periods in which slots are reported after the last demand or grant.
const REPORT_PERIODS: u32 = 3;

/// The entry's side of the exchange with one dispatcher.
#[derive(Debug, Default)]
pub(super) struct Link {
    pub last: Option<Instant>,
    pub told: BTreeMap<Flow, u32>,
    pub dirty: BTreeSet<Flow>,
    pub urgent: bool,
    pub asking: bool,
    pub prefer: Option<ServerId>,
    pub full: BTreeMap<ServiceId, Instant>,
    /// Periods in which slots are still reported.
    reports: u32,
}

impl Link {
    /// Asks for a slot for `flow` with the next demand, which is sent at once.
    pub fn ask(&mut self, flow: Flow) {
        self.asking = true;
        self.urgent = true;
        self.dirty.insert(flow);
    }

    pub fn is_full(&self, now: Instant, service: ServiceId) -> bool {
        self.full.get(&service).is_some_and(|until| *until > now)
    }

    /// Returns when the next demand is due, if any.
    pub fn due(&self, now: Instant, params: &Params) -> Option<Instant> {
        if self.dirty.is_empty() {
            return None;
        }
        let spaced = self.last.map_or(now, |l| l + params.demand_delay);
        Some(if self.urgent { now } else { spaced })
    }

    /// Notes what the dispatcher is told of a flow; none when it is no news.
    pub fn tell(&mut self, now: Instant, flow: Flow, wanted: Option<Wanted>) -> Option<FlowDemand> {
        match wanted {
            Some(wanted) => {
                self.told.insert(flow, wanted.count);
            }
            None => {
                self.told.remove(&flow)?;
            }
        }
        Some(flow_demand(now, flow, wanted))
    }

    /// Marks all demand for being sent again.
    pub fn refresh(&mut self) {
        self.dirty.extend(self.told.keys().copied());
    }

    /// Makes reports of slots due for as long as a grant may still be used.
    pub fn keep_reporting(&mut self, params: &Params) {
        let life = params.grant_life.as_millis() / params.period.as_millis().max(1);
        let life = u32::try_from(life).unwrap_or(u32::MAX);
        self.reports = REPORT_PERIODS.saturating_add(life);
    }

    /// Returns whether a report of slots is due in this period.
    pub fn take_report(&mut self) -> bool {
        let due = self.reports > 0;
        self.reports = self.reports.saturating_sub(1);
        due
    }

    /// Returns whether nothing of the exchange needs to be remembered.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.told.is_empty()
            && self.dirty.is_empty()
            && self.reports == 0
            && self.full.values().all(|until| *until <= now)
    }
}
