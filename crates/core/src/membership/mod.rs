//! Fleet membership: which routers are alive, and which roles each one has.
//!
//! [`update`] defines the messages of the SWIM protocol, [`prober`] detects unreachable routers,
//! [`gossip`] selects the updates to send, [`flap`] withholds roles from a router that is
//! repeatedly declared dead, and [`hosts`] applies the platform's host list. Roles are assigned by
//! rendezvous hashing over the live routers, so no host is reserved for any role.

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
use gossip::UpdateQueue;
use hosts::HostList;
use update::{Standing, Update, UpdateVersion};

/// A router of the fleet.
#[value]
pub struct Member {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its health, which decides whether it gets roles.
    pub state: MemberState,
}

/// Health of a router in the view of this one.
#[id]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// A probe of it failed; it keeps its roles until it is declared dead.
    Suspect,
    /// It answers but was declared dead too often recently: gets roles only as a last resort.
    Probation,
    /// It stops gracefully: gets roles only as a last resort, and its running requests count.
    Leaving,
    /// It does not answer probes.
    Dead,
}

impl MemberState {
    /// Returns the stable name of the state, for logs and status pages.
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

/// State kept about one router.
#[derive(Debug, Clone)]
struct MemberRecord {
    member: Member,
    version: UpdateVersion,
    standing: Standing,
    suspect: bool,
    address: Option<SocketAddr>,
}

impl MemberRecord {
    fn new(zone: ZoneId, version: UpdateVersion, standing: Standing) -> Self {
        let mut record = Self {
            member: Member {
                zone,
                state: MemberState::Alive,
            },
            version,
            standing,
            suspect: false,
            address: None,
        };
        record.derive_state();
        record
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

    fn precedence(&self) -> (UpdateVersion, Standing, bool) {
        (self.version, self.standing, self.suspect)
    }
}

/// Returns whether a change from `old` to `new` can affect roles or running requests.
fn changes_view(old: MemberState, new: MemberState) -> bool {
    let class = |s| match s {
        MemberState::Suspect => MemberState::Alive,
        other => other,
    };
    class(old) != class(new)
}

/// Result of merging an update.
#[id]
pub enum MergeResult {
    /// The update was known already or is outdated.
    Ignored,
    /// The update is about this router and wrong; this router now refutes it.
    Refuted,
    /// The update was applied.
    Changed,
}

/// All routers in the view of this one.
#[derive(Debug)]
pub struct Membership {
    me: RouterId,
    members: BTreeMap<RouterId, MemberRecord>,
    view: u64,
    hosts: HostList,
    queue: UpdateQueue,
}

impl Membership {
    /// Creates a membership whose only member is router `me` in `zone`.
    #[must_use]
    pub fn new(me: RouterId, zone: ZoneId) -> Self {
        let own = MemberRecord::new(zone, UpdateVersion::UNKNOWN, Standing::Alive);
        Self {
            me,
            members: BTreeMap::from([(me, own)]),
            view: 0,
            hosts: HostList::new(),
            queue: UpdateQueue::new(),
        }
    }

    /// Sets the incarnation of this router and the address at which it receives datagrams.
    pub fn set_self(&mut self, incarnation: Incarnation, address: SocketAddr) {
        if let Some(own) = self.members.get_mut(&self.me) {
            own.version = UpdateVersion {
                incarnation,
                refutation: 0,
            };
            own.address = Some(address);
        }
    }

    /// Adds a router, or replaces its zone and state.
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
        let mut record = MemberRecord::new(member.zone, UpdateVersion::UNKNOWN, standing);
        record.suspect = suspect;
        record.version = old.map_or(UpdateVersion::UNKNOWN, |o| o.version);
        record.address = old.and_then(|o| o.address);
        record.derive_state();
        self.members.insert(router, record);
        self.view += 1;
    }

    /// Sets the datagram address of a router, unless the router has announced one itself.
    pub fn set_address(&mut self, router: RouterId, address: SocketAddr) {
        if let Some(record) = self.members.get_mut(&router)
            && record.version == UpdateVersion::UNKNOWN
        {
            record.address = Some(address);
        }
    }

    /// Returns the view number, which grows when roles or the present routers may change.
    #[must_use]
    pub fn view(&self) -> u64 {
        self.view
    }

    /// Returns the identifier of this router.
    #[must_use]
    pub fn me(&self) -> RouterId {
        self.me
    }

    /// Returns a router's zone and state.
    #[must_use]
    pub fn get(&self, router: RouterId) -> Option<&Member> {
        self.members.get(&router).map(|k| &k.member)
    }

