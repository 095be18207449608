//! The timeout of request heads, which may be raised while a connection is idle.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use cyper_core::CompioTimer;
use hyper::rt::{Sleep, Timer};

/// A timeout that all connections of a listener share and that may change; none until it is set.
#[derive(Debug, Default)]
pub(crate) struct SharedTimeout(AtomicU64);

impl SharedTimeout {
    pub(crate) fn set(&self, timeout: Duration) {
        let nanos = u64::try_from(timeout.as_nanos()).unwrap_or(u64::MAX);
        self.0.store(nanos.max(1), Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> Option<Duration> {
        let nanos = self.0.load(Ordering::Relaxed);
        (nanos > 0).then(|| Duration::from_nanos(nanos))
    }
}

/// Times the request heads of one connection.
///
/// hyper's own timeout has to be zero: the deadline of a sleep is then the moment from which the head
/// is waited for. The wait lasts for the timeout that was in force at that moment or, if it was raised
/// since, for the one in force: peers rely on the newer one, on connections that they already have
/// too.
#[derive(Debug, Clone)]
pub(crate) struct HeadTimer {
    default: Duration,
    shared: Arc<SharedTimeout>,
    /// Asks the connection to look for bytes that the event loop has not reported yet.
    look: Arc<AtomicBool>,
}

impl HeadTimer {
    /// Creates a timer whose timeout is `default` as long as `shared` is not set.
    pub(crate) fn new(default: Duration, shared: Arc<SharedTimeout>) -> Self {
        Self {
            default,
            shared,
            look: Arc::default(),
        }
    }

    /// Returns the flag that is set when the connection must look for bytes.
    pub(crate) fn look_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.look)
    }

    fn timeout(&self) -> Duration {
        self.shared.get().unwrap_or(self.default)
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        CompioTimer.sleep(duration)
    }

    fn sleep_until(&self, since: Instant) -> Pin<Box<dyn Sleep>> {
        let timeout = self.timeout();
        Box::pin(HeadSleep {
            sleep: Some(CompioTimer.sleep_until(since + timeout)),
            since,
            timeout,
            timer: self.clone(),
        })
    }
}

/// Waits until the time for a request head is over and no byte of it is left unread.
struct HeadSleep {
    /// None once the time is over.
    sleep: Option<Pin<Box<dyn Sleep>>>,
    since: Instant,
    /// Timeout at the beginning.
    timeout: Duration,
    timer: HeadTimer,
}

impl Sleep for HeadSleep {}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        while let Some(sleep) = &mut self.sleep {
            std::task::ready!(sleep.as_mut().poll(cx));
            let due = self.since + self.timeout.max(self.timer.timeout());
            if Instant::now() < due {
                self.sleep = Some(CompioTimer.sleep_until(due));
                continue;
            }
            self.sleep = None;
            // hyper reads before it polls the timer, so it looks at the socket once more.
            self.timer.look.store(true, Ordering::Relaxed);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}
