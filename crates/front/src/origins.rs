//! Which service and software version began each stream, for callers that take a stream up at
//! another router.
//!
//! A router remembers the streams that it began. While a service may have streams of several
//! versions, or a route's weights have changed since they began, it also records them in the store,
//! since a caller may come back to any router after all of them were killed. Otherwise streams need
//! no record. The record of a stream of the version that the router's table assigns it is written
//! beside the events; any other is confirmed before the first event (see
//! [`hibiscusrail_fleet::unrecorded`]).

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::future::{Either, select};
use hibiscusrail_fleet::Fleet;
use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::objects::Route;
use hibiscusrail_fleet::unrecorded::{Shard, UnrecordedRow};
use hibiscusrail_macros::id;
use serde::{Deserialize, Serialize};

use crate::shell::{Shell, millis};
use crate::watch::RESPONSE_TIMEOUT;

/// Maximum number of streams that a router remembers.
const MAX_ORIGINS: usize = 20_000;
/// Longest time for which the first event of a stream is held back until its record is confirmed: two
/// calls.
const RECORD_WAIT: Duration = Duration::from_secs(1);
/// Maximum length of a request's id in bytes, as the key of its record.
const MAX_ID_BYTES: usize = 200;
/// Time after which a record that is not found may have been written.
pub const RECORD_DELAY: Duration = Duration::from_millis(500);

/// The server side of a stream's first event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the service.
    pub service: String,
    /// Software version of the server.
    pub version: String,
}

/// What tells which version began a stream.
#[id]
pub enum Evidence {
    /// This router began it.
    Memory,
    /// No other version can have begun a stream that still runs.
    OnlyVersion,
    /// The store has a record of it.
    Record,
    /// It has none, and the tables of all routers assign it the same version.
    Assigned,
}

impl Evidence {
    /// Returns whether it shows that the stream has begun; the others hold for any id that a caller names.
    #[must_use]
    pub fn is_proof(self) -> bool {
        matches!(self, Self::Memory | Self::Record)
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::OnlyVersion => "only_version",
            Self::Record => "record",
            Self::Assigned => "assigned",
        }
    }
}

/// Where a stream that a caller takes up goes on.
#[derive(Debug)]
pub struct Resolved {
    /// The server side of the stream's first event.
    pub origin: Origin,
    /// What tells it.
    pub evidence: Evidence,
}

/// How far the record of a stream is.
#[id]
enum Recording {
    /// No batch has it.
    Waiting,
    /// A batch with it is being written.
    Sent,
    /// The store has it.
    Confirmed,
}

/// An origin that this router knows.
#[derive(Debug)]
struct Known {
    origin: Origin,
    recording: Recording,
    /// Who waits for the store's confirmation.
    waiter: Option<oneshot::Sender<()>>,
}

/// A request for a record, and where the result goes.
#[derive(Debug)]
pub(crate) struct Lookup {
    /// Id of the request that began the stream.
    pub(crate) request: String,
    /// Receives the record, if there is one; dropped if the store does not answer.
    pub(crate) result: oneshot::Sender<Option<Origin>>,
}

/// The routers' tables of the versions of streams without a record.
#[derive(Debug)]
pub(crate) struct UnrecordedRows {
    /// Era of the store.
    pub(crate) era: u64,
    /// The rows.
    pub(crate) rows: Vec<UnrecordedRow>,
}

/// Receives the rows of tables; dropped if the store does not answer.
pub(crate) type RowsResult = oneshot::Sender<Rc<UnrecordedRows>>;

/// The streams that this router began, and the way to the store's records.
#[derive(Debug)]
pub struct Origins {
    known: RefCell<BTreeMap<String, Known>>,
    /// Ids of the requests in `known`, oldest first.
    order: RefCell<VecDeque<(Instant, String)>>,
    /// Requests whose records are in the store, oldest first.
    written: RefCell<VecDeque<(Instant, String)>>,
    lookups: mpsc::UnboundedSender<Lookup>,
    waiting: RefCell<Option<mpsc::UnboundedReceiver<Lookup>>>,
    /// Requests for a read of the rows of tables.
    reads: mpsc::UnboundedSender<RowsResult>,
    pending_reads: RefCell<Option<mpsc::UnboundedReceiver<RowsResult>>>,
    /// Signals that a stream waits for its record.
    urgent: RefCell<mpsc::Sender<()>>,
    signals: RefCell<Option<mpsc::Receiver<()>>>,
}

