//! The platform's table: rows with versions, retention and a look back in time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_store::table::{
    ReadAnswer, ReadRequest, Row, ScanAnswer, ScanRequest, TransactAnswer, TransactRequest, Write,
};

/// How far back a stale read can look.
const HISTORY: Duration = Duration::from_secs(30);

/// A row and when it may be dropped.
#[derive(Debug, Clone)]
struct Stored {
    row: Row,
    expiry: Option<Instant>,
}

/// What a row was before a write.
#[derive(Debug)]
struct Change {
    at: Instant,
    key: String,
    before: Option<Stored>,
}

/// The rows of the table.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Stored>,
    changes: Vec<Change>,
}

impl Table {
    /// Answers a read of the table as it was at `at`.
    #[must_use]
    pub fn read(&self, question: &ReadRequest, at: Instant) -> ReadAnswer {
        let rows = question.keys.iter().map(|key| self.row_at(key, at));
        ReadAnswer {
            rows: rows.collect(),
        }
    }

    fn row_at(&self, key: &str, at: Instant) -> Option<Row> {
        let change = self.changes.iter().find(|c| c.at > at && c.key == key);
        let stored = match change {
            Some(change) => change.before.as_ref(),
            None => self.rows.get(key),
        };
        stored.filter(|s| s.is_kept(at)).map(|s| s.row.clone())
    }

    /// Answers a scan of the table as it was at `at`.
    #[must_use]
    pub fn scan(&self, question: &ScanRequest, at: Instant) -> ScanAnswer {
        if self.changes.last().is_some_and(|c| c.at > at) {
            return self.as_of(at).scan(question, at);
        }
        let start = question.prefix.as_str().max(question.after.as_str());
        let mut found: Vec<Row> = self
            .rows
            .range(start.to_owned()..)
            .take_while(|(key, _)| key.starts_with(&question.prefix))
            .filter(|(key, stored)| **key > question.after && stored.is_kept(at))
            .take(question.limit + 1)
            .map(|(_, stored)| stored.row.clone())
            .collect();
        let more = found.len() > question.limit;
        found.truncate(question.limit);
        ScanAnswer { rows: found, more }
    }

    /// Returns the table as it was.
    fn as_of(&self, at: Instant) -> Self {
        let mut rows = self.rows.clone();
        for change in self.changes.iter().rev().take_while(|c| c.at > at) {
            match &change.before {
                Some(stored) => rows.insert(change.key.clone(), stored.clone()),
                None => rows.remove(&change.key),
            };
        }
        Self {
            rows,
            changes: Vec::new(),
        }
    }

    /// Carries out a transaction: all of its writes, or none.
    pub fn transact(&mut self, question: &TransactRequest, now: Instant) -> TransactAnswer {
        self.drop_expired(now);
        let mut failed = false;
        let mut conflicts = Vec::new();
        for condition in &question.conditions {
            let stored = self.rows.get(&condition.key);
            if stored.map_or(0, |s| s.row.version) != condition.version {
                failed = true;
                conflicts.extend(stored.map(|s| s.row.clone()));
            }
        }
        if !failed {
            for write in &question.writes {
                self.write(write, now);
            }
        }
        TransactAnswer {
            committed: !failed,
            conflicts,
        }
    }

    fn write(&mut self, write: &Write, now: Instant) {
        let before = self.rows.remove(&write.key);
        if let Some(value) = write.value.clone() {
            let row = Row {
                key: write.key.clone(),
                version: before.as_ref().map_or(0, |s| s.row.version) + 1,
                value,
            };
            let expiry = write.keep_s.map(|s| now + Duration::from_secs(s));
            self.rows.insert(write.key.clone(), Stored { row, expiry });
        }
        self.changes.push(Change {
            at: now,
            key: write.key.clone(),
            before,
        });
    }

    fn drop_expired(&mut self, now: Instant) {
        self.rows.retain(|_, stored| stored.is_kept(now));
        let old = self.changes.partition_point(|c| c.at + HISTORY < now);
        self.changes.drain(..old);
    }
}

impl Stored {
    fn is_kept(&self, at: Instant) -> bool {
        self.expiry.is_none_or(|expiry| expiry > at)
    }
}
