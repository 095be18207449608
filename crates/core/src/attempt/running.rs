//! A running attempt in any of its states, as stored in the router's arena.

use std::time::Instant;

use hibiscusrail_macros::value;

use crate::event::Stage;

use super::state::{Answering, Attempt, Ended, Facts, Sent, Unsent};

/// Lowest HTTP status that counts as a server failure.
const MIN_FAILED_STATUS: u16 = 500;

/// A running attempt in any of its states.
#[value]
pub enum Running {
    /// No byte of the request has been sent.
    Unsent(Attempt<Unsent>),
    /// Bytes of the request may have been sent.
    Sent(Attempt<Sent>),
    /// The answer has begun to arrive.
    Answering(Attempt<Answering>),
}

impl Running {
    /// Creates an attempt that has sent nothing yet.
    #[must_use]
    pub fn new(facts: Facts) -> Self {
        Self::Unsent(Attempt::new(facts))
    }

    /// Returns the data of the attempt.
    #[must_use]
    pub fn facts(&self) -> &Facts {
        match self {
            Self::Unsent(a) => &a.facts,
            Self::Sent(a) => &a.facts,
            Self::Answering(a) => &a.facts,
        }
    }

    /// Returns the data of the attempt for updates.
    pub fn facts_mut(&mut self) -> &mut Facts {
        match self {
            Self::Unsent(a) => &mut a.facts,
            Self::Sent(a) => &mut a.facts,
            Self::Answering(a) => &mut a.facts,
        }
    }

    /// Records that the request is about to be sent.
    #[must_use]
    pub fn send(self) -> Self {
        match self {
            Self::Unsent(a) => Self::Sent(a.send()),
            sent => sent,
        }
    }

    /// Records the first byte of the answer.
    #[must_use]
    pub fn answer(self, now: Instant) -> Self {
        Self::Answering(self.into_answering(now))
    }

    fn into_answering(self, now: Instant) -> Attempt<Answering> {
        match self {
            Self::Unsent(a) => a.send().answer(now),
            Self::Sent(a) => a.answer(now),
            Self::Answering(a) => a,
        }
    }

    /// Ends an attempt whose answer is complete; the HTTP status decides whether it failed.
    #[must_use]
    pub fn finish(self, now: Instant, status: u16) -> Ended {
        let answering = self.into_answering(now);
        if status >= MIN_FAILED_STATUS {
            return answering.fail();
        }
        answering.finish()
    }

    /// Ends an attempt that the server refused to admit; unknown if its answer has begun.
    #[must_use]
    pub fn refuse(self) -> Ended {
        match self {
            Self::Unsent(a) => a.send().refuse(),
            Self::Sent(a) => a.refuse(),
            Self::Answering(a) => a.end_unknown(),
        }
    }

    /// Ends an attempt whose connection failed at `stage`.
    #[must_use]
    pub fn fail_connection(self, stage: Stage) -> Ended {
        match (self, stage) {
            (Self::Unsent(a), Stage::BeforeSend) => a.abandon(),
            (Self::Sent(a), Stage::BeforeSend) => a.return_unwritten(),
            (Self::Unsent(a), _) => a.end_unknown(),
            (Self::Sent(a), _) => a.end_unknown(),
            (Self::Answering(a), _) => a.end_unknown(),
        }
    }

    /// Ends an attempt with an unknown outcome: the request may have run.
    #[must_use]
    pub fn end_unknown(self) -> Ended {
        match self {
            Self::Unsent(a) => a.end_unknown(),
            Self::Sent(a) => a.end_unknown(),
            Self::Answering(a) => a.end_unknown(),
        }
    }

    /// Ends an attempt that this router cancels; not run if nothing was sent, else unknown.
    #[must_use]
    pub fn cancel(self) -> Ended {
        match self {
            Self::Unsent(a) => a.abandon(),
            Self::Sent(a) => a.end_unknown(),
            Self::Answering(a) => a.end_unknown(),
        }
    }
}
