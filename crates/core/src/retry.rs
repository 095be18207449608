//! Retry budgets: token buckets that bound the retries of each workspace.
//!
//! Each accepted request of a workspace adds a fraction of a token to the workspace's bucket, and
//! each retry takes one token. A router that accepted `n` requests of a workspace therefore makes
//! at most `n * (1 + fraction) + burst` attempts for it, whatever fails.

use std::collections::BTreeMap;

use crate::ids::WorkspaceId;

/// Retry tokens of each workspace.
#[derive(Debug)]
pub struct Budgets {
    burst: f64,
    tokens: BTreeMap<WorkspaceId, f64>,
}

impl Budgets {
    /// Creates budgets that start with `burst` tokens each, which is also their capacity.
    #[must_use]
    pub fn new(burst: f64) -> Self {
        Self {
            burst,
            tokens: BTreeMap::new(),
        }
    }

    fn tokens(&mut self, workspace: WorkspaceId) -> &mut f64 {
        self.tokens.entry(workspace).or_insert(self.burst)
    }

    /// Adds a `fraction` of a token for an accepted request.
    pub fn deposit(&mut self, workspace: WorkspaceId, fraction: f64) {
        let burst = self.burst;
        let tokens = self.tokens(workspace);
        *tokens = (*tokens + fraction.clamp(0.0, 1.0)).min(burst);
    }

    /// Takes a token for one retry; returns false if there is none.
    pub fn withdraw(&mut self, workspace: WorkspaceId) -> bool {
        let tokens = self.tokens(workspace);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
