//! Stateful fuzzing of rollouts.
//!
//! The reducers of several routers in two zones serve requests while operators order rollouts of
//! good and bad versions. Routers are killed and restarted, a zone is cut off, and the store
//! refuses calls, executes them late or loses its responses. The [`Oracle`] checks how many
//! requests a version gets, and the states that the store records.

mod oracle;
mod store;
mod world;

use std::time::Duration;

use hibiscusrail_macros::{id, record};
use proptest::prelude::*;

pub use oracle::Oracle;
pub use store::Store;
pub use world::World;

/// Number of routers; every other one is in the second zone.
pub const ROUTERS: usize = 4;
/// Names of the versions that are rolled out.
const VERSIONS: [&str; 3] = ["v2", "v3", "v4"];
/// Exclusive upper bound on the time of one [`Step::Advance`], in milliseconds.
const MAX_ADVANCE_MS: u64 = 4_000;
/// Longest time that a late call takes, in milliseconds: above the time limit of a call.
const MAX_DELAY_MS: u64 = 4_000;

/// How the store handles the calls of a router.
#[id]
pub enum Link {
    /// Calls are executed and answered at once.
    Up,
    /// Calls fail and are not executed.
    Refused,
    /// Calls are executed, and their responses are lost.
    ResponsesLost,
    /// Calls are executed and answered after this time, in milliseconds, also when their router has
    /// given up waiting.
    Late(u64),
}

/// One step of a case.
#[record]
pub enum Step {
    /// Time passes, and requests are served.
    Advance(Duration),
    /// An operator orders the rollout of a version.
    Order {
        /// Index of the version's name.
        version: usize,
        /// Percentage of the version's responses that are failures.
        failures: u8,
        /// Whether its servers refuse connections instead of reporting a failure.
        refuses: bool,
    },
    /// A router's process is killed.
    Kill(usize),
    /// A router's process is started again.
    Restart(usize),
    /// The store handles the calls of the routers in this bit mask in another way.
    Store(u8, Link),
    /// The second zone is cut off from the first one and from the store, or no longer.
    Cut(bool),
}

/// Returns a strategy for one step.
pub fn step() -> impl Strategy<Value = Step> {
    let failures = prop_oneof![Just(0_u8), Just(30), Just(50), Just(100)];
    prop_oneof![
        6 => (100..MAX_ADVANCE_MS).prop_map(|ms| Step::Advance(Duration::from_millis(ms))),
        2 => (0..VERSIONS.len(), failures, any::<bool>())
            .prop_map(|(version, failures, refuses)| Step::Order { version, failures, refuses }),
        1 => (0..ROUTERS).prop_map(Step::Kill),
        1 => (0..ROUTERS).prop_map(Step::Restart),
        2 => (any::<u8>(), link()).prop_map(|(routers, link)| Step::Store(routers, link)),
        1 => any::<bool>().prop_map(Step::Cut),
    ]
}

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![
        2 => Just(Link::Up),
        1 => Just(Link::Refused),
        1 => Just(Link::ResponsesLost),
        1 => (100..MAX_DELAY_MS).prop_map(Link::Late),
    ]
}
