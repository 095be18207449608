//! What a server announced in its own responses: that it is leaving, or that it wants a pause.
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
}

impl Notice {
    /// Records a pause from `now` on and returns its length, which is limited.
    pub fn pause(&mut self, now: Instant, length: Duration) -> Duration {
        let length = length.min(MAX_PAUSE);
        let until = now + length;
        self.paused_until = Some(self.paused_until.map_or(until, |u| u.max(until)));
        length
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
