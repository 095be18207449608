//! The graceful stop of the daemon.
//!
//! A first signal, or an operator's call, starts a drain: the router takes no
//! new work and ends when its running work is done and every answer is
//! written. Only the deadline or a second signal cuts, and the log and the
//! exit code say so.

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

/// Pause between two looks at connections that are still writing.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Author of a stop in the audit trail.
const BY_SIGNAL: &str = "signal";
const BY_OPERATOR: &str = "operator";

/// How the daemon stopped.
#[id]
pub enum Stopped {
    /// Nothing was cut.
    Whole,
    /// This many requests were cut.
    Cut(u32),
}

/// Waits until the daemon is asked to stop, and stops it.
///
/// # Errors
///
/// Fails when signals can't be received.
pub async fn wait(
    shell: &Rc<Shell>,
    connections: &Connections,
    signals: &mut Signals,
    asked: &mut mpsc::UnboundedReceiver<Duration>,
) -> io::Result<Stopped> {
    let (author, patience) = futures_util::select! {
        signal = signals.next().fuse() => {
            signal?;
            (BY_SIGNAL, shell.settings().drain)
        }
        patience = asked.next() => {
            (BY_OPERATOR, patience.unwrap_or(shell.settings().drain))
        }
    };
    let running = shell.with_router(Router::running);
    let patience_ms = u64::try_from(patience.as_millis()).unwrap_or(u64::MAX);
    log::info!(running = running, patience_ms = patience_ms; "drain_started");
    let started = audit::drain(Rc::clone(shell), author, Outcome::Started);
    compio::runtime::spawn(started).detach();
    let until = Instant::now() + patience;
    let cut = futures_util::select! {
        cut = drain(shell, connections, until).fuse() => cut,
        signal = signals.next().fuse() => {
            signal?;
            unfinished(shell)
        }
    };
    log::info!(cut = cut; "stopped");
    let outcome = if cut == 0 {
        Outcome::Done
    } else {
        Outcome::Cut
    };
    audit::drain(Rc::clone(shell), author, outcome).await;
    Ok(if cut == 0 {
        Stopped::Whole
    } else {
        Stopped::Cut(cut)
    })
}

/// Drains the reducer, then lets connections write what they hold.
async fn drain(shell: &Rc<Shell>, connections: &Connections, until: Instant) -> u32 {
    let (sender, mut drained) = mpsc::unbounded();
    shell.on_drained(sender);
    let patience = until.saturating_duration_since(Instant::now());
    shell.event(Event::Drain { patience });
    let cut = drained.next().await.unwrap_or(0);
    connections.close();
    while connections.open() > 0 && Instant::now() < until {
        compio::time::sleep(LOOK_PAUSE).await;
    }
    cut.max(unfinished(shell))
}

/// Returns the requests whose callers have not been answered whole.
fn unfinished(shell: &Shell) -> u32 {
    let delivering = u32::try_from(shell.delivering()).unwrap_or(u32::MAX);
    shell.with_router(Router::running).max(delivering)
}
