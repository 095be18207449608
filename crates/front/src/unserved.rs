//! Logs once a second what the workspaces that were refused here asked of this router, and received.
//!
//! These lines hold for all requests of the second, where the lines about single requests are dropped in a
//! flood. Together those of all routers give the tokens that a workspace asked for and received.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::peers::Total;
use hibiscusrail_fleet::pressure::Connection;

use crate::overload::workspace_hash;
use crate::shell::{Shell, millis};

/// Interval of the log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum workspaces logged at a time: those with the most refusals.
const MAX_LOGGED: usize = 4;

/// Refused requests of a workspace, by reason.
#[derive(Debug, Clone, Copy, Default)]
struct Refused {
    /// The router was overloaded.
    router_busy: u32,
    /// The workspace was over its share, and the servers had no capacity left for it.
    over_share: u32,
    /// The servers had no capacity left, though the workspace was within its share.
    busy: u32,
    /// All other reasons.
    other: u32,
    /// Of those for the router's overload, on kept connections, which are then closed.
    on_kept: u32,
}

impl Refused {
    fn count(&mut self, reason: Reason) {
        match reason {
            Reason::RouterBusy => self.router_busy += 1,
            Reason::OverShare => self.over_share += 1,
            Reason::Busy => self.busy += 1,
            _ => self.other += 1,
        }
    }

    fn total(&self) -> u32 {
        self.router_busy + self.over_share + self.busy + self.other
    }
}

/// Refused requests of the workspaces in the current second.
#[derive(Debug, Default)]
pub struct Unserved {
    refused: RefCell<BTreeMap<String, Refused>>,
    /// What each workspace had asked for and received at the last log lines.
    logged: RefCell<BTreeMap<String, Total>>,
}

impl Unserved {
    /// Counts a refused request.
    pub fn count(&self, workspace: &str, reason: Reason) {
        self.update(workspace, |refused| refused.count(reason));
    }

    /// Counts a stream that was refused at its head for the router's overload.
    pub fn count_at_head(&self, workspace: &str, connection: Connection) {
        self.update(workspace, |refused| {
            refused.count(Reason::RouterBusy);
            refused.on_kept += u32::from(connection == Connection::Kept);
        });
    }

    fn update(&self, workspace: &str, count: impl FnOnce(&mut Refused)) {
        let mut refused = self.refused.borrow_mut();
        match refused.get_mut(workspace) {
            Some(refused) => count(refused),
            None => count(refused.entry(workspace.to_owned()).or_default()),
        }
    }

    /// Logs the workspaces with the most refusals since the last call, `over` ago.
    fn log(&self, shell: &Shell, now: Instant, over: Duration) {
        let mut refused: Vec<(String, Refused)> = self.refused.take().into_iter().collect();
        refused.sort_by_key(|(_, refused)| std::cmp::Reverse(refused.total()));
        let mut totals = BTreeMap::new();
        shell.with_fleet(|f| {
            let workspaces = f.config().deployment.iter().flat_map(|d| &d.workspaces);
            for workspace in workspaces {
                if let Some(total) = f.total(workspace_hash(&workspace.name)) {
                    totals.insert(workspace.name.clone(), total);
                }
            }
        });
        let before = self.logged.replace(totals);
        let logged = self.logged.borrow();
        let of =
            |totals: &BTreeMap<String, Total>, name| totals.get(name).copied().unwrap_or_default();
        for (name, refused) in refused.iter().take(MAX_LOGGED) {
            let (total, before) = (of(&logged, name), of(&before, name));
            let workspace = workspace_hash(name);
            let usage = shell.with_fleet(|f| f.usage(now, workspace));
            let share = shell.with_fleet_mut(|f| f.workspace_share(now, Some(workspace)));
            log::warn!(
                workspace = name.as_str(),
                over_ms = millis(over),
                requested = total.requested - before.requested,
                begun = total.admitted - before.admitted,
                router_busy = refused.router_busy,
                over_share = refused.over_share,
                busy = refused.busy,
                other = refused.other,
                on_kept = refused.on_kept,
                fleet_requested = whole(usage.requested),
                fleet_received = whole(usage.received),
                most_received = whole(usage.most_received),
                standing:? = share;
                "workspace_refused"
            );
        }
    }
}

/// Returns whole tokens.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(tokens: f64) -> u64 {
    tokens as u64
}

/// Logs the workspaces with refusals until the task is dropped.
pub async fn log_unserved(shell: Rc<Shell>) {
    let mut before = shell.now();
    loop {
        compio::time::sleep(LOG_INTERVAL).await;
        let now = shell.now();
        let over = now.saturating_duration_since(std::mem::replace(&mut before, now));
        shell.unserved().log(&shell, now, over);
    }
}
