//! `ticket`: checks, submits and shows change tickets.

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

/// What is wrong with a ticket file.
#[record]
#[derive(Serialize)]
pub struct Problems {
    /// The file.
    pub file: String,
    /// Each problem, with path, value and what is allowed.
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

/// What a check found.
#[record]
#[derive(Serialize)]
pub struct Checked {
    /// The file.
    pub file: String,
    /// Number of the ticket.
    pub number: u64,
    /// Whether it would be accepted now.
    pub acceptable: bool,
    /// Why not.
    pub reason: String,
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.acceptable { "ok" } else { &self.reason };
        write!(f, "{}: ticket {}: {verdict}", self.file, self.number)
    }
}

/// An accepted ticket as the table holds it.
#[record]
#[derive(Serialize)]
pub struct Shown(pub TicketRow);

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = &self.0;
        write!(
            f,
            "ticket {}: accepted as number {} in order, time_ms={} author={} digest={}",
            row.ticket.number, row.sequence, row.time_ms, row.ticket.author, row.digest
        )?;
        let objects = ticket::objects(&row.ticket).unwrap_or_default();
        for object in objects {
            write!(f, "\n{}", ticket::transaction::object_of(&object.key()))?;
        }
        Ok(())
    }
}

/// Reads and checks a ticket file.
///
/// # Errors
///
/// Fails when the file can't be read; problems inside it are returned as such.
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

/// Checks a ticket file against the table without writing anything.
///
/// # Errors
///
/// Fails when the file or the platform can't be read.
pub async fn check(context: &Context, flags: &Check) -> Result<Exit, CtlError> {
    let ticket = match load(&flags.file)? {
        Ok(ticket) => ticket,
        Err(problems) => return Ok(report(context, &problems, Exit::Usage)),
    };
    let table = Table::new(context.platform()?);
    let reason = match submit::decide(&table, &ticket).await? {
        Plan::Write(_) => None,
        Plan::Already => Some("accepted before".to_owned()),
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
    let checked = Checked {
        file: flags.file.display().to_string(),
        number: ticket.number,
        acceptable: reason.is_none(),
        reason: reason.unwrap_or_default(),
    };
    Ok(report(context, &checked, exit))
}

fn report<R: Serialize + fmt::Display>(context: &Context, report: &R, exit: Exit) -> Exit {
    context.format.print(report);
    exit
}

/// Submits a ticket.
///
/// # Errors
///
/// Fails when the file or the platform can't be read.
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

/// Shows an accepted ticket.
///
/// # Errors
///
/// Fails when the platform can't be read.
pub async fn show(context: &Context, flags: &Show) -> Result<Exit, CtlError> {
    let peer = context.platform()?;
    let question = ReadRequest {
        keys: vec![keys::ticket(flags.number)],
    };
    let rows = Table::new(peer).read(&question).await?;
    let Some(row) = rows.into_iter().flatten().next() else {
        eprintln!("ticket {}: not accepted", flags.number);
        return Ok(Exit::NotFound);
    };
    let row: TicketRow = serde_json::from_value(row.value).map_err(|source| CtlError::Json {
        step: "ticket show",
        peer,
        source,
    })?;
    Ok(report(context, &Shown(row), Exit::Done))
}
