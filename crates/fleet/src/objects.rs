//! Operator configuration and backend servers.
//!
//! These types belong to the router: an adapter decodes them from the deployment's store, and
//! routers exchange them with each other as JSON.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hibiscusrail_macros::{id, record};
use serde::{Deserialize, Serialize};

use crate::rollout::order::Order;

/// Revision of a table in the store; increases with each change.
///
/// A store that was restored from an older copy gives out versions again, so the store's era forms
/// the upper bits.
#[id]
#[derive(Default, Serialize, Deserialize)]
pub struct Revision(pub u64);

impl Revision {
    /// Number of bits of the version.
    const VERSION_BITS: u32 = 48;

    /// Creates the revision of a version that the store gave out in an era.
    #[must_use]
    pub fn new(era: u16, version: u64) -> Self {
        Self(u64::from(era) << Self::VERSION_BITS | version)
    }

    /// Returns the era: how many times the store was restored from a copy.
    #[must_use]
    pub fn era(self) -> u64 {
        self.0 >> Self::VERSION_BITS
    }

    /// Returns the version that the store gave out in its era.
    #[must_use]
    pub fn version(self) -> u64 {
        self.0 & ((1 << Self::VERSION_BITS) - 1)
    }
}

/// Whether a request may run more than once.
#[id]
#[derive(Serialize, Deserialize)]
pub enum Repeat {
    /// The request can be repeated safely.
    Idempotent,
    /// The request runs at most once.
    Once,
}

/// Weighted destination of a route.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Rule that maps requests of a host and path prefix to services.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests, in lower case and without a port.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Destination services; never empty.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub stream: bool,
    /// Whether another server may resume a stream.
    pub resumable: bool,
    /// Whether requests need no API key.
    pub public: bool,
    /// Maximum time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target: Duration,
    /// Maximum number of servers to which one request may be sent.
    pub attempts: u32,
    /// Longest pause between two events of an answer that is on time; none if the route names none.
    #[serde(default)]
    pub max_pause: Option<Duration>,
    /// Rank of the route's requests within their workspace; 0 is the highest.
    #[serde(default)]
    pub rank: Option<u32>,
}

/// Properties of KV cache transfers between a service's engines.
#[record]
#[derive(Copy, Serialize, Deserialize)]
pub struct TransferFacts {
    /// KV cache size of a token in bytes.
    pub token_bytes: u32,
    /// Transfer rate between two engines in bytes per second.
    pub rate: f64,
}

impl TransferFacts {
    /// Returns the duration of a transfer of `tokens`, within a zone or between zones.
    #[must_use]
    pub fn time(&self, tokens: u32, is_near: bool) -> Duration {
        /// Time until a transfer starts: a call between engines and a step of each.
        const SETUP: Duration = Duration::from_millis(6);
        /// Factor on the duration of a transfer between zones; from the protocol.
        const CROSS_ZONE_FACTOR: f64 = 2.0;
        /// Upper bound in seconds, which also limits the effect of a wrong rate.
        const MAX_SECONDS: f64 = 60.0;
        let bytes = f64::from(tokens) * f64::from(self.token_bytes);
        let factor = if is_near { 1.0 } else { CROSS_ZONE_FACTOR };
        SETUP + Duration::from_secs_f64((bytes / self.rate * factor).clamp(0.0, MAX_SECONDS))
    }
}

/// Properties of a service's model engines.
#[record]
#[derive(Serialize, Deserialize)]
pub struct EngineFacts {
    /// Number of requests processed at once.
    pub slots: u32,
    /// KV cache capacity of an engine in tokens.
    pub memory: u64,
    /// Number of tokens in one stream event.
    pub event_tokens: u32,
    /// KV cache transfers between engines; none if they are not supported.
    pub copies: Option<TransferFacts>,
}

/// Service that routes can send requests to.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Path of the health check.
    pub health: String,
    /// Maximum number of connections that a server accepts from all routers together.
    pub connections: u32,
    /// Time after its start for which a server is cold.
    pub cold_time: Duration,
    /// Requests per second that a cold server can handle; zero if servers are never cold.
    pub cold_rate: f64,
    /// Properties of the engines; none for plain services.
    pub engine: Option<EngineFacts>,
}

/// Workspace and its API keys.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys of the workspace.
    pub keys: Vec<String>,
    /// Rank of all of the workspace's requests, in place of their routes'; 0 is the highest.
    #[serde(default)]
    pub rank: Option<u32>,
}

/// Limits on callers, and the throughput shared by workspaces.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Idle timeout of a caller's connection.
    pub idle: Duration,
    /// Guaranteed tokens per second of all engines together; zero without a guarantee.
    pub throughput: f64,
    /// Timeout of a request's head as the operator configured it; routers apply `idle` instead.
    #[serde(default)]
    pub head_timeout: Option<Duration>,
}

/// Complete configuration of a deployment.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Deployment {
    /// Version assigned by the operator.
    pub version: u64,
    /// Routes that requests are matched against.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Workspaces that share the engines.
    pub workspaces: Vec<Workspace>,
    /// Limits on callers, and the shared throughput.
    pub limits: Limits,
}

/// Operator configuration: the deployment and the evacuated zones.
#[record]
#[derive(Default, Serialize, Deserialize)]
pub struct OperatorConfig {
    /// Deployment configuration; none before the first one is read.
    pub deployment: Option<Deployment>,
    /// Evacuated availability zones; their servers receive no requests.
    pub evacuated: BTreeSet<String>,
    /// Orders to roll out versions, by service.
    #[serde(default)]
    pub rollouts: BTreeMap<String, Order>,
}

/// Registration of a backend server.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of the server's software; empty if unknown.
    #[serde(default)]
    pub version: String,
    /// Whether the server is draining.
    pub leaving: bool,
    /// Whether the registration expired during a store outage.
    pub lapsed: bool,
    /// Number of requests processed at once.
    pub slots: u32,
    /// Remaining cold time, from when this registration was read.
    pub cold: Duration,
    /// Sequence number of the registration; restarts with the server.
    pub sequence: u64,
    /// Start time of the server in Unix milliseconds; zero if unknown.
    pub born: u64,
}

/// Registered servers by id.
pub type Servers = BTreeMap<String, Backend>;

impl Backend {
    /// Returns whether this registration is of a server that started at `born`, as far as known.
    #[must_use]
    pub fn is_same_life(&self, born: u64) -> bool {
        self.born != 0 && self.born == born
    }
}

/// Returns a host without its port.
#[must_use]
pub fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

impl Deployment {
    /// Returns the route of a request: the one with the longest matching prefix for its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix))
            .max_by_key(|r| r.prefix.len())
    }

    /// Returns the workspace of an API key.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|w| w.keys.iter().any(|k| k == key))
    }
}
