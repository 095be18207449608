//! The request as a server receives it.

use std::time::Instant;

use hibiscusrail_net::{Body, full};
use http::{HeaderName, HeaderValue, Request, header};

use crate::refusal::REQUEST_ID;

use super::Exchange;

/// Header that asks an engine to resume at a token; engines repeat it in the answer.
pub const RESUME: &str = "x-resume-token";
/// Header with the milliseconds that the caller still waits.
const DEADLINE: &str = "x-deadline-ms";
/// Header with the number of the claim; a server that checks it refuses a lower one.
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
    if let Ok(id) = HeaderValue::from_str(&outgoing.request) {
        headers.insert(REQUEST_ID, id);
    }
    let left = dispatch.deadline.saturating_duration_since(Instant::now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(HeaderName::from_static(DEADLINE), HeaderValue::from(left));
    if let Some(fence) = dispatch.fence {
        headers.insert(HeaderName::from_static(FENCE), HeaderValue::from(fence));
    }
    if let Some(token) = exchange.resume {
        headers.insert(HeaderName::from_static(RESUME), HeaderValue::from(token));
    }
    request
}
