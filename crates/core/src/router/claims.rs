//! Execution claims of keyed requests, and their close.

use std::time::Instant;

use crate::claim::{Answer, Key, Lease, State, Stored, Verdict};
use crate::effect::{Effect, Execution, Refusal};
use crate::ids::{RequestKey, TableOp};

use super::{Claim, Router, Timer};

impl Router {
    /// Begins to claim the key of a request.
    pub(super) fn claim(&mut self, request: RequestKey, key: &Key) {
        let Some(held) = self.requests.get_mut(request) else {
            return;
        };
        let workspace = held.call.workspace;
        let (op, question) =
            self.claims
                .acquire(self.me, self.incarnation, request, workspace, key);
        held.claim = Claim::Pending(op);
        self.out.push(Effect::Claim(op, question));
    }

    pub(super) fn claim_answer(&mut self, now: Instant, op: TableOp, answer: Answer) {
        let verdict = self.claims.answer(op, answer);
        self.decide(now, verdict);
    }

    pub(super) fn claim_resume(&mut self, now: Instant, op: TableOp) {
        let verdict = self.claims.resume(op);
        self.decide(now, verdict);
    }

    fn decide(&mut self, now: Instant, verdict: Verdict) {
        match verdict {
            Verdict::Ask(op, question) => self.out.push(Effect::Claim(op, question)),
            Verdict::Pause(op, wait) => {
                self.timers.insert((now + wait, Timer::Claim(op)));
            }
            Verdict::Held(request, lease) => self.claimed(now, request, lease),
            Verdict::Replay(request, stored) => self.replay(request, stored),
            Verdict::Refuse(request, reason, execution) => {
                self.refuse_claim(request, reason, execution);
            }
            Verdict::RefuseAndUndo(request, op, question) => {
                self.out.push(Effect::Claim(op, question));
                self.refuse_claim(request, Refusal::NoClaim, Execution::NotRun);
            }
            Verdict::Closed => {}
        }
    }

    fn claimed(&mut self, now: Instant, key: RequestKey, lease: Lease) {
        let Some(request) = self.requests.get_mut(key) else {
            self.close_claim(lease, State::Released);
            return;
        };
        request.claim = Claim::Held(lease);
        self.enqueue(now, key, false);
    }

    fn replay(&mut self, key: RequestKey, stored: Stored) {
        if let Some(request) = self.forget(key) {
            self.out.push(Effect::Replay(request.call.id, stored));
        }
    }

    fn refuse_claim(&mut self, key: RequestKey, reason: Refusal, execution: Execution) {
        if let Some(request) = self.forget(key) {
            self.refuse(request.call.id, reason, execution);
        }
    }

    /// Closes the claim of a request that has left the arena.
    pub(super) fn end_claim(&mut self, claim: Claim, state: State) {
        match claim {
            Claim::Needless => {}
            Claim::Pending(op) => {
                if let Some((op, question)) = self.claims.abandon(op) {
                    self.out.push(Effect::Claim(op, question));
                }
            }
            Claim::Held(lease) => self.close_claim(lease, state),
        }
    }

    fn close_claim(&mut self, lease: Lease, state: State) {
        let (op, question) = self.claims.close(lease, state);
        self.out.push(Effect::Claim(op, question));
    }
}
