//! One rollout, from its order to its end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::engine::Server;
use crate::placement::{self, name_hash};

use super::exposure::Exposure;
use super::order::{Bounds, Order, State, Status};
use super::report::{RolloutReport, ZoneEvidence, decode_state, encode_state};
use super::verdict::{Tally, Verdict};
use super::{Learner, VersionCounts};

/// Responses of the new version without which it does not replace the old one.
pub const MIN_RESPONSES: u64 = 20;
/// Shortest time before the limit at which a rollout is decided: that of a slow write and two tries.
const MIN_MARGIN: Duration = Duration::from_millis(600);
/// Time before the limit at which a rollout is decided, as a fraction of its duration.
const MARGIN_FRACTION: f64 = 0.05;
/// Greatest part of the share that is kept for that time, which bounds the time.
const MAX_RESERVE_FRACTION: f64 = 0.6;
/// Factor on the margin's part of the requests, which is kept for the time after completion.
const RESERVE_FACTOR: f64 = 1.25;
/// Fraction of the duration in which only a part of the share is used.
const CANARY_TIME: f64 = 1.0 / 3.0;
/// Part of the share that is used in that time.
const CANARY_FRACTION: f64 = 0.5;
/// Part of the slack that routers may use; the rest is for requests that were counted and never
/// arrived.
const SLACK_FRACTION: f64 = 0.5;
/// Greatest number of requests to the new version by which a router's first one is delayed.
const MAX_OFFSET: f64 = 0.5;
/// Slots of the new servers relative to the requests in progress, without which they do not replace
/// the old ones.
const MIN_CAPACITY: f64 = 1.2;
/// Time that a router waits for each one that ranks higher.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Time between two calls of a router to the store for an order.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Rank from which the wait no longer grows by the rank.
const MAX_RANK: u32 = 5;
/// Step and number of steps of the further wait from that rank on.
const LATE_STEP: Duration = Duration::from_millis(100);
const LATE_STEPS: u32 = 16;

/// Evidence of one router by zone and version.
type Evidence = BTreeMap<(u32, bool), Tally>;

