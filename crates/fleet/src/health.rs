//! Whether a server answers.
//!
//! A server that fails is left alone for a time that doubles with each
//! further failure; then one request shows whether it is back. A server that
//! fails only part of its requests keeps an error rate that placement weighs.

use std::time::{Duration, Instant};

/// First time for which a failing server is left alone.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest such time; a server that came back receives work this late at most.
const LONGEST_PAUSE: Duration = Duration::from_millis(3_200);
/// Failures in a row after which a server is left alone.
const TOLERATED: u32 = 2;
/// Weight of the newest outcome in the error rate.
const RATE_WEIGHT: f64 = 0.1;

/// What the outcomes of its requests say of a server.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    pauses: u32,
    until: Option<Instant>,
    trial: bool,
    errors: f64,
}

impl Health {
    /// Returns whether the server may receive a request.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        match self.until {
            None => true,
            Some(until) => now >= until && !self.trial,
        }
    }

    /// Returns whether the next request is a trial.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.until.is_some()
    }

    /// Returns the share of recent requests that failed.
    #[must_use]
    pub fn errors(&self) -> f64 {
        self.errors
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self) {
        self.trial = self.until.is_some();
    }

    /// Notes an answer; returns whether the server was left alone before.
    pub fn succeeded(&mut self) -> bool {
        self.errors *= 1.0 - RATE_WEIGHT;
        self.failures = 0;
        self.pauses = 0;
        self.trial = false;
        self.until.take().is_some()
    }

    /// Notes a request that failed without saying anything of the server's other requests.
    pub fn erred(&mut self) {
        self.errors += RATE_WEIGHT * (1.0 - self.errors);
        self.trial = false;
    }

    /// Notes a trial that ended without an outcome.
    pub fn undecided(&mut self) {
        self.trial = false;
    }

    /// Notes that the server could not be reached, or fell silent.
    ///
    /// Returns how long it is left alone from now on, if it is.
    pub fn failed(&mut self, now: Instant) -> Option<Duration> {
        self.failures += 1;
        self.trial = false;
        if self.failures < TOLERATED && self.until.is_none() {
            return None;
        }
        if self.until.is_some_and(|u| now < u) {
            return None;
        }
        let pause = (FIRST_PAUSE * 2_u32.pow(self.pauses.min(8))).min(LONGEST_PAUSE);
        self.pauses += 1;
        self.until = Some(now + pause);
        Some(pause)
    }
}
