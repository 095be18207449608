//! `audit`: shows the audit trail.

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::flags::Audit;

/// Shows rows of the audit trail.
///
/// # Errors
///
/// Fails when the platform can't be read.
pub async fn run(context: &Context, flags: &Audit) -> Result<Exit, CtlError> {
    let _ = (context.platform()?, flags);
    Ok(Exit::Failed)
}
