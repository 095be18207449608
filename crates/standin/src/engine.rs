//! A model engine: continuous batching whose time per token grows with load.
//!
//! A cold engine bears little. Above that it does not refuse: it falls over,
//! which fails half of the batch and slows the rest down. Completed work
//! warms it up. Only a warm engine refuses what it can't bear.

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
use crate::faults::FaultSwitch;
use crate::host::{Crossed, Service};
use crate::http_util::{REQUEST_ID, Whole, epoch_ms, header_text, ok_json, read_json, status};
use crate::plain::not_admitted;
use crate::runs::{Run, Runs};
use crate::text;

/// Header that asks to resume at a token.
const RESUME: &str = "x-resume-token";
/// How much longer a step takes while the engine holds more than it bears.
const STRAIN: u32 = 8;

/// What a cold engine does with a request that it can't bear.
#[id]
pub enum Overload {
    /// It refuses admission.
    Refuse,
    /// It admits the request and falls over.
    Collapse,
}

/// How an engine behaves.
#[value]
pub struct EngineSpec {
    /// Time of one step with one request.
    pub step: Duration,
    /// Time that each further request adds to a step.
    pub slope: Duration,
    /// Time to process one prompt token that is not cached.
    pub prefill: Duration,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// Requests borne when freshly started.
    pub cold: u32,
    /// Requests borne when warm.
    pub warm: u32,
    /// Completed requests until warm.
    pub warm_up: u32,
    /// What it does above its load while cold.
    pub overload: Overload,
    /// By how much load reports lag.
    pub load_lag: Duration,
}

impl EngineSpec {
    /// Returns an engine that bears `cold` requests at first and `warm` later.
    #[must_use]
    pub fn new(cold: u32, warm: u32) -> Self {
        Self {
            step: Duration::from_millis(10),
            slope: Duration::from_micros(200),
            prefill: Duration::from_micros(200),
            cache_tokens: 100_000,
            cold,
            warm,
            warm_up: warm,
            overload: Overload::Collapse,
            load_lag: Duration::ZERO,
        }
    }

    /// Sets the time of one step with one request.
    #[must_use]
    pub fn with_step(mut self, step: Duration) -> Self {
        self.step = step;
        self
    }

    /// Sets the time to process one prompt token.
    #[must_use]
    pub fn with_prefill(mut self, prefill: Duration) -> Self {
        self.prefill = prefill;
        self
    }

    /// Sets the prompt tokens that the prefix cache holds.
    #[must_use]
    pub fn with_cache(mut self, tokens: usize) -> Self {
        self.cache_tokens = tokens;
        self
    }

    /// Sets what a cold engine does above its load.
    #[must_use]
    pub fn with_overload(mut self, overload: Overload) -> Self {
        self.overload = overload;
        self
    }

    /// Sets by how much load reports lag.
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

/// A report of the engine's load, `GET /load`.
#[value]
#[derive(Serialize)]
struct Load {
    incarnation: u64,
    running: u32,
    waiting: u32,
}

/// A model engine.
pub struct Engine {
    spec: EngineSpec,
    incarnation: Cell<u64>,
    completed: Cell<u32>,
    collapses: Cell<u64>,
    batch: RefCell<Vec<Sequence>>,
    cache: RefCell<PrefixCache>,
    loads: RefCell<VecDeque<(Instant, Load)>>,
    /// Id and prompt of the request before, for crossed answers.
    last: RefCell<(String, String)>,
    faults: FaultSwitch,
    /// The record of runs.
    pub runs: Runs,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine")
            .field("spec", &self.spec)
            .finish_non_exhaustive()
    }
}

