//! Reads and writes the status rows of rollouts.
//!
//! The reducer proposes a status; the rows are read first, and the write expects the versions of the
//! status row and of the order's row that were read. So a final state is never replaced, two routers
//! never both write one, and none is written for an order that was replaced after the read.

use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::rollout::order::{Proposal, Status};

use crate::shell::Shell;
use crate::watch::{Store, StoreError, StoreLink};

/// Interval of asking the reducer for proposals.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of one call. A store that takes 2 s for each one is slow, not away; a call whose answer
/// is lost delays the next one by this time, at one of the routers.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Greatest number of calls for a proposal: a read, a write, and a read if that is refused.
const MAX_CALLS: u32 = 3;

/// Rows of a service's rollout in the store.
#[derive(Debug, Clone, Default)]
pub struct RolloutRows {
    /// Version of the order's row; none without one.
    pub order: Option<u64>,
    /// Version of the status row; zero without one.
    pub status_version: u64,
    /// The status; none without a row, or if it can't be read.
    pub status: Option<Status>,
}

/// Makes the calls that the reducer proposes until the task is dropped.
pub async fn follow_rollouts(shell: Rc<Shell>, store: Rc<impl Store>) {
    let mut link = StoreLink::new("rollouts");
    loop {
        compio::time::sleep(INTERVAL).await;
        let (now, epoch_ms) = (shell.now(), shell.epoch_ms());
        let proposals = shell.with_fleet_mut(|f| f.rollout_proposals(now, epoch_ms));
        for proposal in proposals {
            let call = execute(&shell, store.as_ref(), &proposal);
            let timeout = CALL_TIMEOUT * MAX_CALLS;
            if let Some(status) = link.call(&shell, timeout, call).await {
                shell.handle(Event::RolloutStatus {
                    epoch_ms: shell.epoch_ms(),
                    service: proposal.service,
                    status,
                });
            }
        }
    }
}

/// Writes a proposed status unless the row has a final one of its order, the order is no longer the
/// operator's, or the reducer no longer wants the status; returns the row's status after it.
async fn execute(
    shell: &Shell,
    store: &impl Store,
    proposal: &Proposal,
) -> Result<Option<Status>, StoreError> {
    let rows = limited(store.rollout(&proposal.service)).await?;
    let Some(status) = &proposal.status else {
        return Ok(rows.status);
    };
    let is_final = |s: &Status| s.order == status.order && s.to == status.to && s.state.is_final();
    if rows.status.as_ref().is_some_and(is_final) || rows.order != Some(proposal.order) {
        return Ok(rows.status);
    }
    // The read may have taken seconds.
    let (now, read) = (shell.now(), rows.status.as_ref());
    let confirmed = shell.with_fleet_mut(|f| f.confirm_rollout(now, proposal, read));
    let Some(status) = confirmed else {
        return Ok(rows.status);
    };
    let written = store.write_rollout(&proposal.service, &status, &rows);
    if limited(written).await? {
        log::info!(
            service = proposal.service.as_str(),
            order = status.order,
            to = status.to.as_str(),
            state = status.state.name(),
            reason = status.reason.as_str();
            "rollout_written"
        );
        return Ok(Some(status));
    }
    log::info!(service = proposal.service.as_str(), order = status.order; "rollout_write_refused");
    Ok(limited(store.rollout(&proposal.service)).await?.status)
}

/// Waits for the answer of one call.
async fn limited<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    match hibiscusrail_net::timeout(CALL_TIMEOUT, call).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no response within {CALL_TIMEOUT:?}").into()),
    }
}
