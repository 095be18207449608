//! State of one router and the reducer that handles all its events.
//!
//! [`Fleet::handle`] takes an [`Event`] and returns the resulting [`Decision`]s.

mod choice;
mod homes;
mod learning;
mod limits;
mod liveness;
mod overload;
mod quarantine;
mod rollouts;
mod stalls;
mod streams;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use hibiscusrail_macros::value;

use crate::departures::Departures;
use crate::engine::{Load, Server};
use crate::event::{
    Decision, Event, Execution, Outcome, Reason, RefusalInputs, RequestKey, Submission,
};
use crate::freshness::{Confirmation, Freshness, Source};
use crate::members::{Members, REPORTED_TTL};
use crate::notice::Rate;
use crate::objects::{Deployment, OperatorConfig, Repeat, Revision, Servers, Service};
use crate::params::Params;
use crate::peers::{Peers, Placement, RateNotice, Report, Restored, RouterHash, Scope, ServerLoad};
use crate::placement::{self, name_hash};
use crate::pressure::Pressure;
use crate::quota::{Quota, WorkspaceHash};
use crate::registry::{Registry, ServerKey};
use crate::retry::RetryWindow;
use crate::rollout::Rollouts;
use crate::room::Room;
use crate::splits::Splits;
use crate::suspects::{News, SuspectKey, Suspects};
use crate::versions::Versions;

use learning::{FirstByte, Learning};
pub use overload::BusyDelay;
use overload::Shortfalls;

/// Number of routers from which only those of the same zone report to each other in every period.
const FULL_MESH_ROUTERS: usize = 24;
/// Report periods between two reports to other zones, for each [`FULL_MESH_ROUTERS`], so that the
/// number of reports that a router receives does not grow with the number of routers.
const CROSS_ZONE_PERIODS: u32 = 2;
/// Report periods without a report after which a router is considered unreachable.
const EXPIRY_PERIODS: u32 = 4;
/// Routers of a zone that read from the store; more than one, since any of them may fail.
const ZONE_WATCHERS: usize = 2;
/// Maximum servers tried for a request; an unreachable one costs the time of a connection attempt.
const MAX_TRIED: usize = 4;
/// Time before the greatest age of a server list at which a router asks the store itself: that of a
/// call.
const ASK_TIME: Duration = Duration::from_millis(150);
/// Range of the further time by which routers ask earlier than others.
const ASK_JITTER: Duration = Duration::from_millis(200);
/// Number of steps in that range.
const ASK_STEPS: u32 = 16;
/// Time in which a router gets what another one reports that it has, before it asks the store itself.
const CATCH_UP_TIME: Duration = Duration::from_millis(400);
/// Number of reports that repeat a placement; it is unlikely that all of them are lost.
const PLACEMENT_REPORTS: u32 = 3;

/// Why a request is not sent to any server.
#[value]
struct Refusal {
    reason: Reason,
    retry_after: Duration,
    inputs: Option<RefusalInputs>,
}

/// Request in progress at a server.
#[derive(Debug)]
struct Attempt {
    server: ServerKey,
    /// Hash of the server's id; the server may have gone when the attempt ends.
    server_hash: u32,
    /// Life of the server.
    life: u32,
    /// Software version of the server.
    version: String,
    /// Hash of the server's availability zone.
    zone: u32,
    /// Whether the server was cold.
    cold: bool,
    sent_at: Instant,
    /// Expected time to the first byte.
    expected: Duration,
    load: Load,
    /// Tokens prefilled until the first output token, including those of earlier requests.
    prefill_tokens: u64,
    /// Number of times that the stream went on after its first events.
    progress: u32,
    /// When the first part of the response arrived.
    began_at: Option<Instant>,
    /// Whether the server has been silent for longer than expected.
    silent: bool,
    /// Why the request was last kept at its silent server.
    kept_for: Option<Reason>,
    /// Whether all slots of the server were in use when the request was sent.
    queued: bool,
    /// Whether the request was the first after a pause, so that the server may have restarted before.
    probe: bool,
}

/// State of a caller's request from arrival to end.
#[derive(Debug)]
struct Request {
    submission: Submission,
    attempt: Option<Attempt>,
    /// Attempt at a silent server, until the server of `attempt` has the request.
    replaced: Option<Attempt>,
    tried: Vec<ServerKey>,
    /// Number of servers to which the request was sent or is being sent.
    attempts: u32,
    started: bool,
    /// Whether this router was not too busy for it when its head arrived.
    admitted: bool,
    /// Tokens that count as pending for the workspace.
    pending: f64,
    execution: Execution,
    /// Software version that wrote the first events of the stream; none before them.
    version: Option<String>,
}

impl Request {
    /// Returns whether the request may be sent again after it may have run.
    fn may_repeat(&self) -> bool {
        let submission = &self.submission;
        submission.resumable || (!self.started && submission.repeat == Repeat::Idempotent)
    }

    /// Returns whether a server may have run the request, so that a refusal can't say that none has.
    ///
    /// It was admitted before then, and the limits on new requests do not apply to it any more.
    fn may_have_run(&self) -> bool {
        let is_silent = self.attempt.as_ref().is_some_and(|a| a.silent);
        self.started || is_silent || self.execution == Execution::Unknown
    }

    /// Returns whether the limits on new requests do not apply: it may have run, or a server has begun it.
    fn was_admitted(&self) -> bool {
        self.may_have_run() || self.submission.goes_on
    }

    /// Returns whether the request may be sent to a further server.
    fn has_attempts(&self) -> bool {
        self.attempts < self.submission.max_attempts && self.tried.len() < MAX_TRIED
    }
}

/// Tokens of a workspace at this router since the router started.
#[derive(Debug, Default)]
struct WorkspaceTotal {
    requested: f64,
    /// Tokens of requests that began to run.
    admitted: f64,
    /// Tokens of requests sent to servers that have not begun to run yet.
    pending: f64,
    changed_at: Option<Instant>,
}

