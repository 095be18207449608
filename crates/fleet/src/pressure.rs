//! Overload control of this router, based on its event loop lag.
//!
//! All connections of one caller reach one router, so a workspace that becomes active can send a
//! small host many times the traffic it can forward, while other routers are idle. Event loop lag
//! shows this. The router then reports not ready, so that new connections go to other routers, and
//! refuses streams that it could not forward in time.

use std::time::{Duration, Instant};

/// Time constant of the lag's moving average: a fraction of the second between two readiness
/// checks, and several iterations of a busy loop.
const AVERAGING_TIME: Duration = Duration::from_millis(300);
/// Mean lag from which new connections go to other routers: a fraction of 120 ms, the shortest
/// bound on forwarding an event.
const SHED_LAG: Duration = Duration::from_millis(30);
/// Mean lag up to which new connections are accepted again.
const RESUME_LAG: Duration = Duration::from_millis(10);
/// Mean lag up to which every stream is admitted: one long iteration of the loop.
const ADMIT_ALL_LAG: Duration = Duration::from_millis(15);
/// Mean lag from which streams over their workspace's share are refused: half of the 120 ms.
const REFUSE_OVER_SHARE_LAG: Duration = Duration::from_millis(60);
/// Mean lag from which all streams are refused: all of the 120 ms.
const REFUSE_ALL_LAG: Duration = Duration::from_millis(120);
/// Moving average weight of the newest request in the mean charge.
const CHARGE_WEIGHT: f64 = 0.02;
/// Minimum time for which new connections go to other routers. The platform checks readiness once
/// per second and acts on the second failed check.
const MIN_SHED_TIME: Duration = Duration::from_millis(2_500);

/// Event loop lag of this router and the overload state derived from it.
#[derive(Debug, Default)]
pub struct Pressure {
    lag: Duration,
    observed_at: Option<Instant>,
    /// Mean charge of the streams requested from this router, in tokens.
    mean_charge: f64,
    shed_since: Option<Instant>,
}

impl Pressure {
    /// Records the event loop lag; returns whether [`Self::sheds_connections`] changed.
    pub fn observe(&mut self, now: Instant, lag: Duration) -> bool {
        let before = self.observed_at.replace(now);
        let elapsed = before.map_or(AVERAGING_TIME, |b| now.saturating_duration_since(b));
        let decay = (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.lag = self.lag.mul_f64(decay) + lag.mul_f64(1.0 - decay);
        match self.shed_since {
            None if self.lag >= SHED_LAG => {
                self.shed_since = Some(now);
                true
            }
            Some(since)
                if self.lag <= RESUME_LAG
                    && now.saturating_duration_since(since) >= MIN_SHED_TIME =>
            {
                self.shed_since = None;
                true
            }
            _ => false,
        }
    }

    /// Returns the mean lag.
    #[must_use]
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// Returns whether new connections should go to other routers.
    #[must_use]
    pub fn sheds_connections(&self) -> bool {
        self.shed_since.is_some()
    }

    /// Records the charge of a requested stream against its workspace's share.
    pub fn record_charge(&mut self, charge: f64) {
        let weight = if self.mean_charge > 0.0 {
            CHARGE_WEIGHT
        } else {
            1.0
        };
        self.mean_charge += weight * (charge - self.mean_charge);
    }

    /// Returns whether a stream with this charge can be forwarded in time; `within` says whether
    /// its workspace is within its share.
    ///
    /// A stream costs the router about the same whatever its prompt. The charge that a stream needs
    /// to be admitted therefore rises with the lag, from zero to the mean charge.
    #[must_use]
    pub fn admits_stream(&self, within: bool, charge: f64) -> bool {
        let (low, high) = if within {
            (REFUSE_OVER_SHARE_LAG, REFUSE_ALL_LAG)
        } else {
            (ADMIT_ALL_LAG, REFUSE_OVER_SHARE_LAG)
        };
        let excess = self.lag.saturating_sub(low).as_secs_f64();
        let fraction = excess / (high - low).as_secs_f64();
        fraction < 1.0 && charge >= fraction * self.mean_charge
    }
}
