//! Preferred servers: which server last received a request with a prompt prefix from this entry.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{ServerId, ServiceId};

/// Maximum number of prefixes stored.
const MAX_PREFIXES: usize = 4_096;

/// The server that last served each prefix; the prefixes stored first are evicted first.
#[derive(Debug, Default)]
pub struct Affinity {
    servers: BTreeMap<(ServiceId, u64), ServerId>,
    order: VecDeque<(ServiceId, u64)>,
}

impl Affinity {
    /// Records that a request with `prefix` was sent to `server`.
    pub fn record(&mut self, service: ServiceId, prefix: u64, server: ServerId) {
        let key = (service, prefix);
        if self.servers.insert(key, server).is_some() {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > MAX_PREFIXES
            && let Some(oldest) = self.order.pop_front()
        {
            self.servers.remove(&oldest);
        }
    }

    /// Returns the server that last served `prefix`.
    #[must_use]
    pub fn server(&self, service: ServiceId, prefix: u64) -> Option<ServerId> {
        self.servers.get(&(service, prefix)).copied()
    }
}
