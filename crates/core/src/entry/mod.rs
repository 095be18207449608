//! The entry: holds callers' requests until a dispatcher grants a slot.
//!
//! While dispatchers have room, a request asks one of them for one slot. When
//! none has room, the flow announces how many requests wait to a number of
//! dispatchers of the service that grows with its portion of the capacity, and
//! whichever frees a slot first grants it.
//!
//! * this module: the queues, and which dispatchers each one waits for;
//! * `queue`: the requests of one flow;
//! * `link`: what one dispatcher was told;
//! * [`reach`]: how many dispatchers a flow is announced to;
//! * [`affinity`]: which server last served a prompt prefix.

pub mod affinity;
mod link;
mod queue;
pub mod reach;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{Flow, Incarnation, RequestKey, RouterId, ServerId, ServiceId};
use crate::message::{Demand, FlowDemand, Message};
use crate::outbox::Outbox;
use crate::params::Params;

use affinity::Affinity;
use link::Link;
use queue::{Queue, Waiting};
use reach::Reach;

/// A request that is to be queued.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The request.
    pub request: RequestKey,
    /// Its flow.
    pub flow: Flow,
    /// Whether it goes first, as it is tried again.
    pub front: bool,
    /// Hint of its cost in cost units.
    pub hint: Option<f64>,
    /// The dispatcher and the server that are preferred.
    pub prefer: Option<(RouterId, ServerId)>,
}

/// State of the entry role.
#[derive(Debug)]
pub struct Entry {
    start: Instant,
    epoch: Duration,
    seq: u64,
    queues: BTreeMap<Flow, Queue>,
    links: BTreeMap<RouterId, Link>,
    turn: usize,
    affinity: Affinity,
}

impl Entry {
    /// Creates the role at the start of a run of the process.
    #[must_use]
    pub fn new(start: Instant, incarnation: Incarnation) -> Self {
        Self {
            start,
            epoch: Duration::from_millis(incarnation.0),
            seq: 0,
            queues: BTreeMap::new(),
            links: BTreeMap::new(),
            turn: 0,
            affinity: Affinity::default(),
        }
    }

    /// Returns this entry's clock, which grows from one run to the next.
    #[must_use]
    pub fn clock(&self, now: Instant) -> Duration {
        self.epoch + now.duration_since(self.start)
    }

    /// Returns the age of a demand of this run; none when it is of an earlier one.
    #[must_use]
    pub fn age(&self, now: Instant, echo: Duration) -> Option<Duration> {
        if echo < self.epoch {
            return None;
        }
        Some(self.clock(now).saturating_sub(echo))
    }

    /// Returns which server last served each prompt prefix.
    pub fn affinity(&mut self) -> &mut Affinity {
        &mut self.affinity
    }

    /// Returns the server that last served a prompt prefix.
    #[must_use]
    pub fn preferred(&self, service: ServiceId, prefix: u64) -> Option<ServerId> {
        self.affinity.server(service, prefix)
    }

    /// Returns the requests that wait in the queue of `flow`.
    #[must_use]
    pub fn waiting(&self, flow: Flow) -> usize {
        self.queues.get(&flow).map_or(0, Queue::len)
    }

