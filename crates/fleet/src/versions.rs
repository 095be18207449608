//! Software versions of the servers of each service, and which of them can have begun a stream.
//!
//! What servers of two versions write does not fit together, so a stream goes on at the version that
//! began it. A service that has had one version for longer than a stream can last needs no record
//! of its streams; for any other the routers record them in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::objects::Backend;
use crate::unrecorded::Unrecorded;

/// Time after which a new version receives new streams: by then all routers have a server list with
/// it, so that none takes its streams for those of the only version.
const NEW_VERSION_DELAY: Duration = Duration::from_secs(3);
/// Maximum difference between the times of day of two hosts.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// Row of the store with the versions of a service that has had more than one.
#[hibiscusrail_macros::record]
#[derive(Serialize, Deserialize)]
pub struct VersionSet {
    /// Name of the service.
    pub service: String,
    /// The versions that were registered.
    pub versions: BTreeSet<String>,
    /// When that was first seen, in milliseconds since the Unix epoch.
    pub changed: u64,
}

/// When a version was registered.
#[derive(Debug)]
struct Seen {
    /// When it first was; none if that is before this router looked.
    first: Option<Instant>,
    /// When it was no longer; none while it is.
    left: Option<Instant>,
}

/// Versions of one service.
#[derive(Debug, Default)]
struct History {
    versions: BTreeMap<String, Seen>,
    /// Until when streams may run that began at a version which this router never saw.
    unknown_until: Option<Instant>,
    /// The versions in the store's row; none without a row.
    saved: Option<BTreeSet<String>>,
}

impl History {
    /// Returns the versions that were registered within `lifetime`.
    fn possible(&self, now: Instant, lifetime: Duration) -> impl Iterator<Item = &str> {
        let is_recent = move |left: Instant| now.saturating_duration_since(left) < lifetime;
        let versions = self.versions.iter();
        versions
            .filter(move |(_, seen)| seen.left.is_none_or(is_recent))
            .map(|(version, _)| version.as_str())
    }

    fn present(&self) -> BTreeSet<String> {
        let present = self.versions.iter().filter(|(_, s)| s.left.is_none());
        present.map(|(version, _)| version.clone()).collect()
    }
}

/// Versions of all services, as this router saw them.
#[derive(Debug)]
pub struct Versions {
    services: BTreeMap<String, History>,
    started: Instant,
    /// Whether the store's rows were read, so that the time before the start is known.
    loaded: bool,
    /// Whether a server list was seen.
    observed: bool,
    /// Which streams may begin without a record.
    pub unrecorded: Unrecorded,
}

