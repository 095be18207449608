//! Which software version streams without a record have.
//!
//! While several versions of a service may have streams, each router writes a table to the store that
//! assigns every stream a version, by the id of its request. A stream of the assigned version may
//! begin without a record; any other is recorded before its caller gets an event. So the tables tell
//! the version of a stream that has no record, as long as all routers assign it the same one, and no
//! router has to remember the stream. While the store confirms no records, new streams begin at
//! their assigned versions alone.
//!
//! Invariant: the row that the store has, or may yet get from a write in doubt, has a table that assigns
//! every unrecorded stream of its process the version that began it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::placement::name_hash;

/// Age from which a row counts no more; its router died long ago, or has been cut off from the
/// store for that long.
const MAX_ROW_AGE: Duration = Duration::from_secs(600);
/// Age from which a router writes its row again.
const REFRESH_AGE: Duration = Duration::from_secs(300);
/// Number of shards of all streams that a table assigns; few, so that the routers' tables seldom change
/// and seldom differ.
const SHARDS: usize = 8;
/// Greatest difference, in shards, between a version's share of the servers and of the table.
const MAX_DRIFT: f64 = 0.65;
/// The same while streams of the time before the start may be taken up: they have no version where the
/// tables of before and after the start differ.
const MAX_EARLY_DRIFT: f64 = 2.0;
/// Time without a failed call after which the store confirms records in time again.
const STEADY_TIME: Duration = Duration::from_secs(2);

/// Part of all streams, by the hash of the id of the request that begins each.
#[hibiscusrail_macros::id]
#[derive(Default)]
pub struct Shard(usize);

impl Shard {
    /// Returns the shard of the stream that a request begins.
    #[must_use]
    pub fn of(request: &str) -> Self {
        // Fibonacci hashing; the weights of a route use the low bits.
        let mixed = name_hash(request).wrapping_mul(0x9e37_79b1);
        Self((mixed >> 16) as usize % SHARDS)
    }
}

/// The version of each shard of the streams.
#[hibiscusrail_macros::record]
#[derive(Serialize, Deserialize, Eq, PartialOrd, Ord)]
#[serde(transparent)]
pub struct Table(Vec<String>);

impl Table {
    /// Creates a table with one version.
    #[must_use]
    pub fn new(version: &str) -> Self {
        Self(vec![version.to_owned(); SHARDS])
    }

    /// Creates a table in which versions have shards as they have servers.
    #[must_use]
    pub fn with_shares(servers: &BTreeMap<String, usize>) -> Self {
        let total: usize = servers.values().sum();
        let mut shards = Vec::new();
        let mut before = 0;
        for (version, count) in servers {
            before += count;
            // The bounds between versions are rounded, so that the numbers add up.
            let end = (before * SHARDS * 2 + total) / (total * 2).max(1);
            shards.resize(end.max(shards.len()), version.clone());
        }
        Self(shards)
    }

    /// Returns the version that a shard is assigned.
    #[must_use]
    pub fn version(&self, shard: Shard) -> Option<&str> {
        self.0.get(shard.0).map(String::as_str)
    }

    fn with_shard(mut self, shard: Shard, version: &str) -> Self {
        if let Some(assigned) = self.0.get_mut(shard.0) {
            version.clone_into(assigned);
        }
        self
    }

    /// Returns whether every version's share of the table is near to that of the servers.
    #[allow(clippy::cast_precision_loss)]
    fn fits(&self, servers: &BTreeMap<String, usize>, max_drift: f64) -> bool {
        let total: usize = servers.values().sum();
        let has_servers = |v: &String| servers.get(v).is_some_and(|count| *count > 0);
        self.0.iter().all(has_servers)
            && servers.iter().all(|(version, count)| {
                let shards = self.0.iter().filter(|v| *v == version).count() as f64;
                let share = *count as f64 * SHARDS as f64 / total.max(1) as f64;
                (shards - share).abs() <= max_drift
            })
    }
}

/// Tables by the name of the service.
pub type Tables = BTreeMap<String, BTreeSet<Table>>;

/// Row of the store with the tables by which one process may have begun streams without a record.
#[hibiscusrail_macros::record]
#[derive(Serialize, Deserialize)]
pub struct UnrecordedRow {
    /// Name of the router.
    pub router: String,
    /// When the process started, in milliseconds since the Unix epoch.
    pub started: u64,
    /// When the row was written, in milliseconds since the Unix epoch.
    pub written: u64,
    /// The tables of each service that has had several versions.
    pub tables: Tables,
}

impl UnrecordedRow {
    /// Returns whether the row may still tell of streams that are taken up.
    #[must_use]
    pub fn is_current(&self, epoch_ms: u64) -> bool {
        Duration::from_millis(epoch_ms.saturating_sub(self.written)) <= MAX_ROW_AGE
    }
}

