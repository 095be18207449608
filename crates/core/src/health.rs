//! Circuit breaker of a server, driven by the request results that entries report.
//!
//! An unreachable server fails requests faster than others complete them, so it
//! would attract ever more of them and use up the retry budgets. After a few
//! consecutive failures it receives no requests for a pause, then one trial request
//! at a time until one is answered; each failed trial doubles the pause.

use std::time::{Duration, Instant};

/// Number of consecutive failures after which a server is paused.
const MAX_FAILURES: u32 = 3;
/// Initial pause without requests.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Maximum pause without requests.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// State of the circuit breaker.
#[hibiscusrail_macros::id]
enum State {
    /// The server receives requests up to its limit.
    Answering {
        /// Number of consecutive failures.
        failures: u32,
    },
    /// The server receives no requests.
    Paused {
        /// When a trial request is allowed.
        until: Instant,
        /// Length of this pause.
        pause: Duration,
    },
    /// The server receives one trial request at a time.
    Trial {
        /// Length of the last pause.
        pause: Duration,
    },
}

/// Circuit breaker of one server.
#[derive(Debug)]
pub struct Health {
    state: State,
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

impl Health {
    /// Creates the circuit breaker of a server that has not failed.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: State::Answering { failures: 0 },
        }
    }

    /// Returns the number of requests that the server may run, `limit` at most.
    #[must_use]
    pub fn capped(&self, limit: u32) -> u32 {
        match self.state {
            State::Answering { .. } => limit,
            State::Paused { .. } => 0,
            State::Trial { .. } => limit.min(1),
        }
    }

    /// Records a request that the server answered or began to answer.
    pub fn record_success(&mut self) {
        self.state = State::Answering { failures: 0 };
    }

    /// Records a request that failed before the server began to answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.state = match self.state {
            State::Answering { failures } if failures + 1 < MAX_FAILURES => State::Answering {
                failures: failures + 1,
            },
            State::Answering { .. } => State::Paused {
                until: now + MIN_PAUSE,
                pause: MIN_PAUSE,
            },
            State::Trial { pause } => {
                let pause = (pause * 2).min(MAX_PAUSE);
                State::Paused {
                    until: now + pause,
                    pause,
                }
            }
            // Failures of requests sent before the pause don't lengthen it.
            paused @ State::Paused { .. } => paused,
        };
    }

    /// Ends a pause that is over; returns whether a trial request is now allowed.
    pub fn tick(&mut self, now: Instant) -> bool {
        match self.state {
            State::Paused { until, pause } if until <= now => {
                self.state = State::Trial { pause };
                true
            }
            _ => false,
        }
    }
}
