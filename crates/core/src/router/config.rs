//! Applies configuration objects, exchanges them with other routers and reassigns roles.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

use crate::configuration::exchange::{
    Compare, Exchange, Head, MAX_OBJECTS, NotReady, Objects, PUSH_FANOUT, Versions,
};
use crate::configuration::{Object, ObjectId, Version};
use crate::effect::Level;
use crate::entry::targets::Candidates;
use crate::ids::{Flow, RouterId, ServerId, ServiceId};
use crate::message::Message;

use super::{Context, Router};

impl Router {
    /// Applies the whole configuration, as read from the table.
    pub(super) fn on_objects(&mut self, now: Instant, objects: Vec<(Version, Object)>) {
        let first_read = !self.sync.is_ready();
        self.apply_objects(now, None, objects, !first_read);
        if self.ctx.config.head() > Version(0) {
            self.sync.record_table_read();
        }
        self.log_readiness();
    }

    /// Applies objects that changed in the table, and pushes them to other routers.
    pub(super) fn on_changes(&mut self, now: Instant, objects: Vec<(Version, Object)>) {
        self.apply_objects(now, None, objects, true);
    }

    /// Applies objects and pushes new ones if `push` is set; returns whether any was new.
    fn apply_objects(
        &mut self,
        now: Instant,
        from: Option<RouterId>,
        objects: Vec<(Version, Object)>,
        push: bool,
    ) -> bool {
        let mut new = Vec::new();
        for (version, object) in objects {
            if self.ctx.config.apply(version, object.clone()) {
                self.log_applied(version, &object, from);
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

    fn log_applied(&mut self, version: Version, object: &Object, from: Option<RouterId>) {
        let name = object.to_string();
        let number = version.0.to_string();
        let source = from.map_or_else(|| "table".to_owned(), |r| r.to_string());
        self.out.log(
            Level::Info,
            "config_in_force",
            &[("object", &name), ("version", &number), ("from", &source)],
        );
    }

    /// Pushes new objects to a few members, each of which pushes them to a few others.
    fn push(&mut self, new: &[(Version, Object)], from: Option<RouterId>) {
        let Some((version, _)) = new.first() else {
            return;
        };
        let targets = self.ctx.members.push_targets(version.0, from, PUSH_FANOUT);
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
        if self.sync.observe(now, from, head, &self.ctx.config) {
            self.compare(from, 0);
        }
        self.log_readiness();
    }

    pub(super) fn compare(&mut self, with: RouterId, skip: u32) {
        let compare = Compare::new(&self.ctx.config, skip);
        self.out
            .send(with, Message::Exchange(Exchange::Compare(compare)));
    }

    pub(super) fn on_exchange(&mut self, now: Instant, from: RouterId, exchange: Exchange) {
        match exchange {
            Exchange::Compare(compare) => {
                if let Some(answer) = compare.answer(&self.ctx.config) {
                    self.out.send(from, Message::Exchange(answer));
                }
            }
            Exchange::Same => self.sync.caught_up(from, false),
            Exchange::Versions(versions) => self.on_versions(from, &versions),
            Exchange::Pull(ids) => self.on_pull(from, &ids),
            Exchange::Objects(objects) => {
                let Objects { objects, push } = objects;
                let changed = self.apply_objects(now, Some(from), objects, push);
                if !push && (changed || self.sync.is_ahead(from)) {
                    self.compare(from, 0);
                }
            }
        }
        self.log_readiness();
    }

    fn on_versions(&mut self, from: RouterId, versions: &Versions) {
        let mut newer: Vec<ObjectId> = versions
            .versions
            .iter()
            .filter(|(id, v)| self.ctx.config.version(*id) < Some(*v))
            .map(|(id, _)| *id)
            .collect();
        if !newer.is_empty() {
            newer.truncate(MAX_OBJECTS);
            self.out
                .send(from, Message::Exchange(Exchange::Pull(newer)));
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
            .filter_map(|id| self.ctx.config.object(*id))
            .collect();
        let objects = Objects {
            objects,
            push: false,
        };
        self.out
            .send(from, Message::Exchange(Exchange::Objects(objects)));
    }

    /// Returns why the router is not ready to serve callers, or `None` if it is.
    #[must_use]
    pub fn not_ready(&self) -> Option<NotReady> {
        self.sync.not_ready()
    }

    /// Logs readiness if it has changed.
    pub(super) fn log_readiness(&mut self) {
        let not_ready = self.sync.not_ready();
        if not_ready == self.logged_not_ready {
            return;
        }
        self.logged_not_ready = not_ready;
        match not_ready {
            Some(reason) => {
                self.out
                    .log(Level::Warn, "not_ready", &[("reason", reason.code())]);
            }
            None => self.out.log(Level::Info, "ready", &[]),
        }
    }

    /// Reassigns roles if the membership view has changed.
    pub(super) fn check_view(&mut self, now: Instant) {
        let view = self.ctx.members.view();
        if self.assigned_view != view {
            self.assigned_view = view;
            self.reassign(now);
        }
    }

    pub(super) fn reassign(&mut self, now: Instant) {
        let assignments = Rc::new(Assignments::new(&self.ctx));
        self.assignments = Rc::clone(&assignments);
        let env = self.ctx.env(now);
        self.dispatcher.reassign(env, &mut self.out);
        let ctx = &self.ctx;
        self.entry
            .reassign(now, |flow| assignments.candidates(ctx, flow));
        self.acks
            .retain(|server| ctx.config.server(server).is_some());
        self.ledger
            .retain(|flow| ctx.members.account_holder(flow) == ctx.members.me());
    }
}

/// Dispatchers of all servers and services in the current membership view.
#[derive(Debug, Default)]
pub(super) struct Assignments {
    by_service: BTreeMap<ServiceId, Vec<RouterId>>,
    by_server: BTreeMap<ServerId, RouterId>,
    total_share: f64,
}

impl Assignments {
    fn new(ctx: &Context) -> Self {
        let config = &ctx.config;
        let mut open: BTreeMap<ServiceId, BTreeSet<RouterId>> = BTreeMap::new();
        let mut by_server = BTreeMap::new();
        for (id, server) in config.servers() {
            let Some(router) = ctx.members.dispatcher(id, server) else {
                continue;
            };
            by_server.insert(id, router);
            if config.is_open(server) {
                open.entry(server.service).or_default().insert(router);
            }
        }
        let open = open.into_iter();
        Self {
            by_service: open.map(|(s, r)| (s, r.into_iter().collect())).collect(),
            by_server,
            total_share: config.workspaces().map(|(_, w)| w.share).sum(),
        }
    }

    /// Returns the dispatcher of a server.
    pub(super) fn dispatcher(&self, server: ServerId) -> Option<RouterId> {
        self.by_server.get(&server).copied()
    }

    /// Returns the dispatchers of a flow's service and the flow's fraction of the capacity.
    pub(super) fn candidates(&self, ctx: &Context, flow: Flow) -> Candidates {
        let dispatchers = self.by_service.get(&flow.service);
        Candidates {
            dispatchers: dispatchers.cloned().unwrap_or_default(),
            portion: portion(ctx, flow, self.total_share),
        }
    }
}

fn portion(ctx: &Context, flow: Flow, total_share: f64) -> f64 {
    let share = ctx
        .config
        .workspace(flow.workspace)
        .map_or(0.0, |w| w.share);
    share / total_share.max(share).max(f64::MIN_POSITIVE)
}
