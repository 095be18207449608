//! Graceful shutdown.
//!
//! No new request is accepted. Requests that wait may still be served during
//! the first half of the time allowed, then those that were never dispatched
//! are refused as not run, so that their callers turn to another router while
//! running work has the other half to finish in.

use std::time::{Duration, Instant};

use crate::effect::{Effect, Execution, Level, Refusal};
use crate::ids::RequestKey;

use super::{Request, Router, Timer};

impl Request {
    /// Returns whether nothing was ever dispatched for the request.
    fn is_fresh(&self) -> bool {
        self.running.is_none() && self.history.execution() == Execution::NotRun && self.tokens == 0
    }
}

impl Router {
    pub(super) fn drain(&mut self, now: Instant, patience: Duration) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(now + patience);
        self.leave(now);
        self.claims.stop();
        self.timers.insert((now + patience / 2, Timer::Queue));
        self.timers.insert((now + patience, Timer::Flush));
    }

    /// Refuses what still waits and never ran.
    pub(super) fn refuse_waiting(&mut self) {
        let waiting: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, r)| r.is_fresh())
            .map(|(key, _)| key)
            .collect();
        for key in waiting {
            self.give_up(key, Refusal::Stopping);
        }
    }

    pub(super) fn check_drained(&mut self, now: Instant) {
        let Some(until) = self.draining.filter(|_| !self.drained) else {
            return;
        };
        let busy = !self.requests.is_empty() || self.claims.closing() > 0;
        if busy && now < until {
            return;
        }
        self.drained = true;
        self.refuse_waiting();
        let cut = self.cut_rest();
        self.out.push(Effect::Drained { cut });
    }

    /// Cuts what has not finished in time, and names it in the log.
    fn cut_rest(&mut self) -> u32 {
        let rest: Vec<RequestKey> = self.requests.keys().collect();
        let mut cut = 0;
        for key in rest {
            let Some(request) = self.requests.get(key) else {
                continue;
            };
            let name = request.call.request.clone();
            let workspace = request.call.workspace.to_string();
            self.out.log(
                Level::Warn,
                "request_cut",
                &[("request", &name), ("workspace", &workspace)],
            );
            self.give_up(key, Refusal::Stopping);
            cut += 1;
        }
        cut
    }
}
