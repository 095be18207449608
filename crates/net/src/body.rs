//! Bodies of requests and responses.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::StreamExt;
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};

use crate::memory::{Account, BUFFER_BYTES, Budget, FREE_BYTES, MemoryShort, SMALL_BUFFER_BYTES};

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
    /// The process holds too much for others.
    #[snafu(transparent)]
    Memory {
        /// Error of the budget.
        source: MemoryShort,
    },
}

/// Reads a body of up to `limit` bytes to its end, without a budget.
///
/// # Errors
///
/// Fails if the body breaks off or is too large.
pub async fn collect(body: Incoming, limit: usize) -> Result<Bytes, CollectError> {
    let budget = Arc::new(Budget::new(usize::MAX));
    collect_charged(body, limit, Account::for_request(&budget)).await
}

/// Reads a body of up to `limit` bytes to its end and charges its memory to `account`.
///
/// The memory that it takes depends on the bytes alone, not on the pieces in which they arrive. A body
/// that announces more is refused before any of it is read.
///
/// # Errors
///
/// Fails if the body breaks off or is too large, or if memory is short.
pub async fn collect_charged(
    mut body: Incoming,
    limit: usize,
    mut account: Account,
) -> Result<Bytes, CollectError> {
    let announced = http_body::Body::size_hint(&body).exact().unwrap_or(0);
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    if announced > limit {
        return TooLargeSnafu { limit }.fail();
    }
    charge(announced, &mut account)?;
    let mut joined = Vec::new();
    while let Some(frame) = next_frame(&mut body, &joined, &mut account).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let total = joined.len() + data.len();
        if total > limit {
            return TooLargeSnafu { limit }.fail();
        }
        if joined.is_empty() && total == announced && total <= FREE_BYTES {
            // Most bodies have one piece, which needs no copy.
            return Ok(data);
        }
        if total > joined.capacity() {
            // Small bodies are not charged, so their buffer stays small too.
            let most = if total <= FREE_BYTES {
                limit.min(FREE_BYTES)
            } else {
                limit
            };
            let doubled = total.max(2 * joined.capacity()).min(most);
            let capacity = doubled.max(announced);
            charge(capacity, &mut account)?;
            joined.reserve_exact(capacity - joined.len());
        }
        joined.extend_from_slice(&data);
        account.advance(Instant::now(), data.len());
    }
    if account.is_evicted() {
        // Its charge was given to another body.
        return Err(MemoryShort.into());
    }
    // The buffers of the connection serve its next message.
    if joined.capacity() <= FREE_BYTES {
        return Ok(joined.into());
    }
    account.resize(Instant::now(), joined.capacity())?;
    Ok(account.into_bytes(joined))
}

/// Charges a body's memory and that of its connection's buffers unless the body is small.
fn charge(capacity: usize, account: &mut Account) -> Result<(), MemoryShort> {
    if capacity > FREE_BYTES {
        account.resize(Instant::now(), capacity + BUFFER_BYTES)?;
    }
    Ok(())
}

/// Waits for the part of a body after those that are joined, as long as its account is not evicted.
///
/// A small body is charged from when it has begun and its next part has not arrived.
async fn next_frame(
    body: &mut Incoming,
    joined: &Vec<u8>,
    account: &mut Account,
) -> Result<Option<Frame<Bytes>>, CollectError> {
    let mut next = body.frame();
    let frame = poll_fn(|cx| {
        if let Poll::Ready(frame) = Pin::new(&mut next).poll(cx) {
            return Poll::Ready(Ok(frame));
        }
        if !joined.is_empty() && joined.capacity() <= FREE_BYTES {
            account.resize(Instant::now(), joined.capacity() + SMALL_BUFFER_BYTES)?;
        }
        if account.poll_evicted(cx) {
            return Poll::Ready(Err(MemoryShort));
        }
        Poll::Pending
    })
    .await?;
    frame.transpose().context(BrokenSnafu)
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
