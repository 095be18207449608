//! Closes connections whose peer does not read.
//!
//! A peer that sends a request and never reads the response would hold its
//! connection, and whatever waits for it, forever: no read fails and no write
//! completes. [`WriteTimeout`] fails a write that makes no progress in time.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::memory::WriteState;

/// A connection whose writes time out if they make no progress.
pub struct WriteTimeout<S> {
    inner: S,
    limit: Duration,
    timer: Option<LocalBoxFuture<'static, ()>>,
    state: Arc<WriteState>,
}

impl<S> std::fmt::Debug for WriteTimeout<S> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WriteTimeout")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl<S> WriteTimeout<S> {
    /// Wraps a connection; `limit` is the maximum time without progress of a write.
    #[must_use]
    pub fn new(inner: S, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            timer: None,
            state: Arc::default(),
        }
    }

    /// Sets where progress is recorded, and which may have the connection closed earlier.
    #[must_use]
    pub fn with_state(mut self, state: Arc<WriteState>) -> Self {
        self.state = state;
        self
    }

    /// Returns the wrapped connection.
    #[must_use]
    pub fn get_ref(&self) -> &S {
        &self.inner
    }

    /// Starts, checks or clears the timer after a write was polled.
    fn check_progress<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            if self.timer.take().is_some() {
                self.state.advance();
            }
            return polled;
        }
        if self.state.poll_blocked(Instant::now(), cx) {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "memory is short and the peer does not read",
            )));
        }
        let limit = self.limit;
        let timer = self
            .timer
            .get_or_insert_with(|| compio::time::sleep(limit).boxed_local());
        if timer.poll_unpin(cx).is_ready() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "write timed out: the peer does not read",
            )));
        }
        Poll::Pending
    }
}

impl<S: Read + Unpin> Read for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_progress(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check_progress(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(cx);
        self.check_progress(cx, polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_shutdown(cx);
        self.check_progress(cx, polled)
    }
}
