//! State that a dispatcher keeps of one server whose slots it hands out.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::configuration::Server;
use crate::health::Health;
use crate::ids::{Incarnation, RouterId, ServiceId, Term};
use crate::message::{GrantEnd, Release, WarmUpState};
use crate::server::Limit;

/// Phase of a take-over: whether the dispatcher knows every slot in use at the server.
#[derive(Debug)]
pub(super) enum Phase {
    /// The dispatcher collects the slots in use from the entries and grants none.
    Recovering {
        /// When the take-over began.
        since: Instant,
        /// Warm-up limit reported by entries or the predecessor.
        warm_up: Option<WarmUpState>,
        /// Number of slots assumed in use that the predecessor handed over, if it did.
        handed: Option<u32>,
    },
    /// Every entry that acknowledged the term has reported its slots.
    Steady,
}

/// A server whose slots this router hands out.
#[derive(Debug)]
pub(super) struct Managed {
    pub service: ServiceId,
    pub limit: Limit,
    /// Circuit breaker of the server.
    pub health: Health,
    pub phase: Phase,
    pub term: Term,
    /// Entries that acknowledged this term.
    pub acked: BTreeMap<RouterId, Incarnation>,
    /// When entries were last asked to acknowledge the term.
    pub recover_sent: Instant,
    /// Number of slots in use or granted and on their way to an entry.
    pub used: u32,
    /// Number of slots assumed in use although no entry is known to hold them.
    pub assumed_used: u32,
    /// Upper bound of `assumed_used` when the server sends no load report in time.
    pub unreported_max: u32,
    /// When slots were first assumed in use.
    pub assumed_since: Instant,
    /// Warm-up limit last sent to the standby routers.
    pub standby_warm_up: Option<WarmUpState>,
    /// Whether the server and its zone admit new requests.
    pub open: bool,
    /// Number of free slots last reported to the pool.
    pub listed_free: u32,
}

impl Managed {
    pub fn new(server: &Server, term: Term, now: Instant) -> Self {
        Self {
            service: server.service,
            limit: Limit::new(server.cold_limit, server.max_limit),
            health: Health::new(),
            phase: Phase::Recovering {
                since: now,
                warm_up: None,
                handed: None,
            },
            term,
            acked: BTreeMap::new(),
            recover_sent: now,
            used: 0,
            assumed_used: 0,
            unreported_max: 0,
            assumed_since: now,
            standby_warm_up: None,
            open: false,
            listed_free: 0,
        }
    }

    /// Returns the number of slots that may be granted now.
    pub fn free(&self) -> u32 {
        if !self.open || self.is_recovering() {
            return 0;
        }
        let limit = self.health.capped(self.limit.get());
        limit.saturating_sub(self.used + self.assumed_used)
    }

    pub fn is_recovering(&self) -> bool {
        matches!(self.phase, Phase::Recovering { .. })
    }

    /// Updates limit and health after the end of a request.
    pub fn observe(&mut self, now: Instant, release: &Release) {
        self.limit.observe(release.end, release.first_byte);
        match (release.end, release.first_byte) {
            (GrantEnd::Done, _) | (_, Some(_)) => self.health.record_success(),
            (GrantEnd::Failed, None) => self.health.record_failure(now),
            _ => {}
        }
    }

    /// Starts a new take-over and keeps the known slots.
    pub fn restart(&mut self, term: Term, now: Instant) {
        self.phase = Phase::Recovering {
            since: now,
            warm_up: Some(self.limit.warm_up()),
            handed: None,
        };
        self.term = term;
        self.acked.clear();
        self.recover_sent = now;
    }

    /// Returns whether `entry` acknowledged this term.
    pub fn acked_by(&self, entry: RouterId) -> bool {
        self.acked.contains_key(&entry)
    }
}
