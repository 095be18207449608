//! Estimates the cost so far of answers that are not streamed.
//!
//! The cost of such an answer is unknown until its end. Charging a long one only
//! then would let its workspace exceed its fair share in the meantime, so it is
//! charged by its running time, at the recent cost rate of its service.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::attempt::{Facts, Running};
use crate::ids::ServiceId;

use super::Router;

/// Weight of a new sample in the exponential moving average of a service's cost rate.
const RATE_WEIGHT: f64 = 0.1;

/// Cost rate of one running answer of each service, in cost units per second.
#[derive(Debug, Default)]
pub(super) struct CostRates {
    rates: BTreeMap<ServiceId, f64>,
}

impl CostRates {
    /// Adds the cost and duration of a complete answer.
    fn observe(&mut self, service: ServiceId, cost: f64, seconds: f64) {
        if seconds <= 0.0 {
            return;
        }
        let sample = cost / seconds;
        let rate = self.rates.entry(service).or_insert(sample);
        *rate += RATE_WEIGHT * (sample - *rate);
    }

    fn get(&self, service: ServiceId) -> f64 {
        self.rates.get(&service).copied().unwrap_or(0.0)
    }
}

impl Router {
    /// Adds the cost and duration of a complete answer to its service's cost rate.
    pub(super) fn observe_cost(&mut self, now: Instant, facts: &Facts) {
        let Some(request) = self.requests.get(facts.request) else {
            return;
        };
        let seconds = now.duration_since(facts.started).as_secs_f64();
        self.cost_rates
            .observe(request.call.service, facts.cost, seconds);
    }

    /// Returns an attempt's cost: as reported, or by running time if higher and not streamed.
    pub(super) fn cost_so_far(&self, now: Instant, running: &Running) -> f64 {
        let facts = running.facts();
        let request = self.requests.get(facts.request);
        let Some(request) = request.filter(|r| !r.call.resumable) else {
            return facts.cost;
        };
        if matches!(running, Running::Unsent(_)) {
            return facts.cost;
        }
        let seconds = now.duration_since(facts.started).as_secs_f64();
        facts
            .cost
            .max(seconds * self.cost_rates.get(request.call.service))
    }
}
