//! Submits tickets, and reads from the routers' logs when they came into force.

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

const AUTHOR: &str = "experiment";

/// Submits a ticket with the given objects; returns when it was accepted, in epoch milliseconds.
///
/// # Errors
///
/// Fails when the ticket is malformed or not accepted.
pub async fn submit_ticket(
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

/// Reads from a router's log when each version of an object came into force, in epoch milliseconds.
///
/// # Errors
///
/// Fails when the log can't be read.
pub fn in_force_times(log: &Path, object: &str) -> Result<BTreeMap<u64, u64>, ExperimentError> {
    let text = std::fs::read_to_string(log)?;
    let lines = text
        .lines()
        .filter(|l| l.contains("message=config_in_force"));
    Ok(lines.filter_map(|l| parse_in_force(l, object)).collect())
}

/// Parses a log line; returns its version of `object` and its time in epoch milliseconds.
fn parse_in_force(line: &str, object: &str) -> Option<(u64, u64)> {
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
