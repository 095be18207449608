//! Input events of a router and the decisions it returns.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record, value};

use crate::engine::Prompt;
use crate::freshness::Confirmation;
use crate::model::LoadStatus;
use crate::objects::{OperatorConfig, Repeat, Revision, Servers};
use crate::peers::Report;
use crate::quota::{ShareStatus, WorkspaceHash};
use crate::registry::ServerKey;
use crate::rollout::order::Status;
use crate::room::Standing;
use crate::rotation::LoopUse;
use crate::unrecorded::Shard;
use crate::versions::VersionSet;

/// Id that the daemon gives to a caller's request.
#[id]
pub struct RequestKey(pub u64);

/// Request of a caller that is to be sent to a server.
#[record]
pub struct Submission {
    /// Id of the request.
    pub key: RequestKey,
    /// Workspace of the caller; none on public routes.
    pub workspace: Option<WorkspaceHash>,
    /// Identity of the request, the same at every router and in all attempts of the caller.
    pub fingerprint: u64,
    /// Name of the requested service.
    pub service: String,
    /// Prompt for an engine; none for plain services.
    pub prompt: Option<Prompt>,
    /// Time by which the answer has to start to have its full value.
    pub target: Instant,
    /// Time at which the caller or the route abandons the request.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Whether another server may resume the stream.
    pub resumable: bool,
    /// Maximum number of servers to which the request may be sent.
    pub max_attempts: u32,
    /// Software version that began the stream which the request takes up; none for a new one.
    pub version: Option<String>,
    /// Whether the stream which the request takes up is known to have begun, so that it was admitted
    /// before.
    pub goes_on: bool,
    /// Shard of the streams to which the one that the request begins belongs.
    pub shard: Shard,
    /// Rank among the requests of its workspace; 0 is the highest.
    pub rank: u32,
    /// Longest pause between two events of an answer that is on time; none if the route names none.
    pub max_pause: Option<Duration>,
}

/// Result of an attempt at a server.
#[id]
pub enum Outcome {
    /// The caller received the whole answer.
    Answered,
    /// The server ran the request and reported a failure.
    Failed,
    /// The server reported that it did not run the request.
    NotRun,
    /// The server's identity differs from the expected one.
    Misdirected,
    /// The connection could not be established; no byte was sent.
    Unreachable,
    /// The server may not receive requests any more; no byte was sent.
    Withdrawn,
    /// The connection was lost, or the stream ended before it was complete.
    Broken,
    /// The answer is not that server's to this request.
    Invalid,
    /// The answer has more bytes than one may have, and perhaps no end.
    Oversized,
    /// The server had not answered completely at the deadline.
    Expired,
    /// The caller disconnected.
    Left,
}

/// Whether a failed request was run.
#[id]
pub enum Execution {
    /// No server ran the request, and none will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, and the server reported a failure.
    Failed,
}

/// Why a request fails without a complete answer.
#[id]
pub enum Reason {
    /// The router has no configuration yet.
    NotReady,
    /// No server of the service is available.
    NoServer,
    /// No server can start the request in time.
    Busy,
    /// This router is overloaded and would forward the stream late; other routers may accept it.
    RouterBusy,
    /// The workspace is over its fair share, and no server has spare capacity.
    OverShare,
    /// No plain server has room that the request may use, or answers it before its deadline.
    NoRoom,
    /// The request may not be sent to another server.
    Exhausted,
    /// The retry budget is used up.
    RetryBudget,
    /// The deadline has passed.
    Expired,
    /// The router stops before a server has answered.
    Stopping,
    /// All servers of the service asked for a pause or accept no more at the rate that they named.
    Throttled,
    /// The request or a shared part of its prompt crashed several servers.
    Quarantined,
    /// The version that began the stream which the request takes up is not known.
    VersionUnknown,
    /// No server of the version that began the stream is registered any more.
    VersionGone,
    /// The store did not record the version that began the stream, so its events are not passed on.
    Unrecorded,
}

/// Limit on this router's requests to a server that is cold or being probed, for the log.
#[value]
pub struct ColdShare {
    /// Requests per second that this router may send.
    pub rate: f64,
    /// Number of routers that share the server's limit.
    pub routers: u32,
}

