//! Room at plain servers: which of them a request may use while slots are short.

use std::time::Instant;

use crate::engine::Server;
use crate::event::{Exclusions, Reason, RefusalInputs, RequestKey};
use crate::placement::name_hash;
use crate::room::{Class, Standing};

use super::super::{Attempt, Fleet, Refusal, Request};
use super::{Candidate, Candidates, Context, Eligible};

/// Smallest service time that is observed, relative to the event loop's mean lag, which adds to it.
const MIN_TIME_LAGS: u32 = 4;

impl Fleet {
    /// Returns the class of a request of a workspace to a plain service whose slots are shared; none
    /// of other requests, which are neither counted nor reported.
    pub(in super::super) fn plain_class(&self, key: RequestKey) -> Option<Class> {
        let submission = &self.requests.get(&key)?.submission;
        let is_plain = self.service(&submission.service)?.engine.is_none();
        let is_shared = is_plain && self.learns(&submission.service);
        Some(Class {
            service: name_hash(&submission.service),
            workspace: submission.workspace.filter(|_| is_shared)?.0,
            rank: submission.rank,
        })
    }

    /// Returns the standing of a new request to a plain service if all slots of one of its servers
    /// are in use; none unless the service's servers are learned.
    pub(super) fn plain_standing(
        &self,
        ctx: &Context<'_>,
        request: &Request,
        eligible: &[Eligible<'_>],
    ) -> Option<Standing> {
        if !ctx.learns || ctx.service.engine.is_some() || request.may_have_run() {
            return None;
        }
        let is_full = |e: &Eligible<'_>| e.server.load().running >= e.server.backend.slots;
        if !eligible.iter().any(is_full) {
            return None;
        }
        let slots = eligible.iter().map(|e| e.server.backend.slots).sum();
        let submission = &request.submission;
        let service = name_hash(&submission.service);
        let class = self.plain_class(ctx.request);
        let left = submission.deadline.saturating_duration_since(ctx.now);
        let standing = self
            .room
            .standing(ctx.now, ctx.request, (service, class), slots, left);
        Some(standing)
    }

    /// Learns the time of a request that was answered and had not waited at its server.
    pub(in super::super) fn observe_service_time(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
    ) {
        let Some(class) = self.plain_class(key) else {
            return;
        };
        let took = now.saturating_duration_since(attempt.sent_at);
        let is_clear = self.pressure.lag() * MIN_TIME_LAGS <= took;
        if is_clear && !attempt.queued && !attempt.silent {
            self.room.observe_time(class.service, took);
        }
    }
}

/// Returns whether a request may use a server; counts the limit that it is over.
pub(super) fn has_room(ctx: &Context<'_>, server: &Server, exclusions: &mut Exclusions) -> bool {
    let Some(standing) = &ctx.standing else {
        return true;
    };
    let (running, slots) = (server.load().running, server.backend.slots);
    let may_use = running < slots || standing.is_within();
    // The service time is a mean over all routes, so it decides only where a request would wait.
    let in_time = running < slots || standing.is_in_time(running, slots);
    exclusions.occupancy += u32::from(!may_use);
    exclusions.late += u32::from(!in_time);
    may_use && in_time
}

/// Returns the best server that answers after the target and before the deadline, or the refusal.
pub(super) fn place_late(
    candidates: &Candidates,
    standing: Standing,
) -> Result<Candidate, Box<Refusal>> {
    candidates.best.ok_or_else(|| {
        Box::new(Refusal {
            reason: Reason::NoRoom,
            retry_after: standing.retry_after(),
            inputs: Some(RefusalInputs::Room {
                standing,
                exclusions: candidates.exclusions,
            }),
        })
    })
}