impl Default for Origins {
    fn default() -> Self {
        let (lookups, waiting) = mpsc::unbounded();
        let (reads, pending_reads) = mpsc::unbounded();
        let (urgent, signals) = mpsc::channel(0);
        Self {
            known: RefCell::default(),
            order: RefCell::default(),
            written: RefCell::default(),
            lookups,
            waiting: RefCell::new(Some(waiting)),
            reads,
            pending_reads: RefCell::new(Some(pending_reads)),
            urgent: RefCell::new(urgent),
            signals: RefCell::new(Some(signals)),
        }
    }
}

impl Origins {
    /// Remembers that a server's version wrote the first event of the stream that `request` asked for.
    pub fn begin(&self, now: Instant, ttl: Duration, request: &str, origin: Origin) {
        let mut known = self.known.borrow_mut();
        let mut order = self.order.borrow_mut();
        let is_old = |at: Instant| now.saturating_duration_since(at) > ttl;
        while order
            .front()
            .is_some_and(|(at, _)| is_old(*at) || known.len() >= MAX_ORIGINS)
        {
            if let Some((_, id)) = order.pop_front() {
                known.remove(&id);
            }
        }
        let stream = Known {
            origin,
            recording: Recording::Waiting,
            waiter: None,
        };
        if known.insert(request.to_owned(), stream).is_none() {
            order.push_back((now, request.to_owned()));
        }
    }

    /// Returns the origin of a stream that this router began.
    fn find(&self, request: &str) -> Option<Origin> {
        self.known.borrow().get(request).map(|k| k.origin.clone())
    }

    /// Forgets a stream of which no caller got an event.
    fn forget(&self, request: &str) {
        self.known.borrow_mut().remove(request);
        self.order.borrow_mut().retain(|(_, id)| id != request);
    }

    /// Has the stream recorded soon; the result is signalled once the store has confirmed it.
    fn confirmation(&self, request: &str) -> Option<oneshot::Receiver<()>> {
        // Without a task that writes records none is confirmed.
        if self.signals.borrow().is_some() {
            return None;
        }
        let mut known = self.known.borrow_mut();
        let stream = known.get_mut(request)?;
        let (waiter, confirmed) = oneshot::channel();
        stream.waiter = Some(waiter);
        // If the channel is full, a batch is already due.
        let _ = self.urgent.borrow_mut().try_send(());
        Some(confirmed)
    }

    /// Returns whether a stream waits for its record.
    pub(crate) fn has_waiters(&self) -> bool {
        let known = self.known.borrow();
        let waits = |w: &oneshot::Sender<()>| !w.is_canceled();
        known.values().any(|k| k.waiter.as_ref().is_some_and(waits))
    }

    /// Returns the shards and versions of the streams that may have no record, by service, of those
    /// which began less than `ttl` ago and whose callers may have events.
    pub(crate) fn unrecorded(
        &self,
        now: Instant,
        ttl: Duration,
    ) -> BTreeMap<String, BTreeSet<(Shard, String)>> {
        let known = self.known.borrow();
        let mut unrecorded: BTreeMap<String, BTreeSet<(Shard, String)>> = BTreeMap::new();
        let order = self.order.borrow();
        let recent = order
            .iter()
            .rev()
            .take_while(|(at, _)| now.saturating_duration_since(*at) <= ttl);
        let streams = recent.filter_map(|(_, request)| Some((request, known.get(request)?)));
        let may_be_known = |k: &Known| k.recording != Recording::Confirmed && k.waiter.is_none();
        for (request, stream) in streams.filter(|(_, k)| may_be_known(k)) {
            let Origin { service, version } = &stream.origin;
            let of_service = unrecorded.entry(service.clone()).or_default();
            of_service.insert((Shard::of(request), version.clone()));
        }
        unrecorded
    }

    /// Takes up to `limit` streams of `services` that have no record, first those that wait for it.
    pub(crate) fn take_unrecorded(
        &self,
        services: &BTreeSet<String>,
        limit: usize,
    ) -> Vec<(String, Origin)> {
        let mut known = self.known.borrow_mut();
        let mut taken = Vec::new();
        for is_urgent in [true, false] {
            let unrecorded = known.iter_mut().filter(|(_, k)| {
                k.recording == Recording::Waiting
                    && (k.waiter.is_some() == is_urgent)
                    && services.contains(&k.origin.service)
            });
            taken.extend(unrecorded.take(limit - taken.len()).map(|(request, k)| {
                k.recording = Recording::Sent;
                (request.clone(), k.origin.clone())
            }));
        }
        taken
    }

