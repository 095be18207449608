//! Rate limit in operations per second.

use std::cell::Cell;
use std::time::Instant;

/// Token bucket whose capacity is one second's worth of operations.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: Cell<f64>,
    last_refill: Cell<Instant>,
}

impl RateLimit {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self {
            per_second,
            tokens: Cell::new(per_second),
            last_refill: Cell::new(Instant::now()),
        }
    }

    /// Takes `count` operations at `now` if the limit allows them; returns whether it did.
    pub fn try_take(&self, count: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.last_refill.replace(now));
        let refilled = self.tokens.get() + elapsed.as_secs_f64() * self.per_second;
        let tokens = refilled.min(self.per_second);
        #[allow(clippy::cast_precision_loss)]
        let count = count as f64;
        let allowed = tokens >= count;
        self.tokens
            .set(if allowed { tokens - count } else { tokens });
        allowed
    }
}
