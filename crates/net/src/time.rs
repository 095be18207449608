//! Timeouts that don't discard work which is complete.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use snafu::Snafu;

/// The time for some work is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the time is over"))]
pub struct Elapsed;

/// Waits for `work` until `limit` has passed.
///
/// Work that is complete is returned even if the timer is due as well: on a late event loop both
/// are due in the same step, though the work was in time.
///
/// # Errors
///
/// Fails if the work isn't complete when the timer is due.
pub async fn timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Result<T, Elapsed> {
    let mut work = pin!(work);
    let mut timer = pin!(compio::time::sleep(limit));
    poll_fn(|cx| {
        if let Poll::Ready(output) = work.as_mut().poll(cx) {
            return Poll::Ready(Ok(output));
        }
        timer.as_mut().poll(cx).map(|()| Err(Elapsed))
    })
    .await
}