/// State of a server and a request on which a choice was based, for the log.
#[value]
pub struct Inputs {
    /// Prompt tokens waiting for prefill at the server, from all routers.
    pub pending_prefill: u64,
    /// Requests in progress at the server, from all routers.
    pub running: u32,
    /// Tokens of this prompt that the server has to prefill.
    pub prefill_tokens: u32,
    /// Tokens of the prompt's shared prefix.
    pub shared: u32,
    /// Tokens of the prompt's shared prefix that the server is known to have cached.
    pub cached: u32,
    /// Whether the server is a preferred server for the prompt's shared prefix.
    pub preferred: bool,
    /// Tokens of the prompt whose KV cache the server transfers from another engine.
    pub transferred: u32,
    /// Fraction of the server's slots in use.
    pub slots_used: f64,
    /// Fraction of the server's time that is spent on prefill.
    pub prefill_fraction: f64,
    /// Time per output token of a stream at the server.
    pub token_interval: Duration,
    /// Estimated time to first token or first byte.
    pub first_byte: Duration,
    /// Whether the workspace is within its fair share.
    pub share: ShareStatus,
    /// The limit on requests to the server if it is cold or being probed.
    pub cold: Option<ColdShare>,
    /// Time since any router was last known to have heard the server.
    pub heard: Option<Duration>,
    /// Revision of the server list.
    pub revision: Revision,
}

/// Numbers of servers that each limit kept from receiving a request, for the log. A server counts
/// once for every limit that it is over.
#[value]
#[derive(Default)]
pub struct Exclusions {
    /// Servers that were considered.
    pub servers: u32,
    /// Servers at which this router uses all the connections that it may.
    pub connections: u32,
    /// Servers whose slots are all in use, or that are cold or at the rate that they named.
    pub slots: u32,
    /// Servers that are none of the first homes of the prompt's shared prefix.
    pub spill: u32,
    /// Servers that spend too much of their time on prefill.
    pub prefill: u32,
    /// Servers whose streams are too slow.
    pub interval: u32,
    /// Servers with too many of their slots in use for the workspace's share.
    pub occupancy: u32,
    /// Servers with capacity that would start the request too late.
    pub late: u32,
}

