//! Everything that can happen to a router.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record, value};

use crate::claim;
use crate::configuration::{Object, Version};
use crate::ids::{
    AttemptKey, CallId, Incarnation, RouterId, ServerId, ServiceId, TableOp, WorkspaceId, ZoneId,
};
use crate::message::Message;

/// How often a request may run.
#[record]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It runs at most once; there is no key to recognise a repeat by.
    Once,
    /// It runs at most once per workspace and key.
    Keyed(claim::Key),
}

/// A caller's request, without its body.
#[record]
pub struct Call {
    /// The daemon's number for it.
    pub id: CallId,
    /// Request id, unique; carried to the server and back.
    pub request: String,
    /// The workspace that asks.
    pub workspace: WorkspaceId,
    /// The service asked for.
    pub service: ServiceId,
    /// How often it may run.
    pub repeat: Repeat,
    /// Whether a cut answer can be resumed at the server's token.
    pub resumable: bool,
    /// Caller's hint of the cost in cost units.
    pub hint: Option<f64>,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// How far an attempt has come, or how it ended.
#[record]
pub enum Milestone {
    /// The connection stands; no byte of the request has left.
    Connected,
    /// Bytes of the request may have left.
    Sent,
    /// The first byte of the answer arrived.
    FirstByte,
    /// The answer goes on; cost so far in cost units, tokens passed on so far.
    Progress {
        /// Cost so far.
        cost: f64,
        /// Tokens passed to the caller.
        tokens: u64,
    },
    /// The answer is whole.
    Done {
        /// Final cost in cost units.
        cost: f64,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer that a repeat with the same key is to receive; comes before its end.
    Kept(claim::Stored),
    /// The server refused admission before running anything.
    Refused,
    /// The connection could not be made, or broke.
    Broken(Stage),
    /// The answer belonged to another request, or was malformed.
    Mismatch,
}

/// How far an attempt had come when it broke.
#[id]
pub enum Stage {
    /// No byte of the request had left.
    BeforeSend,
    /// Bytes may have left, none of the answer has reached the caller.
    AfterSend,
    /// Part of the answer has reached the caller.
    AfterOutput,
}

/// A server's report of its own load; lags, and is a hint.
#[value]
pub struct LoadReport {
    /// Start of the server process; a change means that it is cold.
    pub incarnation: u64,
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
}

/// A host as the platform's list names it.
#[value]
pub struct HostEntry {
    /// The router on the host.
    pub router: RouterId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where its router takes datagrams.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Something that happened.
#[record]
pub enum Event {
    /// A caller's request was read whole.
    Submit(Call),
    /// A caller hung up.
    Hangup(CallId),
    /// An attempt came to a milestone.
    Attempt(AttemptKey, Milestone),
    /// The platform's table answered a call for a claim, or did not.
    Claim(TableOp, claim::Answer),
    /// A message from another router arrived.
    Peer {
        /// The sender.
        from: RouterId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// All configuration objects were read from the table.
    Objects(Vec<(Version, Object)>),
    /// Configuration objects that changed were read from the table.
    Changes(Vec<(Version, Object)>),
    /// A server reported its load.
    Load(ServerId, LoadReport),
    /// The router joins the fleet; it takes datagrams at this address.
    ///
    /// A router that never joins keeps the members it was given.
    Join(SocketAddr),
    /// The platform's host list was read.
    Hosts(Vec<HostEntry>),
    /// A timer fell due.
    Tick,
    /// The router is to stop gracefully.
    Drain {
        /// Time left for running work.
        patience: Duration,
    },
}
