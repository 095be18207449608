//! Software versions of which routers may have begun streams that have no record.
//!
//! While several versions of a service may have streams, a router names one of them as its default
//! and writes that to the store. Streams of the default may begin without a record; any other is
//! recorded before its caller gets an event. So a stream without a record is of the default of the
//! router that began it, and as long as all routers have the same one, no router has to remember
//! the stream. While the store takes no records, new streams begin at the default alone.
//!
//! Invariant: the row that the store has, or may yet get from a write in doubt, names the version of
//! every unrecorded stream that its router began.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Age from which a row counts no more; its router died long ago, or has been cut off from the
/// store for that long.
const MAX_ROW_AGE: Duration = Duration::from_secs(600);
/// Age from which a router writes its row again.
const REFRESH_AGE: Duration = Duration::from_secs(300);
/// Least share of a service's servers, in percent, with which a version stays the default.
const MIN_DEFAULT_PERCENT: usize = 40;
/// The same while streams of the time before the start may be taken up: if routers that started
/// together changed the default, nothing would tell of which version those without a record are.
const MIN_EARLIER_PERCENT: usize = 15;

/// Versions by the name of the service.
pub type VersionsByService = BTreeMap<String, BTreeSet<String>>;

/// Row of the store with the versions of which one process may have begun streams without a record.
#[hibiscusrail_macros::record]
#[derive(Serialize, Deserialize)]
pub struct UnrecordedRow {
    /// Name of the router.
    pub router: String,
    /// When the process started, in milliseconds since the Unix epoch.
    pub started: u64,
    /// When the row was written, in milliseconds since the Unix epoch.
    pub written: u64,
    /// The versions of each service that has had several.
    pub versions: VersionsByService,
}

impl UnrecordedRow {
    /// Returns whether the row may still tell of streams that are taken up.
    #[must_use]
    pub fn is_current(&self, epoch_ms: u64) -> bool {
        Duration::from_millis(epoch_ms.saturating_sub(self.written)) <= MAX_ROW_AGE
    }
}

/// Returns the only version of which routers may have begun streams of a service without a record; none
/// if there may be several, or a row does not say.
#[must_use]
pub fn only_default<'a>(
    epoch_ms: u64,
    rows: impl Iterator<Item = &'a UnrecordedRow>,
    service: &str,
) -> Option<&'a str> {
    let mut only = None;
    for row in rows.filter(|r| r.is_current(epoch_ms)) {
        for version in row.versions.get(service)? {
            if only.is_some_and(|o| o != version) {
                return None;
            }
            only = Some(version.as_str());
        }
    }
    only
}

/// The default version of a service.
#[derive(Debug)]
struct Chosen {
    /// Version of which streams may begin without a record, if the row allows it.
    version: String,
    /// Version that replaces it once the row names it.
    next: Option<String>,
}

impl Chosen {
    fn new(version: &str) -> Self {
        Self {
            version: version.to_owned(),
            next: None,
        }
    }

    fn newest(&self) -> &String {
        self.next.as_ref().unwrap_or(&self.version)
    }
}

/// Servers of each version of a service, and the versions of its streams without a record.
#[derive(Debug, Default)]
pub struct Usage {
    /// Number of servers that take new streams, by version.
    pub servers: BTreeMap<String, usize>,
    /// Versions of unrecorded streams that this process began.
    pub begun: BTreeSet<String>,
    /// Versions of which an earlier process of this router may have begun streams.
    pub earlier: BTreeSet<String>,
    /// Whether streams from before the start of this process may be taken up.
    pub is_young: bool,
}

impl Usage {
    fn keeps(&self, version: &String) -> bool {
        let percent = if self.is_young {
            MIN_EARLIER_PERCENT
        } else {
            MIN_DEFAULT_PERCENT
        };
        let count = self.servers.get(version).copied().unwrap_or(0);
        let total: usize = self.servers.values().sum();
        count > 0 && count * 100 >= total * percent
    }

    /// Returns the version with most servers.
    fn largest(&self) -> Option<&String> {
        let largest = self.servers.iter().max_by_key(|(_, count)| **count);
        largest.map(|(version, _)| version)
    }
}

/// This router's defaults and the row that tells of them.
#[derive(Debug, Default)]
pub struct Unrecorded {
    defaults: BTreeMap<String, Chosen>,
    /// Whether the rows of all routers were read.
    is_read: bool,
    /// Whether an earlier process of this router wrote a row.
    has_earlier: bool,
    /// Versions in the row that the store confirmed, and when that was written.
    stored: Option<(u64, VersionsByService)>,
    /// Versions that the router's rows have for sure, whichever writes in doubt the store has made;
    /// without a service that no row names yet.
    allowed: VersionsByService,
    /// Whether the store does not confirm records of streams in time.
    is_lost: bool,
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
    pub fn takes_records(&self) -> bool {
        !self.is_lost
    }

