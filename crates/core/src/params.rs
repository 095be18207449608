//! Parameters of the reducer and their defaults.

use std::time::Duration;

use hibiscusrail_macros::record;

/// Which waiting request receives a free slot.
#[hibiscusrail_macros::id]
pub enum Policy {
    /// A request of the workspace with the least normalised service across the fleet.
    FleetFair,
    /// A request of the workspace with the least normalised service at this dispatcher.
    LocalFair,
    /// The oldest request.
    Fifo,
}

/// Parameters of a router.
#[record]
pub struct Params {
    /// Policy that assigns free slots.
    pub policy: Policy,
    /// Lifetime of a grant: time from sending a demand until grants for it expire.
    pub grant_life: Duration,
    /// Interval of demand refreshes, usage reports and the exchange of service totals.
    pub period: Duration,
    /// Minimum interval between two demand updates to one dispatcher.
    pub demand_delay: Duration,
    /// How long an entry requests no single slot from a dispatcher that had none free.
    pub full_memory: Duration,
    /// Time after which a slot counts as free once its entry is lost.
    pub orphan_life: Duration,
    /// Maximum delay between the measurement of a server's load and its report.
    pub report_lag: Duration,
    /// Interval between two [`TermRequest`](crate::message::TermRequest) messages in one take-over.
    pub recover_retry: Duration,
    /// Whether an entry prefers the server that last served the same prompt prefix.
    pub prefix_affinity: bool,
    /// Assumed cost of a request before any was measured, in cost units.
    pub first_cost: f64,
    /// Maximum time without a byte from a server that is sending its answer.
    pub progress_timeout: Duration,
    /// Maximum time to first byte, unless a service usually takes longer.
    pub first_timeout: Duration,
    /// Maximum time to first byte of a model answer that is not streamed.
    pub whole_timeout: Duration,
    /// Time after which an entry stops waiting for a dispatcher that does not answer.
    pub ask_timeout: Duration,
    /// How long an entry requests no single slot from a dispatcher that did not answer.
    pub silence_memory: Duration,
    /// Interval of the probes of other routers.
    pub probe_period: Duration,
    /// Time after which an unanswered probe is repeated through other routers.
    pub probe_timeout: Duration,
    /// Minimum first-byte timeout of a plain service's idempotent requests.
    pub lookup_timeout: Duration,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Initial and maximum number of tokens in a workspace's retry budget.
    pub retry_burst: f64,
}

impl Default for Params {
    fn default() -> Self {
        Self::new()
    }
}

impl Params {
    /// Creates the default parameters.
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

    /// Sets the policy that assigns free slots.
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

    /// Sets the interval of demand refreshes, usage reports and service totals.
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

    /// Sets the time after which the slot of a lost entry counts as free.
    #[must_use]
    pub fn with_orphan_life(mut self, life: Duration) -> Self {
        self.orphan_life = life;
        self
    }

    /// Sets the maximum time without a byte from a server that is sending its answer.
    #[must_use]
    pub fn with_progress_timeout(mut self, timeout: Duration) -> Self {
        self.progress_timeout = timeout;
        self
    }

    /// Sets the minimum first-byte timeout of a plain service's idempotent requests.
    #[must_use]
    pub fn with_lookup_timeout(mut self, timeout: Duration) -> Self {
        self.lookup_timeout = timeout;
        self
    }

    /// Sets the maximum time to first byte, unless a service usually takes longer.
    #[must_use]
    pub fn with_first_timeout(mut self, timeout: Duration) -> Self {
        self.first_timeout = timeout;
        self
    }
}
