//! Decides on a ticket from rows of the table and builds its transaction.
//!
//! Every ticket writes the head row, so the table serialises them: of two tickets
//! sent at the same time one commits, and the other must be decided again.

use hibiscusrail_core::configuration::Version;
use hibiscusrail_core::ticket::{Accepted, Conflict, Decision, ObjectVersion, decide};
use hibiscusrail_macros::record;
use snafu::{ResultExt, Snafu};

use super::{ChangeRow, HeadRow, Ticket, TicketRow, digest, object_rows};
use crate::audit::{AuditRow, Outcome};
use crate::keys;
use crate::object::{ObjectRow, VersionedRow};
use crate::table::{Condition, ReadRequest, Row, TransactRequest, Write};

/// Error of deciding on a ticket.
#[derive(Debug, Snafu)]
pub enum PlanError {
    /// A row of the table does not have the expected form.
    #[snafu(display("row {key} is malformed: {source}"))]
    Malformed {
        /// Key of the row.
        key: String,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// The ticket was not validated with [`check`](super::check()).
    #[snafu(display("ticket {number} has a malformed address"))]
    Unchecked {
        /// Number of the ticket.
        number: u64,
    },
    /// The answer does not hold one entry per requested row.
    #[snafu(display("the table returned {found} rows instead of {wanted}"))]
    RowCount {
        /// Number of rows in the answer.
        found: usize,
        /// Number of rows requested.
        wanted: usize,
    },
}

/// Decision on a ticket.
#[record]
pub enum Plan {
    /// Accept the ticket by committing this transaction.
    Accept(Box<TransactRequest>),
    /// The same ticket was accepted before; there is nothing to write.
    AlreadyAccepted,
    /// Reject the ticket because of this conflict.
    Reject(Conflict),
}

/// Returns the object, written as `kind/name`, whose row has the key `key`.
#[must_use]
pub fn object_label(key: &str) -> &str {
    key.strip_prefix(keys::CONFIG_PREFIX).unwrap_or(key)
}

fn changed_objects(ticket: &Ticket) -> Result<Vec<ObjectRow>, PlanError> {
    object_rows(ticket).ok_or(PlanError::Unchecked {
        number: ticket.number,
    })
}

/// Returns the request for the rows that [`plan`] needs to decide on a ticket.
///
/// # Errors
///
/// Fails if the ticket has a malformed address.
pub fn read_request(ticket: &Ticket) -> Result<ReadRequest, PlanError> {
    let mut keys = vec![keys::HEAD.to_owned(), keys::ticket(ticket.number)];
    keys.extend(changed_objects(ticket)?.iter().map(ObjectRow::key));
    Ok(ReadRequest { keys })
}

fn decode_row<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, PlanError> {
    serde_json::from_value(row.value.clone()).context(MalformedSnafu { key: &row.key })
}

fn decode_version(row: &Row) -> Result<ObjectVersion, PlanError> {
    let versioned: VersionedRow = decode_row(row)?;
    Ok(ObjectVersion {
        object: object_label(&row.key).to_owned(),
        version: Version(versioned.version),
        author: versioned.author,
    })
}

fn decode_accepted(row: &Row) -> Result<Accepted, PlanError> {
    let old: TicketRow = decode_row(row)?;
    Ok(Accepted {
        number: Version(old.ticket.number),
        author: old.ticket.author,
        digest: old.digest,
    })
}

/// Decides on a ticket from the rows requested by [`read_request`], in the same order.
///
/// # Errors
///
/// Fails if entries are missing or a row is malformed.
pub fn plan(ticket: &Ticket, rows: &[Option<Row>], time_ms: u64) -> Result<Plan, PlanError> {
    let request = read_request(ticket)?;
    let wanted = request.keys.len();
    let [head, previous, objects @ ..] = rows else {
        return RowCountSnafu {
            found: rows.len(),
            wanted,
        }
        .fail();
    };
    if rows.len() != wanted {
        return RowCountSnafu {
            found: rows.len(),
            wanted,
        }
        .fail();
    }
    let previous = previous.as_ref().map(decode_accepted).transpose()?;
    let versions: Vec<ObjectVersion> = objects
        .iter()
        .flatten()
        .map(decode_version)
        .collect::<Result<_, _>>()?;
    let number = Version(ticket.number);
    match decide(number, &digest(ticket), previous.as_ref(), &versions) {
        Decision::AlreadyAccepted => Ok(Plan::AlreadyAccepted),
        Decision::Reject(conflict) => Ok(Plan::Reject(conflict)),
        Decision::Write => {
            let head: HeadRow = head
                .as_ref()
                .map(decode_row)
                .transpose()?
                .unwrap_or_default();
            let conditions = conditions(&request, rows);
            let writes = writes(ticket, head.sequence + 1, time_ms)?;
            Ok(Plan::Accept(Box::new(TransactRequest {
                conditions,
                writes,
            })))
        }
    }
}

/// Returns conditions that hold only while none of the rows read has changed.
fn conditions(request: &ReadRequest, rows: &[Option<Row>]) -> Vec<Condition> {
    request
        .keys
        .iter()
        .zip(rows)
        .map(|(key, row)| Condition {
            key: key.clone(),
            version: row.as_ref().map_or(0, |r| r.version),
        })
        .collect()
}

fn write(key: String, value: &impl serde::Serialize) -> Write {
    Write {
        key,
        value: Some(serde_json::to_value(value).expect("rows serialise to JSON")),
        keep_s: None,
    }
}

/// Returns the writes that accept a ticket as the `sequence`th one.
fn writes(ticket: &Ticket, sequence: u64, time_ms: u64) -> Result<Vec<Write>, PlanError> {
    let objects = changed_objects(ticket)?;
    let change = ChangeRow {
        sequence,
        number: ticket.number,
        keys: objects.iter().map(ObjectRow::key).collect(),
    };
    let row = TicketRow {
        ticket: ticket.clone(),
        digest: digest(ticket),
        sequence,
        time_ms,
    };
    let audit = AuditRow::ticket(
        ticket,
        &change.keys,
        time_ms,
        Outcome::Accepted,
        String::new(),
    );
    let mut writes = vec![
        write(keys::HEAD.to_owned(), &HeadRow { sequence }),
        write(keys::change(sequence), &change),
        write(keys::ticket(ticket.number), &row),
        audit.write(),
    ];
    for object in objects {
        let key = object.key();
        let versioned = VersionedRow {
            version: ticket.number,
            author: ticket.author.clone(),
            object,
        };
        writes.push(write(key, &versioned));
    }
    Ok(writes)
}
