//! Withholds roles from a router that is repeatedly declared dead while it runs.
//!
//! The router learns of its declared death from others' updates. The first time,
//! it refutes the update and gets its roles back at once. Each further time
//! within `FLAP_WINDOW`, it announces a probation of itself, twice as long as
//! the previous one, so that all routers withhold its roles for the same time.

use std::time::{Duration, Instant};

/// Time for which a declared death counts.
const FLAP_WINDOW: Duration = Duration::from_secs(300);
/// Probation after the second declared death.
const MIN_PROBATION: Duration = Duration::from_secs(5);
/// Longest probation.
const MAX_PROBATION: Duration = Duration::from_secs(80);
/// Maximum number of declared deaths that are counted.
const MAX_DEATHS: usize = 8;

/// Recent declared deaths of this router, and its probation.
#[derive(Debug, Default)]
pub struct FlapDetector {
    deaths: Vec<Instant>,
    probation_end: Option<Instant>,
}

impl FlapDetector {
    /// Creates the state of a router that was never declared dead.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a declared death; returns the end of the probation, if it causes one.
    pub fn record_death(&mut self, now: Instant) -> Option<Instant> {
        self.deaths
            .retain(|at| now.duration_since(*at) < FLAP_WINDOW);
        if self.deaths.len() < MAX_DEATHS {
            self.deaths.push(now);
        }
        let repeats = u32::try_from(self.deaths.len()).unwrap_or(u32::MAX) - 1;
        if repeats == 0 {
            return None;
        }
        let probation = (MIN_PROBATION * 2_u32.pow(repeats - 1)).min(MAX_PROBATION);
        self.probation_end = Some(now + probation);
        self.probation_end
    }

    /// Ends a probation that is over at `now`; returns whether there was one.
    pub fn end_probation(&mut self, now: Instant) -> bool {
        let over = self.probation_end.is_some_and(|until| until <= now);
        if over {
            self.probation_end = None;
        }
        over
    }
}
