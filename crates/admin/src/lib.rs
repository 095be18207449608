//! Types of the JSON-RPC calls on a router's admin port.
//!
//! The router answers with them and the operators' command line prints them,
//! so both sides share one definition. Fields are only ever added.

use std::fmt;

use hibiscusrail_macros::record;
use serde::{Deserialize, Serialize};

/// Path of JSON-RPC calls.
pub const RPC_PATH: &str = "/rpc";
/// Method that returns a [`Status`].
pub const STATUS: &str = "status";
/// Method that takes a [`DrainRequest`] and returns a [`DrainAnswer`].
pub const DRAIN: &str = "drain";

/// A router as it sees itself and the fleet.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the router.
    pub router: String,
    /// Its availability zone.
    pub zone: String,
    /// Start of the process in milliseconds since the epoch.
    pub incarnation: u64,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Why not, as the stable code of the refusals; none when ready.
    pub reason: Option<String>,
    /// Highest ticket number in force.
    pub version: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that run.
    pub running: u64,
    /// Servers whose slots this router hands out.
    pub servers: Vec<ServerStatus>,
    /// Queues that are not empty.
    pub queues: Vec<QueueStatus>,
}

/// A server as its dispatcher sees it.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: String,
    /// Requests it may run now.
    pub limit: u32,
    /// Slots in use or on their way.
    pub used: u64,
    /// Whether it takes new work.
    pub open: bool,
}

/// A queue of one workspace and service.
#[record]
#[derive(Serialize, Deserialize)]
pub struct QueueStatus {
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the service.
    pub service: String,
    /// Requests that wait.
    pub waiting: u64,
}

/// Asks a router to stop gracefully.
#[record]
#[derive(Serialize, Deserialize)]
pub struct DrainRequest {
    /// Longest time to wait for running work; the router's setting when left out.
    #[serde(default)]
    pub patience_ms: Option<u64>,
}

/// Answer to [`DrainRequest`]; the router ends once nothing runs.
#[record]
#[derive(Serialize, Deserialize)]
pub struct DrainAnswer {
    /// Name of the router.
    pub router: String,
    /// Requests that still run.
    pub running: u64,
    /// Longest time to wait for them.
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
