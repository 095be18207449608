//! Registry of the backend servers, kept up to date from their registrations in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::engine::Server;
use crate::notice::Notice;
use crate::objects::{Backend, Revision, Servers};
use crate::peers::Outdated;
use crate::placement::name_hash;

new_key_type! {
    /// Key of a backend server known to this router.
    pub struct ServerKey;
}

/// Changes that a new server list brings, as server ids.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// New or restarted servers.
    pub started: Vec<String>,
    /// Servers that started draining.
    pub draining: Vec<String>,
    /// Removed servers.
    pub removed: Vec<String>,
    /// Servers whose registrations expired during a store outage, kept for a grace period.
    pub expired: Vec<String>,
}

/// Age from which a removed server is forgotten: far above the age of the copy from which a store
/// is restored, and above the time in which a leaving server ends.
const DEPARTED_TTL: Duration = Duration::from_secs(120);

/// Time after the restore of the store from an older copy in which a registration of an earlier life
/// is taken from the copy: servers register again within it.
const RESTORE_GRACE: Duration = Duration::from_secs(5);

/// Server that was removed, in case its registration comes back from an older copy of the store.
#[derive(Debug)]
struct Departed {
    born: u64,
    sequence: u64,
    notice: Notice,
    removed_at: Instant,
}

/// Servers by key, id, hash and service.
#[derive(Debug, Default)]
pub struct Registry {
    departed: BTreeMap<String, Departed>,
    servers: SlotMap<ServerKey, Server>,
    by_id: BTreeMap<String, ServerKey>,
    by_hash: BTreeMap<u32, ServerKey>,
    by_life: BTreeMap<u32, ServerKey>,
    by_service: BTreeMap<String, BTreeSet<ServerKey>>,
    revision: Revision,
    /// When the store was last restored from an older copy.
    restored_at: Option<Instant>,
    /// Servers of which the newest list has a registration from before they left.
    outdated: Vec<Outdated>,
}

impl Registry {
    /// Returns the revision of the newest server list.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the state of a server.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns the state of a server for modification.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns the server whose id has the given hash, for modification.
    pub fn by_hash_mut(&mut self, hash: u32) -> Option<&mut Server> {
        self.servers.get_mut(*self.by_hash.get(&hash)?)
    }

    /// Returns the key of the server of which a life has the given hash, if that is its present one.
    #[must_use]
    pub fn by_life(&self, life: u32) -> Option<ServerKey> {
        self.by_life.get(&life).copied()
    }

