//! Limit on operations per second.

use std::cell::Cell;
use std::time::Instant;

/// A token bucket that holds one second's worth of operations.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    level: Cell<f64>,
    filled: Cell<Instant>,
}

impl RateLimit {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self {
            per_second,
            level: Cell::new(per_second),
            filled: Cell::new(Instant::now()),
        }
    }

    /// Takes `count` operations at `now`; returns whether the limit allows them.
    pub fn take(&self, count: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled.replace(now));
        let filled = self.level.get() + elapsed.as_secs_f64() * self.per_second;
        let level = filled.min(self.per_second);
        #[allow(clippy::cast_precision_loss)]
        let count = count as f64;
        let allowed = level >= count;
        self.level.set(if allowed { level - count } else { level });
        allowed
    }
}
