//! Timeouts of attempts: how long a server may send nothing before its attempt fails.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::attempt::{Facts, Running};
use crate::configuration::ServiceKind;
use crate::effect::Effect;
use crate::event::{Repeat, Stage};
use crate::ids::{AttemptKey, ServiceId};
use crate::message::GrantEnd;

use super::{Request, Router, Timer};

/// Weight of a new sample in the exponential moving average of the time to first byte.
const LATENCY_WEIGHT: f64 = 0.1;
/// Longest usual time to first byte, as a multiple of the average.
const USUAL_FACTOR: f64 = 8.0;

/// Average time to first byte in seconds, by service and whether the answer is streamed.
#[derive(Debug, Default)]
pub(super) struct Latencies {
    averages: BTreeMap<(ServiceId, bool), f64>,
}

impl Latencies {
    pub(super) fn new() -> Self {
        Self::default()
    }

    fn observe(&mut self, service: ServiceId, streamed: bool, first_byte: Duration) {
        let sample = first_byte.as_secs_f64();
        let average = self.averages.entry((service, streamed)).or_insert(sample);
        *average += LATENCY_WEIGHT * (sample - *average);
    }

    /// Returns the longest usual time to first byte, if any was observed.
    fn longest_usual(&self, service: ServiceId, streamed: bool) -> Option<Duration> {
        let average = self.averages.get(&(service, streamed))?;
        Some(Duration::from_secs_f64(average * USUAL_FACTOR))
    }
}

impl Router {
    /// Returns the first-byte timeout of the current attempt of `request`.
    ///
    /// An idempotent request is retried at another server after the usual time. The timeout
    /// doubles with each further attempt, so that a service that has become slow still answers.
    ///
    /// A model answer that is not streamed sends nothing until it is complete, so a long one looks
    /// like a dead connection. Its timeout is therefore independent of the usual time.
    fn first_byte_timeout(&self, request: &Request) -> Duration {
        let params = &self.ctx.params;
        let service = request.call.service;
        let streamed = request.call.resumable;
        let kind = self.ctx.config.service(service).map(|s| s.kind);
        if kind == Some(ServiceKind::Model) && !streamed {
            return params.whole_timeout;
        }
        let usual = self.latencies.longest_usual(service, streamed);
        let Some(usual) = usual else {
            return params.first_timeout;
        };
        let max_timeout = params.first_timeout.max(usual);
        if request.call.repeat != Repeat::Idempotent {
            return max_timeout;
        }
        let min_timeout = match kind {
            Some(ServiceKind::Plain) => params.lookup_timeout,
            Some(ServiceKind::Model) | None => params.progress_timeout,
        };
        let backoff = 2_u32.saturating_pow(request.attempts.saturating_sub(1));
        min_timeout
            .max(usual)
            .saturating_mul(backoff)
            .min(max_timeout)
    }

    /// Schedules the next silence check of an attempt.
    pub(super) fn schedule_silence_check(&mut self, key: AttemptKey) {
        let Some(due) = self.attempts.get(key).map(|r| self.silent_at(r)) else {
            return;
        };
        let Some(running) = self.attempts.get_mut(key) else {
            return;
        };
        let check = std::mem::replace(&mut running.facts_mut().next_check, due);
        self.timers.remove(&(check, Timer::Silence(key)));
        self.timers.insert((due, Timer::Silence(key)));
    }

    /// Returns when the attempt times out unless something arrives.
    fn silent_at(&self, running: &Running) -> Instant {
        let facts = running.facts();
        let request = self.requests.get(facts.request);
        let timeout = match (running, request) {
            (Running::Answering(_), _) | (_, None) => self.ctx.params.progress_timeout,
            (_, Some(request)) => self.first_byte_timeout(request),
        };
        facts.last_progress + timeout
    }

    /// Adds the time to first byte of an attempt to its service's average.
    pub(super) fn observe_first_byte(&mut self, facts: &Facts) {
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
            self.schedule_silence_check(key);
            return;
        }
        let stage = match running {
            Running::Unsent(_) => Stage::BeforeSend,
            Running::Sent(_) => Stage::AfterSend,
            Running::Answering(_) => Stage::AfterOutput,
        };
        self.out.push(Effect::Cancel(key));
        self.out
            .push(Effect::DropIdleConnections(running.facts().address));
        self.end_attempt(now, key, GrantEnd::Failed, |r| r.fail_connection(stage));
    }
}
