//! Cuts connections whose peer does not read.
//!
//! A peer that sends a request and never reads the answer would hold its
//! connection, and whatever waits behind it, for ever: no read fails and no
//! write ends. [`Stall`] lets a write that makes no progress fail after a time.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::rt::{Read, ReadBufCursor, Write};

/// A connection whose writes fail when they make no progress for a time.
pub struct Stall<S> {
    inner: S,
    limit: Duration,
    alarm: Option<LocalBoxFuture<'static, ()>>,
}

impl<S> std::fmt::Debug for Stall<S> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stall")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl<S> Stall<S> {
    /// Wraps a connection; a write may make no progress for `limit` at most.
    #[must_use]
    pub fn new(inner: S, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            alarm: None,
        }
    }

    /// Starts, checks or clears the alarm after a write was polled.
    fn guard<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.alarm = None;
            return polled;
        }
        let limit = self.limit;
        let alarm = self
            .alarm
            .get_or_insert_with(|| compio::time::sleep(limit).boxed_local());
        if alarm.poll_unpin(cx).is_ready() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the peer does not read",
            )));
        }
        Poll::Pending
    }
}

impl<S: Read + Unpin> Read for Stall<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for Stall<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.guard(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.guard(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(cx);
        self.guard(cx, polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_shutdown(cx);
        self.guard(cx, polled)
    }
}
