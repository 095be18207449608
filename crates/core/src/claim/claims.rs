//! Reducer that acquires and closes claims: each response of the table leads to a [`Step`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::effect::{Execution, Refusal};
use crate::ids::{Incarnation, RequestKey, RouterId, TableOp, WorkspaceId};

use super::row::{Holder, Key, Row, RowKey, State, Stored, TableAnswer, TableRequest, Versioned};

/// Maximum number of table calls to acquire a claim, after which the request is refused.
const MAX_ACQUIRE_CALLS: u32 = 6;
/// Maximum number of table calls to close a claim, after which its row stays unchanged.
const MAX_CLOSE_CALLS: u32 = 120;
/// Maximum number of table calls to close a claim while the router stops.
const MAX_CLOSE_CALLS_STOPPING: u32 = 3;
/// Initial pause before a table call is retried; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum pause before a table call is retried.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum number of claims being closed; each may hold one stored answer.
const MAX_CLOSING: usize = 1_024;

/// A held claim, the right to run a request; not `Copy` or `Clone`, so that it is closed once.
#[derive(Debug)]
pub struct Lease {
    key: RowKey,
    holder: Holder,
    digest: u64,
    attempt: u32,
    version: u64,
}

impl Lease {
    /// Returns how often the key was claimed, including this claim.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }
}

/// A claim that is being acquired.
#[derive(Debug)]
struct Acquire {
    request: RequestKey,
    lease: Lease,
    /// Whether a write may have been committed although its response was lost.
    maybe_written: bool,
    writing: bool,
    calls: u32,
}

/// A claim that is being closed.
#[derive(Debug)]
struct Close {
    lease: Lease,
    state: State,
    calls: u32,
}

#[derive(Debug)]
enum Op {
    Acquire(Acquire),
    Close(Close),
}

/// Next step of a claim after a response of the table.
#[derive(Debug)]
pub enum Step {
    /// Send the call to the table now.
    Call(TableOp, TableRequest),
    /// Call [`Claims::resume`] after a pause.
    Pause(TableOp, Duration),
    /// The request may be dispatched.
    Held(RequestKey, Lease),
    /// The key's earlier request was answered; replay its stored answer.
    Replay(RequestKey, Stored),
    /// The request is refused.
    Refuse(RequestKey, Refusal, Execution),
    /// The request is refused; the call undoes a write of it that may still be committed.
    RefuseAndUndo(RequestKey, TableOp, TableRequest),
    /// The claim needs no further call.
    Closed,
}

/// All claims that this router acquires or closes.
#[derive(Debug, Default)]
pub struct Claims {
    last: u64,
    ops: BTreeMap<TableOp, Op>,
    stopping: bool,
}

/// Returns the pause before call number `calls`.
fn backoff(calls: u32) -> Duration {
    let factor = 2_u32.saturating_pow(calls.saturating_sub(1).min(16));
    MIN_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF)
}

impl Acquire {
    fn write(&self) -> TableRequest {
        self.lease.write(State::Held)
    }
}

impl Lease {
    fn write(&self, state: State) -> TableRequest {
        TableRequest::Write {
            key: self.key.clone(),
            version: self.version,
            row: Row {
                holder: self.holder,
                attempt: self.attempt,
                digest: self.digest,
                state,
            },
        }
    }
}

impl Claims {
    /// Creates an empty set of claims.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of claims being closed.
    #[must_use]
    pub fn closing(&self) -> usize {
        self.ops
            .values()
            .filter(|op| matches!(op, Op::Close(_)))
            .count()
    }

