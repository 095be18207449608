//! Members of the fleet, as far as this router knows them, and whether it may use its part of a limit
//! that holds for all of them together.
//!
//! A router counts the others by the store's table of routers and by their reports, so that one
//! whose row is not read yet, or is gone while it still serves, counts too. It takes up its own
//! part only when the others count it: otherwise the parts would add up to more than the limit.

use std::time::{Duration, Instant};

/// Window of the limits that routers share: a part that another router used before then still counts.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);
/// Time after its last report for which a router counts that the table does not list.
pub const REPORTED_TTL: Duration = Duration::from_secs(30);

/// The known routers, by the hashes of their names.
#[derive(Debug)]
pub struct Members {
    own: u32,
    /// Routers in the table, and this one; sorted.
    listed: Vec<u32>,
    /// Routers in the table, those that report, and this one; sorted.
    all: Vec<u32>,
    /// Whether the first table that was read did not list this router: the others may not know it.
    is_new: bool,
    /// When this router may take up its part; none until the table lists it.
    counted_at: Option<Instant>,
}

impl Members {
    /// Creates the members of a router that knows no others.
    #[must_use]
    pub fn new(own: u32) -> Self {
        Self {
            own,
            listed: vec![own],
            all: vec![own],
            is_new: false,
            counted_at: None,
        }
    }

    /// Returns the known routers in ascending order, with this one.
    #[must_use]
    pub fn all(&self) -> &[u32] {
        &self.all
    }

    /// Returns whether a router is known.
    #[must_use]
    pub fn contains(&self, router: u32) -> bool {
        self.all.binary_search(&router).is_ok()
    }

    /// Returns whether the table of routers lists a router, as last read.
    #[must_use]
    pub fn is_listed(&self, router: u32) -> bool {
        self.listed.binary_search(&router).is_ok()
    }

    /// Returns whether the table of routers has been read.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.is_new || self.counted_at.is_some()
    }

    /// Returns whether this router was registered before it first read the table, as it is after a
    /// restart.
    #[must_use]
    pub fn was_listed(&self) -> bool {
        !self.is_new && self.counted_at.is_some()
    }

    /// Returns whether this router may use its part of a shared limit.
    #[must_use]
    pub fn may_share(&self, now: Instant) -> bool {
        self.counted_at.is_some_and(|at| now >= at)
    }

    /// Applies the table of routers; `reporting` are those whose reports arrived within
    /// [`REPORTED_TTL`], and all routers receive a report of this one within `report_time`.
    ///
    /// Returns whether the members changed.
    pub fn apply(
        &mut self,
        now: Instant,
        mut listed: Vec<u32>,
        reporting: impl Iterator<Item = u32>,
        report_time: Duration,
    ) -> bool {
        if self.counted_at.is_none() {
            if listed.contains(&self.own) {
                let known_in = if self.is_new {
                    report_time
                } else {
                    Duration::ZERO
                };
                self.counted_at = Some(now + known_in + LIMIT_WINDOW);
            } else {
                self.is_new = true;
            }
        }
        listed.push(self.own);
        self.listed = sorted(listed);
        self.merge(reporting)
    }

    /// Adds a router whose report arrived; returns whether it was unknown.
    pub fn add_reporting(&mut self, router: u32) -> bool {
        match self.all.binary_search(&router) {
            Ok(_) => false,
            Err(at) => {
                self.all.insert(at, router);
                true
            }
        }
    }

    /// Drops routers that the table does not list and that are not among `reporting`; returns
    /// whether the members changed.
    pub fn expire(&mut self, reporting: impl Iterator<Item = u32>) -> bool {
        self.all.len() > self.listed.len() && self.merge(reporting)
    }

    fn merge(&mut self, reporting: impl Iterator<Item = u32>) -> bool {
        let all = sorted(self.listed.iter().copied().chain(reporting).collect());
        let changed = all != self.all;
        self.all = all;
        changed
    }
}

fn sorted(mut routers: Vec<u32>) -> Vec<u32> {
    routers.sort_unstable();
    routers.dedup();
    routers
}
