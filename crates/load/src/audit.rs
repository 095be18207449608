//! Checks the results that callers got against the servers' own records of runs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hibiscusrail_macros::record;
use hibiscusrail_standin::runs::Run;
use serde::Serialize;

use crate::client::{CallerResult, Ending, Kind};

/// Violations of the guarantees to callers; each list holds request ids.
#[record]
#[derive(Serialize, Default)]
pub struct Audit {
    /// Requests that got a complete answer with wrong content.
    pub wrong: Vec<String>,
    /// Non-idempotent requests that ran more than once.
    pub doubled: Vec<String>,
    /// Requests that were refused as not run although a server ran them.
    pub false_not_run: Vec<String>,
    /// Requests that were answered although no server ran them to completion.
    pub not_run_answered: Vec<String>,
}

impl Audit {
    /// Checks `received` against the runs of all servers.
    #[must_use]
    pub fn new<'a>(received: &[CallerResult], runs: impl IntoIterator<Item = &'a Run>) -> Self {
        let mut by_id: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in runs {
            by_id.entry(&run.request).or_default().push(run);
        }
        let mut maybe_run = BTreeSet::new();
        let mut answered = BTreeSet::new();
        for r in received {
            if r.ending != Ending::NotRun {
                maybe_run.insert(r.id.as_str());
            }
            if r.ending == Ending::Right {
                answered.insert(r.id.as_str());
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
            if !maybe_run.contains(r.id.as_str()) && !runs.is_empty() {
                audit.false_not_run.push(r.id.clone());
            }
            if answered.contains(r.id.as_str()) && !runs.iter().any(|run| run.complete) {
                audit.not_run_answered.push(r.id.clone());
            }
        }
        audit
    }

    /// Returns the number of violations.
    #[must_use]
    pub fn violations(&self) -> usize {
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
