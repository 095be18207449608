//! Write timeouts of connections whose peer does not read.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hibiscusrail_net::stall::WriteTimeout;
use hyper::rt::Write;

/// A connection that accepts a number of writes and then blocks.
struct Full {
    writes: usize,
}

impl Write for Full {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.writes == 0 {
            return Poll::Pending;
        }
        self.writes -= 1;
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[test]
fn write_without_progress_fails() {
    let runtime = compio::runtime::Runtime::new().expect("the event loop is created");
    runtime.block_on(async {
        let mut limited = WriteTimeout::new(Full { writes: 2 }, Duration::from_millis(20));
        for _ in 0..2 {
            let write = std::future::poll_fn(|cx| Pin::new(&mut limited).poll_write(cx, b"x"));
            assert_eq!(write.await.expect("the write is accepted"), 1);
        }
        let write = std::future::poll_fn(|cx| Pin::new(&mut limited).poll_write(cx, b"x"));
        let error = write.await.expect_err("the write times out");
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    });
}
