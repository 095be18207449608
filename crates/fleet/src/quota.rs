//! Max-min shares of the engines' throughput among workspaces.
//!
//! Every router knows, from its own requests and the others' reports, how many
//! tokens each workspace asked for and was admitted with in the last window.
//! A workspace that asks for less than an even share gets all of it; what it
//! leaves is shared evenly by the rest. Idle time earns no credit: the window
//! forgets it.
//!
//! The engines mostly give more than the operator promises. What lies beyond
//! the promise is shared the same way: a workspace beyond its promised share
//! is told how much more it has received than an even share of all that was
//! given, so that those with the least come first.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};

use crate::window::Window;

/// A workspace by the hash of its name, the same at every router.
#[id]
pub struct WorkspaceHash(pub u64);

/// How a workspace stands towards its share.
#[value]
pub enum Standing {
    /// It has received less than its promised share.
    Within,
    /// It has received its promised share or more.
    Beyond {
        /// What it has received, relative to an even share of all that was given.
        excess: f64,
    },
}

impl Standing {
    /// Returns whether the workspace has received less than its promised share.
    #[must_use]
    pub fn is_within(self) -> bool {
        self == Self::Within
    }
}

/// Tokens of one workspace in the window.
#[derive(Debug)]
struct Account {
    asked: Window,
    admitted: Window,
}

/// Tokens asked for and admitted, by workspace.
#[derive(Debug)]
pub struct Quota {
    length: Duration,
    accounts: BTreeMap<WorkspaceHash, Account>,
}

impl Quota {
    /// Creates accounts over windows of the given length.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            accounts: BTreeMap::new(),
        }
    }

    fn account(&mut self, workspace: WorkspaceHash) -> &mut Account {
        let length = self.length;
        self.accounts.entry(workspace).or_insert_with(|| Account {
            asked: Window::new(length),
            admitted: Window::new(length),
        })
    }

    /// Counts tokens that a workspace asked for.
    pub fn ask(&mut self, now: Instant, workspace: WorkspaceHash, tokens: f64) {
        self.account(workspace).asked.add(now, tokens);
    }

    /// Counts tokens that a workspace was admitted with.
    pub fn admit(&mut self, now: Instant, workspace: WorkspaceHash, tokens: f64) {
        self.account(workspace).admitted.add(now, tokens);
    }

    /// Returns how a workspace stands while `throughput` tokens a second are shared.
    pub fn standing(
        &mut self,
        now: Instant,
        workspace: WorkspaceHash,
        throughput: f64,
    ) -> Standing {
        if throughput <= 0.0 {
            return Standing::Within;
        }
        let mut given = 0.0;
        let mut asked = Vec::with_capacity(self.accounts.len());
        for account in self.accounts.values_mut() {
            asked.push(account.asked.sum(now));
            given += account.admitted.sum(now);
        }
        asked.sort_by(f64::total_cmp);
        let admitted = self.account(workspace).admitted.sum(now);
        let promised = throughput * self.length.as_secs_f64();
        if admitted < level(&asked, promised) {
            return Standing::Within;
        }
        let even = level(&asked, given);
        Standing::Beyond {
            excess: if even.is_finite() {
                admitted / even
            } else {
                1.0
            },
        }
    }
}

/// Returns the share at which `capacity` is used up, each taking the lesser of
/// its demand and the share; infinite when it is not used up. The demands are
/// in ascending order.
fn level(asked: &[f64], capacity: f64) -> f64 {
    let mut left = capacity;
    let mut count = asked.len();
    for demand in asked {
        #[allow(clippy::cast_precision_loss)]
        let even = left / count as f64;
        if *demand > even {
            return even;
        }
        left -= demand;
        count -= 1;
    }
    f64::INFINITY
}
