//! Change tickets: their file format, their checks and their transaction.
//!
//! [`generated`] holds the types made from `schema/ticket.schema.json`,
//! [`check()`] reads a file and says what is wrong with it, and [`transaction`]
//! decides on a ticket from rows of the table and makes the one transaction
//! that accepts it whole.

pub mod check;
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod generated;
mod objects;
pub mod transaction;

use hibiscusrail_macros::record;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use check::{Problem, check, parse};
pub use generated::{
    Admission, Kind, Removal, ServerState, ServiceKind, ServiceState, Ticket, WorkspaceState,
    ZoneState,
};
pub use objects::objects;
pub use transaction::{Plan, plan, reads};

/// Content of the row that counts accepted tickets.
#[record]
#[derive(Serialize, Deserialize, Default)]
pub struct HeadRow {
    /// Tickets accepted so far.
    pub sequence: u64,
}

/// What the `sequence`th accepted ticket changed.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ChangeRow {
    /// Place among all accepted tickets, from 1.
    pub sequence: u64,
    /// Number of the ticket.
    pub number: u64,
    /// Keys of the rows of the objects that it touched.
    pub keys: Vec<String>,
}

/// An accepted ticket.
#[record]
#[derive(Serialize, Deserialize)]
pub struct TicketRow {
    /// The ticket, whole.
    pub ticket: Ticket,
    /// Digest of the ticket.
    pub digest: String,
    /// Place among all accepted tickets.
    pub sequence: u64,
    /// When it was accepted, in milliseconds since the epoch.
    pub time_ms: u64,
}

/// Returns the SHA-256 of a ticket's content in hexadecimal.
///
/// # Panics
///
/// Never: tickets serialise to JSON.
#[must_use]
pub fn digest(ticket: &Ticket) -> String {
    let text = serde_json::to_vec(ticket).expect("tickets serialise to JSON");
    hex::encode(Sha256::digest(text))
}
