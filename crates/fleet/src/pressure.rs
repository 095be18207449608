//! Whether this router has more work than its processor does.
//!
//! All connections of one caller meet at one router, so a workspace that wakes
//! can ask a small host for many times what it passes on, while its neighbours
//! are idle. A loop that comes round late shows it. The router then says that
//! it is not ready, so that new connections go to other routers, and begins no
//! stream that it could not pass on in time.

use std::time::{Duration, Instant};

/// Time over which lateness is averaged: a fraction of the second between two
/// questions for readiness, and several turns of a busy loop.
const MEMORY: Duration = Duration::from_millis(300);
/// Mean lateness from which new connections are sent elsewhere: a fraction of
/// the shortest bound on passing an event on, 120 ms.
const OVERLOADED: Duration = Duration::from_millis(30);
/// Mean lateness below which they are taken again.
const RELIEVED: Duration = Duration::from_millis(10);
/// Mean lateness up to which every stream is begun: one long turn of the loop.
const EASY: Duration = Duration::from_millis(15);
/// Mean lateness from which streams beyond a workspace's share are refused: half
/// of that bound.
const LATE: Duration = Duration::from_millis(60);
/// Mean lateness from which all streams are refused: that bound.
const TOO_LATE: Duration = Duration::from_millis(120);
/// Weight of the newest request in the mean charge.
const CHARGE_WEIGHT: f64 = 0.02;
/// Least time that new connections are sent elsewhere: the platform asks once a
/// second and acts on the second refusal.
const LEAST_SHED: Duration = Duration::from_millis(2_500);

/// How late the loop of this router comes round.
#[derive(Debug, Default)]
pub struct Pressure {
    late: Duration,
    observed: Option<Instant>,
    /// Mean charge of the streams that are asked for here, in tokens.
    charge: f64,
    since: Option<Instant>,
}

impl Pressure {
    /// Takes in how late the loop came round; returns whether that changed [`Self::sheds`].
    pub fn observe(&mut self, now: Instant, late: Duration) -> bool {
        let before = self.observed.replace(now);
        let elapsed = before.map_or(MEMORY, |b| now.saturating_duration_since(b));
        let kept = (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.late = self.late.mul_f64(kept) + late.mul_f64(1.0 - kept);
        match self.since {
            None if self.late >= OVERLOADED => {
                self.since = Some(now);
                true
            }
            Some(since)
                if self.late <= RELIEVED && now.saturating_duration_since(since) >= LEAST_SHED =>
            {
                self.since = None;
                true
            }
            _ => false,
        }
    }

    /// Returns the mean lateness of the last observations.
    #[must_use]
    pub fn late(&self) -> Duration {
        self.late
    }

    /// Returns whether new connections are to go to other routers.
    #[must_use]
    pub fn sheds(&self) -> bool {
        self.since.is_some()
    }

    /// Takes in what a stream that is asked for charges to its workspace's share.
    pub fn ask(&mut self, charge: f64) {
        let weight = if self.charge > 0.0 {
            CHARGE_WEIGHT
        } else {
            1.0
        };
        self.charge += weight * (charge - self.charge);
    }

    /// Returns whether a stream of this charge can be passed on in time; `within`
    /// says whether its workspace has less than its share.
    ///
    /// A stream costs the router about the same whatever its prompt. So the later
    /// the loop, the more a stream has to be worth, from nothing to the mean.
    #[must_use]
    pub fn bears_stream(&self, within: bool, charge: f64) -> bool {
        let (least, most) = if within {
            (LATE, TOO_LATE)
        } else {
            (EASY, LATE)
        };
        let beyond = self.late.saturating_sub(least).as_secs_f64();
        let part = beyond / (most - least).as_secs_f64();
        part < 1.0 && charge >= part * self.charge
    }
}
