//! Callers' requests: admission, queueing, refusal and cancellation.

use std::time::{Duration, Instant};

use crate::attempt::{History, Running};
use crate::claim::State;
use crate::effect::{Counter, Effect, Execution, Refusal, Refused};
use crate::entry::Arrival;
use crate::event::{Call, Repeat};
use crate::ids::{CallId, Flow, RequestKey, RouterId, ServerId, ServiceId};
use crate::message::GrantEnd;

use super::{Claim, Request, Router, Timer};

impl Router {
    pub(super) fn on_submit(&mut self, now: Instant, call: Call) {
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
        let claim = match &call.repeat {
            Repeat::Keyed(key) => Some(key.clone()),
            Repeat::Idempotent | Repeat::Once => None,
        };
        let workspace = self.ctx.config.workspace(call.workspace);
        let fraction = workspace.map_or(0.0, |w| w.retry_fraction);
        let key = self.requests.insert(Request {
            call,
            flow,
            attempts: 0,
            running: None,
            tokens: 0,
            history: History::new(),
            claim: Claim::NotKeyed,
            stored: None,
            avoid: None,
            declined: 0,
        });
        self.calls.insert(id, key);
        self.timers.insert((deadline, Timer::Deadline(key)));
        self.out.count(Counter::Accepted);
        self.budgets.deposit(flow.workspace, fraction);
        match claim {
            Some(name) => self.acquire_claim(key, &name),
            None => self.enqueue(now, key, false),
        }
    }

    pub(super) fn admit(&self, now: Instant, call: &Call) -> Result<(), Refusal> {
        self.readiness()?;
        if self.ctx.config.service(call.service).is_none() {
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
            .ctx
            .config
            .workspace(call.workspace)
            .map_or(0, |w| w.queue_limit as usize);
        if self.entry.waiting(flow) >= limit {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    pub(super) fn enqueue(&mut self, now: Instant, key: RequestKey, at_front: bool) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let flow = request.flow;
        let prefix = request.call.prefix;
        let by_prefix = || self.preferred_server(flow.service, prefix?);
        let arrival = Arrival {
            request: key,
            flow,
            at_front,
            hint: request.call.cost_hint,
            prefer: self.retry_server(request).or_else(by_prefix),
        };
        let candidates = self.assignments.candidates(&self.ctx, flow);
        self.entry.enqueue(now, arrival, &candidates);
    }

    /// Returns the open servers of `service` other than `avoid`, with their dispatchers.
    pub(super) fn other_servers(
        &self,
        service: ServiceId,
        avoid: ServerId,
    ) -> Vec<(RouterId, ServerId)> {
        let config = &self.ctx.config;
        config
            .servers()
            .filter(|(id, s)| s.service == service && *id != avoid && config.is_open(s))
            .filter_map(|(id, s)| Some((self.ctx.members.dispatcher(id, s)?, id)))
            .collect()
    }

    /// Picks a server for a retry, other than the one of the last attempt.
    fn retry_server(&self, request: &Request) -> Option<(RouterId, ServerId)> {
        let others = self.other_servers(request.flow.service, request.avoid?);
        let offset = request.call.id.0.wrapping_add(u64::from(request.attempts));
        let count = u64::try_from(others.len()).ok().filter(|n| *n > 0)?;
        let at = usize::try_from(offset % count).ok()?;
        others.get(at).copied()
    }

    /// Tells the caller that its request was refused or its answer cut.
    pub(super) fn refuse(&mut self, call: CallId, reason: Refusal, execution: Execution) {
        let retryable = match reason {
            Refusal::QueueFull
            | Refusal::NotReady
            | Refusal::Stopping
            | Refusal::NoClaim
            | Refusal::KeyInDoubt => true,
            Refusal::Exhausted | Refusal::Expired => execution == Execution::NotRun,
            _ => false,
        };
        self.out.count(Counter::Refused);
        self.out.push(Effect::Refuse(
            call,
            Refused {
                reason,
                execution,
                retry_after: retryable.then_some(Duration::from_secs(1)),
            },
        ));
    }

    pub(super) fn remove_request(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        self.calls.remove(&request.call.id);
        self.timers
            .remove(&(request.call.deadline, Timer::Deadline(key)));
        Some(request)
    }

    /// Aborts the request of a caller that has closed its connection.
    ///
    /// A running request with a key continues, and its answer is stored for a repeat.
    pub(super) fn on_hangup(&mut self, call: CallId) {
        let Some(key) = self.calls.get(&call).copied() else {
            return;
        };
        let must_finish = |r: &Request| r.running.is_some() && matches!(r.claim, Claim::Held(_));
        if self.requests.get(key).is_some_and(must_finish) {
            return;
        }
        self.abort(key, Refusal::Cancelled);
    }

    /// Removes a request from its queue or cancels its attempt, and refuses it.
    pub(super) fn abort(&mut self, key: RequestKey, reason: Refusal) {
        let running = self.requests.get(key).and_then(|r| r.running);
        // The cost of the attempt is derived from its request, so end the attempt first.
        let ended = running.and_then(|attempt| {
            self.out.push(Effect::Cancel(attempt));
            self.close_attempt(attempt, GrantEnd::Cancelled, Running::cancel)
        });
        let Some(mut request) = self.remove_request(key) else {
            return;
        };
        if running.is_none() {
            self.entry.remove(request.flow, key);
        }
        if let Some(ended) = ended {
            request.history.add(ended.outcome);
        }
        self.refuse_request(request, reason);
    }

    /// Refuses a request that was removed from the arena, and closes its claim.
    pub(super) fn refuse_request(&mut self, request: Request, reason: Refusal) {
        let execution = request.history.execution();
        let state = match execution {
            Execution::NotRun => State::Released,
            Execution::Failed => State::Failed,
            Execution::Unknown | Execution::AlreadyRun => State::Unknown,
        };
        self.end_claim(request.claim, state);
        self.refuse(request.call.id, reason, execution);
    }

    pub(super) fn expire(&mut self, key: RequestKey) {
        self.abort(key, Refusal::Expired);
    }
}
