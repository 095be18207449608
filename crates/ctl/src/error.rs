//! Errors of the commands.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use hibiscusrail_net::client::ConnectError;
use http::StatusCode;
use snafu::Snafu;

use crate::exit::Exit;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CtlError {
    /// A required flag is missing, or the value of a flag is invalid.
    #[snafu(display("--{flag}: {requirement}"))]
    Flag {
        /// Name of the flag, without the dashes.
        flag: &'static str,
        /// What the command requires of the flag.
        requirement: &'static str,
    },
    /// A file named on the command line could not be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A configuration is not JSON, or the one in force has values that routers reject.
    #[snafu(display("reading {}: {reason}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Why it can't be read.
        reason: String,
    },
    /// Connecting to the router or the platform failed, so no request was sent.
    #[snafu(display("{step}: {source}"))]
    Connect {
        /// Operation that failed: an admin method, a path of the table or a command.
        step: &'static str,
        /// Error of the connection attempt.
        source: ConnectError,
    },
    /// The connection failed before the whole response arrived.
    #[snafu(display("{step} at {peer}: {source}"))]
    Http {
        /// Operation that failed: an admin method, a path of the table or a command.
        step: &'static str,
        /// Address of the router or the platform.
        peer: SocketAddr,
        /// Error of the HTTP client.
        source: hyper::Error,
    },
    /// The request timed out.
    #[snafu(display("{step} at {peer}: no answer in time"))]
    Timeout {
        /// Operation that failed: an admin method, a path of the table or a command.
        step: &'static str,
        /// Address of the router or the platform.
        peer: SocketAddr,
    },
    /// The router or the platform responded with an HTTP error status.
    #[snafu(display("{step} at {peer}: status {status}"))]
    Status {
        /// Operation that failed: an admin method, a path of the table or a command.
        step: &'static str,
        /// Address of the router or the platform.
        peer: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
    /// The request or the response could not be converted to or from JSON.
    #[snafu(display("{step} at {peer}: {source}"))]
    Json {
        /// Operation that failed: an admin method, a path of the table or a command.
        step: &'static str,
        /// Address of the router or the platform.
        peer: SocketAddr,
        /// Error of the JSON conversion.
        source: serde_json::Error,
    },
    /// The ticket or the rows that it depends on are malformed or missing.
    #[snafu(display("deciding on the ticket: {source}"))]
    Plan {
        /// The malformed or missing data.
        source: hibiscusrail_store::ticket::transaction::PlanError,
    },
    /// The router answered the JSON-RPC call with an error.
    #[snafu(display("{step} at {peer}: {message} (code {code})"))]
    Rpc {
        /// Operation that failed: an admin method, a path of the table or a command.
        step: &'static str,
        /// Address of the router or the platform.
        peer: SocketAddr,
        /// JSON-RPC error code.
        code: i32,
        /// JSON-RPC error message.
        message: String,
    },
}

impl CtlError {
    /// Returns the exit code for the error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Flag { .. } | Self::File { .. } | Self::Unreadable { .. } => Exit::Usage,
            Self::Connect { .. } | Self::Status { .. } | Self::Rpc { .. } | Self::Plan { .. } => {
                Exit::Failed
            }
            Self::Http { .. } | Self::Timeout { .. } | Self::Json { .. } => Exit::Unknown,
        }
    }
}
