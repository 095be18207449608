//! Rows of claims in the platform's table, and the table calls that read and write them.

use hibiscusrail_macros::{id, record};

use crate::ids::{Incarnation, RouterId, WorkspaceId};

/// A caller's idempotency key and a digest of the request that carried it.
#[record]
pub struct Key {
    /// The key.
    pub name: String,
    /// Hash of method, path and body; detects the use of one key for different requests.
    pub digest: u64,
}

impl Key {
    /// Creates a key whose digest is zero.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            digest: 0,
        }
    }

    /// Sets the digest of the request.
    #[must_use]
    pub fn with_digest(mut self, digest: u64) -> Self {
        self.digest = digest;
        self
    }
}

/// Identifies a claim's row.
#[record]
pub struct RowKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub name: String,
}

/// Identifies the holder of a claim; unique for each attempt to acquire one.
#[id]
pub struct Holder {
    /// The router.
    pub router: RouterId,
    /// The incarnation of the router.
    pub incarnation: Incarnation,
    /// Number of the attempt to acquire, unique within the incarnation.
    pub number: u64,
}

/// A stored answer, replayed to repeats of the request.
#[record]
pub struct Stored {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the server sent one.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// State of the run that a claim protects.
#[record]
pub enum State {
    /// The holder may run the request, or is running it.
    Held,
    /// The holder did not run the request and never will; the key may be claimed again.
    Released,
    /// The request ran; its answer is stored if it is small enough.
    Answered(Option<Stored>),
    /// The request ran, and the server reported a failure.
    Failed,
    /// The request may have run.
    Unknown,
}

/// A claim's row.
#[record]
pub struct Row {
    /// The holder that wrote the row.
    pub holder: Holder,
    /// How often the key was claimed, from 1; sent to the server as a fencing token.
    pub attempt: u32,
    /// Digest of the request.
    pub digest: u64,
    /// State of the run.
    pub state: State,
}

/// A row with its version in the table.
#[record]
pub struct Versioned {
    /// Version of the row.
    pub version: u64,
    /// The row.
    pub row: Row,
}

/// A call to the table.
#[record]
pub enum TableRequest {
    /// Reads a row.
    Read(RowKey),
    /// Writes a row if its current version matches; version zero means that no row exists.
    Write {
        /// The key.
        key: RowKey,
        /// The expected version.
        version: u64,
        /// The new row.
        row: Row,
    },
}

/// Result of a call to the table.
#[record]
pub enum TableAnswer {
    /// The write was committed.
    Written,
    /// The write was not committed: the row has another version, or does not exist.
    Conflict(Option<Versioned>),
    /// The row, if there is one.
    Found(Option<Versioned>),
    /// The call could not be sent; nothing was written.
    Unsent,
    /// No response arrived: a write may have been committed, or may still be.
    Lost,
}
