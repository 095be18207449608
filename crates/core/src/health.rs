//! Whether a server answers at all, as its dispatcher hears from the entries.
//!
//! A server that is gone ends its requests faster than any other, so it would
//! draw ever more of them and use up the retry budgets. After a few failures
//! in a row it receives nothing for a while and then one request at a time,
//! until one is answered; each further failure doubles the time.

use std::time::{Duration, Instant};

/// Failures in a row after which a server receives nothing for a while.
const FAILURES: u32 = 3;
/// Time without requests at first.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest time without requests.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// What requests a server is given.
#[hibiscusrail_macros::id]
enum State {
    /// As many as it bears.
    Answering {
        /// Failures in a row.
        failures: u32,
    },
    /// None until a time.
    Paused {
        /// When it is tried again.
        until: Instant,
        /// How long it is left alone.
        pause: Duration,
    },
    /// One, to see whether it answers.
    Tried {
        /// How long it was left alone before.
        pause: Duration,
    },
}

/// The health of one server.
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
    /// Creates the health of a server that has not failed.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: State::Answering { failures: 0 },
        }
    }

    /// Returns how many requests the server may run, at most `limit`.
    #[must_use]
    pub fn cap(&self, limit: u32) -> u32 {
        match self.state {
            State::Answering { .. } => limit,
            State::Paused { .. } => 0,
            State::Tried { .. } => limit.min(1),
        }
    }

    /// Notes a request that the server answered, or began to answer.
    pub fn answer(&mut self) {
        self.state = State::Answering { failures: 0 };
    }

    /// Notes a request that failed before the server answered.
    pub fn fail(&mut self, now: Instant) {
        self.state = match self.state {
            State::Answering { failures } if failures + 1 < FAILURES => State::Answering {
                failures: failures + 1,
            },
            State::Answering { .. } => State::Paused {
                until: now + FIRST_PAUSE,
                pause: FIRST_PAUSE,
            },
            State::Tried { pause } => {
                let pause = (pause * 2).min(LONGEST_PAUSE);
                State::Paused {
                    until: now + pause,
                    pause,
                }
            }
            // Requests that were under way when the pause began don't lengthen it.
            paused @ State::Paused { .. } => paused,
        };
    }

    /// Lets time pass; returns whether the server is to be tried now.
    pub fn tick(&mut self, now: Instant) -> bool {
        match self.state {
            State::Paused { until, pause } if until <= now => {
                self.state = State::Tried { pause };
                true
            }
            _ => false,
        }
    }
}
