//! One HTTP exchange with a router or the platform, within a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hibiscusrail_net::Body;
use http::Request;
use http_body_util::BodyExt;
use snafu::ResultExt;

use crate::error::{ConnectSnafu, CtlError, HttpSnafu, StatusSnafu, TimeoutSnafu};

/// Sends `request` to `peer` and returns the body of a successful answer.
///
/// # Errors
///
/// Says at which step and peer the exchange failed; the request may still have
/// taken effect.
pub async fn exchange(
    peer: SocketAddr,
    step: &'static str,
    limit: Duration,
    request: Request<Body>,
) -> Result<Bytes, CtlError> {
    compio::time::timeout(limit, send(peer, step, limit, request))
        .await
        .unwrap_or_else(|_| TimeoutSnafu { step, peer }.fail())
}

async fn send(
    peer: SocketAddr,
    step: &'static str,
    limit: Duration,
    request: Request<Body>,
) -> Result<Bytes, CtlError> {
    let mut connection = hibiscusrail_net::connect(peer, limit)
        .await
        .context(ConnectSnafu { step })?;
    let answer = connection
        .send_request(request)
        .await
        .context(HttpSnafu { step, peer })?;
    let status = answer.status();
    if !status.is_success() {
        return StatusSnafu { step, peer, status }.fail();
    }
    let body = answer
        .into_body()
        .collect()
        .await
        .context(HttpSnafu { step, peer })?;
    Ok(body.to_bytes())
}
