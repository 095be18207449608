//! The entry: holds callers' requests until a dispatcher grants a slot.
//!
//! While dispatchers have free slots, the entry asks one of them for a slot for each request. When
//! all are full, it announces the flow's number of waiting requests to a number of dispatchers that
//! grows with the flow's portion of the capacity; the first one with a free slot grants it.
//!
//! * this module: the queues, and the dispatchers that each queue waits for;
//! * `queue`: the waiting requests of one flow;
//! * `link`: the demand exchanged with one dispatcher;
//! * [`targets`]: the dispatchers that a flow is announced to;
//! * [`affinity`]: the server that last served each prompt prefix.

pub mod affinity;
mod link;
mod queue;
pub mod targets;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{Flow, Incarnation, RequestKey, RouterId, ServerId, ServiceId};
use crate::message::{Demand, FlowDemand, Message};
use crate::outbox::Outbox;
use crate::params::Params;

use affinity::Affinity;
use link::Link;
use queue::{Queue, Waiting};
use targets::Candidates;

/// A request that is to be queued.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The request.
    pub request: RequestKey,
    /// The flow of the request.
    pub flow: Flow,
    /// Whether the request goes to the front of its queue, as retries do.
    pub at_front: bool,
    /// Cost hint, in cost units.
    pub hint: Option<f64>,
    /// The preferred server and its dispatcher.
    pub prefer: Option<(RouterId, ServerId)>,
}

/// The entry role of one router.
#[derive(Debug)]
pub struct Entry {
    start: Instant,
    /// Value of the entry's clock at the start.
    epoch: Duration,
    seq: u64,
    queues: BTreeMap<Flow, Queue>,
    links: BTreeMap<RouterId, Link>,
    next_pick: usize,
    affinity: Affinity,
}

impl Entry {
    /// Creates the entry role of a router incarnation that starts at `start`.
    #[must_use]
    pub fn new(start: Instant, incarnation: Incarnation) -> Self {
        Self {
            start,
            epoch: Duration::from_millis(incarnation.0),
            seq: 0,
            queues: BTreeMap::new(),
            links: BTreeMap::new(),
            next_pick: 0,
            affinity: Affinity::default(),
        }
    }

    /// Returns this entry's clock, which keeps growing across restarts.
    #[must_use]
    pub fn clock(&self, now: Instant) -> Duration {
        self.epoch + now.duration_since(self.start)
    }

    /// Returns the age of a demand, or `None` if an earlier incarnation sent it.
    #[must_use]
    pub fn age(&self, now: Instant, demand_sent: Duration) -> Option<Duration> {
        if demand_sent < self.epoch {
            return None;
        }
        Some(self.clock(now).saturating_sub(demand_sent))
    }

    /// Returns the servers that last served each prompt prefix, for updates.
    pub fn affinity(&mut self) -> &mut Affinity {
        &mut self.affinity
    }

    /// Returns the server that last served a prompt prefix.
    #[must_use]
    pub fn preferred(&self, service: ServiceId, prefix: u64) -> Option<ServerId> {
        self.affinity.server(service, prefix)
    }

    /// Returns the number of requests waiting in the queue of `flow`.
    #[must_use]
    pub fn waiting(&self, flow: Flow) -> usize {
        self.queues.get(&flow).map_or(0, Queue::len)
    }