    /// Sets whether the store confirms records of streams in time; returns whether that changed.
    pub fn set_takes_records(&mut self, takes: bool) -> bool {
        std::mem::replace(&mut self.is_lost, !takes) == takes
    }

    /// Returns the version of a service of which streams may begin without a record; none if any may,
    /// since no row tells of this router's streams.
    #[must_use]
    pub fn default_of(&self, service: &str) -> Option<&str> {
        let allowed = self.allowed.get(service)?;
        let version = &self.defaults.get(service)?.version;
        allowed.contains(version).then_some(version)
    }

    /// Returns whether a stream has to be recorded before its caller gets an event; the service has
    /// several versions.
    #[must_use]
    pub fn must_record(&self, service: &str, version: &str) -> bool {
        if self.allowed.contains_key(service) {
            return self.default_of(service) != Some(version);
        }
        // There may be a row of an earlier process.
        !self.is_read && self.takes_records()
    }

    /// Returns the defaults, for a router that can't read the rows.
    #[must_use]
    pub fn defaults(&self) -> BTreeMap<String, String> {
        let services = self.defaults.keys();
        let defaults = services.filter_map(|s| Some((s.clone(), self.default_of(s)?.to_owned())));
        defaults.collect()
    }

    /// Takes over the defaults of another router until the rows are read.
    pub fn inherit(&mut self, defaults: &BTreeMap<String, String>) {
        if self.is_read {
            return;
        }
        for (service, version) in defaults {
            let versions = BTreeSet::from([version.clone()]);
            self.allowed.insert(service.clone(), versions);
            self.defaults.insert(service.clone(), Chosen::new(version));
        }
    }

    /// Applies the rows of all routers at the first time that they are read; `own` is the router's
    /// name.
    pub fn load(&mut self, epoch_ms: u64, rows: &[UnrecordedRow], own: &str) {
        if std::mem::replace(&mut self.is_read, true) {
            return;
        }
        let services: BTreeSet<&String> = rows.iter().flat_map(|r| r.versions.keys()).collect();
        for service in services {
            if let Some(version) = only_default(epoch_ms, rows.iter(), service) {
                self.defaults.insert(service.clone(), Chosen::new(version));
            }
        }
        self.allowed.clear();
        let earlier = rows.iter().filter(|r| r.router == own);
        for (service, versions) in earlier.flat_map(|r| &r.versions) {
            self.has_earlier = true;
            let allowed = self.allowed.entry(service.clone()).or_default();
            allowed.extend(versions.iter().cloned());
        }
    }

    /// Chooses the default of a service, and returns the versions that the row has to name.
    fn choose(&mut self, service: &str, usage: &Usage) -> BTreeSet<String> {
        let mut versions = &usage.begun | &usage.earlier;
        let Some(largest) = usage.largest() else {
            versions.extend(self.defaults.get(service).map(|c| c.newest().clone()));
            return versions;
        };
        let chosen = self
            .defaults
            .entry(service.to_owned())
            .or_insert_with(|| Chosen::new(largest));
        if !usage.keeps(chosen.newest()) && chosen.newest() != largest {
            chosen.next = Some(largest.clone());
        }
        versions.insert(chosen.newest().clone());
        versions
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
        let mut versions = stored.as_ref().map_or_else(BTreeMap::new, |s| s.1.clone());
        for (service, usage) in usage {
            versions.insert(service.clone(), self.choose(service, usage));
        }
        let is_saved = stored.is_some_and(|(written, stored)| {
            let age = Duration::from_millis(epoch_ms.saturating_sub(written));
            stored == versions && age < REFRESH_AGE
        });
        (!is_saved).then(|| UnrecordedRow {
            router: own.0.to_owned(),
            started: own.1,
            written: epoch_ms,
            versions,
        })
    }

    /// Records that a row is being written, which the store may get or not.
    pub fn sending(&mut self, row: &UnrecordedRow) {
        for (service, versions) in &row.versions {
            let allowed = self.allowed.entry(service.clone());
            let allowed = allowed.or_insert_with(|| versions.clone());
            *allowed = &*allowed & versions;
        }
    }

    /// Records that the store has a row.
    pub fn saved(&mut self, row: &UnrecordedRow) {
        self.stored = Some((row.written, row.versions.clone()));
        for (service, versions) in &row.versions {
            self.allowed.insert(service.clone(), versions.clone());
            let Some(chosen) = self.defaults.get_mut(service) else {
                continue;
            };
            if let Some(next) = chosen.next.take_if(|next| versions.contains(next)) {
                chosen.version = next;
            }
        }
    }

    /// Forgets what the store has, as it came back from an older copy.
    pub fn store_restored(&mut self) {
        self.stored = None;
    }
}
