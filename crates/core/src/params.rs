//! Parameters of the reducer's policies, with their defaults.

use std::time::Duration;

use hibiscusrail_macros::record;

/// How free slots are shared among waiting workspaces.
#[hibiscusrail_macros::id]
pub enum Policy {
    /// The workspace with the least normalised service across the fleet.
    FleetFair,
    /// The workspace with the least normalised service at this dispatcher.
    LocalFair,
    /// The oldest request first.
    Fifo,
}

/// Parameters of a router's policies.
#[record]
pub struct Params {
    /// Who receives a free slot.
    pub policy: Policy,
    /// How long after the demand was sent an entry may still use a grant.
    pub grant_life: Duration,
    /// Period of the exchange of service totals, demand refresh and usage reports.
    pub period: Duration,
    /// Least time between two demand updates to one dispatcher.
    pub demand_delay: Duration,
    /// How long a dispatcher that reported no room is not asked for one slot.
    pub full_memory: Duration,
    /// Time after which a slot is free whatever is heard of it, once its entry is lost.
    pub orphan_life: Duration,
    /// How much later than its measurement a server's load report may arrive.
    pub report_lag: Duration,
    /// Time between two requests to obey in one take-over.
    pub recover_retry: Duration,
    /// Whether an entry prefers the server that last served the same prompt prefix.
    pub prefix_affinity: bool,
    /// Cost of a request before any has been measured, in cost units.
    pub first_cost: f64,
    /// Time without a byte after which a stream counts as silent.
    pub progress_timeout: Duration,
    /// Time from sending a request to the first byte of its answer at most.
    pub first_timeout: Duration,
    /// Time to a model's answer that is not streamed at most.
    pub whole_timeout: Duration,
    /// Time after which an entry turns away from a dispatcher that left it unanswered.
    pub ask_timeout: Duration,
    /// How long a dispatcher that left an entry unanswered is not asked for one slot.
    pub silence_memory: Duration,
    /// Period of the probes of other routers.
    pub probe_period: Duration,
    /// Time after which an unanswered probe is repeated through other routers.
    pub probe_timeout: Duration,
    /// Least time to the first byte of a plain call's answer before it is tried elsewhere.
    pub lookup_timeout: Duration,
    /// Attempts for one idempotent request at most.
    pub max_attempts: u32,
    /// Tokens of the retry budget that a workspace starts with and can hold.
    pub retry_burst: f64,
}

impl Default for Params {
    fn default() -> Self {
        Self::new()
    }
}

impl Params {
    /// Returns the defaults.
    #[must_use]
    pub fn new() -> Self {
        Self {
            policy: Policy::FleetFair,
            grant_life: Duration::from_millis(1_000),
            period: Duration::from_millis(1_000),
            demand_delay: Duration::from_millis(100),
            full_memory: Duration::from_millis(500),
            orphan_life: Duration::from_secs(120),
            report_lag: Duration::from_secs(2),
            recover_retry: Duration::from_millis(100),
            prefix_affinity: false,
            first_cost: 1.0,
            progress_timeout: Duration::from_secs(5),
            whole_timeout: Duration::from_secs(60),
            first_timeout: Duration::from_secs(20),
            ask_timeout: Duration::from_millis(25),
            silence_memory: Duration::from_secs(2),
            probe_period: Duration::from_millis(1_000),
            probe_timeout: Duration::from_millis(350),
            lookup_timeout: Duration::from_secs(1),
            max_attempts: 4,
            retry_burst: 10.0,
        }
    }

    /// Sets the policy that shares free slots.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the lifetime of a grant.
    #[must_use]
    pub fn with_grant_life(mut self, life: Duration) -> Self {
        self.grant_life = life;
        self
    }

    /// Sets the exchange period.
    #[must_use]
    pub fn with_period(mut self, period: Duration) -> Self {
        self.period = period;
        self
    }

    /// Sets whether an entry prefers the server that last served the same prefix.
    #[must_use]
    pub fn with_prefix_affinity(mut self, affinity: bool) -> Self {
        self.prefix_affinity = affinity;
        self
    }

    /// Sets the time after which the slot of a lost entry is free.
    #[must_use]
    pub fn with_orphan_life(mut self, life: Duration) -> Self {
        self.orphan_life = life;
        self
    }

    /// Sets the time without a byte after which a stream counts as silent.
    #[must_use]
    pub fn with_progress_timeout(mut self, timeout: Duration) -> Self {
        self.progress_timeout = timeout;
        self
    }

    /// Sets the least time to the first byte of a plain call's answer.
    #[must_use]
    pub fn with_lookup_timeout(mut self, timeout: Duration) -> Self {
        self.lookup_timeout = timeout;
        self
    }

    /// Sets the time to the first byte of an answer at most.
    #[must_use]
    pub fn with_first_timeout(mut self, timeout: Duration) -> Self {
        self.first_timeout = timeout;
        self
    }
}
