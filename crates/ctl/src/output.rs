//! Output of reports as text or JSON.

use std::fmt::Display;

use hibiscusrail_macros::id;
use serde::Serialize;

/// Output format of reports.
#[id]
pub enum Format {
    /// Human-readable text.
    Text,
    /// One JSON document.
    Json,
}

impl Format {
    /// Returns the format that the `--json` flag selects.
    #[must_use]
    pub fn new(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }

    /// Prints a report to standard output.
    ///
    /// # Panics
    ///
    /// Panics if the report can't be serialised, which is a bug in its type.
    pub fn print<R: Serialize + Display>(self, report: &R) {
        match self {
            Self::Text => println!("{report}"),
            Self::Json => {
                let text = serde_json::to_string_pretty(report);
                println!("{}", text.expect("reports serialise to JSON"));
            }
        }
    }
}
