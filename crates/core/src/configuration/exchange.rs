//! Exchange of configuration between routers.
//!
//! Every probe carries a [`Head`]. A router whose digest differs sends a [`Compare`] request back.
//! The answer contains either objects above the requester's highest version or the versions of some
//! buckets; the requester then pulls the objects that it has at a lower version. Each answer fits
//! one datagram, so catching up takes several rounds and may stop at any point.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record, value};

use super::buckets::Buckets;
use super::object::{Object, ObjectId, Version};
use super::{BUCKETS, Configuration};
use crate::ids::RouterId;

/// Maximum number of objects in one answer.
pub const MAX_OBJECTS: usize = 8;
/// Maximum number of versions in one answer, except for a single bucket with more.
pub const MAX_VERSIONS: usize = 96;
/// Interval after which an unanswered comparison is requested again.
const COMPARE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of members to which a router forwards a change that is new to it.
pub const PUSH_FANOUT: usize = 4;

/// Summary of the configuration that a router has in force.
#[value]
pub struct Head {
    /// Highest version of any object.
    pub version: Version,
    /// Digest of all versions.
    pub digest: u64,
    /// Whether the sender serves callers with this configuration.
    pub ready: bool,
}

/// Request for what the receiver has at higher versions than the sender.
#[record]
pub struct Compare {
    /// Highest version of the sender.
    pub version: Version,
    /// Digest of each bucket of the sender.
    pub digests: Vec<u64>,
    /// First bucket that has not been compared by version yet.
    pub skip: u32,
}

/// Versions of the objects in one or more buckets with different digests.
#[record]
pub struct Versions {
    /// Identifier and version of each object.
    pub versions: Vec<(ObjectId, Version)>,
    /// Bucket to continue from; `None` when all differing buckets are covered.
    pub next: Option<u32>,
}

/// Configuration objects with their versions.
#[record]
pub struct Objects {
    /// The objects.
    pub objects: Vec<(Version, Object)>,
    /// Whether the receiver forwards the objects that are new to it.
    pub push: bool,
}

/// A message about configuration.
#[record]
pub enum Exchange {
    /// Asks for what differs.
    Compare(Compare),
    /// Answers that the requester lacks nothing in the buckets asked for.
    Same,
    /// Lists versions that the sender has.
    Versions(Versions),
    /// Asks for objects.
    Pull(Vec<ObjectId>),
    /// Carries objects that were requested or pushed.
    Objects(Objects),
}

impl Exchange {
    /// Returns the stable name of the message kind for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Compare(_) => "config_compare",
            Self::Same => "config_same",
            Self::Versions(_) => "config_versions",
            Self::Pull(_) => "config_pull",
            Self::Objects(_) => "config_objects",
        }
    }
}

impl Compare {
    /// Creates the request of a router that has `config` in force.
    #[must_use]
    pub fn new(config: &Configuration, skip: u32) -> Self {
        Self {
            version: config.head(),
            digests: config.buckets().digests().to_vec(),
            skip,
        }
    }

    /// Answers the request from `config`; `None` if the request is malformed.
    #[must_use]
    pub fn answer(&self, config: &Configuration) -> Option<Exchange> {
        let theirs = Buckets::from_digests(&self.digests)?;
        let differing = config.buckets().differing(&theirs);
        let newer = newer_than(config, self.version, &differing);
        if !newer.is_empty() {
            return Some(Exchange::Objects(Objects {
                objects: newer,
                push: false,
            }));
        }
        let remaining: Vec<_> = differing
            .into_iter()
            .filter(|b| *b >= self.skip as usize)
            .collect();
        if remaining.is_empty() {
            return Some(Exchange::Same);
        }
        Some(Exchange::Versions(versions_of(config, &remaining)))
    }
}

/// Returns up to [`MAX_OBJECTS`] objects above `version` in `buckets`, lowest versions first.
fn newer_than(
    config: &Configuration,
    version: Version,
    buckets: &[usize],
) -> Vec<(Version, Object)> {
    let mut ids: Vec<(Version, ObjectId)> = config
        .versions()
        .filter(|(id, v)| *v > version && buckets.contains(&Buckets::bucket(*id)))
        .map(|(id, v)| (v, id))
        .collect();
    ids.sort_unstable();
    ids.truncate(MAX_OBJECTS);
    ids.into_iter()
        .filter_map(|(_, id)| config.object(id))
        .collect()
}

