//! Helpers to read HTTP requests and to build responses.

use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use hibiscusrail_net::{Body, full, json};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use crate::host::BufferedRequest;

/// Header that carries the request id in requests and responses.
pub const REQUEST_ID: &str = "x-request-id";

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Builds a response with a text body.
#[must_use]
pub fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

/// Builds a response with status 200 and a JSON body.
#[must_use]
pub fn json_response(value: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(json(value));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Parses a JSON body.
///
/// # Errors
///
/// Returns the response with status 400 when the body is not valid JSON for `T`.
#[allow(clippy::result_large_err)]
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Response<Body>> {
    serde_json::from_slice(body).map_err(|e| {
        let mut response = Response::new(full(format!("bad JSON: {e}")));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        response
    })
}

/// Returns the value of a header, when it is visible ASCII.
#[must_use]
pub fn header_str(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Returns the query parameter `name`; `None` when it is missing or malformed.
#[must_use]
pub fn query_param<T: FromStr>(request: &BufferedRequest, name: &str) -> Option<T> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name)?.1.parse().ok()
}
