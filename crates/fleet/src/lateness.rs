//! Lateness of this router's own event loop, which delays what it sees of servers.
//!
//! The mean lag in [`Pressure`](crate::pressure::Pressure) tells how busy the router is. A router
//! that was frozen is not busy: it sees the end of the freeze before the lag was measured, and by
//! then the time limits of its requests have passed although their servers have answered.

use std::time::{Duration, Instant};

/// Interval of the event loop lag's measurements.
const INTERVAL: Duration = Duration::from_millis(25);
/// Time after a lag within which the loop may not have read yet what arrived during it.
const CATCH_UP_TIME: Duration = Duration::from_millis(400);

/// Lag up to which observed response times count.
pub const MAX_LEARNING_LAG: Duration = Duration::from_millis(20);
/// Lag up to which a silence is the server's. A silence is judged after more than a second, so that
/// a busy router's usual lag explains little of it.
pub const MAX_SILENCE_LAG: Duration = Duration::from_millis(250);

/// Recent lags of the event loop.
#[derive(Debug, Default)]
pub struct Lateness {
    measured_at: Option<Instant>,
    /// Largest lag within [`CATCH_UP_TIME`], and when it was measured.
    largest: Option<(Instant, Duration)>,
}

impl Lateness {
    /// Records a measured lag.
    pub fn observe(&mut self, now: Instant, lag: Duration) {
        self.measured_at = Some(now);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CATCH_UP_TIME;
        let outweighs = |(at, known): (Instant, Duration)| is_recent(at) && known > lag;
        if !self.largest.is_some_and(outweighs) {
            self.largest = Some((now, lag));
        }
    }

    /// Returns the largest recent lag, with one that is not measured yet.
    #[must_use]
    pub fn recent(&self, now: Instant) -> Duration {
        let unmeasured = self.measured_at.map_or(Duration::ZERO, |at| {
            now.saturating_duration_since(at).saturating_sub(INTERVAL)
        });
        let is_recent =
            |(at, _): &(Instant, Duration)| now.saturating_duration_since(*at) < CATCH_UP_TIME;
        let measured = self
            .largest
            .filter(is_recent)
            .map_or(Duration::ZERO, |(_, lag)| lag);
        measured.max(unmeasured)
    }
}
