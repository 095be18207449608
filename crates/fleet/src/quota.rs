//! Max-min shares of the engines' throughput among workspaces.
//!
//! Every router knows, from its own requests and the others' reports, how many
//! tokens each workspace asked for and was admitted with in the last window.
//! A workspace that asks for less than an even share gets all of it; what it
//! leaves is shared evenly by the rest. Idle time earns no credit: the window
//! forgets it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_macros::id;

use crate::window::Window;

/// A workspace by the hash of its name, the same at every router.
#[id]
pub struct WorkspaceHash(pub u64);

/// How a workspace stands towards its share.
#[id]
pub enum Standing {
    /// It has received less than its share.
    Within,
    /// It has received its share or more.
    Beyond,
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
        let asked: Vec<f64> = self
            .accounts
            .values_mut()
            .map(|a| a.asked.sum(now))
            .collect();
        let level = level(asked, throughput * self.length.as_secs_f64());
        let admitted = self.account(workspace).admitted.sum(now);
        if admitted < level {
            Standing::Within
        } else {
            Standing::Beyond
        }
    }
}

/// Returns the share at which `capacity` is used up, each taking the lesser of
/// its demand and the share; infinite when it is not used up.
fn level(mut asked: Vec<f64>, capacity: f64) -> f64 {
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut count = asked.len();
    for demand in asked {
        #[allow(clippy::cast_precision_loss)]
        let even = left / count as f64;
        if demand > even {
            return even;
        }
        left -= demand;
        count -= 1;
    }
    f64::INFINITY
}
