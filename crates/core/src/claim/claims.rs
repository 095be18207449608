//! The reducer of claims: from a call of the table to the next.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::effect::{Execution, Refusal};
use crate::ids::{Incarnation, RequestKey, RouterId, TableOp, WorkspaceId};

use super::row::{Answer, Holder, Key, Request, Row, RowKey, State, Stored, Versioned};

/// Calls of the table for one claim before the request is refused.
const ACQUIRE_TRIES: u32 = 6;
/// Calls of the table to close one claim before the row is left as it is.
const CLOSE_TRIES: u32 = 120;
/// The same while the router stops.
const STOPPING_TRIES: u32 = 3;
/// Pause before the first retry of a call of the table; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two retries of a call of the table.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Claims that wait to be closed at most; each holds a stored answer at most.
const CLOSES: usize = 1_024;

/// The right to run a request, held until it is closed.
///
/// It is neither `Copy` nor `Clone`, so that it is closed once.
#[derive(Debug)]
pub struct Lease {
    key: RowKey,
    holder: Holder,
    digest: u64,
    attempt: u32,
    version: u64,
}

impl Lease {
    /// Returns how often the key was claimed, this time included.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }
}

/// A claim that is being made.
#[derive(Debug)]
struct Acquire {
    request: RequestKey,
    lease: Lease,
    doubt: bool,
    writing: bool,
    tries: u32,
}

/// A claim that is being closed.
#[derive(Debug)]
struct Close {
    lease: Lease,
    goal: State,
    tries: u32,
}

#[derive(Debug)]
enum Op {
    Acquire(Acquire),
    Close(Close),
}

/// What follows from an answer of the table.
#[derive(Debug)]
pub enum Verdict {
    /// Call the table now.
    Ask(TableOp, Request),
    /// Call [`Claims::resume`] after a pause.
    Pause(TableOp, Duration),
    /// The request may be dispatched.
    Held(RequestKey, Lease),
    /// An earlier request with the key was answered so.
    Replay(RequestKey, Stored),
    /// The request is refused.
    Refuse(RequestKey, Refusal, Execution),
    /// The request is refused; a write of it may yet land and is being undone.
    RefuseAndUndo(RequestKey, TableOp, Request),
    /// Nothing more is to be done.
    Closed,
}

/// All claims that this router makes or closes.
#[derive(Debug, Default)]
pub struct Claims {
    last: u64,
    ops: BTreeMap<TableOp, Op>,
    stopping: bool,
}

/// Returns the pause before try number `tries`.
fn pause(tries: u32) -> Duration {
    let factor = 2_u32.saturating_pow(tries.saturating_sub(1).min(16));
    FIRST_PAUSE.saturating_mul(factor).min(LONGEST_PAUSE)
}

impl Acquire {
    fn write(&self) -> Request {
        self.lease.write(State::Held)
    }
}

impl Lease {
    fn write(&self, state: State) -> Request {
        Request::Write {
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
    /// Creates the state of a router that makes no claim.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many claims are being closed.
    #[must_use]
    pub fn closing(&self) -> usize {
        self.ops
            .values()
            .filter(|op| matches!(op, Op::Close(_)))
            .count()
    }

    /// Shortens the closing of claims, as the router stops.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    fn next_op(&mut self) -> TableOp {
        self.last += 1;
        TableOp(self.last)
    }

    /// Begins to claim `key` for `request`.
    pub fn acquire(
        &mut self,
        router: RouterId,
        incarnation: Incarnation,
        request: RequestKey,
        workspace: WorkspaceId,
        key: &Key,
    ) -> (TableOp, Request) {
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
            doubt: false,
            writing: true,
            tries: 1,
        };
        let question = acquire.write();
        self.ops.insert(op, Op::Acquire(acquire));
        (op, question)
    }

    /// Gives up a claim that is being made; undoes what may have been written.
    pub fn abandon(&mut self, op: TableOp) -> Option<(TableOp, Request)> {
        let Some(Op::Acquire(acquire)) = self.ops.remove(&op) else {
            return None;
        };
        // Raising the row above the version that the write in flight names
        // makes that write fail when it comes late.
        Some(self.close(acquire.lease, State::Released))
    }

    /// Begins to close a claim with what became of the run.
    pub fn close(&mut self, lease: Lease, goal: State) -> (TableOp, Request) {
        let op = self.next_op();
        let question = lease.write(goal.clone());
        if self.closing() >= CLOSES {
            self.drop_oldest();
        }
        let close = Close {
            lease,
            goal,
            tries: 1,
        };
        self.ops.insert(op, Op::Close(close));
        (op, question)
    }

    /// Forgets the oldest claim that is being closed: its row stays held.
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

    /// Takes in an answer of the table.
    pub fn answer(&mut self, op: TableOp, answer: Answer) -> Verdict {
        match self.ops.remove(&op) {
            Some(Op::Acquire(acquire)) => self.acquiring(op, acquire, answer),
            Some(Op::Close(close)) => self.closing_answer(op, close, answer),
            None => Verdict::Closed,
        }
    }

