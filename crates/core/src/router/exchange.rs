//! The periodic exchange with other routers.

use std::time::Instant;

use crate::ids::{Flow, Peer};
use crate::message::{Charges, Message, Totals};

use super::{Router, Timer};

impl Router {
    pub(super) fn period(&mut self, now: Instant) {
        self.timers
            .insert((now + self.world.params.period, Timer::Period));
        let reaches = self.reaches();
        let world = &self.world;
        self.entry
            .period(now, &world.params, |flow| reaches.of(world, flow));
        self.report_usage(now);
        let env = self.world.at(now);
        self.dispatcher.period(env, &mut self.out);
        self.ledger.close_period();
    }

    pub(super) fn flush(&mut self, now: Instant) {
        if let Some(due) = self.entry.flush(now, &self.world.params, &mut self.out) {
            self.timers.insert((due, Timer::Flush));
        }
    }

    /// Sets the timer for asking again while a server is being taken over.
    pub(super) fn schedule_recovery(&mut self, now: Instant) {
        if self.recovery_due || !self.dispatcher.is_recovering() {
            return;
        }
        self.recovery_due = true;
        let due = now + self.world.params.recover_retry;
        self.timers.insert((due, Timer::Recover));
    }

    pub(super) fn retry_recovery(&mut self, now: Instant) {
        self.recovery_due = false;
        let env = self.world.at(now);
        self.dispatcher.retry(env, &mut self.out);
    }

    /// Takes servers over anew after a pause in which others may have done so.
    pub(super) fn check_pause(&mut self, now: Instant) {
        let gap = now.duration_since(self.last);
        self.last = now;
        if gap > self.world.params.period * 3 / 2 {
            let env = self.world.at(now);
            self.dispatcher.suspect(env, &mut self.out);
        }
    }

    /// Takes in a dispatcher's counters, and answers with what others gave.
    pub(super) fn on_charges(&mut self, from: Peer, charges: &Charges) {
        if self.world.members.get(from.router).is_none() {
            return;
        }
        let mut flows = Vec::new();
        for total in &charges.flows {
            if self.knows(total.flow) {
                self.ledger.record(from, charges.seq, *total);
                flows.push(self.ledger.others(from.router, total.flow));
            }
        }
        self.totals_seq += 1;
        let totals = Totals {
            seq: self.totals_seq,
            flows,
        };
        self.out.send(from.router, Message::Totals(totals));
    }

    fn knows(&self, flow: Flow) -> bool {
        let config = &self.world.config;
        config.workspace(flow.workspace).is_some() && config.service(flow.service).is_some()
    }
}
