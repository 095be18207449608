//! Fault injection, switched at run time over HTTP or in the same process.
//!
//! Random faults are drawn from a seeded generator, so that a run with a single client
//! and the same seed reproduces the same faults.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hibiscusrail_macros::record;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Seed of [`FaultInjector::default`].
const DEFAULT_SEED: u64 = 1;

/// The faults to inject; the default injects none.
#[record]
#[derive(Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the connection of every request is closed without a response.
    pub down: bool,
    /// Delay in milliseconds before a request is processed.
    pub slow_ms: u64,
    /// Delay in milliseconds between processing a request and sending its response.
    pub late_ms: u64,
    /// Fraction of requests that are processed but whose connection closes without a response.
    pub lose_answers: f64,
    /// Fraction of responses that carry the previous request's id and text.
    pub cross: f64,
    /// Fraction of responses whose body is cut off before its end.
    pub truncate: f64,
    /// Whether connections open when this is set stop responding for good, but stay open.
    pub silent: bool,
    /// Time in milliseconds by which reads of the platform's table lag behind its writes.
    pub stale_ms: u64,
}

impl Faults {
    /// Closes the connection of every request without a response.
    #[must_use]
    pub fn with_down(mut self) -> Self {
        self.down = true;
        self
    }

    /// Delays the processing of requests.
    #[must_use]
    pub fn with_slow(mut self, delay: Duration) -> Self {
        self.slow_ms = millis(delay);
        self
    }

    /// Delays responses of processed requests.
    #[must_use]
    pub fn with_late(mut self, delay: Duration) -> Self {
        self.late_ms = millis(delay);
        self
    }

    /// Closes the connection in place of a fraction of the responses.
    #[must_use]
    pub fn with_lost_responses(mut self, fraction: f64) -> Self {
        self.lose_answers = fraction;
        self
    }

    /// Gives a fraction of the responses the previous request's id and text.
    #[must_use]
    pub fn with_swapped_responses(mut self, fraction: f64) -> Self {
        self.cross = fraction;
        self
    }

    /// Cuts off a fraction of the response bodies.
    #[must_use]
    pub fn with_truncate(mut self, fraction: f64) -> Self {
        self.truncate = fraction;
        self
    }

    /// Lets reads of the platform's table lag behind its writes.
    #[must_use]
    pub fn with_stale(mut self, lag: Duration) -> Self {
        self.stale_ms = millis(lag);
        self
    }

    /// Stops responding on connections open at the time of [`FaultInjector::set`].
    #[must_use]
    pub fn with_silent(mut self) -> Self {
        self.silent = true;
        self
    }
}

fn millis(delay: Duration) -> u64 {
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}

/// The faults drawn for one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFaults {
    /// Close the connection before the request is processed.
    pub drop_request: bool,
    /// Delay before the request is processed.
    pub request_delay: Duration,
    /// Delay before the response is sent.
    pub response_delay: Duration,
    /// Close the connection in place of sending the response.
    pub drop_response: bool,
    /// Respond with the previous request's id and text.
    pub cross: bool,
    /// Maximum number of body chunks to send before cutting off the response.
    pub max_chunks: Option<u32>,
}

/// Largest value drawn for [`RequestFaults::max_chunks`].
const MAX_CHUNKS: u32 = 16;

/// Holds the faults of one stand-in and draws from them for each request.
#[derive(Debug)]
pub struct FaultInjector {
    faults: RefCell<Faults>,
    rng: RefCell<SmallRng>,
    /// Number of times the open connections were silenced.
    silence_count: Cell<u64>,
}

impl Default for FaultInjector {
    fn default() -> Self {
        Self::new(DEFAULT_SEED)
    }
}

impl FaultInjector {
    /// Creates an injector without faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            faults: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            silence_count: Cell::new(0),
        }
    }

    /// Replaces the faults to inject.
    pub fn set(&self, faults: Faults) {
        if faults.silent {
            self.silence_count.set(self.silence_count.get() + 1);
        }
        *self.faults.borrow_mut() = faults;
    }

    /// Returns the faults to inject.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Returns how often open connections were silenced; those opened at a lower count are silent.
    #[must_use]
    pub fn silence_count(&self) -> u64 {
        self.silence_count.get()
    }

    /// Draws the faults of the next request.
    #[must_use]
    pub fn draw(&self) -> RequestFaults {
        let faults = self.faults.borrow();
        let mut rng = self.rng.borrow_mut();
        let mut occurs = |fraction: f64| fraction > 0.0 && rng.random_bool(fraction.min(1.0));
        let drop_response = occurs(faults.lose_answers);
        let cross = occurs(faults.cross);
        let truncated = occurs(faults.truncate);
        RequestFaults {
            drop_request: faults.down,
            request_delay: Duration::from_millis(faults.slow_ms),
            response_delay: Duration::from_millis(faults.late_ms),
            drop_response,
            cross,
            max_chunks: truncated.then(|| rng.random_range(1..=MAX_CHUNKS)),
        }
    }
}
