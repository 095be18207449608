//! A simulated model engine: continuous batching whose time per output token grows with load.
//!
//! A cold engine has little capacity, which grows with completed requests. A request above it
//! collapses the engine: half of the batch fails, the rest slows down. A warm engine rejects it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_macros::{id, value};
use hibiscusrail_net::{Body, channel};
use http::{HeaderValue, Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};

use crate::batch::Sequence;
use crate::cache::PrefixCache;
use crate::faults::FaultInjector;
use crate::host::{Crossed, Service};
use crate::http_util::{
    BufferedRequest, REQUEST_ID, epoch_ms, header_str, json_response, parse_json, text_response,
};
use crate::plain::not_admitted_response;
use crate::runs::{Run, RunLog};
use crate::text;

/// Header with the index of the token to resume the response at.
const RESUME_HEADER: &str = "x-resume-token";
/// Factor by which a step takes longer while the batch is above the engine's capacity.
const OVERLOAD_SLOWDOWN: u32 = 8;

/// What a cold engine does with a request above its capacity.
#[id]
pub enum OverloadPolicy {
    /// It rejects the request.
    Reject,
    /// It admits the request, and half of the batch fails.
    Collapse,
}

/// Performance and capacity of an engine.
#[value]
pub struct EngineSpec {
    /// Time of a step with one request in the batch.
    pub step: Duration,
    /// Time that each further request in the batch adds to a step.
    pub slope: Duration,
    /// Prefill time per prompt token that is not cached.
    pub prefill: Duration,
    /// Capacity of the prefix cache in prompt tokens.
    pub cache_tokens: usize,
    /// Concurrent requests the engine can serve right after a start.
    pub cold_capacity: u32,
    /// Concurrent requests the engine can serve once warm.
    pub warm_capacity: u32,
    /// Number of completed requests until the engine is warm.
    pub warmup_requests: u32,
    /// What the engine does above its capacity while cold.
    pub overload: OverloadPolicy,
    /// Age of the load that reports show.
    pub load_lag: Duration,
}

impl EngineSpec {
    /// Creates the spec of an engine with the given capacities and default timings.
    #[must_use]
    pub fn new(cold_capacity: u32, warm_capacity: u32) -> Self {
        Self {
            step: Duration::from_millis(10),
            slope: Duration::from_micros(200),
            prefill: Duration::from_micros(200),
            cache_tokens: 100_000,
            cold_capacity,
            warm_capacity,
            warmup_requests: warm_capacity,
            overload: OverloadPolicy::Collapse,
            load_lag: Duration::ZERO,
        }
    }

    /// Sets the time of a step with one request in the batch.
    #[must_use]
    pub fn with_step(mut self, step: Duration) -> Self {
        self.step = step;
        self
    }

    /// Sets the prefill time per prompt token.
    #[must_use]
    pub fn with_prefill(mut self, prefill: Duration) -> Self {
        self.prefill = prefill;
        self
    }

    /// Sets the capacity of the prefix cache in prompt tokens.
    #[must_use]
    pub fn with_cache(mut self, tokens: usize) -> Self {
        self.cache_tokens = tokens;
        self
    }

    /// Sets what the engine does above its capacity while cold.
    #[must_use]
    pub fn with_overload(mut self, overload: OverloadPolicy) -> Self {
        self.overload = overload;
        self
    }

    /// Sets the age of the load that reports show.
    #[must_use]
    pub fn with_load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

/// The engine's load report, returned by `GET /load`.
#[value]
#[derive(Serialize)]
struct Load {
    incarnation: u64,
    running: u32,
    waiting: u32,
}

/// A simulated model engine.
pub struct Engine {
    spec: EngineSpec,
    incarnation: Cell<u64>,
    /// Requests completed since the engine was last cold.
    completed: Cell<u32>,
    collapses: Cell<u64>,
    batch: RefCell<Vec<Sequence>>,
    cache: RefCell<PrefixCache>,
    /// Load at each step, kept for as long as reports lag.
    load_history: RefCell<VecDeque<(Instant, Load)>>,
    /// Request id and prompt of the previous request, for the `cross` fault.
    previous: RefCell<(String, String)>,
    faults: FaultInjector,
    /// Log of all requests that were admitted.
    pub runs: RunLog,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine")
            .field("spec", &self.spec)
            .finish_non_exhaustive()
    }
}

