//! The states of an attempt and the moves between them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};

use crate::ids::{GrantRef, RequestKey, ServerId};

/// Nothing of the request has left.
#[id]
pub struct Unsent;

/// Bytes may have left; nothing of the answer has arrived.
#[id]
pub struct Sent;

/// The answer has begun to arrive.
#[id]
pub struct Answering;

/// Proof that no server ran the request.
///
/// It is made only where that is certain, in this module.
#[id]
pub struct NotRun(());

/// How an attempt ended.
#[id]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// The server said that it failed.
    Failed,
    /// No server ran the request.
    NotRun(NotRun),
    /// It may have run.
    Unknown,
}

/// What is known of an attempt in any state.
#[value]
pub struct Facts {
    /// The request.
    pub request: RequestKey,
    /// The slot it uses.
    pub grant: GrantRef,
    /// The server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// When it was dispatched.
    pub started: Instant,
    /// Time to the first byte.
    pub first_byte: Option<Duration>,
    /// When something last arrived.
    pub progress: Instant,
    /// When its silence is looked at next.
    pub check: Instant,
    /// Cost so far, in cost units.
    pub cost: f64,
    /// Tokens of the whole answer that the caller has.
    pub tokens: u64,
}

impl Facts {
    /// Returns the facts of an attempt that begins now.
    #[must_use]
    pub fn new(
        request: RequestKey,
        grant: GrantRef,
        server: ServerId,
        address: SocketAddr,
        now: Instant,
    ) -> Self {
        Self {
            request,
            grant,
            server,
            address,
            started: now,
            first_byte: None,
            progress: now,
            check: now,
            cost: 0.0,
            tokens: 0,
        }
    }

    /// Sets the tokens that earlier attempts passed to the caller.
    #[must_use]
    pub fn with_tokens(mut self, tokens: u64) -> Self {
        self.tokens = tokens;
        self
    }
}

/// One try at one server, in state `S`.
#[value]
pub struct Attempt<S> {
    /// What is known of it.
    pub facts: Facts,
    state: S,
}

/// An attempt that is over.
#[value]
pub struct Ended {
    /// What is known of it.
    pub facts: Facts,
    /// How it ended.
    pub outcome: Outcome,
}

impl<S> Attempt<S> {
    fn end(self, outcome: Outcome) -> Ended {
        Ended {
            facts: self.facts,
            outcome,
        }
    }

    /// Ends an attempt that may have run.
    #[must_use]
    pub fn lose(self) -> Ended {
        self.end(Outcome::Unknown)
    }
}

impl Attempt<Unsent> {
    /// Creates an attempt of which nothing has left.
    #[must_use]
    pub fn new(facts: Facts) -> Self {
        Self {
            facts,
            state: Unsent,
        }
    }

    /// Notes that bytes are about to leave.
    #[must_use]
    pub fn send(self) -> Attempt<Sent> {
        Attempt {
            facts: self.facts,
            state: Sent,
        }
    }

    /// Ends an attempt of which nothing has left.
    #[must_use]
    pub fn abandon(self) -> Ended {
        self.end(Outcome::NotRun(NotRun(())))
    }
}

impl Attempt<Sent> {
    /// Ends an attempt whose request the connection handed back unwritten.
    #[must_use]
    pub fn hand_back(self) -> Ended {
        self.end(Outcome::NotRun(NotRun(())))
    }

    /// Ends an attempt that the server refused to admit.
    #[must_use]
    pub fn refuse(self) -> Ended {
        self.end(Outcome::NotRun(NotRun(())))
    }

    /// Notes the first byte of the answer.
    #[must_use]
    pub fn answer(mut self, now: Instant) -> Attempt<Answering> {
        self.facts.first_byte = Some(now.duration_since(self.facts.started));
        Attempt {
            facts: self.facts,
            state: Answering,
        }
    }
}

impl Attempt<Answering> {
    /// Ends an attempt whose whole answer was delivered.
    #[must_use]
    pub fn finish(self) -> Ended {
        self.end(Outcome::Answered)
    }

    /// Ends an attempt of which the server said that it failed.
    #[must_use]
    pub fn fail(self) -> Ended {
        self.end(Outcome::Failed)
    }
}