/// Event and values of a log line.
pub(super) type Line = (&'static str, String);

/// State of one order.
#[derive(Debug)]
pub(super) struct Rollout {
    bounds: Bounds,
    /// Version of the order's row.
    pub(super) version: u64,
    pub(super) to: String,
    pub(super) duration: Duration,
    /// When any router first knew the order, as far as this one knows.
    learned: Instant,
    /// Whether this router knows that the order had no earlier state, or which.
    pub(super) is_known: bool,
    pub(super) credit: f64,
    /// State in force at this router.
    pub(super) state: State,
    /// State in the store, as far as this router knows.
    pub(super) recorded: Option<State>,
    reason: String,
    pub(super) exposure: Exposure,
    /// Why this router stopped the new version.
    pub(super) stopped: Option<String>,
    /// Whether this router has seen servers of another version since it knew the order.
    pub(super) saw_others: bool,
    /// Versions that were first seen with the order or while it was in progress, and have none
    /// themselves: that of an order may have been replaced before this router read it.
    unordered: BTreeSet<String>,
    /// Whether another version has servers, which is neither unordered nor barred.
    has_established: bool,
    /// New servers that get requests while the part grows, by hash.
    focus: Vec<u32>,
    /// Number of new servers that are open.
    new_servers: usize,
    /// Slots of the new servers that are open and warm.
    new_slots: f64,
    /// Requests in progress at all servers.
    running: f64,
    own: Evidence,
    peers: BTreeMap<u32, (u64, Evidence)>,
    verdict: Verdict,
    /// Whether the order's row is gone or can't be read.
    pub(super) withdrawn: bool,
    /// Whether this router saw the order appear, so that it knows its age.
    is_witness: bool,
    /// Whether this router has read the status row since it knew the order: the row names versions
    /// that get no requests, of orders that this router may not have seen.
    has_read: bool,
    /// When this router last called the store for the order.
    asked: Option<Instant>,
    /// State that is to be recorded, and since when.
    due: Option<(State, Instant)>,
    router: u32,
}

impl Rollout {
    /// Creates the state of an order that a router learns of.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn new(
        now: Instant,
        bounds: Bounds,
        order: &Order,
        to: &str,
        learner: &Learner,
        is_witness: bool,
    ) -> Self {
        let slack = if is_witness { bounds.slack } else { 0.0 };
        let credit = slack * SLACK_FRACTION / learner.routers.max(1) as f64;
        let draw = placement::draw(order.version, learner.router);
        Self {
            bounds,
            version: order.version,
            to: to.to_owned(),
            duration: order.duration,
            learned: now,
            is_known: is_witness && learner.had_config,
            credit,
            state: State::InProgress,
            recorded: None,
            reason: String::new(),
            exposure: Exposure::new(credit, draw * MAX_OFFSET),
            stopped: None,
            saw_others: false,
            unordered: BTreeSet::new(),
            has_established: false,
            focus: Vec::new(),
            new_servers: 0,
            new_slots: 0.0,
            running: 0.0,
            own: Evidence::new(),
            peers: BTreeMap::new(),
            verdict: Verdict::default(),
            withdrawn: false,
            is_witness,
            has_read: false,
            asked: None,
            due: None,
            router: learner.router,
        }
    }

    /// Returns how long before its time limit the rollout is decided.
    fn margin(&self) -> Duration {
        let part = self.duration.mul_f64(MARGIN_FRACTION).max(MIN_MARGIN);
        let reserve = self.bounds.share * MAX_RESERVE_FRACTION;
        part.min(self.duration.mul_f64(reserve / RESERVE_FACTOR))
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.learned)
    }

    /// Returns the part of the requests that the new version may get by now.
    fn share(&self, now: Instant) -> f64 {
        let all = self.bounds.share;
        let length = self.duration.as_secs_f64().max(0.001);
        let reserve = self.margin().as_secs_f64() / length * RESERVE_FACTOR;
        let share = (all - reserve).max(0.0);
        if self.is_growing(now) {
            share
        } else {
            share * CANARY_FRACTION
        }
    }

    fn is_growing(&self, now: Instant) -> bool {
        self.age(now) >= self.duration.mul_f64(CANARY_TIME)
    }

    /// Returns whether the next request may go to the new version.
    pub(super) fn allows(&self, now: Instant) -> bool {
        self.is_known
            && self.state == State::InProgress
            && !self.withdrawn
            && self.stopped.is_none()
            && self.exposure.allows(self.share(now))
    }

    /// Returns whether a server of the new version is one of those that get requests now.
    pub(super) fn has_focus(&self, server: u32, now: Instant) -> bool {
        !self.is_growing(now) || self.focus.contains(&server)
    }

    /// Records the servers of the service; `barred` versions take no part in the rollout.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub(super) fn observe_servers(
        &mut self,
        now: Instant,
        servers: &[&Server],
        barred: &BTreeSet<String>,
    ) {
        let is_new = |s: &&&Server| s.backend.version == self.to;
        let new: Vec<&&Server> = servers
            .iter()
            .filter(|s| is_new(s) && s.is_open(now))
            .collect();
        let is_barred = |s: &&&Server| barred.contains(&s.backend.version);
        let old = servers.iter().filter(|s| !is_new(s) && !is_barred(s));
        let is_unordered = |s: &&Server| self.unordered.contains(&s.backend.version);
        self.has_established = old.clone().any(|s| !is_unordered(s));
        let old = old.count();
        self.saw_others |= old > 0;
        self.new_servers = new.len();
        let warm = new.iter().filter(|s| !s.is_cold(now));
        self.new_slots = warm.map(|s| f64::from(s.backend.slots)).sum();
        self.running = servers.iter().map(|s| f64::from(s.load().running)).sum();
        let mut ranked: Vec<u32> = new.iter().map(|s| s.hash).collect();
        ranked.sort_by_key(|hash| placement::weight(self.version, *hash));
        // Each gets about the requests that one old server had.
        let count = (self.bounds.share * old as f64).ceil().max(1.0) as usize;
        ranked.truncate(count);
        self.focus = ranked;
    }

    /// Records that a version was seen which no order or configuration is known to allow.
    pub(super) fn observe_unordered(&mut self, version: &str) {
        if self.state == State::InProgress && version != self.to {
            self.unordered.insert(version.to_owned());
        }
    }

    /// Returns whether a version other than the new one was in service before the order, as far as
    /// this router knows.
    pub(super) fn is_old(&self, version: &str) -> bool {
        version != self.to && !(self.has_established && self.unordered.contains(version))
    }

    /// Counts a response in this router's evidence.
    pub(super) fn count(&mut self, zone: u32, version: &str, record: impl Fn(&mut Tally)) {
        let is_new = version == self.to;
        record(self.own.entry((zone, is_new)).or_default());
        let mut one = Tally::default();
        record(&mut one);
        self.verdict.add(zone, is_new, &one);
    }

    /// Evaluates the evidence; returns the values of a log line if the new version is stopped.
    pub(super) fn evaluate(&mut self, now: Instant) -> Option<String> {
        let fault = self.verdict.evaluate(now)?;
        // Without an old version in service there is nothing to compare with or to go back to.
        if self.state.is_final() || self.stopped.is_some() || !self.saw_others {
            return None;
        }
        let reason = format!("{fault:?}").to_lowercase();
        self.stop(&reason);
        let (failures, slow) = self.verdict.sums();
        Some(format!(
            "order={} to={} reason={reason} responses={} failure_sum={failures:.1} slow_sum={slow:.1}",
            self.version,
            self.to,
            self.verdict.responses(),
        ))
    }

    fn stop(&mut self, reason: &str) {
        reason.clone_into(&mut self.reason);
        self.stopped = Some(reason.to_owned());
    }

    /// Returns the state that the store should have, and why.
    fn wanted(&self, now: Instant) -> (State, &str) {
        if self.state.is_final() {
            return (self.state, &self.reason);
        }
        if !self.saw_others && self.new_servers > 0 && self.recorded.is_none() {
            return (State::Completed, "in_service");
        }
        if let Some(reason) = &self.stopped {
            return (State::Reverted, reason);
        }
        if self.age(now) + self.margin() < self.duration {
            return (State::InProgress, "");
        }
        if self.new_servers == 0 {
            (State::Reverted, "no_server")
        } else if self.verdict.responses() < MIN_RESPONSES {
            (State::Reverted, "no_evidence")
        } else if self.new_slots < self.running * MIN_CAPACITY {
            (State::Reverted, "no_capacity")
        } else {
            (State::Completed, "good")
        }
    }

    /// Returns whether this router should call the store now, and with which status; `rank` is its
    /// rank among the routers for this order.
    pub(super) fn proposal(
        &mut self,
        now: Instant,
        epoch_ms: u64,
        rank: usize,
    ) -> Option<Option<Status>> {
        if self.withdrawn || self.asked.is_some_and(|at| now < at + ASK_INTERVAL) {
            return None;
        }
        if !self.is_known {
            self.asked = Some(now);
            return Some(None);
        }
        let (state, reason) = self.wanted(now);
        if self.recorded.is_some_and(|r| r == state || r.is_final()) {
            self.due = None;
            return self.proposal_to_read(now, rank);
        }
        let reason = reason.to_owned();
        let since = match self.due {
            Some((due, since)) if due == state => since,
            _ => now,
        };
        self.due = Some((state, since));
        if now.saturating_duration_since(since) < self.delay(rank) {
            return None;
        }
        self.asked = Some(now);
        let age = u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX);
        Some(Some(Status {
            order: self.version,
            to: self.to.clone(),
            state,
            reason,
            started: epoch_ms.saturating_sub(age),
            barred: BTreeSet::new(),
        }))
    }

    fn proposal_to_read(&mut self, now: Instant, rank: usize) -> Option<Option<Status>> {
        if self.has_read || self.age(now) < self.delay(rank) {
            return None;
        }
        self.asked = Some(now);
        Some(None)
    }

    /// Returns whether a proposed status is still the one that the store should have.
    pub(super) fn is_wanted(&self, now: Instant, status: &Status) -> bool {
        let is_own = status.order == self.version && status.to == self.to;
        is_own && !self.withdrawn && status.state == self.wanted(now).0
    }

    fn delay(&self, rank: usize) -> Duration {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX).min(MAX_RANK);
        let late = if rank == MAX_RANK {
            LATE_STEP * (self.router % LATE_STEPS)
        } else {
            Duration::ZERO
        };
        RANK_DELAY * rank + late
    }

    /// Applies the status row; returns a log line if it changes the state.
    pub(super) fn apply_status(
        &mut self,
        now: Instant,
        epoch_ms: u64,
        status: Option<&Status>,
    ) -> Option<Line> {
        self.is_known = true;
        self.has_read = true;
        let own = status.filter(|s| s.order == self.version && s.to == self.to);
        let Some(status) = own else {
            self.recorded = None;
            return None;
        };
        self.recorded = Some(status.state);
        let limit = self.duration + self.bounds.max_skew;
        let age = Duration::from_millis(epoch_ms.saturating_sub(status.started)).min(limit);
        // The clock of the router that wrote it may be behind.
        self.observe_age(now, age.saturating_sub(self.bounds.max_skew));
        let reason = status.reason.clone();
        self.adopt(now, status.state, &reason, "store")
    }

    /// Records how old the order is at least; a router that saw it appear knows that itself.
    fn observe_age(&mut self, now: Instant, age: Duration) {
        if !self.is_witness {
            let since = now.checked_sub(age).unwrap_or(now);
            self.learned = self.learned.min(since);
        }
    }

    /// Puts a recorded state in force, unless a final one is; returns a log line if it changes.
    fn adopt(&mut self, now: Instant, state: State, reason: &str, source: &str) -> Option<Line> {
        if self.state.is_final() || self.state == state {
            return None;
        }
        self.state = state;
        reason.clone_into(&mut self.reason);
        let (sent, sent_new) = self.exposure.counts();
        let detail = format!(
            "order={} to={} state={} reason={reason} source={source} age_ms={} sent={sent} sent_new={sent_new} responses={}",
            self.version,
            self.to,
            state.name(),
            self.age(now).as_millis(),
            self.verdict.responses(),
        );
        Some(("rollout_ended", detail))
    }

    /// Returns whether a report is about this order.
    pub(super) fn is_order_of(&self, report: &RolloutReport) -> bool {
        report.order == self.version && report.to == name_hash(&self.to)
    }

    /// Returns what this router tells the others.
    pub(super) fn report(&self, now: Instant, service: u32) -> RolloutReport {
        let evidence = self.own.iter().filter(|_| !self.state.is_final());
        RolloutReport {
            service,
            order: self.version,
            to: name_hash(&self.to),
            age: u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX),
            state: encode_state(Some(self.state).filter(|s| s.is_final()).or(self.recorded)),
            stopped: self.stopped.is_some(),
            evidence: evidence
                .map(|((zone, is_new), tally)| ZoneEvidence::new(*zone, *is_new, tally))
                .collect(),
        }
    }

    /// Applies what another router told; returns a log line if it changes the state.
    pub(super) fn apply_report(
        &mut self,
        now: Instant,
        (sender, incarnation): (u32, u64),
        report: &RolloutReport,
    ) -> Option<Line> {
        self.observe_age(now, Duration::from_millis(report.age));
        let known = self.peers.entry(sender).or_default();
        if known.0 != incarnation {
            // The totals of a restarted router begin anew.
            *known = (incarnation, Evidence::new());
        }
        for zone in &report.evidence {
            let total = zone.tally();
            let before = known.1.entry((zone.zone, zone.is_new)).or_default();
            let change = total.since(before);
            self.verdict.add(zone.zone, zone.is_new, &change);
            *before = total;
        }
        if report.stopped && self.stopped.is_none() && !self.state.is_final() {
            self.stop("peer");
            let detail = format!("order={} to={} reason=peer", self.version, self.to);
            return Some(("rollout_stopped", format!("{detail} router={sender:08x}")));
        }
        let state = decode_state(report.state)?;
        self.is_known = true;
        if self.recorded.is_none_or(|r| !r.is_final()) {
            self.recorded = Some(state);
        }
        self.adopt(now, state, "", "router")
    }

    /// Returns this router's counts of the old and the new version.
    pub(super) fn counts(&self) -> [VersionCounts; 2] {
        let (sent, sent_new) = self.exposure.counts();
        [false, true].map(|is_new| {
            let tallies = self.own.iter().filter(|((_, new), _)| *new == is_new);
            let mut sum = Tally::default();
            tallies.for_each(|(_, tally)| sum.add(tally));
            VersionCounts {
                sent: if is_new {
                    sent_new
                } else {
                    sent.saturating_sub(sent_new)
                },
                responses: sum.responses,
                failures: sum.failures,
            }
        })
    }
}
