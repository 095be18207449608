//! Combined execution result of all attempts of one request.

use hibiscusrail_macros::id;

use crate::effect::Execution;

use super::state::Outcome;

/// Execution result of a request, combined over all attempts that have ended so far.
///
/// Once a request may have run, it is never reported as not run, however later attempts end.
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

    /// Adds the outcome of an attempt.
    pub fn add(&mut self, outcome: Outcome) {
        self.0 = match (self.0, outcome) {
            (Execution::Unknown, _) | (_, Outcome::Unknown) => Execution::Unknown,
            (previous, Outcome::NotRun(_)) => previous,
            (_, Outcome::Failed | Outcome::Answered) => Execution::Failed,
        };
    }

    /// Returns the combined result.
    #[must_use]
    pub fn execution(self) -> Execution {
        self.0
    }
}
