//! Take-over: the change of a server's dispatcher.
//!
//! A router that becomes the dispatcher of a server starts a take-over with a
//! new term and asks every present router to acknowledge it. A router in whose
//! view the sender is the dispatcher acknowledges: from then on it uses only grants
//! of this term, and it lists its slots in use there. Once all have answered, every
//! slot in use is known and no grant of another dispatcher can be used any more.
//!
//! A predecessor that is still alive hands over its table of slots, which leaves none unknown.
//! Otherwise slots below its limit that no router reports may belong to a router that died: they
//! are assumed in use until the server's load report shows them free or the longest deadline ends.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::ids::{Flow, Peer, RouterId, ServerId, ServiceId, Term};
use crate::message::{HandedSlot, Handover, Message, Standby, TermAck, TermRequest, WarmUpState};
use crate::outbox::Outbox;

use super::managed::{Managed, Phase};
use super::{Dispatcher, Env, Slot};

/// Number of routers that store a server's warm-up limit for the dispatcher's successor.
const STANDBY_COUNT: usize = 2;

impl Dispatcher {
    /// Takes over and hands over servers after a change of membership or configuration.
    pub fn reassign(&mut self, env: Env<'_>, out: &mut Outbox) {
        self.update_lost(env);
        self.rescale(env);
        let mut mine = BTreeSet::new();
        for (id, server) in env.config.servers() {
            if env.members.dispatcher(id, server) != Some(env.members.me()) {
                continue;
            }
            mine.insert(id);
            if !self.servers.contains_key(&id) {
                let term = self.new_term();
                let managed = Managed::new(server, term, env.now);
                self.servers.insert(id, managed);
                self.request_acks(env, id, out);
            }
            if let Some(managed) = self.servers.get_mut(&id) {
                managed.limit.configure(server.cold_limit, server.max_limit);
                let open = env.config.is_open(server);
                if open && !managed.open {
                    // The limit from before the server was closed no longer applies.
                    managed.limit.reset();
                }
                managed.open = open;
            }
            self.update_free(id);
        }
        let ids: Vec<_> = self.servers.keys().copied().collect();
        for id in ids.into_iter().filter(|id| !mine.contains(id)) {
            self.drop_server(env, id, out);
        }
        self.accounts.resend();
        self.check_recovered(env, out);
        self.grant_all_free(env, out);
    }

    fn new_term(&mut self) -> Term {
        self.next_term += 1;
        Term(self.next_term)
    }

    /// Updates the lost routers and the orphan marks of their slots.
    fn update_lost(&mut self, env: Env<'_>) {
        let present: BTreeSet<_> = env.members.present().collect();
        for router in &present {
            let returned = self.lost.remove(router).is_some();
            if let Some(state) = self.entries.get(router).filter(|_| returned) {
                self.slots.clear_orphaned(Peer {
                    router: *router,
                    incarnation: state.incarnation,
                });
            }
        }
        for router in env.members.ids().filter(|r| !present.contains(r)) {
            let since = *self.lost.entry(router).or_insert(env.now);
            if since == env.now {
                self.slots.mark_orphaned(router, env.now);
                self.retain_demand(env, |entry, _| entry != router);
            }
        }
    }

    /// Keeps the tags of flows when shares change.
    fn rescale(&mut self, env: Env<'_>) {
        for (id, workspace) in env.config.workspaces() {
            let old = self.shares.insert(id, workspace.share);
            let Some(old) = old.filter(|o| *o != workspace.share) else {
                continue;
            };
            for (service, _) in env.config.services() {
                let flow = Flow {
                    service,
                    workspace: id,
                };
                self.accounts.rescale(flow, old, workspace.share);
                self.rerank(env, flow);
            }
        }
    }

