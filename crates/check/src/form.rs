//! The product's own JSON form of an operator configuration, which routers exchange.

use hibiscusrail_fleet::objects::OperatorConfig;

use crate::fields::{Field, Shape, check_fields};
use crate::finding::{Finding, Kind, Place};

const COUNT: Shape = Shape::Count(u32::MAX as u64);
const LARGE_COUNT: Shape = Shape::Count(u64::MAX);

/// Fields of a duration.
const DURATION: Shape = Shape::Record(&[
    Field::required("secs", LARGE_COUNT),
    Field::required("nanos", COUNT),
]);

const TARGET: Shape = Shape::Record(&[
    Field::required("service", Shape::Text),
    Field::required("weight", COUNT),
]);

const ROUTE: Shape = Shape::Record(&[
    Field::required("name", Shape::Text),
    Field::required("host", Shape::Text),
    Field::required("prefix", Shape::Text),
    Field::required("targets", Shape::List(&TARGET)),
    Field::required("repeat", Shape::OneOf(&["Idempotent", "Once"])),
    Field::required("stream", Shape::Flag),
    Field::required("resumable", Shape::Flag),
    Field::required("public", Shape::Flag),
    Field::required("timeout", DURATION),
    Field::required("target", DURATION),
    Field::required("attempts", COUNT),
    Field::nullable("max_pause", DURATION),
    Field::nullable("rank", COUNT),
]);

const TRANSFER: Shape = Shape::Record(&[
    Field::required("token_bytes", COUNT),
    Field::required("rate", Shape::Number),
]);

const ENGINE: Shape = Shape::Record(&[
    Field::required("slots", COUNT),
    Field::required("memory", LARGE_COUNT),
    Field::required("event_tokens", COUNT),
    Field::nullable("copies", TRANSFER),
]);

const SERVICE: Shape = Shape::Record(&[
    Field::required("health", Shape::Text),
    Field::required("connections", COUNT),
    Field::required("cold_time", DURATION),
    Field::required("cold_rate", Shape::Number),
    Field::nullable("engine", ENGINE),
]);

const WORKSPACE: Shape = Shape::Record(&[
    Field::required("name", Shape::Text),
    Field::required("keys", Shape::List(&Shape::Text)),
    Field::nullable("rank", COUNT),
]);

const LIMITS: Shape = Shape::Record(&[
    Field::required("head_bytes", LARGE_COUNT),
    Field::required("body_bytes", LARGE_COUNT),
    Field::required("idle", DURATION),
    Field::required("throughput", Shape::Number),
    Field::nullable("head_timeout", DURATION),
]);

const DEPLOYMENT: Shape = Shape::Record(&[
    Field::required("version", LARGE_COUNT),
    Field::required("routes", Shape::List(&ROUTE)),
    Field::required("services", Shape::Map(&SERVICE)),
    Field::required("workspaces", Shape::List(&WORKSPACE)),
    Field::required("limits", LIMITS),
]);

const ORDER: Shape = Shape::Record(&[
    Field::required("version", LARGE_COUNT),
    Field::nullable("to", Shape::Text),
    Field::required("duration", DURATION),
]);

const CONFIG: Shape = Shape::Record(&[
    // Routers may lack a deployment, but a file without one has nothing to check.
    Field::required("deployment", DEPLOYMENT),
    Field::required("evacuated", Shape::List(&Shape::Text)),
    Field::optional("rollouts", Shape::Map(&ORDER)),
]);

/// Checks the fields of a document and decodes it; no configuration if it can't be decoded.
///
/// # Errors
///
/// Fails if the text is not JSON.
pub fn parse(text: &[u8]) -> Result<(Vec<Finding>, Option<OperatorConfig>), serde_json::Error> {
    let mut findings = check_fields(text, CONFIG)?;
    let config = serde_json::from_slice(text).ok();
    if config.is_none() && findings.is_empty() {
        findings.push(undecodable());
    }
    Ok((findings, config))
}

/// Returns the finding of a document that can't be decoded although its fields have the right types.
#[must_use]
pub fn undecodable() -> Finding {
    let text = "a value is out of range, so routers reject it";
    Finding::new(Kind::WrongType, Place::Document, text)
}