/// State and decisions of one router.
#[derive(Debug)]
pub struct Fleet {
    params: Params,
    own_hash: RouterHash,
    incarnation: u64,
    sequence: u64,
    members: Members,
    config: OperatorConfig,
    config_revision: Revision,
    /// Services that the configuration no longer has and that requests in progress use.
    retired_services: BTreeMap<String, Service>,
    /// Evacuated zones that a store restored from an older copy does not list, and until when they
    /// are kept, as the operator writes them again.
    kept_evacuations: BTreeMap<String, Instant>,
    registry: Registry,
    versions: Versions,
    splits: Splits,
    rollouts: Rollouts,
    /// Freshness of the server list.
    freshness: Freshness,
    config_freshness: Freshness,
    /// Whether this router stops soon.
    stopping: bool,
    requests: BTreeMap<RequestKey, Request>,
    quota: Quota,
    /// Use of the plain services.
    room: Room,
    retry_windows: BTreeMap<String, RetryWindow>,
    totals: BTreeMap<WorkspaceHash, WorkspaceTotal>,
    peers: Peers,
    /// Number of other routers whose reports are current, as of the last tick.
    reporting: usize,
    pressure: Pressure,
    learning: Learning,
    shortfalls: Shortfalls,
    placements: VecDeque<(Instant, Placement)>,
    departures: Departures,
    suspects: Suspects,
    /// Engines that received a request since the last report, with the placement of the prompt.
    unreported: Vec<(ServerKey, Option<Placement>)>,
    /// When the store last answered.
    store_answered_at: Instant,
    /// Since when the store has answered neither this router, whose calls fail, nor any other whose
    /// report arrived; none if this router's last call was answered.
    store_failed_at: Option<Instant>,
    /// When the store returned from an outage, until the first server list since.
    store_returned_at: Option<Instant>,
    decisions: Vec<Decision>,
}

/// Returns whole milliseconds, for a report.
fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns this router's load at a server for a report.
fn server_load(now: Instant, server: &Server) -> ServerLoad {
    let interval = server.own_interval(now).as_micros();
    ServerLoad {
        token_interval: u32::try_from(interval).unwrap_or(u32::MAX),
        server: server.hash,
        pending_prefill: server.own_load.pending_prefill,
        running: server.own_load.running,
        sent_tokens: server.sent_tokens,
        sent_requests: server.sent_requests,
    }
}

impl Fleet {
    /// Creates a router without configuration.
    #[must_use]
    pub fn new(name: &str, incarnation: u64, params: Params, now: Instant) -> Self {
        Self {
            own_hash: RouterHash(name_hash(name)),
            incarnation,
            sequence: 0,
            members: Members::new(name_hash(name)),
            config: OperatorConfig::default(),
            config_revision: Revision::default(),
            retired_services: BTreeMap::new(),
            kept_evacuations: BTreeMap::new(),
            registry: Registry::default(),
            versions: Versions::new(now),
            splits: Splits::default(),
            rollouts: Rollouts::new(params.rollout),
            freshness: Freshness::default(),
            config_freshness: Freshness::default(),
            stopping: false,
            requests: BTreeMap::new(),
            quota: Quota::new(params.quota_window),
            room: Room::default(),
            retry_windows: BTreeMap::new(),
            totals: BTreeMap::new(),
            peers: Peers::default(),
            reporting: 0,
            pressure: Pressure::default(),
            learning: Learning::default(),
            shortfalls: Shortfalls::default(),
            placements: VecDeque::new(),
            departures: Departures::default(),
            suspects: Suspects::default(),
            unreported: Vec::new(),
            store_answered_at: now,
            store_failed_at: None,
            store_returned_at: None,
            decisions: Vec::new(),
            params,
        }
    }

    /// Returns the operator configuration in force.
    #[must_use]
    pub fn config(&self) -> &OperatorConfig {
        &self.config
    }

    /// Returns the revision of the operator configuration in force.
    #[must_use]
    pub fn config_revision(&self) -> Revision {
        self.config_revision
    }

    /// Returns the registry of known servers.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns when the store last confirmed the server list, as far as this router knows.
    #[must_use]
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Returns when the store last confirmed the operator configuration, as far as this router knows.
    #[must_use]
    pub fn config_freshness(&self) -> &Freshness {
        &self.config_freshness
    }

    /// Returns whether this router should ask the store for the servers itself, whoever reads for
    /// its zone, since its list is old.
    #[must_use]
    pub fn list_is_due(&self, now: Instant) -> bool {
        let due = self.ask_age(self.params.max_list_age());
        self.freshness.age(now).is_none_or(|age| age >= due)
    }

    /// Returns whether this router should ask the store for the operator configuration itself,
    /// whoever reads for its zone: its own is old, or it has not got in time what others have.
    ///
    /// This holds for whatever keeps a reader's state from this router.
    #[must_use]
    pub fn config_is_due(&self, now: Instant) -> bool {
        let due = self.ask_age(self.params.max_config_age());
        let fresh = &self.config_freshness;
        fresh.age(now).is_none_or(|age| age >= due) || fresh.behind_for(now) >= CATCH_UP_TIME
    }

    /// Returns the age at which this router asks the store for a table that may be `max_age` old.
    fn ask_age(&self, max_age: Duration) -> Duration {
        // Routers of a zone reach the age together; the answer to the first of them, which its next
        // report tells, serves the others.
        let jitter = ASK_JITTER * (self.own_hash.0 % ASK_STEPS) / ASK_STEPS;
        max_age.saturating_sub(ASK_TIME + jitter)
    }

    /// Returns the time until the server list reaches its greatest age, unless it is confirmed.
    #[must_use]
    pub fn time_until_late(&self, now: Instant) -> Duration {
        let max_age = self.params.max_list_age();
        let age = self.freshness.age(now);
        age.map_or(max_age, |age| max_age.saturating_sub(age))
    }

    /// Returns whether this router's server list is too old to decide alone where requests may go,
    /// and there may be a newer one that it would learn of in time if it were not late itself.
    ///
    /// While the store is away and nobody tells of a newer list, there is nothing newer to know. An
    /// overloaded router does not know that by its own calls, which its event loop delays.
    #[must_use]
    pub fn list_is_late(&self, now: Instant) -> bool {
        let max_age = self.params.max_list_age();
        if self.freshness.age(now).is_none_or(|age| age <= max_age) {
            return false;
        }
        let newer = self.freshness.newer();
        if newer.is_some_and(|n| now.saturating_duration_since(n.at) <= max_age) {
            return true;
        }
        let recent = now.checked_sub(self.report_period() * EXPIRY_PERIODS);
        let answered = now.checked_sub(max_age);
        let told_outage = recent
            .zip(answered)
            .is_some_and(|(recent, answered)| self.peers.tell_outage(recent, answered));
        let is_cut_off = self.store_failed_at.is_some() && !self.is_late();
        !is_cut_off && !told_outage
    }

