//! Withholds roles from a router that keeps vanishing.
//!
//! A router learns from others that it was declared dead while it ran. The
//! first time it contradicts at once and has its roles back. Each further time
//! within `MEMORY` it puts itself on probation, twice as long as before, and
//! says so, so that every router withholds the same roles for the same time.

use std::time::{Duration, Instant};

/// How long a declared death counts.
const MEMORY: Duration = Duration::from_secs(300);
/// Probation after the second declared death.
const FIRST_HOLD: Duration = Duration::from_secs(5);
/// Longest probation.
const LONGEST_HOLD: Duration = Duration::from_secs(80);
/// Declared deaths that are remembered.
const REMEMBERED: usize = 8;

/// The declared deaths of this router.
#[derive(Debug, Default)]
pub struct Flaps {
    deaths: Vec<Instant>,
    until: Option<Instant>,
}

impl Flaps {
    /// Creates the record of a router that was never declared dead.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a declared death; returns until when to stay on probation, if at all.
    pub fn died(&mut self, now: Instant) -> Option<Instant> {
        self.deaths.retain(|at| now.duration_since(*at) < MEMORY);
        if self.deaths.len() < REMEMBERED {
            self.deaths.push(now);
        }
        let again = u32::try_from(self.deaths.len()).unwrap_or(u32::MAX) - 1;
        if again == 0 {
            return None;
        }
        let hold = (FIRST_HOLD * 2_u32.pow(again - 1)).min(LONGEST_HOLD);
        self.until = Some(now + hold);
        self.until
    }

    /// Returns whether a probation has just ended.
    pub fn ended(&mut self, now: Instant) -> bool {
        let over = self.until.is_some_and(|until| until <= now);
        if over {
            self.until = None;
        }
        over
    }
}
