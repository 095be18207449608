//! Overload control of this router, based on its event loop lag.
//!
//! All connections of one caller reach one router, so a workspace that becomes active can send a
//! small host many times the traffic it can forward, while other routers are idle. Event loop lag
//! shows this. The router then reports not ready, so that new connections go to other routers, and
//! refuses streams that it could not forward in time.
//!
//! A refusal costs time too, so a small host can spend all of it on a wave. It leaves the rotation,
//! recovers and returns, and the wave with it. As soon as it is late again, what it forwards for the
//! workspace of the wave are the streams with the largest charge: they cost it no more than others.
//! While it is in time it refuses nothing.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::quota::WorkspaceHash;

/// Time constant of the lag's moving average: a fraction of the second between two readiness
/// checks, and several iterations of a busy loop.
const AVERAGING_TIME: Duration = Duration::from_millis(300);
/// Time constant of the average that shows a wave before it has filled the router: a few iterations
/// of a busy loop.
const WAVE_AVERAGING_TIME: Duration = Duration::from_millis(60);
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
/// Time constant with which the charge needed after an overload falls. It is above
/// [`MIN_SHED_TIME`], since the wave comes back with the next connections.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Largest charge needed of the dominant workspace, relative to the mean charge. It is below 1 since
/// the streams of a workspace may all have the same charge.
const MAX_SELECTIVITY: f64 = 0.9;
/// Time after which the counted requests of a workspace weigh half.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Fraction of the counted requests from which one workspace is the cause of an overload.
const DOMINANT_FRACTION: f64 = 0.5;
/// Moving average weight of the newest request in the mean charge.
const CHARGE_WEIGHT: f64 = 0.02;
/// Minimum time for which new connections go to other routers. The platform checks readiness once
/// per second and acts on the second failed check.
const MIN_SHED_TIME: Duration = Duration::from_millis(2_500);

/// Event loop lag of this router and the overload state derived from it.
#[derive(Debug, Default)]
pub struct Pressure {
    lag: Duration,
    /// Mean over [`WAVE_AVERAGING_TIME`].
    recent_lag: Duration,
    observed_at: Option<Instant>,
    /// Mean charge of the streams requested from this router, in tokens.
    mean_charge: f64,
    shed_since: Option<Instant>,
    /// Charge that a stream of the dominant workspace needs, relative to the mean charge.
    selectivity: f64,
    /// Streams requested recently, by workspace.
    counts: BTreeMap<WorkspaceHash, f64>,
    halved_at: Option<Instant>,
}

impl Pressure {
    /// Records the event loop lag; returns whether [`Self::sheds_connections`] changed.
    pub fn observe(&mut self, now: Instant, lag: Duration) -> bool {
        let before = self.observed_at.replace(now);
        let elapsed = before.map_or(AVERAGING_TIME, |b| now.saturating_duration_since(b));
        self.lag = average(self.lag, lag, elapsed, AVERAGING_TIME);
        self.recent_lag = average(self.recent_lag, lag, elapsed, WAVE_AVERAGING_TIME);
        self.selectivity *= decay(elapsed, RECOVERY_TIME);
        if self.shed_since.is_some() {
            let fraction = excess_fraction(self.recent_lag, ADMIT_ALL_LAG, REFUSE_OVER_SHARE_LAG);
            self.selectivity = self.selectivity.max(fraction.min(MAX_SELECTIVITY));
        }
        self.halve_counts(now);
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

    /// Returns the mean charge, in tokens, of the streams requested from this router.
    #[must_use]
    pub fn mean_charge(&self) -> f64 {
        self.mean_charge
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

    fn halve_counts(&mut self, now: Instant) {
        let halved_at = *self.halved_at.get_or_insert(now);
        if now.saturating_duration_since(halved_at) < COUNT_HALF_LIFE {
            return;
        }
        self.halved_at = Some(now);
        self.counts.retain(|_, count| {
            *count /= 2.0;
            *count >= 1.0
        });
    }

    /// Returns whether a workspace requests most of the streams.
    fn is_dominant(&self, workspace: WorkspaceHash) -> bool {
        let total: f64 = self.counts.values().sum();
        let count = self.counts.get(&workspace).copied().unwrap_or_default();
        count > DOMINANT_FRACTION * total
    }

    /// Records a requested stream of a workspace and its charge against the workspace's share.
    pub fn record_stream(&mut self, workspace: WorkspaceHash, charge: f64) {
        *self.counts.entry(workspace).or_default() += 1.0;
        let weight = if self.mean_charge > 0.0 {
            CHARGE_WEIGHT
        } else {
            1.0
        };
        self.mean_charge += weight * (charge - self.mean_charge);
    }

    /// Returns whether a stream with this charge can be forwarded in time; `shortfall` says how far
    /// its workspace is below its share, from 0 to 1.
    ///
    /// A stream costs the router about the same whatever its prompt. The charge that a stream needs
    /// to be admitted therefore rises with the lag, from zero to the mean charge. For a workspace
    /// that requests most of the streams it falls slowly after an overload, so that it is there once the
    /// wave is back.
    #[must_use]
    pub fn admits_stream(
        &self,
        workspace: Option<WorkspaceHash>,
        shortfall: f64,
        charge: f64,
    ) -> bool {
        let raise = |from: Duration, to: Duration| from + (to - from).mul_f64(shortfall);
        let low = raise(ADMIT_ALL_LAG, REFUSE_OVER_SHARE_LAG);
        let high = raise(REFUSE_OVER_SHARE_LAG, REFUSE_ALL_LAG);
        let fraction = excess_fraction(self.lag, low, high);
        let is_late = self.recent_lag > ADMIT_ALL_LAG;
        let needed = if is_late && workspace.is_some_and(|w| self.is_dominant(w)) {
            fraction.max(self.selectivity)
        } else {
            fraction
        };
        fraction < 1.0 && charge >= needed * self.mean_charge
    }
}

/// Returns how far a lag is between two limits: 0 at `low`, 1 at `high`.
fn excess_fraction(lag: Duration, low: Duration, high: Duration) -> f64 {
    let excess = lag.saturating_sub(low).as_secs_f64();
    excess / (high - low).as_secs_f64()
}

/// Returns a moving average with a time constant, `elapsed` after its last value.
fn average(mean: Duration, value: Duration, elapsed: Duration, constant: Duration) -> Duration {
    let weight = decay(elapsed, constant);
    mean.mul_f64(weight) + value.mul_f64(1.0 - weight)
}

/// Returns what remains of 1 after an exponential decay with a time constant.
fn decay(elapsed: Duration, constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp()
}
