//! Finds out which routers answer.
//!
//! Once a period a router pings one member of its own zone, one of the other
//! zones and one that is dead or has never answered: three pings whatever the
//! fleet's size. A ping without an answer is repeated through two other
//! routers; when these hear nothing either, the member becomes suspect, and
//! dead if it has not contradicted within the suspicion time.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Instant;

use super::update::Standing;
use super::{MemberState, Membership};
use crate::ids::RouterId;
use crate::params::Params;

/// Routers asked to ping a member that did not answer.
const HELPERS: usize = 2;
/// Pings at the start, so that the first round tells much at once.
const FIRST_PINGS: usize = 8;

/// Who a ping is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// This router wants to know.
    Own,
    /// Another router asked for it.
    Helping { asker: RouterId, seq: u64 },
}

/// A ping whose answer is awaited.
#[derive(Debug, Clone, Copy)]
struct Pending {
    target: RouterId,
    sent: Instant,
    purpose: Purpose,
    helped: bool,
}

/// Which members a round takes its target from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Zone,
    Across,
    Dead,
}

const GROUPS: [Group; 3] = [Group::Zone, Group::Across, Group::Dead];

/// Something the prober wants sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Ping a router under this number.
    Ping(RouterId, u64),
    /// Ask a router to ping the target.
    Request {
        /// Who is asked.
        helper: RouterId,
        /// Whom to ping.
        target: RouterId,
        /// Number of the original ping.
        seq: u64,
    },
}

/// State of the probes of one router.
#[derive(Debug, Default)]
pub struct Prober {
    next_seq: u64,
    next_round: Option<Instant>,
    pending: BTreeMap<u64, Pending>,
    heard: BTreeMap<RouterId, Instant>,
    suspects: BTreeMap<RouterId, Instant>,
    cursors: BTreeMap<Group, RouterId>,
    first: BTreeSet<u64>,
}

impl Prober {
    /// Creates a prober that does nothing until it is started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Pings several members at once; the first round decides on readiness.
    pub fn start(&mut self, now: Instant, members: &Membership, params: &Params) -> Vec<Order> {
        self.next_round = Some(now + params.probe_period);
        let others: Vec<_> = members
            .members()
            .map(|(id, _)| id)
            .filter(|id| *id != members.me())
            .take(FIRST_PINGS)
            .collect();
        let orders: Vec<_> = others
            .into_iter()
            .map(|r| self.ping(now, r, Purpose::Own))
            .collect();
        self.first = self.pending.keys().copied().collect();
        orders
    }

    /// Returns whether the prober was started.
    #[must_use]
    pub fn started(&self) -> bool {
        self.next_round.is_some()
    }

    /// Returns whether an answer to the first pings may still come.
    #[must_use]
    pub fn first_open(&self) -> bool {
        !self.first.is_empty()
    }

    fn ping(&mut self, now: Instant, target: RouterId, purpose: Purpose) -> Order {
        self.next_seq += 1;
        self.pending.insert(
            self.next_seq,
            Pending {
                target,
                sent: now,
                purpose,
                helped: false,
            },
        );
        Order::Ping(target, self.next_seq)
    }

    /// Pings several members at once, so that they learn of this router's standing.
    pub fn spread(&mut self, now: Instant, members: &Membership) -> Vec<Order> {
        if !self.started() {
            return Vec::new();
        }
        let others: Vec<_> = members
            .present()
            .filter(|id| *id != members.me())
            .take(FIRST_PINGS)
            .collect();
        others
            .into_iter()
            .map(|r| self.ping(now, r, Purpose::Own))
            .collect()
    }

    /// Pings a router that was not known before.
    pub fn introduce(&mut self, now: Instant, target: RouterId) -> Order {
        self.ping(now, target, Purpose::Own)
    }

    /// Pings `target` for another router.
    pub fn help(&mut self, now: Instant, asker: RouterId, seq: u64, target: RouterId) -> Order {
        self.ping(now, target, Purpose::Helping { asker, seq })
    }

    /// Takes in that a router was heard of directly.
    pub fn hear(&mut self, now: Instant, from: RouterId) {
        self.heard.insert(from, now);
    }

    /// Takes in an answer; returns who is to be told, with the number it knows.
    pub fn ack(&mut self, seq: u64) -> Option<(RouterId, u64)> {
        self.first.remove(&seq);
        match self.pending.remove(&seq)?.purpose {
            Purpose::Own => None,
            Purpose::Helping { asker, seq } => Some((asker, seq)),
        }
    }

