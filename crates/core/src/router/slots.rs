//! The entry's side of a dispatcher's term: acknowledges terms and reports slots in use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{AttemptKey, GrantRef, Peer, RouterId, ServerId, ServiceId, Term};
use crate::message::{Grant, Message, TermAck, TermRequest, Usage, UsedSlot, WarmUpState};

use super::Router;

/// Maximum number of grants remembered to detect duplicates.
const MAX_SEEN_GRANTS: usize = 65_536;

/// The dispatcher and term whose grants an entry accepts at one server.
#[hibiscusrail_macros::id]
pub(super) struct AckedTerm {
    pub dispatcher: Peer,
    pub term: Term,
}

/// What an entry has received from the dispatchers of each server.
#[derive(Debug, Default)]
pub(super) struct Acknowledgements {
    terms: BTreeMap<ServerId, AckedTerm>,
    warm_up: BTreeMap<ServerId, WarmUpState>,
    seen_grants: BTreeSet<GrantRef>,
    recent_grants: VecDeque<(Instant, GrantRef)>,
}

impl Acknowledgements {
    /// Records a grant; returns false if it is a duplicate.
    pub fn record_grant(&mut self, now: Instant, lifetime: Duration, grant: GrantRef) -> bool {
        while let Some((at, old)) = self.recent_grants.front().copied() {
            let expired = now.duration_since(at) > lifetime * 2;
            if !expired && self.recent_grants.len() < MAX_SEEN_GRANTS {
                break;
            }
            self.recent_grants.pop_front();
            self.seen_grants.remove(&old);
        }
        if !self.seen_grants.insert(grant) {
            return false;
        }
        self.recent_grants.push_back((now, grant));
        true
    }

    /// Returns whether the grant belongs to the acknowledged term.
    pub fn accepts(&self, dispatcher: Peer, grant: &Grant) -> bool {
        let term = grant.term;
        self.terms.get(&grant.server) == Some(&AckedTerm { dispatcher, term })
    }

    /// Stores a server's warm-up state for its next dispatcher.
    pub fn keep_warm_up(&mut self, server: ServerId, warm_up: WarmUpState) {
        self.warm_up.insert(server, warm_up);
    }

    /// Drops the state of servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(ServerId) -> bool) {
        self.terms.retain(|id, _| keep(*id));
        self.warm_up.retain(|id, _| keep(*id));
    }
}

impl Router {
    /// Returns the dispatcher of a server in this router's view.
    pub(super) fn dispatcher_of(&self, server: ServerId) -> Option<RouterId> {
        self.assignments.dispatcher(server)
    }

    /// Acknowledges a term if its sender is the dispatcher in this view; reports slots in use.
    pub(super) fn on_recover(&mut self, now: Instant, from: Peer, request: TermRequest) {
        let TermRequest { server, term } = request;
        let current = self.dispatcher_of(server);
        let previous = self.acks.terms.get(&server).copied();
        if current == Some(from.router) {
            let acked = AckedTerm {
                dispatcher: from,
                term,
            };
            let stale = previous.is_some_and(|p| p.dispatcher.router == from.router && p > acked);
            if stale {
                return;
            }
            self.acks.terms.insert(server, acked);
        }
        let held = self.held_slots(now, |_, s| s == server);
        let answer = TermAck {
            server,
            term,
            sent: self.entry.clock(now),
            dispatcher: current,
            previous: previous.map(|p| p.dispatcher.router),
            warm_up: self.acks.warm_up.get(&server).copied(),
            held,
        };
        self.out.send(from.router, Message::TermAck(answer));
    }

    /// Returns the slots in use for which `filter` returns true.
    fn held_slots(
        &self,
        now: Instant,
        filter: impl Fn(GrantRef, ServerId) -> bool,
    ) -> Vec<UsedSlot> {
        self.attempts
            .values()
            .filter(|r| filter(r.facts().grant, r.facts().server))
            .filter_map(|running| {
                let a = running.facts();
                let request = self.requests.get(a.request)?;
                Some(UsedSlot {
                    grant: a.grant,
                    server: a.server,
                    flow: request.flow,
                    cost: self.cost_so_far(now, running),
                    left: request.call.deadline.saturating_duration_since(now),
                })
            })
            .collect()
    }

    /// Reports the slots in use to their dispatchers and to the dispatchers of their servers.
    pub(super) fn report_usage(&mut self, now: Instant) {
        let mut by_dispatcher: BTreeMap<RouterId, Vec<UsedSlot>> = BTreeMap::new();
        for router in self.entry.take_due_reports() {
            by_dispatcher.entry(router).or_default();
        }
        for held in self.held_slots(now, |_, _| true) {
            let issuer = held.grant.dispatcher;
            let successor = self.dispatcher_of(held.server).filter(|n| *n != issuer);
            by_dispatcher.entry(issuer).or_default().push(held);
            if let Some(successor) = successor {
                by_dispatcher.entry(successor).or_default().push(held);
            }
        }
        let sent = self.entry.clock(now);
        for (router, held) in by_dispatcher {
            self.out.send(router, Message::Usage(Usage { sent, held }));
        }
    }

    /// Returns the server that last served a prompt prefix, with its dispatcher.
    pub(super) fn preferred_server(
        &self,
        service: ServiceId,
        prefix: u64,
    ) -> Option<(RouterId, ServerId)> {
        if !self.ctx.params.prefix_affinity {
            return None;
        }
        let server = self.entry.preferred(service, prefix)?;
        Some((self.dispatcher_of(server)?, server))
    }

    /// Returns the attempt that uses a grant.
    pub(super) fn used_by(&self, grant: GrantRef) -> Option<AttemptKey> {
        self.grants.get(&grant).copied()
    }
}
