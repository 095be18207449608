//! Attempts: the life cycle of a request sent to one server.
//!
//! The life cycle is a typestate: an [`Attempt`] is [`Unsent`], then [`Sent`], then [`Answering`],
//! and each state offers only the outcomes that are possible in it. The outcome *not run* follows
//! from [`Unsent`], or from [`Sent`] when the server refused admission or the connection returned
//! the request unwritten. Its proof, [`NotRun`], can't be constructed outside this module:
//!
//! ```
//! use hibiscusrail_core::attempt::{Attempt, Ended, Unsent};
//!
//! fn mark(attempt: Attempt<Unsent>) -> Ended {
//!     attempt.abandon()
//! }
//! ```
//!
//! ```compile_fail
//! use hibiscusrail_core::attempt::{Answering, Attempt, Ended};
//!
//! fn mark(attempt: Attempt<Answering>) -> Ended {
//!     attempt.abandon()
//! }
//! ```
//!
//! ```compile_fail
//! use hibiscusrail_core::attempt::{Outcome, NotRun};
//!
//! let forged = Outcome::NotRun(NotRun(()));
//! ```

mod history;
mod running;
mod state;

pub use history::History;
pub use running::Running;
pub use state::{Answering, Attempt, Ended, Facts, NotRun, Outcome, Sent, Unsent};
