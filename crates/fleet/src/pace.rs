//! Pace of requests to a server that has just started or recovered.
//!
//! The pace is a multiple of the cold limit. It stays at the limit while the server is cold, then
//! grows from there while first bytes come about as soon as expected, and falls at the first sign
//! that the server can't keep up. Every router derives it from the same rules, and the evidence
//! travels in the reports. A router without evidence lets it grow slowly, so that its callers reach
//! a sound server in the end. The growth per time is bounded, so the sum over all routers is too,
//! whatever each of them knows.

use std::time::{Duration, Instant};

use prost::Message;

/// Time in which the pace doubles while the server responds as expected.
const DOUBLING_TIME: Duration = Duration::from_millis(500);
/// Time in which the pace doubles without evidence.
const BLIND_DOUBLING_TIME: Duration = Duration::from_secs(2);
/// Time for which a response as expected lets the pace grow.
const EVIDENCE_TTL: Duration = Duration::from_secs(1);
/// Time after a cut without growth or a further cut: requests sent before it still end then.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Factor of a cut.
const CUT_FACTOR: f64 = 0.5;
/// Lowest pace; some requests must show that the server has recovered.
const MIN_LEVEL: f64 = 0.25;
/// Pace from which the server is not limited: the cold rate is a small part of its capacity.
const FULL_LEVEL: f64 = 64.0;
/// Factor on the expected first byte time up to which a response is as expected.
const SOON_FACTOR: u32 = 2;
/// Time in addition for the connection and the round trip.
const SOON_SLACK: Duration = Duration::from_millis(50);
/// Factor on the expected first byte time from which a response is late.
const LATE_FACTOR: u32 = 3;
/// Time in addition, for a prompt of another router that is not reported yet.
const LATE_SLACK: Duration = Duration::from_millis(150);

/// Evidence about a paced server, for reports.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PaceNotice {
    /// Hash of the server's id.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Low bits of the server's start time, which tell its lives apart.
    #[prost(fixed32, tag = "2")]
    pub life: u32,
    /// Milliseconds since the newest response as expected; none without one.
    #[prost(uint32, optional, tag = "3")]
    pub good_age: Option<u32>,
    /// Milliseconds since the newest cut; none without one.
    #[prost(uint32, optional, tag = "4")]
    pub cut_age: Option<u32>,
}

/// Pace of requests to one server, as a multiple of the cold limit.
#[derive(Debug, Clone)]
pub struct Pace {
    level: f64,
    /// When `level` was computed.
    at: Instant,
    /// When the newest response came as expected.
    good_at: Option<Instant>,
    /// When the pace was last cut.
    cut_at: Option<Instant>,
    /// The part of this evidence that this router has seen itself. Only that is reported: evidence that
    /// is passed on would come back as new, by the time that reports take.
    own_good: Option<Instant>,
    own_cut: Option<Instant>,
}

impl Pace {
    /// Creates the pace of a server that starts or recovers now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            level: 1.0,
            at: now,
            good_at: None,
            cut_at: None,
            own_good: None,
            own_cut: None,
        }
    }

    /// Returns the pace, given the end of the cold period.
    #[must_use]
    pub fn level(&self, now: Instant, cold_until: Option<Instant>) -> f64 {
        let is_cold = cold_until.is_some_and(|until| now < until);
        let mut start = self.at;
        if let Some(until) = cold_until.filter(|_| !is_cold) {
            start = start.max(until);
        }
        if let Some(at) = self.cut_at {
            start = start.max(at + HOLD_TIME);
        }
        let seen_until = self.good_at.map_or(start, |at| now.min(at + EVIDENCE_TTL));
        let seen = seen_until.saturating_duration_since(start);
        let blind = now.saturating_duration_since(start).saturating_sub(seen);
        let doublings = seen.as_secs_f64() / DOUBLING_TIME.as_secs_f64()
            + blind.as_secs_f64() / BLIND_DOUBLING_TIME.as_secs_f64();
        let highest = if is_cold { 1.0 } else { FULL_LEVEL };
        let before = if is_cold {
            self.level.min(1.0)
        } else {
            self.level
        };
        (before * doublings.min(64.0).exp2()).min(highest)
    }

    /// Returns whether the pace no longer limits the server.
    #[must_use]
    pub fn is_full(&self, now: Instant, cold_until: Option<Instant>) -> bool {
        self.level(now, cold_until) >= FULL_LEVEL
    }

    /// Fixes the present pace, before what it depends on changes.
    pub fn settle(&mut self, now: Instant, cold_until: Option<Instant>) {
        self.level = self.level(now, cold_until);
        self.at = self.at.max(now);
    }

    /// Records how long a first byte took that was expected after `expected`; returns whether the
    /// pace was cut.
    pub fn record_first_byte(
        &mut self,
        now: Instant,
        cold_until: Option<Instant>,
        expected: Duration,
        took: Duration,
    ) -> bool {
        if took > expected * LATE_FACTOR + LATE_SLACK {
            return self.cut(now, cold_until);
        }
        if took <= expected * SOON_FACTOR + SOON_SLACK {
            self.settle(now, cold_until);
            self.good_at = Some(now);
            self.own_good = Some(now);
        }
        false
    }

    /// Cuts the pace for a sign seen now that the server can't keep up; returns whether it is a new
    /// one.
    pub fn cut(&mut self, now: Instant, cold_until: Option<Instant>) -> bool {
        let is_new = self.apply_cut(now, now, cold_until);
        if is_new {
            self.own_cut = Some(now);
        }
        is_new
    }

    fn apply_cut(&mut self, now: Instant, at: Instant, cold_until: Option<Instant>) -> bool {
        let is_known = |cut: Instant| at < cut + HOLD_TIME;
        if self.cut_at.is_some_and(is_known) {
            return false;
        }
        self.settle(now, cold_until);
        self.level = (self.level * CUT_FACTOR).max(MIN_LEVEL);
        self.cut_at = Some(at);
        true
    }

    /// Takes up the evidence that another router reports.
    pub fn merge(
        &mut self,
        now: Instant,
        cold_until: Option<Instant>,
        notice: &PaceNotice,
    ) -> bool {
        let at = |age: u32| now.checked_sub(Duration::from_millis(u64::from(age)));
        if let Some(good_at) = notice.good_age.and_then(at) {
            self.settle(now, cold_until);
            self.good_at = self.good_at.max(Some(good_at));
        }
        let cut_at = notice.cut_age.and_then(at);
        cut_at.is_some_and(|at| self.apply_cut(now, at, cold_until))
    }

    /// Returns the evidence for a report; none if nothing is new.
    #[must_use]
    pub fn notice(&self, now: Instant, server: u32, life: u32) -> Option<PaceNotice> {
        let age = |at: Option<Instant>| {
            let age = now.saturating_duration_since(at?);
            (age < EVIDENCE_TTL).then(|| u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
        };
        let (good_age, cut_age) = (age(self.own_good), age(self.own_cut));
        (good_age.is_some() || cut_age.is_some()).then_some(PaceNotice {
            server,
            life,
            good_age,
            cut_age,
        })
    }
}
