//! The platform's host list beside what probes say.
//!
//! The rule: the list introduces routers, and probes decide. A listed router
//! that was unknown is probed and gets roles only once it has answered; a
//! router that answers keeps its roles though the list lacks it. The list
//! alone decides on two matters: a host that it calls leaving gets no roles,
//! and a zone counts as gone only when the list names no live host in it.

use std::collections::BTreeMap;

use super::update::{Life, Standing};
use super::{Known, Membership};
use crate::event::HostEntry;
use crate::ids::{RouterId, ZoneId};

/// The last list that was read.
#[derive(Debug, Default)]
pub struct HostView {
    listed: BTreeMap<RouterId, HostEntry>,
}

impl HostView {
    /// Creates the view before any list was read.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl Membership {
    /// Takes in the platform's list; returns the routers that are new.
    ///
    /// An empty list is ignored: this router runs, so a list without any host
    /// says nothing.
    pub fn set_hosts(&mut self, hosts: &[HostEntry]) -> Vec<RouterId> {
        if hosts.is_empty() {
            return Vec::new();
        }
        let listed: BTreeMap<_, _> = hosts.iter().map(|h| (h.router, *h)).collect();
        let changed = listed != self.hosts.listed;
        self.hosts.listed = listed;
        self.view += u64::from(changed);
        let mut new = Vec::new();
        for host in hosts {
            if self.members.contains_key(&host.router) {
                self.set_address(host.router, host.address);
                continue;
            }
            let mut known = Known::new(host.zone, Life::UNKNOWN, Standing::Dead);
            known.address = Some(host.address);
            self.members.insert(host.router, known);
            new.push(host.router);
        }
        new
    }

    /// Returns whether the platform's list calls a router leaving.
    #[must_use]
    pub fn listed_leaving(&self, router: RouterId) -> bool {
        self.hosts.listed.get(&router).is_some_and(|h| h.leaving)
    }

    /// Returns whether the platform's list was read and names no live host in `zone`.
    #[must_use]
    pub fn zone_gone(&self, zone: ZoneId) -> bool {
        let mut listed = self.hosts.listed.values();
        !self.hosts.listed.is_empty() && !listed.any(|h| h.zone == zone && !h.leaving)
    }
}
