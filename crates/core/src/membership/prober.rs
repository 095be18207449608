//! Detects unreachable routers by pings, as in SWIM.
//!
//! In each probe period a router pings one member of its own zone, one of the other zones and one
//! that is dead or has never answered: three pings, independent of the fleet's size. An unanswered
//! ping is repeated through two other routers. If these get no answer either, the member becomes
//! suspect, and dead unless it refutes the suspicion within the suspicion time.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Instant;

use super::update::Standing;
use super::{MemberState, Membership};
use crate::ids::RouterId;
use crate::params::Params;

/// Number of routers asked to ping a member that did not answer.
const INDIRECT_PINGS: usize = 2;
/// Maximum number of pings sent at once: at the start, to learn states early, and when leaving.
const MAX_PING_BURST: usize = 8;

/// On whose behalf a ping is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// On behalf of this router.
    Direct,
    /// On behalf of router `asker`, which pinged the target under `seq`.
    Indirect { asker: RouterId, seq: u64 },
}

/// A ping that was not answered yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    target: RouterId,
    sent: Instant,
    purpose: Purpose,
    helpers_asked: bool,
}

/// Members that are pinged in turn; each round pings one member of each group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    SameZone,
    OtherZones,
    Dead,
}

const GROUPS: [Group; 3] = [Group::SameZone, Group::OtherZones, Group::Dead];

/// A message to be sent for the prober.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outgoing {
    /// Ping a router, with this sequence number.
    Ping(RouterId, u64),
    /// Ask a router to ping another one.
    Request {
        /// The router that is asked.
        helper: RouterId,
        /// The router to ping.
        target: RouterId,
        /// Sequence number of the original ping.
        seq: u64,
    },
}

/// State of the probes that this router sends.
#[derive(Debug, Default)]
pub struct Prober {
    next_seq: u64,
    next_round: Option<Instant>,
    pending: BTreeMap<u64, Pending>,
    last_contact: BTreeMap<RouterId, Instant>,
    suspicion_ends: BTreeMap<RouterId, Instant>,
    cursors: BTreeMap<Group, RouterId>,
    initial: BTreeSet<u64>,
}

impl Prober {
    /// Creates a prober that sends no rounds until it is started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the rounds with several pings; the router is not ready while one may be answered.
    pub fn start(&mut self, now: Instant, members: &Membership, params: &Params) -> Vec<Outgoing> {
        self.next_round = Some(now + params.probe_period);
        let others: Vec<_> = members
            .members()
            .map(|(id, _)| id)
            .filter(|id| *id != members.me())
            .take(MAX_PING_BURST)
            .collect();
        let outgoing: Vec<_> = others
            .into_iter()
            .map(|r| self.ping(now, r, Purpose::Direct))
            .collect();
        self.initial = self.pending.keys().copied().collect();
        outgoing
    }

    /// Returns whether the prober was started.
    #[must_use]
    pub fn started(&self) -> bool {
        self.next_round.is_some()
    }

    /// Returns whether a ping sent by [`start`](Self::start) may still be answered.
    #[must_use]
    pub fn initial_pending(&self) -> bool {
        !self.initial.is_empty()
    }

    fn ping(&mut self, now: Instant, target: RouterId, purpose: Purpose) -> Outgoing {
        self.next_seq += 1;
        self.pending.insert(
            self.next_seq,
            Pending {
                target,
                sent: now,
                purpose,
                helpers_asked: false,
            },
        );
        Outgoing::Ping(target, self.next_seq)
    }

    /// Pings several members at once, so that they learn this router's standing.
    pub fn announce(&mut self, now: Instant, members: &Membership) -> Vec<Outgoing> {
        if !self.started() {
            return Vec::new();
        }
        let others: Vec<_> = members
            .present()
            .filter(|id| *id != members.me())
            .take(MAX_PING_BURST)
            .collect();
        others
            .into_iter()
            .map(|r| self.ping(now, r, Purpose::Direct))
            .collect()
    }

    /// Pings a newly listed router.
    pub fn ping_new(&mut self, now: Instant, target: RouterId) -> Outgoing {
        self.ping(now, target, Purpose::Direct)
    }

    /// Pings `target` on behalf of router `asker`.
    pub fn ping_for(
        &mut self,
        now: Instant,
        asker: RouterId,
        seq: u64,
        target: RouterId,
    ) -> Outgoing {
        self.ping(now, target, Purpose::Indirect { asker, seq })
    }

    /// Records that a message came directly from a router.
    pub fn record_contact(&mut self, now: Instant, from: RouterId) {
        self.last_contact.insert(from, now);
    }

    /// Records an answer; returns the router to forward it to and its sequence number, if any.
    pub fn ack(&mut self, seq: u64) -> Option<(RouterId, u64)> {
        self.initial.remove(&seq);
        match self.pending.remove(&seq)?.purpose {
            Purpose::Direct => None,
            Purpose::Indirect { asker, seq } => Some((asker, seq)),
        }
    }

