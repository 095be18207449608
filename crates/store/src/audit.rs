//! The audit trail: one row per ticket decision and per start and end of a graceful
//! stop, never changed once written.

use std::fmt;

use hibiscusrail_macros::{id, record};
use serde::{Deserialize, Serialize};

use crate::keys;
use crate::table::Write;
use crate::ticket::Ticket;
use crate::ticket::transaction::object_label;

/// Kind of action that a row records.
#[id]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Submission of a change ticket.
    Ticket,
    /// Graceful stop of a router.
    Drain,
}

/// Outcome of a ticket's decision or state of a graceful stop.
#[id]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The ticket was accepted and written to the table.
    Accepted,
    /// The ticket was rejected; nothing was changed.
    Rejected,
    /// The graceful stop has started.
    Started,
    /// The graceful stop ended after all running requests had finished.
    Done,
    /// The graceful stop reached its deadline and cancelled running requests.
    Cut,
}

/// A row of the audit trail.
#[record]
#[derive(Serialize, Deserialize)]
pub struct AuditRow {
    /// Time of the action in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Kind of action.
    pub action: Action,
    /// Author of the ticket, or source of the request to stop.
    pub author: String,
    /// Number of the ticket; `None` for other actions.
    pub number: Option<u64>,
    /// The objects concerned, each written as `kind/name`.
    pub objects: Vec<String>,
    /// Outcome of the action.
    pub outcome: Outcome,
    /// Why the ticket was rejected, or which work was cancelled.
    pub reason: String,
    /// The author's note on the ticket.
    pub note: String,
}

impl AuditRow {
    /// Creates the row for the decision on a ticket that changes the rows under `keys`.
    #[must_use]
    pub fn ticket(
        ticket: &Ticket,
        keys: &[String],
        time_ms: u64,
        outcome: Outcome,
        reason: String,
    ) -> Self {
        Self {
            time_ms,
            action: Action::Ticket,
            author: ticket.author.clone(),
            number: Some(ticket.number),
            objects: keys.iter().map(|k| object_label(k).to_owned()).collect(),
            outcome,
            reason,
            note: ticket.note.clone(),
        }
    }

    /// Creates a row for a router's graceful stop.
    #[must_use]
    pub fn drain(router: &str, author: &str, time_ms: u64, outcome: Outcome) -> Self {
        Self {
            time_ms,
            action: Action::Drain,
            author: author.to_owned(),
            number: None,
            objects: vec![format!("router/{router}")],
            outcome,
            reason: String::new(),
            note: String::new(),
        }
    }

    /// Returns the table write that adds the row.
    ///
    /// # Panics
    ///
    /// Never: rows serialise to JSON.
    #[must_use]
    pub fn write(&self) -> Write {
        let number = self.number.unwrap_or_default();
        let object = self.objects.first().map_or("", String::as_str);
        let source = format!("{}/{number:020}/{:?}/{object}", self.author, self.outcome);
        Write {
            key: keys::audit(self.time_ms, &source),
            value: Some(serde_json::to_value(self).expect("rows serialise to JSON")),
            keep_s: None,
        }
    }
}

impl fmt::Display for AuditRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = self
            .number
            .map_or_else(|| "-".to_owned(), |n| n.to_string());
        let objects = self.objects.join(",");
        write!(
            f,
            "time_ms={} action={:?} number={number} author={} outcome={:?} objects={objects}",
            self.time_ms, self.action, self.author, self.outcome
        )?;
        if !self.reason.is_empty() {
            write!(f, " reason={:?}", self.reason)?;
        }
        if !self.note.is_empty() {
            write!(f, " note={:?}", self.note)?;
        }
        Ok(())
    }
}

/// Selects rows of the audit trail; a condition that is `None` matches every row.
#[record]
#[derive(Default)]
pub struct Filter {
    /// Only rows about this object, written as `kind/name`.
    pub object: Option<String>,
    /// Only rows of this author.
    pub author: Option<String>,
    /// Only tickets above this number.
    pub after: Option<u64>,
    /// Only tickets below this number.
    pub before: Option<u64>,
}

impl Filter {
    /// Returns whether a row meets all conditions.
    #[must_use]
    pub fn matches(&self, row: &AuditRow) -> bool {
        let object = self.object.as_ref().is_none_or(|o| row.objects.contains(o));
        let author = self.author.as_ref().is_none_or(|a| row.author == *a);
        let after = self.after.is_none_or(|n| row.number.is_some_and(|r| r > n));
        let before = self
            .before
            .is_none_or(|n| row.number.is_some_and(|r| r < n));
        object && author && after && before
    }
}
