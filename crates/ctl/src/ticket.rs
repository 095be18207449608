//! `ticket`: checks, submits and shows change tickets.

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::flags::{Check, Show, Submit};

/// Checks a ticket file against the table without writing anything.
///
/// # Errors
///
/// Fails when the file or the platform can't be read.
pub async fn check(context: &Context, flags: &Check) -> Result<Exit, CtlError> {
    let _ = (context.platform()?, flags);
    Ok(Exit::Failed)
}

/// Submits a ticket.
///
/// # Errors
///
/// Fails when the file or the platform can't be read.
pub async fn submit(context: &Context, flags: &Submit) -> Result<Exit, CtlError> {
    let _ = (context.platform()?, flags);
    Ok(Exit::Failed)
}

/// Shows what became of a ticket.
///
/// # Errors
///
/// Fails when the platform can't be read.
pub async fn show(context: &Context, flags: &Show) -> Result<Exit, CtlError> {
    let _ = (context.platform()?, flags);
    Ok(Exit::Failed)
}
