//! The shell around the reducer: passes events to it, returns its decisions, and holds the
//! settings, metrics and connections that the daemon's tasks share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::FutureExt;
use futures_util::future::Shared;
use hibiscusrail_check::{Known, Reported};
use hibiscusrail_core::Clock;
use hibiscusrail_fleet::event::{Execution, HealthCheck, Inputs, Reason, RefusalInputs};
use hibiscusrail_fleet::freshness::Confirmation;
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::registry::ServerKey;
use hibiscusrail_fleet::{Decision, Event, Fleet, RequestKey};
use hibiscusrail_net::memory::Budget;
use hibiscusrail_net::pool::Pool;
use hibiscusrail_net::{Connections, OwnedConnection, full};
use hibiscusrail_settings::FrontSettings;
use http::HeaderMap;

use crate::metrics::Metrics;
use crate::origins::Origins;
use crate::protocol::Protocol;
use crate::refusal;
use crate::unserved::Unserved;
use crate::work::{Kind, Work};

/// Maximum idle time of reused connections; servers close theirs after a whole number of seconds.
const MAX_IDLE: Duration = Duration::from_millis(900);

/// The server that an attempt is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Key of the server in the reducer.
    pub server: ServerKey,
    /// Id of the server.
    pub id: String,
    /// Software version of the server.
    pub version: String,
    /// Address where the server receives requests.
    pub address: SocketAddr,
    /// Server that transfers the missing KV cache of the prompt's shared prefix to this one.
    pub source: Option<SocketAddr>,
    /// Expected time to first byte, from the decision on.
    pub expected: Duration,
    /// Whether the server was taken for a warm one.
    pub as_warm: bool,
}

/// Final failure of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestError {
    /// Why the request failed.
    pub reason: Reason,
    /// Whether a server ran the request.
    pub execution: Execution,
    /// Time after which a retry is worthwhile.
    pub retry_after: Duration,
}

/// What the reducer decided to do next with a request.
#[derive(Debug, Clone)]
pub enum NextStep {
    /// Send it to a server.
    Send(Target),
    /// Fail the request.
    Fail(RequestError),
}

/// State shared by the daemon's tasks.
pub struct Shell {
    fleet: RefCell<Fleet>,
    clock: Box<dyn Clock>,
    settings: RefCell<FrontSettings>,
    protocol: Protocol,
    pool: Rc<Pool<OwnedConnection>>,
    metrics: Metrics,
    connections: Rc<Connections>,
    budget: Arc<Budget>,
    work: Work,
    unserved: Unserved,
    origins: Origins,
    /// Findings of the operator configuration that were logged.
    reported: RefCell<Reported>,
    next_key: Cell<u64>,
    /// Signals that an incremental report is due.
    report_tx: RefCell<mpsc::Sender<()>>,
    report_rx: Cell<Option<mpsc::Receiver<()>>>,
    check_tx: mpsc::UnboundedSender<HealthCheck>,
    check_rx: Cell<Option<mpsc::UnboundedReceiver<HealthCheck>>>,
    stopping: Cell<Option<Instant>>,
    /// Dropped when the process is about to exit.
    running: Cell<Option<oneshot::Sender<()>>>,
    exiting: Shared<oneshot::Receiver<()>>,
}

impl std::fmt::Debug for Shell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shell").finish_non_exhaustive()
    }
}