    /// Goes on after a pause.
    pub fn resume(&mut self, op: TableOp) -> Verdict {
        let question = match self.ops.get_mut(&op) {
            Some(Op::Acquire(acquire)) => {
                acquire.writing = false;
                Request::Read(acquire.lease.key.clone())
            }
            Some(Op::Close(close)) => close.lease.write(close.goal.clone()),
            None => return Verdict::Closed,
        };
        Verdict::Ask(op, question)
    }

    fn acquiring(&mut self, op: TableOp, mut acquire: Acquire, answer: Answer) -> Verdict {
        match answer {
            Answer::Written => {
                acquire.lease.version += 1;
                Verdict::Held(acquire.request, acquire.lease)
            }
            Answer::Conflict(Some(found)) | Answer::Found(Some(found)) => {
                self.judge(op, acquire, found)
            }
            Answer::Conflict(None) | Answer::Found(None) => {
                acquire.lease.version = 0;
                acquire.lease.attempt = 1;
                self.write_again(op, acquire)
            }
            Answer::Unsent if !acquire.doubt => {
                Verdict::Refuse(acquire.request, Refusal::NoClaim, Execution::NotRun)
            }
            Answer::Unsent => self.wait(op, acquire),
            Answer::Lost => {
                acquire.doubt |= acquire.writing;
                if std::mem::take(&mut acquire.writing) && acquire.doubt {
                    return self.read_back(op, acquire);
                }
                self.wait(op, acquire)
            }
        }
    }

    /// Decides by the row that stands in the table.
    fn judge(&mut self, op: TableOp, mut acquire: Acquire, found: Versioned) -> Verdict {
        let request = acquire.request;
        let row = found.row;
        if row.holder == acquire.lease.holder && row.state == State::Held {
            acquire.lease.version = found.version;
            acquire.lease.attempt = row.attempt;
            return Verdict::Held(request, acquire.lease);
        }
        if row.state == State::Released {
            acquire.lease.version = found.version;
            acquire.lease.attempt = row.attempt + 1;
            return self.write_again(op, acquire);
        }
        if row.digest != acquire.lease.digest {
            return Verdict::Refuse(request, Refusal::KeyReused, Execution::NotRun);
        }
        match row.state {
            State::Answered(Some(stored)) => Verdict::Replay(request, stored),
            State::Answered(None) => {
                Verdict::Refuse(request, Refusal::AlreadyRun, Execution::AlreadyRun)
            }
            State::Failed => Verdict::Refuse(request, Refusal::AlreadyRun, Execution::Failed),
            State::Held | State::Released | State::Unknown => {
                Verdict::Refuse(request, Refusal::KeyInDoubt, Execution::Unknown)
            }
        }
    }

    fn write_again(&mut self, op: TableOp, mut acquire: Acquire) -> Verdict {
        if acquire.tries >= ACQUIRE_TRIES {
            return self.give_up(acquire);
        }
        acquire.tries += 1;
        acquire.writing = true;
        let question = acquire.write();
        self.ops.insert(op, Op::Acquire(acquire));
        Verdict::Ask(op, question)
    }

    fn read_back(&mut self, op: TableOp, mut acquire: Acquire) -> Verdict {
        if acquire.tries >= ACQUIRE_TRIES {
            return self.give_up(acquire);
        }
        acquire.tries += 1;
        acquire.writing = false;
        let question = Request::Read(acquire.lease.key.clone());
        self.ops.insert(op, Op::Acquire(acquire));
        Verdict::Ask(op, question)
    }

    fn wait(&mut self, op: TableOp, mut acquire: Acquire) -> Verdict {
        if acquire.tries >= ACQUIRE_TRIES {
            return self.give_up(acquire);
        }
        acquire.tries += 1;
        let wait = pause(acquire.tries);
        self.ops.insert(op, Op::Acquire(acquire));
        Verdict::Pause(op, wait)
    }

    fn give_up(&mut self, acquire: Acquire) -> Verdict {
        let request = acquire.request;
        if !acquire.doubt {
            return Verdict::Refuse(request, Refusal::NoClaim, Execution::NotRun);
        }
        let (op, question) = self.close(acquire.lease, State::Released);
        Verdict::RefuseAndUndo(request, op, question)
    }

    fn closing_answer(&mut self, op: TableOp, mut close: Close, answer: Answer) -> Verdict {
        match answer {
            Answer::Conflict(Some(found)) | Answer::Found(Some(found)) => {
                let own = found.row.holder == close.lease.holder;
                if !own || found.row.state != State::Held {
                    return Verdict::Closed;
                }
                close.lease.version = found.version;
                close.tries += 1;
                let question = close.lease.write(close.goal.clone());
                self.ops.insert(op, Op::Close(close));
                Verdict::Ask(op, question)
            }
            Answer::Unsent | Answer::Lost => {
                let tries = if self.stopping {
                    STOPPING_TRIES
                } else {
                    CLOSE_TRIES
                };
                if close.tries >= tries {
                    return Verdict::Closed;
                }
                close.tries += 1;
                let wait = pause(close.tries);
                self.ops.insert(op, Op::Close(close));
                Verdict::Pause(op, wait)
            }
            Answer::Written | Answer::Conflict(None) | Answer::Found(None) => Verdict::Closed,
        }
    }
}
