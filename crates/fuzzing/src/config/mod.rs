//! Stateful fuzzing of configuration and membership.
//!
//! Several routers' reducers exchange messages over a network that loses,
//! repeats, delays and reorders them, read a table that has outages and
//! answers with old data, and restart with nothing in memory, while operators
//! race one another with tickets. The oracle is the highest accepted version
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

/// Routers of the fleet.
pub const ROUTERS: usize = 5;
/// Objects that tickets touch.
pub const OBJECTS: usize = 8;
/// Highest number of a ticket.
const NUMBERS: u64 = 60;
/// Longest step of time in milliseconds.
const LONGEST_STEP_MS: u64 = 3_000;

/// Something that happens to the fleet.
#[record]
pub enum Action {
    /// An operator submits a ticket.
    Submit {
        /// Number of the ticket.
        number: u64,
        /// Tells operators with the same number apart.
        author: u8,
        /// Objects it touches.
        objects: Vec<usize>,
        /// Whether the answer is lost and the number read back.
        lost: bool,
    },
    /// A router reads the table.
    Poll {
        /// The router.
        router: usize,
        /// How many accepted tickets the answer lags behind.
        lag: usize,
        /// Whether it reads everything, or what changed.
        whole: bool,
    },
    /// The table goes out of service or comes back.
    Outage(bool),
    /// Time passes.
    Advance(Duration),
    /// A router restarts with nothing in memory.
    Restart(usize),
    /// Routers are cut off from the others, by bit mask.
    Cut(u8),
    /// How many of a hundred messages are lost, and how many repeated.
    Weather {
        /// Lost.
        loss: u8,
        /// Repeated.
        repeat: u8,
        /// Longest delay in milliseconds.
        delay_ms: u64,
    },
}

/// Returns a strategy for one action.
pub fn action() -> impl Strategy<Value = Action> {
    let objects = proptest::collection::vec(0..OBJECTS, 1..4);
    prop_oneof![
        4 => (1..NUMBERS, 0..3_u8, objects, any::<bool>()).prop_map(
            |(number, author, objects, lost)| Action::Submit { number, author, objects, lost }
        ),
        4 => (0..ROUTERS, 0..6_usize, any::<bool>())
            .prop_map(|(router, lag, whole)| Action::Poll { router, lag, whole }),
        1 => any::<bool>().prop_map(Action::Outage),
        6 => (1..LONGEST_STEP_MS).prop_map(|ms| Action::Advance(Duration::from_millis(ms))),
        1 => (0..ROUTERS).prop_map(Action::Restart),
        1 => any::<u8>().prop_map(Action::Cut),
        1 => (0..60_u8, 0..40_u8, 0..400_u64)
            .prop_map(|(loss, repeat, delay_ms)| Action::Weather { loss, repeat, delay_ms }),
    ]
}
