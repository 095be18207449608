//! The concurrency limit of one server: cold start, warm-up, fall back.
//!
//! A server that is cold bears little. Its limit starts at the configured cold
//! limit, grows with completed work, first in proportion and then by steps,
//! and falls back at once when the server restarts or turns cold.

use std::time::Duration;

use crate::message::GrantEnd;

/// Completed requests per slot of the limit before it grows by one slot.
const GROWTH_REQUESTS: f64 = 2.0;
/// Weight of the newest time to first byte in the running mean.
const LATENCY_WEIGHT: f64 = 0.2;
/// A first byte this many times slower than the mean is a sign of a cold server.
const COLD_FACTOR: f64 = 8.0;
/// Differences below this are never a sign of a cold server.
const COLD_FLOOR: Duration = Duration::from_millis(500);

/// The limit of one server, as its dispatcher keeps it.
#[derive(Debug)]
pub struct Limit {
    cold: u32,
    max: u32,
    current: f64,
    first_byte: Option<f64>,
    incarnation: Option<u64>,
}

impl Limit {
    /// Creates the limit of a cold server.
    #[must_use]
    pub fn new(cold: u32, max: u32) -> Self {
        Self {
            cold,
            max,
            current: f64::from(cold),
            first_byte: None,
            incarnation: None,
        }
    }

    /// Returns the requests that the server may run now.
    #[must_use]
    pub fn get(&self) -> u32 {
        // The value is kept between cold and max, both of them u32.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = self.current as u32;
        whole
    }

    /// Sets the bounds from the configuration.
    pub fn configure(&mut self, cold: u32, max: u32) {
        self.cold = cold;
        self.max = max;
        self.current = self.current.clamp(f64::from(cold), f64::from(max));
    }

    /// Falls back to the limit of a cold server.
    pub fn reset(&mut self) {
        self.current = f64::from(self.cold);
        self.first_byte = None;
    }

    /// Takes in the end of a request.
    pub fn observe(&mut self, end: GrantEnd, first_byte: Option<Duration>) {
        match end {
            GrantEnd::Unused => {}
            GrantEnd::Overload => self.reset(),
            GrantEnd::Failed => self.current = f64::from(self.cold).max(self.current / 2.0),
            GrantEnd::Done => {
                if first_byte.is_some_and(|t| self.turned_cold(t)) {
                    self.reset();
                } else {
                    self.grow();
                }
            }
        }
    }

    fn grow(&mut self) {
        self.current = (self.current + 1.0 / GROWTH_REQUESTS).min(f64::from(self.max));
    }

    fn turned_cold(&mut self, first_byte: Duration) -> bool {
        let sample = first_byte.as_secs_f64();
        let mean = *self.first_byte.get_or_insert(sample);
        let slow = sample > mean * COLD_FACTOR && sample > mean + COLD_FLOOR.as_secs_f64();
        self.first_byte = Some(mean + LATENCY_WEIGHT * (sample - mean));
        slow
    }

    /// Takes in the start mark of the server process; returns whether it is new.
    pub fn observe_incarnation(&mut self, incarnation: u64) -> bool {
        let changed = self.incarnation.is_some_and(|old| old != incarnation);
        self.incarnation = Some(incarnation);
        if changed {
            self.reset();
        }
        changed
    }
}
