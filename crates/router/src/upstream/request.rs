//! Builds the request that a backend server receives.

use std::time::Instant;

use hibiscusrail_net::{Body, full};
use http::{HeaderName, HeaderValue, Request, header};

use crate::refusal::REQUEST_ID;

use super::Exchange;

/// Header that asks an engine to resume at a token; the response must repeat it.
pub const RESUME: &str = "x-resume-token";
/// Header with the remaining time in milliseconds until the caller's deadline.
const DEADLINE: &str = "x-deadline-ms";
/// Header with the claim's number, a fencing token: servers that check it refuse a lower one.
const FENCE: &str = "x-claim-attempt";

pub(super) fn build(exchange: &Exchange<'_>) -> Request<Body> {
    let dispatch = exchange.dispatch;
    let outgoing = &exchange.state.request;
    let mut request = Request::new(full(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.clone_from(&outgoing.headers);
    let host = HeaderValue::from_str(&dispatch.address.to_string());
    headers.insert(header::HOST, host.expect("an address is a valid header"));
    if let Ok(id) = HeaderValue::from_str(&outgoing.request_id) {
        headers.insert(REQUEST_ID, id);
    }
    let remaining = dispatch.deadline.saturating_duration_since(Instant::now());
    let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(
        HeaderName::from_static(DEADLINE),
        HeaderValue::from(remaining),
    );
    if let Some(fence) = dispatch.fence {
        headers.insert(HeaderName::from_static(FENCE), HeaderValue::from(fence));
    }
    if let Some(token) = exchange.resume {
        headers.insert(HeaderName::from_static(RESUME), HeaderValue::from(token));
    }
    request
}