    /// Returns each queue's flow and length.
    pub fn queues(&self) -> impl Iterator<Item = (Flow, usize)> + '_ {
        self.queues.iter().map(|(f, q)| (*f, q.len()))
    }

    /// Returns the number of waiting requests in all queues.
    #[must_use]
    pub fn total_waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the flows with waiting requests.
    pub fn flows(&self) -> Vec<Flow> {
        self.queues.keys().copied().collect()
    }

    /// Adds a request to its queue and asks for a slot.
    pub fn enqueue(&mut self, now: Instant, arrival: Arrival, candidates: &Candidates) {
        let flow = arrival.flow;
        let announced = self.queues.get(&flow).is_some_and(Queue::is_announced);
        let asked = if announced {
            None
        } else {
            self.pick_dispatcher(now, flow.service, candidates, arrival.prefer)
        };
        let queue = self.queues.entry(flow).or_default();
        queue.push(Waiting::new(&arrival, now, asked), arrival.at_front);
        let Some(router) = asked else {
            self.announce(flow, candidates);
            return;
        };
        let link = self.links.entry(router).or_default();
        link.request_slot(flow);
        link.prefer = arrival.prefer.filter(|(r, _)| *r == router).map(|(_, s)| s);
    }

    /// Picks a dispatcher that is not known to be full: the preferred one, else round-robin.
    fn pick_dispatcher(
        &mut self,
        now: Instant,
        service: ServiceId,
        candidates: &Candidates,
        prefer: Option<(RouterId, ServerId)>,
    ) -> Option<RouterId> {
        let dispatchers = candidates.dispatchers.iter().copied();
        let usable: Vec<_> = dispatchers
            .filter(|r| !self.is_full(now, service, *r))
            .collect();
        if let Some((router, _)) = prefer.filter(|(r, _)| usable.contains(r)) {
            return Some(router);
        }
        self.next_pick = self.next_pick.wrapping_add(1);
        usable.get(self.next_pick % usable.len().max(1)).copied()
    }

    fn is_full(&self, now: Instant, service: ServiceId, router: RouterId) -> bool {
        self.links
            .get(&router)
            .is_some_and(|l| l.is_full(now, service))
    }

    /// Announces a flow to its target dispatchers, instead of asking one per request.
    fn announce(&mut self, flow: Flow, candidates: &Candidates) {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return;
        };
        let mut changed = queue.start_announcing();
        changed.extend(queue.set_targets(candidates.targets(flow, queue.targets())));
        changed.extend(queue.targets().iter().copied());
        for router in changed {
            self.links.entry(router).or_default().dirty.insert(flow);
        }
    }

    /// Returns the dispatchers that did not answer a slot request before `ask_timeout`.
    pub fn unanswered_asks(
        &self,
        now: Instant,
        params: &Params,
    ) -> BTreeSet<(ServiceId, RouterId)> {
        let asks = self.asks();
        asks.filter(|(_, _, at)| *at + params.ask_timeout <= now)
            .map(|(service, router, _)| (service, router))
            .collect()
    }

    fn asks(&self) -> impl Iterator<Item = (ServiceId, RouterId, Instant)> + '_ {
        let queues = self.queues.iter().filter(|(_, q)| !q.is_announced());
        queues.flat_map(|(flow, q)| q.asks().map(|(router, at)| (flow.service, router, at)))
    }

    /// Treats `router` as full for `ttl` and redirects the requests that wait for it.
    pub fn handle_full(
        &mut self,
        now: Instant,
        service: ServiceId,
        router: RouterId,
        ttl: Duration,
        candidates: impl Fn(Flow) -> Candidates,
    ) {
        let link = self.links.entry(router).or_default();
        link.full_until.insert(service, now + ttl);
        let flows: Vec<Flow> = self
            .queues
            .iter()
            .filter(|(f, q)| f.service == service && q.waits_for(router))
            .map(|(f, _)| *f)
            .collect();
        for flow in flows {
            let candidates = candidates(flow);
            self.redirect(now, flow, router, &candidates);
        }
    }

    /// Moves the requests that ask `router` to another dispatcher, or announces the flow; if the
    /// flow is announced already, only ends a probe of `router`.
    fn redirect(&mut self, now: Instant, flow: Flow, router: RouterId, candidates: &Candidates) {
        if self.queues.get(&flow).is_some_and(Queue::is_announced) {
            let was_probe = self
                .queues
                .get_mut(&flow)
                .is_some_and(|q| q.end_probe(router));
            if was_probe {
                self.links.entry(router).or_default().dirty.insert(flow);
            }
            return;
        }
        match self.pick_dispatcher(now, flow.service, candidates, None) {
            Some(next) if next != router => self.move_asks(now, flow, router, next),
            _ => self.announce(flow, candidates),
        }
    }

    fn move_asks(&mut self, now: Instant, flow: Flow, from: RouterId, to: RouterId) {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return;
        };
        queue.move_asks(now, from, to);
        self.links.entry(from).or_default().dirty.insert(flow);
        self.links.entry(to).or_default().request_slot(flow);
    }

    /// Records that `router` has free slots again.
    pub fn handle_room(&mut self, service: ServiceId, router: RouterId) {
        if let Some(link) = self.links.get_mut(&router) {
            link.full_until.remove(&service);
        }
    }

    /// Removes and returns the request that uses a grant of `router`.
    pub fn take(&mut self, flow: Flow, router: RouterId) -> Option<RequestKey> {
        let waiting = self.queues.get_mut(&flow)?.take(router)?;
        self.mark_removed(flow, waiting, Some(router));
        Some(waiting.request)
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, flow: Flow, request: RequestKey) {
        let queue = self.queues.get_mut(&flow);
        if let Some(waiting) = queue.and_then(|q| q.remove(request)) {
            self.mark_removed(flow, waiting, None);
        }
    }

    /// Schedules demand updates after a request left its queue.
    ///
    /// The dispatcher that granted the slot has already subtracted the request.
    fn mark_removed(&mut self, flow: Flow, waiting: Waiting, granted: Option<RouterId>) {
        for (router, link) in &mut self.links {
            let Some(count) = link.sent_counts.get_mut(&flow) else {
                continue;
            };
            if granted == Some(*router) {
                *count = count.saturating_sub(1);
            }
            if granted != Some(*router) || waiting.asked.is_some_and(|a| a != *router) {
                link.dirty.insert(flow);
            }
        }
        if let Some(asked) = waiting.asked.filter(|a| granted != Some(*a)) {
            self.links.entry(asked).or_default().dirty.insert(flow);
        }
        if self.queues.get(&flow).is_some_and(|q| q.len() == 0) {
            self.queues.remove(&flow);
        }
    }

    /// Sends due demand; returns when the next demand or request timeout is due.
    pub fn flush(&mut self, now: Instant, params: &Params, out: &mut Outbox) -> Option<Instant> {
        let timeouts = self.asks().map(|(_, _, at)| at + params.ask_timeout);
        let mut next: Option<Instant> = timeouts.min();
        let routers: Vec<_> = self.links.keys().copied().collect();
        for router in routers {
            let Some(due) = self.links[&router].due(now, params) else {
                continue;
            };
            if due > now {
                next = Some(next.map_or(due, |n| n.min(due)));
                continue;
            }
            self.send_demand(now, router, params, out);
        }
        next
    }

    fn send_demand(&mut self, now: Instant, router: RouterId, params: &Params, out: &mut Outbox) {
        let sent = self.clock(now);
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        let mut flows = Vec::new();
        for flow in std::mem::take(&mut link.dirty) {
            let demand = self.queues.get(&flow).and_then(|q| q.demand(router));
            if let Some(item) = link.record_demand(now, flow, demand) {
                flows.push(item);
            }
        }
        link.urgent = false;
        let wants_answer = std::mem::take(&mut link.wants_answer);
        let prefer = link.prefer.take();
        if flows.is_empty() {
            return;
        }
        self.seq += 1;
        link.last_sent = Some(now);
        link.keep_reporting(params);
        out.send(
            router,
            Message::Demand(Demand {
                seq: self.seq,
                sent,
                wants_answer,
                prefer,
                flows,
            }),
        );
    }

    /// Refreshes demand, announces flows with unanswered asks and probes for free slots.
    pub fn end_period(
        &mut self,
        now: Instant,
        params: &Params,
        candidates: impl Fn(Flow) -> Candidates,
    ) {
        for flow in self.flows() {
            let Some(queue) = self.queues.get_mut(&flow) else {
                continue;
            };
            if queue.is_announced() {
                let candidates = candidates(flow);
                for router in queue.add_probes(&candidates) {
                    self.links.entry(router).or_default().request_slot(flow);
                }
            } else if queue
                .oldest_ask()
                .is_some_and(|at| at + params.period <= now)
            {
                let candidates = candidates(flow);
                self.announce(flow, &candidates);
            }
        }
        for link in self.links.values_mut() {
            link.refresh();
        }
        self.links.retain(|_, link| !link.is_idle(now));
    }

    /// Redirects waiting requests after the dispatchers of their services changed.
    pub fn reassign(&mut self, now: Instant, candidates: impl Fn(Flow) -> Candidates) {
        for flow in self.flows() {
            let candidates = candidates(flow);
            let Some(queue) = self.queues.get(&flow) else {
                continue;
            };
            if queue.is_announced() {
                self.announce(flow, &candidates);
                continue;
            }
            let removed: BTreeSet<_> = queue
                .asked()
                .filter(|r| !candidates.dispatchers.contains(r))
                .collect();
            for router in removed {
                self.redirect(now, flow, router, &candidates);
            }
        }
    }

    /// Continues usage reports to a dispatcher that has just granted or freed a slot.
    pub fn keep_reporting(&mut self, router: RouterId, params: &Params) {
        self.links.entry(router).or_default().keep_reporting(params);
    }

    /// Returns the dispatchers that are due a usage report, even an empty one.
    pub fn take_due_reports(&mut self) -> Vec<RouterId> {
        let links = self.links.iter_mut();
        links
            .filter_map(|(router, link)| link.take_report().then_some(*router))
            .collect()
    }
}

/// Returns the demand message of a flow; no demand counts as zero waiting requests.
fn flow_demand(now: Instant, flow: Flow, demand: Option<queue::QueueDemand>) -> FlowDemand {
    FlowDemand {
        flow,
        waiting: demand.map_or(0, |d| d.count),
        oldest: demand.map_or(Duration::ZERO, |d| now.duration_since(d.since)),
        hint: demand.and_then(|d| d.hint),
    }
}
