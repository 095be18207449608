//! Probes, claims about routers, and the platform's host list.

use std::net::SocketAddr;
use std::time::Instant;

use crate::configuration::exchange::Head;
use crate::effect::{Effect, Level};
use crate::event::HostEntry;
use crate::ids::{Incarnation, RouterId};
use crate::membership::flap::Flaps;
use crate::membership::prober::{Order, Prober};
use crate::membership::update::{Gossip, Probe, Standing, Update};
use crate::membership::{MemberState, Merged};
use crate::message::Message;

use super::{Router, Timer};

/// State of the membership protocol besides the view itself.
#[derive(Debug, Default)]
pub(super) struct Swim {
    prober: Prober,
    flaps: Flaps,
    timer: Option<Instant>,
}

impl Router {
    /// Joins the fleet: announces where this router takes datagrams and starts to probe.
    ///
    /// A router that never joins keeps the members it was given.
    pub(super) fn join(&mut self, now: Instant, address: SocketAddr) {
        self.world.members.set_self(self.incarnation, address);
        let orders = self
            .swim
            .prober
            .start(now, &self.world.members, &self.world.params);
        self.sync.set_probing(self.swim.prober.first_open());
        self.carry_out(orders);
        self.schedule_probes();
    }

    /// Notes where a router that is known from the settings takes datagrams.
    pub fn add_address(&mut self, router: RouterId, address: SocketAddr) {
        self.world.members.set_address(router, address);
    }

    pub(super) fn hosts(&mut self, now: Instant, hosts: &[HostEntry]) {
        let view = self.world.members.view();
        for router in self.world.members.set_hosts(hosts) {
            self.tell_address(router);
            self.out.log(
                Level::Info,
                "router_listed",
                &[("router", &router.to_string())],
            );
            if self.swim.prober.started() {
                let order = self.swim.prober.introduce(now, router);
                self.carry_out(vec![order]);
            }
        }
        self.follow_view(now, view);
        self.schedule_probes();
    }

    fn tell_address(&mut self, router: RouterId) {
        if let Some(address) = self.world.members.address(router) {
            self.out.push(Effect::Address(router, address));
        }
    }

    pub(super) fn on_probe(
        &mut self,
        now: Instant,
        from: RouterId,
        incarnation: Incarnation,
        probe: &Probe,
    ) {
        let view = self.world.members.view();
        for update in &probe.gossip().updates {
            self.merge(now, update);
        }
        if self
            .world
            .members
            .life(from)
            .is_some_and(|l| l.incarnation == incarnation)
        {
            self.swim.prober.hear(now, from);
        }
        self.on_head(now, from, probe.gossip().head);
        match *probe {
            Probe::Ping { seq, .. } => {
                let gossip = self.gossip(from);
                self.out
                    .send(from, Message::Probe(Probe::Ack { seq, gossip }));
            }
            Probe::Ack { seq, .. } => self.on_ack(seq),
            Probe::Request { seq, target, .. } => {
                let order = self.swim.prober.help(now, from, seq, target);
                self.carry_out(vec![order]);
            }
        }
        self.follow_probes();
        self.follow_view(now, view);
        self.schedule_probes();
    }

    fn on_ack(&mut self, seq: u64) {
        if let Some((asker, seq)) = self.swim.prober.ack(seq) {
            let gossip = self.gossip(asker);
            self.out
                .send(asker, Message::Probe(Probe::Ack { seq, gossip }));
        }
    }

    fn merge(&mut self, now: Instant, update: &Update) {
        let before = self.world.members.get(update.router).map(|m| m.state);
        let address = self.world.members.address(update.router);
        match self.world.members.merge(update) {
            Merged::Nothing => {}
            Merged::Refuted => self.refuted(now, update),
            Merged::Changed => {
                let router = update.router;
                if self.world.members.address(router) != address {
                    self.tell_address(router);
                }
                self.swim
                    .prober
                    .track(now, router, &self.world.members, &self.world.params);
                self.state_changed(router, before);
            }
        }
    }

