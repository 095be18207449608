//! Overload control of this router, based on its event loop lag.
//!
//! All new connections of one caller reach one router, so a workspace that becomes active can send a
//! small host many times the traffic it can forward, while other routers are idle. The router takes the
//! streams that it has room for, see [`Rotation`], and leaves the rotation: until the platform has noticed,
//! it refuses the others on new connections, at their heads. Open connections are kept, as they tie callers
//! to a router that has room for them.
//!
//! Event loop lag shows that it has taken too much. It then refuses streams that it could not forward in
//! time, those on kept connections last, since a refusal closes the connection. What it forwards for the
//! workspace of the wave are the streams with the largest charge: they cost it no more than others.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::quota::WorkspaceHash;
use crate::rotation::{LoopUse, Rotation};
use crate::window::decay;

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
/// Time constant with which the charge needed after an overload falls. It is above the time for which a
/// router leaves the rotation, since the wave comes back with the next connections.
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

/// Connection on which a request arrives.
#[hibiscusrail_macros::id]
pub enum Connection {
    /// A new one: the request is its first.
    New,
    /// One on which earlier requests were answered.
    Kept,
}

/// Event loop lag of this router and the overload state derived from it.
#[derive(Debug, Default)]
pub struct Pressure {
    lag: Duration,
    /// Mean over [`WAVE_AVERAGING_TIME`].
    recent_lag: Duration,
    observed_at: Option<Instant>,
    /// Mean charge of the streams requested from this router, in tokens.
    mean_charge: f64,
    /// Whether the mean lag has been high since it was last low.
    is_late: bool,
    rotation: Rotation,
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
        if self.sheds_connections() {
            let fraction = excess_fraction(self.recent_lag, ADMIT_ALL_LAG, REFUSE_OVER_SHARE_LAG);
            self.selectivity = self.selectivity.max(fraction.min(MAX_SELECTIVITY));
        }
        self.halve_counts(now);
        let has_recovered = self.lag <= RESUME_LAG;
        self.is_late = self.lag >= SHED_LAG || (self.is_late && !has_recovered);
        self.rotation.update(now, self.is_late, has_recovered)
    }

    /// Records the event loop's use while so many requests are in progress.
    pub fn observe_use(&mut self, now: Instant, used: LoopUse, requests: usize) {
        let in_time = self.recent_lag < ADMIT_ALL_LAG;
        self.rotation.observe(now, used, requests, in_time);
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
        self.rotation.is_out()
    }

    /// Returns whether the event loop is late; otherwise the router may be out of rotation because it is
    /// full.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.is_late
    }

    /// Returns the router's room.
    #[must_use]
    pub fn rotation(&self) -> &Rotation {
        &self.rotation
    }

    /// Returns whether streams may be refused while so many requests are in progress.
    #[must_use]
    pub fn may_refuse(&self, requests: usize) -> bool {
        self.sheds_connections()
            || self.rotation.is_crowded(requests)
            || !self.admits_stream(Connection::New, None, 0.0, 0.0)
    }

    /// Returns whether there is room for a stream while so many requests are in progress; leaves the
    /// rotation if a new connection finds none.
    ///
    /// Only the workspace that requests most of the streams is refused: on new connections what is beyond
    /// the room, and, until the platform has noticed, the smaller streams of a workspace below its share.
    /// What it is due in those seconds has to come from this router, and each connection that is closed
    /// is replaced at once.
    pub fn has_room(
        &mut self,
        now: Instant,
        connection: Connection,
        workspace: Option<WorkspaceHash>,
        shortfall: f64,
        charge: f64,
        requests: usize,
    ) -> bool {
        let is_new = connection == Connection::New;
        let is_full = is_new && !self.rotation.has_room(requests);
        let needed = if self.time_to_notice(now).is_zero() {
            0.0
        } else {
            shortfall * MAX_SELECTIVITY * self.mean_charge
        };
        let is_refused = is_full || charge < needed || (is_new && self.recent_lag >= SHED_LAG);
        if !is_refused || !workspace.is_some_and(|w| self.is_dominant(w)) {
            return true;
        }
        if is_full {
            self.rotation.leave(now);
        }
        false
    }

    /// Returns the time until the platform has noticed that new connections should go elsewhere.
    #[must_use]
    pub fn time_to_notice(&self, now: Instant) -> Duration {
        self.rotation.time_to_notice(now)
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
        connection: Connection,
        workspace: Option<WorkspaceHash>,
        shortfall: f64,
        charge: f64,
    ) -> bool {
        let raise = |from: Duration, to: Duration| from + (to - from).mul_f64(shortfall);
        let (low, high) = match connection {
            Connection::New => (
                raise(ADMIT_ALL_LAG, REFUSE_OVER_SHARE_LAG),
                raise(REFUSE_OVER_SHARE_LAG, REFUSE_ALL_LAG),
            ),
            Connection::Kept => (REFUSE_OVER_SHARE_LAG, REFUSE_ALL_LAG),
        };
        let fraction = excess_fraction(self.lag, low, high);
        let is_late = connection == Connection::New && self.recent_lag > ADMIT_ALL_LAG;
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
