//! Which routers are alive, and which role each one has.
//!
//! Roles are assigned by rendezvous hashing over the live routers, so no host
//! is set aside for any of them.

use std::collections::BTreeMap;

use hibiscusrail_macros::{id, record};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Server;
use crate::ids::{Flow, RouterId, ServerId, ZoneId};

/// A router as the membership knows it.
#[record]
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
    /// It stops gracefully: no roles, but its running work counts.
    Leaving,
    /// It does not answer.
    Dead,
}

/// The live routers in the view of this one.
#[derive(Debug)]
pub struct Membership {
    me: RouterId,
    members: BTreeMap<RouterId, Member>,
    view: u64,
}

/// Rendezvous weight of `router` for an item.
fn weight(router: RouterId, kind: u8, a: u32, b: u32) -> u64 {
    let mut bytes = [0; 13];
    bytes[0] = kind;
    bytes[1..5].copy_from_slice(&router.0.to_le_bytes());
    bytes[5..9].copy_from_slice(&a.to_le_bytes());
    bytes[9..13].copy_from_slice(&b.to_le_bytes());
    xxh3_64(&bytes)
}

const KIND_SERVER: u8 = 1;
const KIND_FLOW: u8 = 2;

impl Membership {
    /// Creates the membership of router `me` in `zone` alone.
    #[must_use]
    pub fn new(me: RouterId, zone: ZoneId) -> Self {
        let own = Member {
            zone,
            state: MemberState::Alive,
        };
        Self {
            me,
            members: BTreeMap::from([(me, own)]),
            view: 0,
        }
    }

    /// Adds a router, or replaces what is known of it.
    pub fn insert(&mut self, router: RouterId, member: Member) {
        if self.members.get(&router) != Some(&member) {
            self.members.insert(router, member);
            self.view += 1;
        }
    }

    /// Returns a number that grows with every change of the view.
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
        self.members.get(&router)
    }

    /// Returns all routers that may still hold slots: alive or leaving.
    pub fn present(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.members
            .iter()
            .filter(|(_, m)| m.state != MemberState::Dead)
            .map(|(id, _)| *id)
    }

    /// Returns all routers ever heard of, in whatever state.
    pub fn known(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.members.keys().copied()
    }

    fn alive(&self) -> impl Iterator<Item = (RouterId, &Member)> {
        self.members
            .iter()
            .filter(|(_, m)| m.state == MemberState::Alive)
            .map(|(id, m)| (*id, m))
    }

    /// Returns the router that hands out the slots of `server`, if its zone has any.
    #[must_use]
    pub fn dispatcher(&self, id: ServerId, server: &Server) -> Option<RouterId> {
        self.alive()
            .filter(|(_, m)| m.zone == server.zone)
            .map(|(r, _)| r)
            .max_by_key(|r| weight(*r, KIND_SERVER, id.0, 0))
    }

    /// Returns the present routers other than this one, in an order by `server`.
    pub fn standbys(&self, server: ServerId) -> impl Iterator<Item = RouterId> {
        let mut others: Vec<_> = self.present().filter(|r| *r != self.me).collect();
        others.sort_by_key(|r| std::cmp::Reverse(weight(*r, KIND_SERVER, server.0, 0)));
        others.into_iter()
    }

    /// Returns the router that sums the service of `flow`.
    #[must_use]
    pub fn account_holder(&self, flow: Flow) -> RouterId {
        self.alive()
            .map(|(r, _)| r)
            .max_by_key(|r| weight(*r, KIND_FLOW, flow.service.0, flow.workspace.0))
            .unwrap_or(self.me)
    }
}
