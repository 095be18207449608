//! Clocks: an interface over system time, so that tests can control time.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time.
pub trait Clock {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time.
    fn wall(&self) -> SystemTime;

    /// Returns the milliseconds since the Unix epoch.
    fn epoch_ms(&self) -> u64 {
        self.wall()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only by [`advance`](Self::advance).
#[derive(Debug)]
pub struct ManualClock {
    origin: Instant,
    elapsed: Cell<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ManualClock {
    /// Creates a clock at an arbitrary origin.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            elapsed: Cell::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        self.elapsed.set(self.elapsed.get() + step);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.origin + self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.elapsed.get()
    }
}
