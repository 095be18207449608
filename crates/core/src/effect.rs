//! What a router wants done.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record, value};

use crate::claim;
use crate::ids::{AttemptKey, CallId, RouterId, ServerId, TableOp};
use crate::message::Message;

/// Whether a refused request ran.
#[id]
pub enum Execution {
    /// No server ran it, and none will.
    NotRun,
    /// It ran, and the server reported a failure.
    Failed,
    /// It may have run.
    Unknown,
    /// An earlier request with the same key ran or runs.
    AlreadyRun,
}

/// Why a request was refused, with a stable code.
#[id]
pub enum Refusal {
    /// The workspace's queue is full.
    QueueFull,
    /// The deadline passed while the request waited.
    Expired,
    /// The service is unknown.
    NoService,
    /// The router has no configuration yet.
    NotReady,
    /// The router is stopping.
    Stopping,
    /// The platform's table can't be reached, so a key can't be claimed.
    NoClaim,
    /// The retry budget or the attempts are used up.
    Exhausted,
    /// The attempt broke and may not be repeated.
    Broken,
    /// The caller has hung up.
    Cancelled,
    /// An earlier request with the same key has run.
    AlreadyRun,
    /// An earlier request with the same key runs, or may have run.
    KeyInDoubt,
    /// The key was used for a different request.
    KeyReused,
    /// The server said that it failed.
    ServerFailed,
}

/// A refusal of a caller's request.
#[value]
pub struct Refused {
    /// Why.
    pub reason: Refusal,
    /// Whether it ran.
    pub execution: Execution,
    /// When asking again makes sense.
    pub retry_after: Option<Duration>,
}

/// An order to send a request to a server.
#[record]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The caller's request.
    pub call: CallId,
    /// The server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Whether a pooled connection may carry it.
    pub reuse: bool,
    /// Token to resume the answer at, when part was passed on.
    pub resume: Option<u64>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How often the request's key was claimed; a server that checks it refuses a lower one.
    pub fence: Option<u32>,
}

/// How much a log record matters.
#[id]
pub enum Level {
    /// Detail.
    Debug,
    /// Normal course.
    Info,
    /// Something to look at.
    Warn,
}

/// One field of a log record.
#[record]
pub struct Field {
    /// Name.
    pub key: &'static str,
    /// Value.
    pub value: String,
}

/// A log record; the daemon writes it as one line.
#[record]
pub struct Record {
    /// How much it matters.
    pub level: Level,
    /// Stable name of the event.
    pub event: &'static str,
    /// Further fields.
    pub fields: Vec<Field>,
}

/// A counter of the reducer.
#[id]
pub enum Counter {
    /// A request was accepted into a queue.
    Accepted,
    /// A request was refused.
    Refused,
    /// A grant was issued.
    Granted,
    /// A grant came back unused.
    Returned,
    /// A request was sent again.
    Retried,
    /// A grant was dropped because it was too old.
    Stale,
}

/// Something to do.
#[record]
pub enum Effect {
    /// Send a message to another router.
    Send(RouterId, Message),
    /// Note where a router takes datagrams.
    Address(RouterId, SocketAddr),
    /// Send a request to a server.
    Dispatch(Dispatch),
    /// Close the connection of an attempt and cancel it at the server.
    Cancel(AttemptKey),
    /// Idle connections to an address may be dead: use none of them.
    Suspect(SocketAddr),
    /// Call the platform's table for a claim.
    Claim(TableOp, claim::Request),
    /// Give the caller the kept answer of an earlier request with the same key.
    Replay(CallId, claim::Stored),
    /// Tell the caller that the request was refused, or that its answer was cut.
    Refuse(CallId, Refused),
    /// The caller has its whole answer; forget the call.
    Finish(CallId),
    /// Write a log record.
    Log(Record),
    /// Count something.
    Count(Counter),
    /// All work is done after [`Event::Drain`](crate::Event::Drain).
    Drained {
        /// Requests that were cut because the time was up.
        cut: u32,
    },
}
