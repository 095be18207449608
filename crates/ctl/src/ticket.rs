//! The `ticket` commands: check, submit and show change tickets.

use std::fmt;
use std::path::Path;

use hibiscusrail_core::ticket::Conflict;
use hibiscusrail_macros::record;
use hibiscusrail_store::keys;
use hibiscusrail_store::table::ReadRequest;
use hibiscusrail_store::ticket::{self, Plan, Problem, Ticket, TicketRow};
use serde::Serialize;
use snafu::ResultExt;

use crate::context::Context;
use crate::error::{CtlError, FileSnafu};
use crate::exit::Exit;
use crate::flags::{Check, Show, Submit};
use crate::submit::{self, Decided};
use crate::table::Table;

/// Problems of a ticket file.
#[record]
#[derive(Serialize)]
pub struct Problems {
    /// Path of the file.
    pub file: String,
    /// The problems, each with its path in the document and what is allowed there.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {problem}", self.file)?;
        }
        Ok(())
    }
}

/// Report of `ticket check` for a valid file.
#[record]
#[derive(Serialize)]
pub struct CheckReport {
    /// Path of the file.
    pub file: String,
    /// Number of the ticket.
    pub number: u64,
    /// Whether the ticket would be accepted now.
    pub acceptable: bool,
    /// Why the ticket would not be accepted; empty if it would.
    pub reason: String,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.acceptable { "ok" } else { &self.reason };
        write!(f, "{}: ticket {}: {verdict}", self.file, self.number)
    }
}

/// Report of `ticket show`: an accepted ticket as stored in the table.
#[record]
#[derive(Serialize)]
pub struct AcceptedTicket(pub TicketRow);

impl fmt::Display for AcceptedTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = &self.0;
        write!(
            f,
            "ticket {}: accepted as number {} in order, time_ms={} author={} digest={}",
            row.ticket.number, row.sequence, row.time_ms, row.ticket.author, row.digest
        )?;
        let objects = ticket::object_rows(&row.ticket).unwrap_or_default();
        for object in objects {
            write!(f, "\n{}", ticket::transaction::object_label(&object.key()))?;
        }
        Ok(())
    }
}

/// Reads a ticket file and returns the ticket, or the problems of an invalid one.
///
/// # Errors
///
/// Fails when the file can't be read.
pub fn load(path: &Path) -> Result<Result<Ticket, Problems>, CtlError> {
    let text = std::fs::read(path).context(FileSnafu { path })?;
    let problems = |problems| Problems {
        file: path.display().to_string(),
        problems,
    };
    let ticket = match ticket::parse(&text) {
        Ok(ticket) => ticket,
        Err(problem) => return Ok(Err(problems(vec![problem]))),
    };
    let found = ticket::check(&ticket);
    if found.is_empty() {
        return Ok(Ok(ticket));
    }
    Ok(Err(problems(found)))
}

/// Prints whether a ticket file is valid and would be accepted now, without writing anything.
///
/// # Errors
///
/// Fails when the file or the table can't be read.
pub async fn check(context: &Context, flags: &Check) -> Result<Exit, CtlError> {
    let ticket = match load(&flags.file)? {
        Ok(ticket) => ticket,
        Err(problems) => return Ok(report(context, &problems, Exit::Usage)),
    };
    let table = Table::new(context.platform()?);
    let reason = match submit::decide(&table, &ticket).await? {
        Plan::Accept(_) => None,
        Plan::AlreadyAccepted => Some("accepted before".to_owned()),
        Plan::Reject(Conflict::Object(s)) => Some(format!(
            "{} stands at ticket {} of {}",
            s.object, s.version.0, s.author
        )),
        Plan::Reject(Conflict::Number(a)) => Some(format!("the number was used by {}", a.author)),
    };
    let exit = if reason.is_none() {
        Exit::Done
    } else {
        Exit::Rejected
    };
    let checked = CheckReport {
        file: flags.file.display().to_string(),
        number: ticket.number,
        acceptable: reason.is_none(),
        reason: reason.unwrap_or_default(),
    };
    Ok(report(context, &checked, exit))
}

/// Prints a report and returns `exit`.
fn report<R: Serialize + fmt::Display>(context: &Context, report: &R, exit: Exit) -> Exit {
    context.format.print(report);
    exit
}

/// Submits a ticket file and prints the outcome.
///
/// # Errors
///
/// Fails when the file can't be read or the submission fails; see [`submit::submit`].
pub async fn submit(context: &Context, flags: &Submit) -> Result<Exit, CtlError> {
    let ticket = match load(&flags.file)? {
        Ok(ticket) => ticket,
        Err(problems) => return Ok(report(context, &problems, Exit::Usage)),
    };
    let table = Table::new(context.platform()?);
    let decided = submit::submit(&table, &ticket).await?;
    let exit = match decided {
        Decided::Accepted { .. } => Exit::Done,
        Decided::Rejected { .. } => Exit::Rejected,
        Decided::Unknown { .. } => Exit::Unknown,
    };
    Ok(report(context, &decided, exit))
}

/// Prints an accepted ticket, or returns [`Exit::NotFound`].
///
/// # Errors
///
/// Fails when the table can't be read or the row is malformed.
pub async fn show(context: &Context, flags: &Show) -> Result<Exit, CtlError> {
    let peer = context.platform()?;
    let request = ReadRequest {
        keys: vec![keys::ticket(flags.number)],
    };
    let rows = Table::new(peer).read(&request).await?;
    let Some(row) = rows.into_iter().flatten().next() else {
        eprintln!("ticket {}: not accepted", flags.number);
        return Ok(Exit::NotFound);
    };
    let row: TicketRow = serde_json::from_value(row.value).map_err(|source| CtlError::Json {
        step: "ticket show",
        peer,
        source,
    })?;
    Ok(report(context, &AcceptedTicket(row), Exit::Done))
}
