//! The versioned configuration objects in force at this router.
//!
//! An object is applied only at a higher version than the one in force, so
//! nothing ever reverts, whatever order the sources deliver it in.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hibiscusrail_macros::{id, record};

use crate::ids::{ServerId, ServiceId, WorkspaceId, ZoneId};

/// The number of the change ticket that last touched an object.
#[id]
pub struct Version(pub u64);

/// A workspace: a customer that shares the capacity.
#[record]
pub struct Workspace {
    /// Name given by operators.
    pub name: String,
    /// Weight of its portion of the capacity; above zero.
    pub share: f64,
    /// SHA-256 of its key.
    pub key_hash: [u8; 32],
    /// Requests that may wait at one router, per service.
    pub queue_limit: u32,
    /// Retries allowed per request, as a fraction.
    pub retry_fraction: f64,
}

/// What kind of servers stand behind a service.
#[id]
pub enum ServiceKind {
    /// Model engines with streams of tokens.
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// A service that callers ask for.
#[record]
pub struct Service {
    /// Name given by operators.
    pub name: String,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Cost units per prompt token (model) or per request (plain).
    pub prompt_weight: f64,
    /// Cost units per generated token (model) or per second (plain).
    pub output_weight: f64,
}

/// Whether a server or zone takes new work.
#[id]
pub enum Admission {
    /// New work is sent.
    Open,
    /// No new work; running work finishes.
    Closed,
}

/// A backend server.
#[record]
pub struct Server {
    /// Name given by operators.
    pub name: String,
    /// The service it serves.
    pub service: ServiceId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Its address.
    pub address: SocketAddr,
    /// Requests it bears when freshly started.
    pub cold_limit: u32,
    /// Requests it bears when warm.
    pub max_limit: u32,
    /// Whether it takes new work.
    pub admission: Admission,
}

/// An availability zone.
#[record]
pub struct Zone {
    /// Name given by operators.
    pub name: String,
    /// Whether its servers take new work.
    pub admission: Admission,
}

/// One configuration object, whole.
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
    /// An object that was removed; the version is kept so that it can't come back.
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

/// The objects in force, each at its version.
#[derive(Debug, Default)]
pub struct Configuration {
    versions: BTreeMap<ObjectId, Version>,
    workspaces: BTreeMap<WorkspaceId, Workspace>,
    services: BTreeMap<ServiceId, Service>,
    servers: BTreeMap<ServerId, Server>,
    zones: BTreeMap<ZoneId, Zone>,
    keys: BTreeMap<[u8; 8], WorkspaceId>,
}

/// The first bytes of a key hash, by which workspaces are indexed.
fn key_prefix(hash: &[u8; 32]) -> [u8; 8] {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash[..8]);
    prefix
}

impl Configuration {
    /// Creates an empty configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts `object` in force unless an equal or higher version already is.
    ///
    /// Returns whether it was put in force.
    pub fn apply(&mut self, version: Version, object: Object) -> bool {
        let id = object.id();
        if self.versions.get(&id).is_some_and(|v| *v >= version) {
            return false;
        }
        self.versions.insert(id, version);
        self.remove(id);
        self.insert(object);
        true
    }

    fn remove(&mut self, id: ObjectId) {
        match id {
            ObjectId::Workspace(id) => {
                if let Some(old) = self.workspaces.remove(&id) {
                    self.keys.remove(&key_prefix(&old.key_hash));
                }
            }
            ObjectId::Service(id) => {
                self.services.remove(&id);
            }
            ObjectId::Server(id) => {
                self.servers.remove(&id);
            }
            ObjectId::Zone(id) => {
                self.zones.remove(&id);
            }
        }
    }

    fn insert(&mut self, object: Object) {
        match object {
            Object::Workspace(w) => {
                let id = WorkspaceId::new(&w.name);
                self.keys.insert(key_prefix(&w.key_hash), id);
                self.workspaces.insert(id, w);
            }
            Object::Service(s) => {
                self.services.insert(ServiceId::new(&s.name), s);
            }
            Object::Server(s) => {
                self.servers.insert(ServerId::new(&s.name), s);
            }
            Object::Zone(z) => {
                self.zones.insert(ZoneId::new(&z.name), z);
            }
            Object::Removed(_) => {}
        }
    }

    /// Returns the version of an object, if it was ever in force.
    #[must_use]
    pub fn version(&self, id: ObjectId) -> Option<Version> {
        self.versions.get(&id).copied()
    }

    /// Returns the version of every object ever in force.
    pub fn versions(&self) -> impl Iterator<Item = (ObjectId, Version)> + '_ {
        self.versions.iter().map(|(id, v)| (*id, *v))
    }

    /// Returns the highest version in force.
    #[must_use]
    pub fn head(&self) -> Version {
        self.versions.values().copied().max().unwrap_or(Version(0))
    }

    /// Returns a workspace.
    #[must_use]
    pub fn workspace(&self, id: WorkspaceId) -> Option<&Workspace> {
        self.workspaces.get(&id)
    }

    /// Returns the workspace whose key hash begins like `hash`, with its whole hash.
    ///
    /// The caller compares the whole hash in constant time.
    #[must_use]
    pub fn workspace_by_key(&self, hash: &[u8; 32]) -> Option<(WorkspaceId, [u8; 32])> {
        let id = *self.keys.get(&key_prefix(hash))?;
        Some((id, self.workspaces.get(&id)?.key_hash))
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(&id)
    }

    /// Returns a server.
    #[must_use]
    pub fn server(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        self.servers.iter().map(|(id, s)| (*id, s))
    }

    /// Returns whether `server` may receive new work: itself and its zone open.
    #[must_use]
    pub fn is_open(&self, server: &Server) -> bool {
        let zone_open = self
            .zones
            .get(&server.zone)
            .is_none_or(|z| z.admission == Admission::Open);
        zone_open && server.admission == Admission::Open
    }

    /// Returns all zones.
    pub fn zones(&self) -> impl Iterator<Item = (ZoneId, &Zone)> {
        self.zones.iter().map(|(id, z)| (*id, z))
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = (WorkspaceId, &Workspace)> {
        self.workspaces.iter().map(|(id, w)| (*id, w))
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = (ServiceId, &Service)> {
        self.services.iter().map(|(id, s)| (*id, s))
    }
}
