//! The operators' command line: status, configuration check, change tickets, audit trail and drain.
//!
//! Each command is a function that prints a report, as text or with `--json` as
//! one JSON document, and returns the [`Exit`] that determines the exit code.

pub mod audit;
pub mod check;
pub mod context;
pub mod drain;
pub mod error;
pub mod exchange;
pub mod exit;
pub mod flags;
pub mod output;
pub mod rpc;
pub mod status;
pub mod submit;
pub mod table;
pub mod ticket;

use flags::{HibiscusrailCtl, HibiscusrailCtlCmd, TicketCmd};

pub use context::Context;
pub use error::CtlError;
pub use exit::Exit;

/// Runs one command and returns its result.
///
/// Reports go to standard output, errors to standard error.
#[must_use]
pub fn run(flags: HibiscusrailCtl) -> Exit {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("hibiscusrail-ctl: creating the event loop: {error}");
            return Exit::Failed;
        }
    };
    match runtime.block_on(run_command(flags)) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("hibiscusrail-ctl: {error}");
            error.exit()
        }
    }
}

async fn run_command(flags: HibiscusrailCtl) -> Result<Exit, CtlError> {
    let context = Context::new(&flags)?;
    match flags.subcommand {
        HibiscusrailCtlCmd::Status(_) => status::run(&context).await,
        HibiscusrailCtlCmd::Drain(drain) => drain::run(&context, &drain).await,
        HibiscusrailCtlCmd::Audit(audit) => audit::run(&context, &audit).await,
        HibiscusrailCtlCmd::ConfigCheck(check) => Ok(check::run(&context, &check).await),
        HibiscusrailCtlCmd::Ticket(ticket) => match ticket.subcommand {
            TicketCmd::Check(check) => ticket::check(&context, &check).await,
            TicketCmd::Submit(submit) => ticket::submit(&context, &submit).await,
            TicketCmd::Show(show) => ticket::show(&context, &show).await,
        },
    }
}
