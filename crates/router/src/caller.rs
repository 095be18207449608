//! The callers' side: HTTP/1.1 in, the reducer's calls out.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt};
use hibiscusrail_core::configuration::ServiceKind;
use hibiscusrail_core::event::{Call, Repeat};
use hibiscusrail_core::{CallId, Event, ServiceId, WorkspaceId};
use hibiscusrail_net::Body;
use hibiscusrail_net::server::Handler;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::refusal::{self, REQUEST_ID};
use crate::shell::{CallState, Outgoing, Shell, ToCaller};

/// Path of model requests.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Header with the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the deadline in milliseconds.
const DEADLINE: &str = "x-deadline-ms";
/// Header that overrides whether the request may be repeated.
const IDEMPOTENT: &str = "x-idempotent";
/// Header with the caller's hint of the cost in cost units.
const COST_HINT: &str = "x-cost-hint";
/// Characters of a request id or idempotency key at most.
const MAX_ID: usize = 128;

/// The part of a chat request that the router reads.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// A refusal before the request is queued; such a request has not run.
struct Early {
    status: StatusCode,
    code: &'static str,
    message: String,
}

impl Early {
    fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
        }
    }
}

/// What a request asks for, after its head was read.
struct Asked {
    workspace: WorkspaceId,
    repeat: Repeat,
    deadline: Duration,
    hint: Option<f64>,
}

/// Returns the handler of callers' requests.
#[must_use]
pub fn handler(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |request| {
        let shell = Rc::clone(&shell);
        async move { answer(shell, request).await }.boxed_local()
    })
}

async fn answer(shell: Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let id = request_id(&shell, request.headers());
    match accept(&shell, &id, request).await {
        Ok((call, receiver)) => deliver(shell, id, call, receiver).await,
        Err(early) => refusal::error(early.status, early.code, &early.message, &id, "not_run"),
    }
}

/// Returns the caller's request id, or makes one.
fn request_id(shell: &Shell, headers: &HeaderMap) -> String {
    let given = text(headers, REQUEST_ID).filter(|id| !id.is_empty() && id.len() <= MAX_ID);
    given.map_or_else(
        || {
            format!(
                "{:016x}{:016x}",
                shell.clock().epoch_ms(),
                rand::random::<u64>()
            )
        },
        str::to_owned,
    )
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn accept(
    shell: &Rc<Shell>,
    id: &str,
    request: Request<Incoming>,
) -> Result<(CallId, mpsc::UnboundedReceiver<ToCaller>), Early> {
    let (parts, body) = request.into_parts();
    let asked = read_head(shell, &parts.method, parts.uri.path(), &parts.headers)?;
    let body = read_body(shell, body).await?;
    let (service, outgoing) = route(shell, id, &parts, body)?;
    let (caller, receiver) = mpsc::unbounded();
    let resumable = outgoing.stream;
    let call = shell.open_call(CallState {
        request: Rc::new(outgoing),
        caller,
    });
    shell.event(Event::Submit(Call {
        id: call,
        request: id.to_owned(),
        workspace: asked.workspace,
        service,
        repeat: asked.repeat,
        resumable,
        hint: asked.hint,
        prefix: None,
        deadline: shell.clock().now() + asked.deadline,
    }));
    Ok((call, receiver))
}

fn read_head(
    shell: &Shell,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
) -> Result<Asked, Early> {
    let workspace = authenticate(shell, headers).ok_or_else(|| {
        Early::new(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "no workspace has this key",
        )
    })?;
    let deadline = match text(headers, DEADLINE) {
        None => shell.settings().deadline,
        Some(ms) => ms
            .parse()
            .map(Duration::from_millis)
            .map_err(|_| bad_header(DEADLINE, "a whole number of milliseconds"))?,
    };
    let hint = match text(headers, COST_HINT) {
        None => None,
        Some(hint) => Some(
            hint.parse::<f64>()
                .ok()
                .filter(|h| h.is_finite() && *h >= 0.0)
                .ok_or_else(|| bad_header(COST_HINT, "a number of cost units"))?,
        ),
    };
    Ok(Asked {
        workspace,
        repeat: repeat(method, path, headers)?,
        deadline,
        hint,
    })
}

fn bad_header(name: &str, allowed: &str) -> Early {
    Early::new(
        StatusCode::BAD_REQUEST,
        "bad_header",
        format!("header {name}: allowed is {allowed}"),
    )
}

/// Returns how often the request may run: by key, by override, by method.
fn repeat(method: &Method, path: &str, headers: &HeaderMap) -> Result<Repeat, Early> {
    if let Some(key) = text(headers, IDEMPOTENCY_KEY) {
        if key.is_empty() || key.len() > MAX_ID {
            return Err(bad_header(IDEMPOTENCY_KEY, "1 to 128 characters"));
        }
        return Ok(Repeat::Keyed(key.to_owned()));
    }
    let by_method = method.is_idempotent() || path == CHAT_PATH;
    let idempotent = match text(headers, IDEMPOTENT) {
        None => by_method,
        Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad_header(IDEMPOTENT, "true or false")),
    };
    Ok(if idempotent {
        Repeat::Idempotent
    } else {
        Repeat::Once
    })
}

