//! `drain`: stops a router gracefully.

use hibiscusrail_admin::{DRAIN, DrainAnswer, DrainRequest};

use crate::context::Context;
use crate::error::{CtlError, FlagSnafu};
use crate::exit::Exit;
use crate::flags::Drain;
use crate::rpc;

/// Tells a router to drain; it ends when its running work is done.
///
/// # Errors
///
/// Fails when the router can't be asked.
pub async fn run(context: &Context, flags: &Drain) -> Result<Exit, CtlError> {
    let request = DrainRequest {
        patience_ms: flags.patience.as_deref().map(patience_ms).transpose()?,
    };
    let answer: DrainAnswer = rpc::call(context, DRAIN, &request).await?;
    context.format.print(&answer);
    Ok(Exit::Done)
}

fn patience_ms(text: &str) -> Result<u64, CtlError> {
    humantime::parse_duration(text)
        .ok()
        .and_then(|d| u64::try_from(d.as_millis()).ok())
        .ok_or_else(|| {
            FlagSnafu {
                flag: "patience",
                allowed: "a time with its unit, like 30s or 2m",
            }
            .build()
        })
}
