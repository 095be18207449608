//! Prometheus metrics of the daemon.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_fleet::event::{Exclusions, Execution};
use hibiscusrail_fleet::rollout::Rollouts;
use hibiscusrail_net::memory::Budget;
use hibiscusrail_net::process::ProcessMetrics;
use hibiscusrail_net::server::{AcceptEvent, Accepted};
use prometheus::{
    CounterVec, Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::work::Work;

/// Upper bounds of the latency histograms in seconds: 5 ms to 12 s.
const LATENCY_BUCKETS: [f64; 11] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 12.0];

/// Counters of the streams of a workspace that the overloaded router refuses.
#[derive(Debug)]
pub struct RefusalCounters {
    name: String,
    workspace: IntCounter,
    service: IntCounter,
    total: Histogram,
}

impl RefusalCounters {
    /// Counts a refused stream.
    pub fn count(&self) {
        self.workspace.inc();
        self.service.inc();
        self.total.observe(0.0);
    }

    /// Returns the name of the workspace; empty for public routes.
    #[must_use]
    pub fn workspace(&self) -> &str {
        &self.name
    }
}

/// All metrics of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    workspaces: IntCounterVec,
    first_byte: HistogramVec,
    total: HistogramVec,
    attempts: IntCounter,
    exclusions: IntCounterVec,
    failures: IntCounterVec,
    store_errors: IntCounterVec,
    /// Counters of refused streams, by workspace and service.
    refusals: RefCell<BTreeMap<String, BTreeMap<String, Rc<RefusalCounters>>>>,
    resumes: IntCounterVec,
    accepted: IntCounterVec,
    full_batches: IntCounter,
    running: IntGauge,
    connections: IntGauge,
    held_bytes: IntGauge,
    evicted_bodies: IntGauge,
    ready: IntGauge,
    revision: IntGauge,
    loop_lag: Gauge,
    list_age: Histogram,
    config_age: Gauge,
    config_findings: IntGauge,
    rollouts: IntGaugeVec,
    work: WorkMetrics,
}

/// Counters of the event loop's work, by its kind.
#[derive(Debug)]
struct WorkMetrics {
    count: IntCounterVec,
    time: CounterVec,
    late: CounterVec,
}

