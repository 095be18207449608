//! The graceful stop of the daemon.
//!
//! Readiness falls at once; requests that are still sent here are served
//! until the platform has noticed, and what runs may end within the grace.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::Fleet;
use hibiscusrail_net::signals::Signals;

use crate::shell::{Shell, millis};

/// Time in which callers notice that the router is not ready: two questions a
/// second apart, and the way of their last connections.
pub const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace that is left to the end of the process itself.
const EXIT_TIME: Duration = Duration::from_millis(350);
/// Time before the end of the grace in which a plain request is not begun any more.
const PLAIN_TIME: Duration = Duration::from_millis(2_000);
/// Pause between two looks at what still runs.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Pause in which answers that are complete reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Returns whether a request that arrives now can be expected to end within the grace.
#[must_use]
pub fn has_time(shell: &Shell, stream: bool) -> bool {
    let Some(elapsed) = shell.stopping_for() else {
        return true;
    };
    if shell.is_leaving() {
        return false;
    }
    let limit = if stream {
        NOTICE_TIME
    } else {
        shell.settings().grace.saturating_sub(PLAIN_TIME)
    };
    elapsed <= limit
}

/// Waits for a stop signal and ends what runs; returns how many requests were cut.
///
/// # Errors
///
/// Fails when signals can't be received.
pub async fn wait(shell: &Rc<Shell>, signals: &mut Signals) -> io::Result<usize> {
    signals.next().await?;
    let grace = shell.settings().grace;
    let started = shell.now();
    shell.stop();
    let running = shell.with_fleet(Fleet::requests);
    log::info!(running = running, grace_ms = millis(grace); "stopping");
    let end = started + grace.saturating_sub(EXIT_TIME);
    compio::time::sleep(NOTICE_TIME.min(grace)).await;
    shell.connections().close();
    Ok(leave(shell, end).await)
}

/// Waits until nothing runs, or until `end`; returns how many requests are cut.
///
/// Callers that still come once nothing runs are refused: a request that is
/// taken while the last answers are on their way would be cut.
pub async fn leave(shell: &Shell, end: Instant) -> usize {
    while shell.now() < end && !is_idle(shell) {
        compio::time::sleep(LOOK_PAUSE).await;
    }
    shell.leave();
    compio::time::sleep(FLUSH_TIME).await;
    shell.with_fleet(Fleet::requests)
}

fn is_idle(shell: &Shell) -> bool {
    shell.with_fleet(Fleet::requests) == 0 && shell.connections().open() == 0
}
