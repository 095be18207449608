//! Usage reports of entries and load reports of servers.

use std::time::{Duration, Instant};

use crate::event::LoadReport;
use crate::ids::{GrantRef, Peer, RouterId, ServerId};
use crate::message::{Message, TermRequest, Usage, UsedSlot};
use crate::outbox::Outbox;

use super::{Dispatcher, EntryState, Env, Slot};

/// Time without a report after which an entry counts as silent, in periods.
const SILENCE_PERIODS: u32 = 2;
/// Time to wait for a server's load report, as a multiple of its lag.
const REPORT_TIMEOUT_LAGS: u32 = 2;

impl Dispatcher {
    /// Records contact with an entry; returns whether its incarnation is current.
    ///
    /// Slots of an earlier incarnation of the entry become orphans.
    pub(super) fn note_contact(&mut self, env: Env<'_>, from: Peer) -> bool {
        if env.members.get(from.router).is_none() {
            return false;
        }
        let state = self.entries.entry(from.router).or_insert(EntryState {
            incarnation: from.incarnation,
            report_clock: Duration::ZERO,
            last_report: env.now,
            last_contact: env.now,
        });
        if state.incarnation > from.incarnation {
            return false;
        }
        state.last_contact = env.now;
        if state.incarnation == from.incarnation {
            return true;
        }
        state.incarnation = from.incarnation;
        state.report_clock = Duration::ZERO;
        state.last_report = env.now;
        self.slots.mark_orphaned(from.router, env.now);
        for managed in self.servers.values_mut() {
            managed.acked.remove(&from.router);
        }
        true
    }

    /// Records the entry's clock in a report; returns false if the report is outdated.
    pub(super) fn accept_report(&mut self, env: Env<'_>, from: Peer, sent: Duration) -> bool {
        let Some(state) = self.entries.get_mut(&from.router) else {
            return false;
        };
        if sent < state.report_clock {
            return false;
        }
        state.report_clock = sent;
        state.last_report = env.now;
        true
    }

    /// Handles an entry's report of all slots that it uses here.
    pub fn handle_usage(&mut self, env: Env<'_>, from: Peer, usage: &Usage, out: &mut Outbox) {
        if !self.note_contact(env, from) || !self.accept_report(env, from, usage.sent) {
            return;
        }
        for held in &usage.held {
            self.record_held(env, from, usage.sent, held);
        }
        self.free_unlisted(env, from, usage.sent, &usage.held, None);
        self.grant_all_free(env, out);
    }

    /// Records that an entry uses a slot.
    pub(super) fn record_held(
        &mut self,
        env: Env<'_>,
        from: Peer,
        sent: Duration,
        held: &UsedSlot,
    ) {
        let ttl = held.left.min(env.params.orphan_life);
        if let Some(slot) = self.slots.get_mut(held.grant) {
            if slot.entry != from {
                return;
            }
            slot.reported = true;
            slot.orphaned_at = None;
            slot.deadline = env.now + ttl;
            let added = held.cost - slot.charged;
            if added > 0.0 {
                slot.charged = held.cost;
                self.charge(env, held.flow, added);
            }
            return;
        }
        let Some(managed) = self.servers.get_mut(&held.server) else {
            return;
        };
        let own = held.grant.dispatcher == self.me.router
            && held.grant.incarnation == self.me.incarnation;
        if own && !managed.is_recovering() {
            // The release of this grant arrived before the report.
            return;
        }
        managed.used += 1;
        managed.assumed_used = managed.assumed_used.saturating_sub(1);
        let slot = Slot {
            server: held.server,
            term: None,
            entry: from,
            flow: held.flow,
            charged: held.cost,
            reported: true,
            demand_sent: sent,
            deadline: env.now + ttl,
            orphaned_at: None,
        };
        self.slots.insert(held.grant, slot);
        self.update_free(held.server);
    }

