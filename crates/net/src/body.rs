//! Bodies of requests and responses.

use std::io;
use std::pin::Pin;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::StreamExt;
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};

/// A body of any type; it is not `Send`.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = io::Error>>>;

/// The sending end of a streamed body.
///
/// Sending an error closes the connection before the end of the body, so that
/// the peer sees the response as incomplete.
pub type BodySender = mpsc::UnboundedSender<io::Result<Bytes>>;

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
