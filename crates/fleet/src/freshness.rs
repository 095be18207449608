//! When the store last confirmed a table (the operator configuration, or the server list), as far
//! as this router knows.
//!
//! A revision says which content a router has, not how old the knowledge is that no newer one exists.
//! All times are conservative: what arrives late makes the table older, never younger.

use std::fmt;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};

use crate::objects::Revision;

/// Who told this router that the store confirmed a table.
#[id]
pub enum Source {
    /// The store, in an answer to this router.
    Store,
    /// Another router, given by the hash of its name.
    Router(u32),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Router(hash) => write!(f, "{hash:08x}"),
        }
    }
}

/// Answer of the store that a revision of a table was its newest.
#[value]
pub struct Confirmation {
    /// Revision of the table.
    pub revision: Revision,
    /// Revision up to which the table has no further changes: a read of the whole table takes that of
    /// the store, so routers with the same content may have different revisions.
    pub complete: Revision,
    /// Time at which the revision was the newest, or earlier.
    pub at: Instant,
    /// Who told this router.
    pub source: Source,
}

/// A newer revision, and when this router first heard of it.
#[value]
struct Missing {
    revision: Revision,
    since: Instant,
}

/// Freshness of this router's copy of a table.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Newest confirmation that holds for the copy, of its revision or an older one.
    own: Option<Confirmation>,
    /// Newest confirmation of a revision that this router does not have yet.
    newer: Option<Confirmation>,
    /// Oldest revision that this router has heard of and does not have yet.
    missing: Option<Missing>,
    /// Revision up to which this router's copy is known to have all changes.
    complete: Revision,
    /// When the store itself last confirmed the table to this router.
    read_at: Option<Instant>,
}

impl Freshness {
    /// Records a confirmation that arrived at `now`, while this router has the revision `own`.
    ///
    /// One of an older revision holds for a newer one too, which was made after it.
    pub fn confirm(&mut self, now: Instant, own: Revision, confirmation: Confirmation) {
        if confirmation.source == Source::Store {
            self.read_at = Some(now);
            // A newer revision would be in the answer.
            self.missing = None;
        }
        self.hold(own, confirmation);
    }

    /// Keeps a confirmation if it is newer than the one known of the same kind.
    fn hold(&mut self, own: Revision, confirmation: Confirmation) {
        if confirmation.revision <= own {
            self.complete = self.complete.max(confirmation.complete);
        }
        let known = if self.has(own, confirmation.revision) {
            &mut self.own
        } else {
            &mut self.newer
        };
        if known.is_none_or(|k| confirmation.at > k.at) {
            *known = Some(confirmation);
        }
    }

    /// Records that another router has a revision, while this one has `own`.
    pub fn heard_of(&mut self, now: Instant, own: Revision, revision: Revision) {
        if !self.has(own, revision) {
            let since = now;
            self.missing.get_or_insert(Missing { revision, since });
        }
    }

    /// Returns whether this router, whose revision is `own`, has all changes up to another one.
    fn has(&self, own: Revision, revision: Revision) -> bool {
        revision <= own || revision <= self.complete
    }

    /// Records that this router now has the revision `own`.
    pub fn applied(&mut self, own: Revision) {
        if let Some(newer) = self.newer.take_if(|n| n.revision <= own) {
            self.hold(own, newer);
        }
        self.missing.take_if(|m| m.revision <= own);
    }

    /// Returns for how long this router has known of a revision that it does not have; zero if it has
    /// all that it knows of.
    #[must_use]
    pub fn behind_for(&self, now: Instant) -> Duration {
        let missing = self.missing;
        missing.map_or(Duration::ZERO, |m| now.saturating_duration_since(m.since))
    }

    /// Returns when the store itself last confirmed the table to this router; none before the first
    /// time.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Returns the newest confirmation that holds for this router's copy; none before the first.
    #[must_use]
    pub fn own(&self) -> Option<Confirmation> {
        self.own
    }

    /// Returns the newest confirmation of a revision that this router does not have yet.
    #[must_use]
    pub fn newer(&self) -> Option<Confirmation> {
        self.newer
    }

    /// Returns the time since the copy was last confirmed; none before the first time.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.own.map(|c| now.saturating_duration_since(c.at))
    }
}
