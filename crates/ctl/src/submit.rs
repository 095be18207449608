//! Brings a ticket to its decision.
//!
//! A transaction whose answer is lost is never sent again blindly: the number
//! is read back first, and its digest says whether the ticket was accepted.
//! Only when the number is still free is the ticket decided anew, and that
//! transaction is conditional on the number's still being free.

use std::time::Duration;

use hibiscusrail_core::ticket::Conflict;
use hibiscusrail_core::{Clock, SystemClock};
use hibiscusrail_macros::record;
use hibiscusrail_store::audit::{AuditRow, Outcome};
use hibiscusrail_store::table::TransactRequest;
use hibiscusrail_store::ticket::{Plan, Ticket, plan, reads};
use serde::Serialize;

use crate::error::CtlError;
use crate::table::Table;

/// Times a ticket is decided anew after another was accepted in between, or an answer was lost.
const TRIES: u32 = 20;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);

/// What became of a ticket.
#[record]
#[derive(Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Decided {
    /// All of it is in force as soon as routers have read it.
    Accepted {
        /// Number of the ticket.
        number: u64,
        /// Whether it had been accepted before this submission.
        before: bool,
    },
    /// Nothing was changed.
    Rejected {
        /// Number of the ticket.
        number: u64,
        /// Object that stands in its way; none when the number is taken.
        object: Option<String>,
        /// Number of the ticket that won.
        winner: u64,
        /// Author of the ticket that won.
        author: String,
    },
    /// The table can't be reached; the ticket may or may not have been accepted.
    Unknown {
        /// Number of the ticket.
        number: u64,
        /// What went wrong last.
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

/// Decides on a ticket from what the table holds now, without writing.
///
/// # Errors
///
/// Fails when the table can't be read.
pub async fn decide(table: &Table, ticket: &Ticket) -> Result<Plan, CtlError> {
    let question = reads(ticket).map_err(|source| CtlError::Plan { source })?;
    let rows = table.read(&question).await?;
    plan(ticket, &rows, SystemClock.epoch_ms()).map_err(|source| CtlError::Plan { source })
}

/// Submits a ticket and says what became of it.
///
/// # Errors
///
/// Fails when the table can't be reached before anything was sent.
pub async fn submit(table: &Table, ticket: &Ticket) -> Result<Decided, CtlError> {
    let number = ticket.number;
    let mut sent = false;
    let mut last = String::new();
    for _ in 0..TRIES {
        match decide(table, ticket).await {
            Ok(Plan::Already) => {
                return Ok(Decided::Accepted {
                    number,
                    before: !sent,
                });
            }
            Ok(Plan::Reject(conflict)) => return reject(table, ticket, conflict).await,
            Ok(Plan::Write(transaction)) => {
                sent = true;
                match table.transact(&transaction).await {
                    Ok(answer) if answer.committed => {
                        return Ok(Decided::Accepted {
                            number,
                            before: false,
                        });
                    }
                    Ok(_) => continue,
                    Err(error) => last = error.to_string(),
                }
            }
            Err(error) if !sent => return Err(error),
            Err(error) => last = error.to_string(),
        }
        compio::time::sleep(PAUSE).await;
    }
    Ok(Decided::Unknown {
        number,
        error: last,
    })
}

/// Puts a rejection into the audit trail and reports it.
async fn reject(table: &Table, ticket: &Ticket, conflict: Conflict) -> Result<Decided, CtlError> {
    let number = ticket.number;
    let decided = match conflict {
        Conflict::Object(standing) => Decided::Rejected {
            number,
            object: Some(standing.object),
            winner: standing.version.0,
            author: standing.author,
        },
        Conflict::Number(accepted) => Decided::Rejected {
            number,
            object: None,
            winner: accepted.number.0,
            author: accepted.author,
        },
    };
    let question = reads(ticket).map_err(|source| CtlError::Plan { source })?;
    // The first two keys are those of the head and the ticket itself.
    let touched = question.keys.get(2..).unwrap_or_default();
    let time_ms = SystemClock.epoch_ms();
    let row = AuditRow::ticket(
        ticket,
        touched,
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
