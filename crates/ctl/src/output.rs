//! Reports on standard output, for people or as JSON.

use std::fmt::Display;

use hibiscusrail_macros::id;
use serde::Serialize;

/// How a report is printed.
#[id]
pub enum Format {
    /// For people.
    Text,
    /// One JSON document.
    Json,
}

impl Format {
    /// Returns the format that the `--json` flag asks for.
    #[must_use]
    pub fn new(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }

    /// Prints a report.
    ///
    /// # Panics
    ///
    /// When the report can't be serialised; reports of the project always can.
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
