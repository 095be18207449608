//! Max-min fair shares of the engines' throughput among workspaces.
//!
//! From its own requests and the other routers' reports, every router knows how many tokens each
//! workspace requested and received in the last window. A workspace that requests less than an
//! even share gets all of it; the others share the rest evenly. Idle time earns no credit, since it
//! leaves the window.
//!
//! The engines usually provide more than the throughput that the operator guarantees. The surplus
//! is shared the same way: for a workspace over its guaranteed share, [`ShareStatus`] gives its
//! tokens relative to an even share of everything admitted, so that workspaces with less are
//! preferred.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};

use crate::window::Window;

/// Hash of a workspace's name, the same at every router.
#[id]
pub struct WorkspaceHash(pub u64);

/// Usage of a workspace compared with its fair share.
#[value]
pub enum ShareStatus {
    /// The workspace has received less than its guaranteed share.
    Within,
    /// The workspace has received its guaranteed share or more.
    Beyond {
        /// Admitted tokens relative to an even share of everything admitted.
        excess: f64,
    },
}

impl ShareStatus {
    /// Returns whether the workspace has received less than its guaranteed share.
    #[must_use]
    pub fn is_within(self) -> bool {
        self == Self::Within
    }
}

/// Tokens of one workspace.
#[derive(Debug)]
struct Account {
    /// Tokens requested in the window.
    requested: Window,
    /// Tokens of the requests that servers began to run in the window.
    admitted: Window,
    /// Tokens of the requests that were sent to servers and have not begun yet.
    pending: f64,
}

impl Account {
    /// Returns what the workspace received in the window or is about to receive.
    fn received(&mut self, now: Instant) -> f64 {
        self.admitted.sum(now) + self.pending
    }

    /// Returns the tokens requested and received in the window, without dropping old amounts.
    fn peek(&self, now: Instant) -> (f64, f64) {
        let received = self.admitted.peek(now) + self.pending;
        (self.requested.peek(now), received)
    }
}

/// Tokens of a workspace in the window, at all routers.
#[value]
#[derive(Default)]
pub struct Usage {
    /// Tokens that it requested.
    pub requested: f64,
    /// Tokens that it received or is about to receive.
    pub received: f64,
    /// Tokens that the workspace which received most did.
    pub most_received: f64,
}

/// Tokens requested and admitted, by workspace.
#[derive(Debug)]
pub struct Quota {
    window: Duration,
    accounts: BTreeMap<WorkspaceHash, Account>,
}

