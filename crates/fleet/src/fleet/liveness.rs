//! What responses and reports tell of whether a server still runs and has not restarted.

use std::time::{Duration, Instant};

use crate::engine::Server;
use crate::event::{Decision, HealthCheck, RequestKey};
use crate::liveness::{Heard, Rules};
use crate::peers::{Report, Scope};
use crate::registry::ServerKey;

use super::Fleet;

/// Upper bound on the time of a report on its way between two routers' event loops.
const REPORT_DELAY: Duration = Duration::from_millis(5);
/// Time in which a connection to a server is opened; evidence that was fresh when a request was placed
/// may be older by it when the request leaves.
const CONNECT_ALLOWANCE: Duration = Duration::from_millis(50);
/// Check-in intervals after which the registration of a server that has gone is no longer listed:
/// the store removes it after three without one.
const LAPSE_INTERVALS: u32 = 4;
/// Least time between two health checks of a server by one router.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Fleet {
    fn rules(&self, now: Instant, server: &Server) -> Rules {
        let service = self.service(&server.backend.service);
        let listed_at = self.freshness.own().map(|c| c.at);
        let is_listed = server.expired_at.is_none() && !self.registry.was_restored(now);
        let known_until = listed_at.and_then(|at| at.checked_sub(self.params.check_in));
        Rules {
            restart_time: self.params.restart_time,
            cold_time: service.map_or(Duration::ZERO, |s| s.cold_time),
            known_until: known_until.filter(|_| is_listed),
            lapse_time: self.params.check_in * LAPSE_INTERVALS,
        }
    }

    /// Returns the time before which everything that has arrived at this router was read.
    fn read_until(&self, now: Instant) -> Instant {
        let late = self.learning.lateness.recent(now);
        now.checked_sub(late).unwrap_or(now)
    }

    /// Records evidence of a server's life by `record`, with the rules by which it counts.
    fn record_evidence(
        &mut self,
        now: Instant,
        key: ServerKey,
        record: impl FnOnce(&mut Server, Rules),
    ) {
        let Some(rules) = self.registry.get(key).map(|s| self.rules(now, s)) else {
            return;
        };
        if let Some(server) = self.registry.get_mut(key) {
            record(server, rules);
        }
    }

    /// Records that a part of a response arrived, the first one of which arrived at `began_at`.
    pub(super) fn response_heard(
        &mut self,
        now: Instant,
        key: ServerKey,
        began_at: Option<Instant>,
    ) {
        let at = self.read_until(now);
        let since = began_at.unwrap_or(at).min(at);
        self.record_evidence(now, key, |server, rules| {
            server.heard_at = Some(at);
            server.liveness.observe(since, at, rules);
        });
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
        let max_age = self.params.restart_time;
        // Others may have heard it all the time, so that only this router's path was cut.
        let was_warm = |s: &Server| s.liveness.is_warm(now, max_age);
        let was_warm = self.registry.get(key).is_some_and(was_warm);
        self.response_heard(now, key, None);
        let server = self.registry.get(key);
        let service = server.and_then(|s| self.service(&s.backend.service));
        let cold = service.map_or(Duration::ZERO, |s| s.cold_time);
        let Some(server) = self.registry.get_mut(key) else {
            return;
        };
        if !server.health.record_success() {
            return;
        }
        // The server may have restarted while it was unreachable, so it counts as cold until
        // its next registration says whether it is; not one that only was silent.
        if may_be_new && !was_warm {
            server.recover(now, (!cold.is_zero()).then(|| now + cold));
        }
        let id = server.id.clone();
        let detail = format!("first_byte_ms={} warm={was_warm}", took.as_millis());
        self.log("server_back", &id, detail);
    }

    /// Returns whether a server may have restarted without a registration that tells so, given the
    /// longest time for which evidence of the contrary counts.
    fn may_have_restarted(&self, now: Instant, server: &Server, max_age: Duration) -> bool {
        if server.liveness.is_warm(now, max_age) {
            return false;
        }
        let service = self.service(&server.backend.service);
        service.is_some_and(|s| s.cold_rate > 0.0 && !s.cold_time.is_zero())
    }

    /// Records that a connection to a server failed or fell silent, as it does if the server
    /// restarts.
    pub(super) fn connection_failed(&mut self, now: Instant, key: ServerKey) {
        let was_uncertain = self.version_is_uncertain(now, key);
        if let Some(server) = self.registry.get_mut(key) {
            server.liveness.connection_failed(now);
        }
        if was_uncertain || !self.version_is_uncertain(now, key) {
            return;
        }
        if let Some(server) = self.registry.get(key) {
            let (id, version) = (server.id.clone(), &server.backend.version);
            let detail = format!("registered={version}");
            self.log("version_uncertain", &id, detail);
        }
    }

    fn version_is_uncertain(&self, now: Instant, key: ServerKey) -> bool {
        let server = self.registry.get(key);
        server.is_some_and(|server| self.may_be_other_version(now, server))
    }

    /// Returns whether a server may run another software version than it registered, as it may have
    /// started again in place.
    pub(super) fn may_be_other_version(&self, now: Instant, server: &Server) -> bool {
        server.liveness.may_be_new(self.rules(now, server))
            && self.has_several_versions(now, &server.backend.service)
    }

    /// Returns whether a server may be cold, so that it is to be used like a cold one.
    pub(super) fn may_be_cold(&self, now: Instant, server: &Server) -> bool {
        self.may_have_restarted(now, server, self.params.restart_time)
    }

    /// Returns whether a request may leave for a server that was chosen as a warm one.
    pub(super) fn is_warm_still(&self, now: Instant, server: &Server) -> bool {
        !self.may_have_restarted(now, server, self.params.restart_time + CONNECT_ALLOWANCE)
    }

    /// Checks the servers for which a request was refused, as far as they may only be taken for cold: those
    /// of its zone in a large deployment, and those that are assigned to this router.
    pub(super) fn check_servers(&mut self, now: Instant, key: RequestKey) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let servers = self.registry.of_service(&request.submission.service);
        let servers = servers.filter(|(_, s)| self.is_worth_check(now, s));
        let keys: Vec<ServerKey> = servers.map(|(key, _)| key).collect();
        for key in keys {
            self.check_server(now, key, true);
        }
    }

    /// Returns whether a server may be cold as far as this router knows, and may be used if it is not.
    fn is_worth_check(&self, now: Instant, server: &Server) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CHECK_INTERVAL;
        // In a busy fleet most servers are warm, so that is looked at first.
        self.may_be_cold(now, server)
            && !server.is_limited(now)
            && server.is_open(now)
            && !self.config.evacuated.contains(&server.backend.zone)
            && !server.checked_at.is_some_and(is_recent)
    }

    /// Asks a server which may be cold whether it is; `refused` tells whether a request was refused
    /// meanwhile.
    ///
    /// Otherwise only the routers ask to which it is assigned while cold, and the others learn by
    /// their next reports.
    pub(super) fn check_server(&mut self, now: Instant, key: ServerKey, refused: bool) {
        let server = self.registry.get(key);
        let server = server.filter(|s| self.members.is_read() && self.is_worth_check(now, s));
        let Some(server) = server else {
            return;
        };
        let Some(service) = self.service(&server.backend.service) else {
            return;
        };
        let is_near = !self.is_large() || server.backend.zone == self.params.zone;
        let limit = self.cold_limit(service).unwrap_or(0.0);
        if !(refused && is_near) && self.part_of(limit, server) <= 0.0 {
            return;
        }
        let check = HealthCheck {
            server: key,
            id: server.id.clone(),
            address: server.backend.address,
            path: service.health.clone(),
        };
        if let Some(server) = self.registry.get_mut(key) {
            server.checked_at = Some(now);
        }
        self.decisions.push(Decision::Check(check));
    }

    /// Records that a server answered a health check that was sent at `asked_at` with the time for which
    /// it stays cold.
    pub(super) fn server_checked(
        &mut self,
        now: Instant,
        key: ServerKey,
        asked_at: Instant,
        cold: Duration,
    ) {
        self.record_evidence(now, key, |server, rules| {
            server.heard_at = server.heard_at.max(Some(asked_at));
            if cold.is_zero() {
                server.liveness.confirm(asked_at, rules);
            } else {
                server.liveness.observe(asked_at, asked_at, rules);
                server.set_cold(now, Some(now + cold));
            }
        });
        let Some(id) = self.registry.get(key).map(|s| s.id.clone()) else {
            return;
        };
        let took = now.saturating_duration_since(asked_at);
        let detail = format!("cold_ms={} took_ms={}", cold.as_millis(), took.as_millis());
        self.log("server_checked", &id, detail);
    }

    /// Returns the servers that were heard of late, for a report.
    ///
    /// Each router tells what it has heard itself. In a large deployment, reports to all routers also
    /// tell what those of the sender's zone have heard of the zone's servers: another zone gets few
    /// reports of each router. A router passes on nothing of another zone, so nothing goes around.
    pub(super) fn heard(&self, now: Instant, scope: Scope) -> Option<Box<Heard>> {
        let relays = scope == Scope::All && self.is_large();
        let mut heard = Heard::default();
        for server in self.registry.all() {
            let is_near = relays && server.backend.zone == self.params.zone;
            let liveness = &server.liveness;
            let at = if is_near {
                liveness.heard_at()
            } else {
                server.heard_at
            };
            let age = at.map(|at| now.saturating_duration_since(at));
            let Some(age) = age.filter(|age| *age <= self.params.restart_time) else {
                continue;
            };
            heard.add(server.life(), age, liveness.warm_at() >= at);
        }
        (heard != Heard::default()).then(|| Box::new(heard))
    }

    /// Takes up which servers another router has heard.
    pub(super) fn apply_heard(&mut self, now: Instant, report: &Report) {
        let Some(heard) = &report.heard else {
            return;
        };
        let read_until = self.read_until(now);
        for (life, age, is_warm) in heard.entries() {
            let at = read_until.checked_sub(age + REPORT_DELAY);
            let Some((at, key)) = at.zip(self.registry.by_life(life)) else {
                continue;
            };
            self.record_evidence(now, key, |server, rules| {
                if is_warm {
                    server.liveness.confirm(at, rules);
                } else {
                    server.liveness.observe(at, at, rules);
                }
            });
        }
    }
}
