//! Service given to each flow, and the normalised service that orders flows.
//!
//! A dispatcher charges its own grants immediately. Once per period it learns the service given by
//! other dispatchers from the account holder of the flow. Counters are cumulative per dispatcher
//! incarnation, so lost, repeated or reordered messages don't falsify the sums.
//!
//! * [`Accounts`]: the flows of one dispatcher, each with its [`Tag`];
//! * [`RemoteCost`]: service given by other dispatchers, with bounded changes;
//! * [`Ledger`]: sums over all dispatchers, at the account holder.

mod accounts;
mod ledger;
mod others;

use std::cmp::Ordering;

use hibiscusrail_macros::value;

pub use accounts::Accounts;
pub use ledger::Ledger;
pub use others::RemoteCost;

/// Number of periods in which a changed counter is sent, so that a lost message does no harm.
pub const SEND_PERIODS: u32 = 3;

/// Normalised service of a flow, in cost units per unit of share; the lowest is served first.
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