impl Service for Engine {
    fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    fn handle(self: Rc<Self>, request: BufferedRequest) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            match (request.method(), request.uri().path()) {
                (&Method::POST, "/v1/chat/completions") => self.chat(&request).await,
                (&Method::GET, "/load") => json_response(&self.reported_load()),
                _ => text_response(StatusCode::NOT_FOUND, "no such path"),
            }
        }
        .boxed_local()
    }

    fn handle_control(&self, request: &BufferedRequest) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/runs") => return Some(json_response(&self.runs.page(request))),
            (&Method::POST, "/cold") => self.turn_cold(),
            (&Method::POST, "/restart") => self.restart(),
            _ => return None,
        }
        Some(text_response(StatusCode::OK, ""))
    }
}

impl Engine {
    /// Creates a cold engine.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            incarnation: Cell::new(epoch_ms()),
            completed: Cell::new(0),
            collapses: Cell::new(0),
            batch: RefCell::default(),
            cache: RefCell::new(PrefixCache::new(spec.cache_tokens)),
            load_history: RefCell::default(),
            previous: RefCell::new(("crossed".to_owned(), "crossed".to_owned())),
            faults: FaultInjector::default(),
            runs: RunLog::default(),
        }
    }

    /// Resets capacity and prefix cache to those of a cold engine; the incarnation stays.
    pub fn turn_cold(&self) {
        self.completed.set(0);
        self.cache.borrow_mut().clear();
    }

    /// Restarts the engine: it is cold, its batch fails, and its incarnation is new.
    pub fn restart(&self) {
        self.turn_cold();
        for sequence in self.batch.borrow_mut().drain(..) {
            sequence.fail();
            self.runs.update(sequence.run, |r| r.end(false));
        }
        let next = epoch_ms().max(self.incarnation.get() + 1);
        self.incarnation.set(next);
    }

    /// Returns how often the engine collapsed.
    #[must_use]
    pub fn collapses(&self) -> u64 {
        self.collapses.get()
    }

    /// Returns how many concurrent requests the engine can serve now.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        let spec = &self.spec;
        let done = self.completed.get().min(spec.warmup_requests);
        spec.cold_capacity
            + (spec.warm_capacity - spec.cold_capacity) * done / spec.warmup_requests.max(1)
    }

    fn is_warm(&self) -> bool {
        self.completed.get() >= self.spec.warmup_requests
    }

    /// Returns the number of requests in the batch.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.batch.borrow().len()).unwrap_or(u32::MAX)
    }

    fn load(&self) -> Load {
        Load {
            incarnation: self.incarnation.get(),
            running: self.running(),
            waiting: 0,
        }
    }

    /// Returns the newest load that is at least `load_lag` old.
    fn reported_load(&self) -> Load {
        let loads = self.load_history.borrow();
        let lag = self.spec.load_lag;
        let reported = loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        reported.map_or_else(|| self.load(), |(_, load)| *load)
    }

    /// Records the current load and drops history that reports no longer need.
    fn record_load(&self) {
        let mut loads = self.load_history.borrow_mut();
        loads.push_back((Instant::now(), self.load()));
        let lag = self.spec.load_lag;
        while loads.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            loads.pop_front();
        }
    }

    async fn chat(&self, request: &BufferedRequest) -> Response<Body> {
        let chat: ChatRequest = match parse_json(request.body()) {
            Ok(chat) => chat,
            Err(rejection) => return rejection,
        };
        let collapses = !self.is_warm() && self.spec.overload == OverloadPolicy::Collapse;
        let full = self.running() >= self.capacity();
        if full && !collapses {
            self.runs.count_rejected();
            return not_admitted_response();
        }
        let (id, body) = self.admit(request, &chat);
        if full {
            self.collapse();
        }
        let body = if chat.stream {
            body
        } else {
            match buffer_body(body).await {
                Some(body) => body,
                None => {
                    return text_response(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        "the engine fell over",
                    );
                }
            }
        };
        let mut response = chat_response(&id, chat.stream, body);
        if let Some(token) = request.headers().get(RESUME_HEADER) {
            response.headers_mut().insert(RESUME_HEADER, token.clone());
        }
        response
    }

    /// Adds a request to the batch; returns the request id and the body of its response.
    fn admit(&self, request: &BufferedRequest, chat: &ChatRequest) -> (String, Body) {
        let headers = request.headers();
        let words: Vec<&str> = chat
            .messages
            .iter()
            .flat_map(|m| m.content.split_whitespace())
            .collect();
        let cached = self.cache.borrow_mut().insert(&words);
        let prefill = words.len().saturating_sub(cached);
        let mut run = Run::new(request, self.running() + 1, self.capacity());
        run.prefill_tokens = prefill as u64;
        let id = run.request.clone();
        let run = self.runs.push(run);
        let prompt = chat.messages.last().map_or("", |m| &m.content).to_owned();
        let own = (id, prompt);
        let previous = self.previous.replace(own.clone());
        let crossed = request.extensions().get::<Crossed>().is_some();
        let (id, prompt) = if crossed { previous } else { own };
        let resume_at = header_str(headers, RESUME_HEADER).and_then(|t| t.parse().ok());
        let prefill = u32::try_from(prefill).unwrap_or(u32::MAX);
        let (sender, body) = channel();
        self.batch.borrow_mut().push(Sequence {
            run,
            id: id.clone(),
            prompt_tokens: words.len(),
            next_token: resume_at.unwrap_or(0),
            total_tokens: text::token_count(&prompt),
            prompt,
            prefill_end: Instant::now() + self.spec.prefill * prefill,
            stream: chat.stream,
            sender,
        });
        (id, body)
    }

    /// Collapses the engine: the older half of the batch fails.
    fn collapse(&self) {
        self.collapses.set(self.collapses.get() + 1);
        let mut batch = self.batch.borrow_mut();
        let failed = batch.len() / 2;
        for sequence in batch.drain(..failed) {
            sequence.fail();
            self.runs.update(sequence.run, |r| r.end(false));
        }
        log::warn!(failed = failed, bearable = self.capacity(); "collapsed");
    }

    /// Runs the engine: each step generates one token for every request in the batch.
    pub async fn generate(self: Rc<Self>) {
        loop {
            self.record_load();
            compio::time::sleep(self.step_time()).await;
            self.step();
        }
    }

    fn step_time(&self) -> Duration {
        let running = self.running();
        let time = self.spec.step + self.spec.slope * running.saturating_sub(1);
        if running > self.capacity() {
            time * OVERLOAD_SLOWDOWN
        } else {
            time
        }
    }

    fn step(&self) {
        let now = Instant::now();
        self.batch.borrow_mut().retain_mut(|sequence| {
            if sequence.sender.is_closed() {
                self.runs.update(sequence.run, |r| r.end(false));
                return false;
            }
            if sequence.prefill_end > now {
                return true;
            }
            let complete = sequence.step();
            self.runs.update(sequence.run, |r| {
                r.first_output_ms.get_or_insert_with(epoch_ms);
                r.output_tokens += 1;
                if complete {
                    r.end(true);
                }
            });
            if complete {
                self.completed.set(self.completed.get() + 1);
            }
            !complete
        });
    }
}

/// Buffers the complete body; returns `None` when the request failed.
async fn buffer_body(body: Body) -> Option<Body> {
    let collected = body.collect().await.ok()?;
    Some(hibiscusrail_net::full(collected.to_bytes()))
}

fn chat_response(id: &str, stream: bool, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    let kind = if stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
    response
}
