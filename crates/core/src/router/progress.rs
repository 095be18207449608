//! Cost so far of answers that are not streamed.
//!
//! A whole answer shows nothing until its end. Charged only then, a long one
//! would be a debt that its workspace runs up unseen; so it is charged by the
//! time it has run, at the rate at which answers of its service cost of late.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::attempt::{Facts, Running};
use crate::ids::ServiceId;

use super::Router;

/// Weight of the newest answer in the running mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Cost units per second of one running answer, by service.
#[derive(Debug, Default)]
pub(super) struct CostRates {
    rates: BTreeMap<ServiceId, f64>,
}

impl CostRates {
    /// Takes in a whole answer.
    fn observe(&mut self, service: ServiceId, cost: f64, seconds: f64) {
        if seconds <= 0.0 {
            return;
        }
        let sample = cost / seconds;
        let rate = self.rates.entry(service).or_insert(sample);
        *rate += MEAN_WEIGHT * (sample - *rate);
    }

    fn get(&self, service: ServiceId) -> f64 {
        self.rates.get(&service).copied().unwrap_or(0.0)
    }
}

impl Router {
    /// Takes in the cost and the time of a whole answer.
    pub(super) fn observe_cost(&mut self, now: Instant, facts: &Facts) {
        let Some(request) = self.requests.get(facts.request) else {
            return;
        };
        let seconds = now.duration_since(facts.started).as_secs_f64();
        self.cost_rates
            .observe(request.call.service, facts.cost, seconds);
    }

    /// Returns the cost so far of an attempt: as reported, else by its time.
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
