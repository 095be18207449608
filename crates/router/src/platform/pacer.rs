//! The budget of calls of the platform that are not made for a caller.
//!
//! The interval between two calls never falls below the budget, and failures
//! lengthen the pause between two rounds, with jitter, so that a platform that
//! returns is not met by all routers at once.

use std::time::Duration;

/// Least time between two calls: the budget of one router.
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest pause between two rounds after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Jitter of a pause, as a fraction of it either way.
const JITTER: f64 = 0.25;

/// Paces the rounds of one poller.
#[derive(Debug)]
pub struct Pacer {
    period: Duration,
    failures: u32,
}

impl Pacer {
    /// Creates a pacer of rounds that are `period` apart while all goes well.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            failures: 0,
        }
    }

    /// Takes in how a round went.
    pub fn observe(&mut self, success: bool) {
        self.failures = if success {
            0
        } else {
            self.failures.saturating_add(1)
        };
    }

    /// Returns the pause before the next round; `draw` is uniform in [0, 1).
    #[must_use]
    pub fn pause(&self, draw: f64) -> Duration {
        let doubled = self.period * 2_u32.saturating_pow(self.failures.min(8));
        let pause = doubled.min(LONGEST_PAUSE.max(self.period));
        pause.mul_f64(1.0 + JITTER * (2.0 * draw - 1.0))
    }

    /// Waits out the interval between two calls of one round.
    pub async fn between_calls(&self) {
        compio::time::sleep(CALL_INTERVAL).await;
    }
}
