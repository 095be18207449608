//! Refusal of streams at the head of their request while this router is overloaded.
//!
//! The daemon asks before it reads a request's body. The demand of a request is recorded here, once,
//! whether it is refused or goes on to [`Event::SubmitAdmitted`](crate::Event::SubmitAdmitted).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_macros::value;

use crate::engine::Prompt;
use crate::peers::Total;
use crate::pressure::Connection;
use crate::quota::{ShareStatus, Usage, WorkspaceHash};
use crate::suspects::SuspectKey;

use super::choice::SHORT_RETRY_AFTER;
use super::{Fleet, WorkspaceTotal, limits};

/// Time for which the shortfall of a workspace is used again: a fraction of the window of shares,
/// in which a wave brings many requests.
const SHORTFALL_TTL: Duration = Duration::from_millis(20);

/// When the caller of a refused stream should come back.
#[value]
pub struct BusyDelay {
    /// Time until the platform sends new connections to another router; before it, the caller would come
    /// back to this one.
    pub notice: Duration,
    /// Further time, of which callers get half to one and a half.
    pub spread: Duration,
}

impl WorkspaceTotal {
    /// Returns the totals of a workspace for a report.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn to_report(&self, workspace: WorkspaceHash) -> Total {
        Total {
            workspace: workspace.0,
            requested: self.requested as u64,
            admitted: self.admitted as u64,
            pending: self.pending as u64,
        }
    }
}

/// Shortfalls of workspaces, each with the time at which it was derived.
#[derive(Debug, Default)]
pub(super) struct Shortfalls {
    known: BTreeMap<WorkspaceHash, (Instant, f64)>,
}

impl Fleet {
    /// Returns whether [`Self::overloaded`] may refuse streams at present; cheap enough to be asked
    /// for every connection.
    #[must_use]
    pub fn may_refuse_streams(&self) -> bool {
        self.pressure.may_refuse(self.requests.len())
    }

    /// Returns whether callers' new connections should go to other routers.
    #[must_use]
    pub fn sheds(&self) -> bool {
        self.pressure.sheds_connections()
    }

    /// Returns whether this router's event loop is late.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.pressure.is_late()
    }

    /// Returns the mean fraction of this router's room for streams that is used.
    #[must_use]
    pub fn room_used(&self) -> f64 {
        self.pressure.rotation().used()
    }

    pub(super) fn observe_lag(&mut self, now: Instant, lag: Duration) {
        self.learning.lateness.observe(now, lag);
        if self.pressure.observe(now, lag) {
            self.log_rotation();
        }
    }

    /// Logs that new connections should go to other routers, or come here again.
    fn log_rotation(&mut self) {
        let event = if self.sheds() {
            "connections_shed"
        } else {
            "connections_taken"
        };
        let detail = format!(
            "late_ms={} requests={} room_used={:.2}",
            self.pressure.lag().as_millis(),
            self.requests.len(),
            self.room_used(),
        );
        self.log(event, "router", detail);
    }

    /// Records the demand of a request, and returns when its caller should come back if this router is too
    /// busy for it. If it returns none, the request has to be submitted as an admitted one.
    pub fn overloaded(
        &mut self,
        now: Instant,
        workspace: Option<WorkspaceHash>,
        prompt: Option<&Prompt>,
        connection: Connection,
    ) -> Option<BusyDelay> {
        self.record_demand(now, workspace, prompt);
        let prompt = prompt?;
        // Its refusal has a reason and a retry delay of its own.
        let parts = prompt.shared_ids().map(SuspectKey::Part);
        if self.suspects.part_quarantine(now, &parts).is_some() {
            return None;
        }
        let shortfall = self.recent_shortfall(now, workspace);
        let charge = prompt.charge();
        let admits = self.has_room(now, connection, workspace, shortfall, charge)
            && self
                .pressure
                .admits_stream(connection, workspace, shortfall, charge);
        (!admits).then(|| {
            let notice = self.pressure.time_to_notice(now);
            // Those refused in that time must not come back in a moment.
            let spread = SHORT_RETRY_AFTER.max(notice / 2);
            BusyDelay { notice, spread }
        })
    }

    /// Returns whether there is room for a stream.
    fn has_room(
        &mut self,
        now: Instant,
        connection: Connection,
        workspace: Option<WorkspaceHash>,
        shortfall: f64,
        charge: f64,
    ) -> bool {
        let was_shed = self.sheds();
        let requests = self.requests.len();
        let pressure = &mut self.pressure;
        let has_room = pressure.has_room(now, connection, workspace, shortfall, charge, requests);
        if self.sheds() != was_shed {
            self.log_rotation();
        }
        has_room
    }

    /// Returns how far a workspace is below its share, as of [`SHORTFALL_TTL`] ago at most.
    fn recent_shortfall(&mut self, now: Instant, workspace: Option<WorkspaceHash>) -> f64 {
        let Some(workspace) = workspace else {
            return limits::shortfall(ShareStatus::Within);
        };
        if let Some((at, shortfall)) = self.shortfalls.known.get(&workspace)
            && now.saturating_duration_since(*at) < SHORTFALL_TTL
        {
            return *shortfall;
        }
        let shortfall = limits::shortfall(self.workspace_share(now, Some(workspace)));
        self.shortfalls.known.insert(workspace, (now, shortfall));
        shortfall
    }

    /// Records the tokens that a request asks for.
    pub(super) fn record_demand(
        &mut self,
        now: Instant,
        workspace: Option<WorkspaceHash>,
        prompt: Option<&Prompt>,
    ) {
        let (Some(workspace), Some(prompt)) = (workspace, prompt) else {
            return;
        };
        let charge = prompt.charge();
        self.quota.add_requested(now, workspace, charge);
        self.pressure.record_stream(workspace, charge);
        let total = self.totals.entry(workspace).or_default();
        total.requested += charge;
        total.changed_at = Some(now);
    }

    /// Returns what a workspace requested and received here; none if it requested nothing.
    #[must_use]
    pub fn total(&self, workspace: WorkspaceHash) -> Option<Total> {
        let total = self.totals.get(&workspace)?;
        Some(total.to_report(workspace))
    }

    /// Returns what a workspace requested and received at all routers in the window of shares.
    #[must_use]
    pub fn usage(&self, now: Instant, workspace: WorkspaceHash) -> Usage {
        self.quota.usage(now, workspace)
    }

    /// Returns the tokens per second that the operator guarantees; zero if none are.
    pub(super) fn throughput(&self) -> f64 {
        let deployment = self.config.deployment.as_ref();
        deployment.map_or(0.0, |d| d.limits.throughput)
    }

    /// Returns the usage of a workspace compared with its fair share; none has no share.
    pub fn workspace_share(
        &mut self,
        now: Instant,
        workspace: Option<WorkspaceHash>,
    ) -> ShareStatus {
        let throughput = self.throughput();
        workspace.map_or(ShareStatus::Within, |w| {
            self.quota.share_status(now, w, throughput)
        })
    }
}
