//! Progress of one response on its way to the caller, with backpressure.
//!
//! A caller that reads slowly must not fill the router's memory: the attempt reads
//! from its backend server only while few bytes are buffered for the caller.

use std::cell::Cell;
use std::task::Poll;

use futures_util::task::AtomicWaker;

/// Bytes buffered for a caller above which reading from the backend server pauses.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Progress of one response, across all attempts.
#[derive(Debug, Default)]
pub struct Delivery {
    /// Whether status and headers were sent to the caller.
    pub head_sent: Cell<bool>,
    /// Number of tokens sent to the caller.
    pub tokens: Cell<u64>,
    buffered: Cell<usize>,
    waker: AtomicWaker,
}

impl Delivery {
    /// Adds bytes that were queued for the caller.
    pub fn sent(&self, bytes: usize) {
        self.buffered.set(self.buffered.get() + bytes);
    }

    /// Removes bytes that the caller's connection took from the queue.
    pub fn taken(&self, bytes: usize) {
        self.buffered.set(self.buffered.get().saturating_sub(bytes));
        if self.has_room() {
            self.waker.wake();
        }
    }

    /// Returns whether more bytes may be queued.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.buffered.get() <= MAX_BUFFERED_BYTES
    }

    /// Waits until more bytes may be queued.
    pub async fn wait_for_room(&self) {
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
