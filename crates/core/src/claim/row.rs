//! The rows of claims, and the calls of the table that read and write them.

use hibiscusrail_macros::{id, record};

use crate::ids::{Incarnation, RouterId, WorkspaceId};

/// A caller's idempotency key with a digest of the request it came with.
#[record]
pub struct Key {
    /// The key.
    pub name: String,
    /// Hash of method, path and body, so that a key is not used for two requests.
    pub digest: u64,
}

impl Key {
    /// Creates a key without the digest of its request.
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

/// Who holds a claim: unique for each try to claim.
#[id]
pub struct Holder {
    /// The router.
    pub router: RouterId,
    /// The run of the router's process.
    pub incarnation: Incarnation,
    /// Number within that run.
    pub number: u64,
}

/// A kept answer.
#[record]
pub struct Stored {
    /// HTTP status.
    pub status: u16,
    /// Content type, when the server named one.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What is known of the run that a claim stands for.
#[record]
pub enum State {
    /// The holder may run the request, or is running it.
    Held,
    /// The holder did not run it and never will; the next may claim it.
    Released,
    /// It ran; the answer is kept when it is small.
    Answered(Option<Stored>),
    /// It ran, and the server said that it failed.
    Failed,
    /// It may have run.
    Unknown,
}

/// A claim's row.
#[record]
pub struct Row {
    /// Who wrote it.
    pub holder: Holder,
    /// How often the key was claimed, from 1; travels to the server as a fencing number.
    pub attempt: u32,
    /// Digest of the request.
    pub digest: u64,
    /// What is known of the run.
    pub state: State,
}

/// A row as it stands in the table.
#[record]
pub struct Versioned {
    /// Version of the row.
    pub version: u64,
    /// The row.
    pub row: Row,
}

/// A call of the table.
#[record]
pub enum Request {
    /// Read a row.
    Read(RowKey),
    /// Write a row that must stand at a version, zero when it must not exist.
    Write {
        /// The key.
        key: RowKey,
        /// The version it must stand at.
        version: u64,
        /// New content.
        row: Row,
    },
}

/// What came of a call of the table.
#[record]
pub enum Answer {
    /// The write was committed.
    Written,
    /// The write was not committed: the row stands at another version, or is gone.
    Conflict(Option<Versioned>),
    /// The row, if there is one.
    Found(Option<Versioned>),
    /// The table can't be reached; nothing was written.
    Unsent,
    /// No answer: a write may have been committed, or may yet be.
    Lost,
}
