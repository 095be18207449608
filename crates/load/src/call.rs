//! Single HTTP calls of stand-ins, routers' admin ports and relays.

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

/// Time for one call.
const CALL_TIME: Duration = Duration::from_secs(10);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection.
    #[snafu(display("{path}: {source}"))]
    Connect {
        /// What was called.
        path: String,
        /// What went wrong.
        source: ConnectError,
    },
    /// The connection broke.
    #[snafu(display("{path} at {peer}: {source}"))]
    Broken {
        /// What was called.
        path: String,
        /// Who was called.
        peer: SocketAddr,
        /// What went wrong.
        source: hyper::Error,
    },
    /// The call was refused.
    #[snafu(display("{path} at {peer}: status {status}"))]
    Status {
        /// What was called.
        path: String,
        /// Who was called.
        peer: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The answer is not of the expected shape.
    #[snafu(display("{path} at {peer}: {source}"))]
    Json {
        /// What was called.
        path: String,
        /// Who was called.
        peer: SocketAddr,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The time was up.
    #[snafu(display("{path} at {peer}: no answer in time"))]
    Timeout {
        /// What was called.
        path: String,
        /// Who was called.
        peer: SocketAddr,
    },
}

/// Calls `path` at `peer` with a JSON body.
///
/// # Errors
///
/// Says why there is no answer, or not the expected one.
pub async fn post(peer: SocketAddr, path: &str, body: &impl Serialize) -> Result<Bytes, CallError> {
    let body = serde_json::to_vec(body).context(JsonSnafu { path, peer })?;
    send(peer, Method::POST, path, None, body).await
}

/// Reads JSON from `path` at `peer`.
///
/// # Errors
///
/// Says why there is no answer, or not the expected one.
pub async fn get<A: DeserializeOwned>(peer: SocketAddr, path: &str) -> Result<A, CallError> {
    let body = send(peer, Method::GET, path, None, Vec::new()).await?;
    serde_json::from_slice(&body).context(JsonSnafu { path, peer })
}

/// Makes one call, with a bearer token where one is given.
///
/// # Errors
///
/// Says why there is no answer, or not the expected one.
pub async fn send(
    peer: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: Vec<u8>,
) -> Result<Bytes, CallError> {
    let exchange = exchange(peer, method, path, token, body);
    compio::time::timeout(CALL_TIME, exchange)
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
    let mut connection = connect(peer, CALL_TIME)
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
