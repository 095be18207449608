//! What a server announced in its own responses: that it is leaving, that it wants a pause, or how
//! many requests it accepts.
//!
//! It holds for the rest of the server's life, whatever its registration says, since a response is
//! newer than the registration.

use std::time::{Duration, Instant};

use hibiscusrail_macros::value;

/// Longest pause that a server can ask for; a longer one is taken for a mistake.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Announcements of one server in its responses.
#[value]
#[derive(Default)]
pub struct Notice {
    /// Whether the server said that it is leaving.
    pub leaving: bool,
    /// End of the pause that the server asked for.
    pub paused_until: Option<Instant>,
    /// Rate that the server accepts; none if its newest known response names none.
    pub rate: Option<Rate>,
    /// When the newest known response was received that tells about the rate.
    pub rate_at: Option<Instant>,
}

/// Rate of requests that a server accepts from all routers together.
#[value]
pub struct Rate {
    /// Requests per second.
    pub per_second: f64,
}

impl Notice {
    /// Records a pause from `now` on and returns its length, which is limited.
    pub fn pause(&mut self, now: Instant, length: Duration) -> Duration {
        let length = length.min(MAX_PAUSE);
        let until = now + length;
        self.paused_until = Some(self.paused_until.map_or(until, |u| u.max(until)));
        length
    }

    /// Records the rate that a response received at `at` names, if any; returns whether it changed.
    ///
    /// A response older than the newest known one changes nothing.
    pub fn set_rate(&mut self, at: Instant, rate: Option<Rate>) -> bool {
        if self.rate_at.is_some_and(|known| at < known) {
            return false;
        }
        self.rate_at = Some(at);
        std::mem::replace(&mut self.rate, rate) != rate
    }

    /// Returns the remaining time of the pause; zero without one.
    #[must_use]
    pub fn pause_left(&self, now: Instant) -> Duration {
        self.paused_until
            .map_or(Duration::ZERO, |u| u.saturating_duration_since(now))
    }

    /// Returns whether the server may receive requests.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        !self.leaving && self.pause_left(now).is_zero()
    }
}
