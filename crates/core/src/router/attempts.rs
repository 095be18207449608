//! Grants and attempts: sends requests with grants, follows their progress and retries them.

use std::time::Instant;

use crate::attempt::{Ended, Facts, Outcome, Running};
use crate::claim::State;
use crate::configuration::ServiceKind;
use crate::effect::{Counter, Dispatch, Effect, Refusal};
use crate::event::{Milestone, Repeat};
use crate::ids::{AttemptKey, GrantRef, Peer, RequestKey, RouterId};
use crate::message::{Grant, GrantEnd, Message, Release};

use super::{Claim, Request, Router, Timer};

/// Maximum number of grants that a request declines at the server that just failed it.
const MAX_DECLINED: u32 = 2;

impl Router {
    /// Handles a milestone of an attempt; ignores it if the attempt was cancelled.
    pub(super) fn on_milestone(&mut self, now: Instant, key: AttemptKey, milestone: Milestone) {
        let Some(running) = self.attempts.get_mut(key) else {
            return;
        };
        running.facts_mut().last_progress = now;
        match milestone {
            Milestone::Connected => {}
            Milestone::Sent => *running = running.send(),
            Milestone::FirstByte => {
                *running = running.answer(now);
                let facts = *running.facts();
                self.observe_first_byte(&facts);
                self.schedule_silence_check(key);
            }
            Milestone::Progress { cost, tokens } => {
                let facts = running.facts_mut();
                facts.cost = cost;
                facts.tokens = tokens;
            }
            Milestone::StoredAnswer(stored) => {
                let request = running.facts().request;
                if let Some(request) = self.requests.get_mut(request) {
                    request.stored = Some(stored);
                }
            }
            Milestone::Done { cost, status } => {
                running.facts_mut().cost = cost;
                let facts = *running.facts();
                self.observe_cost(now, &facts);
                self.end_attempt(now, key, GrantEnd::Done, |r| r.finish(now, status));
            }
            Milestone::Refused => {
                self.end_attempt(now, key, GrantEnd::Overload, Running::refuse);
            }
            Milestone::Broken(stage) => {
                self.end_attempt(now, key, GrantEnd::Failed, |r| r.fail_connection(stage));
            }
            Milestone::Mismatch => {
                self.end_attempt(now, key, GrantEnd::Failed, Running::end_unknown);
            }
        }
    }

    /// Ends an attempt and releases its slot; `transition` determines the outcome.
    pub(super) fn close_attempt(
        &mut self,
        key: AttemptKey,
        end: GrantEnd,
        transition: impl FnOnce(Running) -> Ended,
    ) -> Option<Ended> {
        let running = self.attempts.remove(key)?;
        let spent = self.cost_so_far(self.now, &running);
        let ended = transition(running);
        let facts = ended.facts;
        let cost = match ended.outcome {
            Outcome::Answered => facts.cost,
            _ => spent,
        };
        self.timers.remove(&(facts.next_check, Timer::Silence(key)));
        let end = match ended.outcome {
            Outcome::Failed => GrantEnd::Failed,
            _ => end,
        };
        self.grants.remove(&facts.grant);
        let first_byte = facts
            .first_byte
            .filter(|_| self.measures_latency(facts.request));
        self.release(Release {
            grant: facts.grant,
            server: facts.server,
            end,
            cost,
            first_byte,
        });
        Some(ended)
    }

    /// Returns whether the time to first byte of a request tells about the server's latency.
    ///
    /// A model answer that is not streamed arrives complete, so that time depends on its length.
    fn measures_latency(&self, request: RequestKey) -> bool {
        let Some(request) = self.requests.get(request) else {
            return false;
        };
        let service = self.ctx.config.service(request.call.service);
        let plain = service.is_some_and(|s| s.kind == ServiceKind::Plain);
        plain || request.call.resumable
    }

