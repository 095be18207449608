//! What the path through a router costs: added time to the first byte, plain
//! requests a second through one router, open streams and memory.
//!
//! Requests through the router and straight to the stand-ins alternate in one
//! run, over connections that are kept, so that both meet the same machine at
//! the same time.

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
use crate::deployment::{Deployment, own_host};
use crate::fleet::RouterOptions;

/// Time to connect.
const CONNECT_TIME: Duration = Duration::from_secs(5);
/// Requests a second of the comparison, each way.
const RATE: u32 = 200;
/// Tokens of a draft in the comparison.
const DRAFT_TOKENS: u64 = 8;
/// Connections that send plain requests one after the other.
const SENDERS: usize = 256;
/// Streams that are open at the same time.
const STREAMS: usize = 2_000;
/// Tokens of each of these streams.
const STREAM_TOKENS: u64 = 400;
/// Streams that are started together.
const BURST: usize = 50;
/// Pause between two such bursts.
const BURST_PAUSE: Duration = Duration::from_millis(25);
/// Largest time that a histogram holds, in microseconds.
const LARGEST_US: u64 = 120_000_000;

/// Added time to the first byte at most: median and 99th percentile.
pub const ADDED_P50: Duration = Duration::from_millis(1);
/// See [`ADDED_P50`].
pub const ADDED_P99: Duration = Duration::from_millis(5);
/// Plain requests a second through one router at least.
pub const PLAIN_RATE: f64 = 5_000.0;
/// Resident memory of one router at most, in bytes.
pub const MEMORY: u64 = 64 << 20;

/// Time of each comparison and of the throughput.
const MEASURED: Duration = Duration::from_secs(10);

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let time = context.duration(MEASURED);
    compio::runtime::Runtime::new()?.block_on(async {
        let dir = context.out.join("path");
        let lab = Lab::start(compared(), &dir, RouterOptions::default()).await?;
        let plain = compare(&lab.deployment, false, time).await;
        println!("{plain}");
        let stream = compare(&lab.deployment, true, time).await;
        println!("{stream}");
        drop(lab);
        let throughput = {
            let (lab, pid) = start_lone(&dir).await?;
            throughput(&lab.deployment, pid, time).await
        };
        println!("{throughput}");
        let streams = {
            let (lab, pid) = start_lone(&dir).await?;
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

async fn start_lone(dir: &Path) -> Result<(Lab, u32), ExperimentError> {
    let mut lab = Lab::start(lone(), dir, RouterOptions::default()).await?;
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
        verdicts.push(Verdict::at_most(&name("added_p50_ms"), p50, ms(ADDED_P50)));
        verdicts.push(Verdict::at_most(&name("added_p99_ms"), p99, ms(ADDED_P99)));
        verdicts.push(Verdict::at_most(&name("wrong"), count(compared.wrong), 0.0));
    }
    let asked = count(streams.asked as u64);
    let whole = count(streams.whole as u64);
    let open = count(streams.open as u64);
    verdicts.extend([
        Verdict::at_most("path_throughput_wrong", count(throughput.wrong), 0.0),
        Verdict::at_least("path_streams_whole", whole, asked),
        Verdict::at_least("path_streams_open", open, asked),
        Verdict::at_most("path_memory_mib", mib(streams.memory), mib(MEMORY)),
        Verdict::at_least("path", throughput.rate, PLAIN_RATE),
    ]);
    verdicts
}

/// Returns a time in milliseconds.
fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns a count as a figure.
fn count(count: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let count = count as f64;
    count
}

/// Which way a request takes.
#[id]
pub enum Way {
    /// Through a router.
    Routed,
    /// Straight to a stand-in.
    Direct,
}

/// Times to the first byte of one kind of request, both ways.
#[record]
#[derive(Serialize)]
pub struct Comparison {
    /// `plain` or `stream`.
    pub kind: String,
    /// Requests each way.
    pub count: u64,
    /// Answers that were not the right ones.
    pub wrong: u64,
    /// Median through the router, in milliseconds.
    pub routed_p50_ms: f64,
    /// 99th percentile through the router, in milliseconds.
    pub routed_p99_ms: f64,
    /// Median straight to the stand-in, in milliseconds.
    pub direct_p50_ms: f64,
    /// 99th percentile straight to the stand-in, in milliseconds.
    pub direct_p99_ms: f64,
}

impl Comparison {
    /// Returns the median that the router adds, in milliseconds.
    #[must_use]
    pub fn added_p50_ms(&self) -> f64 {
        self.routed_p50_ms - self.direct_p50_ms
    }

    /// Returns what the router adds to the 99th percentile, in milliseconds.
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
pub fn compared() -> Deployment {
    let mut deployment = Deployment::new(own_host(), "model", 6, "records", 3);
    for server in &mut deployment.servers {
        // Requests sent straight to a cold engine would overload it.
        server.cold = server.warm;
    }
    deployment
}

/// Returns a deployment of one router whose servers are never the narrow place.
#[must_use]
pub fn lone() -> Deployment {
    let mut deployment = Deployment::new(own_host(), "model", 10, "records", 3);
    deployment.routers.truncate(1);
    for server in &mut deployment.servers {
        server.cold = 256;
        server.warm = 256;
        // The zone of the only router: servers of a zone without one wait.
        server.zone.clone_from(&deployment.routers[0].zone);
    }
    deployment
}

/// What one request asks for, and the answer that is right.
struct Question {
    request: Request<Body>,
    expected: Vec<u8>,
}

/// Kept connections to one address.
struct Lane {
    peer: SocketAddr,
    idle: RefCell<Vec<Connection>>,
}

impl Lane {
    fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            idle: RefCell::default(),
        }
    }

    async fn take(&self) -> Option<Connection> {
        while let Some(mut idle) = self.next_idle() {
            if idle.ready().await.is_ok() {
                return Some(idle);
            }
        }
        connect(self.peer, CONNECT_TIME).await.ok()
    }

    fn next_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }

    /// Sends a request; returns the time to the first byte when the answer is right.
    async fn ask(&self, question: Question) -> Option<Duration> {
        let mut connection = self.take().await?;
        let started = Instant::now();
        let answer = connection.send_request(question.request).await.ok()?;
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
        let right = success && body.ends_with(&question.expected);
        first.filter(|_| right)
    }
}

