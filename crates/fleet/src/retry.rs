//! Retry budget of a service at this router.
//!
//! The fleet-wide limit is a fraction of the requests in a window plus a constant. The fraction
//! applies to this router's own requests; the constant is divided among the routers.

use std::time::{Duration, Instant};

use crate::window::Window;

/// Fraction of the limit that is used; the rest covers differences between the routers' windows and
/// an observer's.
const LIMIT_FRACTION: f64 = 0.7;

/// Length of the window for retries relative to that for requests. It is longer because a window
/// drops an amount up to two of its sixteen buckets early.
const RETRY_WINDOW_FACTOR: f64 = 1.125;

/// Fleet-wide limit on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, for all routers together.
    pub constant: f64,
    /// Window in which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries of one service in the window.
#[derive(Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    requests: Window,
    retries: Window,
}

impl RetryWindow {
    /// Creates an empty window with the given limit.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            requests: Window::new(bound.window),
            // An observer's window may start at any time, so retries are counted for longer.
            retries: Window::new(bound.window.mul_f64(RETRY_WINDOW_FACTOR)),
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.add(now, 1.0);
    }

    /// Counts a retry and returns true if the budget allows it.
    pub fn try_retry(&mut self, now: Instant, routers: usize) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let constant = self.bound.constant / routers.max(1) as f64;
        let allowed = LIMIT_FRACTION * (self.bound.ratio * self.requests.sum(now) + constant);
        if self.retries.sum(now) + 1.0 > allowed {
            return false;
        }
        self.retries.add(now, 1.0);
        true
    }

    /// Takes back a retry that was counted shortly before and sent nothing.
    pub fn return_retry(&mut self, now: Instant) {
        self.retries.add(now, -1.0);
    }
}
