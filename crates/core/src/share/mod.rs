//! Service given to each flow, and the normalised service that orders flows.
//!
//! A dispatcher charges its own grants at once and learns the service that
//! others gave from the account holder of the flow, once per period. Counters
//! are cumulative per dispatcher incarnation, so a lost, repeated or reordered
//! exchange leaves the sum right.
//!
//! * [`Accounts`]: the flows of one dispatcher, each with its [`Tag`];
//! * [`Others`]: service given by other dispatchers, guarded against jumps;
//! * [`Ledger`]: sums over all dispatchers, at the account holder.

mod accounts;
mod ledger;
mod others;

use std::cmp::Ordering;

use hibiscusrail_macros::value;

pub use accounts::Accounts;
pub use ledger::Ledger;
pub use others::Others;

/// Periods in which a changed counter is sent, so that losing one does no harm.
pub const SEND_PERIODS: u32 = 3;

/// Normalised service of a flow, in cost units per unit of share.
#[value]
pub struct Tag(pub f64);

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}
