//! Steps of a fuzzing case, and their generator.

use hibiscusrail_macros::{id, record};
use proptest::collection::vec;
use proptest::prelude::*;

/// Exclusive upper bound on the number of steps of a case.
const STEPS_END: usize = 80;

/// Outcome of a table request.
#[id]
pub enum TableOutcome {
    /// The request is executed and answered.
    Answered,
    /// The request is executed, but the answer is lost.
    AnswerLost,
    /// The request is lost before it is executed.
    Lost,
    /// The request seems lost, but may be executed by a later [`Step::DelayedWrite`].
    Delayed,
    /// The table can't be reached.
    Unreachable,
    /// A write is executed and answered; a read returns the row before its last write.
    Stale,
}

/// What happens to an attempt at a server.
#[id]
pub enum Outcome {
    /// The connection can't be established.
    NoConnection,
    /// The request is sent, and the server starts to execute it.
    Run,
    /// The request is reported as sent, but the connection returns it before any byte is written.
    Unwritten,
    /// The request is sent, and the server rejects it without executing it.
    NotAdmitted,
    /// The request is sent and executed, and the connection breaks.
    Disconnect,
    /// A running request succeeds with status 200.
    Answer,
    /// A running request fails with status 500.
    Fail,
}

/// One step of a case. Indexes are taken modulo the number of candidates.
#[record]
pub enum Step {
    /// A caller submits a request.
    Submit {
        /// Index of the router.
        router: usize,
        /// Index of the key; `None` for a request without one.
        key: Option<usize>,
        /// Whether a request without a key is idempotent.
        idempotent: bool,
    },
    /// A pending table request ends.
    Table {
        /// Index among the pending table requests.
        index: usize,
        /// Outcome of the request.
        outcome: TableOutcome,
    },
    /// The delayed table request with this index is executed.
    DelayedWrite(usize),
    /// Something happens to an attempt at a server.
    Server {
        /// Index among the attempts.
        index: usize,
        /// What happens to the attempt.
        outcome: Outcome,
    },
    /// The caller of the call with this index, among all calls, disconnects.
    Hangup(usize),
    /// A router restarts and loses its state.
    Restart(usize),
    /// Time passes.
    Wait {
        /// Time in milliseconds.
        ms: u64,
    },
    /// A router starts to drain.
    Drain(usize),
}

fn table_outcome() -> impl Strategy<Value = TableOutcome> {
    prop_oneof![
        4 => Just(TableOutcome::Answered),
        2 => Just(TableOutcome::AnswerLost),
        1 => Just(TableOutcome::Lost),
        2 => Just(TableOutcome::Delayed),
        1 => Just(TableOutcome::Unreachable),
        1 => Just(TableOutcome::Stale),
    ]
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        1 => Just(Outcome::NoConnection),
        3 => Just(Outcome::Run),
        1 => Just(Outcome::Unwritten),
        1 => Just(Outcome::NotAdmitted),
        1 => Just(Outcome::Disconnect),
        3 => Just(Outcome::Answer),
        1 => Just(Outcome::Fail),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let submit = (any::<usize>(), any::<Option<usize>>(), any::<bool>()).prop_map(
        |(router, key, idempotent)| Step::Submit {
            router,
            key,
            idempotent,
        },
    );
    prop_oneof![
        5 => submit,
        8 => (any::<usize>(), table_outcome())
            .prop_map(|(index, outcome)| Step::Table { index, outcome }),
        2 => any::<usize>().prop_map(Step::DelayedWrite),
        6 => (any::<usize>(), outcome())
            .prop_map(|(index, outcome)| Step::Server { index, outcome }),
        1 => any::<usize>().prop_map(Step::Hangup),
        1 => any::<usize>().prop_map(Step::Restart),
        2 => (1_u64..8_000).prop_map(|ms| Step::Wait { ms }),
        1 => any::<usize>().prop_map(Step::Drain),
    ]
}

/// Returns a strategy for the steps of a case.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    vec(step(), 1..STEPS_END)
}
