//! How many requests a second a cold server receives from this router.
//!
//! The bound holds for all routers together, in touch with each other or not,
//! so each takes only its part of it.

use std::time::{Duration, Instant};

/// Requests that may be sent at once after a pause.
const BURST: f64 = 1.0;

/// A token bucket for one cold server.
#[derive(Debug, Clone)]
pub struct ColdBucket {
    tokens: f64,
    filled: Instant,
}

impl ColdBucket {
    /// Creates a bucket that lets one request through.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: BURST,
            filled: now,
        }
    }

    /// Returns whether a request may be sent at `rate` requests a second.
    pub fn has_room(&mut self, now: Instant, rate: f64) -> bool {
        if rate <= 0.0 {
            // This router is not among those that may use the server.
            return false;
        }
        let elapsed = now.saturating_duration_since(self.filled);
        self.filled = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(BURST);
        self.tokens >= 1.0
    }

    /// Takes the place of a request that is sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the time until the next request may be sent.
    #[must_use]
    pub fn wait(&self, rate: f64) -> Duration {
        Duration::from_secs_f64(((1.0 - self.tokens) / rate.max(0.01)).clamp(0.0, 60.0))
    }
}
