//! Requests whose server is silent.
//!
//! A server may be silent for a while and go on, so silence counts against its health but ends no
//! attempt. The request is sent to another server that has room for it; until that one has taken
//! it, and if there is none, it waits for the silent one.

use std::time::Instant;

use crate::event::{Decision, Execution, Outcome, Reason, RequestKey};
use crate::registry::ServerKey;

use super::{Attempt, Fleet};

impl Fleet {
    /// Sends a request whose server is silent to another one, if it may be repeated and there is one.
    pub(super) fn attempt_stalled(&mut self, now: Instant, key: RequestKey) {
        if self.explains_silence(now) {
            // What the server sent meanwhile may not be read yet.
            return;
        }
        let request = self.requests.get_mut(&key).filter(|r| r.replaced.is_none());
        let Some(attempt) = request.and_then(|r| r.attempt.as_mut()) else {
            return;
        };
        let server = attempt.server;
        if !std::mem::replace(&mut attempt.silent, true) {
            self.server_silent(now, server);
        }
        if let Err(reason) = self.replace_attempt(now, key) {
            self.keep_attempt(key, reason);
        }
    }

    /// Tells why a request waits for its silent server, unless it was told before.
    fn keep_attempt(&mut self, key: RequestKey, reason: Reason) {
        let request = self.requests.get_mut(&key);
        let Some(attempt) = request.and_then(|r| r.attempt.as_mut()) else {
            return;
        };
        if attempt.kept_for.replace(reason) != Some(reason) {
            self.decisions.push(Decision::Wait {
                request: key,
                reason,
            });
        }
    }

    /// Sends a request to another server.
    ///
    /// # Errors
    ///
    /// Returns why it is not sent.
    fn replace_attempt(&mut self, now: Instant, key: RequestKey) -> Result<(), Reason> {
        let Some(request) = self.requests.get(&key) else {
            return Err(Reason::Expired);
        };
        let deadline = request.submission.deadline;
        if !request.may_repeat() || !request.has_attempts() {
            return Err(Reason::Exhausted);
        }
        if self.quarantine(now, request).is_some() {
            return Err(Reason::Quarantined);
        }
        let share = self.share_status(now, key);
        let candidate = self.choose(now, key, share).map_err(|r| r.reason)?;
        if now + candidate.inputs.first_byte >= deadline {
            return Err(Reason::Expired);
        }
        if !self.try_retry(now, key) {
            return Err(Reason::RetryBudget);
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.replaced = request.attempt.take();
        }
        self.send(now, key, candidate);
        Ok(())
    }

    /// Ends the attempt at a silent server, as another one has the request.
    pub(super) fn attempt_replaced(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(&key);
        let fingerprint = request.map(|r| r.submission.fingerprint);
        if let Some((fingerprint, attempt)) = fingerprint.zip(self.release_replaced(key)) {
            self.record_rollout_silence(key, &attempt);
            self.judge_silence(now, fingerprint, &attempt);
        }
        self.set_execution(key, Execution::Unknown);
    }

    /// Ends the attempt that is being replaced and subtracts its load from the server.
    pub(super) fn release_replaced(&mut self, key: RequestKey) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&key)?.replaced.take()?;
        self.subtract_load(&attempt);
        Some(attempt)
    }

    /// Takes back the choice of another server, as the silent one went on.
    pub(super) fn attempt_resumed(&mut self, now: Instant, key: RequestKey, sent: bool) {
        let is_replaced = |r: &super::Request| r.replaced.is_some();
        if !self.requests.get(&key).is_some_and(is_replaced) {
            return;
        }
        let Some(unused) = self.release_attempt(key) else {
            return;
        };
        self.record_outcome(now, unused.server, Outcome::Withdrawn);
        if sent {
            self.set_execution(key, Execution::Unknown);
        } else {
            self.uncount_attempt(key);
            self.return_retry(now, key);
            if let Some(request) = self.requests.get_mut(&key) {
                // It may be chosen again.
                request.tried.pop();
            }
        }
        self.restore_replaced(key);
    }

    /// Makes the attempt at the silent server the current one again; returns whether there is one.
    pub(super) fn restore_replaced(&mut self, key: RequestKey) -> bool {
        let Some(request) = self.requests.get_mut(&key) else {
            return false;
        };
        if request.replaced.is_none() {
            return false;
        }
        request.attempt = request.replaced.take();
        true
    }

    /// Records that a stream went on; returns whether its server had been silent.
    pub(super) fn silence_ended(&mut self, key: RequestKey) -> bool {
        let request = self.requests.get_mut(&key);
        let Some(attempt) = request.and_then(|r| r.attempt.as_mut()) else {
            return false;
        };
        if !std::mem::take(&mut attempt.silent) {
            return false;
        }
        attempt.kept_for = None;
        let server = attempt.server;
        let server = self.registry.get_mut(server);
        let back = server.and_then(|s| s.health.record_success().then(|| s.id.clone()));
        if let Some(id) = back {
            // The connection is the same, so the server has not restarted.
            self.log("server_back", &id, "silent=true".to_owned());
        }
        true
    }

    /// Records the silence of a server for longer than expected.
    fn server_silent(&mut self, now: Instant, key: ServerKey) {
        let Some(server) = self.registry.get(key) else {
            return;
        };
        let detail = format!("running={}", server.load().running);
        let id = server.id.clone();
        self.log("server_silent", &id, detail);
        self.record_outcome(now, key, Outcome::Expired);
    }

    /// Judges the server of an attempt that was not complete at its deadline.
    ///
    /// That alone is no sign of silence: a stream may be under way, or the deadline was near when the
    /// request was sent. Silence on requests that may be repeated was recorded when it began.
    pub(super) fn judge_expiry(&mut self, now: Instant, key: RequestKey, attempt: &Attempt) {
        let request = self.requests.get(&key);
        let is_silence = request.is_some_and(|r| !r.started && !r.may_repeat());
        let outcome = if is_silence && !self.explains_silence(now) {
            Outcome::Expired
        } else {
            Outcome::Withdrawn
        };
        self.record_outcome(now, attempt.server, outcome);
    }

    fn subtract_load(&mut self, attempt: &Attempt) {
        if let Some(server) = self.registry.get_mut(attempt.server) {
            server.own_load.subtract(attempt.load);
        }
    }

    /// Ends the current attempt of a request and subtracts its load from the server.
    pub(super) fn release_attempt(&mut self, key: RequestKey) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&key)?.attempt.take()?;
        self.subtract_load(&attempt);
        Some(attempt)
    }
}
