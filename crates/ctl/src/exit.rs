//! Exit codes, which are a stable interface for scripts.

use std::process::ExitCode;

use hibiscusrail_macros::id;

/// Result of a command, as reported by the exit code.
#[id]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed without changing anything.
    Failed,
    /// A flag, an argument or a file named on the command line is invalid.
    Usage,
    /// A ticket was rejected, or the router is not ready.
    Rejected,
    /// The requested ticket does not exist.
    NotFound,
    /// The check of a configuration has findings.
    Findings,
    /// The outcome is unknown: the request may or may not have taken effect.
    Unknown,
}

impl Exit {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed | Self::Findings => 1,
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
