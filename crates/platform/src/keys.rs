//! Keys of the rows that hibiscusrail keeps in the platform's table.

use hibiscusrail_core::WorkspaceId;

/// Prefix of the rows of configuration objects.
pub const CONFIG_PREFIX: &str = "config/";

/// Returns the key of a configuration object's row.
#[must_use]
pub fn config(kind: &str, name: &str) -> String {
    format!("{CONFIG_PREFIX}{kind}/{name}")
}

/// Prefix of the rows of execution claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// Returns the key of the row that claims an idempotency key.
#[must_use]
pub fn claim(workspace: WorkspaceId, name: &str) -> String {
    format!("{CLAIM_PREFIX}{workspace}/{name}")
}
