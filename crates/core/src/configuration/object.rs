//! Configuration objects that operators define.

use std::fmt;
use std::net::SocketAddr;

use hibiscusrail_macros::{id, record};

use crate::ids::{ServerId, ServiceId, WorkspaceId, ZoneId};

/// Number of the change ticket that last changed an object.
#[id]
pub struct Version(pub u64);

/// A workspace: a customer that shares the capacity with others.
#[record]
pub struct Workspace {
    /// Name given by operators.
    pub name: String,
    /// Weight of the workspace's portion of the capacity; above zero.
    pub share: f64,
    /// SHA-256 hash of the workspace's API key.
    pub key_hash: [u8; 32],
    /// Maximum number of requests that wait at one router, per service.
    pub queue_limit: u32,
    /// Retries earned per accepted request, as a fraction.
    pub retry_fraction: f64,
}

/// Kind of the servers of a service.
#[id]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// A service that callers ask for.
#[record]
pub struct Service {
    /// Name given by operators.
    pub name: String,
    /// Kind of its servers.
    pub kind: ServiceKind,
    /// Cost units per prompt token (model) or per request (plain).
    pub prompt_weight: f64,
    /// Cost units per generated token (model) or per second (plain).
    pub output_weight: f64,
}

/// Whether a server or zone admits new requests.
#[id]
pub enum Admission {
    /// New requests are sent.
    Open,
    /// No new requests are sent; running requests finish.
    Closed,
}

/// A backend server.
#[record]
pub struct Server {
    /// Name given by operators.
    pub name: String,
    /// The service it serves.
    pub service: ServiceId,
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Concurrency limit when freshly started.
    pub cold_limit: u32,
    /// Concurrency limit when warm.
    pub max_limit: u32,
    /// Whether the server admits new requests.
    pub admission: Admission,
}

/// An availability zone.
#[record]
pub struct Zone {
    /// Name given by operators.
    pub name: String,
    /// Whether the servers of the zone admit new requests.
    pub admission: Admission,
}

/// A configuration object of any kind.
#[record]
pub enum Object {
    /// A workspace.
    Workspace(Workspace),
    /// A service.
    Service(Service),
    /// A backend server.
    Server(Server),
    /// An availability zone.
    Zone(Zone),
    /// A removed object; its version is kept so that no older one is applied.
    Removed(ObjectId),
}

/// Identifies a configuration object.
#[id]
pub enum ObjectId {
    /// A workspace.
    Workspace(WorkspaceId),
    /// A service.
    Service(ServiceId),
    /// A backend server.
    Server(ServerId),
    /// An availability zone.
    Zone(ZoneId),
}

impl Object {
    /// Returns the identifier of the object.
    #[must_use]
    pub fn id(&self) -> ObjectId {
        match self {
            Self::Workspace(w) => ObjectId::Workspace(WorkspaceId::new(&w.name)),
            Self::Service(s) => ObjectId::Service(ServiceId::new(&s.name)),
            Self::Server(s) => ObjectId::Server(ServerId::new(&s.name)),
            Self::Zone(z) => ObjectId::Zone(ZoneId::new(&z.name)),
            Self::Removed(id) => *id,
        }
    }
}

impl fmt::Display for Object {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(w) => write!(f, "workspace/{}", w.name),
            Self::Service(s) => write!(f, "service/{}", s.name),
            Self::Server(s) => write!(f, "server/{}", s.name),
            Self::Zone(z) => write!(f, "zone/{}", z.name),
            Self::Removed(id) => write!(f, "{id}"),
        }
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(id) => write!(f, "workspace/{id}"),
            Self::Service(id) => write!(f, "service/{id}"),
            Self::Server(id) => write!(f, "server/{id}"),
            Self::Zone(id) => write!(f, "zone/{id}"),
        }
    }
}
