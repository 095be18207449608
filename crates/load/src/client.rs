//! Single requests of a caller, with a check of every answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record};
use hibiscusrail_net::{connect, full};
use hibiscusrail_standin::text;
use http::{Method, Request, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use crate::deployment::WorkspaceSpec;

/// Time to connect to a router.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// Code of a request for which there was no connection to the router.
pub const NO_CONNECTION: &str = "no_connection";

/// What a caller asks for.
#[record]
pub enum Ask {
    /// A model answer.
    Draft {
        /// Model service.
        service: String,
        /// The prompt.
        prompt: String,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call of a plain service.
    Plain {
        /// Method.
        method: Method,
        /// Service and path.
        path: String,
    },
}

impl Ask {
    /// Returns a lookup of a record at a plain service.
    #[must_use]
    pub fn lookup(service: &str, record: &str) -> Self {
        Self::Plain {
            method: Method::GET,
            path: format!("/{service}/record/{record}"),
        }
    }

    /// Returns a call of a plain service that may not run twice.
    #[must_use]
    pub fn write(service: &str, record: &str) -> Self {
        Self::Plain {
            method: Method::POST,
            path: format!("/{service}/record/{record}"),
        }
    }

    /// Returns what kind of request this is.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Draft { .. } => Kind::Draft,
            Self::Plain { method, .. } if method.is_idempotent() => Kind::Lookup,
            Self::Plain { .. } => Kind::Write,
        }
    }
}

/// What kind of request was sent.
#[id]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model answer.
    Draft,
    /// A plain call that may be repeated.
    Lookup,
    /// A plain call that may not run twice.
    Write,
}

/// One request.
#[record]
pub struct Sending {
    /// Where to.
    pub router: SocketAddr,
    /// Request id.
    pub id: String,
    /// Name of the workspace.
    pub workspace: String,
    /// The workspace's key.
    pub key: String,
    /// What is asked for.
    pub ask: Ask,
    /// Idempotency key.
    pub idempotency: Option<String>,
    /// Hint at the cost, in cost units.
    pub hint: Option<f64>,
    /// Deadline.
    pub deadline: Duration,
}

/// Deadline of a request that is given none.
const DEADLINE: Duration = Duration::from_secs(30);

impl Sending {
    /// Creates a request of `workspace` without key and hint.
    #[must_use]
    pub fn new(router: SocketAddr, id: &str, workspace: &WorkspaceSpec, ask: Ask) -> Self {
        Self {
            router,
            id: id.to_owned(),
            workspace: workspace.name.clone(),
            key: workspace.key(),
            ask,
            idempotency: None,
            hint: None,
            deadline: DEADLINE,
        }
    }

    /// Sets the deadline.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_idempotency(mut self, key: &str) -> Self {
        self.idempotency = Some(key.to_owned());
        self
    }
}

/// How a request ended for its caller.
#[id]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The whole, right answer.
    Right,
    /// An answer that looks whole and is not the one asked for.
    Wrong,
    /// A visibly cut answer.
    Cut,
    /// Refused, marked as not run.
    NotRun,
    /// Refused, not marked as not run.
    Unknown,
    /// No answer at all.
    Lost,
}

/// What came back for one request.
#[record]
pub struct Received {
    /// Request id.
    pub id: String,
    /// Name of the workspace.
    pub workspace: String,
    /// What kind of request it was.
    pub kind: Kind,
    /// Idempotency key.
    pub idempotency: Option<String>,
    /// When it was sent.
    pub started: Instant,
    /// How it ended.
    pub ending: Ending,
    /// HTTP status, zero without an answer.
    pub status: u16,
    /// Code of the refusal.
    pub code: String,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Time to the end.
    pub total: Duration,
}

/// Sends one request and checks its answer.
pub async fn send(sending: &Sending) -> Received {
    let started = Instant::now();
    let mut received = Received {
        id: sending.id.clone(),
        workspace: sending.workspace.clone(),
        kind: sending.ask.kind(),
        idempotency: sending.idempotency.clone(),
        started,
        ending: Ending::Lost,
        status: 0,
        code: String::new(),
        first_byte: Duration::ZERO,
        total: Duration::ZERO,
    };
    exchange(sending, started, &mut received).await;
    received.total = started.elapsed();
    received
}

