//! Handles probes, membership updates and the platform's host list.

use std::net::SocketAddr;
use std::time::Instant;

use crate::configuration::exchange::Head;
use crate::effect::{Effect, Level};
use crate::event::HostEntry;
use crate::ids::{Incarnation, RouterId};
use crate::membership::flap::FlapDetector;
use crate::membership::prober::{Outgoing, Prober};
use crate::membership::update::{Gossip, Probe, Standing, Update};
use crate::membership::{MemberState, MergeResult};
use crate::message::Message;

use super::{Router, Timer};

/// State of the SWIM protocol, apart from the membership view.
#[derive(Debug, Default)]
pub(super) struct Swim {
    prober: Prober,
    flaps: FlapDetector,
    timer: Option<Instant>,
}

impl Router {
    /// Joins the fleet: sets this router's datagram address and starts to probe other routers.
    pub(super) fn join(&mut self, now: Instant, address: SocketAddr) {
        self.ctx.members.set_self(self.incarnation, address);
        let outgoing = self
            .swim
            .prober
            .start(now, &self.ctx.members, &self.ctx.params);
        self.sync.set_probing(self.swim.prober.initial_pending());
        self.send_probes(outgoing);
        self.schedule_probes();
    }

    /// Sets the datagram address of a router that is known from the settings.
    pub fn add_address(&mut self, router: RouterId, address: SocketAddr) {
        self.ctx.members.set_address(router, address);
    }

    pub(super) fn on_hosts(&mut self, now: Instant, hosts: &[HostEntry]) {
        let view = self.ctx.members.view();
        for router in self.ctx.members.set_hosts(hosts) {
            self.emit_address(router);
            self.out.log(
                Level::Info,
                "router_listed",
                &[("router", &router.to_string())],
            );
            if self.swim.prober.started() {
                let ping = self.swim.prober.ping_new(now, router);
                self.send_probes(vec![ping]);
            }
        }
        self.reassign_if_changed(now, view);
        self.schedule_probes();
    }

    fn emit_address(&mut self, router: RouterId) {
        if let Some(address) = self.ctx.members.address(router) {
            self.out.push(Effect::SetAddress(router, address));
        }
    }

    pub(super) fn on_probe(
        &mut self,
        now: Instant,
        from: RouterId,
        incarnation: Incarnation,
        probe: &Probe,
    ) {
        let view = self.ctx.members.view();
        for update in &probe.gossip().updates {
            self.merge(now, update);
        }
        if self
            .ctx
            .members
            .version(from)
            .is_some_and(|l| l.incarnation == incarnation)
        {
            self.swim.prober.record_contact(now, from);
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
                let ping = self.swim.prober.ping_for(now, from, seq, target);
                self.send_probes(vec![ping]);
            }
        }
        self.update_probing();
        self.reassign_if_changed(now, view);
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
        let before = self.ctx.members.get(update.router).map(|m| m.state);
        let address = self.ctx.members.address(update.router);
        match self.ctx.members.merge(update) {
            MergeResult::Ignored => {}
            MergeResult::Refuted => self.on_refuted(now, update),
            MergeResult::Changed => {
                let router = update.router;
                if self.ctx.members.address(router) != address {
                    self.emit_address(router);
                }
                self.swim
                    .prober
                    .update_suspicion(now, router, &self.ctx.members, &self.ctx.params);
                self.on_state_change(router, before);
            }
        }
    }

    /// Logs a refuted update; starts a probation if this router was declared dead repeatedly.
    fn on_refuted(&mut self, now: Instant, update: &Update) {
        let dead = update.standing == Standing::Dead;
        let claim = if dead { "dead" } else { "suspect" };
        self.out
            .log(Level::Warn, "claim_refuted", &[("claim", claim)]);
        if !dead || self.drain_deadline.is_some() {
            return;
        }
        if let Some(until) = self.swim.flaps.record_death(now) {
            self.ctx.members.set_own_standing(Standing::Probation);
            let hold_s = until.duration_since(now).as_secs().to_string();
            self.out
                .log(Level::Warn, "probation_started", &[("hold_s", &hold_s)]);
            self.timers.insert((until, Timer::Probation));
        }
    }

    pub(super) fn end_probation(&mut self, now: Instant) {
        let view = self.ctx.members.view();
        if self.swim.flaps.end_probation(now) && self.drain_deadline.is_none() {
            self.ctx.members.set_own_standing(Standing::Alive);
            self.out.log(Level::Info, "probation_ended", &[]);
        }
        self.reassign_if_changed(now, view);
    }

    /// Announces to other routers that this router is stopping.
    pub(super) fn announce_leaving(&mut self, now: Instant) {
        let view = self.ctx.members.view();
        self.ctx.members.set_own_standing(Standing::Leaving);
        let outgoing = self.swim.prober.announce(now, &self.ctx.members);
        self.send_probes(outgoing);
        self.reassign_if_changed(now, view);
        self.schedule_probes();
    }

    pub(super) fn probe_tick(&mut self, now: Instant) {
        let view = self.ctx.members.view();
        let before: Vec<_> = self
            .ctx
            .members
            .members()
            .map(|(id, m)| (id, m.state))
            .collect();
        let outgoing = self
            .swim
            .prober
            .tick(now, &mut self.ctx.members, &self.ctx.params);
        for (router, state) in before {
            if self
                .ctx
                .members
                .get(router)
                .is_some_and(|m| m.state != state)
            {
                self.on_state_change(router, Some(state));
            }
        }
        self.send_probes(outgoing);
        for router in self.sync.overdue(now) {
            self.compare(router, 0);
        }
        self.update_probing();
        self.reassign_if_changed(now, view);
        self.schedule_probes();
    }

    fn on_state_change(&mut self, router: RouterId, before: Option<MemberState>) {
        let Some(state) = self.ctx.members.get(router).map(|m| m.state) else {
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

    fn update_probing(&mut self) {
        if self.swim.prober.started() && !self.sync.is_ready() {
            self.sync.set_probing(self.swim.prober.initial_pending());
            self.log_readiness();
        }
    }

    /// Reassigns roles if the view number differs from `old`.
    fn reassign_if_changed(&mut self, now: Instant, old: u64) {
        if self.ctx.members.view() != old {
            self.reassign(now);
        }
    }

    fn gossip(&mut self, to: RouterId) -> Gossip {
        Gossip {
            head: self.head(),
            updates: self.ctx.members.take_updates(to),
        }
    }

    /// Returns a summary of the configuration in force.
    #[must_use]
    pub fn head(&self) -> Head {
        Head {
            version: self.ctx.config.head(),
            digest: self.ctx.config.digest(),
            ready: self.sync.is_ready(),
        }
    }

    fn send_probes(&mut self, outgoing: Vec<Outgoing>) {
        for message in outgoing {
            let (to, probe) = match message {
                Outgoing::Ping(target, seq) => {
                    let gossip = self.gossip(target);
                    (target, Probe::Ping { seq, gossip })
                }
                Outgoing::Request {
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
        let due = self.swim.prober.next_due(&self.ctx.params);
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
