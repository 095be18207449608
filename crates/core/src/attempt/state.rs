//! States of an attempt and the transitions between them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};

use crate::ids::{GrantRef, RequestKey, ServerId};

/// State: no byte of the request has been sent.
#[id]
pub struct Unsent;

/// State: bytes of the request may have been sent; no byte of the answer has arrived.
#[id]
pub struct Sent;

/// State: the answer has begun to arrive.
#[id]
pub struct Answering;

/// Proof that no server ran the request; only this module constructs it, where that is certain.
#[id]
pub struct NotRun(());

/// Outcome of an attempt.
#[id]
pub enum Outcome {
    /// The complete answer was delivered.
    Answered,
    /// The server reported a failure.
    Failed,
    /// No server ran the request.
    NotRun(NotRun),
    /// The request may have run.
    Unknown,
}

/// Data of an attempt that every state has.
#[value]
pub struct Facts {
    /// The request.
    pub request: RequestKey,
    /// The grant of the slot that the attempt uses.
    pub grant: GrantRef,
    /// The server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// When the attempt was dispatched.
    pub started: Instant,
    /// Time from dispatch to the first byte of the answer, once it has arrived.
    pub first_byte: Option<Duration>,
    /// When the attempt last reached a milestone; initially the dispatch time.
    pub last_progress: Instant,
    /// When the attempt is next checked for missing progress.
    pub next_check: Instant,
    /// Cost of the attempt so far, in cost units.
    pub cost: f64,
    /// Tokens that the caller has received, over all attempts of the request.
    pub tokens: u64,
}

impl Facts {
    /// Creates the data of an attempt that starts at `now`.
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
            last_progress: now,
            next_check: now,
            cost: 0.0,
            tokens: 0,
        }
    }

    /// Sets the number of tokens that earlier attempts passed to the caller.
    #[must_use]
    pub fn with_tokens(mut self, tokens: u64) -> Self {
        self.tokens = tokens;
        self
    }
}

/// One attempt to run a request at one server, in state `S`.
#[value]
pub struct Attempt<S> {
    /// Data of the attempt.
    pub facts: Facts,
    state: S,
}

/// An attempt that has ended.
#[value]
pub struct Ended {
    /// Data of the attempt.
    pub facts: Facts,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}

impl<S> Attempt<S> {
    fn end(self, outcome: Outcome) -> Ended {
        Ended {
            facts: self.facts,
            outcome,
        }
    }

    /// Ends the attempt with an unknown outcome: the request may have run.
    #[must_use]
    pub fn end_unknown(self) -> Ended {
        self.end(Outcome::Unknown)
    }
}

impl Attempt<Unsent> {
    /// Creates an attempt that has sent nothing yet.
    #[must_use]
    pub fn new(facts: Facts) -> Self {
        Self {
            facts,
            state: Unsent,
        }
    }

    /// Records that the request is about to be sent.
    #[must_use]
    pub fn send(self) -> Attempt<Sent> {
        Attempt {
            facts: self.facts,
            state: Sent,
        }
    }

    /// Ends an attempt that has sent nothing.
    #[must_use]
    pub fn abandon(self) -> Ended {
        self.end(Outcome::NotRun(NotRun(())))
    }
}

impl Attempt<Sent> {
    /// Ends an attempt whose request the connection returned unwritten.
    #[must_use]
    pub fn return_unwritten(self) -> Ended {
        self.end(Outcome::NotRun(NotRun(())))
    }

    /// Ends an attempt that the server refused to admit.
    #[must_use]
    pub fn refuse(self) -> Ended {
        self.end(Outcome::NotRun(NotRun(())))
    }

    /// Records the first byte of the answer.
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
    /// Ends an attempt whose complete answer was delivered.
    #[must_use]
    pub fn finish(self) -> Ended {
        self.end(Outcome::Answered)
    }

    /// Ends an attempt that the server reported as failed.
    #[must_use]
    pub fn fail(self) -> Ended {
        self.end(Outcome::Failed)
    }
}