async fn exchange(sending: &Sending, started: Instant, received: &mut Received) {
    let Ok(mut connection) = connect(sending.router, CONNECT_TIME).await else {
        NO_CONNECTION.clone_into(&mut received.code);
        return;
    };
    let Ok(answer) = connection.send_request(build(sending)).await else {
        return;
    };
    received.status = answer.status().as_u16();
    let success = answer.status().is_success();
    let mut body = Vec::new();
    let whole = read(answer.into_body(), started, received, &mut body).await;
    received.ending = if !success {
        refusal(&body, received)
    } else if !whole {
        Ending::Cut
    } else {
        check(sending, &body)
    };
}

async fn read(
    mut incoming: Incoming,
    started: Instant,
    received: &mut Received,
    body: &mut Vec<u8>,
) -> bool {
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        if received.first_byte.is_zero() {
            received.first_byte = started.elapsed();
        }
        if let Some(data) = frame.data_ref() {
            body.extend_from_slice(data);
        }
    }
    true
}

fn build(sending: &Sending) -> Request<hibiscusrail_net::Body> {
    let mut builder = Request::builder()
        .header(header::HOST, sending.router.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {}", sending.key))
        .header("x-request-id", &sending.id)
        .header("x-workspace", &sending.workspace)
        .header("x-deadline-ms", sending.deadline.as_millis().to_string());
    if let Some(key) = &sending.idempotency {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(hint) = sending.hint {
        builder = builder.header("x-cost-hint", hint.to_string());
    }
    let (builder, body) = match &sending.ask {
        Ask::Draft {
            service,
            prompt,
            stream,
        } => {
            let chat = serde_json::json!({
                "model": service,
                "stream": stream,
                "messages": [{"role": "user", "content": prompt}],
            });
            let builder = builder.method(Method::POST).uri("/v1/chat/completions");
            (builder, chat.to_string())
        }
        Ask::Plain { method, path } => (builder.method(method).uri(path), String::new()),
    };
    builder
        .body(full(body))
        .expect("the request is made of valid parts")
}

/// Reads a refusal's marking.
fn refusal(body: &[u8], received: &mut Received) -> Ending {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &body["error"];
    error["code"]
        .as_str()
        .unwrap_or_default()
        .clone_into(&mut received.code);
    match error["execution"].as_str() {
        Some("not_run") => Ending::NotRun,
        _ => Ending::Unknown,
    }
}

/// Compares an answer with the one that was asked for.
fn check(sending: &Sending, body: &[u8]) -> Ending {
    match &sending.ask {
        Ask::Draft { prompt, stream, .. } => {
            let text = if *stream {
                streamed_text(body)
            } else {
                let answer: Value = serde_json::from_slice(body).unwrap_or_default();
                answer["choices"][0]["message"]["content"]
                    .as_str()
                    .map(str::to_owned)
            };
            match text {
                None => Ending::Cut,
                Some(text) if text == text::answer(prompt) => Ending::Right,
                Some(_) => Ending::Wrong,
            }
        }
        Ask::Plain { method, path } => {
            let (_, rest) = path
                .trim_start_matches('/')
                .split_once('/')
                .unwrap_or_default();
            let expected = format!("{} {method} /{rest}", sending.id);
            if body == expected.as_bytes() {
                Ending::Right
            } else {
                Ending::Wrong
            }
        }
    }
}

/// Joins the tokens of a streamed answer; none when its end is missing.
fn streamed_text(body: &[u8]) -> Option<String> {
    let body = std::str::from_utf8(body).ok()?;
    let mut text = String::new();
    let mut done = false;
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).ok()?;
        if let Some(token) = chunk["choices"][0]["delta"]["content"].as_str() {
            text.push_str(token);
        }
    }
    done.then_some(text)
}
