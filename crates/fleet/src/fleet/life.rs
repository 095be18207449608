//! What responses tell of whether a server still runs.

use std::time::{Duration, Instant};

use crate::registry::ServerKey;

use super::Fleet;

impl Fleet {
    /// Records that a part of a response of a server arrived.
    pub(super) fn server_heard(&mut self, now: Instant, key: ServerKey) {
        if let Some(server) = self.registry.get_mut(key) {
            server.heard_at = Some(now);
        }
    }

    /// Records the first byte of a response, which took `took`; `may_be_new` tells whether the server
    /// may have restarted before the request reached it.
    pub(super) fn server_answered(
        &mut self,
        now: Instant,
        key: ServerKey,
        may_be_new: bool,
        took: Duration,
    ) {
        self.server_heard(now, key);
        let server = self.registry.get(key);
        let service = server.map(|s| s.backend.service.clone());
        let service = service.and_then(|s| self.service(&s));
        let cold = service.map_or(Duration::ZERO, |s| s.cold_time);
        let Some(server) = self.registry.get_mut(key) else {
            return;
        };
        if !server.health.record_success() {
            return;
        }
        // The server may have restarted while it was unreachable, so it counts as cold until
        // its next registration says whether it is; not one that only was silent.
        if may_be_new {
            server.recover(now, (!cold.is_zero()).then(|| now + cold));
        }
        let id = server.id.clone();
        let detail = format!("first_byte_ms={}", took.as_millis());
        self.log("server_back", &id, detail);
    }
}
