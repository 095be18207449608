//! Rate limit and backoff of the platform calls that are not made for a caller.
//!
//! Calls of one round are spaced by a minimum interval. After failures the pause between rounds
//! grows exponentially, with jitter, so that routers don't all call a recovered platform at once.

use std::time::Duration;

/// Minimum time between two calls; the call budget of one router.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum pause between two rounds after failures, before jitter.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Jitter of a pause, as a fraction of the pause in either direction.
const JITTER: f64 = 0.25;

/// Decides when the rounds of one poller start.
#[derive(Debug)]
pub struct Pacer {
    period: Duration,
    failures: u32,
}

impl Pacer {
    /// Creates a pacer with a pause of `period` between rounds while they succeed.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            failures: 0,
        }
    }

    /// Records whether a round succeeded.
    pub fn record(&mut self, success: bool) {
        self.failures = if success {
            0
        } else {
            self.failures.saturating_add(1)
        };
    }

    /// Returns the pause before the next round; `random` is uniform in [0, 1).
    #[must_use]
    pub fn pause(&self, random: f64) -> Duration {
        let backoff = self.period * 2_u32.saturating_pow(self.failures.min(8));
        let pause = backoff.min(MAX_PAUSE.max(self.period));
        pause.mul_f64(1.0 + JITTER * (2.0 * random - 1.0))
    }

    /// Waits for the minimum interval between two calls of one round.
    pub async fn wait_between_calls(&self) {
        compio::time::sleep(MIN_CALL_INTERVAL).await;
    }
}
