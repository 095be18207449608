//! How a server changes hands.
//!
//! A router that becomes the dispatcher of a server begins a take-over with a
//! new term. It asks every present router to obey. A router that names it as
//! the dispatcher promises to use grants of this term only, and lists the
//! slots it uses there. Once all have answered, every slot in use is known and
//! no other dispatcher's grant can be used any more.
//!
//! A predecessor that lives hands over its table, so that nothing is in doubt.
//! Otherwise slots below the predecessor's limit that nobody holds may belong
//! to a router that died: they stay counted until the server's load report
//! shows them gone or the longest deadline has passed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::ids::{Flow, Peer, RouterId, ServerId, ServiceId, Term};
use crate::message::{HandedSlot, Handover, Message, Recover, Recovered, Standby, Warmth};
use crate::outbox::Outbox;

use super::managed::{Managed, Phase};
use super::{Dispatcher, Slot, Surroundings};
/// Routers that keep the warmth of a server for the dispatcher's successor.
const STANDBYS: usize = 2;

impl Dispatcher {
    /// Takes over and gives up servers after a change of view or configuration.
    pub fn reassign(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        self.note_lost(env);
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
                self.ask_all(env, id, out);
            }
            if let Some(managed) = self.servers.get_mut(&id) {
                managed.limit.configure(server.cold_limit, server.max_limit);
                let open = env.config.is_open(server);
                if open && !managed.open {
                    // What it bore before it was taken out says nothing now.
                    managed.limit.reset();
                }
                managed.open = open;
            }
            self.relist(id);
        }
        let others: Vec<_> = self.servers.keys().copied().collect();
        for id in others.into_iter().filter(|id| !mine.contains(id)) {
            self.give_up(env, id, out);
        }
        self.accounts.resend();
        self.check_recovered(env, out);
        self.serve_all(env, out);
    }

    fn new_term(&mut self) -> Term {
        self.next_term += 1;
        Term(self.next_term)
    }

    /// Marks the slots of routers that are gone, and those that came back.
    fn note_lost(&mut self, env: Surroundings<'_>) {
        let present: BTreeSet<_> = env.members.present().collect();
        for router in &present {
            let back = self.lost.remove(router).is_some();
            if let Some(state) = self.entries.get(router).filter(|_| back) {
                self.slots.set_found(Peer {
                    router: *router,
                    incarnation: state.incarnation,
                });
            }
        }
        for router in env.members.known().filter(|r| !present.contains(r)) {
            let since = *self.lost.entry(router).or_insert(env.now);
            if since == env.now {
                self.slots.set_lost(router, env.now);
                self.drop_wants(env, |entry, _| entry != router);
            }
        }
    }

    /// Keeps the order of flows when shares change.
    fn rescale(&mut self, env: Surroundings<'_>) {
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

    /// Gives up a server, and hands it over if its slots are all known.
    fn give_up(&mut self, env: Surroundings<'_>, id: ServerId, out: &mut Outbox) {
        let Some(managed) = self.servers.remove(&id) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&managed.service) {
            pool.set_free(id, managed.listed, 0);
        }
        let grants = self.slots.select(|s| s.server == id);
        let handed: Vec<_> = grants
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
        let slots = handed
            .into_iter()
            .map(|(grant, slot)| HandedSlot {
                grant,
                entry: slot.entry,
                flow: slot.flow,
                echo: slot.echo,
                charged: slot.charged,
                left: slot.deadline.saturating_duration_since(env.now),
            })
            .collect();
        let handover = Handover {
            server: id,
            warmth: managed.limit.warmth(),
            presumed: managed.presumed,
            slots,
        };
        out.send(next, Message::Handover(handover));
    }

    /// Takes in a predecessor's table of slots.
    pub fn handover(
        &mut self,
        env: Surroundings<'_>,
        from: Peer,
        handover: &Handover,
        out: &mut Outbox,
    ) {
        let server = handover.server;
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let Phase::Recovering { warmth, handed, .. } = &mut managed.phase else {
            return;
        };
        *warmth = Some(handover.warmth);
        *handed = Some(handover.presumed);
        self.hear(env, from);
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
                    seen: true,
                    echo: slot.echo,
                    deadline: env.now + slot.left.min(env.params.orphan_life),
                    orphan: self.orphaned(slot.entry),
                },
            );
            if let Some(managed) = self.servers.get_mut(&server) {
                managed.used += 1;
            }
        }
        self.check_recovered(env, out);
    }

    /// Returns since when an entry's run is known to be over.
    fn orphaned(&self, entry: Peer) -> Option<Instant> {
        if let Some(state) = self.entries.get(&entry.router)
            && state.incarnation > entry.incarnation
        {
            return Some(state.heard);
        }
        self.lost.get(&entry.router).copied()
    }

    /// Returns the routers that may hold slots: present ones and those lost lately.
    ///
    /// A router that counts as dead may be alive in the view of others.
    fn concerned(&self, env: Surroundings<'_>) -> BTreeSet<RouterId> {
        let life = env.params.orphan_life;
        let lost = self.lost.iter();
        let lately = lost.filter(|(_, at)| env.now.duration_since(**at) < life);
        env.members
            .present()
            .chain(lately.map(|(r, _)| *r))
            .collect()
    }

    /// Asks every router that may hold slots to obey.
    fn ask_all(&mut self, env: Surroundings<'_>, server: ServerId, out: &mut Outbox) {
        let concerned = self.concerned(env);
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        managed.asked = env.now;
        let recover = Recover {
            server,
            term: managed.term,
        };
        for router in concerned {
            if !managed.obeyed_by(router) {
                out.send(router, Message::Recover(recover));
            }
        }
    }

    /// Asks again where a take-over is not complete.
    pub fn retry(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        let pending: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, m)| m.is_recovering())
            .map(|(id, _)| *id)
            .collect();
        for server in pending {
            self.ask_all(env, server, out);
        }
        self.check_recovered(env, out);
    }

    /// Asks entries that wait and do not obey yet, now and then.
    pub(super) fn ask_waiting(
        &mut self,
        env: Surroundings<'_>,
        service: ServiceId,
        out: &mut Outbox,
    ) {
        let Some(pool) = self.pools.get(&service) else {
            return;
        };
        let entries = pool.entries();
        let free: Vec<_> = pool.free().collect();
        for server in free {
            let Some(managed) = self.servers.get_mut(&server) else {
                continue;
            };
            if env.now < managed.asked + env.params.recover_retry {
                continue;
            }
            managed.asked = env.now;
            let recover = Recover {
                server,
                term: managed.term,
            };
            for entry in entries.iter().filter(|e| !managed.obeyed_by(**e)) {
                out.send(*entry, Message::Recover(recover));
            }
        }
    }

    /// Takes in an entry's answer.
    pub fn recovered(
        &mut self,
        env: Surroundings<'_>,
        from: Peer,
        answer: &Recovered,
        out: &mut Outbox,
    ) {
        if !self.hear(env, from) {
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
            self.restart(env, answer.server, out);
            return;
        }
        if !self.is_newer(env, from, answer.sent) {
            return;
        }
        for held in &answer.held {
            self.hold(env, from, answer.sent, held);
        }
        self.drop_unlisted(env, from, answer.sent, &answer.held, Some(answer.server));
        if let Some(managed) = self.servers.get_mut(&answer.server) {
            managed.obeying.insert(from.router, from.incarnation);
            if let Phase::Recovering { warmth, .. } = &mut managed.phase {
                *warmth = warmer(*warmth, answer.warmth);
            }
        }
        self.check_recovered(env, out);
        self.serve_all(env, out);
    }

    /// Takes in that an entry obeyed another dispatcher meanwhile.
    pub(super) fn fenced(
        &mut self,
        env: Surroundings<'_>,
        server: ServerId,
        term: Term,
        out: &mut Outbox,
    ) {
        let managed = self.servers.get(&server);
        let current = managed.is_some_and(|m| m.term == term && !m.is_recovering());
        if current {
            self.restart(env, server, out);
        }
    }

    /// Takes every server over anew, as this router may have been replaced.
    pub fn suspect(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        let servers: Vec<_> = self.servers.keys().copied().collect();
        for server in servers {
            self.restart(env, server, out);
        }
    }

    fn restart(&mut self, env: Surroundings<'_>, server: ServerId, out: &mut Outbox) {
        let term = self.new_term();
        if let Some(managed) = self.servers.get_mut(&server) {
            managed.restart(term, env.now);
        }
        self.relist(server);
        self.ask_all(env, server, out);
    }

    /// Completes the take-overs for which every present router has answered.
    fn check_recovered(&mut self, env: Surroundings<'_>, out: &mut Outbox) {
        if !self.is_recovering() {
            return;
        }
        let concerned = self.concerned(env);
        let servers: Vec<_> = self.servers.keys().copied().collect();
        let mut done = false;
        for server in servers {
            let missing = self.missing(env, server, &concerned);
            let Some(silent) = missing else {
                continue;
            };
            self.complete(env, server, silent, out);
            done = true;
        }
        if done {
            self.serve_all(env, out);
        }
    }

    /// Returns how many silent routers a take-over does without, once it can.
    ///
    /// A router that does not answer is waited for until a grant lifetime has
    /// passed since it was last heard; half of one is enough if it counts as dead.
    fn missing(
        &self,
        env: Surroundings<'_>,
        server: ServerId,
        concerned: &BTreeSet<RouterId>,
    ) -> Option<usize> {
        let managed = self.servers.get(&server)?;
        let Phase::Recovering { since, .. } = managed.phase else {
            return None;
        };
        let life = env.params.grant_life;
        let missing = concerned.iter().filter(|r| !managed.obeyed_by(**r));
        let mut silent = 0;
        for router in missing {
            let lost = self.lost.contains_key(router);
            let heard = self.entries.get(router).map_or(since, |e| e.heard);
            let patience = if lost { life / 2 } else { life };
            let waited = env.now.duration_since(since);
            if waited <= patience || env.now.duration_since(heard) <= life {
                return None;
            }
            silent += usize::from(!lost);
        }
        Some(silent)
    }

    fn complete(
        &mut self,
        env: Surroundings<'_>,
        server: ServerId,
        silent: usize,
        out: &mut Outbox,
    ) {
        let lost = self.lost_since(env.now, env);
        let heard = self.last_heard(env.now, env.params.orphan_life);
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let Phase::Recovering { warmth, handed, .. } = managed.phase else {
            return;
        };
        managed.phase = Phase::Steady;
        if let Some(warmth) = warmth {
            let all_known = silent == 0 && (handed.is_some() || !lost);
            let limit = if all_known {
                warmth.limit
            } else if silent == 0 {
                managed.limit.cold().max(warmth.limit / 2)
            } else {
                managed.limit.cold().min(warmth.limit / 2)
            };
            managed.limit.adopt(warmth, limit);
            managed.presumed = match handed {
                Some(presumed) => presumed,
                None if all_known => 0,
                None => managed.limit.max().saturating_sub(managed.used),
            };
            managed.presumed_least = warmth.limit.saturating_sub(managed.used);
            managed.presumed_since = heard;
        }
        self.relist(server);
        self.tell_standbys(env, server, out);
    }

    /// Tells a few routers the warmth of a server, should this one be lost.
    pub(super) fn tell_standbys(
        &mut self,
        env: Surroundings<'_>,
        server: ServerId,
        out: &mut Outbox,
    ) {
        let Some(managed) = self.servers.get_mut(&server) else {
            return;
        };
        let warmth = managed.limit.warmth();
        if managed.is_recovering() || managed.told == Some(warmth) {
            return;
        }
        managed.told = Some(warmth);
        for router in env.members.standbys(server).take(STANDBYS) {
            out.send(router, Message::Standby(Standby { server, warmth }));
        }
    }

    /// Returns when a router that was lost lately may last have sent something.
    fn last_heard(&self, now: Instant, life: Duration) -> Instant {
        let recent = self
            .lost
            .iter()
            .filter(|(_, at)| now.duration_since(**at) < life);
        recent
            .map(|(r, at)| self.entries.get(r).map_or(*at, |e| e.heard))
            .max()
            .unwrap_or(self.started)
    }

    /// Returns whether a router was lost so lately that its requests may still run.
    fn lost_since(&self, now: Instant, env: Surroundings<'_>) -> bool {
        let life = env.params.orphan_life;
        let recent = |at: &Instant| now.duration_since(*at) < life;
        recent(&self.started) || self.lost.values().any(recent)
    }
}

/// Returns the warmer of two reports of one server.
fn warmer(a: Option<Warmth>, b: Option<Warmth>) -> Option<Warmth> {
    match (a, b) {
        (Some(a), Some(b)) if a.limit >= b.limit => Some(a),
        (a, b) => b.or(a),
    }
}
