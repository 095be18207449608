//! The entry: holds callers' requests until a dispatcher grants a slot.
//!
//! While dispatchers have room, a request asks one of them for one slot. When
//! none has room, the flow announces how many requests wait to all dispatchers
//! of the service, and whichever frees a slot first grants it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{Flow, RequestKey, RouterId, ServerId, ServiceId};
use crate::message::{Demand, FlowDemand, Message};
use crate::outbox::Outbox;
use crate::params::Params;

/// A request in a queue.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    request: RequestKey,
    since: Instant,
    asked: Option<RouterId>,
}

/// The queue of one flow.
#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Waiting>,
    spread: bool,
}

/// What one dispatcher was told.
#[derive(Debug, Default)]
struct Link {
    seq: u64,
    last: Option<Instant>,
    told: BTreeMap<Flow, u32>,
    dirty: BTreeSet<Flow>,
    urgent: bool,
    ask: bool,
    prefer: Option<ServerId>,
    full: BTreeMap<ServiceId, Instant>,
}

/// State of the entry role.
#[derive(Debug)]
pub struct Entry {
    start: Instant,
    queues: BTreeMap<Flow, Queue>,
    links: BTreeMap<RouterId, Link>,
    turn: usize,
}

impl Entry {
    /// Creates the role at the start of the process.
    #[must_use]
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            queues: BTreeMap::new(),
            links: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Returns this entry's clock: the time since its start.
    #[must_use]
    pub fn clock(&self, now: Instant) -> Duration {
        now.duration_since(self.start)
    }

    /// Returns the requests that wait in the queue of `flow`.
    #[must_use]
    pub fn waiting(&self, flow: Flow) -> usize {
        self.queues.get(&flow).map_or(0, |q| q.waiting.len())
    }

