//! Follows the deployment's store.
//!
//! The deployment's adapter implements [`Store`]; this module decides when to call it, how long to
//! wait and what to do while it is unavailable. One long poll follows the operator configuration,
//! another the servers. A call that times out is dropped, and the next one uses a new connection.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::freshness::{Confirmation, Source};
use hibiscusrail_fleet::objects::{OperatorConfig, Revision, Servers};
use hibiscusrail_fleet::rollout::order::Status;
use hibiscusrail_fleet::unrecorded::UnrecordedRow;
use hibiscusrail_fleet::versions::VersionSet;
use hibiscusrail_fleet::{Event, Fleet};
use serde::{Deserialize, Serialize};

use crate::origins::Origin;
use crate::peers::{PeerLocation, Peers};
use crate::rollouts::RolloutRows;
use crate::shell::{Shell, millis};

/// How long the store holds a long poll. Together with [`RESPONSE_TIMEOUT`] and the time for other
/// routers to take over, it stays below two seconds, the shortest bound on applying changes.
const LONG_POLL: Duration = Duration::from_millis(800);
/// Timeout of a call to the store, in addition to the wait of a long poll.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two polls of the servers, whose entries change all the time.
const SERVERS_POLL_PAUSE: Duration = Duration::from_millis(300);
/// First pause after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failed call; it bounds how late the return of the store is noticed.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Interval of renewing this router's row.
const REGISTER_INTERVAL: Duration = Duration::from_secs(30);
/// Time without a renewal after which a row is ignored, because its router is gone.
const ROW_TTL: Duration = Duration::from_secs(80);
/// Age of a row, by the time of day, from which it is ignored at once: far above the difference
/// between the clocks of two hosts.
const MAX_ROW_AGE: Duration = Duration::from_secs(600);
/// Time without a read of the rows after which it is unknown which of them were renewed in it.
const MAX_READ_GAP: Duration = Duration::from_secs(30);
/// Interval of reading the routers' rows, for a router that follows the store.
const WATCHING_ROUTERS_INTERVAL: Duration = Duration::from_secs(4);
/// Interval of reading the routers' rows, for a router that does not follow the store.
const ROUTERS_INTERVAL: Duration = Duration::from_secs(15);
/// Time after the restore of the store in which all routers read their rows and write them again.
const REWRITE_TIME: Duration = Duration::from_secs(30);
/// Interval of reading the routers' rows, for any router during [`STARTUP_TIME`].
const STARTUP_ROUTERS_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the start in which other routers may still register.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Interval of checking whether this router should follow the store.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Result of reading a table of the store.
#[derive(Debug)]
pub struct TableRead<T> {
    /// Revision of the table.
    pub revision: Revision,
    /// Revision of the store up to which the content is complete.
    pub complete: Revision,
    /// Complete content of the table; none if it has not changed.
    pub value: Option<T>,
}

/// A router's own row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the router.
    pub name: String,
    /// Address where the router receives reports over UDP and state requests over TCP.
    pub address: SocketAddr,
    /// Availability zone of the router.
    pub zone: String,
    /// When the row was last renewed, in milliseconds since the Unix epoch.
    pub renewed: u64,
}

/// Error of the store's adapter.
pub type StoreError = Box<dyn Error>;

