//! The operator's configuration and the backend servers.
//!
//! These are the product's own types: an adapter decodes them from whatever
//! the deployment stores, and routers exchange them with one another as JSON.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hibiscusrail_macros::{id, record};
use serde::{Deserialize, Serialize};

/// Version of a table of the store; grows with each change.
#[id]
#[derive(Default, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// How often a request may run.
#[id]
#[derive(Serialize, Deserialize)]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// A destination of a route with its weight.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Where requests of a host and path prefix go, and how.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name in the configuration.
    pub name: String,
    /// Host of the requests, in lower case and without a port.
    pub host: String,
    /// Beginning of their path.
    pub prefix: String,
    /// The services; never empty.
    pub targets: Vec<Target>,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub stream: bool,
    /// Whether a stream may go on at another server.
    pub resumable: bool,
    /// Whether requests need no API key.
    pub public: bool,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target: Duration,
    /// Servers that one request may be sent to at most.
    pub attempts: u32,
}

/// How engines of a service copy what they keep of a prompt from each other.
#[record]
#[derive(Copy, Serialize, Deserialize)]
pub struct CopyFacts {
    /// Bytes of a token in an engine's memory.
    pub token_bytes: u32,
    /// Bytes a second between two engines.
    pub rate: f64,
}

impl CopyFacts {
    /// Returns the time that a copy of `tokens` takes, from an engine of the own
    /// zone or of another.
    #[must_use]
    pub fn time(&self, tokens: u32, is_near: bool) -> Duration {
        /// Time until a copy begins: a call from engine to engine and a step of each.
        const SETUP: Duration = Duration::from_millis(6);
        /// How much longer a copy between zones takes; from the protocol.
        const FAR: f64 = 2.0;
        /// Longest time that is told apart; also bounds what a wrong rate does.
        const LONGEST: f64 = 60.0;
        let bytes = f64::from(tokens) * f64::from(self.token_bytes);
        let part = if is_near { 1.0 } else { FAR };
        SETUP + Duration::from_secs_f64((bytes / self.rate * part).clamp(0.0, LONGEST))
    }
}

/// Facts of the model engines of a service.
#[record]
#[derive(Serialize, Deserialize)]
pub struct EngineFacts {
    /// Requests processed at once.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub memory: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// How engines copy prompts from each other; none where they don't.
    pub copies: Option<CopyFacts>,
}

/// A service.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Path of the health check.
    pub health: String,
    /// Connections that a server takes from all routers.
    pub connections: u32,
    /// Time for which a started server is cold.
    pub cold_time: Duration,
    /// Requests a second that a cold server bears; zero when it is never cold.
    pub cold_rate: f64,
    /// Facts of its engines; none for plain services.
    pub engine: Option<EngineFacts>,
}

/// A workspace and the keys that open it.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<String>,
}

/// Limits on callers, and the throughput to share.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for which a caller's connection may be idle.
    pub idle: Duration,
    /// Tokens a second that the engines together give; zero when nothing is promised.
    pub throughput: f64,
}

/// The operator's whole configuration.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Deployment {
    /// Version as the operator counts.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// The limits.
    pub limits: Limits,
}

/// What the operator wants: the configuration and the zones taken out.
#[record]
#[derive(Default, Serialize, Deserialize)]
pub struct Orders {
    /// The configuration; none before the first.
    pub deployment: Option<Deployment>,
    /// Availability zones whose servers receive nothing.
    pub evacuated: BTreeSet<String>,
}

/// A backend server as it registered itself.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Backend {
    /// Name of its service.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its entry ran out while the store was away.
    pub lapsed: bool,
    /// Requests it processes at once.
    pub slots: u32,
    /// How much longer it is cold, counted from when this entry was read.
    pub cold: Duration,
    /// Counts its reports; starts anew with each start.
    pub sequence: u64,
    /// Start of the server as Unix milliseconds; zero when it is not told.
    pub born: u64,
}

/// The registered servers by id.
pub type Servers = BTreeMap<String, Backend>;

impl Deployment {
    /// Returns the route of a request: the longest prefix among those of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix))
            .max_by_key(|r| r.prefix.len())
    }

    /// Returns the workspace that holds an API key.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|w| w.keys.iter().any(|k| k == key))
    }
}
