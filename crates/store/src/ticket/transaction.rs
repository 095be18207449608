//! Decides on a ticket from rows of the table, and makes its transaction.
//!
//! All tickets change the head row, so the table orders them: of two that are
//! sent at the same time one commits, and the other has to be decided anew.

use hibiscusrail_core::configuration::Version;
use hibiscusrail_core::ticket::{Accepted, Conflict, Decision, Standing, decide};
use hibiscusrail_macros::record;
use snafu::{ResultExt, Snafu};

use super::{ChangeRow, HeadRow, Ticket, TicketRow, digest, objects};
use crate::audit::{AuditRow, Outcome};
use crate::keys;
use crate::object::{ObjectRow, VersionedRow};
use crate::table::{Condition, ReadRequest, Row, TransactRequest, Write};

/// Why a ticket can't be decided.
#[derive(Debug, Snafu)]
pub enum PlanError {
    /// A row of the table does not have the expected form.
    #[snafu(display("row {key} is malformed: {source}"))]
    Malformed {
        /// Key of the row.
        key: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The ticket was not checked.
    #[snafu(display("ticket {number} has a malformed address"))]
    Unchecked {
        /// Number of the ticket.
        number: u64,
    },
    /// The answer lacks rows that were asked for.
    #[snafu(display("{found} rows instead of {wanted}"))]
    Rows {
        /// Rows found.
        found: usize,
        /// Rows asked for.
        wanted: usize,
    },
}

/// What to do with a ticket.
#[record]
pub enum Plan {
    /// Send this transaction.
    Write(Box<TransactRequest>),
    /// The ticket was accepted before.
    Already,
    /// The ticket is rejected.
    Reject(Conflict),
}

/// Returns the object of a configuration row's key, written as kind and name.
#[must_use]
pub fn object_of(key: &str) -> &str {
    key.strip_prefix(keys::CONFIG_PREFIX).unwrap_or(key)
}

fn touched(ticket: &Ticket) -> Result<Vec<ObjectRow>, PlanError> {
    objects(ticket).ok_or(PlanError::Unchecked {
        number: ticket.number,
    })
}

/// Returns the question for the rows that a ticket is decided by.
///
/// # Errors
///
/// Fails when the ticket was not checked.
pub fn reads(ticket: &Ticket) -> Result<ReadRequest, PlanError> {
    let mut keys = vec![keys::HEAD.to_owned(), keys::ticket(ticket.number)];
    keys.extend(touched(ticket)?.iter().map(ObjectRow::key));
    Ok(ReadRequest { keys })
}

fn read_row<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, PlanError> {
    serde_json::from_value(row.value.clone()).context(MalformedSnafu { key: &row.key })
}

fn standing(row: &Row) -> Result<Standing, PlanError> {
    let versioned: VersionedRow = read_row(row)?;
    Ok(Standing {
        object: object_of(&row.key).to_owned(),
        version: Version(versioned.version),
        author: versioned.author,
    })
}

fn accepted(row: &Row) -> Result<Accepted, PlanError> {
    let old: TicketRow = read_row(row)?;
    Ok(Accepted {
        number: Version(old.ticket.number),
        author: old.ticket.author,
        digest: old.digest,
    })
}

/// Decides on a ticket from the rows asked for by [`reads`].
///
/// # Errors
///
/// Fails when a row is missing or malformed.
pub fn plan(ticket: &Ticket, rows: &[Option<Row>], time_ms: u64) -> Result<Plan, PlanError> {
    let question = reads(ticket)?;
    let wanted = question.keys.len();
    let [head, same, objects @ ..] = rows else {
        return RowsSnafu {
            found: rows.len(),
            wanted,
        }
        .fail();
    };
    if rows.len() != wanted {
        return RowsSnafu {
            found: rows.len(),
            wanted,
        }
        .fail();
    }
    let same = same.as_ref().map(accepted).transpose()?;
    let standings: Vec<Standing> = objects
        .iter()
        .flatten()
        .map(standing)
        .collect::<Result<_, _>>()?;
    let number = Version(ticket.number);
    match decide(number, &digest(ticket), same.as_ref(), &standings) {
        Decision::Already => Ok(Plan::Already),
        Decision::Reject(conflict) => Ok(Plan::Reject(conflict)),
        Decision::Write => {
            let head: HeadRow = head.as_ref().map(read_row).transpose()?.unwrap_or_default();
            let conditions = conditions(&question, rows);
            let writes = writes(ticket, head.sequence + 1, time_ms)?;
            Ok(Plan::Write(Box::new(TransactRequest {
                conditions,
                writes,
            })))
        }
    }
}

/// Returns the conditions that nothing which was read has changed.
fn conditions(question: &ReadRequest, rows: &[Option<Row>]) -> Vec<Condition> {
    question
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

fn writes(ticket: &Ticket, sequence: u64, time_ms: u64) -> Result<Vec<Write>, PlanError> {
    let objects = touched(ticket)?;
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