impl Shell {
    /// Creates the shell of a router without operator configuration.
    #[must_use]
    pub fn new(settings: FrontSettings, protocol: Protocol, clock: Box<dyn Clock>) -> Self {
        let params = settings.params.clone();
        let name = protocol.request_id.clone();
        let refuse =
            move |headers: &HeaderMap| refusal::too_many_connections(headers.get(&name)).map(full);
        let metrics = Metrics::new();
        let connections = Connections::new()
            .with_refusal(Rc::new(refuse))
            .with_id_header(protocol.request_id.clone())
            .with_on_accept(Rc::new(metrics.accept_counter()));
        let budget = Budget::new(settings.memory_budget());
        let work = Work::new(clock.now());
        let (report_tx, report_rx) = mpsc::channel(0);
        let (check_tx, check_rx) = mpsc::unbounded();
        let (running, exiting) = oneshot::channel();
        let fleet = Fleet::new(&settings.name, clock.epoch_ms(), params, clock.now());
        Self {
            fleet: RefCell::new(fleet),
            clock,
            settings: RefCell::new(settings),
            protocol,
            pool: Rc::new(Pool::new().with_max_idle(MAX_IDLE)),
            metrics,
            connections: Rc::new(connections),
            budget: Arc::new(budget),
            work,
            unserved: Unserved::default(),
            origins: Origins::default(),
            reported: RefCell::default(),
            next_key: Cell::new(0),
            report_tx: RefCell::new(report_tx),
            report_rx: Cell::new(Some(report_rx)),
            check_tx,
            check_rx: Cell::new(Some(check_rx)),
            stopping: Cell::new(None),
            running: Cell::new(Some(running)),
            exiting: exiting.shared(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time of day in milliseconds since the Unix epoch.
    #[must_use]
    pub fn epoch_ms(&self) -> u64 {
        self.clock.epoch_ms()
    }

    /// Returns a copy of the settings in force.
    #[must_use]
    pub fn settings(&self) -> FrontSettings {
        self.settings.borrow().clone()
    }

    /// Applies changed settings, as far as a running process can.
    pub fn reload(&self, settings: FrontSettings) {
        self.fleet.borrow_mut().set_params(settings.params.clone());
        *self.settings.borrow_mut() = settings;
    }

    /// Returns the deployment's HTTP interface.
    #[must_use]
    pub fn protocol(&self) -> &Protocol {
        &self.protocol
    }

    /// Returns the pool of idle connections to servers.
    #[must_use]
    pub fn pool(&self) -> &Rc<Pool<OwnedConnection>> {
        &self.pool
    }

    /// Returns the metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the callers' connections.
    #[must_use]
    pub fn connections(&self) -> &Rc<Connections> {
        &self.connections
    }

    /// Returns the budget of memory for bodies and parts of streams.
    #[must_use]
    pub fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    /// Returns the streams that this router began.
    #[must_use]
    pub fn origins(&self) -> &Origins {
        &self.origins
    }

    /// Returns the counts of the event loop's work.
    #[must_use]
    pub fn work(&self) -> &Work {
        &self.work
    }

    /// Returns the counts of refused requests by workspace.
    #[must_use]
    pub fn unserved(&self) -> &Unserved {
        &self.unserved
    }

    /// Returns whether more than half of the allowed callers' connections are open.
    #[must_use]
    pub fn connections_half_full(&self) -> bool {
        self.connections.open_count() > self.settings.borrow().max_caller_connections() / 2
    }

    /// Returns whether the router is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Returns the time since the stop began; none before it.
    #[must_use]
    pub fn stopping_for(&self) -> Option<Duration> {
        let since = self.stopping.get()?;
        Some(self.now().saturating_duration_since(since))
    }

    /// Begins the stop: the router is not ready any more.
    pub fn stop(&self) {
        self.stopping.set(Some(self.now()));
        self.handle(Event::Stopping);
    }

    /// Marks the process as about to exit: every new request is refused, and those without an answer
    /// get one.
    pub fn begin_exit(&self) {
        self.running.take();
    }

    /// Waits until the process is about to exit.
    pub async fn exit_begins(&self) {
        // The sender sends nothing, so it is an error in any case.
        let _ = self.exiting.clone().await;
    }

    /// Returns whether the process is about to exit.
    #[must_use]
    pub fn is_exiting(&self) -> bool {
        self.exiting.clone().now_or_never().is_some()
    }

    /// Returns whether the router is ready for callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let fleet = self.fleet.borrow();
        !self.is_stopping() && fleet.config().deployment.is_some() && !fleet.sheds()
    }

    /// Returns the receiver that is signalled when an incremental report is due; only once.
    #[must_use]
    pub fn report_signal(&self) -> Option<mpsc::Receiver<()>> {
        self.report_rx.take()
    }

    /// Returns the receiver of the health checks that are due; only once.
    #[must_use]
    pub fn checks(&self) -> Option<mpsc::UnboundedReceiver<HealthCheck>> {
        self.check_rx.take()
    }

    /// Calls `look` with the reducer's state.
    pub fn with_fleet<T>(&self, look: impl FnOnce(&Fleet) -> T) -> T {
        look(&self.fleet.borrow())
    }

    /// Calls `work` with the mutable reducer, which building a report needs.
    pub fn with_fleet_mut<T>(&self, work: impl FnOnce(&mut Fleet) -> T) -> T {
        work(&mut self.fleet.borrow_mut())
    }

    /// Returns a unique key for a new request.
    #[must_use]
    pub fn new_request_key(&self) -> RequestKey {
        let key = RequestKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        key
    }

    /// Passes an event to the reducer and returns the decision on a request, if there is one.
    pub fn handle(&self, event: Event) -> Option<NextStep> {
        let began = self.now();
        let kind = Kind::of(&event);
        let step = self.decide(began, event);
        let time = self.now().saturating_duration_since(began);
        self.work.add(kind.with_step(step.as_ref()), time);
        step
    }

    /// Reports that the server of a request is silent and returns the one that is to replace it, if
    /// any.
    pub fn stalled(&self, request: RequestKey) -> Option<Target> {
        match self.handle(Event::Stalled(request)) {
            Some(NextStep::Send(target)) => Some(target),
            Some(NextStep::Fail(_)) | None => None,
        }
    }

    /// Applies the operator configuration in force to the connections and logs its new findings, unless
    /// it still is the one of revision `before`.
    fn apply_config(&self, before: Revision) {
        let fleet = self.fleet.borrow();
        if let Some(deployment) = &fleet.config().deployment {
            self.connections.set_head_timeout(deployment.limits.idle);
        }
        if fleet.config_revision() == before {
            return;
        }
        let mut known = Known::new().with_budget(self.budget.limit());
        let servers = fleet.registry();
        // Before the first list, the servers are unknown.
        if servers.revision() != Revision::default() {
            let backends = servers.all().map(|s| &s.backend);
            known = known.with_servers(backends.map(|b| (b.service.as_str(), b.zone.as_str())));
        }
        for service in fleet.rollouts().ended() {
            known = known.with_ended(service);
        }
        let findings = hibiscusrail_check::check(fleet.config(), &known);
        let count = findings.len();
        let selected = self.reported.borrow_mut().select(findings);
        for finding in &selected {
            log::warn!(
                kind:? = finding.kind,
                place:% = finding.place,
                detail = finding.text.as_str();
                "config_finding"
            );
        }
        if !selected.is_empty() {
            let revision = fleet.config_revision().0;
            log::info!(revision = revision, findings = count, logged = selected.len(); "config_checked");
        }
        self.metrics.set_config_findings(count);
    }

    fn decide(&self, now: Instant, event: Event) -> Option<NextStep> {
        let is_config = matches!(event, Event::Config(..));
        let revision = self.fleet.borrow().config_revision();
        let decisions = self.fleet.borrow_mut().handle(now, event);
        if is_config {
            self.apply_config(revision);
        }
        if self.fleet.borrow().has_incremental_report() {
            // If the channel is full, a report is already due.
            let _ = self.report_tx.borrow_mut().try_send(());
        }
        let mut step = None;
        for decision in decisions {
            match decision {
                Decision::Send {
                    request,
                    server,
                    id,
                    version,
                    address,
                    source,
                    expected,
                    inputs,
                } => {
                    let list = self.fleet.borrow().freshness().own();
                    let age = list.map(|l| self.now().saturating_duration_since(l.at));
                    log_send(request, (&id, &version), expected, &inputs, list.zip(age));
                    self.metrics.attempt_sent();
                    if let Some(age) = age {
                        self.metrics.observe_list_age(age);
                    }
                    step = Some(NextStep::Send(Target {
                        server,
                        id,
                        version,
                        address,
                        source,
                        expected,
                        as_warm: inputs.cold.is_none(),
                    }));
                }
                Decision::Fail {
                    request,
                    reason,
                    execution,
                    retry_after,
                    inputs,
                } => {
                    if let Some(inputs) = inputs {
                        if let RefusalInputs::Server { exclusions, .. }
                        | RefusalInputs::Room { exclusions, .. } = &inputs
                        {
                            self.metrics.servers_excluded(exclusions);
                        }
                        log_refused(request, reason, &inputs);
                    }
                    step = Some(NextStep::Fail(RequestError {
                        reason,
                        execution,
                        retry_after,
                    }));
                }
                Decision::Wait { request, reason } => {
                    log::info!(call = request.0, reason:? = reason; "request_waits");
                }
                Decision::Check(check) => {
                    // Nothing receives them before the daemon's tasks run.
                    let _ = self.check_tx.unbounded_send(check);
                }
                Decision::Log {
                    event,
                    subject,
                    detail,
                } => log::info!(subject = subject.as_str(), detail = detail.as_str(); "{event}"),
            }
        }
        step
    }
}

fn log_send(
    request: RequestKey,
    (server, version): (&str, &str),
    expected: Duration,
    inputs: &Inputs,
    list: Option<(Confirmation, Duration)>,
) {
    log::info!(
        call = request.0,
        server = server,
        version = version,
        expected_ms = millis(expected),
        unread = inputs.pending_prefill,
        running = inputs.running,
        read = inputs.prefill_tokens,
        shared = inputs.shared,
        cached = inputs.cached,
        reading = inputs.prefill_fraction,
        pace_us = micros(inputs.token_interval),
        home = inputs.preferred,
        copied = inputs.transferred,
        standing:? = inputs.share,
        cold = inputs.cold.is_some(),
        heard_ms = inputs.heard.map(millis),
        revision = inputs.revision.0,
        age_ms = list.map(|(_, age)| millis(age)),
        source = list.map(|(list, _)| list.source.to_string());
        "request_placed"
    );
    if let Some(cold) = &inputs.cold {
        log::info!(
            call = request.0,
            server = server,
            rate = cold.rate,
            routers = cold.routers;
            "cold_server_used"
        );
    }
}

fn log_refused(request: RequestKey, reason: Reason, inputs: &RefusalInputs) {
    let (inputs, exclusions) = match inputs {
        RefusalInputs::Server { best, exclusions } => (best, exclusions),
        RefusalInputs::Room {
            standing,
            exclusions,
        } => {
            log::info!(
                call = request.0,
                reason:? = reason,
                running = standing.running,
                of_rank = standing.of_rank,
                reserved = standing.reserved,
                unmet = standing.unmet,
                share = standing.share,
                service_ms = millis(standing.service_time),
                left_ms = millis(standing.left),
                servers = exclusions.servers,
                over_connections = exclusions.connections,
                over_slots = exclusions.slots,
                over_occupancy = exclusions.occupancy,
                late = exclusions.late;
                "request_not_placed"
            );
            return;
        }
        RefusalInputs::Share { share } => {
            log::info!(call = request.0, reason:? = reason, standing:? = share; "request_not_placed");
            return;
        }
        RefusalInputs::Router { lag, share } => {
            log::info!(
                call = request.0,
                reason:? = reason,
                late_ms = millis(*lag),
                standing:? = share;
                "request_not_placed"
            );
            return;
        }
    };
    log::info!(
        call = request.0,
        reason:? = reason,
        begin_ms = millis(inputs.first_byte),
        unread = inputs.pending_prefill,
        taken = inputs.slots_used,
        reading = inputs.prefill_fraction,
        pace_us = micros(inputs.token_interval),
        standing:? = inputs.share,
        servers = exclusions.servers,
        over_connections = exclusions.connections,
        over_slots = exclusions.slots,
        over_spill = exclusions.spill,
        over_prefill = exclusions.prefill,
        over_interval = exclusions.interval,
        over_occupancy = exclusions.occupancy,
        late = exclusions.late,
        revision = inputs.revision.0;
        "request_not_placed"
    );
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns whole milliseconds, for log lines.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
