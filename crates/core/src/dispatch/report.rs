//! What entries and servers report of slots in use.

use std::time::{Duration, Instant};

use crate::event::LoadReport;
use crate::ids::{GrantRef, Peer, RouterId, ServerId};
use crate::message::{Held, Message, Recover, Usage};
use crate::outbox::Outbox;

use super::{Dispatcher, EntryState, Slot, Surroundings};

/// Periods after which an entry with slots that did not report is asked.
const SILENT_PERIODS: u32 = 2;
/// Lags of a load report after which no report is waited for.
const PATIENCE_LAGS: u32 = 2;

impl Dispatcher {
    /// Notes that something came from an entry; returns whether its run is current.
    ///
    /// Slots of an earlier run of that entry become orphans.
    pub(super) fn hear(&mut self, env: Surroundings<'_>, from: Peer) -> bool {
        if env.members.get(from.router).is_none() {
            return false;
        }
        let state = self.entries.entry(from.router).or_insert(EntryState {
            incarnation: from.incarnation,
            sent: Duration::ZERO,
            reported: env.now,
            heard: env.now,
        });
        if state.incarnation > from.incarnation {
            return false;
        }
        state.heard = env.now;
        if state.incarnation == from.incarnation {
            return true;
        }
        state.incarnation = from.incarnation;
        state.sent = Duration::ZERO;
        state.reported = env.now;
        self.slots.set_lost(from.router, env.now);
        for managed in self.servers.values_mut() {
            managed.obeying.remove(&from.router);
        }
        true
    }

    /// Notes the clock of a report; returns whether it is newer than all before.
    pub(super) fn is_newer(&mut self, env: Surroundings<'_>, from: Peer, sent: Duration) -> bool {
        let Some(state) = self.entries.get_mut(&from.router) else {
            return false;
        };
        if sent < state.sent {
            return false;
        }
        state.sent = sent;
        state.reported = env.now;
        true
    }

    /// Takes in an entry's report of all the slots it uses here.
    pub fn usage(&mut self, env: Surroundings<'_>, from: Peer, usage: &Usage, out: &mut Outbox) {
        if !self.hear(env, from) || !self.is_newer(env, from, usage.sent) {
            return;
        }
        for held in &usage.held {
            self.hold(env, from, usage.sent, held);
        }
        self.drop_unlisted(env, from, usage.sent, &usage.held, None);
        self.serve_all(env, out);
    }

    /// Takes in that an entry uses one slot.
    pub(super) fn hold(&mut self, env: Surroundings<'_>, from: Peer, sent: Duration, held: &Held) {
        let left = held.left.min(env.params.orphan_life);
        if let Some(slot) = self.slots.get_mut(held.grant) {
            if slot.entry != from {
                return;
            }
            slot.seen = true;
            slot.orphan = None;
            slot.deadline = env.now + left;
            let more = held.cost - slot.charged;
            if more > 0.0 {
                slot.charged = held.cost;
                self.charge(env, held.flow, more);
            }
            return;
        }
        let Some(managed) = self.servers.get_mut(&held.server) else {
            return;
        };
        let own = held.grant.dispatcher == self.me.router
            && held.grant.incarnation == self.me.incarnation;
        if own && !managed.is_recovering() {
            // The release overtook the report.
            return;
        }
        managed.used += 1;
        managed.presumed = managed.presumed.saturating_sub(1);
        let slot = Slot {
            server: held.server,
            term: None,
            entry: from,
            flow: held.flow,
            charged: held.cost,
            seen: true,
            echo: sent,
            deadline: env.now + left,
            orphan: None,
        };
        self.slots.insert(held.grant, slot);
        self.relist(held.server);
    }

