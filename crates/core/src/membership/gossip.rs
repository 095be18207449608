//! Selects the membership updates that a message carries.
//!
//! Each new update is sent in a number of messages that grows with the logarithm
//! of the fleet's size. In addition, each message carries the state of one
//! member in turn, so that routers that missed an update receive it later.

use std::collections::BTreeMap;

use super::MemberRecord;
use crate::ids::RouterId;

/// Number of messages that carry an update, per doubling of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 3;
/// Number of members whose state each message carries in turn.
const MEMBERS_IN_TURN: usize = 1;

/// Updates that are still to be sent.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    remaining_sends: BTreeMap<RouterId, u32>,
    last_in_turn: Option<RouterId>,
}

impl UpdateQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues the new update about `router` in a fleet of `size` routers.
    pub(super) fn push(&mut self, router: RouterId, size: usize) {
        let doublings = 1 + size.max(1).ilog2();
        self.remaining_sends
            .insert(router, SENDS_PER_DOUBLING * doublings);
    }

    /// Returns up to `count` routers whose updates go into the next message; those about
    /// `included`, which it carries anyway, count as sent.
    pub(super) fn take(
        &mut self,
        count: usize,
        included: &[RouterId],
        members: &BTreeMap<RouterId, MemberRecord>,
    ) -> Vec<RouterId> {
        let mut queued: Vec<(u32, RouterId)> =
            self.remaining_sends.iter().map(|(r, n)| (*n, *r)).collect();
        queued.sort_unstable_by(|a, b| b.cmp(a));
        let mut taken: Vec<RouterId> = queued
            .into_iter()
            .map(|(_, r)| r)
            .filter(|r| !included.contains(r))
            .take(count.saturating_sub(MEMBERS_IN_TURN))
            .collect();
        for router in taken.iter().chain(included) {
            self.count_send(*router);
        }
        taken.extend(
            self.next_in_turn(members)
                .filter(|r| !included.contains(r) && !taken.contains(r)),
        );
        taken
    }

    fn count_send(&mut self, router: RouterId) {
        if let Some(remaining) = self.remaining_sends.get_mut(&router) {
            *remaining -= 1;
            if *remaining == 0 {
                self.remaining_sends.remove(&router);
            }
        }
    }

    fn next_in_turn(&mut self, members: &BTreeMap<RouterId, MemberRecord>) -> Option<RouterId> {
        let after = self.last_in_turn.and_then(|t| {
            let range = (std::ops::Bound::Excluded(t), std::ops::Bound::Unbounded);
            members.range(range).next()
        });
        let next = after.or_else(|| members.iter().next()).map(|(r, _)| *r);
        self.last_in_turn = next;
        next
    }
}
