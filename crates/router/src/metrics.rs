//! Prometheus metrics of the daemon.
//!
//! Counters and histograms are updated as events occur; gauges that mirror the reducer's state are
//! set when the metrics are requested. `docs/METRICS.md` lists every name.

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscusrail_core::effect::Counter;
use hibiscusrail_core::{Flow, Router};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use hibiscusrail_net::process::ProcessMetrics;

/// Upper bounds of the duration histograms in seconds: 0.5 ms to 2 minutes.
const TIME_BUCKETS: [f64; 18] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0,
    60.0, 120.0,
];

/// Direction label of datagrams that this router sends.
pub const SENT: &str = "sent";
/// Direction label of datagrams that this router receives.
pub const RECEIVED: &str = "received";

/// All metrics of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    first_byte: HistogramVec,
    total: HistogramVec,
    decisions: IntCounterVec,
    control_bytes: IntCounterVec,
    control_messages: IntCounterVec,
    dropped: IntCounterVec,
    connections: IntCounterVec,
    queue: IntGaugeVec,
    running: IntGauge,
    slots: IntGaugeVec,
    limits: IntGaugeVec,
    version: IntGauge,
    ready: IntGauge,
}

/// The end of a request, as metrics record it.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd<'a> {
    /// Name of the service; empty if the request was refused before one was found.
    pub service: &'a str,
    /// `answered`, `cut`, `hung_up`, or whether a refused request ran.
    pub outcome: &'a str,
    /// Code of the refusal; `ok` for a complete response.
    pub code: &'a str,
    /// Time from the head of the request to its end.
    pub total: Duration,
}

/// Creates and registers metrics under the prefix `hibiscusrail`.
struct MetricFactory<'a>(&'a Registry);

