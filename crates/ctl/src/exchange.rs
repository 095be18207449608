//! HTTP requests to a router or the platform, with a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hibiscusrail_net::Body;
use http::Request;
use http_body_util::BodyExt;
use snafu::ResultExt;

use crate::error::{ConnectSnafu, CtlError, HttpSnafu, StatusSnafu, TimeoutSnafu};

/// Sends `request` to `peer` over a new connection and returns the body of the response.
///
/// `timeout` covers the connection attempt and the whole response.
///
/// # Errors
///
/// Fails on a connection error, a timeout or an HTTP error status. The request may have taken
/// effect nevertheless; [`CtlError::exit`] tells the cases apart.
pub async fn exchange(
    peer: SocketAddr,
    step: &'static str,
    timeout: Duration,
    request: Request<Body>,
) -> Result<Bytes, CtlError> {
    compio::time::timeout(timeout, send(peer, step, timeout, request))
        .await
        .unwrap_or_else(|_| TimeoutSnafu { step, peer }.fail())
}

async fn send(
    peer: SocketAddr,
    step: &'static str,
    timeout: Duration,
    request: Request<Body>,
) -> Result<Bytes, CtlError> {
    let mut connection = hibiscusrail_net::connect(peer, timeout)
        .await
        .context(ConnectSnafu { step })?;
    let response = connection
        .send_request(request)
        .await
        .context(HttpSnafu { step, peer })?;
    let status = response.status();
    if !status.is_success() {
        return StatusSnafu { step, peer, status }.fail();
    }
    let body = response
        .into_body()
        .collect()
        .await
        .context(HttpSnafu { step, peer })?;
    Ok(body.to_bytes())
}
