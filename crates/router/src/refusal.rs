//! Refusals as callers see them: status, stable code, JSON body.

use hibiscusrail_core::effect::{Execution, Refusal, Refused};
use hibiscusrail_net::{Body, json};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// Header that carries the request id both ways.
pub const REQUEST_ID: &str = "x-request-id";

/// Body of a refusal.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

/// Details of a refusal.
#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: &'a str,
    request_id: &'a str,
    execution: &'a str,
}

/// Returns the stable name of what is known of a request's execution.
#[must_use]
pub fn execution_name(execution: Execution) -> &'static str {
    match execution {
        Execution::NotRun => "not_run",
        Execution::Failed => "failed",
        Execution::Unknown => "unknown",
        Execution::AlreadyRun => "already_run",
    }
}

/// Returns status, code and message of a refusal.
fn describe(refused: &Refused) -> (StatusCode, &'static str, &'static str) {
    match refused.reason {
        Refusal::QueueFull => (
            StatusCode::TOO_MANY_REQUESTS,
            "queue_full",
            "the workspace has too many requests waiting",
        ),
        Refusal::Expired => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline_exceeded",
            "the deadline passed before the request was answered",
        ),
        Refusal::NoService => (
            StatusCode::NOT_FOUND,
            "unknown_service",
            "no service of this name is configured",
        ),
        Refusal::NotReady => (
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            "the router has no configuration yet",
        ),
        Refusal::Stopping => (
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "the router is stopping",
        ),
        Refusal::NoClaim => (
            StatusCode::SERVICE_UNAVAILABLE,
            "claim_unavailable",
            "the idempotency key can't be claimed now",
        ),
        Refusal::Exhausted => (
            StatusCode::BAD_GATEWAY,
            "retries_exhausted",
            "no server answered within the allowed attempts",
        ),
        Refusal::Broken => (
            StatusCode::BAD_GATEWAY,
            "connection_lost",
            "the connection to the server was lost",
        ),
        Refusal::Cancelled => (
            StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST),
            "cancelled",
            "the caller hung up",
        ),
        Refusal::AlreadyRun => (
            StatusCode::CONFLICT,
            "already_run",
            "a request with this idempotency key was run before",
        ),
        Refusal::KeyInDoubt => (
            StatusCode::CONFLICT,
            "key_in_doubt",
            "a request with this idempotency key runs, or its outcome is unknown",
        ),
        Refusal::KeyReused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            "this idempotency key was used for a different request",
        ),
        Refusal::ServerFailed => (
            StatusCode::BAD_GATEWAY,
            "server_failed",
            "the server ran the request and failed",
        ),
    }
}

/// Builds the answer for a refused request.
#[must_use]
pub fn response(request_id: &str, refused: &Refused) -> Response<Body> {
    let (status, code, message) = describe(refused);
    let mut answer = error(
        status,
        code,
        message,
        request_id,
        execution_name(refused.execution),
    );
    if let Some(wait) = refused.retry_after {
        let seconds = wait.as_secs().max(1);
        answer
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

/// Builds the answer for a request that was refused before it was queued.
#[must_use]
pub fn error(
    status: StatusCode,
    code: &str,
    message: &str,
    request_id: &str,
    execution: &str,
) -> Response<Body> {
    let body = json(&ErrorBody {
        error: ErrorDetail {
            code,
            message,
            request_id,
            execution,
        },
    });
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, id);
    }
    answer
}
