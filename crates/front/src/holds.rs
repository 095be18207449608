//! Short waits of streams that leave their servers' bytes unread while the router is behind.
//!
//! The waits end at common ticks, so one timer and one iteration of the event loop serve all streams
//! that end theirs at the same tick.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use hibiscusrail_net::event_loop;

/// Time between two ticks. Waits are rounded down to one, so a longer time makes the waits of about
/// 40 ms too short to collect an event; a shorter one needs more timers.
const TICK: Duration = Duration::from_millis(10);

/// The streams that wait, by the number of the tick at which they go on.
#[derive(Debug)]
pub struct Holds {
    origin: Instant,
    waiting: RefCell<BTreeMap<u32, Vec<oneshot::Sender<()>>>>,
    is_closed: Cell<bool>,
}

impl Holds {
    /// Creates a set without streams; ticks are counted from `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            origin: now,
            waiting: RefCell::default(),
            is_closed: Cell::new(false),
        }
    }

    /// Waits until the last tick within `limit`, or until [`Self::close`]; not at all if there is no
    /// such tick.
    pub async fn wait(self: &Rc<Self>, now: Instant, limit: Duration) {
        if let Some(end) = self.join(now, limit) {
            // The sender is dropped at the end and sends nothing.
            let _ = end.await;
        }
    }

    /// Ends all waits; none begins from now on.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.waiting.take();
    }

    /// Adds a stream to its tick; the first one starts the tick's timer.
    fn join(self: &Rc<Self>, now: Instant, limit: Duration) -> Option<oneshot::Receiver<()>> {
        let passed = now.saturating_duration_since(self.origin);
        let tick = (passed + limit).as_millis() / TICK.as_millis();
        let tick = u32::try_from(tick).ok()?;
        let left = (TICK * tick).saturating_sub(passed);
        if left.is_zero() || self.is_closed.get() {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        let streams = waiting.entry(tick).or_default();
        if streams.is_empty() {
            let holds = Rc::clone(self);
            event_loop::spawn(async move {
                compio::time::sleep(left).await;
                let ended = holds.waiting.borrow_mut().remove(&tick);
                drop(ended);
            });
        }
        streams.push(sender);
        Some(receiver)
    }
}
