//! The graceful stop of the daemon.
//!
//! A first signal or an operator's call starts a drain: the router takes no new requests and exits
//! once all running requests have finished and every response is written. Only the deadline or a
//! second signal interrupts requests, which the log and the exit code report.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt};
use hibiscusrail_core::{Event, Router};
use hibiscusrail_macros::id;
use hibiscusrail_net::Connections;
use hibiscusrail_store::audit::Outcome;

use crate::platform::audit;
use crate::shell::Shell;
use hibiscusrail_net::signals::Signals;

/// Interval at which a stop checks for connections that are still writing.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Author, in the audit trail, of a stop that a signal started.
const BY_SIGNAL: &str = "signal";
/// Author, in the audit trail, of a stop that an operator's call started.
const BY_OPERATOR: &str = "operator";

/// How the daemon stopped.
#[id]
pub enum Stopped {
    /// No request was interrupted.
    Clean,
    /// This number of requests was interrupted.
    Interrupted(u32),
}

/// Waits for a signal or an operator's call and then stops the daemon.
///
/// # Errors
///
/// Returns an error if signals can't be received.
pub async fn wait(
    shell: &Rc<Shell>,
    connections: &Connections,
    signals: &mut Signals,
    stop_requests: &mut mpsc::UnboundedReceiver<Duration>,
) -> io::Result<Stopped> {
    let (author, time_limit) = futures_util::select! {
        signal = signals.next().fuse() => {
            signal?;
            (BY_SIGNAL, shell.settings().drain_timeout)
        }
        time_limit = stop_requests.next() => {
            (BY_OPERATOR, time_limit.unwrap_or(shell.settings().drain_timeout))
        }
    };
    let running = shell.with_router(Router::running);
    let patience_ms = u64::try_from(time_limit.as_millis()).unwrap_or(u64::MAX);
    log::info!(running = running, patience_ms = patience_ms; "drain_started");
    let audit_start = audit::record_drain(Rc::clone(shell), author, Outcome::Started);
    compio::runtime::spawn(audit_start).detach();
    let deadline = Instant::now() + time_limit;
    let cut = futures_util::select! {
        cut = drain(shell, connections, deadline).fuse() => cut,
        signal = signals.next().fuse() => {
            signal?;
            unfinished_requests(shell)
        }
    };
    log::info!(cut = cut; "stopped");
    let outcome = if cut == 0 {
        Outcome::Done
    } else {
        Outcome::Cut
    };
    audit::record_drain(Rc::clone(shell), author, outcome).await;
    Ok(if cut == 0 {
        Stopped::Clean
    } else {
        Stopped::Interrupted(cut)
    })
}

/// Drains the reducer, then the connections; returns how many requests `deadline` interrupted.
async fn drain(shell: &Rc<Shell>, connections: &Connections, deadline: Instant) -> u32 {
    let (sender, mut drained) = mpsc::unbounded();
    shell.set_drain_listener(sender);
    let time_limit = deadline.saturating_duration_since(Instant::now());
    shell.handle(Event::Drain { time_limit });
    let cut = drained.next().await.unwrap_or(0);
    connections.close();
    while connections.open_count() > 0 && Instant::now() < deadline {
        compio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
    cut.max(unfinished_requests(shell))
}

/// Returns the number of requests that run or whose response is incomplete.
fn unfinished_requests(shell: &Shell) -> u32 {
    let deliveries = u32::try_from(shell.active_deliveries()).unwrap_or(u32::MAX);
    shell.with_router(Router::running).max(deliveries)
}