/// Returns the versions in as many of `buckets` as fit into one answer.
fn versions_of(config: &Configuration, buckets: &[usize]) -> Versions {
    let mut by_bucket: Vec<Vec<(ObjectId, Version)>> = vec![Vec::new(); BUCKETS];
    for (id, version) in config.versions() {
        by_bucket[Buckets::bucket(id)].push((id, version));
    }
    let mut versions = Vec::new();
    for bucket in buckets {
        let next = &by_bucket[*bucket];
        if !versions.is_empty() && versions.len() + next.len() > MAX_VERSIONS {
            return Versions {
                versions,
                next: u32::try_from(*bucket).ok(),
            };
        }
        versions.extend_from_slice(next);
    }
    Versions {
        versions,
        next: None,
    }
}

/// Why a router does not serve callers yet.
#[id]
pub enum NotReady {
    /// Neither the table nor a ready peer has supplied the configuration.
    NoSource,
    /// The first probes of other routers are not answered yet.
    FirstProbes,
    /// A ready peer has versions that are not in force here yet.
    Behind,
}

impl NotReady {
    /// Returns the stable name for logs and status.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::NoSource => "no_source",
            Self::FirstProbes => "first_probes",
            Self::Behind => "behind_peer",
        }
    }
}

/// State of the configuration exchange with other routers, and of this router's start.
#[derive(Debug, Default)]
pub struct SyncState {
    /// Peers that may have versions which are not in force here.
    ahead: BTreeSet<RouterId>,
    /// When a comparison was last requested from each peer.
    requested: BTreeMap<RouterId, Instant>,
    /// Whether the table or a ready peer has supplied the configuration.
    has_source: bool,
    probing: bool,
    ready: bool,
}

impl SyncState {
    /// Creates the state of a router that has no configuration yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the router serves callers; stays true once it does.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns why the router does not serve callers yet.
    #[must_use]
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.ready {
            None
        } else if !self.has_source {
            Some(NotReady::NoSource)
        } else if self.probing {
            Some(NotReady::FirstProbes)
        } else {
            Some(NotReady::Behind)
        }
    }

    /// Sets whether the first probes of other routers are still pending.
    pub fn set_probing(&mut self, probing: bool) {
        self.probing = probing;
        self.update_ready();
    }

    /// Records that the table was read completely and contains at least one object.
    pub fn record_table_read(&mut self) {
        self.has_source = true;
        self.update_ready();
    }

    fn update_ready(&mut self) {
        if self.has_source && !self.probing && self.ahead.is_empty() {
            self.ready = true;
        }
    }

    /// Handles the head of a peer; returns whether to request a comparison from it.
    pub fn observe(
        &mut self,
        now: Instant,
        from: RouterId,
        head: Head,
        config: &Configuration,
    ) -> bool {
        if head.digest == config.digest() {
            self.caught_up(from, head.ready && head.version > Version(0));
            return false;
        }
        if head.ready && !self.ready {
            self.ahead.insert(from);
        }
        let requested = self.requested.get(&from);
        if requested.is_some_and(|at| now.duration_since(*at) < COMPARE_RETRY_INTERVAL) {
            return false;
        }
        self.requested.insert(from, now);
        true
    }

    /// Records that every version of `from` is in force here; a ready peer then counts as a source.
    pub fn caught_up(&mut self, from: RouterId, ready: bool) {
        self.requested.remove(&from);
        let was_ahead = self.ahead.remove(&from);
        self.has_source |= ready || was_ahead;
        self.update_ready();
    }

    /// Returns whether `from` may have versions that are not in force here.
    #[must_use]
    pub fn is_ahead(&self, from: RouterId) -> bool {
        self.ahead.contains(&from)
    }

    /// Returns the peers whose comparison has to be requested again.
    pub fn overdue(&mut self, now: Instant) -> Vec<RouterId> {
        let mut overdue = Vec::new();
        for router in &self.ahead {
            let requested = self.requested.entry(*router).or_insert(now);
            if now.duration_since(*requested) >= COMPARE_RETRY_INTERVAL {
                *requested = now;
                overdue.push(*router);
            }
        }
        overdue
    }

    /// Removes a peer that no longer answers.
    pub fn forget(&mut self, router: RouterId) {
        self.requested.remove(&router);
        self.ahead.remove(&router);
        self.update_ready();
    }
}
