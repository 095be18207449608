//! The `status` command: prints the status of one router.

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::rpc;
use hibiscusrail_admin::{STATUS, Status};

/// Prints the router's status and returns [`Exit::Rejected`] if it is not ready.
///
/// # Errors
///
/// Fails when the call to the router fails.
pub async fn run(context: &Context) -> Result<Exit, CtlError> {
    let status: Status = rpc::call(context, STATUS, &()).await?;
    context.format.print(&status);
    Ok(if status.ready {
        Exit::Done
    } else {
        Exit::Rejected
    })
}
