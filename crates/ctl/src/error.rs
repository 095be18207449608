//! Errors of the command line, each with its step and peer.

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
    /// A flag that the command needs is missing or wrong.
    #[snafu(display("--{flag}: {allowed}"))]
    Flag {
        /// The flag.
        flag: &'static str,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A file could not be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// No connection could be made.
    #[snafu(display("{step}: {source}"))]
    Connect {
        /// What was asked.
        step: &'static str,
        /// What went wrong.
        source: ConnectError,
    },
    /// The connection broke after the question was sent.
    #[snafu(display("{step} at {peer}: {source}"))]
    Http {
        /// What was asked.
        step: &'static str,
        /// Who was asked.
        peer: SocketAddr,
        /// What went wrong.
        source: hyper::Error,
    },
    /// No answer came in time.
    #[snafu(display("{step} at {peer}: no answer in time"))]
    Timeout {
        /// What was asked.
        step: &'static str,
        /// Who was asked.
        peer: SocketAddr,
    },
    /// The peer answered with an error status.
    #[snafu(display("{step} at {peer}: status {status}"))]
    Status {
        /// What was asked.
        step: &'static str,
        /// Who was asked.
        peer: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The answer has an unexpected shape.
    #[snafu(display("{step} at {peer}: {source}"))]
    Json {
        /// What was asked.
        step: &'static str,
        /// Who was asked.
        peer: SocketAddr,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A ticket can't be decided by what the table holds.
    #[snafu(display("deciding: {source}"))]
    Plan {
        /// What is wrong.
        source: hibiscusrail_store::ticket::transaction::PlanError,
    },
    /// The peer refused the call.
    #[snafu(display("{step} at {peer}: {message} (code {code})"))]
    Call {
        /// What was asked.
        step: &'static str,
        /// Who was asked.
        peer: SocketAddr,
        /// JSON-RPC error code.
        code: i32,
        /// What the peer said.
        message: String,
    },
}

impl CtlError {
    /// Returns the exit code for the error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Flag { .. } | Self::File { .. } => Exit::Usage,
            Self::Connect { .. } | Self::Status { .. } | Self::Call { .. } | Self::Plan { .. } => {
                Exit::Failed
            }
            Self::Http { .. } | Self::Timeout { .. } | Self::Json { .. } => Exit::Unknown,
        }
    }
}
