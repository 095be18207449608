//! Periodic exchange of demand, usage and service totals with other routers.

use std::rc::Rc;
use std::time::Instant;

use crate::ids::{Flow, Peer};
use crate::message::{Charges, Message, Totals};

use super::{Router, Timer};

impl Router {
    pub(super) fn run_period(&mut self, now: Instant) {
        self.timers
            .insert((now + self.ctx.params.period, Timer::Period));
        self.timers
            .insert((now + self.ctx.params.period / 4, Timer::Charges));
        let assignments = Rc::clone(&self.assignments);
        let ctx = &self.ctx;
        self.entry
            .end_period(now, &ctx.params, |flow| assignments.candidates(ctx, flow));
        self.report_usage(now);
        let env = self.ctx.env(now);
        self.dispatcher.end_period(env, &mut self.out);
        self.ledger.close_period();
    }

    /// Marks dispatchers that don't answer as full, as when a zone is partitioned.
    fn skip_silent(&mut self, now: Instant) {
        let silent = self.entry.unanswered_asks(now, &self.ctx.params);
        if silent.is_empty() {
            return;
        }
        let assignments = Rc::clone(&self.assignments);
        let ctx = &self.ctx;
        let full_for = ctx.params.silence_memory;
        for (service, router) in silent {
            self.entry
                .handle_full(now, service, router, full_for, |flow| {
                    assignments.candidates(ctx, flow)
                });
        }
    }

    pub(super) fn flush(&mut self, now: Instant) {
        self.skip_silent(now);
        if let Some(due) = self.entry.flush(now, &self.ctx.params, &mut self.out) {
            self.timers.insert((due, Timer::Flush));
        }
    }

    /// Schedules the next retry of incomplete take-overs.
    pub(super) fn schedule_recovery(&mut self, now: Instant) {
        if self.recovery_due || !self.dispatcher.is_recovering() {
            return;
        }
        self.recovery_due = true;
        let due = now + self.ctx.params.recover_retry;
        self.timers.insert((due, Timer::Recover));
    }

    pub(super) fn retry_recovery(&mut self, now: Instant) {
        self.recovery_due = false;
        let env = self.ctx.env(now);
        self.dispatcher.retry_takeovers(env, &mut self.out);
    }

    /// Takes servers over again after an event loop pause in which other routers may have done so.
    pub(super) fn check_pause(&mut self, now: Instant) {
        let gap = now.duration_since(self.last_event);
        self.last_event = now;
        if gap > self.ctx.params.period * 3 / 2 {
            let env = self.ctx.env(now);
            self.dispatcher.restart_takeovers(env, &mut self.out);
        }
    }

    /// Records a dispatcher's counters and answers with the totals of other dispatchers.
    pub(super) fn on_charges(&mut self, from: Peer, charges: &Charges) {
        if self.ctx.members.get(from.router).is_none() {
            return;
        }
        let mut flows = Vec::new();
        for total in &charges.flows {
            if self.is_configured(total.flow) {
                self.ledger.record(from, charges.seq, *total);
                flows.push(self.ledger.remote_total(from.router, total.flow));
            }
        }
        self.totals_seq += 1;
        let totals = Totals {
            seq: self.totals_seq,
            flows,
        };
        self.out.send(from.router, Message::Totals(totals));
    }

    fn is_configured(&self, flow: Flow) -> bool {
        let config = &self.ctx.config;
        config.workspace(flow.workspace).is_some() && config.service(flow.service).is_some()
    }
}