impl Versions {
    /// Creates the history of a router that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            services: BTreeMap::new(),
            started: now,
            loaded: false,
            observed: false,
            unrecorded: Unrecorded::default(),
        }
    }

    /// Returns whether the store's rows were read.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Records the versions that a server list has.
    pub fn observe<'a>(&mut self, now: Instant, servers: impl Iterator<Item = &'a Backend>) {
        self.observed = true;
        let mut listed: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for server in servers {
            let versions = listed.entry(server.service.as_str()).or_default();
            versions.insert(server.version.as_str());
        }
        for (service, history) in &mut self.services {
            let present = listed.get(service.as_str());
            for (version, seen) in &mut history.versions {
                let is_present = present.is_some_and(|p| p.contains(version.as_str()));
                match (is_present, seen.left) {
                    (true, _) => seen.left = None,
                    (false, None) => seen.left = Some(now),
                    (false, Some(_)) => {}
                }
            }
        }
        for (service, versions) in listed {
            let history = self.services.entry(service.to_owned()).or_default();
            let first = (!history.versions.is_empty()).then_some(now);
            for version in versions {
                let seen = Seen { first, left: None };
                let known = history.versions.contains_key(version);
                if !known {
                    history.versions.insert(version.to_owned(), seen);
                }
            }
        }
    }

    /// Applies the rows that the store had at `epoch_ms`, for streams that last up to `lifetime`.
    pub fn load(&mut self, now: Instant, epoch_ms: u64, rows: &[VersionSet], lifetime: Duration) {
        self.loaded = true;
        for row in rows {
            let history = self.services.entry(row.service.clone()).or_default();
            for version in &row.versions {
                // A version that is gone left while this router did not look.
                let seen = history.versions.entry(version.clone()).or_insert(Seen {
                    first: None,
                    left: Some(now),
                });
                seen.first = None;
            }
            let age = Duration::from_millis(epoch_ms.saturating_sub(row.changed));
            let left = (lifetime + MAX_CLOCK_SKEW).saturating_sub(age);
            history.unknown_until = Some(now + left);
            history.saved = Some(row.versions.clone());
        }
    }

    /// Forgets what the store has, as it came back from an older copy.
    pub fn store_restored(&mut self) {
        for history in self.services.values_mut() {
            history.saved = None;
        }
        self.unrecorded.store_restored();
    }

    /// Returns the rows that the store lacks; none before the first server list.
    #[must_use]
    pub fn unsaved(&self, epoch_ms: u64) -> Vec<VersionSet> {
        if !self.observed {
            return Vec::new();
        }
        let is_unsaved = |history: &History| match &history.saved {
            Some(saved) => *saved != history.present(),
            None => history.versions.len() > 1,
        };
        let unsaved = self.services.iter().filter(|(_, h)| is_unsaved(h));
        unsaved
            .map(|(service, history)| VersionSet {
                service: service.clone(),
                versions: history.present(),
                changed: epoch_ms,
            })
            .collect()
    }

    /// Records that the store has a row.
    pub fn saved(&mut self, row: &VersionSet) {
        if let Some(history) = self.services.get_mut(&row.service) {
            history.saved = Some(row.versions.clone());
        }
    }

    /// Returns the only version that can have begun a stream which still runs or may be taken up, if
    /// there is just one; streams last up to `lifetime`.
    #[must_use]
    pub fn only(&self, now: Instant, service: &str, lifetime: Duration) -> Option<&str> {
        if !self.loaded && now.saturating_duration_since(self.started) < lifetime {
            return None;
        }
        let history = self.services.get(service)?;
        if history.unknown_until.is_some_and(|until| now < until) {
            return None;
        }
        let mut possible = history.possible(now, lifetime);
        let only = possible.next()?;
        possible.next().is_none().then_some(only)
    }

    /// Returns whether streams of several versions of a service, or of an unknown one, may still run
    /// or be taken up; streams last up to `lifetime`.
    #[must_use]
    pub fn has_several(&self, now: Instant, service: &str, lifetime: Duration) -> bool {
        self.services.get(service).is_some_and(|history| {
            history.unknown_until.is_some_and(|until| now < until)
                || history.possible(now, lifetime).count() > 1
        })
    }

    /// Returns the versions of a service that this router found when it first looked, or that the store's
    /// row named, as far as their streams may still run or be taken up; streams last up to `lifetime`.
    #[must_use]
    pub fn found(&self, now: Instant, service: &str, lifetime: Duration) -> BTreeSet<String> {
        let Some(history) = self.services.get(service) else {
            return BTreeSet::new();
        };
        let possible = history.possible(now, lifetime);
        let is_found = |v: &&str| history.versions.get(*v).is_some_and(|s| s.first.is_none());
        possible.filter(is_found).map(str::to_owned).collect()
    }

    /// Returns the registered versions of a service.
    pub fn present(&self, service: &str) -> impl Iterator<Item = &str> {
        let history = self.services.get(service);
        let versions = history.into_iter().flat_map(|h| &h.versions);
        let present = versions.filter(|(_, seen)| seen.left.is_none());
        present.map(|(version, _)| version.as_str())
    }

    /// Returns whether this router started less than `time` ago.
    #[must_use]
    pub fn is_younger(&self, now: Instant, time: Duration) -> bool {
        now.saturating_duration_since(self.started) < time
    }

    /// Returns the versions that receive no new streams yet, other than `known`, which an order names
    /// for requests that no other router can take up.
    #[must_use]
    pub fn too_new(&self, now: Instant, service: &str, known: Option<&str>) -> Vec<&str> {
        let Some(history) = self.services.get(service) else {
            return Vec::new();
        };
        let is_new = |seen: &Seen| {
            let age = seen.first.map(|at| now.saturating_duration_since(at));
            age.is_some_and(|age| age < NEW_VERSION_DELAY)
        };
        let present = || history.versions.iter().filter(|(_, s)| s.left.is_none());
        if present().all(|(_, seen)| is_new(seen)) {
            return Vec::new();
        }
        present()
            .filter(|(version, seen)| is_new(seen) && known != Some(version.as_str()))
            .map(|(version, _)| version.as_str())
            .collect()
    }
}
