//! Small helpers for the stand-ins' HTTP sides.

use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use hibiscusrail_net::{Body, full, json};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use crate::host::Whole;

/// Header that carries the request id both ways.
pub const REQUEST_ID: &str = "x-request-id";

/// Returns the milliseconds since the epoch.
#[must_use]
pub fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Builds an answer with a text body.
#[must_use]
pub fn status(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut answer = Response::new(full(text));
    *answer.status_mut() = status;
    answer
}

/// Builds an answer with a JSON body.
#[must_use]
pub fn ok_json(value: &impl Serialize) -> Response<Body> {
    let mut answer = Response::new(json(value));
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    answer
}

/// Reads a JSON body, or builds the answer that refuses it.
///
/// # Errors
///
/// Holds the answer for a body that does not fit.
#[allow(clippy::result_large_err)]
pub fn read_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Response<Body>> {
    serde_json::from_slice(body).map_err(|e| {
        let mut answer = Response::new(full(format!("bad JSON: {e}")));
        *answer.status_mut() = StatusCode::BAD_REQUEST;
        answer
    })
}

/// Returns a header's text.
#[must_use]
pub fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Returns a value of the query `?name=value&..`; none when it is missing or malformed.
#[must_use]
pub fn query<T: FromStr>(request: &Whole, name: &str) -> Option<T> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name)?.1.parse().ok()
}