/// Client of the deployment's store, implemented by its adapter.
#[allow(async_fn_in_trait)]
pub trait Store: 'static {
    /// Returns the operator configuration, waiting up to `wait` for a change.
    async fn orders(&self, wait: Duration) -> Result<TableRead<OperatorConfig>, StoreError>;

    /// Returns the servers' entries, waiting up to `wait` for a change.
    async fn servers(&self, wait: Duration) -> Result<TableRead<Servers>, StoreError>;

    /// Returns the rows of the routers.
    async fn routers(&self) -> Result<TableRead<Vec<Registration>>, StoreError>;

    /// Writes a router's row.
    async fn register(&self, row: &Registration) -> Result<(), StoreError>;

    /// Removes a router's row.
    async fn unregister(&self, name: &str) -> Result<(), StoreError>;

    /// Returns the rows of services that have had several software versions.
    async fn versions(&self) -> Result<Vec<VersionSet>, StoreError>;

    /// Writes the row of a service that has had several software versions.
    async fn save_versions(&self, row: &VersionSet) -> Result<(), StoreError>;

    /// Returns the routers' tables of the versions of streams without a record, each with the version of
    /// its row.
    async fn unrecorded(&self) -> Result<TableRead<Vec<(UnrecordedRow, u64)>>, StoreError>;

    /// Writes a process' row of tables if the row still has this version, zero standing for
    /// no row; returns whether it had.
    async fn save_unrecorded(&self, row: &UnrecordedRow, version: u64) -> Result<bool, StoreError>;

    /// Removes rows of tables.
    async fn remove_unrecorded(&self, rows: &[UnrecordedRow]) -> Result<(), StoreError>;

    /// Returns the rows of a service's rollout.
    async fn rollout(&self, service: &str) -> Result<RolloutRows, StoreError>;

    /// Writes the status row of a service's rollout if the status row and the order's row still have
    /// the versions in `read`; returns whether they had.
    async fn write_rollout(
        &self,
        service: &str,
        status: &Status,
        read: &RolloutRows,
    ) -> Result<bool, StoreError>;

    /// Returns the record of the stream that a request began, by the request's id.
    async fn origin(&self, request: &str) -> Result<Option<Origin>, StoreError>;

    /// Writes the records of streams that requests began, and removes those of expired ones.
    async fn record_origins(
        &self,
        begun: &[(String, Origin)],
        expired: &[String],
    ) -> Result<(), StoreError>;
}

/// Backoff and availability of one kind of call to the store.
#[derive(Debug)]
pub(crate) struct StoreLink {
    step: &'static str,
    backoff: Duration,
    /// Whether the last call failed.
    lost: bool,
}

impl StoreLink {
    /// Creates the link for calls of one kind, which `step` names in the log.
    pub(crate) fn new(step: &'static str) -> Self {
        Self {
            step,
            backoff: MIN_BACKOFF,
            lost: false,
        }
    }

