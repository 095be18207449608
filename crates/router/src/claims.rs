//! Executes the reducer's reads and writes of idempotency claims in the platform's table.

use std::rc::Rc;

use hibiscusrail_core::claim::{RETENTION, Row, RowKey, TableAnswer, TableRequest, Versioned};
use hibiscusrail_core::{Event, TableOp};
use hibiscusrail_store::claim;
use hibiscusrail_store::table::{
    Condition, ReadAnswer, ReadRequest, TransactAnswer, TransactRequest, Write,
};

use crate::platform::{PlatformError, call};
use crate::shell::Shell;

/// Executes a claim request and gives the answer to the reducer.
pub async fn execute(shell: Rc<Shell>, op: TableOp, request: TableRequest) {
    let answer = match request {
        TableRequest::Read(key) => read(&shell, &key).await,
        TableRequest::Write { key, version, row } => write(&shell, &key, version, &row).await,
    };
    let answer = answer.unwrap_or_else(|error| {
        log::warn!(step = "claim", op = op.0, error:% = error; "platform_unreachable");
        failure_answer(&error)
    });
    shell.handle(Event::ClaimAnswer(op, answer));
}

/// Returns the answer to a failed call, by whether it may have reached the table.
fn failure_answer(error: &PlatformError) -> TableAnswer {
    match error {
        PlatformError::Connect { .. } => TableAnswer::Unsent,
        _ => TableAnswer::Lost,
    }
}

async fn read(shell: &Shell, key: &RowKey) -> Result<TableAnswer, PlatformError> {
    let request = ReadRequest {
        keys: vec![claim::key(key)],
    };
    let platform = shell.settings().platform;
    let answer: ReadAnswer = call(platform, "/table/read", &request).await?;
    let Some(row) = answer.rows.into_iter().next() else {
        return Ok(TableAnswer::Lost);
    };
    Ok(match row {
        None => TableAnswer::Found(None),
        Some(row) => {
            parsed(claim::decode(&row)).map_or(TableAnswer::Lost, |v| TableAnswer::Found(Some(v)))
        }
    })
}

async fn write(
    shell: &Shell,
    key: &RowKey,
    version: u64,
    row: &Row,
) -> Result<TableAnswer, PlatformError> {
    let key = claim::key(key);
    let request = TransactRequest {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write {
            key,
            value: Some(claim::encode(row)),
            keep_s: Some(RETENTION.as_secs()),
        }],
    };
    let platform = shell.settings().platform;
    let answer: TransactAnswer = call(platform, "/table/transact", &request).await?;
    if answer.committed {
        return Ok(TableAnswer::Written);
    }
    Ok(match answer.conflicts.first() {
        None => TableAnswer::Conflict(None),
        Some(row) => {
            parsed(claim::decode(row)).map_or(TableAnswer::Lost, |v| TableAnswer::Conflict(Some(v)))
        }
    })
}

/// Returns the claim in a row; logs an invalid row, which counts as a lost answer.
fn parsed(row: Result<Versioned, claim::ClaimError>) -> Option<Versioned> {
    row.inspect_err(|error| log::warn!(step = "claim", error:% = error; "row_ignored"))
        .ok()
}
