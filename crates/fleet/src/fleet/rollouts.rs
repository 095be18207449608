//! Passing of events to the rollouts.

use std::time::{Duration, Instant};

use crate::event::{Outcome, RequestKey};
use crate::objects::Revision;
use crate::peers::Report;
use crate::placement;
use crate::rollout::order::{Proposal, Status};
use crate::rollout::zone_paths::Failure;
use crate::rollout::{Learner, Rollouts, Turn};

use super::{Attempt, Fleet, Request};

/// Expected time to first byte that times are related to; shorter ones say little.
const MIN_EXPECTED: Duration = Duration::from_millis(20);
/// Longest time that a report is under way, so that one that arrives later than this after a failure
/// was sent after it.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Time to first byte that a server counts with which was silent until its request was replaced.
const SILENT_TIME: Duration = Duration::from_secs(10);

impl Fleet {
    /// Returns the rollouts.
    #[must_use]
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the calls to the store that this router should make for rollouts now; `epoch_ms` is
    /// the time of day.
    pub fn rollout_proposals(&mut self, now: Instant, epoch_ms: u64) -> Vec<Proposal> {
        let (members, own) = (self.members.all(), self.own_hash.0);
        let rank = |seed: u64| {
            let weight = |router: u32| placement::weight(seed, router);
            members.iter().filter(|m| weight(**m) > weight(own)).count()
        };
        self.rollouts.proposals(now, epoch_ms, rank)
    }

    /// Returns the status to write for a proposal, now that the status row was read; none if it is
    /// not right any more.
    pub fn confirm_rollout(
        &mut self,
        now: Instant,
        proposal: &Proposal,
        read: Option<&Status>,
    ) -> Option<Status> {
        self.rollouts.confirm(now, proposal, read)
    }

    pub(super) fn apply_rollout_orders(&mut self, now: Instant, revision: Revision, first: bool) {
        let learner = Learner {
            router: self.own_hash.0,
            routers: self.router_count(),
            had_config: !first,
        };
        let orders = &self.config.rollouts;
        self.rollouts.apply_orders(now, revision, orders, &learner);
        let confirmed = self.config_freshness.own();
        self.rollouts.config_confirmed(confirmed.map(|c| c.at));
        self.rollouts.observe_servers(now, self.registry.all());
        self.log_rollouts();
    }

    pub(super) fn apply_rollout_status(
        &mut self,
        now: Instant,
        epoch_ms: u64,
        service: &str,
        status: Option<&Status>,
    ) {
        self.rollouts.apply_status(now, epoch_ms, service, status);
        self.log_rollouts();
    }

    pub(super) fn apply_rollout_reports(&mut self, now: Instant, report: &Report) {
        let sender = (report.sender, report.incarnation);
        self.rollouts.apply_reports(now, sender, &report.rollouts);
        if let Some(sent_at) = now.checked_sub(REPORT_DELAY) {
            self.rollouts.record_zone_contact(now, report.zone, sent_at);
        }
        self.log_rollouts();
    }

    pub(super) fn tick_rollouts(&mut self, now: Instant) {
        self.rollouts.tick(now);
        self.rollouts.observe_servers(now, self.registry.all());
        self.log_rollouts();
    }

    fn log_rollouts(&mut self) {
        for (event, service, detail) in self.rollouts.take_lines() {
            self.log(event, &service, detail);
        }
    }

    /// Returns which versions a request may go to now; none without a rollout.
    pub(super) fn rollout_turn(&self, now: Instant, request: &Request) -> Option<Turn> {
        let service = &request.submission.service;
        let is_repeat = !request.tried.is_empty();
        let version = request.version.as_deref();
        self.rollouts.turn(now, service, version, is_repeat)
    }

    /// Returns the versions that a new request may not be sent to now. An order names its version to
    /// all routers, so only a stream that may be taken up waits: a router that has neither the order
    /// nor the servers would take it for one of the old version.
    pub(super) fn closed_versions(&self, now: Instant, request: &Request) -> Vec<&str> {
        let service = &request.submission.service;
        let ordered = self.rollouts.ordered_version(service);
        let known = ordered.filter(|_| !request.submission.resumable);
        let mut versions = self.versions.too_new(now, service, known);
        versions.extend(self.unrecordable_versions(now, request));
        versions
    }

    /// Counts the time to first byte of an attempt for the rollout of its service.
    pub(super) fn record_rollout_time(&mut self, now: Instant, key: RequestKey) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let Some(attempt) = request.attempt.as_ref().filter(|a| !a.cold) else {
            return;
        };
        let took = now.saturating_duration_since(attempt.sent_at);
        let unit = attempt.expected.max(MIN_EXPECTED).as_secs_f64() / MIN_EXPECTED.as_secs_f64();
        let time = match request.submission.prompt {
            Some(_) => took.div_f64(unit),
            None => took,
        };
        let service = &request.submission.service;
        self.rollouts
            .record_time(service, &attempt.version, attempt.zone, time);
    }

    /// Counts the end of an attempt for the rollout of its service.
    pub(super) fn record_rollout_outcome(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let service = &request.submission.service;
        let failed = match outcome {
            Outcome::Answered => false,
            Outcome::Broken if attempt.began_at.is_none() => {
                return self.record_rollout_connection(now, key, attempt);
            }
            Outcome::Failed
            | Outcome::Broken
            | Outcome::Invalid
            | Outcome::Oversized
            | Outcome::Expired => true,
            Outcome::Unreachable => {
                self.rollouts.record_unsent(service);
                return self.record_rollout_connection(now, key, attempt);
            }
            Outcome::Withdrawn => return self.rollouts.record_unsent(service),
            Outcome::NotRun | Outcome::Misdirected | Outcome::Left => return,
        };
        self.rollouts
            .record_response(service, &attempt.version, attempt.zone, failed);
    }

    /// Counts a connection that failed before a response began for the rollout of its service.
    fn record_rollout_connection(&mut self, now: Instant, key: RequestKey, attempt: &Attempt) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let failure = Failure {
            service: request.submission.service.clone(),
            version: attempt.version.clone(),
            zone: attempt.zone,
            sent_at: attempt.sent_at,
            at: now,
        };
        let is_own_zone = attempt.zone == placement::name_hash(&self.params.zone);
        self.rollouts
            .record_connection_failure(failure, is_own_zone);
    }

    /// Counts an attempt at a silent server that was replaced.
    pub(super) fn record_rollout_silence(&mut self, key: RequestKey, attempt: &Attempt) {
        let Some(request) = self.requests.get(&key).filter(|r| !r.started) else {
            return;
        };
        let service = &request.submission.service;
        let (version, zone) = (&attempt.version, attempt.zone);
        self.rollouts
            .record_time(service, version, zone, SILENT_TIME);
    }
}
