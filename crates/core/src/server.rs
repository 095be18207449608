//! The concurrency limit of one server, which grows during warm-up.
//!
//! A cold server can run few requests. Its limit starts at the configured cold limit
//! and grows with completed requests: by a constant for each up to a threshold, then
//! by about one slot per round of completions while latency does not rise. It drops
//! at once when the server restarts, turns cold or is overloaded.

use std::time::Duration;

use crate::message::{GrantEnd, WarmUpState};

/// Growth of the limit for each completed request below the threshold, in slots.
const GROWTH_PER_COMPLETION: f64 = 0.5;
/// Weight of a new sample in the exponential moving average of the time to first byte.
const LATENCY_WEIGHT: f64 = 0.2;
/// A time to first byte above this multiple of the average does not grow the limit.
const SLOW_FACTOR: f64 = 2.0;
/// A time to first byte above this multiple of the average indicates a cold server.
const COLD_FACTOR: f64 = 8.0;
/// An excess over the average up to this indicates neither a slow nor a cold server.
const LATENCY_TOLERANCE: Duration = Duration::from_millis(500);

/// Classification of a server by its time to first byte.
#[hibiscusrail_macros::id]
enum Latency {
    Steady,
    Slow,
    Cold,
}

/// Concurrency limit of one server, kept by its dispatcher.
#[derive(Debug)]
pub struct Limit {
    cold: u32,
    max: u32,
    current: f64,
    threshold: f64,
    first_byte: Option<f64>,
    incarnation: u32,
    /// Whether `incarnation` comes from a load report rather than from a predecessor.
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
            incarnation: 0,
            observed: false,
        }
    }

    /// Returns how many requests the server may run now.
    #[must_use]
    pub fn get(&self) -> u32 {
        // The value is kept between one and max, both of them u32.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.current as u32;
        limit
    }

    /// Returns the limit for a cold server.
    #[must_use]
    pub fn cold(&self) -> u32 {
        self.cold
    }

    /// Returns the limit for a warm server.
    #[must_use]
    pub fn max(&self) -> u32 {
        self.max
    }

    /// Returns the warm-up state for a successor of this dispatcher.
    #[must_use]
    pub fn warm_up(&self) -> WarmUpState {
        WarmUpState {
            limit: self.get(),
            incarnation: self.incarnation,
        }
    }

    /// Applies the configured limits for a cold and a warm server.
    pub fn configure(&mut self, cold: u32, max: u32) {
        if (self.cold, self.max) == (cold, max.max(cold)) {
            return;
        }
        self.cold = cold;
        self.max = max.max(cold);
        self.threshold = f64::from(self.max);
        self.current = self.current.min(f64::from(self.max));
    }

    /// Continues from the warm-up state of a predecessor, starting at `limit` slots.
    pub fn adopt(&mut self, warm_up: WarmUpState, limit: u32) {
        self.current = f64::from(limit.clamp(1, self.max));
        self.threshold = f64::from(warm_up.limit.clamp(self.cold, self.max));
        if self.incarnation == 0 {
            self.incarnation = warm_up.incarnation;
        }
    }

    /// Resets the limit to that of a cold server.
    pub fn reset(&mut self) {
        self.current = f64::from(self.cold);
        self.first_byte = None;
    }

    /// Resets the limit after overload; fast growth then ends at half the old limit.
    fn overload(&mut self) {
        if self.get() > self.cold {
            self.threshold = (self.current / 2.0).max(f64::from(self.cold));
        }
        self.reset();
    }

    /// Adjusts the limit after the end of a grant.
    pub fn observe(&mut self, end: GrantEnd, first_byte: Option<Duration>) {
        match end {
            GrantEnd::Unused | GrantEnd::Fenced | GrantEnd::Cancelled => {}
            GrantEnd::Overload => self.overload(),
            GrantEnd::Failed => self.current = f64::from(self.cold).max(self.current / 2.0),
            GrantEnd::Done => match first_byte.map(|t| self.classify(t)) {
                Some(Latency::Cold) => self.reset(),
                Some(Latency::Slow) => {}
                Some(Latency::Steady) | None => self.grow(),
            },
        }
    }

    fn grow(&mut self) {
        let slots = if self.current < self.threshold {
            GROWTH_PER_COMPLETION
        } else {
            1.0 / self.current.max(1.0)
        };
        self.current = (self.current + slots).min(f64::from(self.max));
    }

    fn classify(&mut self, first_byte: Duration) -> Latency {
        let sample = first_byte.as_secs_f64();
        let average = *self.first_byte.get_or_insert(sample);
        self.first_byte = Some(average + LATENCY_WEIGHT * (sample - average));
        if sample <= average + LATENCY_TOLERANCE.as_secs_f64() {
            Latency::Steady
        } else if sample > average * COLD_FACTOR {
            Latency::Cold
        } else if sample > average * SLOW_FACTOR {
            Latency::Slow
        } else {
            Latency::Steady
        }
    }

    /// Records the incarnation of the server process; returns whether it has restarted since an
    /// earlier load report to this dispatcher, so that no request from before can still run.
    pub fn observe_incarnation(&mut self, incarnation: u64) -> bool {
        // The low bits suffice to distinguish incarnations and keep grants small.
        #[allow(clippy::cast_possible_truncation)]
        let low_bits = (incarnation as u32).max(1);
        let changed = self.incarnation != 0 && self.incarnation != low_bits;
        self.incarnation = low_bits;
        if changed {
            self.threshold = f64::from(self.max);
            self.reset();
        }
        std::mem::replace(&mut self.observed, true) && changed
    }
}
