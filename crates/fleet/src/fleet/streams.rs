//! Where streams that callers take up can go on.

use std::time::{Duration, Instant};

use crate::objects::{Deployment, Route};
use crate::versions::{VersionSet, Versions};

use super::Fleet;

impl Fleet {
    /// Returns the longest time for which a stream may run and be taken up again.
    #[must_use]
    pub fn stream_lifetime(&self) -> Duration {
        /// Callers keep to a route's timeout over all their tries, and the operator may change it.
        const TIMEOUT_FACTOR: u32 = 2;
        let deployment = self.config.deployment.as_ref();
        let routes = deployment.map_or(&[][..], |d| &d.routes);
        let longest = routes.iter().filter(|r| r.resumable).map(|r| r.timeout);
        longest.max().unwrap_or_default() * TIMEOUT_FACTOR
    }

    /// Returns the only software version of a service that can have begun a stream which may still
    /// be taken up; none if there may be several.
    #[must_use]
    pub fn only_version(&self, now: Instant, service: &str) -> Option<&str> {
        if self.list_is_late(now) {
            return None;
        }
        self.versions.only(now, service, self.stream_lifetime())
    }

    /// Returns whether streams of several software versions of a service may be taken up.
    pub(super) fn has_several_versions(&self, now: Instant, service: &str) -> bool {
        self.versions
            .has_several(now, service, self.stream_lifetime())
    }

    /// Returns whether a stream of a route that is taken up may have begun at another of its
    /// services than the one to which its weights assign it now.
    #[must_use]
    pub fn is_moved(&self, now: Instant, route: &Route) -> bool {
        let mut services = route.targets.iter().map(|t| t.service.as_str());
        route.targets.len() > 1 && services.any(|s| self.splits.is_moved(now, s))
    }

    /// Returns whether another router can't tell, without a record, where a stream of a service
    /// began.
    #[must_use]
    pub fn needs_records(&self, now: Instant, service: &str) -> bool {
        self.has_several_versions(now, service) || self.splits.is_moved(now, service)
    }

    /// Returns the known software versions of services.
    #[must_use]
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    pub(super) fn versions_saved(&mut self, row: &VersionSet) {
        self.versions.saved(row);
        let versions: Vec<&str> = row.versions.iter().map(String::as_str).collect();
        let detail = format!("versions={}", versions.join(","));
        self.log("versions_saved", &row.service, detail);
    }

    /// Records which services the replaced configuration shared among its routes in another way.
    pub(super) fn record_splits(&mut self, now: Instant, before: &Deployment) {
        let lifetime = self.stream_lifetime();
        let Some(after) = &self.config.deployment else {
            return;
        };
        for service in self.splits.replace(now, before, after, lifetime) {
            let detail = format!("streams_last_ms={}", lifetime.as_millis());
            self.log("split_changed", &service, detail);
        }
    }
}
