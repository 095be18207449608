//! The versioned configuration objects in force at this router.
//!
//! An object is applied only at a higher version than the one in force, so no
//! object ever reverts, whatever the order of delivery. Routers compare their
//! configurations by [`digest`](Configuration::digest) and by bucket, and pull
//! the objects that the other router has at a higher version.

mod buckets;
pub mod exchange;
mod object;

use std::collections::BTreeMap;

use crate::ids::{ServerId, ServiceId, WorkspaceId, ZoneId};

pub use buckets::{BUCKETS, Buckets};
pub use object::{
    Admission, Object, ObjectId, Server, Service, ServiceKind, Version, Workspace, Zone,
};

/// The configuration objects in force, each at its version.
#[derive(Debug, Default)]
pub struct Configuration {
    versions: BTreeMap<ObjectId, Version>,
    workspaces: BTreeMap<WorkspaceId, Workspace>,
    services: BTreeMap<ServiceId, Service>,
    servers: BTreeMap<ServerId, Server>,
    zones: BTreeMap<ZoneId, Zone>,
    keys: BTreeMap<[u8; 8], WorkspaceId>,
    buckets: Buckets,
}

/// Returns the first bytes of a key hash, by which workspaces are indexed.
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

    /// Puts `object` in force unless an equal or higher version is; returns whether it did so.
    pub fn apply(&mut self, version: Version, object: Object) -> bool {
        let id = object.id();
        let old = self.versions.get(&id).copied();
        if old.is_some_and(|v| v >= version) {
            return false;
        }
        self.versions.insert(id, version);
        self.buckets.replace(id, old, version);
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

    /// Returns the version of an object, including removed objects.
    #[must_use]
    pub fn version(&self, id: ObjectId) -> Option<Version> {
        self.versions.get(&id).copied()
    }

    /// Returns the version of every object, including removed objects.
    pub fn versions(&self) -> impl Iterator<Item = (ObjectId, Version)> + '_ {
        self.versions.iter().map(|(id, v)| (*id, *v))
    }

    /// Returns the highest version in force.
    #[must_use]
    pub fn head(&self) -> Version {
        self.versions.values().copied().max().unwrap_or(Version(0))
    }

    /// Returns a digest of all object versions; equal where every version is equal.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.buckets.digest()
    }

    /// Returns the digest of each bucket.
    #[must_use]
    pub fn buckets(&self) -> &Buckets {
        &self.buckets
    }

    /// Returns an object with its version; [`Object::Removed`] if it was removed.
    #[must_use]
    pub fn object(&self, id: ObjectId) -> Option<(Version, Object)> {
        let version = self.version(id)?;
        let object = match id {
            ObjectId::Workspace(w) => self.workspaces.get(&w).cloned().map(Object::Workspace),
            ObjectId::Service(s) => self.services.get(&s).cloned().map(Object::Service),
            ObjectId::Server(s) => self.servers.get(&s).cloned().map(Object::Server),
            ObjectId::Zone(z) => self.zones.get(&z).cloned().map(Object::Zone),
        };
        Some((version, object.unwrap_or(Object::Removed(id))))
    }

    /// Returns a workspace.
    #[must_use]
    pub fn workspace(&self, id: WorkspaceId) -> Option<&Workspace> {
        self.workspaces.get(&id)
    }

    /// Returns the workspace whose key hash has the same prefix as `hash`, and its full key hash,
    /// which the caller compares in constant time.
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

    /// Returns whether `server` takes new work: both it and its zone admit requests.
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