    /// Ends an attempt and finishes, retries or refuses its request.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        end: GrantEnd,
        transition: impl FnOnce(Running) -> Ended,
    ) {
        let Some(ended) = self.close_attempt(key, end, transition) else {
            return;
        };
        let Some(request) = self.requests.get_mut(ended.facts.request) else {
            return;
        };
        request.running = None;
        request.tokens = request.tokens.max(ended.facts.tokens);
        request.history.add(ended.outcome);
        request.avoid = Some(ended.facts.server);
        request.declined = 0;
        if ended.outcome == Outcome::Answered {
            self.finish(ended.facts.request);
            return;
        }
        self.retry(now, &ended);
    }

    fn finish(&mut self, key: RequestKey) {
        if let Some(request) = self.remove_request(key) {
            self.end_claim(request.claim, State::Answered(request.stored));
            self.out.push(Effect::Finish(request.call.id));
        }
    }

    /// Retries or refuses a request whose attempt ended without an answer.
    fn retry(&mut self, now: Instant, ended: &Ended) {
        let key = ended.facts.request;
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let repeatable = match ended.outcome {
            Outcome::NotRun(_) => true,
            _ => request.call.repeat == Repeat::Idempotent,
        };
        if repeatable && self.may_retry(now, key) {
            self.out.count(Counter::Retried);
            self.enqueue(now, key, true);
            return;
        }
        let reason = match ended.outcome {
            _ if repeatable => Refusal::Exhausted,
            Outcome::Failed => Refusal::ServerFailed,
            _ => Refusal::Broken,
        };
        if let Some(request) = self.remove_request(key) {
            self.refuse_request(request, reason);
        }
    }

    /// Returns whether a retry is allowed; if so, withdraws it from the retry budget.
    fn may_retry(&mut self, now: Instant, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let can_restart = request.tokens == 0 || request.call.resumable;
        let attempts_left = request.attempts < self.ctx.params.max_attempts;
        let in_time = request.call.deadline > now;
        can_restart && attempts_left && in_time && self.budgets.withdraw(request.flow.workspace)
    }

    /// Removes from the queue the request that uses a grant.
    ///
    /// A request that just failed at the granted server declines and asks for a slot at another.
    fn take_request(&mut self, now: Instant, from: RouterId, grant: &Grant) -> Option<RequestKey> {
        let has_alternative = !self
            .other_servers(grant.flow.service, grant.server)
            .is_empty();
        let mut declined = Vec::new();
        let mut taken = None;
        while let Some(key) = self.entry.take(grant.flow, from) {
            let Some(request) = self.requests.get_mut(key) else {
                continue;
            };
            if request.call.deadline <= now {
                self.expire(key);
                continue;
            }
            let avoids = request.avoid == Some(grant.server) && has_alternative;
            if avoids && request.declined < MAX_DECLINED {
                request.declined += 1;
                declined.push(key);
                continue;
            }
            taken = Some(key);
            break;
        }
        for key in declined.into_iter().rev() {
            self.enqueue(now, key, true);
        }
        taken
    }

    pub(super) fn on_grant(&mut self, now: Instant, from: Peer, grant: &Grant) {
        let reference = GrantRef {
            dispatcher: from.router,
            incarnation: from.incarnation,
            grant: grant.id,
        };
        let lifetime = self.ctx.params.grant_life;
        if !self.acks.record_grant(now, lifetime, reference) || self.used_by(reference).is_some() {
            return;
        }
        match self.use_grant(now, from, reference, grant) {
            Ok(()) => self.acks.keep_warm_up(grant.server, grant.warm_up),
            Err(end) => self.release(Release {
                grant: reference,
                server: grant.server,
                end,
                cost: 0.0,
                first_byte: None,
            }),
        }
    }

    /// Sends a waiting request with a grant, or returns how the unused grant ends.
    fn use_grant(
        &mut self,
        now: Instant,
        from: Peer,
        reference: GrantRef,
        grant: &Grant,
    ) -> Result<(), GrantEnd> {
        let is_dispatcher = self.dispatcher_of(grant.server) == Some(from.router);
        if !is_dispatcher || !self.acks.accepts(from, grant) {
            self.out.count(Counter::Stale);
            return Err(GrantEnd::Fenced);
        }
        let age = self.entry.age(now, grant.demand_sent);
        if age.is_none_or(|a| a >= self.ctx.params.grant_life) {
            self.out.count(Counter::Stale);
            return Err(GrantEnd::Unused);
        }
        let config = &self.ctx.config;
        let server = config.server(grant.server).filter(|s| config.is_open(s));
        let address = server.map(|s| s.address).ok_or(GrantEnd::Unused)?;
        let key = self.take_request(now, from.router, grant);
        let key = key.ok_or(GrantEnd::Unused)?;
        let facts = Facts::new(key, reference, grant.server, address, now);
        self.dispatch(key, facts);
        Ok(())
    }

    /// Sends a request to the server of its grant.
    fn dispatch(&mut self, key: RequestKey, facts: Facts) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let running = Running::new(facts.with_tokens(request.tokens));
        let attempt = self.attempts.insert(running);
        self.grants.insert(facts.grant, attempt);
        request.running = Some(attempt);
        request.attempts += 1;
        let dispatch = request.to_dispatch(attempt, &facts);
        if let Some(prefix) = request.call.prefix {
            let affinity = self.entry.affinity();
            affinity.record(request.flow.service, prefix, facts.server);
        }
        self.out.push(Effect::Dispatch(dispatch));
        self.schedule_silence_check(attempt);
    }

    /// Releases a slot to the dispatcher that granted it and to that dispatcher's successor.
    fn release(&mut self, release: Release) {
        let issuer = release.grant.dispatcher;
        let successor = self.dispatcher_of(release.server).filter(|n| *n != issuer);
        for router in std::iter::once(issuer).chain(successor) {
            self.entry.keep_reporting(router, &self.ctx.params);
            self.out.send(router, Message::Release(release));
        }
    }
}

impl Request {
    /// Returns the effect that sends the request.
    fn to_dispatch(&self, attempt: AttemptKey, facts: &Facts) -> Dispatch {
        Dispatch {
            attempt,
            call: self.call.id,
            server: facts.server,
            address: facts.address,
            allow_pooled: self.call.repeat == Repeat::Idempotent,
            resume: (self.tokens > 0).then_some(self.tokens),
            deadline: self.call.deadline,
            fence: match &self.claim {
                Claim::Held(lease) => Some(lease.attempt()),
                Claim::NotKeyed | Claim::Pending(_) => None,
            },
        }
    }
}
