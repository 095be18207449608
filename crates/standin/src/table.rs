//! The platform's table: versioned rows with optional expiry, readable as of a past time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_store::table::{
    ReadAnswer, ReadRequest, Row, ScanAnswer, ScanRequest, TransactAnswer, TransactRequest, Write,
};

/// How far back in time a read can go.
const HISTORY_RETENTION: Duration = Duration::from_secs(30);

/// A row and the time at which it expires, if any.
#[derive(Debug, Clone)]
struct StoredRow {
    row: Row,
    expiry: Option<Instant>,
}

/// A past write and the row that it replaced, if any.
#[derive(Debug)]
struct PastWrite {
    at: Instant,
    key: String,
    previous: Option<StoredRow>,
}

/// A transactional table of rows, with the history of its writes.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, StoredRow>,
    /// Recent writes, oldest first.
    history: Vec<PastWrite>,
}

impl Table {
    /// Reads rows as of `at`.
    #[must_use]
    pub fn read(&self, request: &ReadRequest, at: Instant) -> ReadAnswer {
        let rows = request.keys.iter().map(|key| self.row_at(key, at));
        ReadAnswer {
            rows: rows.collect(),
        }
    }

    fn row_at(&self, key: &str, at: Instant) -> Option<Row> {
        let write = self.history.iter().find(|w| w.at > at && w.key == key);
        let stored = match write {
            Some(write) => write.previous.as_ref(),
            None => self.rows.get(key),
        };
        stored.filter(|s| s.is_live(at)).map(|s| s.row.clone())
    }

    /// Scans rows as of `at`.
    #[must_use]
    pub fn scan(&self, request: &ScanRequest, at: Instant) -> ScanAnswer {
        if self.history.last().is_some_and(|w| w.at > at) {
            return self.as_of(at).scan(request, at);
        }
        let start = request.prefix.as_str().max(request.after.as_str());
        let mut found: Vec<Row> = self
            .rows
            .range(start.to_owned()..)
            .take_while(|(key, _)| key.starts_with(&request.prefix))
            .filter(|(key, stored)| **key > request.after && stored.is_live(at))
            .take(request.limit + 1)
            .map(|(_, stored)| stored.row.clone())
            .collect();
        let more = found.len() > request.limit;
        found.truncate(request.limit);
        ScanAnswer { rows: found, more }
    }

    /// Returns the table as of `at`, without history.
    fn as_of(&self, at: Instant) -> Self {
        let mut rows = self.rows.clone();
        for write in self.history.iter().rev().take_while(|w| w.at > at) {
            match &write.previous {
                Some(stored) => rows.insert(write.key.clone(), stored.clone()),
                None => rows.remove(&write.key),
            };
        }
        Self {
            rows,
            history: Vec::new(),
        }
    }

    /// Runs a transaction: applies all of its writes if all of its conditions hold, else none.
    pub fn transact(&mut self, request: &TransactRequest, now: Instant) -> TransactAnswer {
        self.drop_expired(now);
        let mut failed = false;
        let mut conflicts = Vec::new();
        for condition in &request.conditions {
            let stored = self.rows.get(&condition.key);
            if stored.map_or(0, |s| s.row.version) != condition.version {
                failed = true;
                conflicts.extend(stored.map(|s| s.row.clone()));
            }
        }
        if !failed {
            for write in &request.writes {
                self.write(write, now);
            }
        }
        TransactAnswer {
            committed: !failed,
            conflicts,
        }
    }

    fn write(&mut self, write: &Write, now: Instant) {
        let previous = self.rows.remove(&write.key);
        if let Some(value) = write.value.clone() {
            let row = Row {
                key: write.key.clone(),
                version: previous.as_ref().map_or(0, |s| s.row.version) + 1,
                value,
            };
            let expiry = write.keep_s.map(|s| now + Duration::from_secs(s));
            self.rows
                .insert(write.key.clone(), StoredRow { row, expiry });
        }
        self.history.push(PastWrite {
            at: now,
            key: write.key.clone(),
            previous,
        });
    }

    /// Drops expired rows, and history that reads can no longer reach.
    fn drop_expired(&mut self, now: Instant) {
        self.rows.retain(|_, stored| stored.is_live(now));
        let old = self
            .history
            .partition_point(|w| w.at + HISTORY_RETENTION < now);
        self.history.drain(..old);
    }
}

impl StoredRow {
    fn is_live(&self, at: Instant) -> bool {
        self.expiry.is_none_or(|expiry| expiry > at)
    }
}
