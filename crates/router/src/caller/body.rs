//! The body of a request, read whole within limits of size and time.

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::Early;
use crate::shell::Shell;

pub async fn read_body(shell: &Shell, body: Incoming) -> Result<Bytes, Early> {
    let limit = shell.settings().body_bytes;
    let collected = Limited::new(body, limit).collect();
    match compio::time::timeout(shell.settings().body_time, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Early::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body is longer than {limit} bytes"),
        )),
        Ok(Err(_)) => Err(Early::new(
            StatusCode::BAD_REQUEST,
            "body_incomplete",
            "the body ended before it was whole",
        )),
        Err(_) => Err(Early::new(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            "the body did not arrive in time",
        )),
    }
}
