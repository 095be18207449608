//! How long a server may be silent before its connection is given up.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::attempt::{Facts, Running};
use crate::configuration::ServiceKind;
use crate::effect::Effect;
use crate::event::{Repeat, Stage};
use crate::ids::{AttemptKey, ServiceId};
use crate::message::GrantEnd;

use super::{Request, Router, Timer};

/// Weight of the newest time to first byte in the running mean.
const MEAN_WEIGHT: f64 = 0.1;
/// A server may take this many times the mean to its first byte.
const MEAN_FACTOR: f64 = 8.0;

/// Mean time to first byte of each service, streamed answers apart from others.
#[derive(Debug, Default)]
pub(super) struct Latencies {
    means: BTreeMap<(ServiceId, bool), f64>,
}

impl Latencies {
    pub(super) fn new() -> Self {
        Self::default()
    }

    fn observe(&mut self, service: ServiceId, streamed: bool, first_byte: Duration) {
        let sample = first_byte.as_secs_f64();
        let mean = self.means.entry((service, streamed)).or_insert(sample);
        *mean += MEAN_WEIGHT * (sample - *mean);
    }

    /// Returns the longest time to first byte that is still usual.
    fn usual(&self, service: ServiceId, streamed: bool) -> Option<Duration> {
        let mean = self.means.get(&(service, streamed))?;
        Some(Duration::from_secs_f64(mean * MEAN_FACTOR))
    }
}

impl Router {
    /// Returns how long the attempt of `request` may wait for its first byte.
    ///
    /// A request that may be repeated is tried elsewhere once the wait is
    /// unusual, and waits twice as long at each further attempt, so that a
    /// service that has become slow is still answered.
    ///
    /// A model's answer that is not streamed shows nothing until its end: a
    /// long one can't be told from a dead connection, and is not given up for
    /// being longer than others.
    fn first_patience(&self, request: &Request) -> Duration {
        let params = &self.world.params;
        let service = request.call.service;
        let streamed = request.call.resumable;
        let kind = self.world.config.service(service).map(|s| s.kind);
        if kind == Some(ServiceKind::Model) && !streamed {
            return params.whole_timeout;
        }
        let usual = self.latencies.usual(service, streamed);
        let Some(usual) = usual else {
            return params.first_timeout;
        };
        let longest = params.first_timeout.max(usual);
        if request.call.repeat != Repeat::Idempotent {
            return longest;
        }
        let floor = match kind {
            Some(ServiceKind::Plain) => params.lookup_timeout,
            Some(ServiceKind::Model) | None => params.progress_timeout,
        };
        let doubled = 2_u32.saturating_pow(request.attempts.saturating_sub(1));
        floor.max(usual).saturating_mul(doubled).min(longest)
    }

    /// Looks at the attempt again when it counts as silent unless something arrives.
    pub(super) fn watch(&mut self, key: AttemptKey) {
        let Some(due) = self.attempts.get(key).map(|r| self.silent_at(r)) else {
            return;
        };
        let Some(running) = self.attempts.get_mut(key) else {
            return;
        };
        let check = std::mem::replace(&mut running.facts_mut().check, due);
        self.timers.remove(&(check, Timer::Silence(key)));
        self.timers.insert((due, Timer::Silence(key)));
    }

    /// Returns when the attempt counts as silent unless something arrives.
    fn silent_at(&self, running: &Running) -> Instant {
        let facts = running.facts();
        let request = self.requests.get(facts.request);
        let patience = match (running, request) {
            (Running::Answering(_), _) | (_, None) => self.world.params.progress_timeout,
            (_, Some(request)) => self.first_patience(request),
        };
        facts.progress + patience
    }

    /// Takes in the time to first byte of an attempt.
    pub(super) fn observe_first(&mut self, facts: &Facts) {
        let Some(request) = self.requests.get(facts.request) else {
            return;
        };
        if let Some(first_byte) = facts.first_byte {
            let streamed = request.call.resumable;
            self.latencies
                .observe(request.call.service, streamed, first_byte);
        }
    }

    pub(super) fn check_silence(&mut self, now: Instant, key: AttemptKey) {
        let Some(running) = self.attempts.get(key) else {
            return;
        };
        if self.silent_at(running) > now {
            self.watch(key);
            return;
        }
        let stage = match running {
            Running::Unsent(_) => Stage::BeforeSend,
            Running::Sent(_) => Stage::AfterSend,
            Running::Answering(_) => Stage::AfterOutput,
        };
        self.out.push(Effect::Cancel(key));
        self.out.push(Effect::Suspect(running.facts().address));
        self.end_attempt(now, key, GrantEnd::Failed, |r| r.broken(stage));
    }
}