    /// Starts or ends the suspicion time after the claim about `router` changed.
    pub fn track(&mut self, now: Instant, router: RouterId, members: &Membership, params: &Params) {
        let suspect = members
            .update(router)
            .is_some_and(|u| u.suspect && u.standing != Standing::Dead);
        if !suspect {
            self.suspects.remove(&router);
            return;
        }
        let doublings = members.size().max(1).ilog2();
        let time = params.probe_period + params.probe_period * doublings / 2;
        self.suspects.entry(router).or_insert(now + time);
    }

    /// Returns when [`tick`](Self::tick) is due next.
    #[must_use]
    pub fn next_due(&self, params: &Params) -> Option<Instant> {
        let pending = self.pending.values().map(|p| {
            let wait = if p.helped {
                params.probe_period
            } else {
                params.probe_timeout
            };
            p.sent + wait
        });
        let suspects = self.suspects.values().copied();
        pending.chain(suspects).chain(self.next_round).min()
    }

    /// Does what has fallen due; returns what to send.
    pub fn tick(&mut self, now: Instant, members: &mut Membership, params: &Params) -> Vec<Order> {
        let mut orders = self.check_pending(now, members, params);
        self.check_suspects(now, members);
        if self.next_round.is_some_and(|at| at <= now) {
            self.next_round = Some(now + params.probe_period);
            orders.extend(self.round(now, members));
        }
        orders
    }

    fn round(&mut self, now: Instant, members: &Membership) -> Vec<Order> {
        let mut orders = Vec::new();
        for group in GROUPS {
            if let Some(target) = self.next_target(group, members) {
                orders.push(self.ping(now, target, Purpose::Own));
            }
        }
        orders
    }

    /// Picks the member of `group` that follows the last one in the order of identifiers.
    fn next_target(&mut self, group: Group, members: &Membership) -> Option<RouterId> {
        let me = members.me();
        let zone = members.get(me)?.zone;
        let candidates: BTreeSet<RouterId> = members
            .members()
            .filter(|(id, m)| {
                let found = match (m.state == MemberState::Dead, m.zone == zone) {
                    (true, _) => Group::Dead,
                    (false, true) => Group::Zone,
                    (false, false) => Group::Across,
                };
                *id != me && found == group
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
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let seqs: Vec<u64> = self.pending.keys().copied().collect();
        for seq in seqs {
            let pending = self.pending[&seq];
            if self
                .heard
                .get(&pending.target)
                .is_some_and(|at| *at > pending.sent)
            {
                self.pending.remove(&seq);
                self.first.remove(&seq);
            } else if now >= pending.sent + params.probe_period {
                self.pending.remove(&seq);
                self.first.remove(&seq);
                self.fail(now, pending, members, params);
            } else if !pending.helped && now >= pending.sent + params.probe_timeout {
                self.first.remove(&seq);
                orders.extend(self.ask_helpers(seq, pending, members));
            }
        }
        orders
    }

    fn ask_helpers(&mut self, seq: u64, pending: Pending, members: &Membership) -> Vec<Order> {
        if let Some(p) = self.pending.get_mut(&seq) {
            p.helped = true;
        }
        let dead = members
            .get(pending.target)
            .is_none_or(|m| m.state == MemberState::Dead);
        if dead || pending.purpose != Purpose::Own {
            return Vec::new();
        }
        let usable: Vec<_> = members
            .members()
            .filter(|(id, m)| {
                *id != members.me() && *id != pending.target && m.state == MemberState::Alive
            })
            .map(|(id, _)| id)
            .collect();
        let turn = usize::try_from(seq).unwrap_or(0);
        (0..HELPERS.min(usable.len()))
            .map(|i| Order::Request {
                helper: usable[(turn + i) % usable.len()],
                target: pending.target,
                seq,
            })
            .collect()
    }

    fn fail(&mut self, now: Instant, pending: Pending, members: &mut Membership, params: &Params) {
        let dead = members
            .get(pending.target)
            .is_none_or(|m| m.state == MemberState::Dead);
        if dead || pending.purpose != Purpose::Own {
            return;
        }
        if members.conclude(pending.target, Standing::Probation, true) {
            self.track(now, pending.target, members, params);
        }
    }

    fn check_suspects(&mut self, now: Instant, members: &mut Membership) {
        let due: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(r, _)| *r)
            .collect();
        for router in due {
            self.suspects.remove(&router);
            members.conclude(router, Standing::Dead, false);
        }
    }
}
