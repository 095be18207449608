//! Bodies of requests and responses.

use std::io;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use futures_channel::mpsc;
use futures_util::StreamExt;
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};

/// A body of any type; it is not `Send`.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = io::Error>>>;

/// The sending end of a streamed body.
///
/// Sending an error closes the connection before the end of the body, so that
/// the peer sees the response as incomplete.
pub type BodySender = mpsc::UnboundedSender<io::Result<Bytes>>;

/// Why a body could not be collected.
#[derive(Debug, Snafu)]
pub enum CollectError {
    /// The body is larger than allowed.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The connection ended or broke within the body.
    #[snafu(display("the body broke off: {source}"))]
    Broken {
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
}

/// Reads a body of up to `limit` bytes to its end.
///
/// The memory that it takes depends on the bytes alone, not on the pieces in which they arrive.
///
/// # Errors
///
/// Fails if the body breaks off or is too large.
pub async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, CollectError> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
            continue;
        };
        if first.len().max(joined.len()) + data.len() > limit {
            return TooLargeSnafu { limit }.fail();
        }
        if first.is_empty() && joined.is_empty() {
            // Most bodies have one piece, which needs no copy.
            first = data;
            continue;
        }
        joined.extend_from_slice(&std::mem::take(&mut first));
        joined.extend_from_slice(&data);
    }
    Ok(if joined.is_empty() {
        first
    } else {
        joined.freeze()
    })
}

/// Returns an empty body.
#[must_use]
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Returns a body with the given content.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Returns `value` as a JSON body.
///
/// # Panics
///
/// If `value` can't be serialised; all message types of the project can.
#[must_use]
pub fn json(value: &impl serde::Serialize) -> Body {
    full(serde_json::to_vec(value).expect("message types serialise to JSON"))
}

/// Returns a body that streams what is sent on a channel.
#[must_use]
pub fn channel() -> (BodySender, Body) {
    let (sender, receiver) = mpsc::unbounded::<io::Result<Bytes>>();
    let frames = receiver.map(|item| item.map(Frame::data));
    (sender, Box::pin(StreamBody::new(frames)))
}
