//! Keys of the rows that hibiscusrail stores in the platform's table.

use hibiscusrail_core::WorkspaceId;

/// Prefix of the rows of configuration objects.
pub const CONFIG_PREFIX: &str = "config/";
/// Key of the row with the number of accepted tickets.
pub const HEAD: &str = "head";
/// Prefix of the rows that list the keys changed by each accepted ticket.
pub const CHANGE_PREFIX: &str = "change/";
/// Prefix of the rows of accepted tickets.
pub const TICKET_PREFIX: &str = "ticket/";
/// Prefix of the rows of the audit trail.
pub const AUDIT_PREFIX: &str = "audit/";

/// Returns the key of a configuration object's row.
#[must_use]
pub fn config(kind: &str, name: &str) -> String {
    format!("{CONFIG_PREFIX}{kind}/{name}")
}

/// Returns the key of the row that lists the changes of the `sequence`th accepted ticket.
#[must_use]
pub fn change(sequence: u64) -> String {
    format!("{CHANGE_PREFIX}{sequence:020}")
}

/// Returns the key of the row of the accepted ticket with this number.
#[must_use]
pub fn ticket(number: u64) -> String {
    format!("{TICKET_PREFIX}{number:020}")
}

/// Returns the key of a row of the audit trail.
///
/// `time_ms` is in milliseconds since the Unix epoch; `source` distinguishes rows
/// that are written within the same millisecond.
#[must_use]
pub fn audit(time_ms: u64, source: &str) -> String {
    format!("{AUDIT_PREFIX}{time_ms:016}/{source}")
}

/// Prefix of the rows of execution claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// Returns the key of the row that holds the claim on an idempotency key.
#[must_use]
pub fn claim(workspace: WorkspaceId, name: &str) -> String {
    format!("{CLAIM_PREFIX}{workspace}/{name}")
}
