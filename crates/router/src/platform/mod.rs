//! Client of the platform's HTTP interface.
//!
//! [`call`] and [`get`] send one request; [`audit`] adds rows to the audit trail; [`poll`] follows
//! the configuration and the host list at the rate that [`pacer`] allows.

pub mod audit;
pub mod pacer;
pub mod poll;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hibiscusrail_net::{Body, connect, empty, json};
use http::{Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Timeout of one call of the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call of the platform failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("{path}: {source}"))]
    Connect {
        /// Path that was called.
        path: &'static str,
        /// Error of the connection attempt.
        source: hibiscusrail_net::client::ConnectError,
    },
    /// The request or the response failed on an open connection.
    #[snafu(display("{path} at {peer}: {source}"))]
    Http {
        /// Path that was called.
        path: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Error of the HTTP client.
        source: hyper::Error,
    },
    /// The platform answered with a status other than 200.
    #[snafu(display("{path} at {peer}: status {status}"))]
    Status {
        /// Path that was called.
        path: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
    /// The response is not valid JSON of the expected type.
    #[snafu(display("{path} at {peer}: {source}"))]
    Json {
        /// Path that was called.
        path: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// No response arrived within the timeout.
    #[snafu(display("{path} at {peer}: no response in time"))]
    Timeout {
        /// Path that was called.
        path: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
    },
}

/// Posts `body` as JSON to a path of the platform and returns its response.
///
/// # Errors
///
/// Returns an error that names the path and the address. A call that failed after it
/// was sent may still have taken effect.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    peer: SocketAddr,
    path: &'static str,
    body: &Q,
) -> Result<A, PlatformError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, peer.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(json(body))
        .expect("method, path and headers are valid");
    send(peer, path, request).await
}

/// Gets a path of the platform and returns its response.
///
/// # Errors
///
/// Returns an error that names the path and the address.
pub async fn get<A: DeserializeOwned>(
    peer: SocketAddr,
    path: &'static str,
) -> Result<A, PlatformError> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header(header::HOST, peer.to_string())
        .body(empty())
        .expect("method, path and headers are valid");
    send(peer, path, request).await
}

async fn send<A: DeserializeOwned>(
    peer: SocketAddr,
    path: &'static str,
    request: Request<Body>,
) -> Result<A, PlatformError> {
    hibiscusrail_net::timeout(CALL_TIMEOUT, exchange(peer, path, request))
        .await
        .unwrap_or_else(|_| TimeoutSnafu { path, peer }.fail())
}

async fn exchange<A: DeserializeOwned>(
    peer: SocketAddr,
    path: &'static str,
    request: Request<Body>,
) -> Result<A, PlatformError> {
    let mut connection = connect(peer, CALL_TIMEOUT)
        .await
        .context(ConnectSnafu { path })?;
    let response = connection
        .send_request(request)
        .await
        .context(HttpSnafu { path, peer })?;
    let status = response.status();
    if status != StatusCode::OK {
        return StatusSnafu { path, peer, status }.fail();
    }
    let body: Bytes = response
        .into_body()
        .collect()
        .await
        .context(HttpSnafu { path, peer })?
        .to_bytes();
    serde_json::from_slice(&body).context(JsonSnafu { path, peer })
}
