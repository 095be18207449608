//! Which routers are alive, and which role each one has.
//!
//! [`update`] holds what routers tell each other, [`prober`] finds out who
//! answers, [`gossip`] decides what is passed on, [`flap`] withholds roles
//! from a router that keeps vanishing, and [`hosts`] takes in the platform's
//! list. Roles are assigned by rendezvous hashing over the live routers, so no
//! host is set aside for any of them.

pub mod flap;
pub mod gossip;
pub mod hosts;
pub mod prober;
mod roles;
pub mod update;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use hibiscusrail_macros::{id, value};

use crate::ids::{Incarnation, RouterId, ZoneId};
use gossip::Rumours;
use hosts::HostView;
use update::{Life, Standing, Update};

/// A router as the membership knows it.
#[value]
pub struct Member {
    /// Its zone.
    pub zone: ZoneId,
    /// Whether roles may be assigned to it.
    pub state: MemberState,
}

/// What is known of a router's health.
#[id]
pub enum MemberState {
    /// It answers.
    Alive,
    /// A probe failed; it keeps its roles until the suspicion is confirmed.
    Suspect,
    /// It answers, but vanished too often lately: roles only where no other is left.
    Probation,
    /// It stops gracefully: roles only where no other is left; its running work counts.
    Leaving,
    /// It does not answer.
    Dead,
}

impl MemberState {
    /// Returns a short stable name for logs and status.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Probation => "probation",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        }
    }
}

/// Everything known of one router.
#[derive(Debug, Clone)]
struct Known {
    member: Member,
    life: Life,
    standing: Standing,
    suspect: bool,
    address: Option<SocketAddr>,
}

impl Known {
    fn new(zone: ZoneId, life: Life, standing: Standing) -> Self {
        let mut known = Self {
            member: Member {
                zone,
                state: MemberState::Alive,
            },
            life,
            standing,
            suspect: false,
            address: None,
        };
        known.derive_state();
        known
    }

    fn derive_state(&mut self) {
        self.member.state = match (self.standing, self.suspect) {
            (Standing::Alive, false) => MemberState::Alive,
            (Standing::Alive, true) => MemberState::Suspect,
            (Standing::Probation, _) => MemberState::Probation,
            (Standing::Leaving, _) => MemberState::Leaving,
            (Standing::Dead, _) => MemberState::Dead,
        };
    }

    fn claim(&self) -> (Life, Standing, bool) {
        (self.life, self.standing, self.suspect)
    }
}

/// Whether a change from one state to another matters to roles or to work in progress.
fn changes_view(old: MemberState, new: MemberState) -> bool {
    let class = |s| match s {
        MemberState::Suspect => MemberState::Alive,
        other => other,
    };
    class(old) != class(new)
}

/// What became of a claim.
#[id]
pub enum Merged {
    /// It was known already, or is outdated.
    Nothing,
    /// It is about this router and wrong; this router now contradicts it.
    Refuted,
    /// It was taken in.
    Changed,
}

/// The routers in the view of this one.
#[derive(Debug)]
pub struct Membership {
    me: RouterId,
    members: BTreeMap<RouterId, Known>,
    view: u64,
    hosts: HostView,
    rumours: Rumours,
}

impl Membership {
    /// Creates the membership of router `me` in `zone` alone.
    #[must_use]
    pub fn new(me: RouterId, zone: ZoneId) -> Self {
        let own = Known::new(zone, Life::UNKNOWN, Standing::Alive);
        Self {
            me,
            members: BTreeMap::from([(me, own)]),
            view: 0,
            hosts: HostView::new(),
            rumours: Rumours::new(),
        }
    }

    /// Sets the run of this router and where it takes datagrams.
    pub fn set_self(&mut self, incarnation: Incarnation, address: SocketAddr) {
        if let Some(own) = self.members.get_mut(&self.me) {
            own.life = Life {
                incarnation,
                refutation: 0,
            };
            own.address = Some(address);
        }
    }

    /// Adds a router, or replaces what is known of its zone and state.
    pub fn insert(&mut self, router: RouterId, member: Member) {
        if self.get(router) == Some(&member) {
            return;
        }
        let (standing, suspect) = match member.state {
            MemberState::Alive => (Standing::Alive, false),
            MemberState::Suspect => (Standing::Alive, true),
            MemberState::Probation => (Standing::Probation, false),
            MemberState::Leaving => (Standing::Leaving, false),
            MemberState::Dead => (Standing::Dead, false),
        };
        let old = self.members.get(&router);
        let mut known = Known::new(member.zone, Life::UNKNOWN, standing);
        known.suspect = suspect;
        known.life = old.map_or(Life::UNKNOWN, |o| o.life);
        known.address = old.and_then(|o| o.address);
        known.derive_state();
        self.members.insert(router, known);
        self.view += 1;
    }

    /// Notes where a router takes datagrams, unless it has said so itself.
    pub fn set_address(&mut self, router: RouterId, address: SocketAddr) {
        if let Some(known) = self.members.get_mut(&router)
            && known.life == Life::UNKNOWN
        {
            known.address = Some(address);
        }
    }

