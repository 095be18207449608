//! Grants and attempts: dispatch, milestones, retries.

use std::time::Instant;

use crate::attempt::{Ended, Facts, Outcome, Running};
use crate::claim::State;
use crate::configuration::ServiceKind;
use crate::effect::{Counter, Dispatch, Effect, Refusal};
use crate::event::{Milestone, Repeat};
use crate::ids::{AttemptKey, GrantRef, Peer, RequestKey, RouterId};
use crate::message::{Grant, GrantEnd, Message, Release};

use super::{Claim, Request, Router, Timer};

/// Grants at the server that just failed that a request declines at most.
const MAX_DECLINED: u32 = 2;

impl Router {
    /// Takes in a milestone; one of an attempt that was cancelled reaches nobody.
    pub(super) fn milestone(&mut self, now: Instant, key: AttemptKey, milestone: Milestone) {
        let Some(running) = self.attempts.get_mut(key) else {
            return;
        };
        running.facts_mut().progress = now;
        match milestone {
            Milestone::Connected => {}
            Milestone::Sent => *running = running.send(),
            Milestone::FirstByte => {
                *running = running.answer(now);
                let facts = *running.facts();
                self.observe_first(&facts);
                self.watch(key);
            }
            Milestone::Progress { cost, tokens } => {
                let facts = running.facts_mut();
                facts.cost = cost;
                facts.tokens = tokens;
            }
            Milestone::Kept(stored) => {
                let request = running.facts().request;
                if let Some(request) = self.requests.get_mut(request) {
                    request.kept = Some(stored);
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
                self.end_attempt(now, key, GrantEnd::Failed, |r| r.broken(stage));
            }
            Milestone::Mismatch => {
                self.end_attempt(now, key, GrantEnd::Failed, Running::lose);
            }
        }
    }

    /// Ends an attempt and gives its slot back.
    pub(super) fn take_attempt(
        &mut self,
        key: AttemptKey,
        end: GrantEnd,
        how: impl FnOnce(Running) -> Ended,
    ) -> Option<Ended> {
        let running = self.attempts.remove(key)?;
        let spent = self.cost_so_far(self.now, &running);
        let ended = how(running);
        let facts = ended.facts;
        let cost = match ended.outcome {
            Outcome::Answered => facts.cost,
            _ => spent,
        };
        self.timers.remove(&(facts.check, Timer::Silence(key)));
        let end = match ended.outcome {
            Outcome::Failed => GrantEnd::Failed,
            _ => end,
        };
        self.grants.remove(&facts.grant);
        let first_byte = facts
            .first_byte
            .filter(|_| self.shows_latency(facts.request));
        self.release(Release {
            grant: facts.grant,
            server: facts.server,
            end,
            cost,
            first_byte,
        });
        Some(ended)
    }

    /// Returns whether the time to first byte says something about the server.
    ///
    /// A model answer that is not streamed comes whole: its first byte takes as
    /// long as the answer is.
    fn shows_latency(&self, request: RequestKey) -> bool {
        let Some(request) = self.requests.get(request) else {
            return false;
        };
        let service = self.world.config.service(request.call.service);
        let plain = service.is_some_and(|s| s.kind == ServiceKind::Plain);
        plain || request.call.resumable
    }

    /// Ends an attempt; its request is finished, sent again or refused.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        end: GrantEnd,
        how: impl FnOnce(Running) -> Ended,
    ) {
        let Some(ended) = self.take_attempt(key, end, how) else {
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
        if let Some(request) = self.forget(key) {
            self.end_claim(request.claim, State::Answered(request.kept));
            self.out.push(Effect::Finish(request.call.id));
        }
    }

    /// Sends a request again after its attempt ended without an answer, or refuses it.
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
        if let Some(request) = self.forget(key) {
            self.dismiss(request, reason);
        }
    }

