//! Write timeouts of connections whose peer does not read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hibiscusrail_net::memory::{Account, Budget, WriteState};
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

/// Guards against a connection that goes on to hold a response which was evicted, until its timeout.
#[test]
fn write_fails_once_response_is_evicted() {
    let runtime = compio::runtime::Runtime::new().expect("the event loop is created");
    runtime.block_on(async {
        let (budget, state) = (Arc::new(Budget::new(500)), Arc::<WriteState>::default());
        let reader = Some(Arc::clone(&state));
        let mut held = Account::for_response(&budget).with_reader(reader);
        held.resize(Instant::now(), 400)
            .expect("the budget suffices");
        let limited = WriteTimeout::new(Full { writes: 0 }, Duration::from_secs(600));
        let mut limited = limited.with_state(state);
        let write = std::future::poll_fn(|cx| Pin::new(&mut limited).poll_write(cx, b"x"));
        let evict = async {
            let later = Instant::now() + Duration::from_secs(4);
            let mut other = Account::for_request(&budget);
            other.resize(later, 500).expect("the peer has not read");
        };
        let (written, ()) = futures_util::join!(write, evict);
        let error = written.expect_err("the connection is to be closed");
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    });
}
