//! Measures the cost of the path through a router: the time that it adds to the
//! first byte, plain requests per second, open streams and memory.
//!
//! Requests through the routers and requests sent directly to the stand-ins alternate in one run,
//! over persistent connections, so that both are measured under the same conditions of the machine.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hibiscusrail_macros::{id, record};
use hibiscusrail_net::{Body, Connection, connect, full};
use http::{Method, Request, header};
use http_body_util::BodyExt;
use serde::Serialize;
use serde_json::json;

use super::lab::Lab;
use super::{Context, ExperimentError, Outcome, Verdict};
use crate::deployment::{Deployment, unique_loopback_host};
use crate::fleet::RouterOptions;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests per second of the comparison, to each target.
const RATE: u32 = 200;
/// Number of tokens of a draft in the comparison.
const DRAFT_TOKENS: u64 = 8;
/// Number of connections that each send one plain request after the other.
const SENDERS: usize = 256;
/// Number of streams to hold open at the same time.
const STREAMS: usize = 2_000;
/// Number of tokens of each of the [`STREAMS`].
const STREAM_TOKENS: u64 = 400;
/// Number of streams started together as a burst, and the time between two bursts.
const BURST_SIZE: usize = 50;
const BURST_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum time in a histogram, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Maximum time that a router may add to the median time to first byte.
pub const MAX_ADDED_P50: Duration = Duration::from_millis(1);
/// Maximum time that a router may add to the 99th percentile of the time to first byte.
pub const MAX_ADDED_P99: Duration = Duration::from_millis(5);
/// Minimum rate of plain requests through one router, per second.
pub const MIN_PLAIN_RATE: f64 = 5_000.0;
/// Maximum resident memory of one router, in bytes.
pub const MAX_MEMORY: u64 = 64 << 20;

/// Duration of each comparison, and of the throughput measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let time = context.duration(MEASURE_TIME);
    compio::runtime::Runtime::new()?.block_on(async {
        let dir = context.out.join("path");
        let lab = Lab::start(comparison_deployment(), &dir, RouterOptions::default()).await?;
        let plain = compare(&lab.deployment, false, time).await;
        println!("{plain}");
        let stream = compare(&lab.deployment, true, time).await;
        println!("{stream}");
        drop(lab);
        let throughput = {
            let (lab, pid) = start_single_router(&dir).await?;
            throughput(&lab.deployment, pid, time).await
        };
        println!("{throughput}");
        let streams = {
            let (lab, pid) = start_single_router(&dir).await?;
            streams(&lab.deployment, pid).await
        };
        println!("{streams}");
        Ok(Outcome {
            verdicts: verdicts(&plain, &stream, &throughput, &streams),
            settings: json!({"rate_per_s": RATE, "senders": SENDERS, "streams": STREAMS}),
            summary: String::new(),
            figures: json!({
                "plain": plain,
                "stream": stream,
                "throughput": throughput,
                "streams": streams,
            }),
        })
    })
}

/// Starts a deployment with one router; returns it and the router's pid.
async fn start_single_router(dir: &Path) -> Result<(Lab, u32), ExperimentError> {
    let mut lab = Lab::start(single_router_deployment(), dir, RouterOptions::default()).await?;
    let name = lab.deployment.routers[0].name.clone();
    let pid = lab.fleet.process(&name).map_or(0, |p| p.pid());
    Ok((lab, pid))
}

