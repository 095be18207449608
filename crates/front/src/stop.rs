//! The graceful stop of the daemon.
//!
//! The router reports at once that it is not ready. It serves new requests until callers have
//! noticed, and running requests may finish within the stop timeout.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::Fleet;
use hibiscusrail_net::signals::Signals;

use crate::shell::{Shell, millis};

/// Time in which callers notice that the router is not ready: two readiness probes one second
/// apart, and the time until their last connections arrive.
pub const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Part of the stop timeout that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(350);
/// Time before the end of the stop timeout in which non-streaming requests are refused.
const PLAIN_REQUEST_RESERVE: Duration = Duration::from_millis(2_000);
/// Interval of checking whether requests or connections remain.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for completed responses to reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Longest time for the answers to the last connections. With the flush it leaves time within
/// [`EXIT_RESERVE`] to remove this router's row.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// Returns whether a request that arrives now can be expected to finish within the stop timeout.
#[must_use]
pub fn accepts(shell: &Shell, stream: bool) -> bool {
    let Some(elapsed) = shell.stopping_for() else {
        return true;
    };
    if shell.is_exiting() {
        return false;
    }
    let limit = if stream {
        NOTICE_TIME
    } else {
        shell
            .settings()
            .stop_timeout
            .saturating_sub(PLAIN_REQUEST_RESERVE)
    };
    elapsed <= limit
}

/// Waits for a stop signal, then for running requests; returns the number of requests aborted.
///
/// # Errors
///
/// Fails if signals can't be received.
pub async fn wait_for_stop(shell: &Rc<Shell>, signals: &mut Signals) -> io::Result<usize> {
    signals.next().await?;
    let stop_timeout = shell.settings().stop_timeout;
    let started = shell.now();
    shell.stop();
    let running = shell.with_fleet(Fleet::requests);
    log::info!(running = running, grace_ms = millis(stop_timeout); "stopping");
    let end = started + stop_timeout.saturating_sub(EXIT_RESERVE);
    compio::time::sleep(NOTICE_TIME.min(stop_timeout)).await;
    shell.connections().close();
    Ok(drain(shell, end).await)
}

/// Waits until no request or connection remains or until `end`; returns the requests aborted.
///
/// Requests are then refused: one accepted while the last responses flush would be aborted. The
/// listener is closed once its queue is empty, so that no connection is accepted and not answered.
pub async fn drain(shell: &Shell, end: Instant) -> usize {
    wait_idle(shell, end).await;
    shell.begin_exit();
    compio::time::sleep(FLUSH_TIME).await;
    shell.connections().stop_accepting();
    let last = shell.now() + LAST_ANSWERS_TIME;
    compio::time::sleep(CHECK_INTERVAL).await;
    wait_idle(shell, last).await;
    shell.with_fleet(Fleet::requests)
}

/// Waits until no request or connection remains or until `end`.
async fn wait_idle(shell: &Shell, end: Instant) {
    while shell.now() < end && !is_idle(shell) {
        compio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn is_idle(shell: &Shell) -> bool {
    shell.with_fleet(Fleet::requests) == 0 && shell.connections().open_count() == 0
}
