//! Rollouts of software versions: which requests may reach a new version, and how a rollout ends.
//!
//! * [`order`]: orders of the operator and the recorded status;
//! * [`exposure`]: bound on the requests to the new version;
//! * [`verdict`]: comparison of the responses of both versions;
//! * [`zone_paths`]: failed connections between zones, which may be the network's fault;
//! * [`report`]: what routers tell each other.
//!
//! [`Rollouts`] is the state of one router. Without bounds in the settings it does nothing.

pub mod exposure;
pub mod order;
mod progress;
pub mod report;
pub mod verdict;
pub mod zone_paths;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};

use crate::engine::Server;
use crate::objects::Revision;
use crate::placement::name_hash;

use order::{Bounds, Order, Proposal, State, Status};
use progress::Rollout;
use report::RolloutReport;
use zone_paths::{Failure, ZonePaths};

pub use progress::MIN_RESPONSES;

/// Which versions a request may go to.
#[id]
pub enum Turn {
    /// The versions that were in service before the order.
    Old,
    /// The version that is rolled out.
    New,
    /// The version that is rolled out, as it began the stream which the request takes up.
    Resume,
}

/// Facts of a router that learns of an order.
#[value]
pub struct Learner {
    /// Hash of the router's name.
    pub router: u32,
    /// Number of routers that it knows, with itself.
    pub routers: usize,
    /// Whether it knew an operator configuration before.
    pub had_config: bool,
}

