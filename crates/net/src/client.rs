//! Opens single HTTP connections; pooling is up to the caller.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Waker};
use std::time::Duration;

use http::{HeaderName, HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1};
use snafu::{ResultExt, Snafu};

use crate::body::Body;
use crate::event_loop;
use crate::response_filter::{Expected, ResponseFilter, SharedExpected};
use crate::socket::SocketStream;
use crate::time::timeout;

/// Maximum size of a response's head in bytes. A parser reads all of an incomplete head again for
/// each piece of it.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Parts of responses that the owner of a connection gets at once; then other tasks have a turn. Each
/// costs a step of the parser, however few bytes it holds.
const TURN_PARTS: u32 = 64;

/// An open connection that sends requests one after the other.
pub type Connection = http1::SendRequest<Body>;

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// Connecting timed out.
    #[snafu(display("connecting to {peer} took longer than {limit:?}"))]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// Timeout of connecting.
        limit: Duration,
    },
    /// The connection was refused, or the peer is unreachable.
    #[snafu(display("connecting to {peer} failed: {source}"))]
    Refused {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake with {peer} failed: {source}"))]
    Handshake {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
}

/// Opens a connection to `peer` that stays open until the response under way has ended.
///
/// # Errors
///
/// Fails if the peer can't be reached within `limit`.
pub async fn connect(peer: SocketAddr, limit: Duration) -> Result<Connection, ConnectError> {
    let (sender, connection) = handshake(peer, limit, Arc::default(), Rc::default()).await?;
    event_loop::spawn(async move {
        // The error also reaches the task that awaits the response.
        let _ = connection.await;
    });
    Ok(sender)
}

/// A connection that makes progress while its owner waits for it, and is closed when dropped.
///
/// Without a task of its own, a request leaves in the same step in which it is sent, and each
/// part of the response reaches its reader in the step in which it arrives. The peer learns at once
/// that a response is not needed any more.
pub struct OwnedConnection {
    sender: Connection,
    /// None once the connection has ended.
    driver: Option<Pin<Box<Driver>>>,
    /// Makes the next read ask the system.
    look: Arc<AtomicBool>,
    /// Makes reads skip responses to other requests.
    expected: SharedExpected,
    /// Waits that ended since one had to wait.
    turn_parts: u32,
}

impl std::fmt::Debug for OwnedConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OwnedConnection")
            .field("sender", &self.sender)
            .finish_non_exhaustive()
    }
}

impl OwnedConnection {
    /// Sends a request and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first.
    pub async fn send(&mut self, request: Request<Body>) -> hyper::Result<Response<Incoming>> {
        let sent = self.try_send(request).await;
        sent.map_err(TrySendError::into_error)
    }

    /// Sends a request and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first; the error holds the request if no byte of it was sent.
    pub async fn try_send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        let sending = self.sender.try_send_request(request);
        self.wait(sending).await
    }

    /// Skips responses to earlier requests, which a faulty server may send late, until the response
    /// to the next request begins. Servers repeat the request's `id` in the header `name`.
    pub fn expect_response(&mut self, name: &HeaderName, id: &HeaderValue) {
        let (name, id) = (name.clone(), id.clone());
        self.expected.replace(Some(Expected { name, id }));
    }

    /// Waits for `work`, which needs bytes of this connection.
    ///
    /// A peer that always has bytes doesn't keep the event loop from other tasks, or from timers of
    /// the same task.
    pub async fn wait<T>(&mut self, work: impl Future<Output = T>) -> T {
        if self.turn_parts >= TURN_PARTS {
            self.turn_parts = 0;
            event_loop::yield_now().await;
        }
        let mut work = pin!(work);
        poll_fn(|cx| {
            let mut polled = work.as_mut().poll(cx);
            if polled.is_pending() {
                self.poll_driver(cx);
                polled = work.as_mut().poll(cx);
            }
            self.turn_parts = if polled.is_ready() {
                self.turn_parts + 1
            } else {
                0
            };
            polled
        })
        .await
    }

    fn poll_driver(&mut self, cx: &mut Context<'_>) {
        let ended = self
            .driver
            .as_mut()
            .is_some_and(|d| d.as_mut().poll(cx).is_ready());
        if ended {
            // The error also reaches the future that waits for the response.
            self.driver = None;
        }
    }

    /// Returns whether a request can be sent at once, after a look at what has arrived.
    pub fn is_ready(&mut self) -> bool {
        self.look.store(true, Ordering::Relaxed);
        self.poll_driver(&mut Context::from_waker(Waker::noop()));
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Opens a connection to `peer` that its owner drives.
///
/// # Errors
///
/// Fails if the peer can't be reached within `limit`.
pub async fn connect_owned(
    peer: SocketAddr,
    limit: Duration,
) -> Result<OwnedConnection, ConnectError> {
    let look = Arc::default();
    let expected = SharedExpected::default();
    let made = handshake(peer, limit, Arc::clone(&look), Rc::clone(&expected)).await;
    let (sender, driver) = made?;
    Ok(OwnedConnection {
        sender,
        driver: Some(Box::pin(driver)),
        look,
        expected,
        turn_parts: 0,
    })
}

type Driver = http1::Connection<ResponseFilter<SocketStream>, Body>;

async fn handshake(
    peer: SocketAddr,
    limit: Duration,
    look: Arc<AtomicBool>,
    expected: SharedExpected,
) -> Result<(Connection, Driver), ConnectError> {
    let Ok(stream) = timeout(limit, SocketStream::connect(peer)).await else {
        return TimeoutSnafu { peer, limit }.fail();
    };
    let stream = stream.context(RefusedSnafu { peer })?;
    let stream = stream.with_short_reads().with_look_flag(look);
    let stream = ResponseFilter::new(stream, peer, expected);
    http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(stream)
        .await
        .context(HandshakeSnafu { peer })
}
