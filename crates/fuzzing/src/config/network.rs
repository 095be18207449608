//! Simulated network that loses, duplicates, delays and reorders messages.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_core::{Incarnation, Message};
use hibiscusrail_macros::record;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A message in transit.
#[record]
pub struct Packet {
    /// Index of the sender.
    pub from: usize,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Index of the receiver.
    pub to: usize,
    /// The message.
    pub message: Message,
}

/// Messages in transit, and the faults applied to new messages.
#[derive(Debug)]
pub struct Network {
    rng: SmallRng,
    /// Messages in transit, by time of arrival and sequence number.
    in_flight: BTreeMap<(Instant, u64), Packet>,
    last_seq: u64,
    /// Bit mask of the routers on one side of the partition.
    partition: u8,
    loss: u8,
    duplicate: u8,
    max_delay: Duration,
}

impl Network {
    /// Creates a network without faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            last_seq: 0,
            partition: 0,
            loss: 0,
            duplicate: 0,
            max_delay: Duration::ZERO,
        }
    }

    /// Separates the routers in a bit mask from the others; 0 removes the partition.
    pub fn set_partition(&mut self, mask: u8) {
        self.partition = mask;
    }

    /// Sets the percentages of lost and duplicated messages, and the maximum delay.
    pub fn set_faults(&mut self, loss: u8, duplicate: u8, max_delay: Duration) {
        self.loss = loss;
        self.duplicate = duplicate;
        self.max_delay = max_delay;
    }

    /// Returns whether the partition separates two routers.
    #[must_use]
    pub fn is_separated(&self, a: usize, b: usize) -> bool {
        self.side(a) != self.side(b)
    }

    fn side(&self, router: usize) -> bool {
        let shift = u32::try_from(router).unwrap_or(u32::MAX);
        self.partition
            .checked_shr(shift)
            .is_some_and(|m| m & 1 == 1)
    }

    fn chance(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Sends a message, subject to the partition and the faults.
    pub fn send(&mut self, now: Instant, packet: &Packet) {
        if self.is_separated(packet.from, packet.to) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.duplicate));
        for _ in 0..copies {
            if self.chance(self.loss) {
                continue;
            }
            let delay = self.max_delay.mul_f64(self.rng.random()) + Duration::from_millis(1);
            self.last_seq += 1;
            self.in_flight
                .insert((now + delay, self.last_seq), packet.clone());
        }
    }

    /// Returns the time at which the next message arrives.
    #[must_use]
    pub fn next_arrival(&self) -> Option<Instant> {
        self.in_flight.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the next message if it has arrived by `now`.
    pub fn receive(&mut self, now: Instant) -> Option<Packet> {
        let entry = self.in_flight.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}
