//! Combines the platform's host list with the results of probes.
//!
//! The list introduces routers; probes decide whether they are alive. A router that is new in the
//! list is probed and gets roles only after it has answered. A router that answers keeps its roles
//! even if the list lacks it. Only the list decides two things: a host marked as leaving gets no
//! roles, and a zone counts as empty only if the list names no hosts in it, or only leaving ones.

use std::collections::BTreeMap;

use super::update::{Standing, UpdateVersion};
use super::{MemberRecord, Membership};
use crate::event::HostEntry;
use crate::ids::{RouterId, ZoneId};

/// The latest host list read from the platform.
#[derive(Debug, Default)]
pub struct HostList {
    listed: BTreeMap<RouterId, HostEntry>,
}

impl HostList {
    /// Creates an empty list, as before the first read.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl Membership {
    /// Applies the platform's list and returns the routers that were not known before; ignores
    /// an empty list, which can't be right while this router runs.
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
            let mut record = MemberRecord::new(host.zone, UpdateVersion::UNKNOWN, Standing::Dead);
            record.address = Some(host.address);
            self.members.insert(host.router, record);
            new.push(host.router);
        }
        new
    }

    /// Returns whether the platform's list marks a router's host as leaving.
    #[must_use]
    pub fn listed_leaving(&self, router: RouterId) -> bool {
        self.hosts.listed.get(&router).is_some_and(|h| h.leaving)
    }

    /// Returns whether the platform's list was read and all of its hosts in `zone`, if any, leave.
    #[must_use]
    pub fn zone_empty(&self, zone: ZoneId) -> bool {
        let mut listed = self.hosts.listed.values();
        !self.hosts.listed.is_empty() && !listed.any(|h| h.zone == zone && !h.leaving)
    }
}
