//! Report of a check for the operator.

use std::fmt;

use hibiscusrail_fleet::objects::OperatorConfig;
use hibiscusrail_macros::record;
use serde::Serialize;

use crate::change::{Change, changes};
use crate::deployment::{Known, check, check_version};
use crate::finding::Finding;

/// Findings of a configuration and its differences from the one in force.
#[record]
#[derive(Serialize)]
pub struct Report {
    /// The findings, first those of single fields.
    pub findings: Vec<Finding>,
    /// The differences; none without a configuration in force, or if the fields can't be read.
    pub changes: Option<Vec<Change>>,
}

impl Report {
    /// Creates the report of a configuration, of which `None` could not be decoded.
    #[must_use]
    pub fn new(
        mut findings: Vec<Finding>,
        config: Option<&OperatorConfig>,
        in_force: Option<&OperatorConfig>,
        known: &Known<'_>,
    ) -> Self {
        let Some(config) = config else {
            return Self {
                findings,
                changes: None,
            };
        };
        let versions = in_force.and_then(|c| c.deployment.as_ref());
        let versions = versions.zip(config.deployment.as_ref());
        findings.extend(versions.and_then(|(old, new)| check_version(old, new)));
        findings.extend(check(config, known));
        Self {
            findings,
            changes: in_force.map(|old| changes(Some(old), config)),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "findings: {}", self.findings.len())?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        if let Some(changes) = &self.changes {
            write!(f, "\nchanges from the version in force: {}", changes.len())?;
            for change in changes {
                write!(f, "\n  {change}")?;
            }
        }
        Ok(())
    }
}
