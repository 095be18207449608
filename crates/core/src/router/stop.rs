//! Graceful shutdown.

use std::time::{Duration, Instant};

use crate::effect::{Effect, Execution, Refusal};

use super::{Router, Timer};

impl Router {
    pub(super) fn drain(&mut self, now: Instant, patience: Duration) {
        self.draining = Some(now + patience);
        self.leave(now);
        self.timers.insert((now + patience, Timer::Flush));
        let waiting: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, r)| r.running.is_none())
            .map(|(k, _)| k)
            .collect();
        for key in waiting {
            let Some(call) = self.requests.get(key).map(|r| r.call.id) else {
                continue;
            };
            self.give_up(now, key);
            self.refuse(call, Refusal::Stopping, Execution::NotRun);
        }
    }

    pub(super) fn check_drained(&mut self, now: Instant) {
        let Some(until) = self.draining else {
            return;
        };
        let left = self.attempts.len();
        if left == 0 || now >= until {
            let cut = self.running();
            self.out.push(Effect::Drained { cut });
        }
    }
}
