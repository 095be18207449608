//! Single HTTP calls to stand-ins, relays and routers' admin ports.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hibiscusrail_net::client::ConnectError;
use hibiscusrail_net::{connect, full};
use http::{Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Timeout of one call, connecting included.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened.
    #[snafu(display("{path}: {source}"))]
    Connect {
        /// Path of the call.
        path: String,
        /// Why connecting failed.
        source: ConnectError,
    },
    /// The connection failed before the answer was complete.
    #[snafu(display("{path} at {peer}: {source}"))]
    Broken {
        /// Path of the call.
        path: String,
        /// Address that was called.
        peer: SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The answer has a status other than success.
    #[snafu(display("{path} at {peer}: status {status}"))]
    Status {
        /// Path of the call.
        path: String,
        /// Address that was called.
        peer: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
    },
    /// A body can't be converted to or from JSON.
    #[snafu(display("{path} at {peer}: {source}"))]
    Json {
        /// Path of the call.
        path: String,
        /// Address that was called.
        peer: SocketAddr,
        /// Error of the conversion.
        source: serde_json::Error,
    },
    /// The call timed out.
    #[snafu(display("{path} at {peer}: no answer in time"))]
    Timeout {
        /// Path of the call.
        path: String,
        /// Address that was called.
        peer: SocketAddr,
    },
}

/// Sends a JSON body to `path` at `peer` with POST and returns the body of the answer.
///
/// # Errors
///
/// Fails when there is no answer in time or its status is not a success.
pub async fn post(peer: SocketAddr, path: &str, body: &impl Serialize) -> Result<Bytes, CallError> {
    let body = serde_json::to_vec(body).context(JsonSnafu { path, peer })?;
    send(peer, Method::POST, path, None, body).await
}

/// Reads JSON from `path` at `peer` with GET.
///
/// # Errors
///
/// Fails when there is no answer in time, its status is not a success or its body does not parse.
pub async fn get<A: DeserializeOwned>(peer: SocketAddr, path: &str) -> Result<A, CallError> {
    let body = send(peer, Method::GET, path, None, Vec::new()).await?;
    serde_json::from_slice(&body).context(JsonSnafu { path, peer })
}

/// Sends one request, with a bearer token if there is one, and returns the body of the answer.
///
/// # Errors
///
/// Fails when there is no answer in time or its status is not a success.
pub async fn send(
    peer: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: Vec<u8>,
) -> Result<Bytes, CallError> {
    let exchange = exchange(peer, method, path, token, body);
    compio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| TimeoutSnafu { path, peer }.fail())
}

async fn exchange(
    peer: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: Vec<u8>,
) -> Result<Bytes, CallError> {
    let mut connection = connect(peer, CALL_TIMEOUT)
        .await
        .context(ConnectSnafu { path })?;
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, peer.to_string());
    if let Some(token) = token {
        request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request
        .body(full(body))
        .expect("the request is made of valid parts");
    let answer = connection
        .send_request(request)
        .await
        .context(BrokenSnafu { path, peer })?;
    let status = answer.status();
    let body = answer.into_body().collect().await;
    let body = body.context(BrokenSnafu { path, peer })?.to_bytes();
    if !status.is_success() {
        return StatusSnafu { path, peer, status }.fail();
    }
    Ok(body)
}