impl Quota {
    /// Creates empty accounts over windows of the given length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            accounts: BTreeMap::new(),
        }
    }

    fn account(&mut self, workspace: WorkspaceHash) -> &mut Account {
        let window = self.window;
        self.accounts.entry(workspace).or_insert_with(|| Account {
            requested: Window::new(window),
            admitted: Window::new(window),
            pending: 0.0,
        })
    }

    /// Counts tokens that a workspace requested.
    pub fn add_requested(&mut self, now: Instant, workspace: WorkspaceHash, tokens: f64) {
        self.account(workspace).requested.add(now, tokens);
    }

    /// Adds to the tokens that were sent to servers and have not begun to run yet.
    ///
    /// They count only until it is known whether they run: a server that fails before it begins
    /// has given the workspace nothing.
    pub fn add_pending(&mut self, workspace: WorkspaceHash, tokens: f64) {
        let account = self.account(workspace);
        account.pending = (account.pending + tokens).max(0.0);
    }

    /// Counts tokens of a request that began to run.
    pub fn add_admitted(&mut self, now: Instant, workspace: WorkspaceHash, tokens: f64) {
        self.account(workspace).admitted.add(now, tokens);
    }

    /// Returns the tokens per second that all workspaces requested in the window, each weighted by
    /// `weight` of its status while `throughput` tokens per second are shared, and of the even shares
    /// that it requested.
    #[must_use]
    pub fn weighted_rate(
        &self,
        now: Instant,
        throughput: f64,
        weight: impl Fn(ShareStatus, f64) -> f64,
    ) -> f64 {
        let usages = self.usages(now);
        let shared = Shared::new(&usages, throughput * self.window.as_secs_f64());
        let weighted = usages.iter().map(|(requested, received)| {
            requested * weight(shared.status(*received), requested / shared.even)
        });
        weighted.sum::<f64>() / self.window.as_secs_f64()
    }

    /// Returns what a workspace requested in the window, in even shares of everything that was given.
    #[must_use]
    pub fn requested_shares(&self, now: Instant, workspace: WorkspaceHash) -> f64 {
        let account = self.accounts.get(&workspace);
        let requested = account.map_or(0.0, |a| a.requested.peek(now));
        requested / Shared::new(&self.usages(now), 0.0).even
    }

    /// Returns the tokens that each workspace requested and received in the window.
    fn usages(&self, now: Instant) -> Vec<(f64, f64)> {
        self.accounts.values().map(|a| a.peek(now)).collect()
    }

    /// Returns what a workspace requested and received in the window.
    #[must_use]
    pub fn usage(&self, now: Instant, workspace: WorkspaceHash) -> Usage {
        let account = self.accounts.get(&workspace);
        let (requested, received) = account.map_or((0.0, 0.0), |a| a.peek(now));
        let all = self.usages(now).into_iter().map(|(_, received)| received);
        Usage {
            requested,
            received,
            most_received: all.fold(0.0, f64::max),
        }
    }

    /// Returns the status of a workspace while `throughput` tokens per second are shared.
    pub fn share_status(
        &mut self,
        now: Instant,
        workspace: WorkspaceHash,
        throughput: f64,
    ) -> ShareStatus {
        if throughput <= 0.0 {
            return ShareStatus::Within;
        }
        let accounts = self.accounts.values_mut();
        let usages: Vec<(f64, f64)> = accounts
            .map(|a| (a.requested.sum(now), a.received(now)))
            .collect();
        let received = self.account(workspace).received(now);
        Shared::new(&usages, throughput * self.window.as_secs_f64()).status(received)
    }
}

/// What is shared among the workspaces.
struct Shared {
    /// Largest guaranteed share; infinite if nothing is guaranteed, so that nobody is over it.
    guaranteed: f64,
    /// Even share of everything that was given.
    even: f64,
}

impl Shared {
    /// Computes the shares of workspaces that requested and received so many tokens, of which
    /// `guaranteed` are guaranteed to all together.
    fn new(usages: &[(f64, f64)], guaranteed: f64) -> Self {
        let mut requested: Vec<f64> = usages.iter().map(|(requested, _)| *requested).collect();
        requested.sort_by(f64::total_cmp);
        let total_received = usages.iter().map(|(_, received)| *received).sum();
        Self {
            guaranteed: if guaranteed > 0.0 {
                fair_share(&requested, guaranteed)
            } else {
                f64::INFINITY
            },
            even: fair_share(&requested, total_received),
        }
    }

    /// Returns the status of a workspace that received so many tokens.
    fn status(&self, received: f64) -> ShareStatus {
        if received < self.guaranteed {
            return ShareStatus::Within;
        }
        ShareStatus::Beyond {
            excess: if self.even.is_finite() {
                received / self.even
            } else {
                1.0
            },
        }
    }
}

/// Returns the max-min fair share: the level at which `capacity` is used up if each workspace gets
/// the lesser of its demand and the level; infinite if the demand is less than the capacity.
/// `requested` is in ascending order.
pub(crate) fn fair_share(requested: &[f64], capacity: f64) -> f64 {
    let mut remaining = capacity;
    let mut count = requested.len();
    for demand in requested {
        #[allow(clippy::cast_precision_loss)]
        let even = remaining / count as f64;
        if *demand > even {
            return even;
        }
        remaining -= demand;
        count -= 1;
    }
    f64::INFINITY
}
