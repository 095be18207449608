//! Small helpers for the stand-ins' HTTP sides.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{Body, full, json};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Header that carries the request id both ways.
pub const REQUEST_ID: &str = "x-request-id";

/// Returns the milliseconds since the epoch.
#[must_use]
pub fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// A request whose body has been read.
pub type Whole = Request<Bytes>;

/// Answers requests whose bodies have been read.
pub trait Service: 'static {
    /// Answers one request; none closes the connection without an answer.
    fn answer(self: Rc<Self>, request: Whole) -> LocalBoxFuture<'static, Response<Body>>;
}

/// Returns a handler that reads bodies and asks `service`.
#[must_use]
pub fn handler<S: Service>(service: &Rc<S>) -> Handler {
    let service = Rc::clone(service);
    Rc::new(move |request: Request<Incoming>| {
        let service = Rc::clone(&service);
        async move {
            let (parts, body) = request.into_parts();
            match body.collect().await {
                Ok(body) => {
                    let whole = Request::from_parts(parts, body.to_bytes());
                    service.answer(whole).await
                }
                Err(_) => status(StatusCode::BAD_REQUEST, "body incomplete"),
            }
        }
        .boxed_local()
    })
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