fn authenticate(shell: &Shell, headers: &HeaderMap) -> Option<WorkspaceId> {
    let token = text(headers, header::AUTHORIZATION.as_str())?.strip_prefix("Bearer ")?;
    let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
    let (workspace, expected) = shell.with_router(|r| r.config().workspace_by_key(&hash))?;
    bool::from(hash.ct_eq(&expected)).then_some(workspace)
}

async fn read_body(shell: &Shell, body: Incoming) -> Result<Bytes, Early> {
    let limit = shell.settings().body_bytes;
    let collected = Limited::new(body, limit).collect();
    match compio::time::timeout(shell.settings().body_time, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Early::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body is longer than {limit} bytes"),
        )),
        Ok(Err(_)) => Err(Early::new(
            StatusCode::BAD_REQUEST,
            "body_incomplete",
            "the body ended before it was whole",
        )),
        Err(_) => Err(Early::new(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            "the body did not arrive in time",
        )),
    }
}

/// Finds the service and the request that its servers receive.
fn route(
    shell: &Shell,
    id: &str,
    parts: &http::request::Parts,
    body: Bytes,
) -> Result<(ServiceId, Outgoing), Early> {
    let path = parts.uri.path();
    let (name, server_path, stream) = if path == CHAT_PATH {
        let chat: ChatRequest = serde_json::from_slice(&body).map_err(|e| {
            Early::new(
                StatusCode::BAD_REQUEST,
                "bad_json",
                format!("the body is not a chat request: {e}"),
            )
        })?;
        (chat.model, CHAT_PATH.to_owned(), chat.stream)
    } else {
        let (name, rest) = split_path(path);
        let query = parts.uri.query().map(|q| format!("?{q}"));
        let server_path = format!("/{rest}{}", query.unwrap_or_default());
        (name.to_owned(), server_path, false)
    };
    let service = ServiceId::new(&name);
    let found = shell.with_router(|r| r.config().service(service).cloned());
    let found = found.filter(|s| (s.kind == ServiceKind::Model) == (path == CHAT_PATH));
    let found = found.ok_or_else(|| {
        Early::new(
            StatusCode::NOT_FOUND,
            "unknown_service",
            format!("no service {name} takes this request"),
        )
    })?;
    let outgoing = Outgoing {
        method: parts.method.clone(),
        path: server_path,
        headers: to_server(&parts.headers),
        body,
        request: id.to_owned(),
        stream,
        prompt_weight: found.prompt_weight,
        output_weight: found.output_weight,
        model: found.kind == ServiceKind::Model,
    };
    Ok((service, outgoing))
}

/// Splits `/service/rest` into the service and the rest.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    path.split_once('/').unwrap_or((path, ""))
}

/// Headers that belong to one connection or to the router.
const NOT_PASSED: [HeaderName; 6] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

fn to_server(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    for name in NOT_PASSED {
        out.remove(name);
    }
    out
}

/// Tells the shell when a caller's connection goes away before the answer is whole.
struct HangupGuard {
    shell: Rc<Shell>,
    call: CallId,
}

impl Drop for HangupGuard {
    fn drop(&mut self) {
        self.shell.hang_up(self.call);
    }
}

async fn deliver(
    shell: Rc<Shell>,
    id: String,
    call: CallId,
    mut receiver: mpsc::UnboundedReceiver<ToCaller>,
) -> Response<Body> {
    let guard = HangupGuard { shell, call };
    let (status, headers) = match receiver.next().await {
        Some(ToCaller::Head(status, headers)) => (status, headers),
        Some(ToCaller::Refused(refused)) => return refusal::response(&id, &refused),
        Some(ToCaller::Data(_) | ToCaller::End) | None => {
            let message = "the answer came without a head";
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return refusal::error(status, "internal", message, &id, "unknown");
        }
    };
    let body = forward(guard, receiver);
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    if let Ok(id) = HeaderValue::from_str(&id) {
        answer.headers_mut().insert(REQUEST_ID, id);
    }
    answer
}

/// Returns the body of an answer; an answer that is cut ends with an error.
fn forward(guard: HangupGuard, receiver: mpsc::UnboundedReceiver<ToCaller>) -> Body {
    let frames =
        futures_util::stream::unfold((guard, receiver), |(guard, mut receiver)| async move {
            let item = match receiver.next().await {
                Some(ToCaller::Data(data)) => Ok(http_body::Frame::data(data)),
                Some(ToCaller::End | ToCaller::Head(..)) => return None,
                Some(ToCaller::Refused(_)) | None => Err(io::Error::new(
                    io::ErrorKind::ConnectionAborted,
                    "answer cut",
                )),
            };
            Some((item, (guard, receiver)))
        });
    Box::pin(http_body_util::StreamBody::new(frames))
}
