//! Requests that all routers sent to one server recently, compared with the rate that it accepts.
//!
//! The rate holds for all routers together, so each counts the requests of all: its own, and those
//! that the others report as they send them. An even part of the rate for each router would leave
//! most of it unused where few routers have the server's callers.

use std::time::{Duration, Instant};

use crate::window::Window;

/// Window in which requests are counted; a rate may not be exceeded over it.
const WINDOW: Duration = Duration::from_secs(4);
/// Part of the window in which the rate may not be exceeded either, so that the whole window's
/// requests do not come at once.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// Lowest rate used, in requests per second. Only an answer shows that a server accepts more again.
const MIN_RATE: f64 = 0.25;

/// Requests sent to one server in the last seconds.
#[derive(Debug)]
pub struct Arrivals {
    sent: Window,
}

impl Default for Arrivals {
    fn default() -> Self {
        Self {
            sent: Window::new(WINDOW),
        }
    }
}

impl Arrivals {
    /// Counts requests.
    pub fn add(&mut self, now: Instant, requests: f64) {
        if requests > 0.0 {
            self.sent.add(now, requests);
        }
    }

    /// Returns how much of a rate in requests per second is used; 1 if no more may be sent now.
    ///
    /// `unknown` of the `routers` do not report; they are taken to use their even parts.
    #[must_use]
    pub fn rate_used(&self, now: Instant, rate: f64, unknown: u32, routers: u32) -> f64 {
        let known = f64::from(routers.saturating_sub(unknown).max(1)) / f64::from(routers.max(1));
        let rate = rate.max(MIN_RATE) * known;
        let used = self.sent.peek(now) / (rate * WINDOW.as_secs_f64());
        let burst = (rate * BURST_WINDOW.as_secs_f64()).max(1.0);
        used.max(self.sent.peek_last(now, BURST_WINDOW) / burst)
    }

    /// Returns the time until a rate in requests per second allows a further request.
    #[must_use]
    pub fn wait(&self, now: Instant, rate: f64) -> Duration {
        if self.rate_used(now, rate, 0, 1) < 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(1.0 / rate.max(MIN_RATE))
    }
}
