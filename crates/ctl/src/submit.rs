//! Submission of a ticket to the table.
//!
//! A transaction without an answer may have been committed, so it is never just sent again. The
//! row under the ticket's number is read first; its digest tells whether this ticket was
//! accepted. If the number is unused, the ticket is decided again, and the new transaction
//! commits only if the number is still unused.

use std::time::Duration;

use hibiscusrail_core::ticket::Conflict;
use hibiscusrail_core::{Clock, SystemClock};
use hibiscusrail_macros::record;
use hibiscusrail_store::audit::{AuditRow, Outcome};
use hibiscusrail_store::table::TransactRequest;
use hibiscusrail_store::ticket::{Plan, Ticket, plan, read_request};
use serde::Serialize;

use crate::error::CtlError;
use crate::table::Table;

/// Maximum number of times a ticket is decided. It is decided again when another ticket was
/// accepted in the meantime or a call to the table failed.
const MAX_ATTEMPTS: u32 = 20;
/// Delay before the next attempt when a call to the table failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Outcome of the submission of a ticket.
#[record]
#[derive(Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Decided {
    /// The ticket was accepted; routers apply it once they have read it.
    Accepted {
        /// Number of the ticket.
        number: u64,
        /// Whether the ticket was already accepted before this submission.
        before: bool,
    },
    /// The ticket was rejected and changed nothing.
    Rejected {
        /// Number of the ticket.
        number: u64,
        /// Object that already has an equal or higher version; `None` if the number was used
        /// for another ticket.
        object: Option<String>,
        /// Number of the conflicting ticket.
        winner: u64,
        /// Author of the conflicting ticket.
        author: String,
    },
    /// Calls to the table failed; the ticket may or may not have been accepted.
    Unknown {
        /// Number of the ticket.
        number: u64,
        /// Error of the last failed call.
        error: String,
    },
}

impl std::fmt::Display for Decided {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Accepted { number, before } => {
                write!(f, "ticket {number}: accepted")?;
                if *before {
                    write!(f, " before")?;
                }
                Ok(())
            }
            Self::Rejected {
                number,
                object: Some(object),
                winner,
                author,
            } => write!(
                f,
                "ticket {number}: rejected: {object} stands at ticket {winner} of {author}"
            ),
            Self::Rejected { number, author, .. } => {
                write!(
                    f,
                    "ticket {number}: rejected: the number was used by {author}"
                )
            }
            Self::Unknown { number, error } => write!(
                f,
                "ticket {number}: outcome unknown, ask again with `ticket show {number}`: {error}"
            ),
        }
    }
}

/// Decides on a ticket by the current content of the table, without writing.
///
/// # Errors
///
/// Fails when the table can't be read or a row is malformed.
pub async fn decide(table: &Table, ticket: &Ticket) -> Result<Plan, CtlError> {
    let request = read_request(ticket).map_err(|source| CtlError::Plan { source })?;
    let rows = table.read(&request).await?;
    plan(ticket, &rows, SystemClock.epoch_ms()).map_err(|source| CtlError::Plan { source })
}

/// Submits a ticket and returns the outcome.
///
/// # Errors
///
/// Fails when [`decide`] fails before any transaction was sent, and when a rejection can't be
/// recorded in the audit trail.
pub async fn submit(table: &Table, ticket: &Ticket) -> Result<Decided, CtlError> {
    let number = ticket.number;
    let mut sent = false;
    let mut last_error = String::new();
    for _ in 0..MAX_ATTEMPTS {
        match decide(table, ticket).await {
            Ok(Plan::AlreadyAccepted) => {
                return Ok(Decided::Accepted {
                    number,
                    before: !sent,
                });
            }
            Ok(Plan::Reject(conflict)) => return reject(table, ticket, conflict).await,
            Ok(Plan::Accept(transaction)) => {
                sent = true;
                match table.transact(&transaction).await {
                    Ok(answer) if answer.committed => {
                        return Ok(Decided::Accepted {
                            number,
                            before: false,
                        });
                    }
                    Ok(_) => continue,
                    Err(error) => last_error = error.to_string(),
                }
            }
            Err(error) if !sent => return Err(error),
            Err(error) => last_error = error.to_string(),
        }
        compio::time::sleep(RETRY_DELAY).await;
    }
    Ok(Decided::Unknown {
        number,
        error: last_error,
    })
}

/// Records a rejection in the audit trail and returns it as the outcome.
async fn reject(table: &Table, ticket: &Ticket, conflict: Conflict) -> Result<Decided, CtlError> {
    let number = ticket.number;
    let decided = match conflict {
        Conflict::Object(current) => Decided::Rejected {
            number,
            object: Some(current.object),
            winner: current.version.0,
            author: current.author,
        },
        Conflict::Number(accepted) => Decided::Rejected {
            number,
            object: None,
            winner: accepted.number.0,
            author: accepted.author,
        },
    };
    let request = read_request(ticket).map_err(|source| CtlError::Plan { source })?;
    // The first two keys are those of the head and the ticket; the others are its objects.
    let object_keys = request.keys.get(2..).unwrap_or_default();
    let time_ms = SystemClock.epoch_ms();
    let row = AuditRow::ticket(
        ticket,
        object_keys,
        time_ms,
        Outcome::Rejected,
        decided.to_string(),
    );
    let transaction = TransactRequest {
        conditions: Vec::new(),
        writes: vec![row.write()],
    };
    table.transact(&transaction).await?;
    Ok(decided)
}
