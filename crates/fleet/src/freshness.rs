//! When the store last confirmed the server list, as far as this router knows.
//!
//! A revision says which list a router has, not how old the knowledge is that no newer one exists.
//! All times are conservative: what arrives late makes the list older, never younger.

use std::fmt;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};

use crate::objects::Revision;

/// Who told this router that the store confirmed a server list.
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

/// Answer of the store that a server list was its newest.
#[value]
pub struct Confirmation {
    /// Revision of the list.
    pub revision: Revision,
    /// Time at which the list was the newest, or earlier.
    pub at: Instant,
    /// Who told this router.
    pub source: Source,
}

/// Freshness of this router's server list.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Newest confirmation that holds for the list, of its revision or an older one.
    own: Option<Confirmation>,
    /// Newest confirmation of a list that this router does not have yet.
    newer: Option<Confirmation>,
}

impl Freshness {
    /// Records a confirmation, while this router has the list of revision `own`.
    ///
    /// One of an older list holds for a newer list too, which was made after it.
    pub fn confirm(&mut self, own: Revision, confirmation: Confirmation) {
        let known = if confirmation.revision <= own {
            &mut self.own
        } else {
            &mut self.newer
        };
        if known.is_none_or(|k| confirmation.at > k.at) {
            *known = Some(confirmation);
        }
    }

    /// Records that this router now has the list of revision `own`.
    pub fn list_applied(&mut self, own: Revision) {
        if let Some(newer) = self.newer.take_if(|n| n.revision <= own) {
            self.confirm(own, newer);
        }
    }

    /// Returns the newest confirmation that holds for this router's list; none before the first.
    #[must_use]
    pub fn own(&self) -> Option<Confirmation> {
        self.own
    }

    /// Returns the newest confirmation of a list that this router does not have yet.
    #[must_use]
    pub fn newer(&self) -> Option<Confirmation> {
        self.newer
    }

    /// Returns the time since the list was last confirmed; none before the first time.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.own.map(|c| now.saturating_duration_since(c.at))
    }
}
