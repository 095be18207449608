//! Objects put in force, exchanged with other routers, and roles assigned anew.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

use crate::configuration::exchange::{
    Compare, Exchange, Head, MAX_OBJECTS, Objects, PUSH_FANOUT, Versions, Waiting,
};
use crate::configuration::{Object, ObjectId, Version};
use crate::effect::Level;
use crate::entry::reach::Reach;
use crate::ids::{Flow, RouterId, ServerId, ServiceId};
use crate::message::Message;

use super::{Router, World};

impl Router {
    /// Takes in what the table holds, read whole.
    pub(super) fn objects(&mut self, now: Instant, objects: Vec<(Version, Object)>) {
        let first = !self.sync.is_ready();
        self.put_in_force(now, None, objects, !first);
        if self.world.config.head() > Version(0) {
            self.sync.read_table();
        }
        self.follow_readiness();
    }

    /// Takes in objects that changed in the table, and tells others at once.
    pub(super) fn changes(&mut self, now: Instant, objects: Vec<(Version, Object)>) {
        self.put_in_force(now, None, objects, true);
    }

    /// Applies objects; passes on the new ones when `push` is set.
    fn put_in_force(
        &mut self,
        now: Instant,
        from: Option<RouterId>,
        objects: Vec<(Version, Object)>,
        push: bool,
    ) -> bool {
        let mut new = Vec::new();
        for (version, object) in objects {
            if self.world.config.apply(version, object.clone()) {
                self.log_in_force(version, &object, from);
                new.push((version, object));
            }
        }
        if new.is_empty() {
            return false;
        }
        self.reassign(now);
        if push {
            self.push(&new, from);
        }
        true
    }

    fn log_in_force(&mut self, version: Version, object: &Object, from: Option<RouterId>) {
        let name = object.to_string();
        let number = version.0.to_string();
        let source = from.map_or_else(|| "table".to_owned(), |r| r.to_string());
        self.out.log(
            Level::Info,
            "config_in_force",
            &[("object", &name), ("version", &number), ("from", &source)],
        );
    }

    /// Tells a few members of changes; each of them tells a few others.
    fn push(&mut self, new: &[(Version, Object)], from: Option<RouterId>) {
        let Some((version, _)) = new.first() else {
            return;
        };
        let targets = self
            .world
            .members
            .push_targets(version.0, from, PUSH_FANOUT);
        for chunk in new.chunks(MAX_OBJECTS) {
            for target in &targets {
                let objects = Objects {
                    objects: chunk.to_vec(),
                    push: true,
                };
                self.out
                    .send(*target, Message::Exchange(Exchange::Objects(objects)));
            }
        }
    }

    pub(super) fn on_head(&mut self, now: Instant, from: RouterId, head: Head) {
        if self.sync.observe(now, from, head, &self.world.config) {
            self.compare(from, 0);
        }
        self.follow_readiness();
    }

    pub(super) fn compare(&mut self, with: RouterId, skip: u32) {
        let compare = Compare::new(&self.world.config, skip);
        self.out
            .send(with, Message::Exchange(Exchange::Compare(compare)));
    }

    pub(super) fn on_exchange(&mut self, now: Instant, from: RouterId, exchange: Exchange) {
        match exchange {
            Exchange::Compare(compare) => {
                if let Some(answer) = compare.answer(&self.world.config) {
                    self.out.send(from, Message::Exchange(answer));
                }
            }
            Exchange::Same => self.sync.caught_up(from, false),
            Exchange::Versions(versions) => self.on_versions(from, &versions),
            Exchange::Pull(ids) => self.on_pull(from, &ids),
            Exchange::Objects(objects) => {
                let Objects { objects, push } = objects;
                let changed = self.put_in_force(now, Some(from), objects, push);
                if !push && (changed || self.sync.is_behind(from)) {
                    self.compare(from, 0);
                }
            }
        }
        self.follow_readiness();
    }

    fn on_versions(&mut self, from: RouterId, versions: &Versions) {
        let mut higher: Vec<ObjectId> = versions
            .versions
            .iter()
            .filter(|(id, v)| self.world.config.version(*id) < Some(*v))
            .map(|(id, _)| *id)
            .collect();
        if !higher.is_empty() {
            higher.truncate(MAX_OBJECTS);
            self.out
                .send(from, Message::Exchange(Exchange::Pull(higher)));
            return;
        }
        match versions.next {
            Some(bucket) => self.compare(from, bucket),
            None => self.sync.caught_up(from, false),
        }
    }

    fn on_pull(&mut self, from: RouterId, ids: &[ObjectId]) {
        let objects = ids
            .iter()
            .take(MAX_OBJECTS)
            .filter_map(|id| self.world.config.object(*id))
            .collect();
        let objects = Objects {
            objects,
            push: false,
        };
        self.out
            .send(from, Message::Exchange(Exchange::Objects(objects)));
    }

    /// Returns why callers are not served yet, if they are not.
    #[must_use]
    pub fn waiting(&self) -> Option<Waiting> {
        self.sync.waiting()
    }

    /// Logs a change of readiness.
    pub(super) fn follow_readiness(&mut self) {
        let waiting = self.sync.waiting();
        if waiting == self.waited {
            return;
        }
        self.waited = waiting;
        match waiting {
            Some(reason) => {
                self.out
                    .log(Level::Warn, "not_ready", &[("reason", reason.code())]);
            }
            None => self.out.log(Level::Info, "ready", &[]),
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
        let reaches = Rc::new(Reaches::new(&self.world));
        self.reaches = Rc::clone(&reaches);
        let env = self.world.at(now);
        self.dispatcher.reassign(env, &mut self.out);
        let world = &self.world;
        self.entry.reassign(now, |flow| reaches.of(world, flow));
        self.obedience
            .retain(|server| world.config.server(server).is_some());
        self.ledger
            .retain(|flow| world.members.account_holder(flow) == world.members.me());
    }
}

/// Who dispatches what in the present view.
#[derive(Debug, Default)]
pub(super) struct Reaches {
    dispatchers: BTreeMap<ServiceId, Vec<RouterId>>,
    named: BTreeMap<ServerId, RouterId>,
    shares: f64,
}

impl Reaches {
    fn new(world: &World) -> Self {
        let config = &world.config;
        let mut open: BTreeMap<ServiceId, BTreeSet<RouterId>> = BTreeMap::new();
        let mut named = BTreeMap::new();
        for (id, server) in config.servers() {
            let Some(router) = world.members.dispatcher(id, server) else {
                continue;
            };
            named.insert(id, router);
            if config.is_open(server) {
                open.entry(server.service).or_default().insert(router);
            }
        }
        let open = open.into_iter();
        Self {
            dispatchers: open.map(|(s, r)| (s, r.into_iter().collect())).collect(),
            named,
            shares: config.workspaces().map(|(_, w)| w.share).sum(),
        }
    }

    /// Returns the dispatcher of a server.
    pub(super) fn named(&self, server: ServerId) -> Option<RouterId> {
        self.named.get(&server).copied()
    }

    /// Returns the dispatchers of a flow and its portion of the capacity.
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