    /// Records whether the store confirmed the records of streams.
    pub(crate) fn set_recorded(&self, streams: &[(String, Origin)], confirmed: bool) {
        let mut known = self.known.borrow_mut();
        for (request, _) in streams {
            let Some(stream) = known.get_mut(request) else {
                continue;
            };
            if !confirmed {
                stream.recording = Recording::Waiting;
                continue;
            }
            stream.recording = Recording::Confirmed;
            if let Some(waiter) = stream.waiter.take() {
                // The caller may have gone.
                let _ = waiter.send(());
            }
        }
    }

    /// Marks all streams as unrecorded, as the store came back from an older copy.
    pub fn store_restored(&self) {
        for stream in self.known.borrow_mut().values_mut() {
            stream.recording = Recording::Waiting;
        }
    }

    /// Returns the receiver of the records to look up; only once.
    pub(crate) fn take_lookups(&self) -> Option<mpsc::UnboundedReceiver<Lookup>> {
        self.waiting.borrow_mut().take()
    }

    /// Returns the receiver of the requests for the rows of tables; only once.
    pub(crate) fn take_reads(&self) -> Option<mpsc::UnboundedReceiver<RowsResult>> {
        self.pending_reads.borrow_mut().take()
    }

    /// Returns the receiver that is signalled when a stream waits for its record; only once.
    pub(crate) fn take_signals(&self) -> Option<mpsc::Receiver<()>> {
        self.signals.borrow_mut().take()
    }

    /// Records that the store has the records of streams, which are to be removed later.
    pub(crate) fn add_written(&self, now: Instant, streams: Vec<(String, Origin)>) {
        let mut written = self.written.borrow_mut();
        written.extend(streams.into_iter().map(|(request, _)| (now, request)));
    }

    /// Returns the number of records that the store has.
    pub(crate) fn written(&self) -> usize {
        self.written.borrow().len()
    }

    /// Takes up to `limit` records that have expired.
    pub(crate) fn take_expired(&self, now: Instant, ttl: Duration, limit: usize) -> Vec<String> {
        let mut written = self.written.borrow_mut();
        let is_old = |at: Instant| now.saturating_duration_since(at) > ttl;
        let expired = written.iter().take_while(|(at, _)| is_old(*at)).count();
        let drained = written.drain(..expired.min(limit));
        drained.map(|(_, request)| request).collect()
    }
}

/// Returns where a stream of a route has to go on that the request `began` began; `assigned` is the
/// service to which the route's weights assign it now.
///
/// # Errors
///
/// Fails if it is not known, and may never be.
pub async fn resolve(
    shell: &Shell,
    route: &Route,
    assigned: &str,
    began: &str,
) -> Result<Resolved, Reason> {
    if let Some(origin) = shell.origins().find(began) {
        return check(origin, Evidence::Memory, route);
    }
    let now = shell.now();
    let (only, is_moved) = shell.with_fleet(|f| {
        let only = f.only_version(now, assigned).map(str::to_owned);
        (only, f.is_moved(now, route))
    });
    let mut only = only.map(|version| Resolved {
        origin: Origin {
            service: assigned.to_owned(),
            version,
        },
        evidence: Evidence::OnlyVersion,
    });
    if let Some(only) = only.take_if(|_| !is_moved) {
        return Ok(only);
    }
    let Some(record) = read_record(shell, began).await else {
        return only.ok_or(Reason::VersionUnknown);
    };
    if let Some(origin) = record {
        return check(origin, Evidence::Record, route);
    }
    if let Some(only) = only {
        return Ok(only);
    }
    // The weights of before the start are not known.
    let is_split = route.targets.len() > 1;
    if is_moved || (is_split && shell.with_fleet(|f| f.is_young(now))) {
        return Err(Reason::VersionUnknown);
    }
    resolve_unrecorded(shell, route, assigned, began).await
}