    /// Counts a declared death of this router, and gives roles up when there were several.
    fn refuted(&mut self, now: Instant, update: &Update) {
        let dead = update.standing == Standing::Dead;
        let claim = if dead { "dead" } else { "suspect" };
        self.out
            .log(Level::Warn, "claim_refuted", &[("claim", claim)]);
        if !dead || self.draining.is_some() {
            return;
        }
        if let Some(until) = self.swim.flaps.died(now) {
            self.world.members.announce(Standing::Probation);
            let hold = until.duration_since(now).as_secs().to_string();
            self.out
                .log(Level::Warn, "probation_started", &[("hold_s", &hold)]);
            self.timers.insert((until, Timer::Probation));
        }
    }

    pub(super) fn end_probation(&mut self, now: Instant) {
        let view = self.world.members.view();
        if self.swim.flaps.ended(now) && self.draining.is_none() {
            self.world.members.announce(Standing::Alive);
            self.out.log(Level::Info, "probation_ended", &[]);
        }
        self.follow_view(now, view);
    }

    /// Tells others that this router stops.
    pub(super) fn leave(&mut self, now: Instant) {
        let view = self.world.members.view();
        self.world.members.announce(Standing::Leaving);
        let orders = self.swim.prober.spread(now, &self.world.members);
        self.carry_out(orders);
        self.follow_view(now, view);
        self.schedule_probes();
    }

    pub(super) fn probe_tick(&mut self, now: Instant) {
        let view = self.world.members.view();
        let before: Vec<_> = self
            .world
            .members
            .members()
            .map(|(id, m)| (id, m.state))
            .collect();
        let orders = self
            .swim
            .prober
            .tick(now, &mut self.world.members, &self.world.params);
        for (router, state) in before {
            if self
                .world
                .members
                .get(router)
                .is_some_and(|m| m.state != state)
            {
                self.state_changed(router, Some(state));
            }
        }
        self.carry_out(orders);
        for router in self.sync.overdue(now) {
            self.compare(router, 0);
        }
        self.follow_probes();
        self.follow_view(now, view);
        self.schedule_probes();
    }

    fn state_changed(&mut self, router: RouterId, before: Option<MemberState>) {
        let Some(state) = self.world.members.get(router).map(|m| m.state) else {
            return;
        };
        if Some(state) == before {
            return;
        }
        if matches!(state, MemberState::Dead | MemberState::Suspect) {
            self.sync.forget(router);
        }
        let before = before.map_or("unknown", MemberState::code);
        self.out.log(
            Level::Info,
            "member_state",
            &[
                ("router", &router.to_string()),
                ("from", before),
                ("to", state.code()),
            ],
        );
    }

    fn follow_probes(&mut self) {
        if self.swim.prober.started() && !self.sync.is_ready() {
            self.sync.set_probing(self.swim.prober.first_open());
            self.follow_readiness();
        }
    }

    /// Assigns roles anew when the view is no longer the one numbered `old`.
    fn follow_view(&mut self, now: Instant, old: u64) {
        if self.world.members.view() != old {
            self.reassign(now);
        }
    }

    fn gossip(&mut self, to: RouterId) -> Gossip {
        Gossip {
            head: self.head(),
            updates: self.world.members.take_updates(to),
        }
    }

    /// Returns the configuration in force in brief.
    #[must_use]
    pub fn head(&self) -> Head {
        Head {
            version: self.world.config.head(),
            digest: self.world.config.digest(),
            ready: self.sync.is_ready(),
        }
    }

    fn carry_out(&mut self, orders: Vec<Order>) {
        for order in orders {
            let (to, probe) = match order {
                Order::Ping(target, seq) => {
                    let gossip = self.gossip(target);
                    (target, Probe::Ping { seq, gossip })
                }
                Order::Request {
                    helper,
                    target,
                    seq,
                } => {
                    let gossip = self.gossip(helper);
                    let request = Probe::Request {
                        seq,
                        target,
                        gossip,
                    };
                    (helper, request)
                }
            };
            self.out.send(to, Message::Probe(probe));
        }
    }

    fn schedule_probes(&mut self) {
        let due = self.swim.prober.next_due(&self.world.params);
        if due == self.swim.timer {
            return;
        }
        if let Some(at) = self.swim.timer {
            self.timers.remove(&(at, Timer::Probe));
        }
        self.swim.timer = due;
        if let Some(at) = due {
            self.timers.insert((at, Timer::Probe));
        }
    }
}
