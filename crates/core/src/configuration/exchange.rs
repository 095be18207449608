//! Exchange of configuration between routers.
//!
//! Every probe carries a [`Head`]. A router whose digest differs asks the
//! sender to [`Compare`]; the answer is either objects above the asker's
//! highest version, or the versions of one bucket, from which the asker pulls
//! what it has at a lower version. Each answer fits one datagram, so catching
//! up takes several rounds and can be interrupted at any point.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record, value};

use super::buckets::Buckets;
use super::object::{Object, ObjectId, Version};
use super::{BUCKETS, Configuration};
use crate::ids::RouterId;

/// Objects in one answer at most.
pub const MAX_OBJECTS: usize = 8;
/// Versions in one answer at most, but for a bucket that holds more.
pub const MAX_VERSIONS: usize = 96;
/// Time after which an unanswered comparison is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Members that learn of a change from one router that has just learnt of it.
pub const PUSH_FANOUT: usize = 4;

/// What a router has in force, in brief.
#[value]
pub struct Head {
    /// Highest version.
    pub version: Version,
    /// Digest of all versions.
    pub digest: u64,
    /// Whether the sender serves by it.
    pub ready: bool,
}

/// Asks what the receiver has at higher versions.
#[record]
pub struct Compare {
    /// Highest version of the sender.
    pub version: Version,
    /// Digest of each bucket of the sender.
    pub digests: Vec<u64>,
    /// Buckets before this one have been compared by version.
    pub skip: u32,
}

/// Versions in one or more buckets that differ.
#[record]
pub struct Versions {
    /// The versions.
    pub versions: Vec<(ObjectId, Version)>,
    /// Bucket to go on from; none when all that differ are covered.
    pub next: Option<u32>,
}

/// Objects with their versions.
#[record]
pub struct Objects {
    /// The objects.
    pub objects: Vec<(Version, Object)>,
    /// Whether the receiver passes on what is new to it.
    pub push: bool,
}

/// A message about configuration.
#[record]
pub enum Exchange {
    /// Asks what differs.
    Compare(Compare),
    /// The receiver has nothing that the asker lacks in the buckets asked for.
    Same,
    /// Which versions the sender has.
    Versions(Versions),
    /// Asks for objects.
    Pull(Vec<ObjectId>),
    /// Objects asked for or pushed.
    Objects(Objects),
}

impl Exchange {
    /// Returns the kind as a short stable name for metrics.
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
    /// Creates the question of a router that has `config` in force.
    #[must_use]
    pub fn new(config: &Configuration, skip: u32) -> Self {
        Self {
            version: config.head(),
            digests: config.buckets().digests().to_vec(),
            skip,
        }
    }

    /// Answers the question from `config`; none when the question is malformed.
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
        let left: Vec<_> = differing
            .into_iter()
            .filter(|b| *b >= self.skip as usize)
            .collect();
        if left.is_empty() {
            return Some(Exchange::Same);
        }
        Some(Exchange::Versions(versions_of(config, &left)))
    }
}

/// Returns the lowest of the objects above `version` in some buckets.
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

/// Returns the versions in as many of `buckets` as fit one answer.
fn versions_of(config: &Configuration, buckets: &[usize]) -> Versions {
    let mut by_bucket: Vec<Vec<(ObjectId, Version)>> = vec![Vec::new(); BUCKETS];
    for (id, version) in config.versions() {
        by_bucket[Buckets::bucket(id)].push((id, version));
    }
    let mut versions = Vec::new();
    for bucket in buckets {
        let more = &by_bucket[*bucket];
        if !versions.is_empty() && versions.len() + more.len() > MAX_VERSIONS {
            return Versions {
                versions,
                next: u32::try_from(*bucket).ok(),
            };
        }
        versions.extend_from_slice(more);
    }
    Versions {
        versions,
        next: None,
    }
}

/// Why a router does not serve callers yet.
#[id]
pub enum Waiting {
    /// Neither the table nor a ready peer has given the configuration.
    NoSource,
    /// The first probes of other routers are unanswered so far.
    FirstProbes,
    /// A live peer knows versions that are not in force here yet.
    Behind,
}

impl Waiting {
    /// Returns a short stable name for logs and status.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::NoSource => "no_source",
            Self::FirstProbes => "first_probes",
            Self::Behind => "behind_peer",
        }
    }
}

/// What this router knows of the configuration of others, and of its own start.
#[derive(Debug, Default)]
pub struct Sync {
    behind: BTreeSet<RouterId>,
    asked: BTreeMap<RouterId, Instant>,
    sourced: bool,
    probing: bool,
    ready: bool,
}

impl Sync {
    /// Creates the state of a router that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the start is over.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns why the router does not serve yet.
    #[must_use]
    pub fn waiting(&self) -> Option<Waiting> {
        if self.ready {
            None
        } else if !self.sourced {
            Some(Waiting::NoSource)
        } else if self.probing {
            Some(Waiting::FirstProbes)
        } else {
            Some(Waiting::Behind)
        }
    }

    /// Notes that the first probes were sent, or that they are over.
    pub fn set_probing(&mut self, probing: bool) {
        self.probing = probing;
        self.settle();
    }

    /// Notes that the table was read whole and named at least one object.
    pub fn read_table(&mut self) {
        self.sourced = true;
        self.settle();
    }

    fn settle(&mut self) {
        if self.sourced && !self.probing && self.behind.is_empty() {
            self.ready = true;
        }
    }

    /// Takes in the head of a peer; returns whether to ask it for a comparison.
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
            self.behind.insert(from);
        }
        let asked = self.asked.get(&from);
        if asked.is_some_and(|at| now.duration_since(*at) < ASK_AGAIN) {
            return false;
        }
        self.asked.insert(from, now);
        true
    }

    /// Notes that `from` knows no version that is not in force here.
    ///
    /// A ready peer that has been caught up with counts as a source.
    pub fn caught_up(&mut self, from: RouterId, ready: bool) {
        self.asked.remove(&from);
        let was_behind = self.behind.remove(&from);
        self.sourced |= ready || was_behind;
        self.settle();
    }

    /// Returns whether `from` may know versions that are not in force here.
    #[must_use]
    pub fn is_behind(&self, from: RouterId) -> bool {
        self.behind.contains(&from)
    }

    /// Returns the peers to ask again because an answer was lost.
    pub fn overdue(&mut self, now: Instant) -> Vec<RouterId> {
        let mut overdue = Vec::new();
        for router in &self.behind {
            let asked = self.asked.entry(*router).or_insert(now);
            if now.duration_since(*asked) >= ASK_AGAIN {
                *asked = now;
                overdue.push(*router);
            }
        }
        overdue
    }

    /// Forgets a peer that no longer answers.
    pub fn forget(&mut self, router: RouterId) {
        self.asked.remove(&router);
        self.behind.remove(&router);
        self.settle();
    }
}
