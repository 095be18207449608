//! `audit`: shows the audit trail.

use std::fmt;

use hibiscusrail_macros::record;
use hibiscusrail_store::audit::{AuditRow, Filter};
use hibiscusrail_store::keys;
use hibiscusrail_store::table::ScanRequest;
use serde::Serialize;

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::flags::Audit;
use crate::table::Table;

/// Rows shown when no limit is given.
const ROWS: usize = 1_000;
/// Rows read by one scan.
const SCAN_ROWS: usize = 500;

/// Rows of the audit trail, oldest first.
#[record]
#[derive(Serialize)]
pub struct Trail {
    /// The rows.
    pub rows: Vec<AuditRow>,
}

impl fmt::Display for Trail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, row) in self.rows.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{row}")?;
        }
        Ok(())
    }
}

/// Reads the rows that a filter wants, oldest first, `limit` at most.
///
/// # Errors
///
/// Fails when the platform can't be read.
pub async fn read(table: &Table, filter: &Filter, limit: usize) -> Result<Vec<AuditRow>, CtlError> {
    let mut found = Vec::new();
    let mut after = String::new();
    while found.len() < limit {
        let answer = table
            .scan(&ScanRequest {
                prefix: keys::AUDIT_PREFIX.to_owned(),
                after: after.clone(),
                limit: SCAN_ROWS,
            })
            .await?;
        for row in &answer.rows {
            match serde_json::from_value::<AuditRow>(row.value.clone()) {
                Ok(row) if filter.matches(&row) => found.push(row),
                Ok(_) => {}
                Err(error) => eprintln!("row {} is malformed: {error}", row.key),
            }
        }
        match answer.rows.last() {
            Some(last) if answer.more => after.clone_from(&last.key),
            _ => break,
        }
    }
    found.truncate(limit);
    Ok(found)
}

/// Shows rows of the audit trail.
///
/// # Errors
///
/// Fails when the platform can't be read.
pub async fn run(context: &Context, flags: &Audit) -> Result<Exit, CtlError> {
    let table = Table::new(context.platform()?);
    let filter = Filter {
        object: flags.object.clone(),
        author: flags.author.clone(),
        after: flags.after,
        before: flags.before,
    };
    let rows = read(&table, &filter, flags.limit.unwrap_or(ROWS)).await?;
    context.format.print(&Trail { rows });
    Ok(Exit::Done)
}
