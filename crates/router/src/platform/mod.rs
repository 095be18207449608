//! Calls of the platform.
//!
//! [`call`] sends one question; [`audit`] adds rows to the audit trail; [`poll`] follows the configuration and the
//! host list within the budget that [`pacer`] hands out.

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

/// Time for one call of the platform.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Why a call of the platform failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// No connection.
    #[snafu(display("{step}: {source}"))]
    Connect {
        /// What was called.
        step: &'static str,
        /// What went wrong.
        source: hibiscusrail_net::client::ConnectError,
    },
    /// The connection broke.
    #[snafu(display("{step} at {peer}: {source}"))]
    Http {
        /// What was called.
        step: &'static str,
        /// The platform.
        peer: SocketAddr,
        /// What went wrong.
        source: hyper::Error,
    },
    /// The platform answered with an error.
    #[snafu(display("{step} at {peer}: status {status}"))]
    Status {
        /// What was called.
        step: &'static str,
        /// The platform.
        peer: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The answer is no JSON of the expected shape.
    #[snafu(display("{step} at {peer}: {source}"))]
    Json {
        /// What was called.
        step: &'static str,
        /// The platform.
        peer: SocketAddr,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The time was up.
    #[snafu(display("{step} at {peer}: no answer in time"))]
    Timeout {
        /// What was called.
        step: &'static str,
        /// The platform.
        peer: SocketAddr,
    },
}

/// Calls the platform once.
///
/// # Errors
///
/// Says at which step and peer the call failed; a call that failed after it
/// was sent may still have taken effect.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    peer: SocketAddr,
    step: &'static str,
    question: &Q,
) -> Result<A, PlatformError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(step)
        .header(header::HOST, peer.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(json(question))
        .expect("the request is made of valid parts");
    answer_of(peer, step, request).await
}

/// Reads what the platform has at a path.
///
/// # Errors
///
/// Says at which step and peer the call failed.
pub async fn get<A: DeserializeOwned>(
    peer: SocketAddr,
    step: &'static str,
) -> Result<A, PlatformError> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(step)
        .header(header::HOST, peer.to_string())
        .body(empty())
        .expect("the request is made of valid parts");
    answer_of(peer, step, request).await
}

async fn answer_of<A: DeserializeOwned>(
    peer: SocketAddr,
    step: &'static str,
    request: Request<Body>,
) -> Result<A, PlatformError> {
    compio::time::timeout(CALL_TIME, exchange(peer, step, request))
        .await
        .unwrap_or_else(|_| TimeoutSnafu { step, peer }.fail())
}

async fn exchange<A: DeserializeOwned>(
    peer: SocketAddr,
    step: &'static str,
    request: Request<Body>,
) -> Result<A, PlatformError> {
    let mut connection = connect(peer, CALL_TIME)
        .await
        .context(ConnectSnafu { step })?;
    let answer = connection
        .send_request(request)
        .await
        .context(HttpSnafu { step, peer })?;
    let status = answer.status();
    if status != StatusCode::OK {
        return StatusSnafu { step, peer, status }.fail();
    }
    let body: Bytes = answer
        .into_body()
        .collect()
        .await
        .context(HttpSnafu { step, peer })?
        .to_bytes();
    serde_json::from_slice(&body).context(JsonSnafu { step, peer })
}