/// Returns the version that all routers' tables assign a stream of a service; none if they differ, or a
/// row has no table of the service.
#[must_use]
pub fn assigned_version<'a>(
    epoch_ms: u64,
    rows: impl Iterator<Item = &'a UnrecordedRow>,
    service: &str,
    shard: Shard,
) -> Option<&'a str> {
    let mut assigned = None;
    for row in rows.filter(|r| r.is_current(epoch_ms)) {
        for table in row.tables.get(service)? {
            let version = table.version(shard)?;
            if assigned.is_some_and(|a| a != version) {
                return None;
            }
            assigned = Some(version);
        }
    }
    assigned
}

/// The table of a service.
#[derive(Debug)]
struct Chosen {
    /// Table in force, if the row allows it.
    table: Table,
    /// Table that replaces it once the row has it.
    next: Option<Table>,
}

impl Chosen {
    fn new(table: Table) -> Self {
        Self { table, next: None }
    }

    fn newest(&self) -> &Table {
        self.next.as_ref().unwrap_or(&self.table)
    }
}

/// Servers of each version of a service, and the versions of its streams without a record.
#[derive(Debug, Default)]
pub struct Usage {
    /// Number of servers that take new streams, by version.
    pub servers: BTreeMap<String, usize>,
    /// Shards and versions of unrecorded streams that this process began.
    pub begun: BTreeSet<(Shard, String)>,
    /// Versions of which an earlier process of this router may have begun streams.
    pub earlier: BTreeSet<String>,
    /// Whether streams from before the start of this process may be taken up.
    pub is_young: bool,
}

/// This router's tables and the row that tells of them.
#[derive(Debug, Default)]
pub struct Unrecorded {
    chosen: BTreeMap<String, Chosen>,
    /// Whether the rows of all routers were read.
    is_read: bool,
    /// Whether an earlier process of this router wrote a row.
    has_earlier: bool,
    /// Tables in the row that the store confirmed, and when that was written.
    stored: Option<(u64, Tables)>,
    /// Tables that the router's rows have for sure, whichever writes in doubt the store has made;
    /// without a service that no row names yet.
    allowed: Tables,
    /// Whether the store confirmed the last batch of records.
    is_confirmed: bool,
    /// When it last did not confirm one in time.
    failed_at: Option<Instant>,
}

impl Unrecorded {
    /// Returns whether the rows of all routers were read.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Returns whether an earlier process of this router wrote a row.
    #[must_use]
    pub fn has_earlier(&self) -> bool {
        self.has_earlier
    }

    /// Returns whether the store confirms records of streams in time.
    #[must_use]
    pub fn takes_records(&self, now: Instant) -> bool {
        let is_steady = |at: Instant| now.saturating_duration_since(at) >= STEADY_TIME;
        self.is_confirmed && self.failed_at.is_none_or(is_steady)
    }

    /// Records whether the store confirmed a batch of records in time; returns whether that differs from
    /// the last one.
    pub fn batch_ended(&mut self, now: Instant, is_confirmed: bool) -> bool {
        if !is_confirmed {
            self.failed_at = Some(now);
        }
        std::mem::replace(&mut self.is_confirmed, is_confirmed) != is_confirmed
    }

    /// Returns the table of a service by which streams may begin without a record; none if the row
    /// allows none.
    #[must_use]
    pub fn table(&self, service: &str) -> Option<&Table> {
        let allowed = self.allowed.get(service)?;
        let table = &self.chosen.get(service)?.table;
        allowed.contains(table).then_some(table)
    }

    /// Returns whether a stream has to be recorded before its caller gets an event; the service has
    /// several versions.
    #[must_use]
    pub fn must_record(&self, now: Instant, service: &str, shard: Shard, version: &str) -> bool {
        match self.table(service) {
            Some(table) => table.version(shard) != Some(version),
            // There may be a row of this router; without the store it serves on all the same.
            None => {
                self.takes_records(now) && (!self.is_read || self.allowed.contains_key(service))
            }
        }
    }

    /// Returns the tables, for a router that can't read the rows.
    #[must_use]
    pub fn tables(&self) -> BTreeMap<String, Table> {
        let services = self.chosen.keys();
        let tables = services.filter_map(|s| Some((s.clone(), self.table(s)?.clone())));
        tables.collect()
    }

    /// Takes over the tables of another router until the rows are read.
    pub fn inherit(&mut self, tables: &BTreeMap<String, Table>) {
        if self.is_read {
            return;
        }
        for (service, table) in tables {
            let tables = BTreeSet::from([table.clone()]);
            self.allowed.insert(service.clone(), tables);
            self.chosen
                .insert(service.clone(), Chosen::new(table.clone()));
        }
    }