impl Exclusions {
    /// Returns the counts by the name of the limit.
    #[must_use]
    pub fn by_limit(&self) -> [(&'static str, u32); 7] {
        [
            ("connections", self.connections),
            ("slots", self.slots),
            ("spill", self.spill),
            ("prefill", self.prefill),
            ("interval", self.interval),
            ("occupancy", self.occupancy),
            ("late", self.late),
        ]
    }
}

/// State on which a refusal was based, for the log.
#[value]
pub enum RefusalInputs {
    /// No server had capacity.
    Server {
        /// State of the best server.
        best: Inputs,
        /// Why the servers were left out.
        exclusions: Exclusions,
    },
    /// No plain server had room.
    Room {
        /// Standing of the request.
        standing: Standing,
        /// Why the servers were left out.
        exclusions: Exclusions,
    },
    /// The workspace is so far over its share that servers are considered for a part of its requests
    /// only, and this one is not of it.
    Share {
        /// Usage of the workspace compared with its fair share.
        share: ShareStatus,
    },
    /// The router itself is overloaded.
    Router {
        /// Mean event loop lag.
        lag: Duration,
        /// Whether the workspace is within its fair share.
        share: ShareStatus,
    },
}

/// Health check of a server; [`Event::ServerChecked`] tells the result.
#[record]
pub struct HealthCheck {
    /// Key of the server.
    pub server: ServerKey,
    /// Id of the server, which it has to confirm.
    pub id: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path of the service's health checks.
    pub path: String,
}

/// Action that the daemon has to carry out.
#[record]
pub enum Decision {
    /// Send the request to a server.
    Send {
        /// Id of the request.
        request: RequestKey,
        /// Key of the server.
        server: ServerKey,
        /// Id of the server, which it has to confirm.
        id: String,
        /// Software version of the server.
        version: String,
        /// Address of the server.
        address: SocketAddr,
        /// Address of the engine whose KV cache of the shared prefix the server transfers, if any.
        source: Option<SocketAddr>,
        /// Expected time to the first byte, from now.
        expected: Duration,
        /// State on which the choice was based.
        inputs: Inputs,
    },
    /// Give the caller the final answer that the request failed.
    Fail {
        /// Id of the request.
        request: RequestKey,
        /// Why the request failed.
        reason: Reason,
        /// Whether the request was run.
        execution: Execution,
        /// Delay after which the caller should retry.
        retry_after: Duration,
        /// State on which the refusal was based; none if the reason says it all.
        inputs: Option<RefusalInputs>,
    },
    /// Wait for a silent server, as the request is not sent to another one.
    Wait {
        /// Id of the request.
        request: RequestKey,
        /// Why it is not sent to another server.
        reason: Reason,
    },
    /// Ask a server for how long it stays cold.
    Check(HealthCheck),
    /// Write a log line about a changed state.
    Log {
        /// Name of the log event.
        event: &'static str,
        /// Server or table that changed.
        subject: String,
        /// Values behind the change.
        detail: String,
    },
}

/// Input to [`Fleet::handle`](crate::Fleet::handle).
#[record]
pub enum Event {
    /// A caller's request was received completely.
    Submit(Submission),
    /// A complete successful response to a plain request arrived; [`Event::Ended`] follows.
    Served(RequestKey),
    /// A caller's request that [`Fleet::overloaded`](crate::Fleet::overloaded) counted and did not
    /// refuse was received completely.
    SubmitAdmitted(Submission),
    /// The first byte of the answer arrived.
    FirstByte(RequestKey),
    /// A stream delivered more tokens.
    StreamProgress {
        /// Id of the request.
        key: RequestKey,
        /// Time since the stream's previous events.
        gap: Duration,
        /// Number of tokens that arrived.
        tokens: u32,
    },
    /// An attempt ended. If it was to replace one at a silent server, that one goes on.
    Ended(RequestKey, Outcome),
    /// The server of a request that may be repeated has been silent for longer than expected.
    ///
    /// The attempt goes on until [`Event::Replaced`], if the decision is to send the request to
    /// another server, and else until its deadline.
    Stalled(RequestKey),
    /// The attempt at a silent server is cancelled, as another server has the request.
    Replaced(RequestKey),
    /// A silent server went on before another one answered, and keeps the request.
    Resumed {
        /// Id of the request.
        key: RequestKey,
        /// Whether the request was sent to the other server, which may have begun to run it.
        sent: bool,
    },
    /// A server answered a health check that was sent at this time, with the time for which it stays
    /// cold.
    ServerChecked(ServerKey, Instant, Duration),
    /// A server's response says that it is leaving.
    ServerLeaving(ServerKey),
    /// A server's response names the requests per second that it accepts from all routers together,
    /// or no longer names any.
    ServerRate(ServerKey, Option<f64>),
    /// A server that turned a request away asked for a pause of this length.
    ServerThrottled(ServerKey, Duration),
    /// A server's response reports its load.
    ServerStatus(ServerKey, LoadStatus),
    /// A server's response reports a load that can't be read; the header's value.
    ServerStatusRejected(ServerKey, String),
    /// The operator configuration was read.
    Config(Revision, OperatorConfig),
    /// The server registrations were read.
    Servers(Revision, Servers),
    /// The store answered a call.
    StoreAnswered,
    /// A call to the store failed.
    StoreFailed,
    /// The store confirmed an operator configuration, which is still to be applied if it is new.
    ConfigConfirmed(Confirmation),
    /// This router stops soon, and no longer reads the store for its zone.
    Stopping,
    /// The store confirmed a server list, which is still to be applied if it is new.
    ServersConfirmed(Confirmation),
    /// The server registrations have not changed since they were last read.
    ServersUnchanged,
    /// A report from another router arrived.
    Report(Report),
    /// The list of registered routers, including this one.
    Members(Vec<String>),
    /// The rows of services with several versions were read, at this time of day in milliseconds
    /// since the Unix epoch.
    Versions(u64, Vec<VersionSet>),
    /// A row of a service with several versions was written.
    VersionsSaved(VersionSet),
    /// The status row of a service's rollout was read or written.
    RolloutStatus {
        /// Time of day in milliseconds since the Unix epoch.
        epoch_ms: u64,
        /// Name of the service.
        service: String,
        /// The row; none if there is none.
        status: Option<Status>,
    },
    /// The event loop ran later than scheduled, by this lag.
    LoopLag(Duration),
    /// The event loop used so much of its time since the last such event.
    LoopUse(LoopUse),
    /// Periodic timer.
    Tick,
}
