//! Compares what callers saw with what servers did.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hibiscusrail_macros::record;
use hibiscusrail_standin::runs::Run;
use serde::Serialize;

use crate::client::{Ending, Kind, Received};

/// What went against the promises to callers.
#[record]
#[derive(Serialize, Default)]
pub struct Audit {
    /// Answers that look whole and are not the ones asked for.
    pub wrong: Vec<String>,
    /// Requests that may not run twice and did.
    pub doubled: Vec<String>,
    /// Requests refused as not run that a server ran.
    pub false_not_run: Vec<String>,
    /// Requests that were answered and that no server ran to the end.
    pub not_run_answered: Vec<String>,
}

impl Audit {
    /// Compares `received` with the runs of all servers.
    #[must_use]
    pub fn new<'a>(received: &[Received], runs: impl IntoIterator<Item = &'a Run>) -> Self {
        let mut by_id: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in runs {
            by_id.entry(&run.request).or_default().push(run);
        }
        let mut known = BTreeSet::new();
        let mut right = BTreeSet::new();
        for r in received {
            if r.ending != Ending::NotRun {
                known.insert(r.id.as_str());
            }
            if r.ending == Ending::Right {
                right.insert(r.id.as_str());
            }
        }
        let mut audit = Self::default();
        let mut seen = BTreeSet::new();
        for r in received {
            if r.ending == Ending::Wrong {
                audit.wrong.push(r.id.clone());
            }
            if !seen.insert(r.id.as_str()) {
                continue;
            }
            let runs = by_id.get(r.id.as_str()).map_or(&[][..], Vec::as_slice);
            if r.kind == Kind::Write && runs.len() > 1 {
                audit.doubled.push(r.id.clone());
            }
            if !known.contains(r.id.as_str()) && !runs.is_empty() {
                audit.false_not_run.push(r.id.clone());
            }
            if right.contains(r.id.as_str()) && !runs.iter().any(|run| run.complete) {
                audit.not_run_answered.push(r.id.clone());
            }
        }
        audit
    }

    /// Returns the number of broken promises.
    #[must_use]
    pub fn broken(&self) -> usize {
        self.wrong.len()
            + self.doubled.len()
            + self.false_not_run.len()
            + self.not_run_answered.len()
    }
}

impl fmt::Display for Audit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "wrong={} doubled={} false_not_run={} not_run_answered={}",
            self.wrong.len(),
            self.doubled.len(),
            self.false_not_run.len(),
            self.not_run_answered.len()
        )
    }
}
