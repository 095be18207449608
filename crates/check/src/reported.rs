//! Findings that a daemon has logged.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::finding::Finding;

/// Maximum number of findings that are logged at one load, so that a configuration full of mistakes
/// does not crowd out other lines of a log that is limited to some 200 a second.
const MAX_LOGGED: usize = 50;

/// Hashes of the findings that were logged and still stand.
#[derive(Debug, Default)]
pub struct Reported(BTreeSet<u64>);

impl Reported {
    /// Returns the findings to be logged: those that were not logged yet, up to a bound. The others
    /// remain for the next load. A finding that was gone meanwhile is logged again.
    pub fn select(&mut self, mut findings: Vec<Finding>) -> Vec<Finding> {
        let before = std::mem::take(&mut self.0);
        let mut left = MAX_LOGGED;
        findings.retain(|finding| {
            let mut hasher = DefaultHasher::new();
            finding.hash(&mut hasher);
            let hash = hasher.finish();
            if before.contains(&hash) {
                self.0.insert(hash);
                return false;
            }
            let is_new = left > 0 && self.0.insert(hash);
            left -= usize::from(is_new);
            is_new
        });
        findings
    }
}
