//! Keys of the rows that hibiscusrail keeps in the platform's table.

/// Prefix of the rows of configuration objects.
pub const CONFIG_PREFIX: &str = "config/";

/// Returns the key of a configuration object's row.
#[must_use]
pub fn config(kind: &str, name: &str) -> String {
    format!("{CONFIG_PREFIX}{kind}/{name}")
}
