//! Refusals as callers see them: HTTP status, stable code and JSON body.
//!
//! [`Code`] lists all codes; a test compares it with the table in `docs/INTERFACE.md`.

use std::time::Duration;

use hibiscusrail_core::effect::{Execution, Refusal, Refused};
use hibiscusrail_macros::id;
use hibiscusrail_net::{Body, json};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// Header that carries the request id in requests and responses.
pub const REQUEST_ID: &str = "x-request-id";
/// `Retry-After` of a refusal for which no more specific time is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason for which a request is refused.
#[id]
pub enum Code {
    /// A header has an invalid value.
    BadHeader,
    /// The body is not a chat request.
    BadJson,
    /// The body ended before it was complete.
    BodyIncomplete,
    /// The API key is missing or belongs to no workspace.
    Unauthorized,
    /// The service does not exist, or is not served on this path.
    UnknownService,
    /// The body did not arrive within the timeout.
    BodyTooSlow,
    /// An earlier request with the same idempotency key has run or is running.
    AlreadyRun,
    /// A request with the same idempotency key runs, or its outcome is unknown.
    KeyInDoubt,
    /// The body exceeds the maximum size.
    BodyTooLarge,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The queue of the workspace is full.
    QueueFull,
    /// The head exceeds the maximum number of headers or bytes.
    HeadTooLarge,
    /// The caller hung up.
    Cancelled,
    /// The router failed to forward the response.
    Internal,
    /// The connection to the backend server was lost, and a retry is not allowed.
    ConnectionLost,
    /// The attempts or the retry budget were exhausted.
    RetriesExhausted,
    /// The backend server ran the request and reported a failure.
    ServerFailed,
    /// The router has no configuration yet.
    NotReady,
    /// The router is stopping.
    Stopping,
    /// The idempotency key can't be claimed: the platform's table is unreachable.
    ClaimUnavailable,
    /// The memory for request bodies is exhausted.
    Overloaded,
    /// The maximum number of connections is open.
    TooManyConnections,
    /// The deadline passed before the request was answered.
    DeadlineExceeded,
}

impl Code {
    /// All codes, ordered by status.
    pub const ALL: [Self; 23] = [
        Self::BadHeader,
        Self::BadJson,
        Self::BodyIncomplete,
        Self::Unauthorized,
        Self::UnknownService,
        Self::BodyTooSlow,
        Self::AlreadyRun,
        Self::KeyInDoubt,
        Self::BodyTooLarge,
        Self::KeyReused,
        Self::QueueFull,
        Self::HeadTooLarge,
        Self::Cancelled,
        Self::Internal,
        Self::ConnectionLost,
        Self::RetriesExhausted,
        Self::ServerFailed,
        Self::NotReady,
        Self::Stopping,
        Self::ClaimUnavailable,
        Self::Overloaded,
        Self::TooManyConnections,
        Self::DeadlineExceeded,
    ];

