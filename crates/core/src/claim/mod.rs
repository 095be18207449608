//! Execution claims: at most one run for each pair of workspace and idempotency key.
//!
//! Before a request with a key is dispatched, a conditional write stores a row under its workspace
//! and key in the platform's table. The row decides about repeats, whichever router they reach.
//! After a write whose response was lost, the row is read back first. Only the holder releases a
//! claim, and only once it can no longer dispatch the request. Held claims never expire, because a
//! paused holder can't be distinguished from a dead one.

mod claims;
mod row;

use std::time::Duration;

pub use claims::{Claims, Lease, Step};
pub use row::{Holder, Key, Row, RowKey, State, Stored, TableAnswer, TableRequest, Versioned};

/// Time for which the platform keeps a claim's row after its last write.
pub const RETENTION: Duration = Duration::from_hours(24);
/// Maximum size of an answer's body that is stored for repeats, in bytes.
pub const MAX_STORED_BYTES: usize = 16 * 1024;
