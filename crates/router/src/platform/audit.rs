//! Writes the router's own actions to the audit trail.

use std::rc::Rc;

use hibiscusrail_store::audit::{AuditRow, Outcome};
use hibiscusrail_store::table::{TransactAnswer, TransactRequest};

use super::call;
use crate::shell::Shell;

/// Writes the state of this router's graceful stop to the audit trail.
///
/// The log has the same information, so the call is not retried: an unreachable
/// platform delays a stop by at most the timeout of one call.
pub async fn record_drain(shell: Rc<Shell>, author: &'static str, outcome: Outcome) {
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
