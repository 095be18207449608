//! Faults of a stand-in, switched at run time over HTTP or in the same process.
//!
//! Every draw comes from a seeded generator, so that a run with one client
//! and one seed meets the same faults again.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hibiscusrail_macros::record;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Seed of a switch that was given none.
const DEFAULT_SEED: u64 = 1;

/// The faults in force; the default has none.
#[record]
#[derive(Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Requests get no answer: their connections are closed.
    pub down: bool,
    /// Milliseconds before a request takes effect.
    pub slow_ms: u64,
    /// Milliseconds between the effect and its answer.
    pub late_ms: u64,
    /// Fraction of requests that take effect and then lose their connection.
    pub lose_answers: f64,
    /// Fraction of answers that carry another request's id and text.
    pub cross: f64,
    /// Fraction of answers that are cut in the middle.
    pub truncate: f64,
    /// Connections open at the moment of switching go silent for good.
    pub silent: bool,
    /// Milliseconds by which reads of the platform's table lag behind its writes.
    pub stale_ms: u64,
}

impl Faults {
    /// Closes connections without an answer.
    #[must_use]
    pub fn with_down(mut self) -> Self {
        self.down = true;
        self
    }

    /// Delays the effect of requests.
    #[must_use]
    pub fn with_slow(mut self, delay: Duration) -> Self {
        self.slow_ms = millis(delay);
        self
    }

    /// Delays answers.
    #[must_use]
    pub fn with_late(mut self, delay: Duration) -> Self {
        self.late_ms = millis(delay);
        self
    }

    /// Loses a fraction of the answers.
    #[must_use]
    pub fn with_lose_answers(mut self, fraction: f64) -> Self {
        self.lose_answers = fraction;
        self
    }

    /// Crosses a fraction of the answers.
    #[must_use]
    pub fn with_cross(mut self, fraction: f64) -> Self {
        self.cross = fraction;
        self
    }

    /// Truncates a fraction of the answers.
    #[must_use]
    pub fn with_truncate(mut self, fraction: f64) -> Self {
        self.truncate = fraction;
        self
    }

    /// Lets reads of the platform's table lag.
    #[must_use]
    pub fn with_stale(mut self, lag: Duration) -> Self {
        self.stale_ms = millis(lag);
        self
    }

    /// Silences the connections that are open now.
    #[must_use]
    pub fn with_silent(mut self) -> Self {
        self.silent = true;
        self
    }
}

fn millis(delay: Duration) -> u64 {
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}

/// What is to go wrong with one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fate {
    /// Close the connection before the request takes effect.
    pub refuse: bool,
    /// Wait before the effect.
    pub slow: Duration,
    /// Wait before the answer.
    pub late: Duration,
    /// Close the connection after the effect.
    pub lose: bool,
    /// Answer as if to another request.
    pub cross: bool,
    /// Cut the answer after this many parts at most.
    pub truncate: Option<u32>,
}

/// Parts of a streamed answer that are delivered at most before a cut.
const MAX_PARTS: u32 = 16;

/// The faults of one stand-in and the draws by which they strike.
#[derive(Debug)]
pub struct FaultSwitch {
    faults: RefCell<Faults>,
    rng: RefCell<SmallRng>,
    silences: Cell<u64>,
}

impl Default for FaultSwitch {
    fn default() -> Self {
        Self::new(DEFAULT_SEED)
    }
}

impl FaultSwitch {
    /// Creates a switch without faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            faults: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            silences: Cell::new(0),
        }
    }

    /// Puts `faults` in force in place of those before.
    pub fn set(&self, faults: Faults) {
        if faults.silent {
            self.silences.set(self.silences.get() + 1);
        }
        *self.faults.borrow_mut() = faults;
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Returns how often connections were silenced.
    #[must_use]
    pub fn silences(&self) -> u64 {
        self.silences.get()
    }

    /// Draws what goes wrong with the next request.
    #[must_use]
    pub fn draw(&self) -> Fate {
        let faults = self.faults.borrow();
        let mut rng = self.rng.borrow_mut();
        let mut strikes = |fraction: f64| fraction > 0.0 && rng.random_bool(fraction.min(1.0));
        let lose = strikes(faults.lose_answers);
        let cross = strikes(faults.cross);
        let truncate = strikes(faults.truncate);
        Fate {
            refuse: faults.down,
            slow: Duration::from_millis(faults.slow_ms),
            late: Duration::from_millis(faults.late_ms),
            lose,
            cross,
            truncate: truncate.then(|| rng.random_range(1..=MAX_PARTS)),
        }
    }
}