fn plain(deployment: &Deployment, way: Way, number: u64) -> Question {
    let id = format!("p{number}");
    let path = match way {
        Way::Routed => format!("/{}/record/{number}", deployment.plain),
        Way::Direct => format!("/record/{number}"),
    };
    let request = head(deployment, &id).method(Method::GET).uri(path);
    Question {
        request: request.body(full("")).expect("the request is valid"),
        expected: format!("{id} GET /record/{number}").into_bytes(),
    }
}

fn draft(deployment: &Deployment, number: u64, tokens: u64) -> Question {
    let id = format!("d{number}");
    let chat = serde_json::json!({
        "model": deployment.model,
        "stream": true,
        "messages": [{
            "role": "user",
            "content": hibiscusrail_standin::text::prompt(&id, tokens),
        }],
    });
    let request = head(deployment, &id)
        .method(Method::POST)
        .uri("/v1/chat/completions");
    Question {
        request: request
            .body(full(chat.to_string()))
            .expect("the request is valid"),
        expected: b"data: [DONE]\n\n".to_vec(),
    }
}

fn head(deployment: &Deployment, id: &str) -> http::request::Builder {
    let key = deployment.workspaces[0].key();
    Request::builder()
        .header(header::HOST, "loopback")
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header("x-request-id", id)
}

/// Times of both ways while a comparison runs.
struct Times {
    routed: RefCell<Histogram<u64>>,
    direct: RefCell<Histogram<u64>>,
    wrong: Cell<u64>,
}

impl Times {
    fn new() -> Self {
        let empty = || {
            Histogram::new_with_max(LARGEST_US, 3)
                .expect("the bounds are valid")
                .into()
        };
        Self {
            routed: empty(),
            direct: empty(),
            wrong: Cell::new(0),
        }
    }

