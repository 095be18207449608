//! The `drain` command: stops a router gracefully.

use hibiscusrail_admin::{DRAIN, DrainAnswer, DrainRequest};

use crate::context::Context;
use crate::error::{CtlError, FlagSnafu};
use crate::exit::Exit;
use crate::flags::Drain;
use crate::rpc;

/// Asks the router to drain and prints its answer, without waiting for the drain to end.
///
/// # Errors
///
/// Fails when `--patience` is no duration or the call to the router fails.
pub async fn run(context: &Context, flags: &Drain) -> Result<Exit, CtlError> {
    let request = DrainRequest {
        patience_ms: flags.patience.as_deref().map(parse_patience).transpose()?,
    };
    let answer: DrainAnswer = rpc::call(context, DRAIN, &request).await?;
    context.format.print(&answer);
    Ok(Exit::Done)
}

/// Parses the value of `--patience` into milliseconds.
fn parse_patience(text: &str) -> Result<u64, CtlError> {
    humantime::parse_duration(text)
        .ok()
        .and_then(|d| u64::try_from(d.as_millis()).ok())
        .ok_or_else(|| {
            FlagSnafu {
                flag: "patience",
                requirement: "expected a duration with its unit, like 30s or 2m",
            }
            .build()
        })
}
