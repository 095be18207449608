//! The platform's table with its claims, as data.

use std::collections::BTreeMap;

use hibiscusrail_core::claim::{Answer, Request, Row, Versioned};

/// The claims' rows.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Versioned>,
    before: BTreeMap<String, Versioned>,
    writes: u64,
}

impl Table {
    /// Returns how many writes were committed.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns the row of a key.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key).map(|v| &v.row)
    }

    /// Carries out a call; a read sees the row as it was before its last write.
    pub fn call_stale(&mut self, request: &Request) -> Answer {
        match request {
            Request::Read(key) => Answer::Found(self.before.get(&key.name).cloned()),
            Request::Write { .. } => self.call(request),
        }
    }

    /// Carries out a call.
    pub fn call(&mut self, request: &Request) -> Answer {
        match request {
            Request::Read(key) => Answer::Found(self.rows.get(&key.name).cloned()),
            Request::Write { key, version, row } => {
                let found = self.rows.get(&key.name);
                if found.map_or(0, |v| v.version) != *version {
                    return Answer::Conflict(found.cloned());
                }
                self.writes += 1;
                let written = Versioned {
                    version: version + 1,
                    row: row.clone(),
                };
                if let Some(old) = self.rows.insert(key.name.clone(), written) {
                    self.before.insert(key.name.clone(), old);
                }
                Answer::Written
            }
        }
    }
}
