//! Tickets that an experiment submits, and when routers put them in force.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hibiscusrail_ctl::submit::{Decided, submit};
use hibiscusrail_ctl::table::Table;
use hibiscusrail_standin::http_util::epoch_ms;
use hibiscusrail_store::ticket::Ticket;
use serde_json::Value;

use super::ExperimentError;
use crate::deployment::Deployment;

/// Author of the tickets.
const AUTHOR: &str = "experiment";

/// Submits a ticket with the given objects; returns when it was accepted.
///
/// # Errors
///
/// Fails when it is malformed or not accepted.
pub async fn change(
    deployment: &Deployment,
    number: u64,
    objects: &Value,
) -> Result<u64, ExperimentError> {
    let mut ticket = objects.clone();
    ticket["number"] = number.into();
    ticket["author"] = AUTHOR.into();
    let ticket: Ticket = serde_json::from_value(ticket)?;
    match submit(&Table::new(deployment.platform), &ticket).await? {
        Decided::Accepted { .. } => Ok(epoch_ms()),
        other => Err(other.to_string().into()),
    }
}

/// Returns when a router put each version of an object in force, from its log.
///
/// # Errors
///
/// Fails when the log can't be read.
pub fn in_force(log: &Path, object: &str) -> Result<BTreeMap<u64, u64>, ExperimentError> {
    let text = std::fs::read_to_string(log)?;
    let lines = text
        .lines()
        .filter(|l| l.contains("message=config_in_force"));
    Ok(lines.filter_map(|l| version(l, object)).collect())
}

/// Returns the version and the time in milliseconds since the epoch of a log line.
fn version(line: &str, object: &str) -> Option<(u64, u64)> {
    let field = |key: &str| {
        let mut pairs = line.split(' ').filter_map(|p| p.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, v)| v)
    };
    if field("object")? != object {
        return None;
    }
    let time = field("timestamp")?.replace("+00:00", "Z");
    let time: SystemTime = humantime::parse_rfc3339(&time).ok()?;
    let since: Duration = time.duration_since(UNIX_EPOCH).ok()?;
    let time_ms = u64::try_from(since.as_millis()).ok()?;
    Some((field("version")?.parse().ok()?, time_ms))
}
