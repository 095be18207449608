//! A model engine: continuous batching whose time per token grows with load.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_macros::value;
use hibiscusrail_net::{Body, BodySender, channel};
use http::{HeaderValue, Method, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::http_util::{
    REQUEST_ID, Service, Whole, epoch_ms, header_text, ok_json, read_json, status,
};
use crate::runs::{Run, Runs};
use crate::text;

/// Header that asks to resume at a token.
const RESUME: &str = "x-resume-token";
/// Header that says that a request was not admitted.
const NOT_ADMITTED: &str = "x-not-admitted";

/// How an engine behaves.
#[value]
pub struct EngineSpec {
    /// Time of one step with one request.
    pub step: Duration,
    /// Time that each further request adds to a step.
    pub slope: Duration,
    /// Requests borne when freshly started.
    pub cold: u32,
    /// Requests borne when warm.
    pub warm: u32,
    /// Completed requests until warm.
    pub warm_up: u32,
}

impl EngineSpec {
    /// Returns an engine that bears `cold` requests at first and `warm` later.
    #[must_use]
    pub fn new(cold: u32, warm: u32) -> Self {
        Self {
            step: Duration::from_millis(10),
            slope: Duration::from_micros(200),
            cold,
            warm,
            warm_up: warm,
        }
    }

    /// Sets the time of one step with one request.
    #[must_use]
    pub fn with_step(mut self, step: Duration) -> Self {
        self.step = step;
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

/// A report of the engine's load.
#[derive(Debug, Serialize)]
struct Load {
    incarnation: u64,
    running: u32,
    waiting: u32,
}

/// A request in the batch.
struct Sequence {
    run: u64,
    id: String,
    prompt: String,
    next: u64,
    end: u64,
    stream: bool,
    sender: BodySender,
}

/// A model engine.
pub struct Engine {
    spec: EngineSpec,
    incarnation: u64,
    completed: Cell<u32>,
    batch: RefCell<Vec<Sequence>>,
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
    fn answer(self: Rc<Self>, request: Whole) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            match (request.method(), request.uri().path()) {
                (&Method::POST, "/v1/chat/completions") => self.chat(&request).await,
                (&Method::GET, "/load") => ok_json(&self.load()),
                (&Method::GET, "/runs") => ok_json(&self.runs.all()),
                _ => status(StatusCode::NOT_FOUND, "no such path"),
            }
        }
        .boxed_local()
    }
}

impl Engine {
    /// Creates a cold engine.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            incarnation: epoch_ms(),
            completed: Cell::new(0),
            batch: RefCell::default(),
            runs: Runs::default(),
        }
    }

    /// Returns the requests that the engine bears now.
    fn bearable(&self) -> u32 {
        let spec = &self.spec;
        let done = self.completed.get().min(spec.warm_up);
        spec.cold + (spec.warm - spec.cold) * done / spec.warm_up.max(1)
    }

    fn running(&self) -> u32 {
        u32::try_from(self.batch.borrow().len()).unwrap_or(u32::MAX)
    }

    fn load(&self) -> Load {
        Load {
            incarnation: self.incarnation,
            running: self.running(),
            waiting: 0,
        }
    }

    async fn chat(&self, request: &Whole) -> Response<Body> {
        let chat: ChatRequest = match read_json(request.body()) {
            Ok(chat) => chat,
            Err(refusal) => return refusal,
        };
        let headers = request.headers();
        if self.running() >= self.bearable() {
            // It bears no more: a cold engine is not spared a request too many.
            let mut answer = status(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
            answer
                .headers_mut()
                .insert(NOT_ADMITTED, HeaderValue::from_static("1"));
            return answer;
        }
        let id = header_text(headers, REQUEST_ID).unwrap_or_default();
        let run = self.runs.begin(Run {
            request: id.clone(),
            workspace: header_text(headers, "x-workspace").unwrap_or_default(),
            key: header_text(headers, "idempotency-key"),
            start_ms: epoch_ms(),
            end_ms: None,
            work: 0,
            complete: false,
            running: self.running() + 1,
            bearable: self.bearable(),
        });
        let prompt = chat.messages.last().map_or("", |m| &m.content).to_owned();
        let next = header_text(headers, RESUME)
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        let end = text::length(&prompt);
        let (sender, mut body) = channel();
        self.batch.borrow_mut().push(Sequence {
            run,
            id: id.clone(),
            prompt,
            next,
            end,
            stream: chat.stream,
            sender,
        });
        if !chat.stream {
            body = first_frame(body).await;
        }
        let mut answer = Response::new(body);
        let headers = answer.headers_mut();
        let kind = if chat.stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
        if let Ok(id) = HeaderValue::from_str(&id) {
            headers.insert(REQUEST_ID, id);
        }
        answer
    }

    /// Generates one token for each request in the batch, again and again.
    pub async fn generate(self: Rc<Self>) {
        loop {
            let running = self.running();
            let others = running.saturating_sub(1);
            compio::time::sleep(self.spec.step + self.spec.slope * others).await;
            self.step();
        }
    }

    fn step(&self) {
        self.batch.borrow_mut().retain_mut(|sequence| {
            if sequence.sender.is_closed() {
                self.runs
                    .update(sequence.run, |r| r.end_ms = Some(epoch_ms()));
                return false;
            }
            if sequence.next < sequence.end {
                sequence.emit_token();
                self.runs.update(sequence.run, |r| r.work += 1);
            }
            if sequence.next < sequence.end {
                return true;
            }
            sequence.emit_end();
            self.completed.set(self.completed.get() + 1);
            self.runs.update(sequence.run, |r| {
                r.end_ms = Some(epoch_ms());
                r.complete = true;
            });
            false
        });
    }
}

/// Waits for the first part of a body.
async fn first_frame(mut body: Body) -> Body {
    use http_body_util::BodyExt;
    match body.frame().await {
        Some(Ok(frame)) => hibiscusrail_net::full(frame.into_data().unwrap_or_default()),
        _ => hibiscusrail_net::empty(),
    }
}

impl Sequence {
    fn emit_token(&mut self) {
        let token = text::token(&self.prompt, self.next);
        self.next += 1;
        if self.stream {
            let chunk = serde_json::json!({
                "id": self.id,
                "object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": {"content": token}}],
            });
            self.send(format!("data: {chunk}\n\n"));
        }
    }

    fn emit_end(&self) {
        let usage = serde_json::json!({
            "prompt_tokens": self.prompt.split_whitespace().count(),
            "completion_tokens": self.end,
        });
        if self.stream {
            let chunk = serde_json::json!({
                "id": self.id,
                "object": "chat.completion.chunk",
                "choices": [],
                "usage": usage,
            });
            self.send(format!("data: {chunk}\n\n"));
            self.send("data: [DONE]\n\n".to_owned());
            return;
        }
        let answer = serde_json::json!({
            "id": self.id,
            "object": "chat.completion",
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text::answer(&self.prompt)},
                "finish_reason": "stop",
            }],
            "usage": usage,
        });
        self.send(answer.to_string());
    }

    fn send(&self, text: String) {
        // A receiver that is gone is noticed at the next step.
        let _ = self
            .sender
            .unbounded_send(Ok::<Bytes, io::Error>(text.into()));
    }
}
