//! The concurrency limit of one server: cold start, warm-up, fall back.
//!
//! A server that is cold bears little. Its limit starts at the configured cold
//! limit and grows with completed work: in proportion up to a threshold, then
//! by one slot for each round of completions while latency holds. It falls
//! back at once when the server restarts, turns cold or shows overload.

use std::time::Duration;

use crate::message::{GrantEnd, Warmth};

/// Slots that the limit grows by for each completed request below the threshold.
const GROWTH_SLOTS: f64 = 0.5;
/// Weight of the newest time to first byte in the running mean.
const LATENCY_WEIGHT: f64 = 0.2;
/// A first byte this many times slower than the mean stops growth.
const SLOW_FACTOR: f64 = 2.0;
/// A first byte this many times slower than the mean is a sign of a cold server.
const COLD_FACTOR: f64 = 8.0;
/// Differences below this are never a sign of a cold or slow server.
const COLD_FLOOR: Duration = Duration::from_millis(500);

/// What a time to first byte says of a server.
#[hibiscusrail_macros::id]
enum Latency {
    Steady,
    Slow,
    Cold,
}

/// The limit of one server, as its dispatcher keeps it.
#[derive(Debug)]
pub struct Limit {
    cold: u32,
    max: u32,
    current: f64,
    threshold: f64,
    first_byte: Option<f64>,
    mark: u32,
    /// Whether the mark comes from a report, not from a predecessor.
    observed: bool,
}

impl Limit {
    /// Creates the limit of a cold server.
    #[must_use]
    pub fn new(cold: u32, max: u32) -> Self {
        Self {
            cold,
            max: max.max(cold),
            current: f64::from(cold),
            threshold: f64::from(max.max(cold)),
            first_byte: None,
            mark: 0,
            observed: false,
        }
    }

    /// Returns the requests that the server may run now.
    #[must_use]
    pub fn get(&self) -> u32 {
        // The value is kept between one and max, both of them u32.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = self.current as u32;
        whole
    }

    /// Returns the limit of the server when it is cold.
    #[must_use]
    pub fn cold(&self) -> u32 {
        self.cold
    }

    /// Returns the limit of the server when it is warm.
    #[must_use]
    pub fn max(&self) -> u32 {
        self.max
    }

    /// Returns what a successor may start from.
    #[must_use]
    pub fn warmth(&self) -> Warmth {
        Warmth {
            limit: self.get(),
            mark: self.mark,
        }
    }

    /// Sets the bounds from the configuration.
    pub fn configure(&mut self, cold: u32, max: u32) {
        if (self.cold, self.max) == (cold, max.max(cold)) {
            return;
        }
        self.cold = cold;
        self.max = max.max(cold);
        self.threshold = f64::from(self.max);
        self.current = self.current.min(f64::from(self.max));
    }

    /// Starts from what a predecessor knew, with `limit` slots at first.
    pub fn adopt(&mut self, warmth: Warmth, limit: u32) {
        self.current = f64::from(limit.clamp(1, self.max));
        self.threshold = f64::from(warmth.limit.clamp(self.cold, self.max));
        if self.mark == 0 {
            self.mark = warmth.mark;
        }
    }

    /// Falls back to the limit of a cold server.
    pub fn reset(&mut self) {
        self.current = f64::from(self.cold);
        self.first_byte = None;
    }

    /// Falls back after overload; growth slows down at half of what was too much.
    fn overload(&mut self) {
        if self.get() > self.cold {
            self.threshold = (self.current / 2.0).max(f64::from(self.cold));
        }
        self.reset();
    }

    /// Takes in the end of a request.
    pub fn observe(&mut self, end: GrantEnd, first_byte: Option<Duration>) {
        match end {
            GrantEnd::Unused | GrantEnd::Fenced | GrantEnd::Cancelled => {}
            GrantEnd::Overload => self.overload(),
            GrantEnd::Failed => self.current = f64::from(self.cold).max(self.current / 2.0),
            GrantEnd::Done => match first_byte.map(|t| self.judge(t)) {
                Some(Latency::Cold) => self.reset(),
                Some(Latency::Slow) => {}
                Some(Latency::Steady) | None => self.grow(),
            },
        }
    }

    fn grow(&mut self) {
        let slots = if self.current < self.threshold {
            GROWTH_SLOTS
        } else {
            1.0 / self.current.max(1.0)
        };
        self.current = (self.current + slots).min(f64::from(self.max));
    }

    fn judge(&mut self, first_byte: Duration) -> Latency {
        let sample = first_byte.as_secs_f64();
        let mean = *self.first_byte.get_or_insert(sample);
        self.first_byte = Some(mean + LATENCY_WEIGHT * (sample - mean));
        if sample <= mean + COLD_FLOOR.as_secs_f64() {
            Latency::Steady
        } else if sample > mean * COLD_FACTOR {
            Latency::Cold
        } else if sample > mean * SLOW_FACTOR {
            Latency::Slow
        } else {
            Latency::Steady
        }
    }

    /// Takes in the start mark of the server process.
    ///
    /// Returns whether the server restarted since an earlier report reached
    /// this dispatcher, so that no request from before can still run.
    pub fn observe_incarnation(&mut self, incarnation: u64) -> bool {
        // The low bits tell two starts apart and keep grants small.
        #[allow(clippy::cast_possible_truncation)]
        let mark = (incarnation as u32).max(1);
        let changed = self.mark != 0 && self.mark != mark;
        self.mark = mark;
        if changed {
            self.threshold = f64::from(self.max);
            self.reset();
        }
        std::mem::replace(&mut self.observed, true) && changed
    }
}
