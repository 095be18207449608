//! Carries out the reducer's claims at the platform's table.

use std::rc::Rc;

use hibiscusrail_core::claim::{Answer, RETENTION, Request, Row, RowKey, Versioned};
use hibiscusrail_core::{Event, TableOp};
use hibiscusrail_store::claim;
use hibiscusrail_store::table::{
    Condition, ReadAnswer, ReadRequest, TransactAnswer, TransactRequest, Write,
};

use crate::platform::{PlatformError, call};
use crate::shell::Shell;

/// Calls the table and tells the reducer what came of it.
pub async fn carry_out(shell: Rc<Shell>, op: TableOp, request: Request) {
    let answer = match request {
        Request::Read(key) => read(&shell, &key).await,
        Request::Write { key, version, row } => write(&shell, &key, version, &row).await,
    };
    let answer = answer.unwrap_or_else(|error| {
        log::warn!(step = "claim", op = op.0, error:% = error; "platform_unreachable");
        failed(&error)
    });
    shell.event(Event::Claim(op, answer));
}

/// Returns what a failed call says of its effect.
fn failed(error: &PlatformError) -> Answer {
    match error {
        PlatformError::Connect { .. } => Answer::Unsent,
        _ => Answer::Lost,
    }
}

async fn read(shell: &Shell, key: &RowKey) -> Result<Answer, PlatformError> {
    let question = ReadRequest {
        keys: vec![claim::key(key)],
    };
    let platform = shell.settings().platform;
    let answer: ReadAnswer = call(platform, "/table/read", &question).await?;
    let Some(row) = answer.rows.into_iter().next() else {
        return Ok(Answer::Lost);
    };
    Ok(match row {
        None => Answer::Found(None),
        Some(row) => found(claim::from_row(&row)).map_or(Answer::Lost, |v| Answer::Found(Some(v))),
    })
}

async fn write(
    shell: &Shell,
    key: &RowKey,
    version: u64,
    row: &Row,
) -> Result<Answer, PlatformError> {
    let key = claim::key(key);
    let question = TransactRequest {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write {
            key,
            value: Some(claim::to_value(row)),
            keep_s: Some(RETENTION.as_secs()),
        }],
    };
    let platform = shell.settings().platform;
    let answer: TransactAnswer = call(platform, "/table/transact", &question).await?;
    if answer.committed {
        return Ok(Answer::Written);
    }
    Ok(match answer.conflicts.first() {
        None => Answer::Conflict(None),
        Some(row) => {
            found(claim::from_row(row)).map_or(Answer::Lost, |v| Answer::Conflict(Some(v)))
        }
    })
}

/// Logs a row that is no claim; the reducer treats it as no answer.
fn found(row: Result<Versioned, claim::ClaimError>) -> Option<Versioned> {
    row.inspect_err(|error| log::warn!(step = "claim", error:% = error; "row_ignored"))
        .ok()
}