    /// Returns whether a server may receive requests, regardless of its load and health; `late`
    /// tells whether the server list is.
    fn is_open(&self, now: Instant, server: &Server, late: bool) -> bool {
        server.is_open(now) && (!late || server.is_proven(now, self.params.max_list_age()))
    }

    /// Returns the number of routers that this one knows, with itself.
    #[must_use]
    pub fn known_routers(&self) -> usize {
        self.members.all().len()
    }

    /// Replaces the parameters.
    pub fn set_params(&mut self, params: Params) {
        self.params = params;
    }

    /// Returns whether this router reads from the store itself.
    ///
    /// A few routers of each zone do; the others fetch updates from them when their reports show a
    /// newer revision. All routers rank the candidates by the same hash, and the next one replaces
    /// a router that the store no longer answers.
    #[must_use]
    pub fn reads_store(&self, now: Instant) -> bool {
        self.config.deployment.is_none() || self.readers(now) < ZONE_WATCHERS
    }

    /// Returns the number of routers that read from the store for this one: they rank higher, and it
    /// fetches from them.
    #[must_use]
    pub fn readers(&self, now: Instant) -> usize {
        let zone = name_hash(&self.params.zone);
        let weight = |router: u32| placement::weight(u64::from(zone), router);
        let own = weight(self.own_hash.0);
        let Some(since) = now.checked_sub(self.params.store_ttl) else {
            return 0;
        };
        let is_reader = |router: u32| self.is_source(router) && weight(router) > own;
        self.peers.watchers(zone, since, is_reader)
    }

    /// Returns whether this router fetches newer state from another one: a router of its zone that
    /// the store's table lists.
    #[must_use]
    pub fn is_source(&self, router: u32) -> bool {
        let zone = name_hash(&self.params.zone);
        self.members.is_listed(router) && self.peers.zone(router) == Some(zone)
    }

    /// Returns since when the store has answered this router's reads of both the operator
    /// configuration and the servers; none unless it goes on to read them for its zone.
    fn read_at(&self, now: Instant) -> Option<Instant> {
        let read = [&self.config_freshness, &self.freshness].map(Freshness::read_at);
        let [Some(config), Some(servers)] = read else {
            return None;
        };
        let goes_on = !self.stopping && self.reads_store(now);
        goes_on.then_some(config.min(servers))
    }

    /// Returns whether the last call to the store failed.
    #[must_use]
    pub fn store_is_lost(&self) -> bool {
        self.store_failed_at.is_some()
    }

