//! Exit codes that scripts can rely on.

use std::process::ExitCode;

use hibiscusrail_macros::id;

/// How a command ended.
#[id]
pub enum Exit {
    /// Done.
    Done,
    /// It failed, and changed nothing.
    Failed,
    /// The command line or a file named on it is wrong.
    Usage,
    /// A ticket was rejected, or the router is not ready.
    Rejected,
    /// What was asked for does not exist.
    NotFound,
    /// It may or may not have taken effect.
    Unknown,
}

impl Exit {
    /// Returns the process's exit code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Rejected => 3,
            Self::NotFound => 4,
            Self::Unknown => 5,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
