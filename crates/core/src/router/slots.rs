//! Whom this entry obeys at each server, and which slots it uses there.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{AttemptKey, GrantRef, Peer, RouterId, ServerId, ServiceId, Term};
use crate::message::{Grant, Held, Message, Recover, Recovered, Usage, Warmth};

use super::Router;

/// Grants remembered at most, so that a repeated one is not used again.
const REMEMBERED_GRANTS: usize = 65_536;

/// Whose grants an entry uses at one server.
#[hibiscusrail_macros::id]
pub(super) struct Promise {
    pub dispatcher: Peer,
    pub term: Term,
}

/// What an entry knows of the slots of others' servers.
#[derive(Debug, Default)]
pub(super) struct Obedience {
    promises: BTreeMap<ServerId, Promise>,
    warmth: BTreeMap<ServerId, Warmth>,
    seen: BTreeSet<GrantRef>,
    recent: VecDeque<(Instant, GrantRef)>,
}

impl Obedience {
    /// Notes a grant; returns whether it was not seen before.
    pub fn note(&mut self, now: Instant, life: Duration, grant: GrantRef) -> bool {
        while let Some((at, old)) = self.recent.front().copied() {
            let over = now.duration_since(at) > life * 2;
            if !over && self.recent.len() < REMEMBERED_GRANTS {
                break;
            }
            self.recent.pop_front();
            self.seen.remove(&old);
        }
        if !self.seen.insert(grant) {
            return false;
        }
        self.recent.push_back((now, grant));
        true
    }

    /// Returns whether the grant comes from the take-over that is obeyed.
    pub fn obeys(&self, dispatcher: Peer, grant: &Grant) -> bool {
        let term = grant.term;
        self.promises.get(&grant.server) == Some(&Promise { dispatcher, term })
    }

    /// Keeps a server's warmth for the next dispatcher.
    pub fn keep_warmth(&mut self, server: ServerId, warmth: Warmth) {
        self.warmth.insert(server, warmth);
    }

    /// Drops what is kept of servers for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(ServerId) -> bool) {
        self.promises.retain(|id, _| keep(*id));
        self.warmth.retain(|id, _| keep(*id));
    }
}

impl Router {
    /// Returns the dispatcher of a server in this router's view.
    pub(super) fn named(&self, server: ServerId) -> Option<RouterId> {
        self.reaches.named(server)
    }

    /// Answers a dispatcher that takes a server over.
    pub(super) fn on_recover(&mut self, now: Instant, from: Peer, recover: Recover) {
        let Recover { server, term } = recover;
        let named = self.named(server);
        let previous = self.obedience.promises.get(&server).copied();
        if named == Some(from.router) {
            let promise = Promise {
                dispatcher: from,
                term,
            };
            let stale = previous.is_some_and(|p| p.dispatcher.router == from.router && p > promise);
            if stale {
                return;
            }
            self.obedience.promises.insert(server, promise);
        }
        let held = self.held(now, |_, s| s == server);
        let answer = Recovered {
            server,
            term,
            sent: self.entry.clock(now),
            dispatcher: named,
            previous: previous.map(|p| p.dispatcher.router),
            warmth: self.obedience.warmth.get(&server).copied(),
            held,
        };
        self.out.send(from.router, Message::Recovered(answer));
    }

    /// Returns the slots in use for which `which` holds.
    fn held(&self, now: Instant, which: impl Fn(GrantRef, ServerId) -> bool) -> Vec<Held> {
        self.attempts
            .values()
            .filter(|r| which(r.facts().grant, r.facts().server))
            .filter_map(|running| {
                let a = running.facts();
                let request = self.requests.get(a.request)?;
                Some(Held {
                    grant: a.grant,
                    server: a.server,
                    flow: request.flow,
                    cost: self.cost_so_far(now, running),
                    left: request.call.deadline.saturating_duration_since(now),
                })
            })
            .collect()
    }

    /// Tells every dispatcher that may think so which slots are in use here.
    pub(super) fn report_usage(&mut self, now: Instant) {
        let mut by_dispatcher: BTreeMap<RouterId, Vec<Held>> = BTreeMap::new();
        for router in self.entry.take_due_reports() {
            by_dispatcher.entry(router).or_default();
        }
        for held in self.held(now, |_, _| true) {
            let granted = held.grant.dispatcher;
            let named = self.named(held.server).filter(|n| *n != granted);
            by_dispatcher.entry(granted).or_default().push(held);
            if let Some(named) = named {
                by_dispatcher.entry(named).or_default().push(held);
            }
        }
        let sent = self.entry.clock(now);
        for (router, held) in by_dispatcher {
            self.out.send(router, Message::Usage(Usage { sent, held }));
        }
    }

    /// Returns the dispatcher and the server that last served a prompt prefix.
    pub(super) fn prefer(&self, service: ServiceId, prefix: u64) -> Option<(RouterId, ServerId)> {
        if !self.world.params.prefix_affinity {
            return None;
        }
        let server = self.entry.preferred(service, prefix)?;
        Some((self.named(server)?, server))
    }

    /// Returns the attempt that uses a grant.
    pub(super) fn used_by(&self, grant: GrantRef) -> Option<AttemptKey> {
        self.grants.get(&grant).copied()
    }
}