fn verdicts(
    plain: &Comparison,
    stream: &Comparison,
    throughput: &Throughput,
    streams: &Streams,
) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for compared in [plain, stream] {
        let name = |what: &str| format!("path_{}_{what}", compared.kind);
        let (p50, p99) = (compared.added_p50_ms(), compared.added_p99_ms());
        verdicts.push(Verdict::at_most(
            &name("added_p50_ms"),
            p50,
            ms(MAX_ADDED_P50),
        ));
        verdicts.push(Verdict::at_most(
            &name("added_p99_ms"),
            p99,
            ms(MAX_ADDED_P99),
        ));
        verdicts.push(Verdict::at_most(
            &name("wrong"),
            as_f64(compared.wrong),
            0.0,
        ));
    }
    let asked = as_f64(streams.asked as u64);
    let whole = as_f64(streams.whole as u64);
    let open = as_f64(streams.open as u64);
    verdicts.extend([
        Verdict::at_most("path_throughput_wrong", as_f64(throughput.wrong), 0.0),
        Verdict::at_least("path_streams_whole", whole, asked),
        Verdict::at_least("path_streams_open", open, asked),
        Verdict::at_most("path_memory_mib", mib(streams.memory), mib(MAX_MEMORY)),
        Verdict::at_least("path", throughput.rate, MIN_PLAIN_RATE),
    ]);
    verdicts
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn as_f64(count: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let count = count as f64;
    count
}

/// Target of a request.
#[id]
pub enum Target {
    /// A router.
    Router,
    /// A stand-in, without a router in between.
    StandIn,
}

/// Times to first byte of one kind of request, through a router and directly to a stand-in.
#[record]
#[derive(Serialize)]
pub struct Comparison {
    /// Kind of the requests: `plain` or `stream`.
    pub kind: String,
    /// Number of right answers through a router.
    pub count: u64,
    /// Number of requests without the right answer, to either target.
    pub wrong: u64,
    /// Median through a router, in milliseconds.
    pub routed_p50_ms: f64,
    /// 99th percentile through a router, in milliseconds.
    pub routed_p99_ms: f64,
    /// Median directly to a stand-in, in milliseconds.
    pub direct_p50_ms: f64,
    /// 99th percentile directly to a stand-in, in milliseconds.
    pub direct_p99_ms: f64,
}

impl Comparison {
    /// Returns the time that a router adds to the median, in milliseconds.
    #[must_use]
    pub fn added_p50_ms(&self) -> f64 {
        self.routed_p50_ms - self.direct_p50_ms
    }

    /// Returns the time that a router adds to the 99th percentile, in milliseconds.
    #[must_use]
    pub fn added_p99_ms(&self) -> f64 {
        self.routed_p99_ms - self.direct_p99_ms
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "path kind={} count={} wrong={} added_p50_ms={:.3} added_p99_ms={:.3} \
             routed_p50_ms={:.3} routed_p99_ms={:.3} direct_p50_ms={:.3} direct_p99_ms={:.3}",
            self.kind,
            self.count,
            self.wrong,
            self.added_p50_ms(),
            self.added_p99_ms(),
            self.routed_p50_ms,
            self.routed_p99_ms,
            self.direct_p50_ms,
            self.direct_p99_ms,
        )
    }
}

/// Returns the deployment of the comparison: seven routers in three zones.
#[must_use]
pub fn comparison_deployment() -> Deployment {
    let mut deployment = Deployment::new(unique_loopback_host(), "model", 6, "records", 3);
    for server in &mut deployment.servers {
        // Direct requests would overload a cold engine.
        server.cold_limit = server.warm_limit;
    }
    deployment
}

/// Returns a deployment of one router whose servers are never the bottleneck.
#[must_use]
pub fn single_router_deployment() -> Deployment {
    let mut deployment = Deployment::new(unique_loopback_host(), "model", 10, "records", 3);
    deployment.routers.truncate(1);
    for server in &mut deployment.servers {
        server.cold_limit = 256;
        server.warm_limit = 256;
        // The only router's zone, since servers in a zone without a router wait.
        server.zone.clone_from(&deployment.routers[0].zone);
    }
    deployment
}

/// A request and the expected end of its answer.
struct CheckedRequest {
    request: Request<Body>,
    expected: Vec<u8>,
}

/// Pool of persistent connections to one address.
struct ConnectionPool {
    peer: SocketAddr,
    idle: RefCell<Vec<Connection>>,
}