impl WorkMetrics {
    fn new(registry: &Registry) -> Self {
        Self {
            count: counters(
                registry,
                "hibiscusrail_loop_work_total",
                "Events that the loop handled, by kind of work.",
                &["work"],
            ),
            time: seconds(
                registry,
                "hibiscusrail_loop_work_seconds_total",
                "Time of the reducer and its decisions, by kind of work.",
            ),
            late: seconds(
                registry,
                "hibiscusrail_loop_work_late_seconds_total",
                "Sum of the loop's lateness when each event was handled, by kind of work.",
            ),
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn set(&self, work: &Work) {
        for (kind, amount) in work.amounts() {
            let labels = [kind.name()];
            let counter = self.count.with_label_values(&labels);
            counter.inc_by(amount.count.saturating_sub(counter.get()));
            let counter = self.time.with_label_values(&labels);
            counter.inc_by((amount.time.as_secs_f64() - counter.get()).max(0.0));
            let counter = self.late.with_label_values(&labels);
            counter.inc_by((amount.late.as_secs_f64() - counter.get()).max(0.0));
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid");
    register(registry, counters)
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("the name is valid");
    register(registry, counter)
}

fn seconds_gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::new(name, help).expect("the name is valid");
    register(registry, gauge)
}

fn seconds(registry: &Registry, name: &str, help: &str) -> CounterVec {
    let counters = CounterVec::new(Opts::new(name, help), &["work"]).expect("the name is valid");
    register(registry, counters)
}

fn histograms(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let histograms = HistogramVec::new(options, &["service"]).expect("the name is valid");
    register(registry, histograms)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the name is valid");
    register(registry, gauge)
}

fn findings_gauge(registry: &Registry) -> IntGauge {
    gauge(
        registry,
        "hibiscusrail_config_findings",
        "Findings of the last check of the operator configuration.",
    )
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    collector: C,
) -> C {
    registry
        .register(Box::new(collector.clone()))
        .expect("each name is registered once");
    collector
}

fn rollout_gauges(registry: &Registry) -> IntGaugeVec {
    let options = Opts::new(
        "hibiscusrail_rollout_requests",
        "Requests of this router since the service's order, by version and result.",
    );
    let gauges = IntGaugeVec::new(options, &["service", "version", "result"]);
    register(registry, gauges.expect("the name is valid"))
}

fn resume_counters(registry: &Registry) -> IntCounterVec {
    counters(
        registry,
        "hibiscusrail_resumes_total",
        "Requests ended that take a stream up, by what told its version, outcome and reason.",
        &["evidence", "outcome", "reason"],
    )
}

fn list_age_histogram(r: &Registry) -> Histogram {
    let options = HistogramOpts::new(
        "hibiscusrail_server_list_age_seconds",
        "Age of the server list by which a request was placed.",
    );
    let histogram = Histogram::with_opts(options.buckets(LATENCY_BUCKETS.to_vec()));
    register(r, histogram.expect("the name is valid"))
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// # Panics
    ///
    /// Never: all names are valid and unique.
    #[must_use]
    pub fn new() -> Self {
        let r = Registry::new();
        register_process(&r);
        Self {
            requests: counters(
                &r,
                "hibiscusrail_requests_total",
                "Requests ended, by service, outcome and reason.",
                &["service", "outcome", "reason"],
            ),
            workspaces: counters(
                &r,
                "hibiscusrail_workspace_requests_total",
                "Requests ended, by workspace, outcome and reason.",
                &["workspace", "outcome", "reason"],
            ),
            first_byte: histograms(
                &r,
                "hibiscusrail_first_byte_seconds",
                "Time from a request's head to the first byte of its answer.",
            ),
            total: histograms(
                &r,
                "hibiscusrail_request_seconds",
                "Time from a request's head to its end.",
            ),
            attempts: counter(
                &r,
                "hibiscusrail_attempts_total",
                "Requests sent to servers.",
            ),
            exclusions: counters(
                &r,
                "hibiscusrail_excluded_servers_total",
                "Servers over a limit at refusals, by limit.",
                &["limit"],
            ),
            failures: counters(
                &r,
                "hibiscusrail_attempt_failures_total",
                "Attempts that failed, by outcome.",
                &["outcome"],
            ),
            store_errors: counters(
                &r,
                "hibiscusrail_store_errors_total",
                "Calls to the store that failed, by step.",
                &["step"],
            ),
            resumes: resume_counters(&r),
            accepted: counters(
                &r,
                "hibiscusrail_connections_total",
                "Callers' connections, by outcome.",
                &["outcome"],
            ),
            full_batches: register(
                &r,
                IntCounter::new(
                    "hibiscusrail_full_accept_batches_total",
                    "Batches of accepted connections that were full; more may wait to be accepted.",
                )
                .expect("the name is valid"),
            ),
            running: gauge(&r, "hibiscusrail_running", "Requests under way."),
            connections: gauge(
                &r,
                "hibiscusrail_connections",
                "Open connections of callers.",
            ),
            held_bytes: held_gauge(&r),
            evicted_bodies: evicted_gauge(&r),
            ready: gauge(
                &r,
                "hibiscusrail_ready",
                "Whether callers may be sent here.",
            ),
            revision: gauge(
                &r,
                "hibiscusrail_orders_revision",
                "Revision of the operator's orders in force.",
            ),
            loop_lag: seconds_gauge(
                &r,
                "hibiscusrail_loop_late_seconds",
                "Mean lateness of the loop; new connections go elsewhere while it is high.",
            ),
            work: WorkMetrics::new(&r),
            refusals: RefCell::default(),
            config_age: seconds_gauge(
                &r,
                "hibiscusrail_config_age_seconds",
                "Time since the store confirmed the operator configuration in force.",
            ),
            config_findings: findings_gauge(&r),
            rollouts: rollout_gauges(&r),
            list_age: list_age_histogram(&r),
            registry: r,
        }
    }

    /// Returns a callback that counts what happens at the callers' listener.
    pub fn accept_counter(&self) -> impl Fn(AcceptEvent) + use<> {
        let outcome = |name| self.accepted.with_label_values(&[name]);
        let (served, refused) = (outcome("served"), outcome("refused"));
        let (closed, failed) = (outcome("closed"), outcome("failed"));
        let triaged = outcome("triaged");
        let full_batches = self.full_batches.clone();
        move |event| match event {
            AcceptEvent::Accepted(Accepted::Served) => served.inc(),
            AcceptEvent::Accepted(Accepted::Refused) => refused.inc(),
            AcceptEvent::Accepted(Accepted::Closed) => closed.inc(),
            AcceptEvent::Triaged => triaged.inc(),
            AcceptEvent::Failed => failed.inc(),
            AcceptEvent::BatchFull => full_batches.inc(),
        }
    }

    /// Counts an ended request of a workspace.
    pub fn workspace_request_ended(&self, workspace: &str, outcome: &str, reason: &str) {
        let labels = [workspace, outcome, reason];
        self.workspaces.with_label_values(&labels).inc();
    }

    /// Sets what is charged to the budget of memory and how often a body was given up.
    pub fn set_budget(&self, budget: &Budget) {
        self.held_bytes
            .set(i64::try_from(budget.held()).unwrap_or(i64::MAX));
        self.evicted_bodies
            .set(i64::try_from(budget.evictions()).unwrap_or(i64::MAX));
    }

    /// Sets the number of callers' open connections.
    pub fn set_connections(&self, open: usize) {
        self.connections
            .set(i64::try_from(open).unwrap_or(i64::MAX));
    }

    /// Counts an ended request and records its total time.
    pub fn request_ended(&self, service: &str, outcome: &str, reason: &str, total: Duration) {
        let labels = [service, outcome, reason];
        self.requests.with_label_values(&labels).inc();
        self.total
            .with_label_values(&[service])
            .observe(total.as_secs_f64());
    }

    /// Counts an ended request that takes a stream up.
    pub fn resume_ended(&self, evidence: &str, outcome: &str, reason: &str) {
        let labels = [evidence, outcome, reason];
        self.resumes.with_label_values(&labels).inc();
    }

    /// Returns the counters of a workspace's refused streams at a service.
    pub fn refusal_counters(&self, workspace: &str, service: &str) -> Rc<RefusalCounters> {
        let mut known = self.refusals.borrow_mut();
        if let Some(counters) = known.get(workspace).and_then(|c| c.get(service)) {
            return Rc::clone(counters);
        }
        let (outcome, reason) = (format!("{:?}", Execution::NotRun), "RouterBusy");
        let labels = [workspace, outcome.as_str(), reason];
        let counters = Rc::new(RefusalCounters {
            name: workspace.to_owned(),
            workspace: self.workspaces.with_label_values(&labels),
            service: self
                .requests
                .with_label_values(&[service, &outcome, reason]),
            total: self.total.with_label_values(&[service]),
        });
        let services = known.entry(workspace.to_owned()).or_default();
        services.insert(service.to_owned(), Rc::clone(&counters));
        counters
    }

    /// Records the time to first byte of a request.
    pub fn observe_first_byte(&self, service: &str, after: Duration) {
        self.first_byte
            .with_label_values(&[service])
            .observe(after.as_secs_f64());
    }

    /// Counts a request sent to a server.
    pub fn attempt_sent(&self) {
        self.attempts.inc();
    }

    /// Records the age of the server list by which a request was placed.
    pub fn observe_list_age(&self, age: Duration) {
        self.list_age.observe(age.as_secs_f64());
    }

    /// Counts the servers that were over each limit at a refusal.
    pub fn servers_excluded(&self, exclusions: &Exclusions) {
        for (limit, count) in exclusions.by_limit() {
            self.exclusions
                .with_label_values(&[limit])
                .inc_by(u64::from(count));
        }
    }

    /// Counts a failed attempt.
    pub fn attempt_failed(&self, outcome: &str) {
        self.failures.with_label_values(&[outcome]).inc();
    }

    /// Counts a failed call to the store; `step` names the kind of call.
    pub fn store_error(&self, step: &str) {
        self.store_errors.with_label_values(&[step]).inc();
    }

    /// Sets the mean event loop lag.
    pub fn set_lag(&self, lag: Duration) {
        self.loop_lag.set(lag.as_secs_f64());
    }

    /// Sets the age of the operator configuration.
    pub fn set_config_age(&self, age: Duration) {
        self.config_age.set(age.as_secs_f64());
    }

    /// Sets the number of findings of the operator configuration.
    pub fn set_config_findings(&self, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.config_findings.set(count);
    }

    /// Sets the counts of rollouts.
    pub fn set_rollouts(&self, rollouts: &Rollouts) {
        for (service, counts) in rollouts.counts() {
            for (version, count) in ["old", "new"].into_iter().zip(counts) {
                let values = [
                    ("sent", count.sent),
                    ("ended", count.responses),
                    ("failed", count.failures),
                ];
                for (what, value) in values {
                    let labels = [service, version, what];
                    let value = i64::try_from(value).unwrap_or(i64::MAX);
                    self.rollouts.with_label_values(&labels).set(value);
                }
            }
        }
    }

    /// Sets the counters of the event loop's work.
    pub fn set_work(&self, work: &Work) {
        self.work.set(work);
    }

    /// Sets the gauges to the given values and returns all metrics in the text format.
    #[must_use]
    pub fn render(&self, running: usize, ready: bool, revision: u64) -> Vec<u8> {
        self.running.set(i64::try_from(running).unwrap_or(i64::MAX));
        self.ready.set(i64::from(ready));
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        let mut page = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            log::warn!(step = "encode", error:% = error; "metrics_failed");
        }
        page
    }
}

fn held_gauge(r: &Registry) -> IntGauge {
    gauge(
        r,
        "hibiscusrail_held_bytes",
        "Bytes held for bodies and parts of streams.",
    )
}

fn evicted_gauge(r: &Registry) -> IntGauge {
    gauge(
        r,
        "hibiscusrail_evicted_bodies",
        "Stalled bodies given up since the start because memory was short.",
    )
}

fn register_process(registry: &Registry) {
    registry
        .register(Box::new(ProcessMetrics::new()))
        .expect("each name is registered once");
}