/// Returns where a stream without a record goes on.
///
/// The rows of tables are read before the record is looked for once more: a router that
/// has recorded the stream meanwhile may have removed its version from its row.
async fn resolve_unrecorded(
    shell: &Shell,
    route: &Route,
    assigned: &str,
    began: &str,
) -> Result<Resolved, Reason> {
    let rows = read_unrecorded(shell).await;
    let rows = rows.ok_or(Reason::VersionUnknown)?;
    let (now, epoch_ms) = (shell.now(), shell.epoch_ms());
    let rows = (rows.era, rows.rows.as_slice());
    let stream = (assigned, began);
    let version = shell.with_fleet(|f| f.unrecorded_version(now, epoch_ms, rows, stream));
    let version = version.ok_or(Reason::VersionUnknown)?;
    match read_record(shell, began).await {
        None => Err(Reason::VersionUnknown),
        Some(Some(origin)) => check(origin, Evidence::Record, route),
        Some(None) => Ok(Resolved {
            origin: Origin {
                service: assigned.to_owned(),
                version,
            },
            evidence: Evidence::Assigned,
        }),
    }
}

/// Reads the rows of tables, after this call; none if the store does not answer.
async fn read_unrecorded(shell: &Shell) -> Option<Rc<UnrecordedRows>> {
    let (result, rows) = oneshot::channel();
    // Without a task that reads the store there are none.
    shell.origins().reads.unbounded_send(result).ok()?;
    let rows = hibiscusrail_net::timeout(RESPONSE_TIMEOUT * 2, rows).await;
    rows.ok()?.ok()
}

/// Returns the store's record of the stream that a request began, if there is one; none if the store does
/// not answer, or the request has no id.
async fn read_record(shell: &Shell, began: &str) -> Option<Option<Origin>> {
    if !is_recordable(began) {
        return None;
    }
    let (result, found) = oneshot::channel();
    let lookup = Lookup {
        request: began.to_owned(),
        result,
    };
    // Without a task that reads the store there is no record.
    shell.origins().lookups.unbounded_send(lookup).ok()?;
    let found = hibiscusrail_net::timeout(RESPONSE_TIMEOUT * 2, found).await;
    found.ok()?.ok()
}

/// Remembers the version that began a stream, and waits until the store has recorded it if the caller may
/// not get an event before.
///
/// # Errors
///
/// Fails if the store does not confirm the record in time, or the process exits.
pub async fn begin_stream(
    shell: &Shell,
    request: &str,
    origin: Origin,
    deadline: Instant,
) -> Result<(), Reason> {
    let origins = shell.origins();
    let now = shell.now();
    let ttl = shell.with_fleet(Fleet::stream_lifetime);
    if !shell.with_fleet(|f| f.has_several_versions(now, &origin.service)) {
        origins.begin(now, ttl, request, origin);
        return Ok(());
    }
    let (service, version) = (origin.service.clone(), origin.version.clone());
    if shell.with_fleet(|f| f.lacks_tables(&service))
        && let Some(rows) = read_unrecorded(shell).await
    {
        let (name, epoch_ms) = (shell.settings().name, shell.epoch_ms());
        shell.with_fleet_mut(|f| f.load_unrecorded(&name, epoch_ms, &rows.rows));
    }
    let now = shell.now();
    origins.begin(now, ttl, request, origin);
    if !shell.with_fleet(|f| f.must_record(now, request, (&service, &version))) {
        return Ok(());
    }
    let Some(confirmed) = origins.confirmation(request) else {
        return Ok(());
    };
    let time = RECORD_WAIT.min(deadline.saturating_duration_since(now));
    let waiting = std::pin::pin!(hibiscusrail_net::timeout(time, confirmed));
    let exit = std::pin::pin!(shell.exit_begins());
    let result = match select(waiting, exit).await {
        Either::Left((Ok(Ok(())), _)) => Ok(()),
        Either::Left(_) => Err(Reason::Unrecorded),
        Either::Right(_) => Err(Reason::Stopping),
    };
    log::info!(
        request = request,
        version = version.as_str(),
        confirmed = result.is_ok(),
        took_ms = millis(shell.now().saturating_duration_since(now));
        "record_awaited"
    );
    if result.is_err() {
        origins.forget(request);
    }
    result
}

/// Returns whether a request's id can be the key of a record, and stand in the path of a call.
#[must_use]
pub fn is_recordable(request: &str) -> bool {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !request.is_empty() && request.len() <= MAX_ID_BYTES && request.bytes().all(is_plain)
}

/// Returns the origin of a stream if its service is still one of its route's.
fn check(origin: Origin, evidence: Evidence, route: &Route) -> Result<Resolved, Reason> {
    let is_target = route.targets.iter().any(|t| t.service == origin.service);
    is_target
        .then_some(Resolved { origin, evidence })
        .ok_or(Reason::VersionUnknown)
}
