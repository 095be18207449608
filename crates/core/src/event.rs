//! Events: the inputs of the reducer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record, value};

use crate::claim;
use crate::configuration::{Object, Version};
use crate::ids::{
    AttemptKey, CallId, Incarnation, RouterId, ServerId, ServiceId, TableOp, WorkspaceId, ZoneId,
};
use crate::message::Message;

/// How many times a request may be executed.
#[record]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// At most once; without a key, so a repeat by the caller can't be recognised.
    Once,
    /// At most once per workspace and key.
    Keyed(claim::Key),
}

/// A caller's request, without its body.
#[record]
pub struct Call {
    /// Number given by the daemon.
    pub id: CallId,
    /// Unique request id; sent to the server and back to the caller.
    pub request: String,
    /// The requesting workspace.
    pub workspace: WorkspaceId,
    /// The requested service.
    pub service: ServiceId,
    /// How many times the request may be executed.
    pub repeat: Repeat,
    /// Whether an interrupted answer can be resumed at the token where it broke off.
    pub resumable: bool,
    /// The caller's estimate of the cost, in cost units.
    pub cost_hint: Option<f64>,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Progress of an attempt, or its end.
#[record]
pub enum Milestone {
    /// The connection is established; no byte of the request was sent.
    Connected,
    /// Bytes of the request may have been sent.
    Sent,
    /// The first byte of the answer arrived.
    FirstByte,
    /// More of the answer arrived.
    Progress {
        /// Cost so far, in cost units.
        cost: f64,
        /// Tokens passed to the caller so far.
        tokens: u64,
    },
    /// The answer is complete.
    Done {
        /// Final cost, in cost units.
        cost: f64,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer to store for repeats with the same key; comes before [`Self::Done`].
    StoredAnswer(claim::Stored),
    /// The server rejected the request without executing any of it.
    Refused,
    /// The connection could not be established, or broke.
    Broken(Stage),
    /// The answer belonged to another request, or was malformed.
    Mismatch,
}

/// Progress of an attempt at the time its connection broke.
#[id]
pub enum Stage {
    /// No byte of the request had been sent.
    BeforeSend,
    /// Bytes may have been sent, but no part of the answer has reached the caller.
    AfterSend,
    /// Part of the answer has reached the caller.
    AfterOutput,
}

/// A server's own report of its load; may be out of date.
#[value]
pub struct LoadReport {
    /// Start time of the server process; a change means that the server is cold.
    pub incarnation: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting at the server.
    pub waiting: u32,
}

/// An entry of the platform's host list.
#[value]
pub struct HostEntry {
    /// The router on the host.
    pub router: RouterId,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// Address at which the router receives datagrams.
    pub address: SocketAddr,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// An input of [`Router::handle`](crate::Router::handle).
#[record]
pub enum Event {
    /// A caller's request was read completely.
    Submit(Call),
    /// A caller closed its connection.
    Hangup(CallId),
    /// An attempt reached a milestone.
    Attempt(AttemptKey, Milestone),
    /// A table operation for a claim was answered, or failed.
    ClaimAnswer(TableOp, claim::TableAnswer),
    /// A message from another router arrived.
    Peer {
        /// The sender.
        from: RouterId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// The whole configuration was read from the table.
    ConfigRead(Vec<(Version, Object)>),
    /// Changed configuration objects were read from the table.
    ConfigChanged(Vec<(Version, Object)>),
    /// A server reported its load.
    Load(ServerId, LoadReport),
    /// The router joins the fleet and receives datagrams at this address; without this event,
    /// it sends no probes and keeps its initial members.
    Join(SocketAddr),
    /// The platform's host list was read.
    Hosts(Vec<HostEntry>),
    /// A timer is due.
    Tick,
    /// Starts a graceful stop of the router.
    Drain {
        /// Time allowed for running requests to finish.
        time_limit: Duration,
    },
}
