//! What a caller has received of its answer, and what waits for it.
//!
//! A caller that reads slowly slows its server's stream down instead of
//! filling the router's memory: the attempt reads on only while little waits.

use std::cell::Cell;
use std::task::Poll;

use futures_util::task::AtomicWaker;

/// Bytes of an answer that may wait for its caller before the stream is held.
pub const UNREAD_BYTES: usize = 64 * 1024;

/// The delivery of one answer, over all attempts.
#[derive(Debug, Default)]
pub struct Delivery {
    /// Whether status and headers were passed on.
    pub head: Cell<bool>,
    /// Tokens that were passed on.
    pub tokens: Cell<u64>,
    unread: Cell<usize>,
    waker: AtomicWaker,
}

impl Delivery {
    /// Counts bytes that were passed on.
    pub fn sent(&self, bytes: usize) {
        self.unread.set(self.unread.get() + bytes);
    }

    /// Counts bytes that the caller's connection took.
    pub fn taken(&self, bytes: usize) {
        self.unread.set(self.unread.get().saturating_sub(bytes));
        if self.has_room() {
            self.waker.wake();
        }
    }

    /// Returns whether more may be passed on.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.unread.get() <= UNREAD_BYTES
    }

    /// Waits until more may be passed on.
    pub async fn room(&self) {
        std::future::poll_fn(|cx| {
            if self.has_room() {
                return Poll::Ready(());
            }
            self.waker.register(cx.waker());
            Poll::Pending
        })
        .await;
    }
}
