//! Sends single requests as a caller and checks every answer.

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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Code of a request for which no connection to the router could be opened.
pub const NO_CONNECTION: &str = "no_connection";

/// What a caller requests.
#[record]
pub enum Operation {
    /// A completion by a model service.
    Draft {
        /// Name of the model service.
        service: String,
        /// Prompt of the completion.
        prompt: String,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call to a plain service.
    Plain {
        /// HTTP method.
        method: Method,
        /// Path, which begins with the name of the service.
        path: String,
    },
}

impl Operation {
    /// Returns an idempotent lookup of a record at a plain service.
    #[must_use]
    pub fn lookup(service: &str, record: &str) -> Self {
        Self::Plain {
            method: Method::GET,
            path: format!("/{service}/record/{record}"),
        }
    }

    /// Returns a non-idempotent call to a plain service.
    #[must_use]
    pub fn write(service: &str, record: &str) -> Self {
        Self::Plain {
            method: Method::POST,
            path: format!("/{service}/record/{record}"),
        }
    }

    /// Returns the kind of this request.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Draft { .. } => Kind::Draft,
            Self::Plain { method, .. } if method.is_idempotent() => Kind::Lookup,
            Self::Plain { .. } => Kind::Write,
        }
    }
}

/// Kind of a request.
#[id]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A completion by a model service.
    Draft,
    /// An idempotent call to a plain service.
    Lookup,
    /// A non-idempotent call to a plain service.
    Write,
}

/// A request to send to a router.
#[record]
pub struct CallerRequest {
    /// Address of the router.
    pub router: SocketAddr,
    /// Request id.
    pub id: String,
    /// Name of the workspace.
    pub workspace: String,
    /// API key of the workspace.
    pub key: String,
    /// What is requested.
    pub operation: Operation,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Cost hint, in cost units.
    pub hint: Option<f64>,
    /// Time in which the answer has to be complete.
    pub deadline: Duration,
}

const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

impl CallerRequest {
    /// Creates a request of `workspace` without idempotency key and cost hint.
    #[must_use]
    pub fn new(
        router: SocketAddr,
        id: &str,
        workspace: &WorkspaceSpec,
        operation: Operation,
    ) -> Self {
        Self {
            router,
            id: id.to_owned(),
            workspace: workspace.name.clone(),
            key: workspace.key(),
            operation,
            idempotency_key: None,
            hint: None,
            deadline: DEFAULT_DEADLINE,
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
        self.idempotency_key = Some(key.to_owned());
        self
    }
}

/// How a request ended for its caller.
#[id]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A complete answer with the expected content.
    Right,
    /// A complete answer with other content.
    Wrong,
    /// A visibly truncated answer.
    Cut,
    /// A refusal that says that the request did not run.
    NotRun,
    /// A refusal that leaves open whether the request ran.
    Unknown,
    /// No answer.
    Lost,
}

/// Result of one request.
#[record]
pub struct CallerResult {
    /// Request id.
    pub id: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// When the request was sent.
    pub started: Instant,
    /// How the request ended.
    pub ending: Ending,
    /// HTTP status, zero without an answer.
    pub status: u16,
    /// Code of the refusal, or [`NO_CONNECTION`]; empty without either.
    pub code: String,
    /// Time from sending to the first byte of the body; zero without one.
    pub first_byte: Duration,
    /// Time from sending to the end of the answer.
    pub total: Duration,
}

/// Sends one request and checks its answer.
pub async fn send(request: &CallerRequest) -> CallerResult {
    let started = Instant::now();
    let mut result = CallerResult {
        id: request.id.clone(),
        workspace: request.workspace.clone(),
        kind: request.operation.kind(),
        idempotency_key: request.idempotency_key.clone(),
        started,
        ending: Ending::Lost,
        status: 0,
        code: String::new(),
        first_byte: Duration::ZERO,
        total: Duration::ZERO,
    };
    exchange(request, started, &mut result).await;
    result.total = started.elapsed();
    result
}

/// Sends the request and fills in `result`, except the total time.
async fn exchange(request: &CallerRequest, started: Instant, result: &mut CallerResult) {
    let Ok(mut connection) = connect(request.router, CONNECT_TIMEOUT).await else {
        NO_CONNECTION.clone_into(&mut result.code);
        return;
    };
    let Ok(answer) = connection.send_request(build_request(request)).await else {
        return;
    };
    result.status = answer.status().as_u16();
    let success = answer.status().is_success();
    let mut body = Vec::new();
    let complete = read_body(answer.into_body(), started, result, &mut body).await;
    result.ending = if !success {
        parse_refusal(&body, result)
    } else if !complete {
        Ending::Cut
    } else {
        check_answer(request, &body)
    };
}

/// Reads the answer into `body`; returns whether it arrived without an error.
async fn read_body(
    mut incoming: Incoming,
    started: Instant,
    result: &mut CallerResult,
    body: &mut Vec<u8>,
) -> bool {
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        if result.first_byte.is_zero() {
            result.first_byte = started.elapsed();
        }
        if let Some(data) = frame.data_ref() {
            body.extend_from_slice(data);
        }
    }
    true
}

fn build_request(request: &CallerRequest) -> Request<hibiscusrail_net::Body> {
    let mut builder = Request::builder()
        .header(header::HOST, request.router.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {}", request.key))
        .header("x-request-id", &request.id)
        .header("x-workspace", &request.workspace)
        .header("x-deadline-ms", request.deadline.as_millis().to_string());
    if let Some(key) = &request.idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(hint) = request.hint {
        builder = builder.header("x-cost-hint", hint.to_string());
    }
    let (builder, body) = match &request.operation {
        Operation::Draft {
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
        Operation::Plain { method, path } => (builder.method(method).uri(path), String::new()),
    };
    builder
        .body(full(body))
        .expect("the request is made of valid parts")
}

/// Reads the code of a refusal, and whether it says that the request did not run.
fn parse_refusal(body: &[u8], result: &mut CallerResult) -> Ending {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &body["error"];
    error["code"]
        .as_str()
        .unwrap_or_default()
        .clone_into(&mut result.code);
    match error["execution"].as_str() {
        Some("not_run") => Ending::NotRun,
        _ => Ending::Unknown,
    }
}

fn check_answer(request: &CallerRequest, body: &[u8]) -> Ending {
    match &request.operation {
        Operation::Draft { prompt, stream, .. } => {
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
        Operation::Plain { method, path } => {
            let (_, rest) = path
                .trim_start_matches('/')
                .split_once('/')
                .unwrap_or_default();
            let expected = format!("{} {method} /{rest}", request.id);
            if body == expected.as_bytes() {
                Ending::Right
            } else {
                Ending::Wrong
            }
        }
    }
}

/// Joins the tokens of a streamed answer; `None` if it is malformed or has no end marker.
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
