//! Execution claims: at most one run for each (workspace, key).
//!
//! Before a keyed request is dispatched, a row under its workspace and key is
//! written conditionally in the platform's table. The row decides, whichever
//! router a repeat reaches. A write whose answer was lost is read back before
//! anything else. Only the holder itself gives a claim back, and only once it
//! can no longer dispatch; nobody takes a held claim over because time has
//! passed, as a paused holder can't be told from a dead one.

mod claims;
mod row;

use std::time::Duration;

pub use claims::{Claims, Lease, Verdict};
pub use row::{Answer, Holder, Key, Request, Row, RowKey, State, Stored, Versioned};

/// How long the platform keeps a claim's row after its last write.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Bytes of an answer's body that are kept for repeats at most.
pub const STORED_BYTES: usize = 16 * 1024;