    /// Starts or ends the suspicion time of `router` after its state changed.
    pub fn update_suspicion(
        &mut self,
        now: Instant,
        router: RouterId,
        members: &Membership,
        params: &Params,
    ) {
        let suspect = members
            .update(router)
            .is_some_and(|u| u.suspect && u.standing != Standing::Dead);
        if !suspect {
            self.suspicion_ends.remove(&router);
            return;
        }
        let doublings = members.size().max(1).ilog2();
        let time = params.probe_period + params.probe_period * doublings / 2;
        self.suspicion_ends.entry(router).or_insert(now + time);
    }

    /// Returns when [`tick`](Self::tick) is due next.
    #[must_use]
    pub fn next_due(&self, params: &Params) -> Option<Instant> {
        let pending = self.pending.values().map(|p| {
            let wait = if p.helpers_asked {
                params.probe_period
            } else {
                params.probe_timeout
            };
            p.sent + wait
        });
        let suspicions = self.suspicion_ends.values().copied();
        pending.chain(suspicions).chain(self.next_round).min()
    }

    /// Handles expired pings and suspicions and starts a round if due.
    pub fn tick(
        &mut self,
        now: Instant,
        members: &mut Membership,
        params: &Params,
    ) -> Vec<Outgoing> {
        let mut outgoing = self.check_pending(now, members, params);
        self.expire_suspicions(now, members);
        if self.next_round.is_some_and(|at| at <= now) {
            self.next_round = Some(now + params.probe_period);
            outgoing.extend(self.ping_round(now, members));
        }
        outgoing
    }

    fn ping_round(&mut self, now: Instant, members: &Membership) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for group in GROUPS {
            if let Some(target) = self.next_target(group, members) {
                outgoing.push(self.ping(now, target, Purpose::Direct));
            }
        }
        outgoing
    }

    /// Picks the member of `group` after the one picked last, in the order of identifiers.
    fn next_target(&mut self, group: Group, members: &Membership) -> Option<RouterId> {
        let me = members.me();
        let zone = members.get(me)?.zone;
        let candidates: BTreeSet<RouterId> = members
            .members()
            .filter(|(id, m)| {
                let member_group = match (m.state == MemberState::Dead, m.zone == zone) {
                    (true, _) => Group::Dead,
                    (false, true) => Group::SameZone,
                    (false, false) => Group::OtherZones,
                };
                *id != me && member_group == group
            })
            .map(|(id, _)| id)
            .collect();
        let last = self.cursors.get(&group).copied().unwrap_or(me);
        let next = candidates
            .range((Bound::Excluded(last), Bound::Unbounded))
            .next()
            .or_else(|| candidates.first())
            .copied()?;
        self.cursors.insert(group, next);
        Some(next)
    }

    fn check_pending(
        &mut self,
        now: Instant,
        members: &mut Membership,
        params: &Params,
    ) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let seqs: Vec<u64> = self.pending.keys().copied().collect();
        for seq in seqs {
            let pending = self.pending[&seq];
            if self
                .last_contact
                .get(&pending.target)
                .is_some_and(|at| *at > pending.sent)
            {
                self.pending.remove(&seq);
                self.initial.remove(&seq);
            } else if now >= pending.sent + params.probe_period {
                self.pending.remove(&seq);
                self.initial.remove(&seq);
                self.suspect(now, pending, members, params);
            } else if !pending.helpers_asked && now >= pending.sent + params.probe_timeout {
                self.initial.remove(&seq);
                outgoing.extend(self.ping_indirectly(seq, pending, members));
            }
        }
        outgoing
    }

    fn ping_indirectly(
        &mut self,
        seq: u64,
        pending: Pending,
        members: &Membership,
    ) -> Vec<Outgoing> {
        if let Some(p) = self.pending.get_mut(&seq) {
            p.helpers_asked = true;
        }
        let dead = members
            .get(pending.target)
            .is_none_or(|m| m.state == MemberState::Dead);
        if dead || pending.purpose != Purpose::Direct {
            return Vec::new();
        }
        let usable: Vec<_> = members
            .members()
            .filter(|(id, m)| {
                *id != members.me() && *id != pending.target && m.state == MemberState::Alive
            })
            .map(|(id, _)| id)
            .collect();
        let offset = usize::try_from(seq).unwrap_or(0);
        (0..INDIRECT_PINGS.min(usable.len()))
            .map(|i| Outgoing::Request {
                helper: usable[(offset + i) % usable.len()],
                target: pending.target,
                seq,
            })
            .collect()
    }

    fn suspect(
        &mut self,
        now: Instant,
        pending: Pending,
        members: &mut Membership,
        params: &Params,
    ) {
        let dead = members
            .get(pending.target)
            .is_none_or(|m| m.state == MemberState::Dead);
        if dead || pending.purpose != Purpose::Direct {
            return;
        }
        if members.downgrade(pending.target, Standing::Probation, true) {
            self.update_suspicion(now, pending.target, members, params);
        }
    }

    fn expire_suspicions(&mut self, now: Instant, members: &mut Membership) {
        let due: Vec<_> = self
            .suspicion_ends
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(r, _)| *r)
            .collect();
        for router in due {
            self.suspicion_ends.remove(&router);
            members.downgrade(router, Standing::Dead, false);
        }
    }
}