    /// Frees the slots of an entry that are missing from its report.
    ///
    /// A grant that is not in use once its lifetime is over was lost, or its
    /// release was: it will never be used.
    pub(super) fn drop_unlisted(
        &mut self,
        env: Surroundings<'_>,
        from: Peer,
        sent: Duration,
        held: &[Held],
        server: Option<ServerId>,
    ) {
        let life = env.params.grant_life;
        let listed = |grant: GrantRef| held.iter().any(|h| h.grant == grant);
        let over = self.slots.of_entry(from.router, |slot| {
            let concerned = server.is_none_or(|s| s == slot.server);
            concerned && slot.entry == from && sent > slot.echo + life
        });
        for grant in over.into_iter().filter(|g| !listed(*g)) {
            let Some(slot) = self.free_slot(grant) else {
                continue;
            };
            if !slot.seen {
                self.charge(env, slot.flow, -slot.charged);
            }
        }
    }

    /// Takes in the load report of a server.
    pub fn load(
        &mut self,
        env: Surroundings<'_>,
        server: ServerId,
        report: LoadReport,
        out: &mut Outbox,
    ) {
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let restarted = managed.limit.observe_incarnation(report.incarnation);
        if restarted {
            managed.health.answer();
        }
        let settled = |since: Instant| env.now.duration_since(since) > env.params.report_lag;
        let orphans = self
            .slots
            .select(|s| s.server == server && s.orphan.is_some_and(settled));
        let orphaned = u32::try_from(orphans.len()).unwrap_or(u32::MAX);
        let live = managed.used.saturating_sub(orphaned);
        let running = report.running + report.waiting;
        if settled(managed.presumed_since) {
            let unknown = running.saturating_sub(live);
            let unknown = if restarted { 0 } else { unknown };
            managed.presumed = managed.presumed.min(unknown);
        }
        if restarted || running <= live {
            for grant in orphans {
                self.free_slot(grant);
            }
        }
        self.relist(server);
        self.serve_all(env, out);
    }

    /// Frees orphans past their deadline and presumed slots that are too old.
    pub(super) fn expire_slots(&mut self, env: Surroundings<'_>) {
        self.note_silent(env);
        let over = self
            .slots
            .select(|s| s.orphan.is_some() && s.deadline <= env.now);
        for grant in over {
            self.free_slot(grant);
        }
        let life = env.params.orphan_life;
        let servers: Vec<_> = self.servers.keys().copied().collect();
        for server in servers {
            if let Some(managed) = self.servers.get_mut(&server) {
                let age = env.now.duration_since(managed.presumed_since);
                if age >= life {
                    managed.presumed = 0;
                } else if age >= env.params.report_lag * PATIENCE_LAGS {
                    managed.presumed = managed.presumed.min(managed.presumed_least);
                }
            }
            self.relist(server);
        }
    }

    /// Gives up the slots of routers that count as dead and are silent as well.
    fn note_silent(&mut self, env: Surroundings<'_>) {
        let patience = env.params.period * SILENT_PERIODS;
        let silent = |router: &RouterId| {
            let state = self.entries.get(router);
            state.is_none_or(|s| env.now.duration_since(s.heard) > patience)
        };
        let lost: Vec<_> = self.lost.keys().copied().filter(silent).collect();
        for router in lost {
            self.slots.set_lost(router, env.now);
        }
    }

    /// Asks entries that hold slots here and have not reported for long.
    pub(super) fn ask_silent(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        let patience = env.params.period * SILENT_PERIODS;
        let silent: Vec<RouterId> = self
            .slots
            .entries()
            .filter(|e| {
                let state = self.entries.get(e);
                state.is_none_or(|s| env.now.duration_since(s.reported) > patience)
            })
            .collect();
        for entry in silent {
            let grants = self.slots.of_entry(entry, |s| s.orphan.is_none());
            let servers = grants
                .into_iter()
                .filter_map(|g| self.slots.get_mut(g).map(|s| s.server));
            let servers: std::collections::BTreeSet<_> = servers.collect();
            for server in servers {
                if let Some(managed) = self.servers.get(&server) {
                    let term = managed.term;
                    out.send(entry, Message::Recover(Recover { server, term }));
                }
            }
        }
    }
}