impl ConnectionPool {
    fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            idle: RefCell::default(),
        }
    }

    /// Returns an idle connection that is still usable, or a new one.
    async fn take(&self) -> Option<Connection> {
        while let Some(mut connection) = self.next_idle() {
            if connection.ready().await.is_ok() {
                return Some(connection);
            }
        }
        connect(self.peer, CONNECT_TIMEOUT).await.ok()
    }

    fn next_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }

    /// Sends a request; returns the time to first byte if the answer is right.
    async fn send(&self, checked: CheckedRequest) -> Option<Duration> {
        let mut connection = self.take().await?;
        let started = Instant::now();
        let answer = connection.send_request(checked.request).await.ok()?;
        let success = answer.status().is_success();
        let mut incoming = answer.into_body();
        let mut first = None;
        let mut body = Vec::new();
        while let Some(frame) = incoming.frame().await {
            let frame = frame.ok()?;
            first.get_or_insert_with(|| started.elapsed());
            if let Some(data) = frame.data_ref() {
                body.extend_from_slice(data);
            }
        }
        self.idle.borrow_mut().push(connection);
        let right = success && body.ends_with(&checked.expected);
        first.filter(|_| right)
    }
}

fn plain_request(deployment: &Deployment, target: Target, number: u64) -> CheckedRequest {
    let id = format!("p{number}");
    let path = match target {
        Target::Router => format!("/{}/record/{number}", deployment.plain_service),
        Target::StandIn => format!("/record/{number}"),
    };
    let request = request_builder(deployment, &id)
        .method(Method::GET)
        .uri(path);
    CheckedRequest {
        request: request.body(full("")).expect("the request is valid"),
        expected: format!("{id} GET /record/{number}").into_bytes(),
    }
}

fn draft_request(deployment: &Deployment, number: u64, tokens: u64) -> CheckedRequest {
    let id = format!("d{number}");
    let chat = serde_json::json!({
        "model": deployment.model_service,
        "stream": true,
        "messages": [{
            "role": "user",
            "content": hibiscusrail_standin::text::prompt(&id, tokens),
        }],
    });
    let request = request_builder(deployment, &id)
        .method(Method::POST)
        .uri("/v1/chat/completions");
    CheckedRequest {
        request: request
            .body(full(chat.to_string()))
            .expect("the request is valid"),
        expected: b"data: [DONE]\n\n".to_vec(),
    }
}

fn request_builder(deployment: &Deployment, id: &str) -> http::request::Builder {
    let key = deployment.workspaces[0].key();
    Request::builder()
        .header(header::HOST, "loopback")
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header("x-request-id", id)
}

/// Times to first byte by target, while a measurement runs.
struct Latencies {
    routed: RefCell<Histogram<u64>>,
    direct: RefCell<Histogram<u64>>,
    wrong: Cell<u64>,
}

impl Latencies {
    fn new() -> Self {
        let empty = || {
            Histogram::new_with_max(MAX_LATENCY_US, 3)
                .expect("the bounds are valid")
                .into()
        };
        Self {
            routed: empty(),
            direct: empty(),
            wrong: Cell::new(0),
        }
    }

    fn record(&self, target: Target, time: Option<Duration>) {
        let Some(time) = time else {
            self.wrong.set(self.wrong.get() + 1);
            return;
        };
        let latencies = match target {
            Target::Router => &self.routed,
            Target::StandIn => &self.direct,
        };
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_LATENCY_US);
        latencies.borrow_mut().saturating_record(micros);
    }

    fn comparison(&self, kind: &str) -> Comparison {
        let (routed, direct) = (self.routed.borrow(), self.direct.borrow());
        #[allow(clippy::cast_precision_loss)]
        let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
        Comparison {
            kind: kind.to_owned(),
            count: routed.len(),
            wrong: self.wrong.get(),
            routed_p50_ms: ms(&routed, 0.5),
            routed_p99_ms: ms(&routed, 0.99),
            direct_p50_ms: ms(&direct, 0.5),
            direct_p99_ms: ms(&direct, 0.99),
        }
    }
}