    /// Returns the servers of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (ServerKey, &'a Server)> + 'a {
        let keys = self.by_service.get(service);
        keys.into_iter()
            .flatten()
            .filter_map(|k| Some((*k, self.servers.get(*k)?)))
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns all servers for modification.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut()
    }

    /// Returns the current registrations, with the remaining cold time of each server.
    #[must_use]
    pub fn entries(&self, now: Instant) -> Servers {
        self.servers
            .values()
            .map(|s| {
                let mut backend = s.backend.clone();
                backend.lapsed = s.expired_at.is_some();
                backend.cold = s
                    .cold_until
                    .map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
                (s.id.clone(), backend)
            })
            .collect()
    }

    /// Applies a newer server list.
    ///
    /// With `kept_since`, servers missing from it are kept for a grace period from then on, since
    /// their registrations may have expired during a store outage that ended at that time.
    pub fn apply(
        &mut self,
        now: Instant,
        revision: Revision,
        servers: &Servers,
        kept_since: Option<Instant>,
    ) -> Changes {
        let mut changes = Changes::default();
        if revision.era() > self.revision.era() {
            self.restored_at = Some(now);
        }
        self.revision = revision;
        self.outdated.clear();
        self.departed
            .retain(|_, d| now.saturating_duration_since(d.removed_at) < DEPARTED_TTL);
        for server in self.servers.values_mut() {
            let listed = servers.contains_key(&server.id);
            server.withdrawn = server
                .withdrawn
                .filter(|newer| !listed || *newer > revision);
        }
        for (id, backend) in servers {
            match self.by_id.get(id).copied() {
                Some(key) => self.update(now, key, backend, &mut changes),
                None if self.is_outdated(now, id, backend) => self.note_outdated(id),
                None => {
                    self.insert(now, id, backend.clone());
                    changes.started.push(id.clone());
                }
            }
        }
        let missing: Vec<ServerKey> = self
            .by_id
            .iter()
            .filter(|(id, _)| !servers.contains_key(*id))
            .map(|(_, key)| *key)
            .collect();
        for key in missing {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            if server.expired_at.is_some() {
                continue;
            }
            if kept_since.is_some() && !server.backend.leaving {
                server.expired_at = kept_since;
                changes.expired.push(server.id.clone());
            } else {
                changes.removed.push(server.id.clone());
                self.depart(now, key);
            }
        }
        changes
    }

    /// Withdraws a server that is leaving or missing in a newer list, which only another router has,
    /// or whose grace period after a store outage has ended at another router.
    ///
    /// Returns its id if it could receive requests until then.
    pub fn withdraw(&mut self, hash: u32, newer: Revision) -> Option<&str> {
        let server = self.servers.get_mut(*self.by_hash.get(&hash)?)?;
        let expired = newer == self.revision && server.expired_at.is_some();
        if newer <= self.revision && !expired {
            return None;
        }
        let before = server.withdrawn;
        server.withdrawn = before.max(Some(newer));
        let is_news = before.is_none() && !server.backend.leaving;
        is_news.then_some(server.id.as_str())
    }

    /// Removes the servers that expired more than `grace` ago, and returns their ids.
    pub fn remove_expired(&mut self, now: Instant, grace: Duration) -> Vec<String> {
        let expired: Vec<ServerKey> = self
            .servers
            .iter()
            .filter(|(_, s)| {
                s.expired_at
                    .is_some_and(|at| now.saturating_duration_since(at) > grace)
            })
            .map(|(key, _)| key)
            .collect();
        expired
            .into_iter()
            .filter_map(|key| {
                let id = self.servers.get(key)?.id.clone();
                self.depart(now, key);
                Some(id)
            })
            .collect()
    }

    /// Returns whether a registration is older than the last one of a removed server.
    fn is_outdated(&self, now: Instant, id: &str, backend: &Backend) -> bool {
        self.departed.get(id).is_some_and(|d| {
            (backend.is_same_life(d.born) && backend.sequence <= d.sequence)
                || self.is_earlier_life(now, d.born, backend)
        })
    }

    /// Returns the servers of which the newest list has a registration from before they left.
    #[must_use]
    pub fn outdated(&self) -> &[Outdated] {
        &self.outdated
    }

    /// Records that the list has a registration of a removed server from before it left.
    fn note_outdated(&mut self, id: &str) {
        let departed = self.departed.get(id).map(|d| Outdated {
            server: name_hash(id),
            born: d.born,
            sequence: d.sequence,
        });
        self.outdated.extend(departed);
    }

    /// Removes a server whose registration is from before it left, as another router knows; returns
    /// its id.
    ///
    /// It is used again once it has registered anew.
    pub fn remove_outdated(&mut self, now: Instant, outdated: &Outdated) -> Option<String> {
        let key = *self.by_hash.get(&outdated.server)?;
        let server = self.servers.get_mut(key)?;
        let (id, backend) = (server.id.clone(), server.backend.clone());
        let is_older = (backend.is_same_life(outdated.born)
            && backend.sequence <= outdated.sequence)
            || self.is_earlier_life(now, outdated.born, &backend);
        if backend.leaving || !is_older {
            return None;
        }
        self.depart(now, key);
        if let Some(departed) = self.departed.get_mut(&id) {
            departed.born = outdated.born;
            departed.sequence = outdated.sequence;
        }
        self.note_outdated(&id);
        Some(id)
    }

    /// Returns whether a registration comes from the copy of a restored store and is of a life before
    /// the one that started at `born`.
    ///
    /// At other times a lower start time is that of a restart after the server's clock was set back.
    fn is_earlier_life(&self, now: Instant, born: u64, backend: &Backend) -> bool {
        backend.born != 0 && backend.born < born && self.was_restored(now)
    }

    /// Returns whether the store was restored from an older copy so short a time ago that servers may
    /// not have registered again.
    #[must_use]
    pub fn was_restored(&self, now: Instant) -> bool {
        self.was_restored_within(now, RESTORE_GRACE)
    }

    /// Returns whether the store was restored from an older copy within a time, as far as this router
    /// knows; for one that has started since, that is when it first read the servers.
    #[must_use]
    pub fn was_restored_within(&self, now: Instant, time: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < time;
        self.restored_at.is_some_and(is_recent)
    }

    /// Removes a server that is no longer registered.
    fn depart(&mut self, now: Instant, key: ServerKey) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let mut notice = server.notice;
        notice.leaving |= server.backend.leaving;
        let departed = Departed {
            born: server.backend.born,
            sequence: server.backend.sequence,
            notice,
            removed_at: now,
        };
        self.departed.insert(server.id.clone(), departed);
        self.remove(key);
    }

    fn insert(&mut self, now: Instant, id: &str, backend: Backend) {
        let hash = name_hash(id);
        let service = backend.service.clone();
        let mut server = Server::new(id, hash, backend, now);
        let departed = self.departed.remove(id);
        if let Some(departed) = departed.filter(|d| server.backend.is_same_life(d.born)) {
            server.notice = departed.notice;
        }
        let life = server.life();
        let key = self.servers.insert(server);
        self.by_life.insert(life, key);
        self.by_id.insert(id.to_owned(), key);
        self.by_hash.insert(hash, key);
        self.by_service.entry(service).or_default().insert(key);
    }

    fn remove(&mut self, key: ServerKey) {
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        self.by_id.remove(&server.id);
        self.by_hash.remove(&server.hash);
        self.by_life.remove(&server.life());
        if let Some(keys) = self.by_service.get_mut(&server.backend.service) {
            keys.remove(&key);
        }
    }

    fn update(&mut self, now: Instant, key: ServerKey, newest: &Backend, changes: &mut Changes) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if self.is_earlier_life(now, server.backend.born, newest) {
            return;
        }
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.expired_at = newest.lapsed.then(|| server.expired_at.unwrap_or(now));
        let old = &server.backend;
        let reassigned = old.address != newest.address || old.service != newest.service;
        // A server that reuses an id has none of the state of the previous one.
        if reassigned || old.born != newest.born {
            let id = server.id.clone();
            self.remove(key);
            self.insert(now, &id, newest.clone());
            changes.started.push(id);
            return;
        }
        // From an older copy of the store.
        if newest.is_same_life(old.born) && newest.sequence < old.sequence {
            if old.leaving && !newest.leaving {
                let outdated = Outdated {
                    server: server.hash,
                    born: old.born,
                    sequence: old.sequence,
                };
                self.outdated.push(outdated);
            }
            return;
        }
        if newest.leaving && !old.leaving {
            changes.draining.push(server.id.clone());
        }
        let has_new_report = newest.sequence != old.sequence;
        if has_new_report {
            server.set_cold(now, (!newest.cold.is_zero()).then(|| now + newest.cold));
        }
        server.backend = newest.clone();
    }
}
