//! Circuit breaker and error rate of one server.
//!
//! A server that cannot be reached is paused for a time that doubles with each further failure;
//! then a single probe request shows whether it is back. For a server that fails only some
//! requests, an error rate is kept that adds to its placement score.

use std::time::{Duration, Instant};

/// First pause of a failing server.
const MIN_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause; a recovered server receives requests again after at most this time.
const MAX_PAUSE: Duration = Duration::from_millis(3_200);
/// Consecutive failures after which a server is paused.
const FAILURE_THRESHOLD: u32 = 2;
/// Moving average weight of the newest outcome in the error rate.
const RATE_WEIGHT: f64 = 0.1;

/// Failure state of a server, derived from the outcomes of its requests.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    pauses: u32,
    paused_until: Option<Instant>,
    probing: bool,
    error_rate: f64,
}

impl Health {
    /// Returns whether the server may receive a request.
    #[must_use]
    pub fn is_available(&self, now: Instant) -> bool {
        match self.paused_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Returns whether the server has not answered since a pause: the next request is a probe.
    #[must_use]
    pub fn needs_probe(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Returns the moving average of the fraction of failed requests.
    #[must_use]
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Records that a request was sent.
    pub fn request_sent(&mut self) {
        self.probing = self.paused_until.is_some();
    }

    /// Records an answer; returns whether the server was paused before.
    pub fn record_success(&mut self) -> bool {
        self.error_rate *= 1.0 - RATE_WEIGHT;
        self.failures = 0;
        self.pauses = 0;
        self.probing = false;
        self.paused_until.take().is_some()
    }

    /// Records a failed request that does not indicate that other requests will fail.
    pub fn record_error(&mut self) {
        self.error_rate += RATE_WEIGHT * (1.0 - self.error_rate);
        self.probing = false;
    }

    /// Records that a request ended without an outcome.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }

    /// Records that the server was unreachable or timed out.
    ///
    /// Returns the length of the pause that starts now, if one does.
    pub fn record_unreachable(&mut self, now: Instant) -> Option<Duration> {
        self.failures += 1;
        self.probing = false;
        if self.failures < FAILURE_THRESHOLD && self.paused_until.is_none() {
            return None;
        }
        if self.paused_until.is_some_and(|u| now < u) {
            return None;
        }
        let pause = (MIN_PAUSE * 2_u32.pow(self.pauses.min(8))).min(MAX_PAUSE);
        self.pauses += 1;
        self.paused_until = Some(now + pause);
        Some(pause)
    }
}