    /// Returns the mean event loop lag of this router.
    #[must_use]
    pub fn loop_lag(&self) -> Duration {
        self.pressure.lag()
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Handles an event at time `now` and returns the resulting decisions.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Decision> {
        match event {
            Event::Submit(submission) => {
                let Submission {
                    workspace, prompt, ..
                } = &submission;
                self.record_demand(now, *workspace, prompt.as_ref());
                self.submit(now, submission, false);
            }
            Event::SubmitAdmitted(submission) => self.submit(now, submission, true),
            Event::FirstByte(key) => self.first_byte(now, key),
            Event::Served(key) => self.served(now, key),
            Event::StreamProgress { key, gap, tokens } => {
                self.stream_progressed(now, key, gap, tokens);
            }
            Event::Ended(key, outcome) => self.attempt_ended(now, key, outcome),
            Event::Stalled(key) => self.attempt_stalled(now, key),
            Event::Replaced(key) => self.attempt_replaced(now, key),
            Event::Resumed { key, sent } => self.attempt_resumed(now, key, sent),
            Event::ServerChecked(server, asked_at, cold) => {
                self.server_checked(now, server, asked_at, cold);
            }
            Event::ServerLeaving(server) => self.server_leaving(server),
            Event::ServerRate(server, rate) => self.server_rate(now, server, rate),
            Event::ServerThrottled(server, pause) => self.server_throttled(now, server, pause),
            Event::ServerStatus(server, status) => self.server_status(now, server, status),
            Event::ServerStatusRejected(server, value) => {
                self.server_status_rejected(server, &value);
            }
            Event::Config(revision, config) => self.apply_config(now, revision, config),
            Event::Servers(revision, servers) => self.apply_servers(now, revision, &servers),
            Event::ConfigConfirmed(confirmation) => self.confirm_config(now, confirmation),
            Event::ServersConfirmed(confirmation) => self.confirm_servers(now, confirmation),
            Event::Stopping => self.stopping = true,
            Event::StoreAnswered => self.store_answered(now),
            Event::StoreFailed => {
                self.store_failed_at.get_or_insert(now);
            }
            Event::ServersUnchanged => self.store_returned_at = None,
            Event::Report(report) => self.apply_report(now, &report),
            Event::Members(names) => self.apply_members(now, &names),
            Event::Versions(epoch_ms, rows) => self.versions_loaded(now, epoch_ms, &rows),
            Event::VersionsSaved(row) => self.versions_saved(&row),
            Event::RolloutStatus {
                epoch_ms,
                service,
                status,
            } => self.apply_rollout_status(now, epoch_ms, &service, status.as_ref()),
            Event::LoopLag(lag) => self.observe_lag(now, lag),
            Event::LoopUse(used) => self.pressure.observe_use(now, used, self.requests.len()),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.decisions)
    }

    /// Returns the time between two reports to the routers of this router's zone.
    #[must_use]
    pub fn report_period(&self) -> Duration {
        self.params.report_period
    }

    /// Returns the number of report periods between two reports to the routers of other zones.
    ///
    /// Mostly routers of its own zone use an engine; they must learn of each other's requests soon.
    #[must_use]
    pub fn cross_zone_periods(&self) -> u32 {
        match u32::try_from(self.members.all().len() / FULL_MESH_ROUTERS).unwrap_or(u32::MAX) {
            0 => 1,
            times => CROSS_ZONE_PERIODS * (times + 1),
        }
    }

    /// Returns the receivers of incremental reports: the routers that mostly use the same servers.
    #[must_use]
    pub fn incremental_scope(&self) -> Scope {
        if self.is_large() {
            Scope::Zone
        } else {
            Scope::All
        }
    }

    /// Returns whether the deployment is so large that routers of other zones report less often.
    fn is_large(&self) -> bool {
        self.cross_zone_periods() > 1
    }

    /// Returns a full report for the routers in `scope`.
    pub fn report(&mut self, now: Instant, scope: Scope) -> Report {
        let store_age = now.saturating_duration_since(self.store_answered_at);
        let max_age = self.report_period() * self.cross_zone_periods() * PLACEMENT_REPORTS;
        let report_age = match scope {
            Scope::Zone => self.report_period() * PLACEMENT_REPORTS,
            Scope::All => max_age,
        };
        let is_recent = |at: Instant| now.saturating_duration_since(at) < report_age;
        self.placements
            .retain(|(at, _)| now.saturating_duration_since(*at) < max_age);
        let loads = self
            .registry
            .all()
            .filter(|s| s.own_load != Load::default() || s.sent_at.is_some_and(is_recent));
        let totals = self
            .totals
            .iter()
            .filter(|(_, t)| t.changed_at.is_some_and(is_recent));
        let loads = loads.map(|s| server_load(now, s)).collect();
        let News { suspects, cleared } = self.suspects.report(now, scope);
        let (cleared_requests, cleared_parts): (Vec<SuspectKey>, Vec<SuspectKey>) = cleared
            .into_iter()
            .partition(|key| matches!(key, SuspectKey::Request(_)));
        let hashes = |keys: Vec<SuspectKey>| keys.into_iter().map(SuspectKey::hash).collect();
        let totals = totals
            .map(|(workspace, total)| total.to_report(*workspace))
            .collect();
        let placed = self.placements.iter().rev();
        let placed = placed.take_while(|(at, _)| is_recent(*at));
        let placed = placed.map(|(_, placement)| *placement).collect();
        let learned = self.learned_notices(now);
        Report {
            loads,
            totals,
            plain_uses: self.room.report(now),
            learned,
            heard: self.heard(now, scope),
            departed: self.departures.recent(now),
            restored: self.restored_notice(),
            rates: self.rate_notices(now, max_age),
            suspects,
            rollouts: self.rollouts.reports(now),
            cleared: hashes(cleared_parts),
            cleared_requests: hashes(cleared_requests),
            store_age: to_millis(store_age),
            list_age: self.freshness.age(now).map(to_millis),
            config_age: self.config_freshness.age(now).map(to_millis),
            read_age: self
                .read_at(now)
                .map(|at| to_millis(now.saturating_duration_since(at))),
            placed,
            ..self.new_report()
        }
    }

    /// Returns what this router knows that a restored store may lack; none if it never was restored.
    fn restored_notice(&self) -> Option<Box<Restored>> {
        let eras = [self.config_revision.era(), self.registry.revision().era()];
        (eras != [0, 0]).then(|| {
            Box::new(Restored {
                deployment: deployment_version(&self.config),
                outdated: self.registry.outdated().to_vec(),
            })
        })
    }

    /// Returns a report without content and with the next sequence number.
    fn new_report(&mut self) -> Report {
        self.sequence += 1;
        Report {
            sender: self.own_hash.0,
            incarnation: self.incarnation,
            sequence: self.sequence,
            orders: self.config_revision.0,
            servers: self.registry.revision().0,
            zone: name_hash(&self.params.zone),
            ..Report::default()
        }
    }

    /// Returns an incremental report of the requests sent to engines since the last one, if any.
    pub fn incremental_report(&mut self, now: Instant) -> Option<Report> {
        let sent = std::mem::take(&mut self.unreported);
        if sent.is_empty() {
            return None;
        }
        let servers: BTreeSet<ServerKey> = sent.iter().map(|(server, _)| *server).collect();
        let loads = servers.into_iter().filter_map(|key| self.registry.get(key));
        Some(Report {
            loads: loads.map(|s| server_load(now, s)).collect(),
            placed: sent.into_iter().filter_map(|(_, placed)| placed).collect(),
            incremental: true,
            ..self.new_report()
        })
    }

    /// Returns whether [`Self::incremental_report`] has requests to report.
    #[must_use]
    pub fn has_incremental_report(&self) -> bool {
        !self.unreported.is_empty()
    }

    fn log(&mut self, event: &'static str, subject: &str, detail: String) {
        self.decisions.push(Decision::Log {
            event,
            subject: subject.to_owned(),
            detail,
        });
    }

    /// Returns the facts of a service; of one that the configuration no longer has, while requests to
    /// it are in progress.
    fn service(&self, name: &str) -> Option<&Service> {
        let deployment = self.config.deployment.as_ref();
        let current = deployment.and_then(|d| d.services.get(name));
        current.or_else(|| self.retired_services.get(name))
    }

    /// Returns the number of routers that share each limit.
    fn router_count(&self) -> usize {
        let members = self.members.all().len();
        if members > 1 && self.members.is_read() {
            members
        } else {
            members.max(self.params.routers)
        }
    }

    fn submit(&mut self, now: Instant, submission: Submission, admitted: bool) {
        self.retry_window(&submission.service).record_request(now);
        let key = submission.key;
        let version = submission.version.clone();
        self.requests.insert(
            key,
            Request {
                submission,
                attempt: None,
                replaced: None,
                tried: Vec::new(),
                attempts: 0,
                started: false,
                admitted,
                pending: 0.0,
                execution: Execution::NotRun,
                version,
            },
        );
        self.place(now, key);
    }

    fn retry_window(&mut self, service: &str) -> &mut RetryWindow {
        let bound = self.params.retries;
        self.retry_windows
            .entry(service.to_owned())
            .or_insert_with(|| RetryWindow::new(bound))
    }

    fn fail_request(
        &mut self,
        now: Instant,
        key: RequestKey,
        reason: Reason,
        retry_after: Duration,
    ) {
        let inputs = None;
        self.refuse(
            now,
            key,
            Refusal {
                reason,
                retry_after,
                inputs,
            },
        );
    }

    fn refuse(&mut self, now: Instant, key: RequestKey, refusal: Refusal) {
        self.settle_charge(now, key);
        self.room.ended(key);
        if let Some(class) = self
            .plain_class(key)
            .filter(|_| refusal.reason == Reason::NoRoom)
        {
            self.room.refused(now, class);
        }
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        self.decisions.push(Decision::Fail {
            request: key,
            reason: refusal.reason,
            execution: request.execution,
            retry_after: refusal.retry_after,
            inputs: refusal.inputs,
        });
    }

    /// Ends the time in which a request's charge is pending and returns its workspace and charge, if
    /// it was.
    fn settle_charge(&mut self, now: Instant, key: RequestKey) -> Option<(WorkspaceHash, f64)> {
        let request = self.requests.get_mut(&key)?;
        let charge = std::mem::take(&mut request.pending);
        let workspace = request.submission.workspace.filter(|_| charge > 0.0)?;
        self.quota.add_pending(workspace, -charge);
        let total = self.totals.entry(workspace).or_default();
        total.pending = (total.pending - charge).max(0.0);
        total.changed_at = Some(now);
        Some((workspace, charge))
    }

    /// Counts a request whose answer began against its workspace's share.
    fn count_begun(&mut self, now: Instant, key: RequestKey) {
        let Some((workspace, charge)) = self.settle_charge(now, key) else {
            return;
        };
        self.quota.add_admitted(now, workspace, charge);
        let total = self.totals.entry(workspace).or_default();
        total.admitted += charge;
    }

    fn first_byte(&mut self, now: Instant, key: RequestKey) {
        self.count_begun(now, key);
        self.record_rollout_time(now, key);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.started = true;
        let Some(attempt) = &mut request.attempt else {
            return;
        };
        if request.submission.resumable {
            request
                .version
                .get_or_insert_with(|| attempt.version.clone());
        }
        attempt.began_at = Some(now);
        self.rollouts
            .record_zone_contact(now, attempt.zone, attempt.sent_at);
        let pending = attempt.load.pending_prefill;
        let took = now.saturating_duration_since(attempt.sent_at);
        let prefill_tokens = std::mem::take(&mut attempt.prefill_tokens);
        attempt.load.pending_prefill = 0;
        let first_byte = FirstByte::from(&*attempt);
        let rate = self.params.read_rate;
        let Some(server) = self.registry.get_mut(attempt.server) else {
            return;
        };
        server.own_load.pending_prefill = server.own_load.pending_prefill.saturating_sub(pending);
        server.record_proof(attempt.sent_at);
        let was_silent = std::mem::take(&mut attempt.silent);
        if !was_silent {
            server.observe_prefill(prefill_tokens, took, rate);
        }
        let (key, may_be_new) = (attempt.server, !was_silent || attempt.probe);
        self.server_answered(now, key, may_be_new, took);
        if !was_silent {
            self.learn_first_byte(now, &first_byte, prefill_tokens, pending);
        }
    }

    fn stream_progressed(&mut self, now: Instant, key: RequestKey, gap: Duration, tokens: u32) {
        let was_silent = self.silence_ended(key);
        let request = self.requests.get_mut(&key);
        let Some(attempt) = request.and_then(|r| r.attempt.as_mut()) else {
            return;
        };
        attempt.progress += 1;
        let (key, began_at) = (attempt.server, attempt.began_at);
        self.response_heard(now, key, began_at);
        let server = self.registry.get_mut(key);
        if let Some(server) = server.filter(|_| !was_silent) {
            server.observe_interval(now, gap, tokens);
            self.learn_tokens(now, key, gap, tokens);
        }
    }

    fn attempt_ended(&mut self, now: Instant, key: RequestKey, outcome: Outcome) {
        let Some(attempt) = self.release_attempt(key) else {
            self.settle_charge(now, key);
            self.room.ended(key);
            self.requests.remove(&key);
            return;
        };
        self.record_rollout_outcome(now, key, &attempt, outcome);
        if matches!(
            outcome,
            Outcome::Answered | Outcome::Failed | Outcome::NotRun
        ) {
            let (zone, sent_at) = (attempt.zone, attempt.sent_at);
            self.rollouts.record_zone_contact(now, zone, sent_at);
            self.response_heard(now, attempt.server, attempt.began_at);
        }
        if matches!(outcome, Outcome::Broken | Outcome::Unreachable) {
            self.connection_failed(now, attempt.server);
        }
        match outcome {
            Outcome::Expired => self.judge_expiry(now, key, &attempt),
            _ => self.record_outcome(now, attempt.server, outcome),
        }
        if matches!(outcome, Outcome::Answered | Outcome::Failed) {
            self.record_proof(&attempt);
        }
        self.judge_request(now, key, &attempt, outcome);
        match outcome {
            Outcome::Answered | Outcome::Left => {
                if outcome == Outcome::Answered {
                    self.count_begun(now, key);
                    self.observe_service_time(now, key, &attempt);
                }
                self.release_replaced(key);
                self.settle_charge(now, key);
                self.room.ended(key);
                self.requests.remove(&key);
                return;
            }
            Outcome::NotRun | Outcome::Misdirected => {}
            Outcome::Unreachable | Outcome::Withdrawn => self.uncount_attempt(key),
            Outcome::Failed => self.set_execution(key, Execution::Failed),
            Outcome::Broken | Outcome::Invalid | Outcome::Oversized | Outcome::Expired => {
                self.set_execution(key, Execution::Unknown);
            }
        }
        if self.restore_replaced(key) {
            if matches!(outcome, Outcome::Unreachable | Outcome::Withdrawn) {
                self.return_retry(now, key);
            }
            return;
        }
        self.retry(now, key, outcome);
    }

    /// Records that a request was run or may have been.
    fn set_execution(&mut self, key: RequestKey, execution: Execution) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.execution = execution;
        }
    }

    /// Uncounts an attempt of which no byte was sent.
    fn uncount_attempt(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.attempts -= 1;
        }
    }

    /// Records that a server has answered an attempt; what the answer said of it is known before.
    fn record_proof(&mut self, attempt: &Attempt) {
        if let Some(server) = self.registry.get_mut(attempt.server) {
            server.record_proof(attempt.sent_at);
        }
    }

    /// Returns whether a request may still be sent to a server for which it was placed; `as_warm` tells
    /// whether the rate of requests to the server was not limited then.
    #[must_use]
    pub fn may_send(&self, now: Instant, key: ServerKey, as_warm: bool) -> bool {
        self.registry.get(key).is_some_and(|s| {
            self.is_open(now, s, self.list_is_late(now))
                && !self.config.evacuated.contains(&s.backend.zone)
                && (!as_warm || self.is_warm_still(now, s))
                && self
                    .rollouts
                    .may_send(&s.backend.service, &s.backend.version)
        })
    }

    /// Records that a server announced in a response that it is leaving.
    fn server_leaving(&mut self, key: ServerKey) {
        let Some(server) = self.registry.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut server.notice.leaving, true) {
            return;
        }
        let id = server.id.clone();
        self.log("server_leaving", &id, "response=true".to_owned());
    }

    /// Records the rate that a server's response names, or that it names none.
    fn server_rate(&mut self, now: Instant, key: ServerKey, rate: Option<f64>) {
        let hash = self.registry.get(key).map(|s| s.hash);
        if let Some(hash) = hash {
            self.set_rate(now, hash, rate, self.own_hash.0);
        }
    }

    /// Records what a server's response, received at `at` by a router, says about its rate.
    fn set_rate(&mut self, at: Instant, server: u32, rate: Option<f64>, router: u32) {
        let Some(server) = self.registry.by_hash_mut(server) else {
            return;
        };
        let rate = rate.map(|per_second| Rate { per_second });
        if !server.notice.set_rate(at, rate) {
            return;
        }
        let id = server.id.clone();
        let rate = rate.map_or_else(|| "none".to_owned(), |r| r.per_second.to_string());
        let detail = format!("rate={rate} router={router:08x}");
        self.log("server_rate", &id, detail);
    }

    /// Returns the rates that servers announced, or withdrew since a few reports ago.
    fn rate_notices(&self, now: Instant, max_age: Duration) -> Vec<RateNotice> {
        let age = |server: &Server| {
            let at = server.notice.rate_at?;
            Some(now.saturating_duration_since(at))
        };
        let notices = self.registry.all().filter_map(|server| {
            let (age, rate) = (age(server)?, server.notice.rate);
            (rate.is_some() || age < max_age).then(|| RateNotice {
                server: server.hash,
                rate: rate.map(|r| r.per_second),
                age: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
        });
        notices.collect()
    }

    /// Records that a server which turned a request away asked for a pause.
    fn server_throttled(&mut self, now: Instant, key: ServerKey, pause: Duration) {
        let Some(server) = self.registry.get_mut(key) else {
            return;
        };
        let length = server.notice.pause(now, pause);
        let id = server.id.clone();
        let detail = format!(
            "asked_ms={} pause_ms={}",
            pause.as_millis(),
            length.as_millis()
        );
        self.log("server_throttled", &id, detail);
    }

    fn record_outcome(&mut self, now: Instant, key: ServerKey, outcome: Outcome) {
        self.pace_outcome(now, key, outcome);
        let Some(server) = self.registry.get_mut(key) else {
            return;
        };
        let pause = match outcome {
            Outcome::Answered => {
                server.health.record_success();
                None
            }
            Outcome::Left | Outcome::Withdrawn => {
                server.health.end_probe();
                None
            }
            Outcome::Failed | Outcome::NotRun | Outcome::Broken | Outcome::Invalid => {
                server.health.record_error();
                None
            }
            Outcome::Misdirected | Outcome::Unreachable | Outcome::Oversized | Outcome::Expired => {
                server.health.record_unreachable(now)
            }
        };
        if let Some(pause) = pause {
            let id = server.id.clone();
            let detail = format!("outcome={outcome:?} pause_ms={}", pause.as_millis());
            self.log("server_paused", &id, detail);
        }
    }

    fn retry(&mut self, now: Instant, key: RequestKey, outcome: Outcome) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let submission = &request.submission;
        let not_run = matches!(
            outcome,
            Outcome::Unreachable | Outcome::Withdrawn | Outcome::NotRun | Outcome::Misdirected
        );
        let retryable = request.may_repeat() || (not_run && !request.started);
        if now >= submission.deadline {
            return self.fail_request(now, key, Reason::Expired, Duration::ZERO);
        }
        if !retryable || !request.has_attempts() {
            return self.fail_request(now, key, Reason::Exhausted, choice::SHORT_RETRY_AFTER);
        }
        if request.attempts > 0 && !self.try_retry(now, key) {
            return self.fail_request(now, key, Reason::RetryBudget, choice::SHORT_RETRY_AFTER);
        }
        self.place(now, key);
    }

    /// Counts a further attempt of a request and returns true if the retry budget allows it.
    fn try_retry(&mut self, now: Instant, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        let service = request.submission.service.clone();
        // A router that may be one of any number has no part of the budget's constant.
        let routers = if self.members.is_read() {
            self.router_count()
        } else {
            usize::MAX
        };
        self.retry_window(&service).try_retry(now, routers)
    }

    /// Returns the retry of an attempt of which no byte was sent to the budget.
    fn return_retry(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(&key);
        if let Some(service) = request.map(|r| r.submission.service.clone()) {
            self.retry_window(&service).return_retry(now);
        }
    }

    fn apply_config(&mut self, now: Instant, revision: Revision, mut config: OperatorConfig) {
        if revision <= self.config_revision {
            return self.adopt_deployment(now, revision, config);
        }
        let version = deployment_version;
        let restored = revision.era() > self.config_revision.era();
        let first = self.config_revision == Revision::default();
        if version(&config) < version(&self.config) {
            // From an older copy of the store; the operator writes the newest version again.
            config.deployment = None;
        }
        if restored && self.config_revision != Revision::default() {
            let until = now + self.params.lapse_grace;
            let kept = self.config.evacuated.difference(&config.evacuated);
            self.kept_evacuations
                .extend(kept.map(|zone| (zone.clone(), until)));
        }
        self.kept_evacuations
            .retain(|zone, _| !config.evacuated.contains(zone));
        config
            .evacuated
            .extend(self.kept_evacuations.keys().cloned());
        self.config_freshness.applied(revision);
        let confirmed = self.config_freshness.own();
        let detail = format!(
            "revision={} version={} was={} evacuated={}{}",
            revision.0,
            version(&config),
            version(&self.config),
            config.evacuated.len(),
            confirmed.map_or_else(String::new, |c| {
                let age = now.saturating_duration_since(c.at);
                format!(" age_ms={} source={}", age.as_millis(), c.source)
            }),
        );
        self.config_revision = revision;
        // An unreadable configuration does not replace the one in force.
        let before = self.config.deployment.take();
        self.config = config;
        match (&self.config.deployment, before) {
            (Some(_), Some(before)) => self.retire_deployment(now, before),
            (None, before) => self.config.deployment = before,
            (Some(_), None) => {}
        }
        self.log("orders_in_force", "orders", detail);
        if restored {
            self.rollouts.store_restored();
        }
        self.apply_rollout_orders(now, revision, first);
    }

    /// Takes over a deployment configuration that another router had before the store was restored
    /// from a copy without it.
    fn adopt_deployment(&mut self, now: Instant, revision: Revision, config: OperatorConfig) {
        let was = deployment_version(&self.config);
        if !self.lacks_deployment(revision, deployment_version(&config)) {
            return;
        }
        let before = std::mem::replace(&mut self.config.deployment, config.deployment);
        if let Some(before) = before {
            self.retire_deployment(now, before);
        }
        let detail = format!(
            "revision={} version={} was={was} restored=true",
            self.config_revision.0,
            deployment_version(&self.config),
        );
        self.log("orders_in_force", "orders", detail);
    }

    /// Returns whether a router with the configuration of `revision` has a deployment configuration,
    /// of this version, that this router lacks since the store was restored from an older copy.
    ///
    /// The routers that run since before keep the newest version, with the same revision.
    #[must_use]
    pub fn lacks_deployment(&self, revision: Revision, version: u64) -> bool {
        let era = self.config_revision.era();
        era > 0 && revision.era() == era && version > deployment_version(&self.config)
    }

    /// Keeps what requests in progress, and streams that are taken up, need of the configuration
    /// before.
    fn retire_deployment(&mut self, now: Instant, before: Deployment) {
        self.record_splits(now, &before);
        self.retired_services.extend(before.services);
        self.drop_retired_services();
    }

    /// Drops the retired services that the configuration has again or that no request uses any more.
    fn drop_retired_services(&mut self) {
        if self.retired_services.is_empty() {
            return;
        }
        let requests = self.requests.values();
        let used: BTreeSet<&str> = requests.map(|r| r.submission.service.as_str()).collect();
        let deployment = self.config.deployment.as_ref();
        let is_current = |name: &str| deployment.is_some_and(|d| d.services.contains_key(name));
        self.retired_services
            .retain(|name, _| used.contains(name.as_str()) && !is_current(name));
    }

    fn apply_servers(&mut self, now: Instant, revision: Revision, servers: &Servers) {
        if revision <= self.registry.revision() {
            return;
        }
        // Servers missing from the first list after an outage may only have expired; those missing
        // from a later list, or once the grace period since the return has passed, were removed.
        let returned = self.store_returned_at.take();
        let grace = self.params.lapse_grace;
        let returned = returned.filter(|at| now.saturating_duration_since(*at) < grace);
        // A store restored from an older copy lacks newer servers until they register again.
        let restored = revision.era() > self.registry.revision().era();
        let kept_since = if restored { Some(now) } else { returned };
        let changes = self.registry.apply(now, revision, servers, kept_since);
        if restored {
            self.versions.store_restored();
            self.rollouts.store_restored();
        }
        let backends = self.registry.all().map(|s| &s.backend);
        self.versions.observe(now, backends);
        self.rollouts.observe_servers(now, self.registry.all());
        self.freshness.applied(revision);
        let detail = format!("revision={}{}", revision.0, self.age_detail(now));
        for id in changes.draining.iter().chain(&changes.removed) {
            self.departures.record(now, name_hash(id));
        }
        for id in changes.removed.iter().chain(&changes.started) {
            self.judge_departure(now, name_hash(id));
        }
        let lists = [
            ("server_started", changes.started),
            ("server_leaving", changes.draining),
            ("server_gone", changes.removed),
            ("server_lapsed", changes.expired),
        ];
        for (event, ids) in lists {
            for id in ids {
                self.log(event, &id, detail.clone());
            }
        }
    }

    /// Returns the age of the server list as a further value of a log line.
    fn age_detail(&self, now: Instant) -> String {
        let age = self.freshness.age(now);
        age.map_or_else(String::new, |age| format!(" age_ms={}", age.as_millis()))
    }

    fn confirm_config(&mut self, now: Instant, confirmation: Confirmation) {
        let own = self.config_revision;
        self.config_freshness.confirm(now, own, confirmation);
        let is_own = own != Revision::default() && confirmation.revision <= own;
        if is_own && confirmation.source == Source::Store {
            self.rollouts.store_confirmed(confirmation.complete);
        }
        let newest = self.config_freshness.own();
        self.rollouts.config_confirmed(newest.map(|c| c.at));
    }

    fn confirm_servers(&mut self, now: Instant, confirmation: Confirmation) {
        let own = self.registry.revision();
        self.freshness.confirm(now, own, confirmation);
    }

    /// Records that the store answered this router.
    fn store_answered(&mut self, now: Instant) {
        self.store_answered_at = now;
        self.end_outage(now);
        self.store_failed_at = None;
    }

    /// Records that the store answered another router at `at`, so that only this router's calls
    /// fail: for a cut of its own, or since its event loop lags.
    fn store_answered_peer(&mut self, at: Instant) {
        if self.store_failed_at.is_some_and(|since| at > since) {
            self.end_outage(at);
            self.store_failed_at = Some(at);
        }
    }

    /// Records the end of a time without an answer. Registrations may have expired in a long one.
    fn end_outage(&mut self, at: Instant) {
        let Some(since) = self.store_failed_at else {
            return;
        };
        let outage = at.saturating_duration_since(since);
        if outage > self.params.store_silence {
            self.store_returned_at = Some(at);
            self.log(
                "store_back",
                "store",
                format!("away_ms={}", outage.as_millis()),
            );
        }
    }

    fn apply_report(&mut self, now: Instant, report: &Report) {
        let Some(change) = self.peers.apply(now, report) else {
            return;
        };
        let before = self.members.all().len();
        if self.members.add_reporting(report.sender) {
            self.log_members(before);
        }
        if report.incremental {
            self.room.restarted(report.sender, report.incarnation);
        } else {
            let sender = (report.sender, report.incarnation);
            self.room
                .apply_report(now, sender, report.zone, &report.plain_uses);
        }
        self.apply_learned(now, report, change.joined);
        self.apply_heard(now, report);
        self.subtract_peer_loads(&change.old_loads);
        for (hash, load) in &change.new_loads {
            if let Some(server) = self.registry.by_hash_mut(*hash) {
                server.peer_load.add(*load);
            }
        }
        for load in report.loads.iter().filter(|l| l.token_interval > 0) {
            if let Some(server) = self.registry.by_hash_mut(load.server) {
                let interval = Duration::from_micros(u64::from(load.token_interval));
                server.observe_peer_interval(now, interval);
            }
        }
        for placement in &report.placed {
            if let Some(server) = self.registry.by_hash_mut(placement.server) {
                server.record_part(placement.part);
            }
        }
        self.confirm_by_report(now, report);
        self.withdraw_departed(report);
        self.remove_outdated(now, report);
        let answered_at = now.checked_sub(Duration::from_millis(report.store_age));
        if let Some(at) = answered_at.filter(|_| !report.incremental) {
            self.store_answered_peer(at);
        }
        for notice in &report.rates {
            let at = now.checked_sub(Duration::from_millis(notice.age));
            if let Some(at) = at {
                self.set_rate(at, notice.server, notice.rate, report.sender);
            }
        }
        self.apply_suspects(now, report);
        self.apply_rollout_reports(now, report);
        for (hash, sent) in change.sent {
            if let Some(server) = self.registry.by_hash_mut(hash) {
                server.record_peer_requests(now, sent.requests, sent.tokens);
            }
        }
        #[allow(clippy::cast_precision_loss)]
        for change in change.workspaces {
            let workspace = WorkspaceHash(change.workspace);
            self.quota
                .add_requested(now, workspace, change.requested as f64);
            self.quota
                .add_admitted(now, workspace, change.admitted as f64);
            self.quota.add_pending(workspace, change.pending);
        }
    }

    /// Records how old the sender's tables are, according to a report.
    fn confirm_by_report(&mut self, now: Instant, report: &Report) {
        let confirmation = |revision, age: Option<u64>| {
            Some(Confirmation {
                revision: Revision(revision),
                complete: Revision(revision),
                at: now.checked_sub(Duration::from_millis(age?))?,
                source: Source::Router(report.sender),
            })
        };
        if let Some(confirmation) = confirmation(report.orders, report.config_age) {
            self.confirm_config(now, confirmation);
        }
        if let Some(confirmation) = confirmation(report.servers, report.list_age) {
            self.confirm_servers(now, confirmation);
        }
        // The readers of another zone tell theirs, from which this router does not fetch.
        if report.zone == name_hash(&self.params.zone) {
            let (own, revision) = (self.config_revision, Revision(report.orders));
            self.config_freshness.heard_of(now, own, revision);
        }
    }

    /// Withdraws the servers that left according to a report.
    fn withdraw_departed(&mut self, report: &Report) {
        let newer = Revision(report.servers);
        let age = report.list_age.map(|age| format!(" age_ms={age}"));
        let age = age.unwrap_or_default();
        for hash in &report.departed {
            let Some(id) = self.registry.withdraw(*hash, newer) else {
                continue;
            };
            let id = id.to_owned();
            let detail = format!(
                "revision={} own={} router={:08x}{}",
                newer.0,
                self.registry.revision().0,
                report.sender,
                age.as_str(),
            );
            self.log("server_withdrawn", &id, detail);
        }
    }

    /// Removes the servers that left before the store was restored, according to a report.
    fn remove_outdated(&mut self, now: Instant, report: &Report) {
        for outdated in report.restored.iter().flat_map(|r| &r.outdated) {
            let Some(id) = self.registry.remove_outdated(now, outdated) else {
                continue;
            };
            self.departures.record(now, outdated.server);
            let detail = format!(
                "restored=true sequence={} router={:08x}",
                outdated.sequence, report.sender
            );
            self.log("server_gone", &id, detail);
        }
    }

    fn subtract_peer_loads(&mut self, loads: &BTreeMap<u32, Load>) {
        for (hash, load) in loads {
            if let Some(server) = self.registry.by_hash_mut(*hash) {
                server.peer_load.subtract(*load);
            }
        }
    }

    fn apply_members(&mut self, now: Instant, names: &[String]) {
        let before = self.members.all().len();
        let listed = names.iter().map(|n| name_hash(n)).collect();
        let reporting = self.peers.heard_since(now.checked_sub(REPORTED_TTL));
        // Any datagram may be lost.
        let report_time = self.report_period() * self.cross_zone_periods() * PLACEMENT_REPORTS;
        if self.members.apply(now, listed, reporting, report_time) {
            self.log_members(before);
        }
    }

    fn log_members(&mut self, before: usize) {
        let detail = format!("routers={} were={before}", self.members.all().len());
        self.log("members_changed", "routers", detail);
    }

    fn tick(&mut self, now: Instant) {
        let zone = name_hash(&self.params.zone);
        let own_ttl = self.params.report_ttl;
        let cross_zone_ttl =
            own_ttl.max(self.report_period() * self.cross_zone_periods() * EXPIRY_PERIODS);
        let ttl = |of: u32| if of == zone { own_ttl } else { cross_zone_ttl };
        self.room.expire(now, ttl);
        for expired in self.peers.expire(now, ttl) {
            self.subtract_peer_loads(&expired.loads);
            #[allow(clippy::cast_precision_loss)]
            for (workspace, pending) in expired.pending {
                let workspace = WorkspaceHash(workspace);
                self.quota.add_pending(workspace, -(pending as f64));
            }
        }
        let before = self.members.all().len();
        let heard = self.peers.heard_since(now.checked_sub(REPORTED_TTL));
        if self.members.expire(heard) {
            self.log_members(before);
        }
        let is_member = |router: u32| self.members.contains(router);
        self.reporting = self.peers.reporting(now, ttl, is_member);
        for id in self.registry.remove_expired(now, self.params.lapse_grace) {
            self.departures.record(now, name_hash(&id));
            self.judge_departure(now, name_hash(&id));
            self.log("server_gone", &id, "lapsed=true".to_owned());
        }
        self.drop_retired_services();
        self.drop_full_paces(now);
        self.tick_rollouts(now);
        let expired = self
            .kept_evacuations
            .extract_if(.., |_, until| now >= *until);
        for zone in expired.map(|(zone, _)| zone).collect::<Vec<_>>() {
            self.config.evacuated.remove(&zone);
            self.log("evacuation_dropped", &zone, "restored=true".to_owned());
        }
    }
}

/// Returns the version of a deployment configuration; 0 without one.
fn deployment_version(config: &OperatorConfig) -> u64 {
    config.deployment.as_ref().map_or(0, |d| d.version)
}