/// Log line of a rollout: event, service and values.
pub type Line = (&'static str, String, String);

/// Counts of a rollout for the metrics, of one version.
#[value]
pub struct VersionCounts {
    /// Requests that this router sent.
    pub sent: u64,
    /// Responses that it received.
    pub responses: u64,
    /// Failures among them.
    pub failures: u64,
}

/// Rollouts of all services, as one router knows them.
#[derive(Debug, Default)]
pub struct Rollouts {
    bounds: Option<Bounds>,
    services: BTreeMap<String, Rollout>,
    /// Orders that this router has known, so that an older copy of the store doesn't bring them back.
    seen: BTreeSet<(String, u64, String)>,
    /// Versions whose rollout was replaced by another before it was completed, by service.
    barred: BTreeMap<String, BTreeSet<String>>,
    /// Services with an order that can't be read.
    held: BTreeSet<String>,
    /// Version of the store when it last confirmed a configuration that this router had.
    store_version: Option<Revision>,
    /// When the operator configuration in force was last confirmed.
    config_at: Option<Instant>,
    /// Versions of each service's servers, and when each was first seen; none if it is from before
    /// this router's first list.
    present: BTreeMap<String, BTreeMap<String, Option<Instant>>>,
    zone_paths: ZonePaths,
    lines: Vec<Line>,
}

impl Rollouts {
    /// Creates the state of a router that knows no orders.
    #[must_use]
    pub fn new(bounds: Option<Bounds>) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Records that the store itself confirmed the configuration in force, and at which version.
    pub fn store_confirmed(&mut self, complete: Revision) {
        self.store_version = self.store_version.max(Some(complete));
    }

    /// Records when the configuration in force was last confirmed by anyone.
    pub fn config_confirmed(&mut self, at: Option<Instant>) {
        self.config_at = self.config_at.max(at);
    }

    /// Forgets what the store has, as it came back from an older copy.
    pub fn store_restored(&mut self) {
        for rollout in self.services.values_mut() {
            rollout.recorded = None;
        }
    }

    /// Applies the orders of an operator configuration.
    pub fn apply_orders(
        &mut self,
        now: Instant,
        revision: Revision,
        orders: &BTreeMap<String, Order>,
        learner: &Learner,
    ) {
        let Some(bounds) = self.bounds else {
            return;
        };
        let is_readable = |service: &String| orders.get(service).is_some_and(|o| o.to.is_some());
        for (service, rollout) in &mut self.services {
            rollout.withdrawn = !is_readable(service);
        }
        self.held.retain(|service| orders.contains_key(service));
        for (service, order) in orders {
            let Some(to) = &order.to else {
                if self.held.insert(service.clone()) {
                    let detail = format!("order={} reason=unreadable", order.version);
                    self.lines
                        .push(("rollout_rejected", service.clone(), detail));
                }
                continue;
            };
            self.held.remove(service);
            let id = (service.clone(), order.version, to.clone());
            if !self.seen.insert(id) {
                continue;
            }
            // The store was read before the order was written, so this process is older than it.
            let known = self.store_version.filter(|v| v.era() == revision.era());
            let is_witness = known.is_some_and(|v| order.version > v.version());
            let rollout = Rollout::new(now, bounds, order, to, learner, is_witness);
            self.replace(service, rollout);
        }
    }

    /// Puts a new order of a service in force.
    fn replace(&mut self, service: &str, mut rollout: Rollout) {
        let before = self.services.get(service);
        for version in self.present.get(service).into_iter().flatten().map(|p| p.0) {
            let was_unordered = before.is_some_and(|b| b.to != *version && !b.is_old(version));
            if was_unordered || !self.admits_unordered(service, version) {
                rollout.observe_unordered(version);
            }
        }
        let detail = format!(
            "order={} to={} duration_ms={} credit={:.2} status_known={}",
            rollout.version,
            rollout.to,
            rollout.duration.as_millis(),
            rollout.credit,
            rollout.is_known,
        );
        self.lines
            .push(("rollout_ordered", service.to_owned(), detail));
        let barred = self.barred.entry(service.to_owned()).or_default();
        barred.remove(&rollout.to);
        let to = rollout.to.clone();
        let before = self.services.insert(service.to_owned(), rollout);
        if let Some(before) = before
            && before.state != State::Completed
            && before.to != to
        {
            barred.insert(before.to);
        }
    }

    /// Returns the services whose rollout has ended.
    pub fn ended(&self) -> impl Iterator<Item = &str> {
        let ended = self.services.iter().filter(|(_, r)| r.state.is_final());
        ended.map(|(service, _)| service.as_str())
    }

    /// Records the servers of a list.
    pub fn observe_servers<'a>(&mut self, now: Instant, servers: impl Iterator<Item = &'a Server>) {
        if self.bounds.is_none() {
            return;
        }
        let mut listed: BTreeMap<&str, Vec<&Server>> = BTreeMap::new();
        for server in servers {
            listed
                .entry(&server.backend.service)
                .or_default()
                .push(server);
        }
        for (service, servers) in listed {
            self.observe_versions(now, service, &servers);
            if let Some(rollout) = self.services.get_mut(service) {
                let barred = self.barred.entry(service.to_owned()).or_default();
                rollout.observe_servers(now, &servers, barred);
            }
        }
    }

    fn observe_versions(&mut self, now: Instant, service: &str, servers: &[&Server]) {
        let is_first = !self.present.contains_key(service);
        let present = self.present.entry(service.to_owned()).or_default();
        let version = |s: &Server| s.backend.version.clone();
        let oldest = servers.iter().min_by_key(|s| s.backend.born);
        let oldest = oldest.map(|s| version(s));
        present.retain(|known, _| servers.iter().any(|s| s.backend.version == *known));
        for server in servers {
            let is_old = is_first && oldest.as_ref() == Some(&server.backend.version);
            let first = (!is_old).then_some(now);
            let rollout = self.services.get_mut(service);
            if first.is_some()
                && !present.contains_key(&server.backend.version)
                && let Some(rollout) = rollout
            {
                rollout.observe_unordered(&server.backend.version);
            }
            present.entry(version(server)).or_insert(first);
        }
    }

    /// Returns which versions of a service a request may go to that is sent now; none if its service
    /// has no rollout in progress.
    ///
    /// `version` is the one that began the stream which the request takes up, and `is_repeat` says
    /// whether the request was sent before.
    #[must_use]
    pub fn turn(
        &self,
        now: Instant,
        service: &str,
        version: Option<&str>,
        is_repeat: bool,
    ) -> Option<Turn> {
        let rollout = self.services.get(service)?;
        let allows = rollout.allows(now);
        match version {
            Some(version) if version == rollout.to && allows => Some(Turn::Resume),
            None if allows && !is_repeat => Some(Turn::New),
            _ => Some(Turn::Old),
        }
    }

    /// Returns whether a server may get a request in this turn, as far as its version decides.
    #[must_use]
    pub fn admits(&self, now: Instant, turn: Option<Turn>, server: &Server) -> bool {
        let (service, version) = (&server.backend.service, server.backend.version.as_str());
        if self.bounds.is_none() {
            return true;
        }
        if self
            .barred
            .get(service)
            .is_some_and(|b| b.contains(version))
        {
            return false;
        }
        let present = self.present.get(service);
        let Some(rollout) = self.services.get(service) else {
            return self.admits_unordered(service, version);
        };
        let is_new = version == rollout.to;
        match rollout.state {
            State::Completed => is_new || !present.is_some_and(|p| p.contains_key(&rollout.to)),
            State::Reverted => rollout.is_old(version),
            State::InProgress if !rollout.saw_others => true,
            State::InProgress => match turn {
                Some(Turn::New) => is_new && rollout.has_focus(server.hash, now),
                Some(Turn::Resume) => is_new,
                Some(Turn::Old) | None => rollout.is_old(version),
            },
        }
    }

    /// Returns whether a version may get requests of a service that has no order, as far as this
    /// router knows: there is none once the configuration was confirmed after the version was seen.
    fn admits_unordered(&self, service: &str, version: &str) -> bool {
        let present = self.present.get(service);
        let first = present.and_then(|p| p.get(version)).copied().flatten();
        let is_held = self.held.contains(service);
        first.is_none_or(|at| !is_held && self.config_at.is_some_and(|config| config >= at))
    }

    /// Returns whether a request that was placed may still be sent to a version.
    #[must_use]
    pub fn may_send(&self, service: &str, version: &str) -> bool {
        let is_barred = |b: &BTreeSet<String>| b.contains(version);
        let rollout = self.services.get(service);
        let rollout = rollout.filter(|r| r.to == version && r.saw_others);
        !self.barred.get(service).is_some_and(is_barred)
            && rollout.is_none_or(|r| r.stopped.is_none() && r.state != State::Reverted)
    }

    /// Counts a request that is being sent to a version.
    pub fn record_sent(&mut self, service: &str, version: &str) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.exposure.record_sent(version == rollout.to);
        }
    }

    /// Takes a request of which no byte was sent off the service's requests.
    pub fn record_unsent(&mut self, service: &str) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.exposure.record_unsent();
        }
    }

    /// Counts a complete or failed response of a server in a zone.
    pub fn record_response(&mut self, service: &str, version: &str, zone: u32, failed: bool) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.count(zone, version, |t| t.record(failed));
        }
    }

    /// Counts a connection that failed before a response began, to a server of this router's zone or
    /// of another one.
    pub fn record_connection_failure(&mut self, failure: Failure, is_own_zone: bool) {
        if !self.services.contains_key(&failure.service) {
            return;
        }
        if is_own_zone {
            self.count_failure(&failure);
        } else {
            self.zone_paths.record_failure(failure);
        }
    }

    /// Records that a server of a zone answered a request that was sent at `sent_at`, or that a router
    /// there sent a report then.
    pub fn record_zone_contact(&mut self, now: Instant, zone: u32, sent_at: Instant) {
        if self.bounds.is_none() {
            return;
        }
        for failure in self.zone_paths.record_contact(now, zone, sent_at) {
            self.count_failure(&failure);
        }
    }

    fn count_failure(&mut self, failure: &Failure) {
        self.record_response(&failure.service, &failure.version, failure.zone, true);
    }

    /// Counts a time to first byte of a server in a zone.
    pub fn record_time(&mut self, service: &str, version: &str, zone: u32, time: Duration) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.count(zone, version, |t| t.record_time(time));
        }
    }

    /// Evaluates the evidence.
    pub fn tick(&mut self, now: Instant) {
        self.zone_paths.drop_old(now);
        for (service, rollout) in &mut self.services {
            if let Some(detail) = rollout.evaluate(now) {
                self.lines
                    .push(("rollout_stopped", service.clone(), detail));
            }
        }
    }

    /// Returns what this router tells the others.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<RolloutReport> {
        let services = self.services.iter();
        services
            .map(|(service, rollout)| rollout.report(now, name_hash(service)))
            .collect()
    }

    /// Applies what another router told.
    pub fn apply_reports(&mut self, now: Instant, sender: (u32, u64), reports: &[RolloutReport]) {
        for (service, rollout) in &mut self.services {
            let hash = name_hash(service);
            let same = |r: &&RolloutReport| r.service == hash && rollout.is_order_of(r);
            let Some(report) = reports.iter().find(same) else {
                continue;
            };
            if let Some(line) = rollout.apply_report(now, sender, report) {
                self.lines.push((line.0, service.clone(), line.1));
            }
        }
    }

    /// Returns the calls to the store that this router should make now; `rank` gives its rank among
    /// the routers for a seed, and `epoch_ms` is the time of day.
    pub fn proposals(
        &mut self,
        now: Instant,
        epoch_ms: u64,
        rank: impl Fn(u64) -> usize,
    ) -> Vec<Proposal> {
        let mut proposals = Vec::new();
        for (service, rollout) in &mut self.services {
            let seed = u64::from(name_hash(service)) ^ rollout.version << 32;
            if let Some(status) = rollout.proposal(now, epoch_ms, rank(seed)) {
                proposals.push(Proposal {
                    service: service.clone(),
                    order: rollout.version,
                    status,
                });
            }
        }
        proposals
    }

    /// Returns the status to write for a proposal, now that the status row was read; none if it is
    /// not right any more, as the calls before the write may take longer than a fault takes to be
    /// found.
    pub fn confirm(
        &mut self,
        now: Instant,
        proposal: &Proposal,
        read: Option<&Status>,
    ) -> Option<Status> {
        self.learn_barred(&proposal.service, read);
        let rollout = self.services.get(&proposal.service)?;
        let status = proposal.status.as_ref();
        let status = status.filter(|s| rollout.is_wanted(now, s))?;
        let barred = self.barred.get(&proposal.service);
        Some(Status {
            barred: barred.cloned().unwrap_or_default(),
            ..status.clone()
        })
    }

    /// Adds the versions whose rollout was replaced, as far as the status row tells.
    fn learn_barred(&mut self, service: &str, status: Option<&Status>) {
        let (Some(status), Some(rollout)) = (status, self.services.get(service)) else {
            return;
        };
        let barred = self.barred.entry(service.to_owned()).or_default();
        let before = barred.clone();
        barred.extend(status.barred.iter().cloned());
        if status.state == State::Completed {
            // It was completed before this router heard of that.
            barred.remove(&status.to);
        } else {
            barred.insert(status.to.clone());
        }
        barred.remove(&rollout.to);
        for version in barred.difference(&before) {
            let detail = format!("version={version} row_order={}", status.order);
            self.lines
                .push(("rollout_barred", service.to_owned(), detail));
        }
    }

    /// Applies the status row of a service, as read at `epoch_ms`.
    pub fn apply_status(
        &mut self,
        now: Instant,
        epoch_ms: u64,
        service: &str,
        status: Option<&Status>,
    ) {
        self.learn_barred(service, status);
        let Some(rollout) = self.services.get_mut(service) else {
            return;
        };
        if let Some(line) = rollout.apply_status(now, epoch_ms, status) {
            self.lines.push((line.0, service.to_owned(), line.1));
        }
    }

    /// Takes the log lines since the last call.
    pub fn take_lines(&mut self) -> Vec<Line> {
        std::mem::take(&mut self.lines)
    }

    /// Returns the version that a service's order names; none if the rollout was reverted.
    #[must_use]
    pub fn ordered_version(&self, service: &str) -> Option<&str> {
        let rollout = self.services.get(service)?;
        (rollout.state != State::Reverted).then_some(rollout.to.as_str())
    }

    /// Returns the state in force of a service's order.
    #[must_use]
    pub fn state(&self, service: &str) -> Option<State> {
        self.services.get(service).map(|r| r.state)
    }

    /// Returns the counts of the old and the new version, for each service with an order.
    pub fn counts(&self) -> impl Iterator<Item = (&str, [VersionCounts; 2])> {
        let services = self.services.iter();
        services.map(|(service, rollout)| (service.as_str(), rollout.counts()))
    }
}
