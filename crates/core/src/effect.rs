//! Effects: the outputs of the reducer, performed by the daemon.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record, value};

use crate::claim;
use crate::ids::{AttemptKey, CallId, RouterId, ServerId, TableOp};
use crate::message::Message;

/// Whether a request that was refused or cut was executed.
#[id]
pub enum Execution {
    /// No server executed it, and none will.
    NotRun,
    /// It was executed, and the server reported a failure.
    Failed,
    /// It may have been executed.
    Unknown,
    /// An earlier request with the same key was executed or is running.
    AlreadyRun,
}

/// Why a request was refused; each reason has a stable code at the daemon.
#[id]
pub enum Refusal {
    /// The workspace's queue is full.
    QueueFull,
    /// The request's deadline passed.
    Expired,
    /// The requested service does not exist.
    NoService,
    /// The router is not ready to serve, for example without a configuration.
    NotReady,
    /// The router is shutting down.
    Stopping,
    /// The request's key can't be claimed, as the platform's table is unreachable.
    NoClaim,
    /// A retry would exceed the retry budget, the number of attempts or the deadline.
    Exhausted,
    /// The attempt broke, and the request must not be retried.
    Broken,
    /// The caller closed its connection.
    Cancelled,
    /// An earlier request with the same key was executed.
    AlreadyRun,
    /// An earlier request with the same key is running or may have been executed.
    KeyInDoubt,
    /// The key was used for a different request.
    KeyReused,
    /// The server answered with an error status.
    ServerFailed,
}

/// Refusal of a caller's request.
#[value]
pub struct Refused {
    /// Reason for the refusal.
    pub reason: Refusal,
    /// Whether the request was executed.
    pub execution: Execution,
    /// Time after which the caller may retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

/// Instruction to send a request to a server.
#[record]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The caller's request.
    pub call: CallId,
    /// The server to send it to.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Whether a pooled connection may be used.
    pub allow_pooled: bool,
    /// Token to resume at, when part of the answer was already passed to the caller.
    pub resume: Option<u64>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// How often the request's key was claimed; a server that checks it rejects a lower number.
    pub fence: Option<u32>,
}

/// Severity of a log record.
#[id]
pub enum Level {
    /// Details for debugging.
    Debug,
    /// Normal operation.
    Info,
    /// A condition that an operator should look at.
    Warn,
}

/// One field of a log record.
#[record]
pub struct Field {
    /// Key under which the value is logged.
    pub key: &'static str,
    /// Value as text.
    pub value: String,
}

/// A log record; the daemon writes it as one line.
#[record]
pub struct Record {
    /// Severity.
    pub level: Level,
    /// Stable name of the event.
    pub event: &'static str,
    /// Further fields.
    pub fields: Vec<Field>,
}

/// A metric counter; each occurrence of its event adds one.
#[id]
pub enum Counter {
    /// A request passed admission.
    Accepted,
    /// A request was refused.
    Refused,
    /// A grant was issued.
    Granted,
    /// A grant was returned unused.
    Returned,
    /// A request was retried.
    Retried,
    /// An entry rejected a grant of an outdated term or past its lifetime.
    Stale,
}

/// An output of [`Router::handle`](crate::Router::handle).
#[record]
pub enum Effect {
    /// Send a message to another router.
    Send(RouterId, Message),
    /// Record the address at which a router receives datagrams.
    SetAddress(RouterId, SocketAddr),
    /// Send a request to a server.
    Dispatch(Dispatch),
    /// Close the connection of an attempt, which cancels it at the server.
    Cancel(AttemptKey),
    /// Stop using the idle connections to an address, as they may be dead.
    DropIdleConnections(SocketAddr),
    /// Perform a table operation for a claim.
    Claim(TableOp, claim::TableRequest),
    /// Answer the caller with the stored answer of an earlier request with the same key.
    Replay(CallId, claim::Stored),
    /// Tell the caller that its request was refused or its answer cut.
    Refuse(CallId, Refused),
    /// The caller has the complete answer; drop the state of the call.
    Finish(CallId),
    /// Write a log record.
    Log(Record),
    /// Increment a counter.
    Count(Counter),
    /// The drain requested by [`Event::Drain`](crate::Event::Drain) is complete.
    Drained {
        /// Number of requests cut because the allowed time was over.
        cut: u32,
    },
}
