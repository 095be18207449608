//! The periodic exchange with other routers.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::RouterId;
use crate::message::{Held, Message, Totals, Usage};

use super::{Router, Timer};

impl Router {
    pub(super) fn period(&mut self, now: Instant) {
        self.timers
            .insert((now + self.world.params.period, Timer::Period));
        self.entry.period();
        self.report_usage(now);
        let env = self.world.at(now);
        self.dispatcher.period(env, &mut self.out);
        for (router, flows) in self.ledger.take_totals() {
            self.totals_seq += 1;
            let totals = Totals {
                seq: self.totals_seq,
                flows,
            };
            self.out.send(router, Message::Totals(totals));
        }
    }

    /// Tells every dispatcher which of its slots are in use here.
    pub(super) fn report_usage(&mut self, now: Instant) {
        let mut by_dispatcher: BTreeMap<RouterId, Vec<Held>> = BTreeMap::new();
        for (id, server) in self.world.config.servers() {
            if let Some(router) = self.world.members.dispatcher(id, server) {
                by_dispatcher.entry(router).or_default();
            }
        }
        for running in self.attempts.values() {
            let attempt = running.facts();
            let Some(request) = self.requests.get(attempt.request) else {
                continue;
            };
            let held = Held {
                grant: attempt.grant,
                server: attempt.server,
                flow: request.flow,
                cost: attempt.cost,
            };
            by_dispatcher
                .entry(attempt.grant.dispatcher)
                .or_default()
                .push(held);
        }
        let sent = self.entry.clock(now);
        for (router, held) in by_dispatcher {
            self.out.send(router, Message::Usage(Usage { sent, held }));
        }
    }

    pub(super) fn flush(&mut self, now: Instant) {
        if let Some(due) = self.entry.flush(now, &self.world.params, &mut self.out) {
            self.timers.insert((due, Timer::Flush));
        }
    }
}
