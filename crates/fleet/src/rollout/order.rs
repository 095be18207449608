//! Orders of the operator to roll out a version, and the status that the routers record.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscusrail_macros::{id, record, value};
use serde::{Deserialize, Serialize};

/// Bounds on rollouts, from the deployment's settings.
#[value]
pub struct Bounds {
    /// Greatest fraction of a service's requests that a bad version may get.
    pub share: f64,
    /// Requests that it may get in addition, from all routers together.
    pub slack: f64,
    /// Time after the 50th bad response from which it gets no request.
    pub rollback: Duration,
    /// Greatest difference between the clocks of two hosts.
    pub max_skew: Duration,
}

/// Order to roll out a version of a service.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Version of the order's row; with `to` it identifies the order.
    pub version: u64,
    /// Software version to roll out; none if the row can't be read.
    pub to: Option<String>,
    /// Time within which the rollout has to end.
    pub duration: Duration,
}

/// State of a rollout.
#[id]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The new version gets a bounded part of the requests.
    InProgress,
    /// The new version is in service; final.
    Completed,
    /// The old version stays in service; final.
    Reverted,
}

impl State {
    /// Returns whether the state never changes for its order.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::InProgress
    }

    /// Returns the name for log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
        }
    }
}

/// Status of a rollout, as recorded in the store.
#[record]
pub struct Status {
    /// Version of the order's row.
    pub order: u64,
    /// Software version that is rolled out.
    pub to: String,
    /// State of the rollout.
    pub state: State,
    /// Why it is in that state.
    pub reason: String,
    /// When the order was first known, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Versions whose rollout was replaced before it was completed, so that a router that starts
    /// later sends them nothing either.
    pub barred: BTreeSet<String>,
}

/// Call to the store that a router should make for a rollout.
#[record]
pub struct Proposal {
    /// Name of the service.
    pub service: String,
    /// Version of the order's row.
    pub order: u64,
    /// Status to write unless the row has a final one of the order; none to read it only.
    pub status: Option<Status>,
}
