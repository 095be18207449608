//! Claims of idempotency keys: acquires one before a keyed request is queued, closes it after.

use std::time::Instant;

use crate::claim::{Key, Lease, State, Step, Stored, TableAnswer};
use crate::effect::{Effect, Execution, Refusal};
use crate::ids::{RequestKey, TableOp};

use super::{Claim, Router, Timer};

impl Router {
    /// Starts to claim the key of a request.
    pub(super) fn acquire_claim(&mut self, request: RequestKey, key: &Key) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        let workspace = pending.call.workspace;
        let (op, operation) =
            self.claims
                .acquire(self.me, self.incarnation, request, workspace, key);
        pending.claim = Claim::Pending(op);
        self.out.push(Effect::Claim(op, operation));
    }

    pub(super) fn on_claim_answer(&mut self, now: Instant, op: TableOp, answer: TableAnswer) {
        let step = self.claims.answer(op, answer);
        self.apply_step(now, step);
    }

    pub(super) fn resume_claim(&mut self, now: Instant, op: TableOp) {
        let step = self.claims.resume(op);
        self.apply_step(now, step);
    }

    fn apply_step(&mut self, now: Instant, step: Step) {
        match step {
            Step::Call(op, operation) => self.out.push(Effect::Claim(op, operation)),
            Step::Pause(op, wait) => {
                self.timers.insert((now + wait, Timer::Claim(op)));
            }
            Step::Held(request, lease) => self.on_claimed(now, request, lease),
            Step::Replay(request, stored) => self.replay(request, stored),
            Step::Refuse(request, reason, execution) => {
                self.refuse_claim(request, reason, execution);
            }
            Step::RefuseAndUndo(request, op, operation) => {
                self.out.push(Effect::Claim(op, operation));
                self.refuse_claim(request, Refusal::NoClaim, Execution::NotRun);
            }
            Step::Closed => {}
        }
    }

    fn on_claimed(&mut self, now: Instant, key: RequestKey, lease: Lease) {
        let Some(request) = self.requests.get_mut(key) else {
            self.close_claim(lease, State::Released);
            return;
        };
        request.claim = Claim::Held(lease);
        self.enqueue(now, key, false);
    }

    fn replay(&mut self, key: RequestKey, stored: Stored) {
        if let Some(request) = self.remove_request(key) {
            self.out.push(Effect::Replay(request.call.id, stored));
        }
    }

    fn refuse_claim(&mut self, key: RequestKey, reason: Refusal, execution: Execution) {
        if let Some(request) = self.remove_request(key) {
            self.refuse(request.call.id, reason, execution);
        }
    }

    /// Closes the claim of a request that was removed from the arena.
    pub(super) fn end_claim(&mut self, claim: Claim, state: State) {
        match claim {
            Claim::NotKeyed => {}
            Claim::Pending(op) => {
                if let Some((op, operation)) = self.claims.abandon(op) {
                    self.out.push(Effect::Claim(op, operation));
                }
            }
            Claim::Held(lease) => self.close_claim(lease, state),
        }
    }

    fn close_claim(&mut self, lease: Lease, state: State) {
        let (op, operation) = self.claims.close(lease, state);
        self.out.push(Effect::Claim(op, operation));
    }
}
