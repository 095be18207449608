//! A network that loses, repeats, delays and reorders messages.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_core::{Incarnation, Message};
use hibiscusrail_macros::record;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A message on its way.
#[record]
pub struct Parcel {
    /// Index of the sender.
    pub from: usize,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// Index of the receiver.
    pub to: usize,
    /// The message.
    pub message: Message,
}

/// Messages on their way, and what becomes of them.
#[derive(Debug)]
pub struct Network {
    rng: SmallRng,
    underway: BTreeMap<(Instant, u64), Parcel>,
    count: u64,
    cut: u8,
    loss: u8,
    repeat: u8,
    delay: Duration,
}

impl Network {
    /// Creates a network without faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            underway: BTreeMap::new(),
            count: 0,
            cut: 0,
            loss: 0,
            repeat: 0,
            delay: Duration::ZERO,
        }
    }

    /// Cuts the routers in a bit mask off from the others.
    pub fn cut(&mut self, mask: u8) {
        self.cut = mask;
    }

    /// Sets how many of a hundred messages are lost and repeated, and the delay.
    pub fn set_weather(&mut self, loss: u8, repeat: u8, delay: Duration) {
        self.loss = loss;
        self.repeat = repeat;
        self.delay = delay;
    }

    /// Returns whether two routers are on different sides of the cut.
    #[must_use]
    pub fn separated(&self, a: usize, b: usize) -> bool {
        self.side(a) != self.side(b)
    }

    fn side(&self, router: usize) -> bool {
        let shift = u32::try_from(router).unwrap_or(u32::MAX);
        self.cut.checked_shr(shift).is_some_and(|m| m & 1 == 1)
    }

    fn percent(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Sends a message.
    pub fn send(&mut self, now: Instant, parcel: &Parcel) {
        if self.separated(parcel.from, parcel.to) {
            return;
        }
        let copies = 1 + u32::from(self.percent(self.repeat));
        for _ in 0..copies {
            if self.percent(self.loss) {
                continue;
            }
            let delay = self.delay.mul_f64(self.rng.random()) + Duration::from_millis(1);
            self.count += 1;
            self.underway
                .insert((now + delay, self.count), parcel.clone());
        }
    }

    /// Returns when the next message arrives.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.underway.keys().next().map(|(at, _)| *at)
    }

    /// Takes the next message that has arrived by `now`.
    pub fn take(&mut self, now: Instant) -> Option<Parcel> {
        let entry = self.underway.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}