    /// Removes a server; sends its slots to the successor unless a take-over is in progress.
    fn drop_server(&mut self, env: Env<'_>, id: ServerId, out: &mut Outbox) {
        let Some(managed) = self.servers.remove(&id) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&managed.service) {
            pool.set_free(id, managed.listed_free, 0);
        }
        let grants = self.slots.select(|s| s.server == id);
        let removed: Vec<_> = grants
            .into_iter()
            .filter_map(|g| Some((g, self.slots.remove(g)?)))
            .collect();
        let next = env
            .config
            .server(id)
            .and_then(|s| env.members.dispatcher(id, s));
        let (Some(next), Phase::Steady) = (next, &managed.phase) else {
            return;
        };
        let slots = removed
            .into_iter()
            .map(|(grant, slot)| HandedSlot {
                grant,
                entry: slot.entry,
                flow: slot.flow,
                demand_sent: slot.demand_sent,
                charged: slot.charged,
                left: slot.deadline.saturating_duration_since(env.now),
            })
            .collect();
        let handover = Handover {
            server: id,
            warm_up: managed.limit.warm_up(),
            assumed_used: managed.assumed_used,
            slots,
        };
        out.send(next, Message::Handover(handover));
    }

    /// Adds the slots that a predecessor handed over.
    pub fn handle_handover(
        &mut self,
        env: Env<'_>,
        from: Peer,
        handover: &Handover,
        out: &mut Outbox,
    ) {
        let server = handover.server;
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let Phase::Recovering {
            warm_up, handed, ..
        } = &mut managed.phase
        else {
            return;
        };
        *warm_up = Some(handover.warm_up);
        *handed = Some(handover.assumed_used);
        self.note_contact(env, from);
        for slot in &handover.slots {
            if self.slots.contains(slot.grant) {
                continue;
            }
            self.slots.insert(
                slot.grant,
                Slot {
                    server,
                    term: None,
                    entry: slot.entry,
                    flow: slot.flow,
                    charged: slot.charged,
                    reported: true,
                    demand_sent: slot.demand_sent,
                    deadline: env.now + slot.left.min(env.params.orphan_life),
                    orphaned_at: self.lost_at(slot.entry),
                },
            );
            if let Some(managed) = self.servers.get_mut(&server) {
                managed.used += 1;
            }
        }
        self.check_recovered(env, out);
    }

    /// Returns when an entry's incarnation was lost or replaced, if it was.
    fn lost_at(&self, entry: Peer) -> Option<Instant> {
        if let Some(state) = self.entries.get(&entry.router)
            && state.incarnation > entry.incarnation
        {
            return Some(state.last_contact);
        }
        self.lost.get(&entry.router).copied()
    }

    /// Returns the routers that may hold slots: present ones and recently lost ones.
    ///
    /// Another router may still see a lost router as alive.
    fn slot_holders(&self, env: Env<'_>) -> BTreeSet<RouterId> {
        let ttl = env.params.orphan_life;
        let lost = self.lost.iter();
        let recent = lost.filter(|(_, at)| env.now.duration_since(**at) < ttl);
        env.members
            .present()
            .chain(recent.map(|(r, _)| *r))
            .collect()
    }

    /// Asks every router that may hold slots to acknowledge the term.
    fn request_acks(&mut self, env: Env<'_>, server: ServerId, out: &mut Outbox) {
        let holders = self.slot_holders(env);
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        managed.recover_sent = env.now;
        let request = TermRequest {
            server,
            term: managed.term,
        };
        for router in holders {
            if !managed.acked_by(router) {
                out.send(router, Message::TermRequest(request));
            }
        }
    }

    /// Repeats the requests of take-overs that are not complete.
    pub fn retry_takeovers(&mut self, env: Env<'_>, out: &mut Outbox) {
        let pending: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, m)| m.is_recovering())
            .map(|(id, _)| *id)
            .collect();
        for server in pending {
            self.request_acks(env, server, out);
        }
        self.check_recovered(env, out);
    }

    /// Asks entries with waiting requests to acknowledge the terms of servers with free slots.
    pub(super) fn request_waiting_acks(
        &mut self,
        env: Env<'_>,
        service: ServiceId,
        out: &mut Outbox,
    ) {
        let Some(pool) = self.pools.get(&service) else {
            return;
        };
        let entries = pool.waiting_entries();
        let free: Vec<_> = pool.servers().collect();
        for server in free {
            let Some(managed) = self.servers.get_mut(&server) else {
                continue;
            };
            if env.now < managed.recover_sent + env.params.recover_retry {
                continue;
            }
            managed.recover_sent = env.now;
            let request = TermRequest {
                server,
                term: managed.term,
            };
            for entry in entries.iter().filter(|e| !managed.acked_by(**e)) {
                out.send(*entry, Message::TermRequest(request));
            }
        }
    }

    /// Handles an entry's answer to a [`TermRequest`].
    pub fn handle_recovered(
        &mut self,
        env: Env<'_>,
        from: Peer,
        answer: &TermAck,
        out: &mut Outbox,
    ) {
        if !self.note_contact(env, from) {
            return;
        }
        let me = self.me.router;
        let Some(managed) = self.servers.get(&answer.server) else {
            return;
        };
        if managed.term != answer.term || answer.dispatcher != Some(me) {
            return;
        }
        if !managed.is_recovering() && answer.previous.is_some_and(|p| p != me) {
            self.restart_takeover(env, answer.server, out);
            return;
        }
        if !self.accept_report(env, from, answer.sent) {
            return;
        }
        for held in &answer.held {
            self.record_held(env, from, answer.sent, held);
        }
        self.free_unlisted(env, from, answer.sent, &answer.held, Some(answer.server));
        if let Some(managed) = self.servers.get_mut(&answer.server) {
            managed.acked.insert(from.router, from.incarnation);
            if let Phase::Recovering { warm_up, .. } = &mut managed.phase {
                *warm_up = higher_limit(*warm_up, answer.warm_up);
            }
        }
        self.check_recovered(env, out);
        self.grant_all_free(env, out);
    }

    /// Restarts the take-over of a server after an entry acknowledged another dispatcher.
    pub(super) fn handle_fenced(
        &mut self,
        env: Env<'_>,
        server: ServerId,
        term: Term,
        out: &mut Outbox,
    ) {
        let managed = self.servers.get(&server);
        let current = managed.is_some_and(|m| m.term == term && !m.is_recovering());
        if current {
            self.restart_takeover(env, server, out);
        }
    }

    /// Restarts the take-over of every server, because another router may have replaced this one.
    pub fn restart_takeovers(&mut self, env: Env<'_>, out: &mut Outbox) {
        let servers: Vec<_> = self.servers.keys().copied().collect();
        for server in servers {
            self.restart_takeover(env, server, out);
        }
    }

    fn restart_takeover(&mut self, env: Env<'_>, server: ServerId, out: &mut Outbox) {
        let term = self.new_term();
        if let Some(managed) = self.servers.get_mut(&server) {
            managed.restart(term, env.now);
        }
        self.update_free(server);
        self.request_acks(env, server, out);
    }

    /// Completes the take-overs that no longer wait for any router.
    fn check_recovered(&mut self, env: Env<'_>, out: &mut Outbox) {
        if !self.is_recovering() {
            return;
        }
        let holders = self.slot_holders(env);
        let servers: Vec<_> = self.servers.keys().copied().collect();
        let mut done = false;
        for server in servers {
            let silent = self.skipped_silent(env, server, &holders);
            let Some(silent) = silent else {
                continue;
            };
            self.complete_takeover(env, server, silent, out);
            done = true;
        }
        if done {
            self.grant_all_free(env, out);
        }
    }

    /// Returns how many present but silent routers a take-over skips, or `None` while it must wait.
    ///
    /// A router that does not answer is skipped once a grant lifetime has passed since its last
    /// contact and since the take-over began; if it is lost, half of one since it began is enough.
    fn skipped_silent(
        &self,
        env: Env<'_>,
        server: ServerId,
        holders: &BTreeSet<RouterId>,
    ) -> Option<usize> {
        let managed = self.servers.get(&server)?;
        let Phase::Recovering { since, .. } = managed.phase else {
            return None;
        };
        let ttl = env.params.grant_life;
        let missing = holders.iter().filter(|r| !managed.acked_by(**r));
        let mut silent = 0;
        for router in missing {
            let lost = self.lost.contains_key(router);
            let last_contact = self.entries.get(router).map_or(since, |e| e.last_contact);
            let timeout = if lost { ttl / 2 } else { ttl };
            let waited = env.now.duration_since(since);
            if waited <= timeout || env.now.duration_since(last_contact) <= ttl {
                return None;
            }
            silent += usize::from(!lost);
        }
        Some(silent)
    }

    /// Completes a take-over in which `silent` present routers did not answer: sets the server's
    /// limit and the slots assumed in use.
    fn complete_takeover(
        &mut self,
        env: Env<'_>,
        server: ServerId,
        silent: usize,
        out: &mut Outbox,
    ) {
        let lost = self.has_recent_loss(env.now, env);
        let last_contact = self.last_lost_contact(env.now, env.params.orphan_life);
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let Phase::Recovering {
            warm_up, handed, ..
        } = managed.phase
        else {
            return;
        };
        managed.phase = Phase::Steady;
        if let Some(warm_up) = warm_up {
            let all_known = silent == 0 && (handed.is_some() || !lost);
            let limit = if all_known {
                warm_up.limit
            } else if silent == 0 {
                managed.limit.cold().max(warm_up.limit / 2)
            } else {
                managed.limit.cold().min(warm_up.limit / 2)
            };
            managed.limit.adopt(warm_up, limit);
            managed.assumed_used = match handed {
                Some(assumed_used) => assumed_used,
                None if all_known => 0,
                None => managed.limit.max().saturating_sub(managed.used),
            };
            managed.unreported_max = warm_up.limit.saturating_sub(managed.used);
            managed.assumed_since = last_contact;
        }
        self.update_free(server);
        self.update_standbys(env, server, out);
    }

    /// Sends a changed warm-up limit of a server to its standby routers.
    pub(super) fn update_standbys(&mut self, env: Env<'_>, server: ServerId, out: &mut Outbox) {
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let warm_up = managed.limit.warm_up();
        if managed.is_recovering() || managed.standby_warm_up == Some(warm_up) {
            return;
        }
        managed.standby_warm_up = Some(warm_up);
        for router in env.members.standbys(server).take(STANDBY_COUNT) {
            out.send(router, Message::Standby(Standby { server, warm_up }));
        }
    }

    /// Returns the latest contact with a recently lost router, or the start time if there is none.
    fn last_lost_contact(&self, now: Instant, ttl: Duration) -> Instant {
        let recent = self
            .lost
            .iter()
            .filter(|(_, at)| now.duration_since(**at) < ttl);
        recent
            .map(|(r, at)| self.entries.get(r).map_or(*at, |e| e.last_contact))
            .max()
            .unwrap_or(self.started)
    }

    /// Returns whether requests of a lost router, or from before this start, may still run.
    fn has_recent_loss(&self, now: Instant, env: Env<'_>) -> bool {
        let ttl = env.params.orphan_life;
        let recent = |at: &Instant| now.duration_since(*at) < ttl;
        recent(&self.started) || self.lost.values().any(recent)
    }
}

/// Returns the report with the higher warm-up limit.
fn higher_limit(a: Option<WarmUpState>, b: Option<WarmUpState>) -> Option<WarmUpState> {
    match (a, b) {
        (Some(a), Some(b)) if a.limit >= b.limit => Some(a),
        (a, b) => b.or(a),
    }
}