/// Sends `RATE` requests per second to each target for `time` and compares their times.
pub async fn compare(deployment: &Deployment, stream: bool, time: Duration) -> Comparison {
    let routers: Vec<_> = deployment.routers.iter().map(|r| r.listen).collect();
    let servers = deployment.servers.iter().filter(|s| s.is_model == stream);
    let servers: Vec<_> = servers.map(|s| s.address).collect();
    let pools = |peers: Vec<SocketAddr>| -> Vec<Rc<ConnectionPool>> {
        peers
            .into_iter()
            .map(|p| Rc::new(ConnectionPool::new(p)))
            .collect()
    };
    let (routed, direct) = (pools(routers), pools(servers));
    let latencies = Rc::new(Latencies::new());
    let gap = Duration::from_secs(1) / (RATE * 2);
    let started = Instant::now();
    let mut tasks = Vec::new();
    let mut number = 0;
    while started.elapsed() < time {
        let target = if number % 2 == 0 {
            Target::Router
        } else {
            Target::StandIn
        };
        let pools = match target {
            Target::Router => &routed,
            Target::StandIn => &direct,
        };
        let round = usize::try_from(number / 2).unwrap_or(0);
        let pool = Rc::clone(&pools[round % pools.len()]);
        let checked = if stream {
            draft_request(deployment, number, DRAFT_TOKENS)
        } else {
            plain_request(deployment, target, number)
        };
        let latencies = Rc::clone(&latencies);
        tasks.push(compio::runtime::spawn(async move {
            let time = pool.send(checked).await;
            latencies.record(target, time);
        }));
        number += 1;
        let due = gap * u32::try_from(number).unwrap_or(u32::MAX);
        compio::time::sleep(due.saturating_sub(started.elapsed())).await;
    }
    for task in tasks {
        // The request of a task that panicked is missing from the counts.
        let _ = task.await;
    }
    latencies.comparison(if stream { "stream" } else { "plain" })
}

/// Results of sending plain requests through one router as fast as it answers.
#[record]
#[derive(Serialize)]
pub struct Throughput {
    /// Right answers per second.
    pub rate: f64,
    /// Number of requests without the right answer.
    pub wrong: u64,
    /// CPU seconds that the router used per second.
    pub cpu: f64,
    /// 99th percentile of the time to first byte, in milliseconds.
    pub p99_ms: f64,
}

impl fmt::Display for Throughput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "path kind=throughput rate={:.0} wrong={} cpu={:.2} p99_ms={:.2}",
            self.rate, self.wrong, self.cpu, self.p99_ms
        )
    }
}

/// Sends plain requests over persistent connections to the first router for `time`.
pub async fn throughput(deployment: &Deployment, pid: u32, time: Duration) -> Throughput {
    let router = deployment.routers[0].listen;
    let latencies = Rc::new(Latencies::new());
    let next = Rc::new(Cell::new(0));
    let deployment = Rc::new(deployment.clone());
    let cpu = cpu_seconds(pid);
    let started = Instant::now();
    let tasks: Vec<_> = (0..SENDERS)
        .map(|_| {
            let (latencies, next) = (Rc::clone(&latencies), Rc::clone(&next));
            let deployment = Rc::clone(&deployment);
            compio::runtime::spawn(async move {
                let pool = ConnectionPool::new(router);
                while started.elapsed() < time {
                    next.set(next.get() + 1);
                    let checked = plain_request(&deployment, Target::Router, next.get());
                    let time = pool.send(checked).await;
                    latencies.record(Target::Router, time);
                }
            })
        })
        .collect();
    for task in tasks {
        // A task that panicked sends no more requests, which lowers the rate.
        let _ = task.await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let routed = latencies.routed.borrow();
    #[allow(clippy::cast_precision_loss)]
    let (count, p99) = (routed.len() as f64, routed.value_at_quantile(0.99) as f64);
    Throughput {
        rate: count / seconds,
        wrong: latencies.wrong.get(),
        cpu: (cpu_seconds(pid) - cpu) / seconds,
        p99_ms: p99 / 1e3,
    }
}

/// Results of holding streams open at the same time through one router.
#[record]
#[derive(Serialize)]
pub struct Streams {
    /// Number of streams requested.
    pub asked: usize,
    /// Maximum number of streams open at the same time.
    pub open: usize,
    /// Number of streams received in full.
    pub whole: usize,
    /// Maximum resident memory of the router, in bytes.
    pub memory: u64,
    /// CPU seconds that the router used per second.
    pub cpu: f64,
}

impl fmt::Display for Streams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "path kind=streams asked={} open={} whole={} memory_mb={:.1} cpu={:.2}",
            self.asked,
            self.open,
            self.whole,
            mib(self.memory),
            self.cpu
        )
    }
}

