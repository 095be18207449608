//! Grants and attempts: dispatch, milestones, retries and silence.

use std::time::Instant;

use crate::attempt::{Attempt, Outcome, Phase};
use crate::effect::{Counter, Dispatch, Effect, Execution, Refusal};
use crate::event::{Milestone, Repeat, Stage};
use crate::ids::{AttemptKey, GrantRef, Incarnation, RouterId};
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
        let _ = now;
        self.out.send(
            attempt.grant.dispatcher,
            Message::Release(Release {
                grant: attempt.grant.grant,
                incarnation: attempt.grant.incarnation,
                end,
                cost: attempt.cost,
                first_byte: attempt.first_byte,
            }),
        );
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

    pub(super) fn on_grant(
        &mut self,
        now: Instant,
        from: RouterId,
        incarnation: Incarnation,
        grant: &Grant,
    ) {
        let reference = GrantRef {
            dispatcher: from,
            incarnation,
            grant: grant.id,
        };
        let age = self.entry.clock(now).saturating_sub(grant.echo);
        let server = self.world.config.server(grant.server);
        let named = server.and_then(|s| self.world.members.dispatcher(grant.server, s));
        let address = server.map(|s| s.address);
        let open = server.is_some_and(|s| self.world.config.is_open(s));
        let usable = open && age < self.world.params.grant_life && named == Some(from);
        if !usable {
            self.out.count(Counter::Stale);
        }
        let (true, Some(address)) = (usable, address) else {
            self.return_grant(reference);
            return;
        };
        let Some(key) = self.entry.take(grant.flow, from) else {
            self.return_grant(reference);
            return;
        };
        let attempt = self
            .attempts
            .insert(Attempt::new(key, reference, grant.server, now));
        let Some(request) = self.requests.get_mut(key) else {
            self.attempts.remove(attempt);
            self.return_grant(reference);
            return;
        };
        request.running = Some(attempt);
        request.attempts += 1;
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
    }

    pub(super) fn return_grant(&mut self, grant: GrantRef) {
        self.out.send(
            grant.dispatcher,
            Message::Release(Release {
                grant: grant.grant,
                incarnation: grant.incarnation,
                end: GrantEnd::Unused,
                cost: 0.0,
                first_byte: None,
            }),
        );
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
