//! In-memory model of the platform's table that stores claims.

use std::collections::BTreeMap;

use hibiscusrail_core::claim::{Row, TableAnswer, TableRequest, Versioned};

/// Claim rows with their versions.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Versioned>,
    /// Rows before their last write, for stale reads.
    previous: BTreeMap<String, Versioned>,
    writes: u64,
}

impl Table {
    /// Returns the number of committed writes.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns the row of a key, if there is one.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key).map(|v| &v.row)
    }

    /// Executes a request; a read returns the row before its last write.
    pub fn execute_stale(&mut self, request: &TableRequest) -> TableAnswer {
        match request {
            TableRequest::Read(key) => TableAnswer::Found(self.previous.get(&key.name).cloned()),
            TableRequest::Write { .. } => self.execute(request),
        }
    }

    /// Executes a request; a write succeeds only at the row's current version.
    pub fn execute(&mut self, request: &TableRequest) -> TableAnswer {
        match request {
            TableRequest::Read(key) => TableAnswer::Found(self.rows.get(&key.name).cloned()),
            TableRequest::Write { key, version, row } => {
                let found = self.rows.get(&key.name);
                if found.map_or(0, |v| v.version) != *version {
                    return TableAnswer::Conflict(found.cloned());
                }
                self.writes += 1;
                let written = Versioned {
                    version: version + 1,
                    row: row.clone(),
                };
                if let Some(old) = self.rows.insert(key.name.clone(), written) {
                    self.previous.insert(key.name.clone(), old);
                }
                TableAnswer::Written
            }
        }
    }
}
