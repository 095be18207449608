//! Rows that a router adds to the audit trail.

use std::rc::Rc;

use hibiscusrail_store::audit::{AuditRow, Outcome};
use hibiscusrail_store::table::{TransactAnswer, TransactRequest};

use super::call;
use crate::shell::Shell;

/// Notes how this router's graceful stop stands.
///
/// The log has it too: a platform that can't be reached holds no stop up for
/// longer than one call.
pub async fn drain(shell: Rc<Shell>, author: &'static str, outcome: Outcome) {
    let name = &shell.settings().name;
    let row = AuditRow::drain(name, author, shell.clock().epoch_ms(), outcome);
    let transaction = TransactRequest {
        conditions: Vec::new(),
        writes: vec![row.write()],
    };
    let platform = shell.settings().platform;
    let answer = call::<_, TransactAnswer>(platform, "/table/transact", &transaction).await;
    if let Err(error) = answer {
        log::warn!(step = "audit", error:% = error; "audit_row_lost");
    }
}
