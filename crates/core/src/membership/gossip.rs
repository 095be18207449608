//! Which claims are passed on, and how often.
//!
//! A new claim is carried by a number of messages that grows with the
//! logarithm of the fleet's size. Besides, every message carries one member in
//! turn, so that routers which missed a claim learn of it in the end.

use std::collections::BTreeMap;

use super::Known;
use crate::ids::RouterId;

/// Messages that carry a claim, per doubling of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 3;
/// Members carried in turn by each message.
const IN_TURN: usize = 1;

/// Claims that are still to be passed on.
#[derive(Debug, Default)]
pub struct Rumours {
    left: BTreeMap<RouterId, u32>,
    turn: Option<RouterId>,
}

impl Rumours {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the claim about `router` is new in a fleet of `size`.
    pub(super) fn spread(&mut self, router: RouterId, size: usize) {
        let doublings = 1 + size.max(1).ilog2();
        self.left.insert(router, SENDS_PER_DOUBLING * doublings);
    }

    /// Takes up to `count` routers whose claims go into the next message.
    pub(super) fn take(
        &mut self,
        count: usize,
        besides: &[RouterId],
        members: &BTreeMap<RouterId, Known>,
    ) -> Vec<RouterId> {
        let mut fresh: Vec<(u32, RouterId)> = self.left.iter().map(|(r, n)| (*n, *r)).collect();
        fresh.sort_unstable_by(|a, b| b.cmp(a));
        let mut taken: Vec<RouterId> = fresh
            .into_iter()
            .map(|(_, r)| r)
            .filter(|r| !besides.contains(r))
            .take(count.saturating_sub(IN_TURN))
            .collect();
        for router in taken.iter().chain(besides) {
            self.count_send(*router);
        }
        taken.extend(
            self.next_turn(members)
                .filter(|r| !besides.contains(r) && !taken.contains(r)),
        );
        taken
    }

    fn count_send(&mut self, router: RouterId) {
        if let Some(left) = self.left.get_mut(&router) {
            *left -= 1;
            if *left == 0 {
                self.left.remove(&router);
            }
        }
    }

    fn next_turn(&mut self, members: &BTreeMap<RouterId, Known>) -> Option<RouterId> {
        let after = self.turn.and_then(|t| {
            let range = (std::ops::Bound::Excluded(t), std::ops::Bound::Unbounded);
            members.range(range).next()
        });
        let next = after.or_else(|| members.iter().next()).map(|(r, _)| *r);
        self.turn = next;
        next
    }
}