    /// Waits for a call and returns its result; none after a failure and its backoff.
    pub(crate) async fn call<T>(
        &mut self,
        shell: &Shell,
        timeout: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Option<T> {
        let error = match hibiscusrail_net::timeout(timeout, call).await {
            Ok(Ok(value)) => {
                self.record_success(shell);
                return Some(value);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no response within {timeout:?}"),
        };
        shell.metrics().store_error(self.step);
        shell.handle(Event::StoreFailed);
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(step = self.step, error = error.as_str(); "store_lost");
        }
        let jitter = rand::random_range(0.5..1.0);
        compio::time::sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        None
    }

    fn record_success(&mut self, shell: &Shell) {
        self.backoff = MIN_BACKOFF;
        if std::mem::replace(&mut self.lost, false) {
            log::info!(step = self.step; "store_regained");
        }
        shell.handle(Event::StoreAnswered);
    }
}

impl<T> TableRead<T> {
    /// Returns the store's confirmation of the table, given when the call was sent and for how long
    /// the store was to hold it.
    fn confirmation(&self, sent: Instant, wait: Duration, now: Instant) -> Confirmation {
        // The store answers a change at once, and without one after the wait.
        let held = if self.value.is_some() {
            Duration::ZERO
        } else {
            wait
        };
        Confirmation {
            revision: self.revision,
            complete: self.complete,
            at: (sent + held).min(now),
            source: Source::Store,
        }
    }
}

/// Waits until this router should read the operator configuration itself; returns how long the store
/// may hold the call.
///
/// A router that does not read for its zone has no time to wait: it lacks what others have, or does
/// not know whether there is anything newer.
async fn wait_until_config_due(shell: &Shell, reads: &mut bool) -> Duration {
    loop {
        let now = shell.now();
        let (is_reader, is_due) = shell.with_fleet(|f| (f.reads_store(now), f.config_is_due(now)));
        if std::mem::replace(reads, is_reader) != is_reader || (is_due && !is_reader) {
            log_reading(shell, is_reader, is_due);
        }
        if is_reader {
            return LONG_POLL;
        }
        if is_due {
            return Duration::ZERO;
        }
        compio::time::sleep(WATCH_CHECK_INTERVAL).await;
    }
}

/// Logs whether this router reads the operator configuration for its zone, or once for itself.
fn log_reading(shell: &Shell, is_reader: bool, is_due: bool) {
    let now = shell.now();
    shell.with_fleet(|f| {
        let fresh = f.config_freshness();
        log::info!(
            reader = is_reader,
            due = is_due,
            readers = f.readers(now),
            revision = f.config_revision().0,
            age_ms = fresh.age(now).map(millis),
            behind_ms = millis(fresh.behind_for(now)),
            source = fresh.own().map(|c| c.source.to_string());
            "config_read"
        );
    });
}

/// Follows the operator configuration until the task is dropped.
pub async fn follow_orders(shell: Rc<Shell>, store: Rc<impl Store>, peers: Rc<Peers>) {
    let mut link = StoreLink::new("orders");
    let mut reads = false;
    loop {
        let wait = wait_until_config_due(&shell, &mut reads).await;
        let sent = shell.now();
        let call = store.orders(wait);
        if let Some(table) = link.call(&shell, wait + RESPONSE_TIMEOUT, call).await {
            let confirmation = table.confirmation(sent, wait, shell.now());
            shell.handle(Event::ConfigConfirmed(confirmation));
            if let Some(config) = table.value {
                shell.handle(Event::Config(table.revision, config));
                peers.send_zone_report(&shell);
            }
        }
    }
}

/// Waits until this router should read the servers itself, or its list is old.
async fn wait_until_servers_due(shell: &Shell) {
    while !shell.with_fleet(|f| f.reads_store(shell.now()) || f.list_is_due(shell.now())) {
        compio::time::sleep(WATCH_CHECK_INTERVAL).await;
    }
}

/// Returns how long the store may hold the next long poll for the servers.
///
/// There is none after an outage or at a router that does not follow the store, as the current
/// servers are needed at once, and a short one if the list would grow too old meanwhile.
fn servers_wait(fleet: &Fleet, now: Instant, lost: bool) -> Duration {
    if lost || !fleet.reads_store(now) {
        return Duration::ZERO;
    }
    let left = fleet.time_until_late(now);
    LONG_POLL.min(left)
}

/// Follows the servers' entries until the task is dropped.
pub async fn follow_servers(shell: Rc<Shell>, store: Rc<impl Store>, peers: Rc<Peers>) {
    let mut link = StoreLink::new("servers");
    loop {
        wait_until_servers_due(&shell).await;
        let wait = shell.with_fleet(|f| servers_wait(f, shell.now(), link.lost));
        let sent = shell.now();
        let call = store.servers(wait);
        if let Some(table) = link.call(&shell, wait + RESPONSE_TIMEOUT, call).await {
            let confirmation = table.confirmation(sent, wait, shell.now());
            shell.handle(Event::ServersConfirmed(confirmation));
            if let Some(servers) = table.value {
                shell.handle(Event::Servers(table.revision, servers));
                peers.send_zone_report(&shell);
            } else {
                shell.handle(Event::ServersUnchanged);
            }
            compio::time::sleep(SERVERS_POLL_PAUSE).await;
        }
    }
}

/// Reads the rows of all routers and renews this router's row until the task is dropped.
///
/// The rows are read first, and without waiting for the own one to be written: a slow store writes
/// the rows of many restarted routers one after the other, and until a router knows the others it
/// may not use its parts of their limits.
pub async fn follow_routers(shell: Rc<Shell>, store: Rc<impl Store>, peers: Rc<Peers>) {
    let mut link = StoreLink::new("routers");
    let mut renewed = None;
    let mut next_read = None;
    let started = shell.now();
    let mut table = RouterTable::default();
    loop {
        let read_due = next_read.is_none_or(|at| shell.now() >= at);
        let read = match read_due {
            true => link.call(&shell, RESPONSE_TIMEOUT, store.routers()).await,
            false => None,
        };
        let now = shell.now();
        if let Some(read) = read {
            if table.update(now, read) {
                log::warn!(step = "routers", era = table.era; "store_restored");
                shell.origins().store_restored();
                // This router's row may be missing from the copy.
                renewed = None;
            }
            apply_routers(&shell, &peers, &table);
            let pause = if now.saturating_duration_since(started) < STARTUP_TIME {
                STARTUP_ROUTERS_INTERVAL
            } else if shell.with_fleet(|f| f.reads_store(now)) {
                WATCHING_ROUTERS_INTERVAL
            } else {
                ROUTERS_INTERVAL
            };
            next_read = Some(now + pause);
        }
        let due = renewed.is_none_or(|at| now.saturating_duration_since(at) >= REGISTER_INTERVAL);
        if due && !shell.is_stopping() {
            let row = registration(&shell);
            let call = store.register(&row);
            if link.call(&shell, RESPONSE_TIMEOUT, call).await.is_none() {
                continue;
            }
            renewed = Some(now);
        }
        if let Some(at) = next_read {
            let pause = at.saturating_duration_since(shell.now());
            compio::time::sleep(pause).await;
        }
    }
}

fn registration(shell: &Shell) -> Registration {
    let settings = shell.settings();
    Registration {
        name: settings.name,
        address: settings.peer_listen,
        zone: settings.params.zone,
        renewed: shell.epoch_ms(),
    }
}

/// Renewal of a row, as its router wrote it, and when this router first read it.
#[derive(Debug, Clone, Copy)]
struct Watched {
    renewed: u64,
    since: Instant,
}

/// The routers' rows, with those that a restored store lacks until their routers write them again.
#[derive(Debug, Default)]
pub struct RouterTable {
    /// Rows by the name of the router.
    pub rows: BTreeMap<String, Registration>,
    /// Era of the store when the rows were last read.
    pub era: u64,
    /// Until when missing rows are kept.
    kept_until: Option<Instant>,
    /// What was seen of each row, by the name of the router.
    watched: BTreeMap<String, Watched>,
    /// When the rows were last read.
    read_at: Option<Instant>,
}

impl RouterTable {
    /// Applies the rows as read from the store; returns whether the store was restored meanwhile.
    ///
    /// Limits are divided by the number of routers, so a router must not be missed for the time in
    /// which only its row is lost.
    pub fn update(&mut self, now: Instant, read: TableRead<Vec<Registration>>) -> bool {
        let era = read.revision.era();
        let restored = era != self.era && !self.rows.is_empty();
        self.era = era;
        if restored {
            self.kept_until = Some(now + REWRITE_TIME);
        }
        if self.kept_until.is_none_or(|until| now >= until) {
            self.rows.clear();
        }
        let rows = read.value.unwrap_or_default();
        self.rows
            .extend(rows.into_iter().map(|r| (r.name.clone(), r)));
        let is_gap = |at: Instant| now.saturating_duration_since(at) > MAX_READ_GAP;
        if self.read_at.replace(now).is_some_and(is_gap) {
            self.watched.clear();
        }
        let rows = &self.rows;
        self.watched.retain(|name, _| rows.contains_key(name));
        for row in rows.values() {
            let newest = Watched {
                renewed: row.renewed,
                since: now,
            };
            let watched = self.watched.entry(row.name.clone()).or_insert(newest);
            if watched.renewed != row.renewed {
                *watched = newest;
            }
        }
        restored
    }

    /// Returns the rows of routers that are not known to be gone, given the time of day.
    ///
    /// A row is dropped once it was not renewed for as long as this router watched, so that neither
    /// a wrong clock nor an outage of the store makes routers disappear that still serve.
    pub fn live(&self, now: Instant, epoch_ms: u64) -> impl Iterator<Item = &Registration> {
        let is_silent = move |w: &Watched| now.saturating_duration_since(w.since) > ROW_TTL;
        self.rows.values().filter(move |row| {
            let age = epoch_ms.saturating_sub(row.renewed);
            age <= millis(MAX_ROW_AGE) && !self.watched.get(&row.name).is_some_and(is_silent)
        })
    }
}

fn apply_routers(shell: &Shell, peers: &Peers, table: &RouterTable) {
    let live: BTreeMap<String, PeerLocation> = table
        .live(shell.now(), shell.epoch_ms())
        .map(|r| {
            let location = PeerLocation {
                address: r.address,
                zone: r.zone.clone(),
            };
            (r.name.clone(), location)
        })
        .collect();
    shell.handle(Event::Members(live.keys().cloned().collect()));
    peers.set_locations(live);
}