    /// Limits the retries of closing claims, because the router stops.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    fn next_op(&mut self) -> TableOp {
        self.last += 1;
        TableOp(self.last)
    }

    /// Starts to acquire the claim of `key` for `request`; returns the first table call.
    pub fn acquire(
        &mut self,
        router: RouterId,
        incarnation: Incarnation,
        request: RequestKey,
        workspace: WorkspaceId,
        key: &Key,
    ) -> (TableOp, TableRequest) {
        let op = self.next_op();
        let holder = Holder {
            router,
            incarnation,
            number: op.0,
        };
        let lease = Lease {
            key: RowKey {
                workspace,
                name: key.name.clone(),
            },
            holder,
            digest: key.digest,
            attempt: 1,
            version: 0,
        };
        let acquire = Acquire {
            request,
            lease,
            maybe_written: false,
            writing: true,
            calls: 1,
        };
        let call = acquire.write();
        self.ops.insert(op, Op::Acquire(acquire));
        (op, call)
    }

    /// Aborts acquiring a claim; returns the table call that undoes a possible write.
    pub fn abandon(&mut self, op: TableOp) -> Option<(TableOp, TableRequest)> {
        let Some(Op::Acquire(acquire)) = self.ops.remove(&op) else {
            return None;
        };
        // Releasing the claim raises the row's version, so a write still in
        // flight, which expects the old version, fails if it arrives later.
        Some(self.close(acquire.lease, State::Released))
    }

    /// Starts to close a claim in `state`; returns the first table call.
    pub fn close(&mut self, lease: Lease, state: State) -> (TableOp, TableRequest) {
        let op = self.next_op();
        let call = lease.write(state.clone());
        if self.closing() >= MAX_CLOSING {
            self.drop_oldest();
        }
        let close = Close {
            lease,
            state,
            calls: 1,
        };
        self.ops.insert(op, Op::Close(close));
        (op, call)
    }

    /// Drops the oldest claim being closed, whose row then stays held.
    fn drop_oldest(&mut self) {
        let oldest = self
            .ops
            .iter()
            .find(|(_, op)| matches!(op, Op::Close(_)))
            .map(|(id, _)| *id);
        if let Some(oldest) = oldest {
            self.ops.remove(&oldest);
        }
    }

    /// Handles a response of the table.
    pub fn answer(&mut self, op: TableOp, answer: TableAnswer) -> Step {
        match self.ops.remove(&op) {
            Some(Op::Acquire(acquire)) => self.handle_acquire(op, acquire, answer),
            Some(Op::Close(close)) => self.handle_close(op, close, answer),
            None => Step::Closed,
        }
    }

    /// Resumes a claim after a pause.
    pub fn resume(&mut self, op: TableOp) -> Step {
        let call = match self.ops.get_mut(&op) {
            Some(Op::Acquire(acquire)) => {
                acquire.writing = false;
                TableRequest::Read(acquire.lease.key.clone())
            }
            Some(Op::Close(close)) => close.lease.write(close.state.clone()),
            None => return Step::Closed,
        };
        Step::Call(op, call)
    }

    fn handle_acquire(&mut self, op: TableOp, mut acquire: Acquire, answer: TableAnswer) -> Step {
        match answer {
            TableAnswer::Written => {
                acquire.lease.version += 1;
                Step::Held(acquire.request, acquire.lease)
            }
            TableAnswer::Conflict(Some(found)) | TableAnswer::Found(Some(found)) => {
                self.evaluate_row(op, acquire, found)
            }
            TableAnswer::Conflict(None) | TableAnswer::Found(None) => {
                acquire.lease.version = 0;
                acquire.lease.attempt = 1;
                self.retry_write(op, acquire)
            }
            TableAnswer::Unsent if !acquire.maybe_written => {
                Step::Refuse(acquire.request, Refusal::NoClaim, Execution::NotRun)
            }
            TableAnswer::Unsent => self.back_off(op, acquire),
            TableAnswer::Lost => {
                acquire.maybe_written |= acquire.writing;
                if std::mem::take(&mut acquire.writing) && acquire.maybe_written {
                    return self.read_back(op, acquire);
                }
                self.back_off(op, acquire)
            }
        }
    }

    /// Decides by the row found in the table.
    fn evaluate_row(&mut self, op: TableOp, mut acquire: Acquire, found: Versioned) -> Step {
        let request = acquire.request;
        let row = found.row;
        if row.holder == acquire.lease.holder && row.state == State::Held {
            acquire.lease.version = found.version;
            acquire.lease.attempt = row.attempt;
            return Step::Held(request, acquire.lease);
        }
        if row.state == State::Released {
            acquire.lease.version = found.version;
            acquire.lease.attempt = row.attempt + 1;
            return self.retry_write(op, acquire);
        }
        if row.digest != acquire.lease.digest {
            return Step::Refuse(request, Refusal::KeyReused, Execution::NotRun);
        }
        match row.state {
            State::Answered(Some(stored)) => Step::Replay(request, stored),
            State::Answered(None) => {
                Step::Refuse(request, Refusal::AlreadyRun, Execution::AlreadyRun)
            }
            State::Failed => Step::Refuse(request, Refusal::AlreadyRun, Execution::Failed),
            State::Held | State::Released | State::Unknown => {
                Step::Refuse(request, Refusal::KeyInDoubt, Execution::Unknown)
            }
        }
    }

    fn retry_write(&mut self, op: TableOp, mut acquire: Acquire) -> Step {
        if acquire.calls >= MAX_ACQUIRE_CALLS {
            return self.fail(acquire);
        }
        acquire.calls += 1;
        acquire.writing = true;
        let call = acquire.write();
        self.ops.insert(op, Op::Acquire(acquire));
        Step::Call(op, call)
    }

    fn read_back(&mut self, op: TableOp, mut acquire: Acquire) -> Step {
        if acquire.calls >= MAX_ACQUIRE_CALLS {
            return self.fail(acquire);
        }
        acquire.calls += 1;
        acquire.writing = false;
        let call = TableRequest::Read(acquire.lease.key.clone());
        self.ops.insert(op, Op::Acquire(acquire));
        Step::Call(op, call)
    }

    fn back_off(&mut self, op: TableOp, mut acquire: Acquire) -> Step {
        if acquire.calls >= MAX_ACQUIRE_CALLS {
            return self.fail(acquire);
        }
        acquire.calls += 1;
        let pause = backoff(acquire.calls);
        self.ops.insert(op, Op::Acquire(acquire));
        Step::Pause(op, pause)
    }

    fn fail(&mut self, acquire: Acquire) -> Step {
        let request = acquire.request;
        if !acquire.maybe_written {
            return Step::Refuse(request, Refusal::NoClaim, Execution::NotRun);
        }
        let (op, call) = self.close(acquire.lease, State::Released);
        Step::RefuseAndUndo(request, op, call)
    }

    fn handle_close(&mut self, op: TableOp, mut close: Close, answer: TableAnswer) -> Step {
        match answer {
            TableAnswer::Conflict(Some(found)) | TableAnswer::Found(Some(found)) => {
                let own = found.row.holder == close.lease.holder;
                if !own || found.row.state != State::Held {
                    return Step::Closed;
                }
                close.lease.version = found.version;
                close.calls += 1;
                let call = close.lease.write(close.state.clone());
                self.ops.insert(op, Op::Close(close));
                Step::Call(op, call)
            }
            TableAnswer::Unsent | TableAnswer::Lost => {
                let max_calls = if self.stopping {
                    MAX_CLOSE_CALLS_STOPPING
                } else {
                    MAX_CLOSE_CALLS
                };
                if close.calls >= max_calls {
                    return Step::Closed;
                }
                close.calls += 1;
                let pause = backoff(close.calls);
                self.ops.insert(op, Op::Close(close));
                Step::Pause(op, pause)
            }
            TableAnswer::Written | TableAnswer::Conflict(None) | TableAnswer::Found(None) => {
                Step::Closed
            }
        }
    }
}
