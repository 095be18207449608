//! The record of every run at one stand-in server.

use std::cell::{Cell, RefCell};

use hibiscusrail_macros::record;
use serde::{Deserialize, Serialize};

use crate::http_util::{Whole, epoch_ms, query};

/// Runs in one answer at most.
const PAGE: usize = 5_000;

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
    /// When its first output was made.
    pub first_ms: Option<u64>,
    /// When it ended.
    pub end_ms: Option<u64>,
    /// Prompt tokens that were not found in the cache.
    pub prefill: u64,
    /// Tokens generated, or one for a plain call.
    pub work: u64,
    /// Whether it ran to its end.
    pub complete: bool,
    /// Requests at the server when this one was admitted, itself included.
    pub running: u32,
    /// Requests the server could bear at that time.
    pub bearable: u32,
}

impl Run {
    /// Creates the record of a run that was admitted now.
    #[must_use]
    pub fn new(request: &Whole, running: u32, bearable: u32) -> Self {
        let text = |name| crate::http_util::header_text(request.headers(), name);
        Self {
            request: text(crate::http_util::REQUEST_ID).unwrap_or_default(),
            workspace: text("x-workspace").unwrap_or_default(),
            key: text("idempotency-key"),
            start_ms: epoch_ms(),
            first_ms: None,
            end_ms: None,
            prefill: 0,
            work: 0,
            complete: false,
            running,
            bearable,
        }
    }

    /// Notes the end of the run.
    pub fn end(&mut self, complete: bool) {
        self.end_ms = Some(epoch_ms());
        self.complete = complete;
    }

    /// Returns whether the server held more than it could bear.
    #[must_use]
    pub fn overloaded(&self) -> bool {
        self.running > self.bearable
    }
}

/// A part of the record, `GET /runs?after=N`.
#[record]
#[derive(Serialize, Deserialize)]
pub struct RunPage {
    /// The runs from number `after` on.
    pub runs: Vec<Run>,
    /// The number to ask for next.
    pub next: usize,
    /// Whether more follow.
    pub more: bool,
    /// Requests refused so far because the server bore no more.
    pub refused: u64,
    /// The server's time of day in milliseconds since the epoch.
    pub now_ms: u64,
}

/// All runs of one server, in the order of admission.
#[derive(Debug, Default)]
pub struct Runs {
    runs: RefCell<Vec<Run>>,
    refused: Cell<u64>,
}

impl Runs {
    /// Adds a run and returns its number.
    pub fn begin(&self, run: Run) -> usize {
        let mut runs = self.runs.borrow_mut();
        runs.push(run);
        runs.len() - 1
    }

    /// Changes a run.
    pub fn update(&self, number: usize, change: impl FnOnce(&mut Run)) {
        if let Some(run) = self.runs.borrow_mut().get_mut(number) {
            change(run);
        }
    }

    /// Counts a request that was refused because the server bore no more.
    pub fn refuse(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Returns the requests refused because the server bore no more.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Returns all runs.
    #[must_use]
    pub fn all(&self) -> Vec<Run> {
        self.runs.borrow().clone()
    }

    /// Returns the runs admitted beyond what the server could bear.
    #[must_use]
    pub fn overloads(&self) -> usize {
        self.runs.borrow().iter().filter(|r| r.overloaded()).count()
    }

    /// Returns the part that `request` asks for.
    #[must_use]
    pub fn page(&self, request: &Whole) -> RunPage {
        let runs = self.runs.borrow();
        let after = query(request, "after").unwrap_or(0).min(runs.len());
        let next = (after + PAGE).min(runs.len());
        RunPage {
            runs: runs[after..next].to_vec(),
            next,
            more: next < runs.len(),
            refused: self.refused(),
            now_ms: epoch_ms(),
        }
    }
}
