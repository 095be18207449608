//! Whether callers' new connections should come to this router, by the streams that it has room for.
//!
//! The platform balances connections alone. A caller's new connection goes to the first router in
//! rotation of an order of its own; an open one stays, and the caller's next requests come on it. So the
//! callers of a workspace that becomes active all open connections to one router, until it has left the
//! rotation and the platform has noticed. A router that leaves once it has as many streams as it can
//! forward keeps their connections, and the next router in the order is filled in the same way. One that
//! leaves when it is late has to refuse, which closes connections: its callers move on as one crowd and
//! return as one.
//!
//! What a stream costs is learned from the router's own event loop, so that a small host fills up with
//! fewer streams than a large one.

use std::time::{Duration, Instant};

use hibiscusrail_macros::value;

use crate::window::decay;

/// Fraction of the event loop's time that streams may use, together with the control work, before the
/// router is full. The rest is for refusing the connections that still arrive until the platform has
/// noticed, and for streams that begin together.
const FULL_USE: f64 = 0.9;
/// Least fraction of the time for streams, whatever the control work takes.
const MIN_STREAM_USE: f64 = 0.25;
/// Fraction of the room for streams that is used at most when the router returns: in the second or more
/// until the platform looks again, all new connections of some callers come here.
const RETURN_FRACTION: f64 = 0.4;
/// Fraction of the room from which the first request on a new connection is decided on before the
/// connection is served, since a refusal is cheaper there.
const CROWDED_FRACTION: f64 = 0.5;
/// Time constant of the means of use: a fraction of the second between two readiness checks.
const AVERAGING_TIME: Duration = Duration::from_millis(500);
/// Time constant with which a stream's cost is learned: the length of a stream.
const COST_TIME: Duration = Duration::from_secs(2);
/// Streams in progress, multiplied by their time in seconds, from which their cost is learned.
const MIN_STREAM_SECONDS: f64 = 1.0;
/// Time until the platform has noticed that a router is not ready: it checks once per second and acts on
/// the second failed check.
const NOTICE_TIME: Duration = Duration::from_secs(2);
/// Minimum time out of rotation: above [`NOTICE_TIME`], so that the platform has noticed.
const MIN_TIME_OUT: Duration = Duration::from_millis(2_500);

/// Fractions of its time that an event loop used since it was last observed.
#[value]
#[derive(Default)]
pub struct LoopUse {
    /// Reports, the store, and accepting or refusing connections.
    pub control: f64,
    /// Requests and their streams.
    pub requests: f64,
}

/// Room of this router for streams, and whether it is in rotation.
#[derive(Debug, Default)]
pub struct Rotation {
    observed_at: Option<Instant>,
    /// Mean use by control work.
    control: f64,
    /// Fraction of the time that a stream in progress uses; zero until it is known.
    stream_cost: f64,
    /// Use by requests and streams in progress, both multiplied by the time in seconds.
    learned: (f64, f64),
    /// Mean of the streams in progress.
    streams: f64,
    out_since: Option<Instant>,
}

impl Rotation {
    /// Records the event loop's use while `streams` were in progress, among which the few plain requests
    /// count too. Their cost is learned only while the loop is in time, as a late one forwards several
    /// events at once.
    #[allow(clippy::cast_precision_loss)]
    pub fn observe(&mut self, now: Instant, used: LoopUse, streams: usize, in_time: bool) {
        let Some(before) = self.observed_at.replace(now) else {
            return;
        };
        let elapsed = now.saturating_duration_since(before);
        let weight = decay(elapsed, AVERAGING_TIME);
        let mean = |old: f64, new: f64| old * weight + new * (1.0 - weight);
        self.control = mean(self.control, used.control);
        self.streams = mean(self.streams, streams as f64);
        if !in_time {
            return;
        }
        let kept = decay(elapsed, COST_TIME);
        let seconds = elapsed.as_secs_f64();
        let (cost, time) = self.learned;
        let cost = cost * kept + used.requests * seconds;
        let time = time * kept + streams as f64 * seconds;
        self.learned = (cost, time);
        if time >= MIN_STREAM_SECONDS {
            self.stream_cost = cost / time;
        }
    }

    /// Returns the fraction of the room for streams that so many would use; more than 1 if they don't
    /// fit.
    fn fraction(&self, streams: f64) -> f64 {
        let room = (FULL_USE - self.control).max(MIN_STREAM_USE);
        streams * self.stream_cost / room
    }

    /// Returns the mean fraction of the room that was used.
    #[must_use]
    pub fn used(&self) -> f64 {
        self.fraction(self.streams)
    }

    /// Returns whether new connections should go to other routers.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.out_since.is_some()
    }

    /// Returns whether the router is near full with a further stream.
    #[must_use]
    pub fn is_crowded(&self, streams: usize) -> bool {
        self.part_with(streams) > CROWDED_FRACTION
    }

    /// Returns whether a further stream fits.
    #[must_use]
    pub fn has_room(&self, streams: usize) -> bool {
        self.part_with(streams) <= 1.0
    }

    #[allow(clippy::cast_precision_loss)]
    fn part_with(&self, streams: usize) -> f64 {
        self.fraction((streams + 1) as f64)
    }

    /// Leaves the rotation.
    pub fn leave(&mut self, now: Instant) {
        self.out_since.get_or_insert(now);
    }

    /// Leaves the rotation if the event loop is late or the router is full, and returns to it once
    /// there is room again; returns whether either happened.
    pub fn update(&mut self, now: Instant, is_late: bool, has_recovered: bool) -> bool {
        match self.out_since {
            None if is_late || self.used() >= 1.0 => {
                self.leave(now);
                true
            }
            Some(since)
                if has_recovered
                    && self.used() <= RETURN_FRACTION
                    && now.saturating_duration_since(since) >= MIN_TIME_OUT =>
            {
                self.out_since = None;
                true
            }
            _ => false,
        }
    }

    /// Returns the time until the platform sends new connections to another router; zero if this one is in
    /// rotation, or the platform has noticed that it is not.
    #[must_use]
    pub fn time_to_notice(&self, now: Instant) -> Duration {
        let until = self.out_since.map(|since| since + NOTICE_TIME);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
