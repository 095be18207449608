//! Logs the findings of the configuration in force.

use hibiscusrail_check::{Reported, check_objects};
use hibiscusrail_core::configuration::Configuration;

/// The findings that were logged, and the configuration that was checked last.
#[derive(Debug, Default)]
pub struct FindingLog {
    /// Digest of the configuration that was checked last.
    checked: Option<u64>,
    reported: Reported,
}

impl FindingLog {
    /// Checks the configuration unless it was checked last, and logs the findings that are new.
    ///
    /// Objects arrive a few at a time, so this is called at intervals and not for each of them.
    pub fn update(&mut self, config: &Configuration) {
        let digest = config.digest();
        if self.checked.replace(digest) == Some(digest) {
            return;
        }
        for finding in self.reported.select(check_objects(config)) {
            log::warn!(
                kind:? = finding.kind,
                place:% = finding.place,
                detail = finding.text.as_str();
                "config_finding"
            );
        }
    }
}
