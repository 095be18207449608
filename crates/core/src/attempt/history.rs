//! What all attempts of one request together say of its execution.

use hibiscusrail_macros::id;

use crate::effect::Execution;

use super::state::Outcome;

/// The execution of a request, over all of its attempts so far.
///
/// A request that may have run once is never again said not to have run,
/// whatever became of its later attempts.
#[id]
pub struct History(Execution);

impl Default for History {
    fn default() -> Self {
        Self::new()
    }
}

impl History {
    /// Returns the history of a request that was never dispatched.
    #[must_use]
    pub fn new() -> Self {
        Self(Execution::NotRun)
    }

    /// Adds the end of an attempt.
    pub fn add(&mut self, outcome: Outcome) {
        self.0 = match (self.0, outcome) {
            (Execution::Unknown, _) | (_, Outcome::Unknown) => Execution::Unknown,
            (so_far, Outcome::NotRun(_)) => so_far,
            (_, Outcome::Failed | Outcome::Answered) => Execution::Failed,
        };
    }

    /// Returns what is certain of the request's execution.
    #[must_use]
    pub fn execution(self) -> Execution {
        self.0
    }
}