    /// Returns the address at which a router receives datagrams.
    #[must_use]
    pub fn address(&self, router: RouterId) -> Option<SocketAddr> {
        self.members.get(&router)?.address
    }

    /// Returns the incarnation and the refutation number of a router.
    #[must_use]
    pub fn version(&self, router: RouterId) -> Option<UpdateVersion> {
        self.members.get(&router).map(|k| k.version)
    }

    /// Returns all known routers in any state, this one included.
    pub fn members(&self) -> impl Iterator<Item = (RouterId, &Member)> {
        self.members.iter().map(|(id, k)| (*id, &k.member))
    }

    /// Returns the identifiers of all known routers in any state, this one included.
    pub fn ids(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.members.keys().copied()
    }

    /// Returns the number of [present](Self::present) routers.
    #[must_use]
    pub fn size(&self) -> usize {
        self.present().count()
    }

    /// Returns the routers that may still hold slots: all that are not dead.
    pub fn present(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.members()
            .filter(|(_, m)| m.state != MemberState::Dead)
            .map(|(id, _)| id)
    }

    /// Returns the update about a router that is sent to others.
    #[must_use]
    pub fn update(&self, router: RouterId) -> Option<Update> {
        let record = self.members.get(&router)?;
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Some(Update {
            router,
            zone: record.member.zone,
            address: record.address.unwrap_or(unspecified),
            version: record.version,
            standing: record.standing,
            suspect: record.suspect,
        })
    }

    /// Merges an update received from another router.
    pub fn merge(&mut self, update: &Update) -> MergeResult {
        if update.router == self.me {
            return self.refute(update);
        }
        let precedence = (update.version, update.standing, update.suspect);
        match self.members.get(&update.router) {
            Some(record) if record.precedence() >= precedence => MergeResult::Ignored,
            _ => {
                self.apply(update);
                MergeResult::Changed
            }
        }
    }

    fn apply(&mut self, update: &Update) {
        let mut record = MemberRecord::new(update.zone, update.version, update.standing);
        record.suspect = update.suspect;
        record.derive_state();
        let old = self.members.get(&update.router);
        let unspecified = update.address.ip().is_unspecified();
        record.address = if unspecified {
            old.and_then(|o| o.address)
        } else {
            Some(update.address)
        };
        let changed = old.is_none_or(|o| {
            o.member.zone != record.member.zone || changes_view(o.member.state, record.member.state)
        });
        self.members.insert(update.router, record);
        self.view += u64::from(changed);
        self.queue.push(update.router, self.members.len());
    }

    /// Refutes an update about this router if it is wrong.
    fn refute(&mut self, update: &Update) -> MergeResult {
        let Some(own) = self.members.get_mut(&self.me) else {
            return MergeResult::Ignored;
        };
        let wrong = update.suspect || update.standing == Standing::Dead;
        let same_run = update.version.incarnation == own.version.incarnation;
        if !wrong || !same_run || update.version < own.version {
            return MergeResult::Ignored;
        }
        own.version.refutation = update.version.refutation.saturating_add(1);
        self.queue.push(self.me, self.members.len());
        MergeResult::Refuted
    }

    /// Sets the standing of this router and queues the update for others.
    pub fn set_own_standing(&mut self, standing: Standing) {
        let Some(own) = self.members.get_mut(&self.me) else {
            return;
        };
        if own.standing == standing {
            return;
        }
        let old = own.member.state;
        own.standing = standing;
        own.version.refutation = own.version.refutation.saturating_add(1);
        own.derive_state();
        self.view += u64::from(changes_view(old, own.member.state));
        self.queue.push(self.me, self.members.len());
    }

    /// Marks a router as suspect or dead; returns whether that changed anything.
    pub(super) fn downgrade(
        &mut self,
        router: RouterId,
        standing: Standing,
        suspect: bool,
    ) -> bool {
        let Some(mut update) = self.update(router) else {
            return false;
        };
        update.standing = update.standing.max(standing);
        update.suspect = suspect;
        self.merge(&update) == MergeResult::Changed
    }

    /// Returns the updates that the next probe or answer to router `to` carries.
    pub fn take_updates(&mut self, to: RouterId) -> Vec<Update> {
        let mut routers = vec![self.me];
        if self.get(to).is_some_and(|m| m.state != MemberState::Alive) {
            // A router can only refute an update that it receives.
            routers.push(to);
        }
        let count = update::MAX_UPDATES - routers.len();
        routers.extend(self.queue.take(count, &routers, &self.members));
        routers
            .into_iter()
            .filter_map(|r| self.update(r))
            .filter(|u| u.version != UpdateVersion::UNKNOWN)
            .collect()
    }
}