fn mib(bytes: u64) -> f64 {
    as_f64(bytes) / f64::from(1 << 20)
}

/// Number of streams in each state.
#[derive(Default)]
struct Progress {
    open: Cell<usize>,
    max_open: Cell<usize>,
    ended: Cell<usize>,
    whole: Cell<usize>,
}

/// Opens `STREAMS` streams through the first router and reads them to the end.
pub async fn streams(deployment: &Deployment, pid: u32) -> Streams {
    let router = deployment.routers[0].listen;
    let progress = Rc::new(Progress::default());
    let cpu = cpu_seconds(pid);
    let started = Instant::now();
    for number in 0..STREAMS {
        let checked = draft_request(deployment, number as u64, STREAM_TOKENS);
        let progress = Rc::clone(&progress);
        compio::runtime::spawn(async move {
            let whole = read_stream(router, checked, &progress).await;
            progress.ended.set(progress.ended.get() + 1);
            if whole.is_some() {
                progress.whole.set(progress.whole.get() + 1);
            }
        })
        .detach();
        if number % BURST_SIZE == BURST_SIZE - 1 {
            compio::time::sleep(BURST_INTERVAL).await;
        }
    }
    let mut memory = 0;
    while progress.ended.get() < STREAMS {
        memory = memory.max(resident_bytes(pid));
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    Streams {
        asked: STREAMS,
        open: progress.max_open.get(),
        whole: progress.whole.get(),
        memory,
        cpu: (cpu_seconds(pid) - cpu) / started.elapsed().as_secs_f64(),
    }
}

/// Reads a stream to its end; returns `Some` if it is complete.
async fn read_stream(peer: SocketAddr, checked: CheckedRequest, progress: &Progress) -> Option<()> {
    let mut connection = connect(peer, CONNECT_TIMEOUT).await.ok()?;
    let answer = connection.send_request(checked.request).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    progress.open.set(progress.open.get() + 1);
    progress
        .max_open
        .set(progress.max_open.get().max(progress.open.get()));
    let mut incoming = answer.into_body();
    let mut events = 0;
    let mut last = Vec::new();
    while let Some(Ok(frame)) = incoming.frame().await {
        if let Some(data) = frame.data_ref() {
            events += data.windows(2).filter(|w| *w == b"\n\n").count() as u64;
            last = data.to_vec();
        }
    }
    progress.open.set(progress.open.get() - 1);
    // The events are the tokens, the usage and the end marker.
    let whole = last.ends_with(&checked.expected) && events == STREAM_TOKENS + 2;
    whole.then_some(())
}

/// Returns the CPU time of a process with one thread, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
    nanos.unwrap_or(0.0) / 1e9
}

fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib: Option<u64> = line
        .and_then(|l| l.split_whitespace().next())
        .and_then(|n| n.parse().ok());
    kib.unwrap_or(0) << 10
}
