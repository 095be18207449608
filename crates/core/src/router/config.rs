//! Objects put in force and roles assigned anew.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::configuration::{Object, Version};
use crate::effect::Level;
use crate::ids::{RouterId, ServiceId};

use super::Router;

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

    pub(super) fn reassign(&mut self, now: Instant) {
        let env = self.world.at(now);
        self.dispatcher.reassign(env, &mut self.out);
        let services: Vec<_> = self.world.config.services().map(|(id, _)| id).collect();
        let routers: BTreeMap<_, _> = services
            .into_iter()
            .map(|s| (s, self.dispatchers(s)))
            .collect();
        self.entry
            .reassign(|s| routers.get(&s).cloned().unwrap_or_default());
    }
}
