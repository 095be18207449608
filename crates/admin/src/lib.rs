//! Request and response types of the JSON-RPC methods on a router's admin port.
//!
//! The router and the operators' command line share these definitions. For
//! compatibility between versions, fields are only ever added.

use std::fmt;

use hibiscusrail_macros::record;
use serde::{Deserialize, Serialize};

/// HTTP path of the JSON-RPC endpoint.
pub const RPC_PATH: &str = "/rpc";
/// Name of the method that returns a [`Status`].
pub const STATUS: &str = "status";
/// Name of the method that takes a [`DrainRequest`] and returns a [`DrainAnswer`].
pub const DRAIN: &str = "drain";

/// State of a router and of the servers and queues that it manages.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the router.
    pub router: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether the router accepts requests from callers.
    pub ready: bool,
    /// Refusal code that says why the router is not ready; `None` when it is ready.
    pub reason: Option<String>,
    /// Highest ticket number among the configuration objects in force.
    pub version: u64,
    /// Number of waiting requests.
    pub waiting: u64,
    /// Number of running requests.
    pub running: u64,
    /// Servers whose dispatcher is this router.
    pub servers: Vec<ServerStatus>,
    /// Non-empty queues.
    pub queues: Vec<QueueStatus>,
}

/// State of a server as its dispatcher sees it.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: String,
    /// Number of requests that the server may run now.
    pub limit: u32,
    /// Number of slots in use or granted.
    pub used: u64,
    /// Whether the server accepts new requests.
    pub open: bool,
}

/// Queue of one workspace's requests to one service.
#[record]
#[derive(Serialize, Deserialize)]
pub struct QueueStatus {
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the service.
    pub service: String,
    /// Number of waiting requests.
    pub waiting: u64,
}

/// Asks a router to stop gracefully.
#[record]
#[derive(Serialize, Deserialize)]
pub struct DrainRequest {
    /// Longest time to wait for running requests, in milliseconds; `None` uses the
    /// router's setting.
    #[serde(default)]
    pub patience_ms: Option<u64>,
}

/// Answer to [`DrainRequest`]; the router exits once no request is running.
#[record]
#[derive(Serialize, Deserialize)]
pub struct DrainAnswer {
    /// Name of the router.
    pub router: String,
    /// Number of requests still running.
    pub running: u64,
    /// Longest time to wait for running requests, in milliseconds.
    pub patience_ms: u64,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "router {} zone {} ", self.router, self.zone)?;
        match &self.reason {
            None => write!(f, "ready")?,
            Some(reason) => write!(f, "not ready: {reason}")?,
        }
        write!(
            f,
            "\nversion {} waiting {} running {}",
            self.version, self.waiting, self.running
        )?;
        for server in &self.servers {
            let open = if server.open { "open" } else { "closed" };
            write!(
                f,
                "\nserver {} {open} slots {}/{}",
                server.server, server.used, server.limit
            )?;
        }
        for queue in &self.queues {
            write!(
                f,
                "\nqueue {} {} waiting {}",
                queue.workspace, queue.service, queue.waiting
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for DrainAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "router {} drains: running {} patience_ms {}",
            self.router, self.running, self.patience_ms
        )
    }
}
