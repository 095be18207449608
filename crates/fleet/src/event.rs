//! What can happen to a router, and what it decides.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record, value};

use crate::engine::Prompt;
use crate::objects::{Orders, Repeat, Revision, Servers};
use crate::peers::Report;
use crate::quota::{Standing, WorkspaceHash};
use crate::roster::ServerKey;

/// A caller's request, as the daemon numbers it.
#[id]
pub struct RequestKey(pub u64);

/// A caller's request that asks for a server.
#[record]
pub struct Ask {
    /// Its number.
    pub key: RequestKey,
    /// The workspace that asks; none on public routes.
    pub workspace: Option<WorkspaceHash>,
    /// The service asked for.
    pub service: String,
    /// What an engine has to do; none at plain services.
    pub prompt: Option<Prompt>,
    /// Until when the answer has to begin to have its full value.
    pub target: Instant,
    /// When the caller or the route gives the request up.
    pub deadline: Instant,
    /// How often it may run.
    pub repeat: Repeat,
    /// Whether its stream may go on at another server.
    pub resumable: bool,
    /// Servers that it may be sent to at most.
    pub attempts: u32,
}

/// How an attempt at a server ended.
#[id]
pub enum Outcome {
    /// The caller has the whole answer.
    Answered,
    /// The server ran the request and reported a failure.
    Failed,
    /// The server said that it did not run the request.
    NotRun,
    /// The server has another identity than the one expected.
    Misdirected,
    /// No connection could be made; no byte was sent.
    Unreachable,
    /// The connection broke, or the answer was not the server's whole answer.
    Broken,
    /// Nothing arrived for too long.
    Silent,
    /// The caller went away.
    Left,
}

/// Whether a request that is given up has run.
#[id]
pub enum Execution {
    /// No server ran it, and none will.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and the server reported a failure.
    Failed,
}

/// Why a request is given up.
#[id]
pub enum Reason {
    /// There is no configuration yet.
    NotReady,
    /// No server of the service may receive anything.
    NoServer,
    /// No server can begin it in time.
    Busy,
    /// This router could not pass its stream on in time; others may.
    RouterBusy,
    /// The workspace has its share of the throughput, and no server is free.
    OverShare,
    /// It may not be sent to another server.
    Exhausted,
    /// The budget of repeats is used up.
    RetryBudget,
    /// Its time is up.
    Expired,
}

/// What a choice was decided by, for the log.
#[value]
pub struct Inputs {
    /// Prompt tokens unread at the server, all routers together.
    pub unread: u64,
    /// Requests under way at the server, all routers together.
    pub running: u32,
    /// Tokens of this prompt that the server has to read.
    pub read: u32,
    /// Tokens of the prompt that other requests share.
    pub shared: u32,
    /// Whether the server is the home of the prompt's shared prefix.
    pub home: bool,
    /// Tokens of the prompt that the server copies from another.
    pub copied: u32,
    /// Part of the server's places that are taken.
    pub taken: f64,
    /// Part of its time that the server spends on reading prompts.
    pub reading: f64,
    /// Time that a stream takes there for each token.
    pub pace: Duration,
    /// When the request would begin there.
    pub begin: Duration,
    /// How the workspace stands towards its share.
    pub standing: Standing,
    /// Revision of the list of servers.
    pub revision: Revision,
}

/// What is to be done with a request.
#[record]
pub enum Decision {
    /// Send it to a server.
    Send {
        /// The request.
        request: RequestKey,
        /// The server.
        server: ServerKey,
        /// The server's id, which it has to confirm.
        id: String,
        /// Where it takes requests.
        address: SocketAddr,
        /// The server from which it copies what it lacks of the prompt's shared
        /// prefix; none when it lacks nothing or nobody holds more.
        source: Option<SocketAddr>,
        /// When the first byte is expected, counted from now.
        expected: Duration,
        /// What the choice was decided by.
        inputs: Inputs,
    },
    /// Give the caller its final answer.
    GiveUp {
        /// The request.
        request: RequestKey,
        /// Why.
        reason: Reason,
        /// Whether it ran.
        execution: Execution,
        /// When asking again makes sense.
        retry_after: Duration,
        /// The best server that was not good enough.
        inputs: Option<Inputs>,
    },
    /// Write a line to the log about a belief that changed.
    Log {
        /// Name of the event.
        event: &'static str,
        /// The server or table that it is about.
        subject: String,
        /// What decided it.
        detail: String,
    },
}

/// Something that happened.
#[record]
pub enum Event {
    /// A caller's request was read whole.
    Submit(Ask),
    /// The first byte of the answer arrived.
    FirstByte(RequestKey),
    /// A stream went on.
    Paced {
        /// The request.
        key: RequestKey,
        /// Time since its last events.
        gap: Duration,
        /// Tokens that arrived.
        tokens: u32,
    },
    /// An attempt ended.
    Ended(RequestKey, Outcome),
    /// The operator's orders were read.
    Orders(Revision, Orders),
    /// The servers' entries were read.
    Servers(Revision, Servers),
    /// The store answered a call.
    StoreAnswered,
    /// A call to the store failed.
    StoreLost,
    /// The servers' entries have not changed since they were last read.
    ServersUnchanged,
    /// Another router reported.
    Report(Report),
    /// The routers that are registered, this one among them.
    Members(Vec<String>),
    /// The loop of this router came round later than asked for, by this much.
    Late(Duration),
    /// Time passed.
    Tick,
}
