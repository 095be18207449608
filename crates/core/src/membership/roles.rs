//! Assigns roles to routers by rendezvous hashing over the membership view.

use xxhash_rust::xxh3::xxh3_64;

use super::{Member, MemberState, Membership};
use crate::configuration::Server;
use crate::ids::{Flow, RouterId, ServerId, ZoneId};

const KIND_SERVER: u8 = 1;
const KIND_FLOW: u8 = 2;
const KIND_PUSH: u8 = 3;

/// Returns the rendezvous weight of `router` for an item of a kind, identified by `a` and `b`.
fn weight(router: RouterId, kind: u8, a: u32, b: u32) -> u64 {
    let mut bytes = [0; 13];
    bytes[0] = kind;
    bytes[1..5].copy_from_slice(&router.0.to_le_bytes());
    bytes[5..9].copy_from_slice(&a.to_le_bytes());
    bytes[9..13].copy_from_slice(&b.to_le_bytes());
    xxh3_64(&bytes)
}

/// Suitability of a router for roles, best first.
#[hibiscusrail_macros::id]
enum Fitness {
    /// It is alive or suspect.
    Fit,
    /// It is on probation.
    Flapping,
    /// It stops gracefully, or the platform is about to remove its host.
    Leaving,
}

impl Membership {
    fn fitness(&self, router: RouterId, member: &Member) -> Option<Fitness> {
        match member.state {
            MemberState::Dead => None,
            MemberState::Leaving => Some(Fitness::Leaving),
            _ if self.listed_leaving(router) => Some(Fitness::Leaving),
            MemberState::Probation => Some(Fitness::Flapping),
            MemberState::Alive | MemberState::Suspect => Some(Fitness::Fit),
        }
    }

    /// Returns the routers of the best fitness present, in one zone or in all.
    ///
    /// A flapping or leaving router is a candidate only if there is no better one.
    fn candidates(&self, zone: Option<ZoneId>) -> Vec<RouterId> {
        let fitness: Vec<(Fitness, RouterId)> = self
            .members()
            .filter(|(_, m)| zone.is_none_or(|z| m.zone == z))
            .filter_map(|(id, m)| Some((self.fitness(id, m)?, id)))
            .collect();
        let best = fitness.iter().map(|(f, _)| *f).min();
        fitness
            .into_iter()
            .filter(|(f, _)| Some(*f) == best)
            .map(|(_, id)| id)
            .collect()
    }

    /// Returns the dispatcher of `server`, if there is one.
    ///
    /// It is in another zone only if the server's zone is [empty](Self::zone_empty) in the
    /// platform's host list: a zone that is merely partitioned may still be using its servers.
    #[must_use]
    pub fn dispatcher(&self, id: ServerId, server: &Server) -> Option<RouterId> {
        let mut candidates = self.candidates(Some(server.zone));
        if candidates.is_empty() && self.zone_empty(server.zone) {
            candidates = self.candidates(None);
        }
        candidates
            .into_iter()
            .max_by_key(|r| weight(*r, KIND_SERVER, id.0, 0))
    }

    /// Returns the present routers other than this one, by descending weight for `server`.
    pub fn standbys(&self, server: ServerId) -> impl Iterator<Item = RouterId> + use<> {
        let mut others: Vec<_> = self.present().filter(|r| *r != self.me()).collect();
        others.sort_by_key(|r| std::cmp::Reverse(weight(*r, KIND_SERVER, server.0, 0)));
        others.into_iter()
    }

    /// Returns the account holder of `flow`.
    #[must_use]
    pub fn account_holder(&self, flow: Flow) -> RouterId {
        self.candidates(None)
            .into_iter()
            .max_by_key(|r| weight(*r, KIND_FLOW, flow.service.0, flow.workspace.0))
            .unwrap_or(self.me())
    }

    /// Returns up to `count` present routers, other than `except`, to push `change` to.
    /// Different changes are pushed to different routers.
    #[must_use]
    pub fn push_targets(
        &self,
        change: u64,
        except: Option<RouterId>,
        count: usize,
    ) -> Vec<RouterId> {
        let [a, b, c, d, ..] = change.to_le_bytes();
        let change = u32::from_le_bytes([a, b, c, d]);
        let mut routers: Vec<_> = self
            .present()
            .filter(|r| *r != self.me() && Some(*r) != except)
            .collect();
        routers.sort_by_key(|r| weight(*r, KIND_PUSH, change, self.me().0));
        routers.truncate(count);
        routers
    }
}
