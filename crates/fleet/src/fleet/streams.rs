//! Where streams that callers take up can go on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::engine::Server;
use crate::objects::{Deployment, Route};
use crate::placement::name_hash;
use crate::unrecorded::{Shard, Table, UnrecordedRow, Usage, assigned_version};
use crate::versions::{VersionSet, Versions};

use super::{Fleet, Request};

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
    #[must_use]
    pub fn has_several_versions(&self, now: Instant, service: &str) -> bool {
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

    /// Returns whether a stream that begins has to be recorded before its caller gets an event: without
    /// a record it would be taken for one of another version.
    #[must_use]
    pub fn must_record(&self, now: Instant, request: &str, origin: (&str, &str)) -> bool {
        let (service, version) = origin;
        let (unrecorded, shard) = (&self.versions.unrecorded, Shard::of(request));
        self.has_several_versions(now, service)
            && unrecorded.must_record(now, service, shard, version)
            && (unrecorded.takes_records(now) || self.assigned(now, service, shard).is_some())
    }

    /// Returns the version that a shard is assigned if it may take new streams. If none of its servers is
    /// registered, a stream of another version can't be taken for one of it.
    fn assigned(&self, now: Instant, service: &str, shard: Shard) -> Option<&str> {
        let assigned = self.versions.unrecorded.table(service)?.version(shard)?;
        let is_present = self.versions.present(service).any(|v| v == assigned);
        let is_open = || {
            !self
                .versions
                .too_new(now, service, None)
                .contains(&assigned)
        };
        (is_present && is_open()).then_some(assigned)
    }

    /// Returns the versions at which a new stream could neither be recorded nor be known without a
    /// record, as the store confirms no records in time.
    pub(super) fn unrecordable_versions(&self, now: Instant, request: &Request) -> Vec<&str> {
        let service = &request.submission.service;
        if self.versions.unrecorded.takes_records(now) || !request.submission.resumable {
            return Vec::new();
        }
        // A service that never had several versions has no table, so that is looked at first.
        let assigned = self.assigned(now, service, request.submission.shard);
        let assigned = assigned.filter(|_| self.has_several_versions(now, service));
        let present = || self.versions.present(service);
        assigned.map_or_else(Vec::new, |a| present().filter(|v| *v != a).collect())
    }

    /// Records whether the store confirmed a batch of records in time; it took `took`.
    pub fn batch_ended(&mut self, now: Instant, is_confirmed: bool, took: Duration) {
        if self.versions.unrecorded.batch_ended(now, is_confirmed) {
            let event = if is_confirmed {
                "records_confirmed"
            } else {
                "records_late"
            };
            self.log(event, "streams", format!("took_ms={}", took.as_millis()));
        }
    }

    /// Returns whether this router lacks the tables by which streams of a service that has several
    /// versions may begin without a record.
    #[must_use]
    pub fn lacks_tables(&self, service: &str) -> bool {
        let unrecorded = &self.versions.unrecorded;
        !unrecorded.is_read() && unrecorded.table(service).is_none()
    }

    /// Returns whether streams from before the start of this router may be taken up.
    #[must_use]
    pub fn is_young(&self, now: Instant) -> bool {
        self.versions.is_younger(now, self.stream_lifetime())
    }

    /// Returns when the router started, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether any service needs records because of its versions, so that the row of this
    /// router has to be kept.
    #[must_use]
    pub fn has_any_versions(&self, now: Instant) -> bool {
        self.several_services(now).next().is_some()
    }

    /// Returns the services of which streams of several software versions may be taken up.
    fn several_services(&self, now: Instant) -> impl Iterator<Item = &String> {
        let lifetime = self.stream_lifetime();
        let deployment = self.config.deployment.as_ref();
        let services = deployment.into_iter().flat_map(|d| d.services.keys());
        services.filter(move |name| self.versions.has_several(now, name, lifetime))
    }

    /// Returns the row of unrecorded versions that the store lacks of router `name`; `begun` are the
    /// shards and versions of its streams without a record, by service.
    pub fn unsaved_unrecorded(
        &mut self,
        now: Instant,
        (name, epoch_ms): (&str, u64),
        begun: &BTreeMap<String, BTreeSet<(Shard, String)>>,
    ) -> Option<UnrecordedRow> {
        let usage = self.version_usage(now, begun);
        let own = (name, self.incarnation);
        self.versions.unrecorded.unsaved(own, epoch_ms, &usage)
    }

    fn version_usage(
        &self,
        now: Instant,
        begun: &BTreeMap<String, BTreeSet<(Shard, String)>>,
    ) -> BTreeMap<String, Usage> {
        let lifetime = self.stream_lifetime();
        let is_young = self.is_young(now);
        let lacks_earlier =
            is_young && self.members.was_listed() && !self.versions.unrecorded.has_earlier();
        let usage = self.several_services(now).map(|name| {
            let mut usage = Usage {
                servers: BTreeMap::new(),
                begun: begun.get(name).cloned().unwrap_or_default(),
                earlier: BTreeSet::new(),
                is_young,
            };
            if lacks_earlier {
                usage.earlier = self.versions.found(now, name, lifetime);
            }
            let too_new = self.versions.too_new(now, name, None);
            let takes_streams =
                |s: &&Server| !s.backend.leaving && !too_new.contains(&s.backend.version.as_str());
            let servers = self.registry.of_service(name).map(|(_, server)| server);
            for server in servers.filter(takes_streams) {
                let version = server.backend.version.clone();
                *usage.servers.entry(version).or_default() += 1;
            }
            (name.clone(), usage)
        });
        usage.collect()
    }

    /// Applies the rows of unrecorded versions, the first time that they are read.
    pub fn load_unrecorded(&mut self, name: &str, epoch_ms: u64, rows: &[UnrecordedRow]) {
        if !self.versions.unrecorded.is_read() {
            self.versions.unrecorded.load(epoch_ms, rows, name);
            self.log("unrecorded_loaded", name, format!("rows={}", rows.len()));
        }
    }

    /// Records that the row of unrecorded versions is being written.
    pub fn sending_unrecorded(&mut self, row: &UnrecordedRow) {
        self.versions.unrecorded.sending(row);
    }

    /// Records that the store has the row of unrecorded versions.
    pub fn unrecorded_saved(&mut self, row: &UnrecordedRow) {
        self.versions.unrecorded.saved(row);
        for (service, tables) in &row.tables {
            let table = self.versions.unrecorded.table(service);
            let detail = format!("tables={} in_force={table:?}", tables.len());
            self.log("unrecorded_saved", service, detail);
        }
    }

    /// Takes over the tables of another router, as long as this one can't read the rows.
    pub fn inherit_tables(&mut self, tables: &BTreeMap<String, Table>) {
        self.versions.unrecorded.inherit(tables);
    }

    /// Returns the version of the stream that a request began and that has no record, given the rows of
    /// all routers in the store's era; none if it is not certain.
    ///
    /// A stream that was begun by a router without a row, or whose record a restored store lacks, would
    /// be taken for one of another version.
    #[must_use]
    pub fn unrecorded_version(
        &self,
        now: Instant,
        epoch_ms: u64,
        (era, rows): (u64, &[UnrecordedRow]),
        (service, request): (&str, &str),
    ) -> Option<String> {
        let has_row = |member: &u32| rows.iter().any(|r| name_hash(&r.router) == *member);
        let is_complete = self.members.is_read()
            && self.versions.is_loaded()
            && era == self.registry.revision().era()
            && !self
                .registry
                .was_restored_within(now, self.stream_lifetime())
            && self.members.all().iter().all(has_row);
        if !is_complete {
            return None;
        }
        let shard = Shard::of(request);
        assigned_version(epoch_ms, rows.iter(), service, shard).map(str::to_owned)
    }

    pub(super) fn versions_loaded(&mut self, now: Instant, epoch_ms: u64, rows: &[VersionSet]) {
        let lifetime = self.stream_lifetime();
        self.versions.load(now, epoch_ms, rows, lifetime);
        let detail = format!("services={}", rows.len());
        self.log("versions_loaded", "versions", detail);
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
