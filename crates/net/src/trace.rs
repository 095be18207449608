//! Follows what a served connection does and logs how it ended.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use http_body::{Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::body::Body;
use crate::logs;

/// What a connection is doing.
#[hibiscusrail_macros::id]
enum Stage {
    /// It waits for a request head; the response before it has left.
    Idle,
    /// A request is handled and its response has not begun.
    Handling,
    /// The response's body is being produced.
    Responding,
    /// The whole response is known but not written.
    Flushing,
}

/// Why a connection ended.
#[hibiscusrail_macros::id]
enum Cause {
    /// No complete head arrived in time.
    HeadTimeout,
    /// The peer closed or reset the connection.
    PeerClosed,
    /// The handler broke off its response.
    ResponseAborted,
    /// The peer did not read the response.
    WriteTimeout,
    /// The peer sent something that is not a request.
    BadRequest,
    /// This end closed the connection in order.
    Closed,
}

impl Cause {
    fn new(result: &hyper::Result<()>, peer_closed: bool) -> Self {
        match result {
            Ok(()) if peer_closed => Self::PeerClosed,
            Ok(()) => Self::Closed,
            Err(error) if error.is_timeout() => Self::HeadTimeout,
            Err(error) if error.is_parse() => Self::BadRequest,
            Err(error) if error.is_user() => Self::ResponseAborted,
            Err(error) => {
                let source = error.source().and_then(|s| s.downcast_ref::<io::Error>());
                if source.is_some_and(|s| s.kind() == io::ErrorKind::TimedOut) {
                    Self::WriteTimeout
                } else {
                    Self::PeerClosed
                }
            }
        }
    }
}

#[derive(Debug)]
struct State {
    /// Id of the request under way or last answered.
    request: Option<HeaderValue>,
    /// Whether the request has a body, which may be left unread.
    has_body: bool,
    requests: u32,
    stage: Stage,
    since: Instant,
}

/// The requests of one connection, as far as its log line needs them.
#[derive(Debug)]
pub(crate) struct Trace {
    id_header: Option<HeaderName>,
    state: RefCell<State>,
    /// Set once the end of the peer's bytes was read.
    pub(crate) peer_closed: Rc<Cell<bool>>,
}

impl Trace {
    /// Creates the trace of a new connection; `id_header` names the header with a request's id.
    pub(crate) fn new(id_header: Option<HeaderName>) -> Self {
        Self {
            id_header,
            state: RefCell::new(State {
                request: None,
                has_body: false,
                requests: 0,
                stage: Stage::Idle,
                since: Instant::now(),
            }),
            peer_closed: Rc::default(),
        }
    }

    fn enter(&self, stage: Stage) {
        let mut state = self.state.borrow_mut();
        state.stage = stage;
        state.since = Instant::now();
    }

    /// Records that a request's head has arrived.
    pub(crate) fn begin(&self, headers: &HeaderMap, has_body: bool) {
        let id = self.id_header.as_ref().and_then(|n| headers.get(n));
        {
            let mut state = self.state.borrow_mut();
            state.request = id.cloned();
            state.has_body = has_body;
            state.requests = state.requests.saturating_add(1);
        }
        self.enter(Stage::Handling);
    }

    /// Records that the response begins and follows its body.
    pub(crate) fn respond(self: &Rc<Self>, body: Body) -> TracedBody {
        self.enter(Stage::Responding);
        TracedBody {
            inner: body,
            trace: Rc::clone(self),
            ended: false,
        }
    }

    fn flushed(&self) {
        if self.state.borrow().stage == Stage::Flushing {
            self.enter(Stage::Idle);
        }
    }

    /// Returns whether the connection waits for a request.
    pub(crate) fn is_idle(&self) -> bool {
        self.state.borrow().stage == Stage::Idle
    }

    /// Returns whether no request has arrived yet.
    pub(crate) fn is_new(&self) -> bool {
        self.state.borrow().requests == 0
    }

    /// Returns whether this end closed the connection after a response to a peer that may still send.
    pub(crate) fn may_receive(&self, result: &hyper::Result<()>) -> bool {
        match Cause::new(result, self.peer_closed.get()) {
            Cause::Closed => self.state.borrow().has_body,
            Cause::BadRequest => true,
            _ => false,
        }
    }

    /// Logs the end of the connection, at debug level unless a request was left without its response.
    pub(crate) fn log_end(&self, result: &hyper::Result<()>) {
        let state = self.state.borrow();
        let level = match state.stage {
            Stage::Idle => log::Level::Debug,
            _ => log::Level::Info,
        };
        if !log::log_enabled!(level) || !logs::has_token() {
            return;
        }
        let id = state.request.as_ref().and_then(|id| id.to_str().ok());
        let error = result.as_ref().err().map(ToString::to_string);
        let for_ms = u64::try_from(state.since.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::log!(
            level,
            request = id.unwrap_or_default(),
            requests = state.requests,
            stage:? = state.stage,
            for_ms = for_ms,
            cause:? = Cause::new(result, self.peer_closed.get()),
            error = error.unwrap_or_default().as_str();
            "connection_ended"
        );
    }
}

/// A response's body whose end is recorded.
pub(crate) struct TracedBody {
    inner: Body,
    trace: Rc<Trace>,
    ended: bool,
}

impl http_body::Body for TracedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let polled = self.inner.as_mut().poll_frame(cx);
        self.ended |= matches!(polled, Poll::Ready(None));
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for TracedBody {
    fn drop(&mut self) {
        if self.ended || self.inner.is_end_stream() {
            self.trace.enter(Stage::Flushing);
        }
    }
}

/// A connection whose flushes are recorded.
pub(crate) struct Traced<S> {
    inner: S,
    trace: Rc<Trace>,
}

impl<S> Traced<S> {
    pub(crate) fn new(inner: S, trace: Rc<Trace>) -> Self {
        Self { inner, trace }
    }

    pub(crate) fn get_ref(&self) -> &S {
        &self.inner
    }
}

impl<S: Read + Unpin> Read for Traced<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for Traced<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    /// hyper flushes the connection once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.trace.flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
