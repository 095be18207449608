//! Sums over a sliding window of time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts that a window is kept in; its end moves in steps of one part.
const PARTS: u32 = 16;

/// A sum of amounts that forgets what is older than its window.
#[derive(Debug, Clone)]
pub struct Window {
    part: Duration,
    parts: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Window {
    /// Creates an empty window of the given length.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            part: length / PARTS,
            parts: VecDeque::new(),
            sum: 0.0,
        }
    }

    /// Adds an amount at time `now`.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.forget(now);
        self.sum += amount;
        match self.parts.back_mut() {
            Some((start, sum)) if now.saturating_duration_since(*start) < self.part => {
                *sum += amount;
            }
            _ => self.parts.push_back((now, amount)),
        }
    }

    /// Returns the sum of the window that ends at `now`, forgetting nothing.
    #[must_use]
    pub fn peek(&self, now: Instant) -> f64 {
        let length = self.part * PARTS;
        let past: f64 = self
            .parts
            .iter()
            .take_while(|(start, _)| now.saturating_duration_since(*start) >= length)
            .map(|(_, amount)| amount)
            .sum();
        (self.sum - past).max(0.0)
    }

    /// Returns the sum of the window that ends at `now`.
    pub fn sum(&mut self, now: Instant) -> f64 {
        self.forget(now);
        self.sum
    }

    fn forget(&mut self, now: Instant) {
        let length = self.part * PARTS;
        while let Some((start, amount)) = self.parts.front().copied() {
            if now.saturating_duration_since(start) < length {
                return;
            }
            self.parts.pop_front();
            // Rounding errors must not outlive what they belong to.
            self.sum = if self.parts.is_empty() {
                0.0
            } else {
                self.sum - amount
            };
        }
    }
}
