//! One server in the hands of its dispatcher.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::configuration::Server;
use crate::health::Health;
use crate::ids::{Incarnation, RouterId, ServiceId, Term};
use crate::message::{GrantEnd, Release, Warmth};
use crate::server::Limit;

/// Whether the dispatcher knows every slot in use at the server.
#[derive(Debug)]
pub(super) enum Phase {
    /// It asks the entries; no slot is granted.
    Recovering {
        /// When it began.
        since: Instant,
        /// Warmth that entries or the predecessor reported.
        warmth: Option<Warmth>,
        /// Slots in doubt according to the predecessor, when it handed over.
        handed: Option<u32>,
    },
    /// Every entry that obeys has reported.
    Steady,
}

/// A server whose slots this router hands out.
#[derive(Debug)]
pub(super) struct Managed {
    pub service: ServiceId,
    pub limit: Limit,
    /// Whether it answers at all.
    pub health: Health,
    pub phase: Phase,
    pub term: Term,
    /// Entries that have promised to obey this take-over.
    pub obeying: BTreeMap<RouterId, Incarnation>,
    /// When entries were last asked to obey.
    pub asked: Instant,
    /// Slots in use or on their way.
    pub used: u32,
    /// Slots that count as in use though nobody is known to hold them.
    pub presumed: u32,
    /// Slots that stay presumed should the server report no load.
    pub presumed_least: u32,
    /// When slots became presumed.
    pub presumed_since: Instant,
    /// Warmth that the standby routers were told.
    pub told: Option<Warmth>,
    /// Whether the server takes new work.
    pub open: bool,
    /// Free slots as the pool lists them.
    pub listed: u32,
}

impl Managed {
    pub fn new(server: &Server, term: Term, now: Instant) -> Self {
        Self {
            service: server.service,
            limit: Limit::new(server.cold_limit, server.max_limit),
            health: Health::new(),
            phase: Phase::Recovering {
                since: now,
                warmth: None,
                handed: None,
            },
            term,
            obeying: BTreeMap::new(),
            asked: now,
            used: 0,
            presumed: 0,
            presumed_least: 0,
            presumed_since: now,
            told: None,
            open: false,
            listed: 0,
        }
    }

    /// Returns the slots that may be granted now.
    pub fn free(&self) -> u32 {
        if !self.open || self.is_recovering() {
            return 0;
        }
        let limit = self.health.cap(self.limit.get());
        limit.saturating_sub(self.used + self.presumed)
    }

    pub fn is_recovering(&self) -> bool {
        matches!(self.phase, Phase::Recovering { .. })
    }

    /// Takes in the end of a request.
    pub fn observe(&mut self, now: Instant, release: &Release) {
        self.limit.observe(release.end, release.first_byte);
        match (release.end, release.first_byte) {
            (GrantEnd::Done, _) | (_, Some(_)) => self.health.answer(),
            (GrantEnd::Failed, None) => self.health.fail(now),
            _ => {}
        }
    }

    /// Begins a new take-over; what is known of slots is kept.
    pub fn restart(&mut self, term: Term, now: Instant) {
        self.phase = Phase::Recovering {
            since: now,
            warmth: Some(self.limit.warmth()),
            handed: None,
        };
        self.term = term;
        self.obeying.clear();
        self.asked = now;
    }

    /// Returns whether `entry` obeys this take-over.
    pub fn obeyed_by(&self, entry: RouterId) -> bool {
        self.obeying.contains_key(&entry)
    }
}
