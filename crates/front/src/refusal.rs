//! Answers of the router's own.

use std::time::Duration;

use hibiscusrail_fleet::event::{Execution, Reason};
use hibiscusrail_net::{Body, full};
use http::{HeaderValue, Response, StatusCode, header};

/// Part of its time left that a caller is told to wait at most.
const LONGEST_PART: u32 = 3;

/// Wait named to callers on connections over the limit.
const CROWDED_WAIT: Duration = Duration::from_secs(1);

/// Returns the answer to a request that is given up.
///
/// Only [`StatusCode::SERVICE_UNAVAILABLE`] says that the request has not run.
#[must_use]
pub fn given_up(
    reason: Reason,
    execution: Execution,
    retry_after: Duration,
    left: Duration,
) -> Response<Body> {
    let status = match (execution, reason) {
        (Execution::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Expired) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let mut answer = plain(status, &format!("{reason:?}, {execution:?}"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let wait = retry_after.min(left / LONGEST_PART);
        set_retry_after(&mut answer, wait);
    }
    answer
}

/// Returns the answer on a connection over the limit; `id` names the request.
#[must_use]
pub fn crowded(id: Option<&HeaderValue>) -> Response<Body> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
    set_retry_after(&mut answer, CROWDED_WAIT);
    log::info!(request:? = id, status = 503; "connection_refused");
    answer
}

/// Sets when asking again makes sense, in seconds with a fraction.
pub fn set_retry_after(answer: &mut Response<Body>, wait: Duration) {
    let text = format!("{:.3}", wait.as_secs_f64());
    let value = HeaderValue::from_str(&text).expect("digits are a valid header");
    answer.headers_mut().insert(header::RETRY_AFTER, value);
}

/// Returns an answer with a line of text.
#[must_use]
pub fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut answer = Response::new(full(format!("{text}\n")));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
