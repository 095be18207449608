//! Parameters of the router's decisions.

use std::time::Duration;

use crate::model::{Learn, Nominal};
use crate::retry::RetryBound;
use crate::rollout::order::Bounds;

/// Time from the last look at a table to the request's bytes at the server: a turn of the event loop
/// of a flooded router.
const SEND_TIME: Duration = Duration::from_millis(500);

/// Limits, rates and timeouts used by the router's decisions.
#[hibiscusrail_macros::record]
pub struct Params {
    /// Availability zone of this router.
    pub zone: String,
    /// Factor on a cold server's rate in the limit on its requests; from the deployment's bounds.
    pub cold_factor: f64,
    /// Requests per second that the limit allows in addition; from the deployment's bounds.
    pub cold_slack: f64,
    /// Time after a server's departure from which no request may reach it; from the deployment's
    /// bounds.
    pub drain_bound: Duration,
    /// Time after a change of the configuration from which all requests are handled by it; from the
    /// deployment's bounds.
    pub config_bound: Duration,
    /// Window over which shares of throughput are computed; from the deployment's bounds.
    pub quota_window: Duration,
    /// Limit on retries; from the deployment's bounds.
    pub retries: RetryBound,
    /// Period of the reports to other routers.
    pub report_period: Duration,
    /// Age from which a report no longer counts because its sender is considered unreachable.
    pub report_ttl: Duration,
    /// Bounds on rollouts; none in deployments without them, where all versions are served alike.
    pub rollout: Option<Bounds>,
    /// Prefill rate of an idle engine in tokens per millisecond; from the engine's data sheet.
    pub read_rate: f64,
    /// Time per output token at an idle engine; from its data sheet.
    pub step_time: Duration,
    /// Increase of the time per output token for each running request; from the data sheet.
    pub step_each: Duration,
    /// Whether the speed and pace learned from servers' responses are used.
    pub learn: Learn,
    /// Time in which no server restarts: one that is not heard for so long may have started again, cold,
    /// before its new registration is read.
    pub restart_time: Duration,
    /// Number of routers assumed until other routers are known.
    pub routers: usize,
    /// Longest time from the start of a server to its registration: servers write to the store at this
    /// interval.
    pub check_in: Duration,
    /// Time after a store outage for which servers are kept whose registrations expired.
    pub lapse_grace: Duration,
    /// Age of the store's last answer from which a router no longer reads the store for its zone.
    pub store_ttl: Duration,
    /// Time from the first failed call to the store after which registrations may have expired.
    pub store_silence: Duration,
}

impl Params {
    /// Returns the limit on the requests per second of all routers together to a cold server.
    #[must_use]
    pub fn cold_bound(&self, rate: f64) -> f64 {
        rate * self.cold_factor + self.cold_slack
    }

    /// Returns the configured speed of servers.
    #[must_use]
    pub fn nominal(&self) -> Nominal {
        Nominal {
            read_rate: self.read_rate,
            step_time: self.step_time,
            step_each: self.step_each,
        }
    }

    /// Returns the age from which a server list doesn't decide alone where requests may go.
    #[must_use]
    pub fn max_list_age(&self) -> Duration {
        self.drain_bound.saturating_sub(SEND_TIME)
    }

    /// Returns the age from which a configuration may be too old to handle requests by it.
    #[must_use]
    pub fn max_config_age(&self) -> Duration {
        self.config_bound.saturating_sub(SEND_TIME)
    }

    /// Returns the data sheet's time per output token with `running` requests, given the fraction
    /// of time spent on prefill.
    #[must_use]
    pub fn nominal_interval(&self, running: u32, prefill_fraction: f64) -> Duration {
        /// Lower bound of the fraction of time left for decoding.
        const MIN_DECODE_FRACTION: f64 = 0.1;
        let step = self.step_time + self.step_each * running;
        step.div_f64((1.0 - prefill_fraction).max(MIN_DECODE_FRACTION))
    }
}