    /// Returns whether one more attempt is allowed, and takes it from the budget.
    fn may_retry(&mut self, now: Instant, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let unseen = request.tokens == 0 || request.call.resumable;
        let left = request.attempts < self.world.params.max_attempts;
        let in_time = request.call.deadline > now;
        unseen && left && in_time && self.budgets.withdraw(request.flow.workspace)
    }

    /// Takes the waiting request that a grant is to be used for.
    ///
    /// A request that just failed at the granted server leaves the slot to
    /// another one and asks for a slot elsewhere.
    fn take_request(&mut self, now: Instant, from: RouterId, grant: &Grant) -> Option<RequestKey> {
        let elsewhere = !self.others(grant.flow.service, grant.server).is_empty();
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
            let avoids = request.avoid == Some(grant.server) && elsewhere;
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
        let life = self.world.params.grant_life;
        if !self.obedience.note(now, life, reference) || self.used_by(reference).is_some() {
            return;
        }
        match self.use_grant(now, from, reference, grant) {
            Ok(()) => self.obedience.keep_warmth(grant.server, grant.warmth),
            Err(end) => self.release(Release {
                grant: reference,
                server: grant.server,
                end,
                cost: 0.0,
                first_byte: None,
            }),
        }
    }

    /// Sends a waiting request with a grant, or says how the grant ends instead.
    fn use_grant(
        &mut self,
        now: Instant,
        from: Peer,
        reference: GrantRef,
        grant: &Grant,
    ) -> Result<(), GrantEnd> {
        let named = self.named(grant.server) == Some(from.router);
        if !named || !self.obedience.obeys(from, grant) {
            self.out.count(Counter::Stale);
            return Err(GrantEnd::Fenced);
        }
        let age = self.entry.age(now, grant.echo);
        if age.is_none_or(|a| a >= self.world.params.grant_life) {
            self.out.count(Counter::Stale);
            return Err(GrantEnd::Unused);
        }
        let config = &self.world.config;
        let server = config.server(grant.server).filter(|s| config.is_open(s));
        let address = server.map(|s| s.address).ok_or(GrantEnd::Unused)?;
        let key = self.take_request(now, from.router, grant);
        let key = key.ok_or(GrantEnd::Unused)?;
        let facts = Facts::new(key, reference, grant.server, address, now);
        self.dispatch(key, facts);
        Ok(())
    }

    /// Sends a request to the server whose slot it holds.
    fn dispatch(&mut self, key: RequestKey, facts: Facts) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let running = Running::new(facts.with_tokens(request.tokens));
        let attempt = self.attempts.insert(running);
        self.grants.insert(facts.grant, attempt);
        request.running = Some(attempt);
        request.attempts += 1;
        let order = request.order(attempt, &facts);
        if let Some(prefix) = request.call.prefix {
            let affinity = self.entry.affinity();
            affinity.note(request.flow.service, prefix, facts.server);
        }
        self.out.push(Effect::Dispatch(order));
        self.watch(attempt);
    }

    /// Tells the dispatcher that granted a slot, and its successor, how it ended.
    fn release(&mut self, release: Release) {
        let granted = release.grant.dispatcher;
        let named = self.named(release.server).filter(|n| *n != granted);
        for router in std::iter::once(granted).chain(named) {
            self.entry.keep_reporting(router, &self.world.params);
            self.out.send(router, Message::Release(release));
        }
    }
}

impl Request {
    /// Returns the order to send the request.
    fn order(&self, attempt: AttemptKey, facts: &Facts) -> Dispatch {
        Dispatch {
            attempt,
            call: self.call.id,
            server: facts.server,
            address: facts.address,
            reuse: self.call.repeat == Repeat::Idempotent,
            resume: (self.tokens > 0).then_some(self.tokens),
            deadline: self.call.deadline,
            fence: match &self.claim {
                Claim::Held(lease) => Some(lease.attempt()),
                Claim::Needless | Claim::Pending(_) => None,
            },
        }
    }
}
