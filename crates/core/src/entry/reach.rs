//! How many dispatchers a flow is announced to.
//!
//! Telling every dispatcher of every flow costs control traffic that grows
//! with the square of the fleet. A flow needs to be known to enough
//! dispatchers to receive its portion, and to those that have room.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Flow, RouterId};

/// A flow is announced to this many dispatchers at least.
const LEAST_TARGETS: usize = 4;
/// Up to this many dispatchers are all told.
const ALL_TARGETS: usize = 8;
/// Dispatchers told, as a multiple of the flow's portion of all of them.
const PORTION_FACTOR: f64 = 3.0;

/// The dispatchers of a flow's service and the flow's portion of the capacity.
#[derive(Debug, Clone)]
pub struct Reach {
    /// The dispatchers.
    pub dispatchers: Vec<RouterId>,
    /// The portion, from zero to one.
    pub portion: f64,
}

impl Reach {
    /// Returns how many dispatchers the flow is announced to.
    #[must_use]
    pub fn width(&self) -> usize {
        let all = self.dispatchers.len();
        if all <= ALL_TARGETS {
            return all;
        }
        // Fleets are far smaller than the integers that a double holds.
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let wanted = (self.portion * PORTION_FACTOR * all as f64).ceil() as usize;
        wanted.clamp(LEAST_TARGETS, all)
    }

    /// Returns the dispatchers to announce `flow` to, keeping `current` where it can.
    #[must_use]
    pub fn targets(&self, flow: Flow, current: &BTreeSet<RouterId>) -> BTreeSet<RouterId> {
        let mut targets: BTreeSet<_> = self
            .dispatchers
            .iter()
            .copied()
            .filter(|r| current.contains(r))
            .collect();
        let mut ranked = self.dispatchers.clone();
        ranked.sort_by_key(|r| weight(flow, *r));
        let missing = self.width().saturating_sub(targets.len());
        let further: Vec<_> = ranked
            .into_iter()
            .filter(|r| !targets.contains(r))
            .take(missing)
            .collect();
        targets.extend(further);
        targets
    }

    /// Returns up to `number` dispatchers that are not among `targets`.
    #[must_use]
    pub fn beyond(&self, targets: &BTreeSet<RouterId>, number: usize) -> Vec<RouterId> {
        let others = self.dispatchers.iter().filter(|r| !targets.contains(r));
        others.take(number).copied().collect()
    }
}

fn weight(flow: Flow, router: RouterId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&router.0.to_le_bytes());
    bytes[4..8].copy_from_slice(&flow.service.0.to_le_bytes());
    bytes[8..].copy_from_slice(&flow.workspace.0.to_le_bytes());
    xxh3_64(&bytes)
}
