//! How many repeats a service receives from this router.
//!
//! The fleet's bound is a ratio of the requests in a window plus a constant.
//! The ratio applies to this router's own requests; the constant is divided
//! among the routers.

use std::time::{Duration, Instant};

use crate::window::Window;

/// Part of the fleet's bound that is used; the rest covers what differs
/// between the routers' windows and the observer's.
const USED: f64 = 0.7;

/// Window in which repeats are counted, relative to the bound's: a window
/// forgets an amount up to two of its sixteen parts early.
const REPEATS_WINDOW: f64 = 1.125;

/// The fleet's bound on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond the ratio, for all routers together.
    pub constant: f64,
    /// The window that both are counted in.
    pub window: Duration,
}

/// Requests and repeats of one service in the window.
#[derive(Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    requests: Window,
    repeats: Window,
}

impl RetryWindow {
    /// Creates an empty window under a bound.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            requests: Window::new(bound.window),
            // Counted for longer than an observer does, who may begin anywhere.
            repeats: Window::new(bound.window.mul_f64(REPEATS_WINDOW)),
        }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Instant) {
        self.requests.add(now, 1.0);
    }

    /// Takes the place of one repeat; false when the budget is used up.
    pub fn repeat(&mut self, now: Instant, routers: usize) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let own = self.bound.constant / routers.max(1) as f64;
        let allowed = USED * (self.bound.ratio * self.requests.sum(now) + own);
        if self.repeats.sum(now) + 1.0 > allowed {
            return false;
        }
        self.repeats.add(now, 1.0);
        true
    }
}