    /// Returns the stable name, as responses, logs and metrics carry it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::BadHeader => "bad_header",
            Self::BadJson => "bad_json",
            Self::BodyIncomplete => "body_incomplete",
            Self::Unauthorized => "unauthorized",
            Self::UnknownService => "unknown_service",
            Self::BodyTooSlow => "body_too_slow",
            Self::AlreadyRun => "already_run",
            Self::KeyInDoubt => "key_in_doubt",
            Self::KeyReused => "key_reused",
            Self::ServerFailed => "server_failed",
            Self::BodyTooLarge => "body_too_large",
            Self::QueueFull => "queue_full",
            Self::HeadTooLarge => "head_too_large",
            Self::Cancelled => "cancelled",
            Self::Internal => "internal",
            Self::ConnectionLost => "connection_lost",
            Self::RetriesExhausted => "retries_exhausted",
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::Overloaded => "overloaded",
            Self::TooManyConnections => "too_many_connections",
            Self::DeadlineExceeded => "deadline_exceeded",
        }
    }

    /// Returns the HTTP status.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHeader | Self::BadJson | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::AlreadyRun | Self::KeyInDoubt => StatusCode::CONFLICT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::QueueFull => StatusCode::TOO_MANY_REQUESTS,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            // The caller of a cancelled request has hung up and never receives the status.
            Self::Cancelled | Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
            Self::ConnectionLost | Self::RetriesExhausted | Self::ServerFailed => {
                StatusCode::BAD_GATEWAY
            }
            Self::NotReady
            | Self::Stopping
            | Self::ClaimUnavailable
            | Self::Overloaded
            | Self::TooManyConnections => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the default message, for human readers.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::BadHeader => "a header has a value that is not allowed",
            Self::BadJson => "the body is not a chat request",
            Self::BodyIncomplete => "the body ended before it was whole",
            Self::Unauthorized => "no workspace has this key",
            Self::UnknownService => "no service of this name takes the request",
            Self::BodyTooSlow => "the body did not arrive in time",
            Self::AlreadyRun => "a request with this idempotency key was run before",
            Self::KeyInDoubt => {
                "a request with this idempotency key runs, or its outcome is unknown"
            }
            Self::KeyReused => "this idempotency key was used for a different request",
            Self::ServerFailed => "the server ran the request and failed",
            Self::BodyTooLarge => "the body is too long",
            Self::QueueFull => "the workspace has too many requests waiting",
            Self::HeadTooLarge => "the request has too many headers or too long ones",
            Self::Cancelled => "the caller hung up",
            Self::Internal => "the router failed to pass the answer on",
            Self::ConnectionLost => "the connection to the server was lost",
            Self::RetriesExhausted => "no server answered within the allowed attempts",
            Self::NotReady => "the router has no configuration yet",
            Self::Stopping => "the router is stopping",
            Self::ClaimUnavailable => "the idempotency key can't be claimed now",
            Self::Overloaded => "the router holds as many requests as it can",
            Self::TooManyConnections => "too many connections are open",
            Self::DeadlineExceeded => "the deadline passed before the request was answered",
        }
    }

    /// Returns the time after which a retry is useful; `None` if waiting does not help.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::QueueFull
            | Self::NotReady
            | Self::Stopping
            | Self::ClaimUnavailable
            | Self::Overloaded
            | Self::TooManyConnections => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }
}

impl From<Refusal> for Code {
    fn from(reason: Refusal) -> Self {
        match reason {
            Refusal::QueueFull => Self::QueueFull,
            Refusal::Expired => Self::DeadlineExceeded,
            Refusal::NoService => Self::UnknownService,
            Refusal::NotReady => Self::NotReady,
            Refusal::Stopping => Self::Stopping,
            Refusal::NoClaim => Self::ClaimUnavailable,
            Refusal::Exhausted => Self::RetriesExhausted,
            Refusal::Broken => Self::ConnectionLost,
            Refusal::Cancelled => Self::Cancelled,
            Refusal::AlreadyRun => Self::AlreadyRun,
            Refusal::KeyInDoubt => Self::KeyInDoubt,
            Refusal::KeyReused => Self::KeyReused,
            Refusal::ServerFailed => Self::ServerFailed,
        }
    }
}

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

/// Object `error` in the JSON body of a refusal.
#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: &'a str,
    request_id: &'a str,
    execution: &'a str,
}

/// Returns the stable name of an execution state.
#[must_use]
pub fn execution_name(execution: Execution) -> &'static str {
    match execution {
        Execution::NotRun => "not_run",
        Execution::Failed => "failed",
        Execution::Unknown => "unknown",
        Execution::AlreadyRun => "already_run",
    }
}

/// Builds the response for a request that the reducer refused.
#[must_use]
pub fn response(request_id: &str, refused: &Refused) -> Response<Body> {
    let code = Code::from(refused.reason);
    let execution = execution_name(refused.execution);
    let mut response = error(code, code.message(), request_id, execution);
    if let Some(wait) = refused.retry_after {
        set_retry_after(&mut response, wait);
    }
    response
}

/// Builds the response for a request refused before submission to the reducer; it has not run.
#[must_use]
pub fn not_run(code: Code, message: &str, request_id: &str) -> Response<Body> {
    error(code, message, request_id, execution_name(Execution::NotRun))
}

/// Builds the response for a refused request.
#[must_use]
pub fn error(code: Code, message: &str, request_id: &str, execution: &str) -> Response<Body> {
    let body = json(&ErrorBody {
        error: ErrorDetail {
            code: code.name(),
            message,
            request_id,
            execution,
        },
    });
    let mut response = Response::new(body);
    *response.status_mut() = code.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, id);
    }
    if code == Code::Unauthorized {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some(wait) = code.retry_after() {
        set_retry_after(&mut response, wait);
    }
    response
}

fn set_retry_after(response: &mut Response<Body>, wait: Duration) {
    let seconds = wait.as_secs().max(1);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
}
