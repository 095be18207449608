//! An attempt in whichever state it is, as the arena holds it.

use std::time::Instant;

use hibiscusrail_macros::value;

use crate::event::Stage;

use super::state::{Answering, Attempt, Ended, Facts, Sent, Unsent};

/// Lowest HTTP status by which a server says that it failed.
const FAILED_STATUS: u16 = 500;

/// A running attempt.
#[value]
pub enum Running {
    /// Nothing of the request has left.
    Unsent(Attempt<Unsent>),
    /// Bytes may have left.
    Sent(Attempt<Sent>),
    /// The answer arrives.
    Answering(Attempt<Answering>),
}

impl Running {
    /// Creates an attempt of which nothing has left.
    #[must_use]
    pub fn new(facts: Facts) -> Self {
        Self::Unsent(Attempt::new(facts))
    }

    /// Returns what is known of the attempt.
    #[must_use]
    pub fn facts(&self) -> &Facts {
        match self {
            Self::Unsent(a) => &a.facts,
            Self::Sent(a) => &a.facts,
            Self::Answering(a) => &a.facts,
        }
    }

    /// Returns what is known of the attempt, to be brought up to date.
    pub fn facts_mut(&mut self) -> &mut Facts {
        match self {
            Self::Unsent(a) => &mut a.facts,
            Self::Sent(a) => &mut a.facts,
            Self::Answering(a) => &mut a.facts,
        }
    }

    /// Notes that bytes are about to leave.
    #[must_use]
    pub fn send(self) -> Self {
        match self {
            Self::Unsent(a) => Self::Sent(a.send()),
            later => later,
        }
    }

    /// Notes the first byte of the answer.
    #[must_use]
    pub fn answer(self, now: Instant) -> Self {
        Self::Answering(self.answering(now))
    }

    fn answering(self, now: Instant) -> Attempt<Answering> {
        match self {
            Self::Unsent(a) => a.send().answer(now),
            Self::Sent(a) => a.answer(now),
            Self::Answering(a) => a,
        }
    }

    /// Ends an attempt whose answer is whole, by the answer's HTTP status.
    #[must_use]
    pub fn finish(self, now: Instant, status: u16) -> Ended {
        let answering = self.answering(now);
        if status >= FAILED_STATUS {
            return answering.fail();
        }
        answering.finish()
    }

    /// Ends an attempt that the server says it did not admit.
    ///
    /// Once the answer has begun, such a statement is not believed.
    #[must_use]
    pub fn refuse(self) -> Ended {
        match self {
            Self::Unsent(a) => a.send().refuse(),
            Self::Sent(a) => a.refuse(),
            Self::Answering(a) => a.lose(),
        }
    }

    /// Ends an attempt whose connection broke at `stage`.
    #[must_use]
    pub fn broken(self, stage: Stage) -> Ended {
        match (self, stage) {
            (Self::Unsent(a), Stage::BeforeSend) => a.abandon(),
            (Self::Sent(a), Stage::BeforeSend) => a.hand_back(),
            (Self::Unsent(a), _) => a.lose(),
            (Self::Sent(a), _) => a.lose(),
            (Self::Answering(a), _) => a.lose(),
        }
    }

    /// Ends an attempt that may have run.
    #[must_use]
    pub fn lose(self) -> Ended {
        match self {
            Self::Unsent(a) => a.lose(),
            Self::Sent(a) => a.lose(),
            Self::Answering(a) => a.lose(),
        }
    }

    /// Ends an attempt that this router cancels.
    #[must_use]
    pub fn cancel(self) -> Ended {
        match self {
            Self::Unsent(a) => a.abandon(),
            Self::Sent(a) => a.lose(),
            Self::Answering(a) => a.lose(),
        }
    }
}
