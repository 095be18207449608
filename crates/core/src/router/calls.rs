//! Callers' requests: admission, queueing, refusal and giving up.

use std::time::{Duration, Instant};

use crate::attempt::{Outcome, Phase};
use crate::effect::{Counter, Effect, Execution, Refusal, Refused};
use crate::entry::Arrival;
use crate::event::Call;
use crate::ids::{CallId, Flow, RequestKey};
use crate::message::GrantEnd;

use super::{Request, Router, Timer};

impl Router {
    pub(super) fn submit(&mut self, now: Instant, call: Call) {
        if let Err(reason) = self.admit(now, &call) {
            self.refuse(call.id, reason, Execution::NotRun);
            return;
        }
        let flow = Flow {
            service: call.service,
            workspace: call.workspace,
        };
        let deadline = call.deadline;
        let id = call.id;
        let key = self.requests.insert(Request {
            call,
            flow,
            attempts: 0,
            running: None,
            tokens: 0,
        });
        self.calls.insert(id, key);
        self.timers.insert((deadline, Timer::Deadline(key)));
        self.out.count(Counter::Accepted);
        self.enqueue(now, key, false);
    }

    pub(super) fn admit(&self, now: Instant, call: &Call) -> Result<(), Refusal> {
        self.readiness()?;
        if self.world.config.service(call.service).is_none() {
            return Err(Refusal::NoService);
        }
        if call.deadline <= now {
            return Err(Refusal::Expired);
        }
        let flow = Flow {
            service: call.service,
            workspace: call.workspace,
        };
        let limit = self
            .world
            .config
            .workspace(call.workspace)
            .map_or(0, |w| w.queue_limit as usize);
        if self.entry.waiting(flow) >= limit {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    pub(super) fn enqueue(&mut self, now: Instant, key: RequestKey, front: bool) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let flow = request.flow;
        let (hint, prefix) = (request.call.hint, request.call.prefix);
        let arrival = Arrival {
            request: key,
            flow,
            front,
            hint,
            prefer: prefix.and_then(|p| self.prefer(flow.service, p)),
        };
        let reach = self.reach(flow);
        self.entry.enqueue(now, arrival, &reach);
    }

    /// Refuses a call, or ends one whose answer was cut.
    pub(super) fn refuse(&mut self, call: CallId, reason: Refusal, execution: Execution) {
        let wait = matches!(
            reason,
            Refusal::QueueFull | Refusal::NotReady | Refusal::Stopping | Refusal::NoClaim
        );
        self.out.count(Counter::Refused);
        self.out.push(Effect::Refuse(
            call,
            Refused {
                reason,
                execution,
                retry_after: wait.then_some(Duration::from_secs(1)),
            },
        ));
    }

    pub(super) fn forget(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        self.calls.remove(&request.call.id);
        self.timers
            .remove(&(request.call.deadline, Timer::Deadline(key)));
        Some(request)
    }

    pub(super) fn hangup(&mut self, now: Instant, call: CallId) {
        let Some(key) = self.calls.get(&call).copied() else {
            return;
        };
        self.give_up(now, key);
    }

    /// Drops a request from its queue or cancels its attempt.
    pub(super) fn give_up(&mut self, now: Instant, key: RequestKey) -> Option<Outcome> {
        let request = self.forget(key)?;
        let Some(attempt) = request.running else {
            self.entry.remove(request.flow, key);
            return Some(Outcome::NotRun);
        };
        self.out.push(Effect::Cancel(attempt));
        let phase = self.attempts.get(attempt).map(|a| a.phase);
        self.end_attempt(now, attempt, GrantEnd::Cancelled);
        match phase {
            Some(Phase::Unsent) => Some(Outcome::NotRun),
            _ => Some(Outcome::Unknown),
        }
    }

    pub(super) fn expire(&mut self, now: Instant, key: RequestKey) {
        let Some(call) = self.requests.get(key).map(|r| r.call.id) else {
            return;
        };
        let outcome = self.give_up(now, key);
        let execution = match outcome {
            Some(Outcome::NotRun) => Execution::NotRun,
            _ => Execution::Unknown,
        };
        self.refuse(call, Refusal::Expired, execution);
    }
}