impl Service for Engine {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    fn answer(self: Rc<Self>, request: Whole) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            match (request.method(), request.uri().path()) {
                (&Method::POST, "/v1/chat/completions") => self.chat(&request).await,
                (&Method::GET, "/load") => ok_json(&self.reported_load()),
                _ => status(StatusCode::NOT_FOUND, "no such path"),
            }
        }
        .boxed_local()
    }

    fn control(&self, request: &Whole) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/runs") => return Some(ok_json(&self.runs.page(request))),
            (&Method::POST, "/cold") => self.turn_cold(),
            (&Method::POST, "/restart") => self.restart(),
            _ => return None,
        }
        Some(status(StatusCode::OK, ""))
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
            loads: RefCell::default(),
            last: RefCell::new(("crossed".to_owned(), "crossed".to_owned())),
            faults: FaultSwitch::default(),
            runs: Runs::default(),
        }
    }

    /// Turns cold without warning: capacity and cache are lost, the incarnation stays.
    pub fn turn_cold(&self) {
        self.completed.set(0);
        self.cache.borrow_mut().clear();
    }

    /// Restarts: cold, the batch cut, a new incarnation.
    pub fn restart(&self) {
        self.turn_cold();
        for sequence in self.batch.borrow_mut().drain(..) {
            sequence.fail();
            self.runs.update(sequence.run, |r| r.end(false));
        }
        let next = epoch_ms().max(self.incarnation.get() + 1);
        self.incarnation.set(next);
    }

    /// Returns how often the engine fell over.
    #[must_use]
    pub fn collapses(&self) -> u64 {
        self.collapses.get()
    }

    /// Returns the requests that the engine bears now.
    #[must_use]
    pub fn bearable(&self) -> u32 {
        let spec = &self.spec;
        let done = self.completed.get().min(spec.warm_up);
        spec.cold + (spec.warm - spec.cold) * done / spec.warm_up.max(1)
    }

    fn is_warm(&self) -> bool {
        self.completed.get() >= self.spec.warm_up
    }

    /// Returns the requests in the batch.
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

    /// Returns the newest load that is as old as reports lag.
    fn reported_load(&self) -> Load {
        let loads = self.loads.borrow();
        let lag = self.spec.load_lag;
        let old = loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.map_or_else(|| self.load(), |(_, load)| *load)
    }

    fn note_load(&self) {
        let mut loads = self.loads.borrow_mut();
        loads.push_back((Instant::now(), self.load()));
        let lag = self.spec.load_lag;
        while loads.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            loads.pop_front();
        }
    }

    async fn chat(&self, request: &Whole) -> Response<Body> {
        let chat: ChatRequest = match read_json(request.body()) {
            Ok(chat) => chat,
            Err(refusal) => return refusal,
        };
        let collapses = !self.is_warm() && self.spec.overload == Overload::Collapse;
        let full = self.running() >= self.bearable();
        if full && !collapses {
            self.runs.refuse();
            return not_admitted();
        }
        let (id, body) = self.admit(request, &chat);
        if full {
            self.collapse();
        }
        let body = if chat.stream {
            body
        } else {
            match collect(body).await {
                Some(body) => body,
                None => return status(StatusCode::INTERNAL_SERVER_ERROR, "the engine fell over"),
            }
        };
        let mut answer = answer(&id, chat.stream, body);
        if let Some(token) = request.headers().get(RESUME) {
            answer.headers_mut().insert(RESUME, token.clone());
        }
        answer
    }

    /// Puts a request into the batch; returns the id it is answered under and the answer.
    fn admit(&self, request: &Whole, chat: &ChatRequest) -> (String, Body) {
        let headers = request.headers();
        let words: Vec<&str> = chat
            .messages
            .iter()
            .flat_map(|m| m.content.split_whitespace())
            .collect();
        let cached = self.cache.borrow_mut().admit(&words);
        let prefill = words.len().saturating_sub(cached);
        let mut run = Run::new(request, self.running() + 1, self.bearable());
        run.prefill = prefill as u64;
        let id = run.request.clone();
        let run = self.runs.begin(run);
        let prompt = chat.messages.last().map_or("", |m| &m.content).to_owned();
        let own = (id, prompt);
        let before = self.last.replace(own.clone());
        let crossed = request.extensions().get::<Crossed>().is_some();
        let (id, prompt) = if crossed { before } else { own };
        let next = header_text(headers, RESUME).and_then(|t| t.parse().ok());
        let prefill = u32::try_from(prefill).unwrap_or(u32::MAX);
        let (sender, body) = channel();
        self.batch.borrow_mut().push(Sequence {
            run,
            id: id.clone(),
            prompt_tokens: words.len(),
            next: next.unwrap_or(0),
            end: text::length(&prompt),
            prompt,
            ready: Instant::now() + self.spec.prefill * prefill,
            stream: chat.stream,
            sender,
        });
        (id, body)
    }

    /// Falls over: half of the batch fails, the oldest first.
    fn collapse(&self) {
        self.collapses.set(self.collapses.get() + 1);
        let mut batch = self.batch.borrow_mut();
        let failed = batch.len() / 2;
        for sequence in batch.drain(..failed) {
            sequence.fail();
            self.runs.update(sequence.run, |r| r.end(false));
        }
        log::warn!(failed = failed, bearable = self.bearable(); "collapsed");
    }

    /// Generates one token for each request in the batch, again and again.
    pub async fn generate(self: Rc<Self>) {
        loop {
            self.note_load();
            compio::time::sleep(self.step_time()).await;
            self.step();
        }
    }

    fn step_time(&self) -> Duration {
        let running = self.running();
        let time = self.spec.step + self.spec.slope * running.saturating_sub(1);
        if running > self.bearable() {
            time * STRAIN
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
            if sequence.ready > now {
                return true;
            }
            let whole = sequence.step();
            self.runs.update(sequence.run, |r| {
                r.first_ms.get_or_insert_with(epoch_ms);
                r.work += 1;
                if whole {
                    r.end(true);
                }
            });
            if whole {
                self.completed.set(self.completed.get() + 1);
            }
            !whole
        });
    }
}

/// Waits for a body to be whole; none when it was cut.
async fn collect(body: Body) -> Option<Body> {
    let whole = body.collect().await.ok()?;
    Some(hibiscusrail_net::full(whole.to_bytes()))
}

fn answer(id: &str, stream: bool, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    let headers = answer.headers_mut();
    let kind = if stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
    answer
}
