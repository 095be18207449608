//! The retry budget: how many retries a workspace may cause.
//!
//! Each accepted request of a workspace adds a fraction of a token to the
//! workspace's bucket, each retry takes one. A router that accepted `n`
//! requests of a workspace therefore makes at most
//! `n * (1 + fraction) + burst` attempts for it, whatever fails.

use std::collections::BTreeMap;

use crate::ids::WorkspaceId;

/// Tokens for retries, per workspace.
#[derive(Debug)]
pub struct Budgets {
    burst: f64,
    tokens: BTreeMap<WorkspaceId, f64>,
}

impl Budgets {
    /// Creates budgets that hold at most `burst` tokens each, and start with them.
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

    /// Adds the `fraction` of a token that an accepted request brings.
    pub fn deposit(&mut self, workspace: WorkspaceId, fraction: f64) {
        let burst = self.burst;
        let tokens = self.tokens(workspace);
        *tokens = (*tokens + fraction.clamp(0.0, 1.0)).min(burst);
    }

    /// Takes a token for one retry; false when none is left.
    pub fn withdraw(&mut self, workspace: WorkspaceId) -> bool {
        let tokens = self.tokens(workspace);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
