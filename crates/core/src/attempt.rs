//! What becomes of one try of a request at one server.
//!
//! An attempt ends in one of four outcomes. *Not run* can only be concluded
//! from a phase in which no byte has left, or from the server's own refusal.

use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};

use crate::event::Stage;
use crate::ids::{GrantRef, RequestKey, ServerId};

/// How far an attempt has come.
#[id]
pub enum Phase {
    /// Nothing of the request has left.
    Unsent,
    /// Bytes may have left; nothing of the answer has arrived.
    Sent,
    /// The answer is being passed on.
    Output,
}

/// How an attempt ended.
#[id]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// The server said that it failed.
    Failed,
    /// No server ran the request.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One try at one server.
#[value]
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// The slot it uses.
    pub grant: GrantRef,
    /// The server.
    pub server: ServerId,
    /// How far it has come.
    pub phase: Phase,
    /// When it was dispatched.
    pub started: Instant,
    /// Time to the first byte.
    pub first_byte: Option<Duration>,
    /// When something last arrived.
    pub progress: Instant,
    /// Cost so far, in cost units.
    pub cost: f64,
    /// Tokens passed to the caller.
    pub tokens: u64,
}

impl Attempt {
    /// Creates an attempt of which nothing has left.
    #[must_use]
    pub fn new(request: RequestKey, grant: GrantRef, server: ServerId, now: Instant) -> Self {
        Self {
            request,
            grant,
            server,
            phase: Phase::Unsent,
            started: now,
            first_byte: None,
            progress: now,
            cost: 0.0,
            tokens: 0,
        }
    }

    /// Returns what is known when the connection breaks at `stage`.
    #[must_use]
    pub fn broken(&self, stage: Stage) -> Outcome {
        match (self.phase, stage) {
            (Phase::Unsent, Stage::BeforeSend) => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}