    /// Frees the slots of an entry that are missing from its report.
    ///
    /// A grant not in use after its lifetime was lost, or its release was; it will not be used.
    pub(super) fn free_unlisted(
        &mut self,
        env: Env<'_>,
        from: Peer,
        sent: Duration,
        held: &[UsedSlot],
        server: Option<ServerId>,
    ) {
        let ttl = env.params.grant_life;
        let listed = |grant: GrantRef| held.iter().any(|h| h.grant == grant);
        let expired = self.slots.of_entry(from.router, |slot| {
            let covered = server.is_none_or(|s| s == slot.server);
            covered && slot.entry == from && sent > slot.demand_sent + ttl
        });
        for grant in expired.into_iter().filter(|g| !listed(*g)) {
            let Some(slot) = self.free_slot(grant) else {
                continue;
            };
            if !slot.reported {
                self.charge(env, slot.flow, -slot.charged);
            }
        }
    }

    /// Updates assumed and orphaned slots from a server's load report.
    pub fn handle_load(
        &mut self,
        env: Env<'_>,
        server: ServerId,
        report: LoadReport,
        out: &mut Outbox,
    ) {
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let restarted = managed.limit.observe_incarnation(report.incarnation);
        if restarted {
            managed.health.record_success();
        }
        let settled = |since: Instant| env.now.duration_since(since) > env.params.report_lag;
        let orphans = self
            .slots
            .select(|s| s.server == server && s.orphaned_at.is_some_and(settled));
        let orphaned = u32::try_from(orphans.len()).unwrap_or(u32::MAX);
        let live = managed.used.saturating_sub(orphaned);
        let running = report.running + report.waiting;
        if settled(managed.assumed_since) {
            let unknown = running.saturating_sub(live);
            let unknown = if restarted { 0 } else { unknown };
            managed.assumed_used = managed.assumed_used.min(unknown);
        }
        if restarted || running <= live {
            for grant in orphans {
                self.free_slot(grant);
            }
        }
        self.update_free(server);
        self.grant_all_free(env, out);
    }

    /// Frees orphaned slots past their deadline and limits assumed slots by age.
    pub(super) fn expire_slots(&mut self, env: Env<'_>) {
        self.orphan_silent(env);
        let expired = self
            .slots
            .select(|s| s.orphaned_at.is_some() && s.deadline <= env.now);
        for grant in expired {
            self.free_slot(grant);
        }
        let ttl = env.params.orphan_life;
        let servers: Vec<_> = self.servers.keys().copied().collect();
        for server in servers {
            if let Some(managed) = self.servers.get_mut(&server) {
                let age = env.now.duration_since(managed.assumed_since);
                if age >= ttl {
                    managed.assumed_used = 0;
                } else if age >= env.params.report_lag * REPORT_TIMEOUT_LAGS {
                    managed.assumed_used = managed.assumed_used.min(managed.unreported_max);
                }
            }
            self.update_free(server);
        }
    }

    /// Marks the slots of lost routers that are silent as orphaned.
    fn orphan_silent(&mut self, env: Env<'_>) {
        let timeout = env.params.period * SILENCE_PERIODS;
        let silent = |router: &RouterId| {
            let state = self.entries.get(router);
            state.is_none_or(|s| env.now.duration_since(s.last_contact) > timeout)
        };
        let lost: Vec<_> = self.lost.keys().copied().filter(silent).collect();
        for router in lost {
            self.slots.mark_orphaned(router, env.now);
        }
    }

    /// Asks entries for a report if they hold slots here and have not reported in time.
    pub(super) fn query_silent(&mut self, env: Env<'_>, out: &mut Outbox) {
        let timeout = env.params.period * SILENCE_PERIODS;
        let silent: Vec<RouterId> = self
            .slots
            .entries()
            .filter(|e| {
                let state = self.entries.get(e);
                state.is_none_or(|s| env.now.duration_since(s.last_report) > timeout)
            })
            .collect();
        for entry in silent {
            let grants = self.slots.of_entry(entry, |s| s.orphaned_at.is_none());
            let servers = grants
                .into_iter()
                .filter_map(|g| self.slots.get_mut(g).map(|s| s.server));
            let servers: std::collections::BTreeSet<_> = servers.collect();
            for server in servers {
                if let Some(managed) = self.servers.get(&server) {
                    let term = managed.term;
                    out.send(entry, Message::TermRequest(TermRequest { server, term }));
                }
            }
        }
    }
}
