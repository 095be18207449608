//! The `audit` command: prints rows of the audit trail.

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

/// Maximum number of rows shown when `--limit` is not given.
const DEFAULT_LIMIT: usize = 1_000;
/// Maximum number of rows that one scan of the table returns.
const SCAN_LIMIT: usize = 500;

/// Report of the `audit` command.
#[record]
#[derive(Serialize)]
pub struct Trail {
    /// Matching rows, oldest first.
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

/// Reads at most `limit` rows that match the filter, oldest first.
///
/// Malformed rows are reported on standard error and skipped.
///
/// # Errors
///
/// Fails when a scan of the table fails.
pub async fn read(table: &Table, filter: &Filter, limit: usize) -> Result<Vec<AuditRow>, CtlError> {
    let mut found = Vec::new();
    let mut after = String::new();
    while found.len() < limit {
        let answer = table
            .scan(&ScanRequest {
                prefix: keys::AUDIT_PREFIX.to_owned(),
                after: after.clone(),
                limit: SCAN_LIMIT,
            })
            .await?;
        for row in &answer.rows {
            match serde_json::from_value::<AuditRow>(row.value.clone()) {
                Ok(row) if filter.matches(&row) => found.push(row),
                Ok(_) => {}
                Err(error) => eprintln!("audit row {} is malformed: {error}", row.key),
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

/// Prints the rows of the audit trail that match the flags.
///
/// # Errors
///
/// Fails when `--platform` is missing or a scan of the table fails.
pub async fn run(context: &Context, flags: &Audit) -> Result<Exit, CtlError> {
    let table = Table::new(context.platform()?);
    let filter = Filter {
        object: flags.object.clone(),
        author: flags.author.clone(),
        after: flags.after,
        before: flags.before,
    };
    let rows = read(&table, &filter, flags.limit.unwrap_or(DEFAULT_LIMIT)).await?;
    context.format.print(&Trail { rows });
    Ok(Exit::Done)
}
