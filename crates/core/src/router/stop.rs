//! Graceful shutdown.
//!
//! The router accepts no new requests. Waiting requests may still be served during the first half
//! of the allowed time. Then those that were never dispatched are refused as not executed, so that
//! their callers can retry at another router while running requests have the second half to finish.

use std::time::{Duration, Instant};

use crate::effect::{Effect, Execution, Level, Refusal};
use crate::ids::RequestKey;

use super::{Request, Router, Timer};

impl Request {
    /// Returns whether the request was never sent to a server.
    fn is_undispatched(&self) -> bool {
        self.running.is_none() && self.history.execution() == Execution::NotRun && self.tokens == 0
    }
}

impl Router {
    pub(super) fn drain(&mut self, now: Instant, time_limit: Duration) {
        if self.drain_deadline.is_some() {
            return;
        }
        self.drain_deadline = Some(now + time_limit);
        self.announce_leaving(now);
        self.claims.stop();
        self.timers
            .insert((now + time_limit / 2, Timer::RefuseWaiting));
        self.timers.insert((now + time_limit, Timer::Flush));
    }

    /// Refuses the waiting requests that were never sent to a server.
    pub(super) fn refuse_waiting(&mut self) {
        let waiting: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, r)| r.is_undispatched())
            .map(|(key, _)| key)
            .collect();
        for key in waiting {
            self.abort(key, Refusal::Stopping);
        }
    }

    pub(super) fn check_drained(&mut self, now: Instant) {
        let Some(deadline) = self.drain_deadline.filter(|_| !self.drained) else {
            return;
        };
        let busy = !self.requests.is_empty() || self.claims.closing() > 0;
        if busy && now < deadline {
            return;
        }
        self.drained = true;
        self.refuse_waiting();
        let cut = self.cut_remaining();
        self.out.push(Effect::Drained { cut });
    }

    /// Cuts and logs the requests that have not finished in time; returns their number.
    fn cut_remaining(&mut self) -> u32 {
        let remaining: Vec<RequestKey> = self.requests.keys().collect();
        let mut cut = 0;
        for key in remaining {
            let Some(request) = self.requests.get(key) else {
                continue;
            };
            let request_id = request.call.request.clone();
            let workspace = request.call.workspace.to_string();
            self.out.log(
                Level::Warn,
                "request_cut",
                &[("request", &request_id), ("workspace", &workspace)],
            );
            self.abort(key, Refusal::Stopping);
            cut += 1;
        }
        cut
    }
}
