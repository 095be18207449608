//! Objects put in force and roles assigned anew.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::configuration::{Object, Version};
use crate::effect::Level;
use crate::entry::reach::Reach;
use crate::ids::{Flow, RouterId, ServiceId};

use super::{Router, World};

impl Router {
    /// Returns the routers that hand out slots of `service`.
    pub(super) fn dispatchers(&self, service: ServiceId) -> Vec<RouterId> {
        let mut routers = BTreeSet::new();
        for (id, server) in self.world.config.servers() {
            if server.service == service && self.world.config.is_open(server) {
                routers.extend(self.world.members.dispatcher(id, server));
            }
        }
        routers.into_iter().collect()
    }

    pub(super) fn objects(&mut self, now: Instant, objects: Vec<(Version, Object)>) {
        let mut changed = false;
        for (version, object) in objects {
            let name = format!("{:?}", object.id());
            if self.world.config.apply(version, object) {
                changed = true;
                let number = version.0.to_string();
                self.out.log(
                    Level::Info,
                    "config_in_force",
                    &[("object", &name), ("version", &number)],
                );
            }
        }
        if changed {
            self.reassign(now);
        }
    }

    /// Assigns roles anew if the view of the membership has changed.
    pub(super) fn check_view(&mut self, now: Instant) {
        let view = self.world.members.view();
        if self.view != view {
            self.view = view;
            self.reassign(now);
        }
    }

    pub(super) fn reassign(&mut self, now: Instant) {
        let env = self.world.at(now);
        self.dispatcher.reassign(env, &mut self.out);
        let reaches = self.reaches();
        let world = &self.world;
        self.entry.reassign(now, |flow| reaches.of(world, flow));
        self.obedience
            .retain(|server| world.config.server(server).is_some());
        self.ledger
            .retain(|flow| world.members.account_holder(flow) == world.members.me());
    }

    /// Returns the dispatchers of every service, and the sum of all shares.
    pub(super) fn reaches(&self) -> Reaches {
        let config = &self.world.config;
        let services = config.services().map(|(id, _)| id);
        Reaches {
            dispatchers: services.map(|s| (s, self.dispatchers(s))).collect(),
            shares: config.workspaces().map(|(_, w)| w.share).sum(),
        }
    }

    /// Returns the dispatchers of a flow and its portion of the capacity.
    pub(super) fn reach(&self, flow: Flow) -> Reach {
        let config = &self.world.config;
        let shares: f64 = config.workspaces().map(|(_, w)| w.share).sum();
        Reach {
            dispatchers: self.dispatchers(flow.service),
            portion: portion(&self.world, flow, shares),
        }
    }
}

/// The dispatchers of every service.
#[derive(Debug)]
pub(super) struct Reaches {
    dispatchers: BTreeMap<ServiceId, Vec<RouterId>>,
    shares: f64,
}

impl Reaches {
    pub(super) fn of(&self, world: &World, flow: Flow) -> Reach {
        let dispatchers = self.dispatchers.get(&flow.service);
        Reach {
            dispatchers: dispatchers.cloned().unwrap_or_default(),
            portion: portion(world, flow, self.shares),
        }
    }
}

fn portion(world: &World, flow: Flow, shares: f64) -> f64 {
    let share = world
        .config
        .workspace(flow.workspace)
        .map_or(0.0, |w| w.share);
    share / shares.max(share).max(f64::MIN_POSITIVE)
}
