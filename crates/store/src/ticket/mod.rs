//! Change tickets: their file format, validation and transaction.
//!
//! [`generated`] holds the types generated from `schema/ticket.schema.json`. [`parse`] reads a
//! ticket file and [`check()`] validates it. [`transaction`] decides on a ticket from rows of the
//! table and builds the single transaction that applies all of its changes.

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
pub use objects::object_rows;
pub use transaction::{Plan, plan, read_request};

/// Content of the row with the number of accepted tickets.
#[record]
#[derive(Serialize, Deserialize, Default)]
pub struct HeadRow {
    /// Number of tickets accepted so far.
    pub sequence: u64,
}

/// Content of the row that lists the changes of the `sequence`th accepted ticket.
#[record]
#[derive(Serialize, Deserialize)]
pub struct ChangeRow {
    /// Position of the ticket in the order of acceptance, from 1.
    pub sequence: u64,
    /// Number of the ticket.
    pub number: u64,
    /// Keys of the rows of the objects that the ticket changed.
    pub keys: Vec<String>,
}

/// Content of the row of an accepted ticket.
#[record]
#[derive(Serialize, Deserialize)]
pub struct TicketRow {
    /// The whole ticket.
    pub ticket: Ticket,
    /// [`digest`] of the ticket.
    pub digest: String,
    /// Position of the ticket in the order of acceptance, from 1.
    pub sequence: u64,
    /// Time of acceptance in milliseconds since the Unix epoch.
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
