//! Selects the dispatchers that a flow is announced to.
//!
//! Announcing every flow to every dispatcher costs control traffic that grows
//! with the square of the fleet size. It is enough to reach as many dispatchers
//! as the flow needs to receive its portion, and those with free slots.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Flow, RouterId};

/// Minimum number of dispatchers that a flow is announced to.
const MIN_TARGETS: usize = 4;
/// Maximum number of dispatchers of a service for which each flow is announced to all.
const MAX_ALL_TARGETS: usize = 8;
/// Number of targets, as a multiple of the flow's portion of all dispatchers.
const PORTION_FACTOR: f64 = 3.0;

/// The dispatchers of a flow's service and the flow's portion of the capacity.
#[derive(Debug, Clone)]
pub struct Candidates {
    /// The dispatchers of the service.
    pub dispatchers: Vec<RouterId>,
    /// The flow's portion of the capacity, from zero to one.
    pub portion: f64,
}

impl Candidates {
    /// Returns the number of dispatchers that the flow is announced to.
    #[must_use]
    pub fn target_count(&self) -> usize {
        let all = self.dispatchers.len();
        if all <= MAX_ALL_TARGETS {
            return all;
        }
        // The number of dispatchers is far below 2^53, so f64 represents it exactly.
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let count = (self.portion * PORTION_FACTOR * all as f64).ceil() as usize;
        count.clamp(MIN_TARGETS, all)
    }

    /// Returns the dispatchers to announce `flow` to, keeping those of `current` that remain.
    #[must_use]
    pub fn targets(&self, flow: Flow, current: &BTreeSet<RouterId>) -> BTreeSet<RouterId> {
        let mut targets: BTreeSet<_> = self
            .dispatchers
            .iter()
            .copied()
            .filter(|r| current.contains(r))
            .collect();
        let mut ranked = self.dispatchers.clone();
        ranked.sort_by_key(|r| hash(flow, *r));
        let missing = self.target_count().saturating_sub(targets.len());
        let added: Vec<_> = ranked
            .into_iter()
            .filter(|r| !targets.contains(r))
            .take(missing)
            .collect();
        targets.extend(added);
        targets
    }

    /// Returns up to `count` dispatchers that are not among `targets`.
    #[must_use]
    pub fn non_targets(&self, targets: &BTreeSet<RouterId>, count: usize) -> Vec<RouterId> {
        let remaining = self.dispatchers.iter().filter(|r| !targets.contains(r));
        remaining.take(count).copied().collect()
    }
}

/// Orders the candidate targets of a flow.
fn hash(flow: Flow, router: RouterId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&router.0.to_le_bytes());
    bytes[4..8].copy_from_slice(&flow.service.0.to_le_bytes());
    bytes[8..].copy_from_slice(&flow.workspace.0.to_le_bytes());
    xxh3_64(&bytes)
}
