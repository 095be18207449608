//! Grants and attempts: dispatch, milestones, retries and silence.

use std::time::Instant;

use crate::attempt::{Attempt, Outcome, Phase};
use crate::effect::{Counter, Dispatch, Effect, Execution, Refusal};
use crate::event::{Milestone, Repeat, Stage};
use crate::ids::{AttemptKey, GrantRef, Peer};
use crate::message::{Grant, GrantEnd, Message, Release};

use super::{Router, Timer};

impl Router {
    pub(super) fn milestone(&mut self, now: Instant, key: AttemptKey, milestone: &Milestone) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        attempt.progress = now;
        match *milestone {
            Milestone::Connected => {}
            Milestone::Sent => attempt.phase = Phase::Sent,
            Milestone::FirstByte => {
                attempt.phase = Phase::Output;
                attempt.first_byte = Some(now.duration_since(attempt.started));
            }
            Milestone::Progress { cost, tokens } => {
                attempt.cost = cost;
                attempt.tokens = tokens;
            }
            Milestone::Done { cost, .. } => {
                attempt.cost = cost;
                self.finish(now, key);
            }
            Milestone::Refused => self.retry(now, key, Outcome::NotRun, GrantEnd::Overload),
            Milestone::Broken(stage) => {
                let outcome = attempt.broken(stage);
                self.retry(now, key, outcome, GrantEnd::Failed);
            }
            Milestone::Mismatch => self.retry(now, key, Outcome::Unknown, GrantEnd::Failed),
        }
    }

    pub(super) fn finish(&mut self, now: Instant, key: AttemptKey) {
        let Some(attempt) = self.end_attempt(now, key, GrantEnd::Done) else {
            return;
        };
        if let Some(request) = self.forget(attempt.request) {
            self.out.push(Effect::Finish(request.call.id));
        }
    }

    /// Ends an attempt and gives its slot back.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        end: GrantEnd,
    ) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.grants.remove(&attempt.grant);
        let release = Release {
            grant: attempt.grant,
            server: attempt.server,
            end,
            cost: attempt.cost,
            first_byte: attempt.first_byte,
        };
        self.release(now, release);
        Some(attempt)
    }

    /// Sends a request again after its attempt broke, or refuses it.
    pub(super) fn retry(&mut self, now: Instant, key: AttemptKey, outcome: Outcome, end: GrantEnd) {
        let Some(attempt) = self.end_attempt(now, key, end) else {
            return;
        };
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        request.running = None;
        request.tokens = attempt.tokens;
        let again = match outcome {
            Outcome::NotRun => true,
            _ => request.call.repeat == Repeat::Idempotent,
        };
        let seen = attempt.phase == Phase::Output && !request.call.resumable;
        if again && !seen && request.attempts < self.world.params.max_attempts {
            self.out.count(Counter::Retried);
            self.enqueue(now, attempt.request, true);
            return;
        }
        let execution = match outcome {
            Outcome::NotRun => Execution::NotRun,
            _ => Execution::Unknown,
        };
        let reason = if again {
            Refusal::Exhausted
        } else {
            Refusal::Broken
        };
        if let Some(request) = self.forget(attempt.request) {
            self.refuse(request.call.id, reason, execution);
        }
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
            Err(end) => {
                let release = Release {
                    grant: reference,
                    server: grant.server,
                    end,
                    cost: 0.0,
                    first_byte: None,
                };
                self.release(now, release);
            }
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
        let server = self.world.config.server(grant.server);
        let address = server.map(|s| s.address).ok_or(GrantEnd::Unused)?;
        let key = self.entry.take(grant.flow, from.router);
        let key = key.ok_or(GrantEnd::Unused)?;
        let request = self.requests.get_mut(key).ok_or(GrantEnd::Unused)?;
        let attempt = Attempt::new(key, reference, grant.server, now);
        let attempt = self.attempts.insert(attempt);
        self.grants.insert(reference, attempt);
        request.running = Some(attempt);
        request.attempts += 1;
        if let Some(prefix) = request.call.prefix {
            let affinity = self.entry.affinity();
            affinity.note(grant.flow.service, prefix, grant.server);
        }
        self.timers.insert((
            now + self.world.params.progress_timeout,
            Timer::Silence(attempt),
        ));
        self.out.push(Effect::Dispatch(Dispatch {
            attempt,
            call: request.call.id,
            server: grant.server,
            address,
            reuse: request.call.repeat == Repeat::Idempotent,
            resume: (request.tokens > 0).then_some(request.tokens),
        }));
        Ok(())
    }

    /// Tells the dispatcher that granted a slot, and its successor, how it ended.
    fn release(&mut self, now: Instant, release: Release) {
        let granted = release.grant.dispatcher;
        let named = self.named(release.server);
        for router in [Some(granted), named.filter(|n| *n != granted)] {
            let Some(router) = router else {
                continue;
            };
            let params = &self.world.params;
            self.entry.keep_reporting(now, router, params);
            self.out.send(router, Message::Release(release));
        }
    }

    pub(super) fn check_silence(&mut self, now: Instant, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let patience = match attempt.phase {
            Phase::Output => self.world.params.progress_timeout,
            Phase::Unsent | Phase::Sent => self.world.params.first_timeout,
        };
        let due = attempt.progress + patience;
        if due > now {
            self.timers.insert((due, Timer::Silence(key)));
            return;
        }
        self.out.push(Effect::Cancel(key));
        let stage = match attempt.phase {
            Phase::Unsent => Stage::BeforeSend,
            Phase::Sent => Stage::AfterSend,
            Phase::Output => Stage::AfterOutput,
        };
        let outcome = attempt.broken(stage);
        self.retry(now, key, outcome, GrantEnd::Failed);
    }
}
