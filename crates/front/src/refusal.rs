//! Responses that the router itself creates, mostly refusals.

use std::time::Duration;

use bytes::Bytes;
use hibiscusrail_fleet::event::{Execution, Reason};
use hibiscusrail_fleet::placement::name_hash;
use hibiscusrail_net::{Body, full, logs};
use http::{HeaderValue, Response, StatusCode, header};

/// `Retry-After` is at most the caller's remaining time divided by this.
const MAX_WAIT_DIVISOR: u32 = 3;

/// `Retry-After` on connections over the limit.
const CONNECTION_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the response to a failed request; `remaining` is the time until its deadline.
///
/// Only [`StatusCode::SERVICE_UNAVAILABLE`] states that the request has not run.
#[must_use]
pub fn failure(
    reason: Reason,
    execution: Execution,
    retry_after: Duration,
    remaining: Duration,
) -> Response<Body> {
    let status = match (execution, reason) {
        (Execution::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Expired) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let mut response = text_response(status, &format!("{reason:?}, {execution:?}"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        // No server runs a quarantined request before its time, however often it comes.
        let max_wait = match reason {
            Reason::Quarantined => Duration::MAX,
            _ => remaining / MAX_WAIT_DIVISOR,
        };
        // No delay helps once the servers of a version are gone.
        if reason != Reason::VersionGone {
            set_retry_after(&mut response, retry_after.min(max_wait));
        }
    }
    response
}

/// Returns the response to a stream that the overloaded router refuses at its head.
#[must_use]
pub fn busy(retry_after: Duration, remaining: Duration) -> Response<Bytes> {
    let wait = retry_after.min(remaining / MAX_WAIT_DIVISOR);
    unavailable(b"RouterBusy, NotRun\n", wait)
}

/// Returns a retry delay of half to one and a half of `wait`, by a hash of the request's id, so that
/// callers refused together do not come back together.
#[must_use]
pub fn spread(wait: Duration, id: &str) -> Duration {
    wait.mul_f64(0.5 + f64::from(name_hash(id)) / f64::from(u32::MAX))
}

/// Returns the retry delay of a refused request; one that no server's state was the base of is
/// spread, and one without room comes back after one to two times the time until it is expected.
#[must_use]
pub fn retry_delay(reason: Reason, wait: Duration, id: &str) -> Duration {
    match reason {
        Reason::RouterBusy
        | Reason::NoServer
        | Reason::NotReady
        | Reason::Exhausted
        | Reason::Stopping
        | Reason::RetryBudget
        | Reason::VersionUnknown => spread(wait, id),
        // No room is expected before this time.
        Reason::NoRoom => wait.mul_f64(0.5) + spread(wait, id),
        Reason::Busy
        | Reason::OverShare
        | Reason::Expired
        | Reason::Throttled
        | Reason::Quarantined
        | Reason::VersionGone
        | Reason::Unrecorded => wait,
    }
}

/// Returns the response on a connection over the limit and logs it with the request's `id`.
#[must_use]
pub fn too_many_connections(id: Option<&HeaderValue>) -> Response<Bytes> {
    let text = id.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let wait = spread(CONNECTION_LIMIT_RETRY_AFTER, text);
    if logs::has_token() {
        log::info!(request:? = id, status = 503; "connection_refused");
    }
    unavailable(b"too many connections\n", wait)
}

/// Returns a response with a line of text that tells the caller to come back after `wait`.
fn unavailable(text: &'static [u8], wait: Duration) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from_static(text));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let kind = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    set_retry_after(&mut response, wait);
    response
}

/// Sets `Retry-After` to `wait` in seconds, with three decimals.
pub fn set_retry_after<B>(response: &mut Response<B>, wait: Duration) {
    let text = format!("{:.3}", wait.as_secs_f64());
    let value = HeaderValue::from_str(&text).expect("digits are a valid header");
    response.headers_mut().insert(header::RETRY_AFTER, value);
}

/// Returns a response whose body is a line of text.
#[must_use]
pub fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full(format!("{text}\n")));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
