//! Checks of the configuration objects that change tickets create.
//!
//! Like those of an operator configuration they take time that grows with the number of objects times
//! its logarithm.

use std::collections::{BTreeMap, BTreeSet};

use hibiscusrail_core::configuration::{Configuration, Workspace};

use crate::finding::{Finding, Kind, Place};

/// Returns the findings of the objects in force.
#[must_use]
pub fn check_objects(config: &Configuration) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut holders: BTreeMap<&[u8; 32], &Workspace> = BTreeMap::new();
    for (_, workspace) in config.workspaces() {
        let holder = *holders.entry(&workspace.key_hash).or_insert(workspace);
        if holder.name != workspace.name {
            let text = format!(
                "workspace {} holds the same key, and requests with it count as those of one of them",
                holder.name
            );
            let place = Place::Workspace(workspace.name.clone());
            findings.push(Finding::new(Kind::SharedKey, place, text));
        }
    }
    let mut served = BTreeSet::new();
    for (_, server) in config.servers() {
        served.insert(server.service);
        if config.service(server.service).is_none() {
            let text = "its service does not exist, so no request reaches it";
            let place = Place::Server(server.name.clone());
            findings.push(Finding::new(Kind::UnknownService, place, text));
        }
    }
    for (id, service) in config.services() {
        if !served.contains(&id) {
            let place = Place::Service(service.name.clone());
            let text = "it has no server, so its requests can't be served";
            findings.push(Finding::new(Kind::ServiceWithoutServer, place, text));
        }
    }
    findings
}
