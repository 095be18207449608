//! Rate limit on the requests that this router sends to a cold server.
//!
//! The limit on a cold server applies to all routers together, whether or not they can reach each
//! other, so each router uses only its fraction of it.

use std::time::{Duration, Instant};

/// Bucket capacity in requests: the burst allowed after a pause.
const BURST: f64 = 1.0;

/// Token bucket that limits requests to one cold server.
#[derive(Debug, Clone)]
pub struct ColdBucket {
    tokens: f64,
    refilled: Instant,
}

impl ColdBucket {
    /// Creates a full bucket, which lets one request through.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: BURST,
            refilled: now,
        }
    }

    /// Refills the bucket at `rate` requests per second and returns whether a request may be sent.
    pub fn has_token(&mut self, now: Instant, rate: f64) -> bool {
        if rate <= 0.0 {
            // The cold server is assigned to other routers.
            return false;
        }
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(BURST);
        self.tokens >= 1.0
    }

    /// Consumes the token of a request that is sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the time until the next request may be sent.
    #[must_use]
    pub fn wait(&self, rate: f64) -> Duration {
        Duration::from_secs_f64(((1.0 - self.tokens) / rate.max(0.01)).clamp(0.0, 60.0))
    }
}