    fn record(&self, way: Way, time: Option<Duration>) {
        let Some(time) = time else {
            self.wrong.set(self.wrong.get() + 1);
            return;
        };
        let times = match way {
            Way::Routed => &self.routed,
            Way::Direct => &self.direct,
        };
        let micros = u64::try_from(time.as_micros()).unwrap_or(LARGEST_US);
        times.borrow_mut().saturating_record(micros);
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

/// Compares both ways, at 200 requests a second each, for `time`.
pub async fn compare(deployment: &Deployment, stream: bool, time: Duration) -> Comparison {
    let routers: Vec<_> = deployment.routers.iter().map(|r| r.listen).collect();
    let servers = deployment.servers.iter().filter(|s| s.model == stream);
    let servers: Vec<_> = servers.map(|s| s.address).collect();
    let lanes = |peers: Vec<SocketAddr>| -> Vec<Rc<Lane>> {
        peers.into_iter().map(|p| Rc::new(Lane::new(p))).collect()
    };
    let (routed, direct) = (lanes(routers), lanes(servers));
    let times = Rc::new(Times::new());
    let gap = Duration::from_secs(1) / (RATE * 2);
    let started = Instant::now();
    let mut tasks = Vec::new();
    let mut number = 0;
    while started.elapsed() < time {
        let way = if number % 2 == 0 {
            Way::Routed
        } else {
            Way::Direct
        };
        let lanes = match way {
            Way::Routed => &routed,
            Way::Direct => &direct,
        };
        let turn = usize::try_from(number / 2).unwrap_or(0);
        let lane = Rc::clone(&lanes[turn % lanes.len()]);
        let question = if stream {
            draft(deployment, number, DRAFT_TOKENS)
        } else {
            plain(deployment, way, number)
        };
        let times = Rc::clone(&times);
        tasks.push(compio::runtime::spawn(async move {
            let time = lane.ask(question).await;
            times.record(way, time);
        }));
        number += 1;
        let due = gap * u32::try_from(number).unwrap_or(u32::MAX);
        compio::time::sleep(due.saturating_sub(started.elapsed())).await;
    }
    for task in tasks {
        // A task that panicked leaves its request out; the count shows it.
        let _ = task.await;
    }
    times.comparison(if stream { "stream" } else { "plain" })
}

/// Plain requests through one router, as fast as it answers.
#[record]
#[derive(Serialize)]
pub struct Throughput {
    /// Right answers a second.
    pub rate: f64,
    /// Answers that were not the right ones.
    pub wrong: u64,
    /// CPU seconds that the router used per second.
    pub cpu: f64,
    /// 99th percentile of the time to the first byte, in milliseconds.
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

/// Sends plain requests over kept connections to the first router for `time`.
pub async fn throughput(deployment: &Deployment, pid: u32, time: Duration) -> Throughput {
    let router = deployment.routers[0].listen;
    let times = Rc::new(Times::new());
    let next = Rc::new(Cell::new(0));
    let deployment = Rc::new(deployment.clone());
    let cpu = cpu_seconds(pid);
    let started = Instant::now();
    let tasks: Vec<_> = (0..SENDERS)
        .map(|_| {
            let (times, next) = (Rc::clone(&times), Rc::clone(&next));
            let deployment = Rc::clone(&deployment);
            compio::runtime::spawn(async move {
                let lane = Lane::new(router);
                while started.elapsed() < time {
                    next.set(next.get() + 1);
                    let question = plain(&deployment, Way::Routed, next.get());
                    let time = lane.ask(question).await;
                    times.record(Way::Routed, time);
                }
            })
        })
        .collect();
    for task in tasks {
        // A task that panicked leaves its requests out; the rate shows it.
        let _ = task.await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let routed = times.routed.borrow();
    #[allow(clippy::cast_precision_loss)]
    let (count, p99) = (routed.len() as f64, routed.value_at_quantile(0.99) as f64);
    Throughput {
        rate: count / seconds,
        wrong: times.wrong.get(),
        cpu: (cpu_seconds(pid) - cpu) / seconds,
        p99_ms: p99 / 1e3,
    }
}

/// Streams held open at the same time through one router.
#[record]
#[derive(Serialize)]
pub struct Streams {
    /// Streams asked for.
    pub asked: usize,
    /// Streams that were open at the same time.
    pub open: usize,
    /// Streams that ended whole.
    pub whole: usize,
    /// Most resident memory of the router that was seen, in bytes.
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

/// Returns bytes as mebibytes.
fn mib(bytes: u64) -> f64 {
    count(bytes) / f64::from(1 << 20)
}

/// How many streams are where.
#[derive(Default)]
struct Progress {
    open: Cell<usize>,
    most: Cell<usize>,
    ended: Cell<usize>,
    whole: Cell<usize>,
}

/// Opens 2,000 streams through the first router and reads them to their ends.
pub async fn streams(deployment: &Deployment, pid: u32) -> Streams {
    let router = deployment.routers[0].listen;
    let progress = Rc::new(Progress::default());
    let cpu = cpu_seconds(pid);
    let started = Instant::now();
    for number in 0..STREAMS {
        let question = draft(deployment, number as u64, STREAM_TOKENS);
        let progress = Rc::clone(&progress);
        compio::runtime::spawn(async move {
            let whole = read_stream(router, question, &progress).await;
            progress.ended.set(progress.ended.get() + 1);
            if whole.is_some() {
                progress.whole.set(progress.whole.get() + 1);
            }
        })
        .detach();
        if number % BURST == BURST - 1 {
            compio::time::sleep(BURST_PAUSE).await;
        }
    }
    let mut memory = 0;
    while progress.ended.get() < STREAMS {
        memory = memory.max(resident_bytes(pid));
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    Streams {
        asked: STREAMS,
        open: progress.most.get(),
        whole: progress.whole.get(),
        memory,
        cpu: (cpu_seconds(pid) - cpu) / started.elapsed().as_secs_f64(),
    }
}

async fn read_stream(peer: SocketAddr, question: Question, progress: &Progress) -> Option<()> {
    let mut connection = connect(peer, CONNECT_TIME).await.ok()?;
    let answer = connection.send_request(question.request).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    progress.open.set(progress.open.get() + 1);
    progress
        .most
        .set(progress.most.get().max(progress.open.get()));
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
    // Every token, the usage and the end.
    let whole = last.ends_with(&question.expected) && events == STREAM_TOKENS + 2;
    whole.then_some(())
}

/// Returns the CPU time of a process with one thread, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
    nanos.unwrap_or(0.0) / 1e9
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib: Option<u64> = line
        .and_then(|l| l.split_whitespace().next())
        .and_then(|n| n.parse().ok());
    kib.unwrap_or(0) << 10
}
