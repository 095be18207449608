//! The steps of a run, and their generator.

use hibiscusrail_macros::{id, record};
use proptest::collection::vec;
use proptest::prelude::*;

/// Steps of one run at most.
const MAX_STEPS: usize = 80;

/// What becomes of a call of the table.
#[id]
pub enum TableFate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect; the answer is lost.
    AnswerLost,
    /// It is lost before it takes effect.
    Lost,
    /// It seems lost and takes effect later, or never.
    Late,
    /// The table can't be reached.
    Unreachable,
    /// It takes effect; a read sees the row as it was before.
    Stale,
}

/// What becomes of a dispatched request at its next step.
#[id]
pub enum Fate {
    /// The connection can't be made.
    NoConnection,
    /// It is sent, and the server runs it.
    Run,
    /// It is sent, and the connection hands it back unwritten.
    HandedBack,
    /// It is sent, and the server does not admit it.
    NotAdmitted,
    /// It is sent and run, and the connection breaks.
    Cut,
    /// A running request is answered.
    Answer,
    /// A running request is answered with a failure.
    Fail,
}

/// One step. Numbers choose among what there is, modulo its count.
#[record]
pub enum Step {
    /// A caller asks; a key is one of a few.
    Submit {
        /// Router.
        router: usize,
        /// Key, none for a request without.
        key: Option<usize>,
        /// Whether a request without a key is idempotent.
        idempotent: bool,
    },
    /// A call of the table goes on.
    Table {
        /// Which call.
        call: usize,
        /// What becomes of it.
        fate: TableFate,
    },
    /// A late write takes effect.
    LateWrite(usize),
    /// A dispatched request goes on.
    Server {
        /// Which.
        request: usize,
        /// What becomes of it.
        fate: Fate,
    },
    /// A caller hangs up.
    Hangup(usize),
    /// A router restarts with nothing in memory.
    Restart(usize),
    /// Time passes.
    Wait {
        /// Milliseconds.
        ms: u64,
    },
    /// A router is to stop gracefully.
    Drain(usize),
}

fn table_fate() -> impl Strategy<Value = TableFate> {
    prop_oneof![
        4 => Just(TableFate::Answered),
        2 => Just(TableFate::AnswerLost),
        1 => Just(TableFate::Lost),
        2 => Just(TableFate::Late),
        1 => Just(TableFate::Unreachable),
        1 => Just(TableFate::Stale),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        1 => Just(Fate::NoConnection),
        3 => Just(Fate::Run),
        1 => Just(Fate::HandedBack),
        1 => Just(Fate::NotAdmitted),
        1 => Just(Fate::Cut),
        3 => Just(Fate::Answer),
        1 => Just(Fate::Fail),
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
        8 => (any::<usize>(), table_fate()).prop_map(|(call, fate)| Step::Table { call, fate }),
        2 => any::<usize>().prop_map(Step::LateWrite),
        6 => (any::<usize>(), fate()).prop_map(|(request, fate)| Step::Server { request, fate }),
        1 => any::<usize>().prop_map(Step::Hangup),
        1 => any::<usize>().prop_map(Step::Restart),
        2 => (1_u64..8_000).prop_map(|ms| Step::Wait { ms }),
        1 => any::<usize>().prop_map(Step::Drain),
    ]
}

/// Returns a generator of runs.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    vec(step(), 1..MAX_STEPS)
}