    /// Returns a number that grows with every change of roles or presence.
    #[must_use]
    pub fn view(&self) -> u64 {
        self.view
    }

    /// Returns this router.
    #[must_use]
    pub fn me(&self) -> RouterId {
        self.me
    }

    /// Returns what is known of a router.
    #[must_use]
    pub fn get(&self, router: RouterId) -> Option<&Member> {
        self.members.get(&router).map(|k| &k.member)
    }

    /// Returns where a router takes datagrams.
    #[must_use]
    pub fn address(&self, router: RouterId) -> Option<SocketAddr> {
        self.members.get(&router)?.address
    }

    /// Returns the run of a router and the number of its last claim.
    #[must_use]
    pub fn life(&self, router: RouterId) -> Option<Life> {
        self.members.get(&router).map(|k| k.life)
    }

    /// Returns all routers ever heard of, this one included.
    pub fn members(&self) -> impl Iterator<Item = (RouterId, &Member)> {
        self.members.iter().map(|(id, k)| (*id, &k.member))
    }

    /// Returns all routers ever heard of, in whatever state.
    pub fn known(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.members.keys().copied()
    }

    /// Returns how many routers may still hold slots.
    #[must_use]
    pub fn size(&self) -> usize {
        self.present().count()
    }

    /// Returns all routers that may still hold slots: all but the dead.
    pub fn present(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.members()
            .filter(|(_, m)| m.state != MemberState::Dead)
            .map(|(id, _)| id)
    }

    /// Returns the claim about a router that others are told.
    #[must_use]
    pub fn update(&self, router: RouterId) -> Option<Update> {
        let known = self.members.get(&router)?;
        let nowhere = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Some(Update {
            router,
            zone: known.member.zone,
            address: known.address.unwrap_or(nowhere),
            life: known.life,
            standing: known.standing,
            suspect: known.suspect,
        })
    }

    /// Takes in a claim of another router.
    pub fn merge(&mut self, update: &Update) -> Merged {
        if update.router == self.me {
            return self.check_own(update);
        }
        let claim = (update.life, update.standing, update.suspect);
        match self.members.get(&update.router) {
            Some(known) if known.claim() >= claim => Merged::Nothing,
            _ => {
                self.replace(update);
                Merged::Changed
            }
        }
    }

    fn replace(&mut self, update: &Update) {
        let mut known = Known::new(update.zone, update.life, update.standing);
        known.suspect = update.suspect;
        known.derive_state();
        let old = self.members.get(&update.router);
        let unspecified = update.address.ip().is_unspecified();
        known.address = if unspecified {
            old.and_then(|o| o.address)
        } else {
            Some(update.address)
        };
        let changed = old.is_none_or(|o| {
            o.member.zone != known.member.zone || changes_view(o.member.state, known.member.state)
        });
        self.members.insert(update.router, known);
        self.view += u64::from(changed);
        self.rumours.spread(update.router, self.members.len());
    }

    /// Contradicts a wrong claim about this router.
    fn check_own(&mut self, update: &Update) -> Merged {
        let Some(own) = self.members.get_mut(&self.me) else {
            return Merged::Nothing;
        };
        let wrong = update.suspect || update.standing == Standing::Dead;
        let same_run = update.life.incarnation == own.life.incarnation;
        if !wrong || !same_run || update.life < own.life {
            return Merged::Nothing;
        }
        own.life.refutation = update.life.refutation.saturating_add(1);
        self.rumours.spread(self.me, self.members.len());
        Merged::Refuted
    }

    /// Changes the standing of this router and tells others.
    pub fn announce(&mut self, standing: Standing) {
        let Some(own) = self.members.get_mut(&self.me) else {
            return;
        };
        if own.standing == standing {
            return;
        }
        let old = own.member.state;
        own.standing = standing;
        own.life.refutation = own.life.refutation.saturating_add(1);
        own.derive_state();
        self.view += u64::from(changes_view(old, own.member.state));
        self.rumours.spread(self.me, self.members.len());
    }

    /// Concludes that a router does not answer, or is dead; returns whether that is new.
    pub(super) fn conclude(&mut self, router: RouterId, standing: Standing, suspect: bool) -> bool {
        let Some(mut update) = self.update(router) else {
            return false;
        };
        update.standing = update.standing.max(standing);
        update.suspect = suspect;
        self.merge(&update) == Merged::Changed
    }

    /// Takes the claims to be carried by the next probe or answer.
    pub fn take_updates(&mut self, to: RouterId) -> Vec<Update> {
        let mut routers = vec![self.me];
        if self.get(to).is_some_and(|m| m.state != MemberState::Alive) {
            // A router can only contradict what it is told.
            routers.push(to);
        }
        let fill = update::MAX_UPDATES - routers.len();
        routers.extend(self.rumours.take(fill, &routers, &self.members));
        routers
            .into_iter()
            .filter_map(|r| self.update(r))
            .filter(|u| u.life != Life::UNKNOWN)
            .collect()
    }
}
