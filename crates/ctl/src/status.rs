//! `status`: shows one router as it sees itself and the fleet.

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::rpc;
use hibiscusrail_admin::{STATUS, Status};

/// Shows a router's status; `Rejected` when it is not ready.
///
/// # Errors
///
/// Fails when the router can't be asked.
pub async fn run(context: &Context) -> Result<Exit, CtlError> {
    let status: Status = rpc::call(context, STATUS, &()).await?;
    context.format.print(&status);
    Ok(if status.ready {
        Exit::Done
    } else {
        Exit::Rejected
    })
}
