//! Log of all requests that one stand-in server processed.

use std::cell::{Cell, RefCell};

use hibiscusrail_macros::record;
use serde::{Deserialize, Serialize};

use crate::http_util::{BufferedRequest, epoch_ms, query_param};

/// Maximum number of runs in a [`RunPage`].
const MAX_PAGE_RUNS: usize = 5_000;

/// One execution of a request at a server.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Request id.
    pub request: String,
    /// Workspace, from a header that the load generator sets.
    pub workspace: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time of admission in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Time of the first output in milliseconds since the Unix epoch.
    #[serde(rename = "first_ms")]
    pub first_output_ms: Option<u64>,
    /// Time of the end in milliseconds since the Unix epoch.
    pub end_ms: Option<u64>,
    /// Number of prompt tokens that were not in the prefix cache.
    #[serde(rename = "prefill")]
    pub prefill_tokens: u64,
    /// Number of tokens generated; 1 for a completed plain call.
    #[serde(rename = "work")]
    pub output_tokens: u64,
    /// Whether the request was processed to its end.
    pub complete: bool,
    /// Number of requests at the server at admission, this one included.
    pub running: u32,
    /// Server capacity in requests at admission.
    #[serde(rename = "bearable")]
    pub capacity: u32,
}

impl Run {
    /// Creates the entry of a request that is admitted now.
    #[must_use]
    pub fn new(request: &BufferedRequest, running: u32, capacity: u32) -> Self {
        let header = |name| crate::http_util::header_str(request.headers(), name);
        Self {
            request: header(crate::http_util::REQUEST_ID).unwrap_or_default(),
            workspace: header("x-workspace").unwrap_or_default(),
            key: header("idempotency-key"),
            start_ms: epoch_ms(),
            first_output_ms: None,
            end_ms: None,
            prefill_tokens: 0,
            output_tokens: 0,
            complete: false,
            running,
            capacity,
        }
    }

    /// Records the end of the run.
    pub fn end(&mut self, complete: bool) {
        self.end_ms = Some(epoch_ms());
        self.complete = complete;
    }

    /// Returns whether the admission exceeded the server's capacity.
    #[must_use]
    pub fn overloaded(&self) -> bool {
        self.running > self.capacity
    }
}

/// A page of the run log, returned by `GET /runs?after=N`.
#[record]
#[derive(Serialize, Deserialize)]
pub struct RunPage {
    /// Runs from index `after` on.
    pub runs: Vec<Run>,
    /// Value of `after` for the next page.
    pub next: usize,
    /// Whether the log has more runs after this page.
    pub more: bool,
    /// Number of requests rejected so far because the server was at its capacity.
    pub refused: u64,
    /// Server's wall-clock time in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Log of all runs of one server, in the order of admission.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: RefCell<Vec<Run>>,
    rejected: Cell<u64>,
}

impl RunLog {
    /// Appends a run and returns its index.
    pub fn push(&self, run: Run) -> usize {
        let mut runs = self.runs.borrow_mut();
        runs.push(run);
        runs.len() - 1
    }

    /// Updates the run at `index`.
    pub fn update(&self, index: usize, change: impl FnOnce(&mut Run)) {
        if let Some(run) = self.runs.borrow_mut().get_mut(index) {
            change(run);
        }
    }

    /// Counts a request that was rejected because the server was at its capacity.
    pub fn count_rejected(&self) {
        self.rejected.set(self.rejected.get() + 1);
    }

    /// Returns the number of requests rejected because the server was at its capacity.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.rejected.get()
    }

    /// Returns all runs.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.runs.borrow().clone()
    }

    /// Returns the number of runs admitted above the server's capacity.
    #[must_use]
    pub fn overloaded_count(&self) -> usize {
        self.runs.borrow().iter().filter(|r| r.overloaded()).count()
    }

    /// Returns the page selected by the query of `request`.
    #[must_use]
    pub fn page(&self, request: &BufferedRequest) -> RunPage {
        let runs = self.runs.borrow();
        let after = query_param(request, "after").unwrap_or(0).min(runs.len());
        let next = (after + MAX_PAGE_RUNS).min(runs.len());
        RunPage {
            runs: runs[after..next].to_vec(),
            next,
            more: next < runs.len(),
            refused: self.rejected(),
            now_ms: epoch_ms(),
        }
    }
}
