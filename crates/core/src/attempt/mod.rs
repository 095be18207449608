//! What becomes of one try of a request at one server.
//!
//! The life cycle is a typestate: an [`Attempt`] is [`Unsent`], then [`Sent`],
//! then [`Answering`], and each state offers only the ends that are true in
//! it. *Not run* is concluded from [`Unsent`], or from [`Sent`] when the server
//! refused admission or the connection hands the unwritten request back. The
//! proof of it, [`NotRun`], can't be made elsewhere:
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
