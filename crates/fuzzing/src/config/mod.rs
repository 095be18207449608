//! Stateful fuzzing of configuration and membership.
//!
//! Several routers' reducers exchange messages over a network that loses, duplicates, delays and
//! reorders them, read a table that has outages and returns stale data, and lose their state on
//! restarts, while operators submit conflicting tickets. The oracle is the highest accepted version
//! of each object.

mod fleet;
mod network;
mod table;

use std::time::Duration;

use hibiscusrail_macros::record;
use proptest::prelude::*;

pub use fleet::Fleet;
pub use network::Network;
pub use table::Table;

/// Number of routers in a fleet.
pub const ROUTERS: usize = 5;
/// Number of objects that tickets change.
pub const OBJECTS: usize = 8;
/// Exclusive upper bound on ticket numbers.
const TICKET_NUMBER_END: u64 = 60;
/// Exclusive upper bound on the time of one [`Action::Advance`], in milliseconds.
const MAX_STEP_MS: u64 = 3_000;

/// An action on the simulated fleet.
#[record]
pub enum Action {
    /// An operator submits a ticket.
    Submit {
        /// Number of the ticket.
        number: u64,
        /// Number of the operator who submits it.
        author: u8,
        /// Indexes of the objects that it changes.
        objects: Vec<usize>,
        /// Whether the answer is lost, so that the operator submits the ticket again.
        answer_lost: bool,
    },
    /// A router reads the table.
    Poll {
        /// Index of the router.
        router: usize,
        /// Number of the newest accepted tickets missing from the answer.
        lag: usize,
        /// Whether the objects are passed on as a full read rather than as changes.
        full: bool,
    },
    /// The table becomes unavailable (`true`) or available again (`false`).
    Outage(bool),
    /// Time passes.
    Advance(Duration),
    /// A router restarts and loses its state.
    Restart(usize),
    /// The routers in this bit mask are separated from the others.
    Partition(u8),
    /// The faults of the network change.
    Faults {
        /// Percentage of lost messages.
        loss: u8,
        /// Percentage of duplicated messages.
        duplicate: u8,
        /// Maximum delay in milliseconds.
        delay_ms: u64,
    },
}

/// Returns a strategy for one action.
pub fn action() -> impl Strategy<Value = Action> {
    let objects = proptest::collection::vec(0..OBJECTS, 1..4);
    prop_oneof![
        4 => (1..TICKET_NUMBER_END, 0..3_u8, objects, any::<bool>()).prop_map(
            |(number, author, objects, answer_lost)|
                Action::Submit { number, author, objects, answer_lost }
        ),
        4 => (0..ROUTERS, 0..6_usize, any::<bool>())
            .prop_map(|(router, lag, full)| Action::Poll { router, lag, full }),
        1 => any::<bool>().prop_map(Action::Outage),
        6 => (1..MAX_STEP_MS).prop_map(|ms| Action::Advance(Duration::from_millis(ms))),
        1 => (0..ROUTERS).prop_map(Action::Restart),
        1 => any::<u8>().prop_map(Action::Partition),
        1 => (0..60_u8, 0..40_u8, 0..400_u64)
            .prop_map(|(loss, duplicate, delay_ms)| Action::Faults { loss, duplicate, delay_ms }),
    ]
}