    /// Returns each queue's flow and length.
    pub fn queues(&self) -> impl Iterator<Item = (Flow, usize)> + '_ {
        self.queues.iter().map(|(f, q)| (*f, q.len()))
    }

    /// Returns all waiting requests.
    #[must_use]
    pub fn total_waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the flows whose requests wait.
    pub fn flows(&self) -> Vec<Flow> {
        self.queues.keys().copied().collect()
    }

    /// Puts a request into its queue and asks for a slot.
    pub fn enqueue(&mut self, now: Instant, arrival: Arrival, reach: &Reach) {
        let flow = arrival.flow;
        let spread = self.queues.get(&flow).is_some_and(Queue::is_spread);
        let asked = if spread {
            None
        } else {
            self.pick(now, flow.service, reach, arrival.prefer)
        };
        let queue = self.queues.entry(flow).or_default();
        queue.push(Waiting::new(&arrival, now, asked), arrival.front);
        let Some(router) = asked else {
            self.spread(flow, reach);
            return;
        };
        let link = self.links.entry(router).or_default();
        link.ask(flow);
        link.prefer = arrival.prefer.filter(|(r, _)| *r == router).map(|(_, s)| s);
    }

    /// Picks a dispatcher that is not known to be full: the preferred one, else in turn.
    fn pick(
        &mut self,
        now: Instant,
        service: ServiceId,
        reach: &Reach,
        prefer: Option<(RouterId, ServerId)>,
    ) -> Option<RouterId> {
        let dispatchers = reach.dispatchers.iter().copied();
        let open: Vec<_> = dispatchers
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
            .is_some_and(|l| l.is_full(now, service))
    }

    /// Announces a flow to its dispatchers in place of asking single ones.
    fn spread(&mut self, flow: Flow, reach: &Reach) {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return;
        };
        let mut changed = queue.clear_asked();
        changed.extend(queue.set_targets(reach.targets(flow, queue.targets())));
        changed.extend(queue.targets().iter().copied());
        for router in changed {
            self.links.entry(router).or_default().dirty.insert(flow);
        }
    }

    /// Takes in that `router` has no free slot: its askers turn to others.
    pub fn full(
        &mut self,
        now: Instant,
        service: ServiceId,
        router: RouterId,
        params: &Params,
        reach: impl Fn(Flow) -> Reach,
    ) {
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        link.full.insert(service, now + params.full_memory);
        let flows: Vec<Flow> = self
            .queues
            .iter()
            .filter(|(f, q)| f.service == service && q.waits_for(router))
            .map(|(f, _)| *f)
            .collect();
        for flow in flows {
            let reach = reach(flow);
            self.turn_away(now, flow, router, &reach);
        }
    }

    /// Moves the requests that ask `router` to another dispatcher, or spreads them.
    fn turn_away(&mut self, now: Instant, flow: Flow, router: RouterId, reach: &Reach) {
        if self.queues.get(&flow).is_some_and(Queue::is_spread) {
            let probe = self
                .queues
                .get_mut(&flow)
                .is_some_and(|q| q.end_probe(router));
            if probe {
                self.links.entry(router).or_default().dirty.insert(flow);
            }
            return;
        }
        match self.pick(now, flow.service, reach, None) {
            Some(next) if next != router => self.move_asks(flow, router, next),
            _ => self.spread(flow, reach),
        }
    }

    fn move_asks(&mut self, flow: Flow, from: RouterId, to: RouterId) {
        let Some(queue) = self.queues.get_mut(&flow) else {
            return;
        };
        queue.move_asks(from, to);
        self.links.entry(from).or_default().dirty.insert(flow);
        self.links.entry(to).or_default().ask(flow);
    }

    /// Takes in that `router` has free slots again.
    pub fn room(&mut self, service: ServiceId, router: RouterId) {
        if let Some(link) = self.links.get_mut(&router) {
            link.full.remove(&service);
        }
    }

    /// Takes the request that a grant of `router` is used for.
    pub fn take(&mut self, flow: Flow, router: RouterId) -> Option<RequestKey> {
        let waiting = self.queues.get_mut(&flow)?.take(router)?;
        self.note_removed(flow, waiting, Some(router));
        Some(waiting.request)
    }

    /// Removes a request that is given up.
    pub fn remove(&mut self, flow: Flow, request: RequestKey) {
        let queue = self.queues.get_mut(&flow);
        if let Some(waiting) = queue.and_then(|q| q.remove(request)) {
            self.note_removed(flow, waiting, None);
        }
    }

    /// Marks what dispatchers must be told after a request left its queue.
    ///
    /// The dispatcher that granted has already counted the request off.
    fn note_removed(&mut self, flow: Flow, waiting: Waiting, granted: Option<RouterId>) {
        for (router, link) in &mut self.links {
            let Some(told) = link.told.get_mut(&flow) else {
                continue;
            };
            if granted == Some(*router) {
                *told = told.saturating_sub(1);
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

    /// Sends due demand; returns when the next is due.
    pub fn flush(&mut self, now: Instant, params: &Params, out: &mut Outbox) -> Option<Instant> {
        let mut next: Option<Instant> = None;
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
            let wanted = self.queues.get(&flow).and_then(|q| q.wanted(router));
            if let Some(item) = link.tell(now, flow, wanted) {
                flows.push(item);
            }
        }
        link.urgent = false;
        let ask = std::mem::take(&mut link.asking);
        let prefer = link.prefer.take();
        if flows.is_empty() {
            return;
        }
        self.seq += 1;
        link.last = Some(now);
        link.keep_reporting(params);
        out.send(
            router,
            Message::Demand(Demand {
                seq: self.seq,
                sent,
                ask,
                prefer,
                flows,
            }),
        );
    }

    /// Refreshes demand, gives up on asks without an answer and probes for room.
    pub fn period(&mut self, now: Instant, params: &Params, reach: impl Fn(Flow) -> Reach) {
        for flow in self.flows() {
            let Some(queue) = self.queues.get_mut(&flow) else {
                continue;
            };
            if queue.is_spread() {
                let reach = reach(flow);
                for router in queue.probe(&reach) {
                    self.links.entry(router).or_default().ask(flow);
                }
            } else if queue
                .oldest_ask()
                .is_some_and(|at| at + params.period <= now)
            {
                let reach = reach(flow);
                self.spread(flow, &reach);
            }
        }
        for link in self.links.values_mut() {
            link.refresh();
        }
        self.links.retain(|_, link| !link.is_idle(now));
    }

    /// Turns to others where dispatchers have changed.
    pub fn reassign(&mut self, now: Instant, reach: impl Fn(Flow) -> Reach) {
        for flow in self.flows() {
            let reach = reach(flow);
            let Some(queue) = self.queues.get(&flow) else {
                continue;
            };
            if queue.is_spread() {
                self.spread(flow, &reach);
                continue;
            }
            let gone: BTreeSet<_> = queue
                .asked()
                .filter(|r| !reach.dispatchers.contains(r))
                .collect();
            for router in gone {
                self.turn_away(now, flow, router, &reach);
            }
        }
    }

    /// Keeps reporting slots to a dispatcher that has just granted or freed one.
    pub fn keep_reporting(&mut self, router: RouterId, params: &Params) {
        self.links.entry(router).or_default().keep_reporting(params);
    }

    /// Returns the dispatchers that a report of slots is due to, used or not.
    pub fn take_due_reports(&mut self) -> Vec<RouterId> {
        let links = self.links.iter_mut();
        links
            .filter_map(|(router, link)| link.take_report().then_some(*router))
            .collect()
    }
}

/// Returns the demand of a flow as a dispatcher is told.
fn flow_demand(now: Instant, flow: Flow, wanted: Option<queue::Wanted>) -> FlowDemand {
    FlowDemand {
        flow,
        waiting: wanted.map_or(0, |w| w.count),
        oldest: wanted.map_or(Duration::ZERO, |w| now.duration_since(w.since)),
        hint: wanted.and_then(|w| w.hint),
    }
}
