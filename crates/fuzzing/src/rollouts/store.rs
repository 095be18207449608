//! Status row of a rollout in a store that executes calls late and loses responses.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::rollout::order::{Proposal, Status};
use hibiscusrail_macros::value;

/// Time that a call takes at a store without faults.
pub(super) const CALL_TIME: Duration = Duration::from_millis(10);
/// Time after which a router gives up waiting for a call.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Versions of the rows that a write expects.
#[value]
pub(super) struct Expected {
    pub(super) status: u64,
    pub(super) order: Option<u64>,
}

/// Call of a router.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) router: usize,
    pub(super) incarnation: u64,
    pub(super) proposal: Proposal,
    /// When it was sent and when it is executed.
    pub(super) sent: Instant,
    pub(super) due: Instant,
    /// Whether the response is lost.
    pub(super) is_lost: bool,
    /// What a write expects; none of a read.
    pub(super) expected: Option<Expected>,
}

/// Row and calls that are not executed yet.
#[derive(Debug, Default)]
pub struct Store {
    /// Version of the order's row.
    pub(super) order: Option<u64>,
    pub(super) version: u64,
    pub(super) status: Option<Status>,
    calls: Vec<Call>,
}

impl Store {
    pub(super) fn send(&mut self, call: Call) {
        self.calls.push(call);
    }

    /// Takes the calls that are executed now, in the order in which they are due.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<Call> {
        let mut due: Vec<Call> = self.calls.extract_if(.., |c| c.due <= now).collect();
        due.sort_by_key(|c| c.due);
        due
    }

    pub(super) fn versions(&self) -> Expected {
        Expected {
            status: self.version,
            order: self.order,
        }
    }

    /// Writes a status if the rows are as expected; returns whether they were.
    pub(super) fn write(&mut self, status: &Status, expected: Expected) -> bool {
        if self.versions() != expected {
            return false;
        }
        self.version += 1;
        self.status = Some(status.clone());
        true
    }
}
