//! Refuses streams at the head of their request while the router is overloaded.
//!
//! On a new connection this happens before hyper gets it, see [`hibiscusrail_net::triage`], and on a
//! kept one before the body is read. Nothing of a refused request reaches the reducer but its demand.

use std::rc::{Rc, Weak};

use bytes::Bytes;
use hibiscusrail_fleet::Fleet;
use hibiscusrail_fleet::engine::Prompt;
use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::placement::name_hash;
use hibiscusrail_fleet::pressure::Connection;
use hibiscusrail_fleet::quota::WorkspaceHash;
use hibiscusrail_net::logs;
use hibiscusrail_net::triage::{Triage, Verdict};
use http::request::Parts;
use http::{HeaderMap, Response, header};

use crate::caller::{self, Found};
use crate::metrics::RefusalCounters;
use crate::refusal;
use crate::shell::{Shell, millis};
use crate::work::Kind;

/// A requested stream, as far as its head says.
pub struct StreamDemand {
    workspace: Option<WorkspaceHash>,
    prompt: Prompt,
    counters: Rc<RefusalCounters>,
}

impl StreamDemand {
    /// Returns the demand of a request; none if it is no stream of an engine, or if its body of
    /// `length` bytes is too large, which gets a response of its own.
    #[must_use]
    pub fn new(
        shell: &Shell,
        found: &Found<'_>,
        headers: &HeaderMap,
        length: Option<u64>,
    ) -> Option<Self> {
        let is_too_large = length.is_some_and(|l| l > found.max_body as u64);
        if !found.route.stream || found.engine.is_none() || is_too_large {
            return None;
        }
        let name = found.workspace.unwrap_or_default();
        Some(Self {
            workspace: found.workspace.map(workspace_hash),
            prompt: (shell.protocol().prompt)(headers)?,
            counters: shell.metrics().refusal_counters(name, found.service),
        })
    }

    /// Counts the demand and returns the refusal if the router is overloaded; otherwise the request
    /// is admitted.
    #[must_use]
    pub fn refuse(
        &self,
        shell: &Shell,
        headers: &HeaderMap,
        connection: Connection,
    ) -> Option<Response<Bytes>> {
        let now = shell.now();
        let prompt = Some(&self.prompt);
        let delay =
            shell.with_fleet_mut(|f| f.overloaded(now, self.workspace, prompt, connection))?;
        let id = headers.get(&shell.protocol().request_id);
        self.counters.count();
        shell
            .unserved()
            .count_at_head(self.counters.workspace(), connection);
        let time = shell.now().saturating_duration_since(now);
        shell.work().add(Kind::Refusal, time);
        if logs::has_token() {
            let (late, room_used, share) = shell.with_fleet_mut(|f| {
                let share = f.workspace_share(now, self.workspace);
                (f.loop_lag(), f.room_used(), share)
            });
            log::info!(
                request:? = id,
                workspace = self.counters.workspace(),
                reason:? = Reason::RouterBusy,
                connection:? = connection,
                late_ms = millis(late),
                room_used = room_used,
                standing:? = share;
                "stream_refused"
            );
        }
        let remaining = caller::caller_timeout(shell, headers);
        let text = id.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let wait = delay.notice + refusal::retry_delay(Reason::RouterBusy, delay.spread, text);
        let mut response = refusal::busy(wait, remaining);
        if let Some(id) = id {
            let name = shell.protocol().request_id.clone();
            response.headers_mut().insert(name, id.clone());
        }
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        Some(response)
    }
}

/// Returns the hash of a workspace's name.
#[must_use]
pub fn workspace_hash(name: &str) -> WorkspaceHash {
    WorkspaceHash(u64::from(name_hash(name)))
}

/// Decides on the first request of callers' new connections.
struct CallerTriage {
    shell: Weak<Shell>,
}

/// Returns what decides on the first request of callers' new connections.
#[must_use]
pub fn triage(shell: &Rc<Shell>) -> Rc<dyn Triage> {
    Rc::new(CallerTriage {
        shell: Rc::downgrade(shell),
    })
}

/// Lets the router refuse requests on new connections before they are served.
pub fn install(shell: &Rc<Shell>) {
    shell.connections().set_triage(triage(shell));
}

impl Triage for CallerTriage {
    fn is_active(&self) -> bool {
        self.shell
            .upgrade()
            .is_some_and(|s| !s.is_stopping() && s.with_fleet(Fleet::may_refuse_streams))
    }

    fn judge(&self, request: &Parts, length: Option<u64>) -> Verdict {
        let Some(shell) = self.shell.upgrade() else {
            return Verdict::Serve;
        };
        let demand = shell.with_fleet(|f| {
            let deployment = f.config().deployment.as_ref()?;
            // What has no route or an unknown key gets its response there.
            let found = caller::find_route(&shell, deployment, request).ok()?;
            StreamDemand::new(&shell, &found, &request.headers, length)
        });
        let Some(demand) = demand.filter(|_| !shell.is_stopping()) else {
            return Verdict::Serve;
        };
        match demand.refuse(&shell, &request.headers, Connection::New) {
            Some(response) => Verdict::Refuse(response),
            None => Verdict::Admit,
        }
    }

    fn refuse_excess(&self, request: &Parts) -> Response<Bytes> {
        let shell = self.shell.upgrade();
        let id = shell.and_then(|s| request.headers.get(&s.protocol().request_id).cloned());
        refusal::too_many_connections(id.as_ref())
    }
}