    /// Applies the rows of all routers at the first time that they are read; `own` is the router's
    /// name.
    pub fn load(&mut self, epoch_ms: u64, rows: &[UnrecordedRow], own: &str) {
        if std::mem::replace(&mut self.is_read, true) {
            return;
        }
        let services: BTreeSet<&String> = rows.iter().flat_map(|r| r.tables.keys()).collect();
        for service in services {
            // Routers that start together choose the same one.
            if let Some(table) = most_frequent(epoch_ms, rows, service) {
                let chosen = Chosen::new(table.clone());
                self.chosen.insert(service.clone(), chosen);
            }
        }
        self.allowed.clear();
        let own = rows.iter().filter(|r| r.router == own);
        for row in own.filter(|r| r.is_current(epoch_ms)) {
            self.has_earlier = true;
            for (service, tables) in &row.tables {
                let allowed = self.allowed.entry(service.clone()).or_default();
                allowed.extend(tables.iter().cloned());
            }
        }
    }

    /// Chooses the table of a service, and returns the tables that the row has to have.
    fn choose(&mut self, service: &str, usage: &Usage) -> BTreeSet<Table> {
        let mut tables: BTreeSet<Table> = usage.earlier.iter().map(|v| Table::new(v)).collect();
        if !usage.servers.is_empty() {
            let by_servers = || Table::with_shares(&usage.servers);
            let chosen = self.chosen.entry(service.to_owned());
            let chosen = chosen.or_insert_with(|| Chosen::new(by_servers()));
            let max_drift = if usage.is_young {
                MAX_EARLY_DRIFT
            } else {
                MAX_DRIFT
            };
            if !chosen.newest().fits(&usage.servers, max_drift) {
                chosen.next = Some(by_servers()).filter(|next| *next != chosen.table);
            }
        }
        let Some(chosen) = self.chosen.get(service) else {
            return tables;
        };
        tables.insert(chosen.newest().clone());
        tables.insert(chosen.table.clone());
        for (shard, version) in &usage.begun {
            if !tables.iter().any(|t| t.version(*shard) == Some(version)) {
                tables.insert(chosen.newest().clone().with_shard(*shard, version));
            }
        }
        tables
    }

    /// Returns the row that the store lacks of the process of router `own` that started at the given
    /// time; none if it has all that is needed.
    pub fn unsaved(
        &mut self,
        own: (&str, u64),
        epoch_ms: u64,
        usage: &BTreeMap<String, Usage>,
    ) -> Option<UnrecordedRow> {
        if usage.is_empty() || !self.is_read {
            return None;
        }
        let stored = self.stored.clone();
        let mut tables = stored.as_ref().map_or_else(Tables::new, |s| s.1.clone());
        for (service, usage) in usage {
            tables.insert(service.clone(), self.choose(service, usage));
        }
        let is_saved = stored.is_some_and(|(written, stored)| {
            let age = Duration::from_millis(epoch_ms.saturating_sub(written));
            stored == tables && age < REFRESH_AGE
        });
        (!is_saved).then(|| UnrecordedRow {
            router: own.0.to_owned(),
            started: own.1,
            written: epoch_ms,
            tables,
        })
    }

    /// Records that a row is being written, which the store may get or not.
    pub fn sending(&mut self, row: &UnrecordedRow) {
        for (service, tables) in &row.tables {
            let allowed = self.allowed.entry(service.clone());
            let allowed = allowed.or_insert_with(|| tables.clone());
            *allowed = &*allowed & tables;
        }
    }

    /// Records that the store has a row.
    pub fn saved(&mut self, row: &UnrecordedRow) {
        self.stored = Some((row.written, row.tables.clone()));
        for (service, tables) in &row.tables {
            self.allowed.insert(service.clone(), tables.clone());
            let Some(chosen) = self.chosen.get_mut(service) else {
                continue;
            };
            if let Some(next) = chosen.next.take_if(|next| tables.contains(next)) {
                chosen.table = next;
            }
        }
    }

    /// Forgets what the store has, as it came back from an older copy.
    pub fn store_restored(&mut self) {
        self.stored = None;
    }
}

/// Returns the table of a service that most rows have.
fn most_frequent<'a>(epoch_ms: u64, rows: &'a [UnrecordedRow], service: &str) -> Option<&'a Table> {
    let current = rows.iter().filter(|r| r.is_current(epoch_ms));
    let mut counts: BTreeMap<&Table, usize> = BTreeMap::new();
    for table in current.filter_map(|r| r.tables.get(service)).flatten() {
        *counts.entry(table).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(table, _)| table)
}