impl MetricFactory<'_> {
    fn register<C: prometheus::core::Collector + Clone + 'static>(&self, metric: &C) {
        self.0
            .register(Box::new(metric.clone()))
            .expect("metric names are distinct");
    }

    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let opts = Opts::new(name, help).namespace("hibiscusrail");
        let metric = IntCounterVec::new(opts, labels).expect("metric names are valid");
        self.register(&metric);
        metric
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let opts = Opts::new(name, help).namespace("hibiscusrail");
        let metric = IntGaugeVec::new(opts, labels).expect("metric names are valid");
        self.register(&metric);
        metric
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let opts = Opts::new(name, help).namespace("hibiscusrail");
        let metric = IntGauge::with_opts(opts).expect("metric names are valid");
        self.register(&metric);
        metric
    }

    fn histogram(&self, name: &str, help: &str) -> HistogramVec {
        let opts = HistogramOpts::new(name, help)
            .namespace("hibiscusrail")
            .buckets(TIME_BUCKETS.to_vec());
        let metric = HistogramVec::new(opts, &["service"]).expect("metric names are valid");
        self.register(&metric);
        metric
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name; all names are literals in this function.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        registry
            .register(Box::new(ProcessMetrics::new()))
            .expect("metric names are distinct");
        let make = MetricFactory(&registry);
        Self {
            requests: make.counters(
                "requests_total",
                "Callers' requests by how they ended.",
                &["service", "outcome", "code"],
            ),
            first_byte: make.histogram(
                "first_byte_seconds",
                "Time from a request's head to the head of its answer.",
            ),
            total: make.histogram(
                "request_seconds",
                "Time from a request's head to the end of its answer.",
            ),
            decisions: make.counters(
                "decisions_total",
                "Decisions of the reducer by kind.",
                &["kind"],
            ),
            control_bytes: make.counters(
                "control_bytes_total",
                "Payload bytes of datagrams between routers.",
                &["direction", "kind"],
            ),
            control_messages: make.counters(
                "control_messages_total",
                "Datagrams between routers.",
                &["direction", "kind"],
            ),
            dropped: make.counters(
                "datagrams_dropped_total",
                "Datagrams that were not taken in or could not be sent, by reason.",
                &["reason"],
            ),
            connections: make.counters(
                "connections_total",
                "Callers' connections by what became of them.",
                &["outcome"],
            ),
            queue: make.gauges(
                "queue_length",
                "Requests that wait at this router.",
                &["service", "workspace"],
            ),
            running: make.gauge("running_requests", "Requests of this router that run."),
            slots: make.gauges(
                "slots_in_use",
                "Slots in use at the servers that this router dispatches.",
                &["server"],
            ),
            limits: make.gauges(
                "server_limit",
                "Concurrency limit of the servers that this router dispatches.",
                &["server"],
            ),
            version: make.gauge("config_version", "Highest ticket number in force."),
            ready: make.gauge("ready", "Whether callers may be sent here, 1 or 0."),
            registry,
        }
    }

    /// Counts a request by its outcome and records its duration.
    pub fn request_ended(&self, end: RequestEnd<'_>) {
        let labels = [end.service, end.outcome, end.code];
        self.requests.with_label_values(&labels).inc();
        if !end.service.is_empty() {
            let total = self.total.with_label_values(&[end.service]);
            total.observe(end.total.as_secs_f64());
        }
    }

    /// Records the time to the head of a response.
    pub fn first_byte(&self, service: &str, elapsed: Duration) {
        let histogram = self.first_byte.with_label_values(&[service]);
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Counts a decision of the reducer.
    pub fn decision(&self, counter: Counter) {
        let kind = match counter {
            Counter::Accepted => "accepted",
            Counter::Refused => "refused",
            Counter::Granted => "granted",
            Counter::Returned => "returned",
            Counter::Retried => "retried",
            Counter::Stale => "stale",
        };
        self.decisions.with_label_values(&[kind]).inc();
    }

    /// Counts a datagram between routers; `direction` is [`SENT`] or [`RECEIVED`].
    pub fn datagram(&self, direction: &str, kind: &str, bytes: usize) {
        let labels = [direction, kind];
        self.control_messages.with_label_values(&labels).inc();
        self.control_bytes
            .with_label_values(&labels)
            .inc_by(bytes as u64);
    }

    /// Counts a datagram that was dropped.
    pub fn datagram_dropped(&self, reason: &str) {
        self.dropped.with_label_values(&[reason]).inc();
    }

    /// Counts a connection of a caller by its outcome.
    pub fn connection(&self, outcome: &str) {
        self.connections.with_label_values(&[outcome]).inc();
    }

    /// Returns all metrics in the Prometheus text format, with the gauges taken from `router`.
    ///
    /// # Panics
    ///
    /// Never panics: encoding into memory can't fail.
    #[must_use]
    pub fn encode(&self, router: &Router) -> Vec<u8> {
        self.set_gauges(router);
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("metrics encode to memory");
        text
    }

    /// Sets the gauges that mirror the state of `router`.
    fn set_gauges(&self, router: &Router) {
        let config = router.config();
        self.running.set(i64::from(router.running()));
        self.ready.set(i64::from(router.readiness().is_ok()));
        self.version
            .set(i64::try_from(config.head().0).unwrap_or(i64::MAX));
        self.slots.reset();
        self.limits.reset();
        for (id, limit, used) in router.dispatcher().servers() {
            let Some(server) = config.server(id) else {
                continue;
            };
            let used = i64::try_from(used).unwrap_or(i64::MAX);
            self.slots.with_label_values(&[&server.name]).set(used);
            let limit = i64::from(limit);
            self.limits.with_label_values(&[&server.name]).set(limit);
        }
        self.queue.reset();
        for queue in queue_lengths(router) {
            let waiting = i64::try_from(queue.waiting).unwrap_or(i64::MAX);
            self.queue
                .with_label_values(&[&queue.service, &queue.workspace])
                .set(waiting);
        }
    }
}

/// Number of requests that wait in the queue of one flow.
#[hibiscusrail_macros::record]
pub struct QueueLength {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Number of waiting requests.
    pub waiting: usize,
}

/// Returns the length of every queue that is not empty.
#[must_use]
pub fn queue_lengths(router: &Router) -> Vec<QueueLength> {
    let config = router.config();
    let waiting: BTreeMap<Flow, usize> = router.entry().queues().collect();
    waiting
        .into_iter()
        .filter_map(|(flow, waiting)| {
            Some(QueueLength {
                service: config.service(flow.service)?.name.clone(),
                workspace: config.workspace(flow.workspace)?.name.clone(),
                waiting,
            })
        })
        .collect()
}
