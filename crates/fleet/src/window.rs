//! Sums over a sliding time window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of buckets in a window; its end moves in steps of one bucket.
const BUCKETS: u32 = 16;

/// Sum of the amounts added within a sliding window.
#[derive(Debug, Clone)]
pub struct Window {
    bucket_length: Duration,
    buckets: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Window {
    /// Creates an empty window of the given length.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            bucket_length: length / BUCKETS,
            buckets: VecDeque::new(),
            sum: 0.0,
        }
    }

    /// Adds an amount at time `now`.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.drop_expired(now);
        self.sum += amount;
        match self.buckets.back_mut() {
            Some((start, sum)) if now.saturating_duration_since(*start) < self.bucket_length => {
                *sum += amount;
            }
            _ => self.buckets.push_back((now, amount)),
        }
    }

    /// Returns the sum of the window that ends at `now`, without dropping old buckets.
    #[must_use]
    pub fn peek(&self, now: Instant) -> f64 {
        let length = self.bucket_length * BUCKETS;
        let expired: f64 = self
            .buckets
            .iter()
            .take_while(|(start, _)| now.saturating_duration_since(*start) >= length)
            .map(|(_, amount)| amount)
            .sum();
        (self.sum - expired).max(0.0)
    }

    /// Returns the sum of the part of the window that lies within `length` before `now`.
    #[must_use]
    pub fn peek_last(&self, now: Instant, length: Duration) -> f64 {
        let recent = self.buckets.iter().rev();
        recent
            .take_while(|(start, _)| now.saturating_duration_since(*start) < length)
            .map(|(_, amount)| amount)
            .sum()
    }

    /// Returns the sum of the window that ends at `now`.
    pub fn sum(&mut self, now: Instant) -> f64 {
        self.drop_expired(now);
        self.sum
    }

    fn drop_expired(&mut self, now: Instant) {
        let length = self.bucket_length * BUCKETS;
        while let Some((start, amount)) = self.buckets.front().copied() {
            if now.saturating_duration_since(start) < length {
                return;
            }
            self.buckets.pop_front();
            // Rounding errors must not outlive the amounts that caused them.
            self.sum = if self.buckets.is_empty() {
                0.0
            } else {
                self.sum - amount
            };
        }
    }
}

/// Returns what remains of 1 after an exponential decay with a time constant.
pub(crate) fn decay(elapsed: Duration, constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp()
}
