//! The record of every run at one stand-in server.

use std::cell::RefCell;
use std::collections::BTreeMap;

use hibiscusrail_macros::record;
use serde::{Deserialize, Serialize};

/// One run of a request.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Request id.
    pub request: String,
    /// Workspace, as the caller's load tool names it in a header.
    pub workspace: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// When it was admitted, in milliseconds since the epoch.
    pub start_ms: u64,
    /// When it ended.
    pub end_ms: Option<u64>,
    /// Tokens generated, or one for a plain call.
    pub work: u64,
    /// Whether it ran to its end.
    pub complete: bool,
    /// Requests at the server when this one was admitted, itself included.
    pub running: u32,
    /// Requests the server could bear at that time.
    pub bearable: u32,
}

/// All runs of one server.
#[derive(Debug, Default)]
pub struct Runs {
    runs: RefCell<BTreeMap<u64, Run>>,
}

impl Runs {
    /// Adds a run and returns its number.
    pub fn begin(&self, run: Run) -> u64 {
        let mut runs = self.runs.borrow_mut();
        let number = runs.len() as u64;
        runs.insert(number, run);
        number
    }

    /// Changes a run.
    pub fn update(&self, number: u64, change: impl FnOnce(&mut Run)) {
        if let Some(run) = self.runs.borrow_mut().get_mut(&number) {
            change(run);
        }
    }

    /// Returns all runs.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.runs.borrow().values().cloned().collect()
    }
}