    /// Returns each queue's flow and length.
    pub fn queues(&self) -> impl Iterator<Item = (Flow, usize)> + '_ {
        self.queues.iter().map(|(f, q)| (*f, q.waiting.len()))
    }

    /// Returns all waiting requests.
    #[must_use]
    pub fn total_waiting(&self) -> usize {
        self.queues.values().map(|q| q.waiting.len()).sum()
    }

    /// Puts a request into its queue; `front` for one that is tried again.
    pub fn enqueue(
        &mut self,
        now: Instant,
        flow: Flow,
        request: RequestKey,
        front: bool,
        dispatchers: &[RouterId],
        prefer: Option<(RouterId, ServerId)>,
    ) {
        let mut waiting = Waiting {
            request,
            since: now,
            asked: None,
        };
        let spread = self.queues.get(&flow).is_some_and(|q| q.spread);
        if !spread {
            waiting.asked = self.pick(now, flow.service, dispatchers, prefer);
        }
        let queue = self.queues.entry(flow).or_default();
        if front {
            queue.waiting.push_front(waiting);
        } else {
            queue.waiting.push_back(waiting);
        }
        match waiting.asked {
            Some(router) => {
                let link = self.links.entry(router).or_default();
                link.ask = true;
                link.urgent = true;
                link.prefer = prefer.filter(|(r, _)| *r == router).map(|(_, s)| s);
                link.dirty.insert(flow);
            }
            None => self.spread(flow, dispatchers),
        }
    }

    /// Picks a dispatcher that is not known to be full: the preferred one, else in turn.
    fn pick(
        &mut self,
        now: Instant,
        service: ServiceId,
        dispatchers: &[RouterId],
        prefer: Option<(RouterId, ServerId)>,
    ) -> Option<RouterId> {
        let open: Vec<_> = dispatchers
            .iter()
            .copied()
            .filter(|r| !self.is_full(now, service, *r))
            .collect();
        if let Some((router, _)) = prefer.filter(|(r, _)| open.contains(r)) {
            return Some(router);
        }
        self.turn = self.turn.wrapping_add(1);
        open.get(self.turn % open.len().max(1)).copied()
    }

    fn is_full(&self, now: Instant, service: ServiceId, router: RouterId) -> bool {
        self.links
            .get(&router)
            .and_then(|l| l.full.get(&service))
            .is_some_and(|until| *until > now)
    }

    fn spread(&mut self, flow: Flow, dispatchers: &[RouterId]) {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return;
        };
        queue.spread = true;
        for router in dispatchers {
            let link = self.links.entry(*router).or_default();
            link.dirty.insert(flow);
        }
    }

    /// Takes in that `router` has no free slot: its askers turn to others.
    pub fn full(
        &mut self,
        now: Instant,
        service: ServiceId,
        router: RouterId,
        dispatchers: &[RouterId],
        params: &Params,
    ) {
        let link = self.links.entry(router).or_default();
        link.full.insert(service, now + params.full_memory);
        let flows: Vec<Flow> = self
            .queues
            .iter()
            .filter(|(f, q)| {
                f.service == service && q.waiting.iter().any(|w| w.asked == Some(router))
            })
            .map(|(f, _)| *f)
            .collect();
        for flow in flows {
            match self.pick(now, service, dispatchers, None) {
                Some(next) => self.move_asks(flow, router, next),
                None => self.spread(flow, dispatchers),
            }
        }
    }

    fn move_asks(&mut self, flow: Flow, from: RouterId, to: RouterId) {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return;
        };
        for waiting in &mut queue.waiting {
            if waiting.asked == Some(from) {
                waiting.asked = Some(to);
            }
        }
        self.links.entry(from).or_default().dirty.insert(flow);
        let link = self.links.entry(to).or_default();
        link.dirty.insert(flow);
        link.ask = true;
        link.urgent = true;
    }

    /// Takes in that `router` has free slots again.
    pub fn room(&mut self, service: ServiceId, router: RouterId) {
        if let Some(link) = self.links.get_mut(&router) {
            link.full.remove(&service);
        }
    }

    /// Takes the request that a grant of `router` is used for.
    pub fn take(&mut self, flow: Flow, router: RouterId) -> Option<RequestKey> {
        let queue = self.queues.get_mut(&flow)?;
        let at = queue
            .waiting
            .iter()
            .position(|w| w.asked == Some(router))
            .unwrap_or(0);
        let waiting = queue.waiting.remove(at)?;
        self.note_removed(flow, waiting, Some(router));
        Some(waiting.request)
    }

    /// Removes a request that is given up.
    pub fn remove(&mut self, flow: Flow, request: RequestKey) {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return;
        };
        if let Some(at) = queue.waiting.iter().position(|w| w.request == request)
            && let Some(waiting) = queue.waiting.remove(at)
        {
            self.note_removed(flow, waiting, None);
        }
    }

    /// Marks what dispatchers must be told after a request left its queue.
    ///
    /// The dispatcher that granted has already counted the request off.
    fn note_removed(&mut self, flow: Flow, waiting: Waiting, granted: Option<RouterId>) {
        let spread = self.queues.get(&flow).is_some_and(|q| q.spread);
        for (router, link) in &mut self.links {
            if granted == Some(*router) {
                if let Some(told) = link.told.get_mut(&flow) {
                    *told = told.saturating_sub(1);
                }
            } else if spread || waiting.asked == Some(*router) {
                link.dirty.insert(flow);
            }
        }
        if self.queues.get(&flow).is_some_and(|q| q.waiting.is_empty()) {
            self.queues.remove(&flow);
        }
    }

    /// Returns how many requests of `flow` wait for `router`, and since when.
    fn count(&self, flow: Flow, router: RouterId) -> (u32, Option<Instant>) {
        let Some(queue) = self.queues.get(&flow) else {
            return (0, None);
        };
        let mut count = 0;
        let mut since = None;
        for waiting in &queue.waiting {
            if queue.spread || waiting.asked == Some(router) {
                count += 1;
                since = since.or(Some(waiting.since));
            }
        }
        (count, since)
    }

    /// Sends due demand; returns when the next is due.
    pub fn flush(&mut self, now: Instant, params: &Params, out: &mut Outbox) -> Option<Instant> {
        let mut next: Option<Instant> = None;
        let routers: Vec<_> = self.links.keys().copied().collect();
        for router in routers {
            let due = self.links[&router]
                .last
                .map_or(now, |l| l + params.demand_delay);
            let link = &self.links[&router];
            if link.dirty.is_empty() {
                continue;
            }
            if due > now && !link.urgent {
                next = Some(next.map_or(due, |n| n.min(due)));
                continue;
            }
            self.send_demand(now, router, out);
        }
        next
    }

    fn send_demand(&mut self, now: Instant, router: RouterId, out: &mut Outbox) {
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        let dirty = std::mem::take(&mut link.dirty);
        let mut flows = Vec::new();
        for flow in dirty {
            let (waiting, since) = self.count(flow, router);
            let oldest = since.map_or(Duration::ZERO, |s| now.duration_since(s));
            let told = self.links[&router].told.get(&flow).copied().unwrap_or(0);
            if waiting == 0 && told == 0 {
                continue;
            }
            flows.push(FlowDemand {
                flow,
                waiting,
                oldest,
            });
        }
        let sent = self.clock(now);
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        for item in &flows {
            if item.waiting == 0 {
                link.told.remove(&item.flow);
            } else {
                link.told.insert(item.flow, item.waiting);
            }
        }
        link.urgent = false;
        let ask = std::mem::take(&mut link.ask);
        let prefer = link.prefer.take();
        if flows.is_empty() {
            return;
        }
        link.seq += 1;
        link.last = Some(now);
        let demand = Demand {
            seq: link.seq,
            sent,
            ask,
            prefer,
            flows,
        };
        out.send(router, Message::Demand(demand));
    }

    /// Marks all demand for refresh.
    pub fn period(&mut self) {
        for link in self.links.values_mut() {
            let told: Vec<_> = link.told.keys().copied().collect();
            link.dirty.extend(told);
        }
    }

    /// Asks again for requests whose dispatchers may have changed.
    pub fn reassign(&mut self, dispatchers: impl Fn(ServiceId) -> Vec<RouterId>) {
        let flows: Vec<_> = self.queues.keys().copied().collect();
        for flow in flows {
            let routers = dispatchers(flow.service);
            self.spread(flow, &routers);
        }
    }
}
