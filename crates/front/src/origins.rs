//! Which service and software version began each stream, for callers that take a stream up at
//! another router.
//!
//! A router remembers the streams that it began. While a service may have streams of several
//! versions, or a route's weights have changed since they began, it also records them in the store,
//! in batches beside the events, since a caller may come back to any router after all of them were
//! killed. Otherwise streams need no record.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::objects::{Revision, Route};
use hibiscusrail_fleet::{Event, Fleet};
use hibiscusrail_macros::id;
use serde::{Deserialize, Serialize};

use crate::shell::Shell;
use crate::watch::{RESPONSE_TIMEOUT, Store, StoreLink};

/// Minimum time between two batches of records.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two batches for each router, so that all of them together stay within what the store
/// writes in one partition.
const RECORD_INTERVAL_EACH: Duration = Duration::from_millis(8);
/// Maximum number of changes in one batch, a limit of the store.
const MAX_BATCH: usize = 100;
/// Maximum number of batches in a row.
const MAX_BATCHES: usize = 4;
/// Number of expired records from which they are removed without new ones to write.
const REMOVED_TOGETHER: usize = 50;
/// Maximum number of streams that a router remembers.
const MAX_ORIGINS: usize = 20_000;
/// Maximum number of records that are read at the same time.
const MAX_LOOKUPS: usize = 8;
/// Time after the start in which a restored store may lack rows of versions that routers which run
/// since before the restore are about to write again.
const REWRITE_TIME: Duration = Duration::from_secs(2);
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
}

impl Evidence {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::OnlyVersion => "only_version",
            Self::Record => "record",
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

/// An origin that this router knows.
#[derive(Debug)]
struct Known {
    origin: Origin,
    /// Whether the store has it, or a batch with it is being written.
    recorded: bool,
}

/// A request for a record, and where the result goes.
#[derive(Debug)]
struct Lookup {
    request: String,
    result: oneshot::Sender<Option<Origin>>,
}

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
}

impl Default for Origins {
    fn default() -> Self {
        let (lookups, waiting) = mpsc::unbounded();
        Self {
            known: RefCell::default(),
            order: RefCell::default(),
            written: RefCell::default(),
            lookups,
            waiting: RefCell::new(Some(waiting)),
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
            recorded: false,
        };
        if known.insert(request.to_owned(), stream).is_none() {
            order.push_back((now, request.to_owned()));
        }
    }

    /// Returns the origin of a stream that this router began.
    fn find(&self, request: &str) -> Option<Origin> {
        self.known.borrow().get(request).map(|k| k.origin.clone())
    }

    /// Takes up to `limit` streams of `services` that have no record.
    fn take_unrecorded(&self, services: &BTreeSet<String>, limit: usize) -> Vec<(String, Origin)> {
        let mut known = self.known.borrow_mut();
        let unrecorded = known
            .iter_mut()
            .filter(|(_, k)| !k.recorded && services.contains(&k.origin.service));
        let taken = unrecorded.take(limit).map(|(request, k)| {
            k.recorded = true;
            (request.clone(), k.origin.clone())
        });
        taken.collect()
    }

    /// Marks streams as unrecorded, as the store did not confirm their batch.
    fn return_unrecorded(&self, streams: &[(String, Origin)]) {
        let mut known = self.known.borrow_mut();
        for (request, _) in streams {
            if let Some(stream) = known.get_mut(request) {
                stream.recorded = false;
            }
        }
    }

    /// Marks all streams as unrecorded, as the store came back from an older copy.
    pub fn store_restored(&self) {
        for stream in self.known.borrow_mut().values_mut() {
            stream.recorded = false;
        }
    }

    /// Takes up to `limit` records that have expired.
    fn take_expired(&self, now: Instant, ttl: Duration, limit: usize) -> Vec<String> {
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
    let only = only.map(|version| Resolved {
        origin: Origin {
            service: assigned.to_owned(),
            version,
        },
        evidence: Evidence::OnlyVersion,
    });
    match only {
        Some(only) if !is_moved => Ok(only),
        only => match read_record(shell, began).await {
            Some(origin) => check(origin, Evidence::Record, route),
            None => only.ok_or(Reason::VersionUnknown),
        },
    }
}

/// Returns the store's record of the stream that a request began.
async fn read_record(shell: &Shell, began: &str) -> Option<Origin> {
    if began.is_empty() {
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
    found.ok()?.ok()?
}

/// Returns the origin of a stream if its service is still one of its route's.
fn check(origin: Origin, evidence: Evidence, route: &Route) -> Result<Resolved, Reason> {
    let is_target = route.targets.iter().any(|t| t.service == origin.service);
    is_target
        .then_some(Resolved { origin, evidence })
        .ok_or(Reason::VersionUnknown)
}

/// Reads records that requests wait for until the task is dropped.
pub async fn follow_lookups(shell: Rc<Shell>, store: Rc<impl Store>) {
    let waiting = shell.origins().waiting.borrow_mut().take();
    let Some(waiting) = waiting else {
        return;
    };
    let read = |lookup: Lookup| {
        let (shell, store) = (&shell, &store);
        async move {
            let Lookup { request, result } = lookup;
            if result.is_canceled() {
                return;
            }
            let call = store.origin(&request);
            let found = match hibiscusrail_net::timeout(RESPONSE_TIMEOUT, call).await {
                Ok(Ok(found)) => found,
                Ok(Err(error)) => {
                    shell.metrics().store_error("origin");
                    log::warn!(step = "origin", error:% = error; "store_lost");
                    None
                }
                Err(_) => {
                    shell.metrics().store_error("origin");
                    log::warn!(step = "origin", error = "no response in time"; "store_lost");
                    None
                }
            };
            // The caller may have gone.
            let _ = result.send(found);
        }
    };
    waiting.for_each_concurrent(MAX_LOOKUPS, read).await;
}

/// Keeps the store's rows of versions and records of streams until the task is dropped.
pub async fn follow_versions(shell: Rc<Shell>, store: Rc<impl Store>) {
    let mut link = StoreLink::new("versions");
    let started = shell.now();
    loop {
        let interval = RECORD_INTERVAL_EACH * routers(&shell);
        compio::time::sleep(interval.max(MIN_RECORD_INTERVAL)).await;
        let age = shell.now().saturating_duration_since(started);
        let is_copy = age < REWRITE_TIME && shell.with_fleet(may_be_copy);
        if !is_copy && !shell.with_fleet(|f| f.versions().is_loaded()) {
            let Some(rows) = link.call(&shell, RESPONSE_TIMEOUT, store.versions()).await else {
                continue;
            };
            shell.handle(Event::Versions(shell.epoch_ms(), rows));
        }
        let unsaved = shell.with_fleet(|f| {
            let writes = f.reads_store(shell.now());
            writes.then(|| f.versions().unsaved(shell.epoch_ms()))
        });
        for row in unsaved.into_iter().flatten() {
            let call = store.save_versions(&row);
            if link.call(&shell, RESPONSE_TIMEOUT, call).await.is_some() {
                shell.handle(Event::VersionsSaved(row));
            }
        }
        for _ in 0..MAX_BATCHES {
            if !record_batch(&shell, &store, &mut link).await {
                break;
            }
        }
    }
}

/// Returns whether the store may have been restored from a copy whose rows other routers have not yet
/// written again.
fn may_be_copy(fleet: &Fleet) -> bool {
    let revision = fleet.registry().revision();
    revision == Revision::default() || revision.era() > 0
}

fn routers(shell: &Shell) -> u32 {
    u32::try_from(shell.with_fleet(Fleet::known_routers)).unwrap_or(u32::MAX)
}

/// Writes records of streams and removes expired ones; returns whether there may be more to write.
async fn record_batch(shell: &Rc<Shell>, store: &Rc<impl Store>, link: &mut StoreLink) -> bool {
    let origins = shell.origins();
    let now = shell.now();
    let (ttl, services) = shell.with_fleet(|f| (f.stream_lifetime(), uncertain_services(f, now)));
    let begun = if services.is_empty() {
        Vec::new()
    } else {
        origins.take_unrecorded(&services, MAX_BATCH)
    };
    let waiting = origins.written.borrow().len();
    if begun.is_empty() && waiting < REMOVED_TOGETHER {
        return false;
    }
    let expired = origins.take_expired(now, ttl, MAX_BATCH - begun.len());
    if begun.is_empty() && expired.is_empty() {
        return false;
    }
    let call = store.record_origins(&begun, &expired);
    if link.call(shell, RESPONSE_TIMEOUT, call).await.is_none() {
        // Expired records are left behind.
        origins.return_unrecorded(&begun);
        return false;
    }
    let is_full = begun.len() == MAX_BATCH;
    let mut written = origins.written.borrow_mut();
    written.extend(begun.into_iter().map(|(request, _)| (now, request)));
    is_full
}

/// Returns the services whose streams need records.
fn uncertain_services(fleet: &Fleet, now: Instant) -> BTreeSet<String> {
    let deployment = fleet.config().deployment.as_ref();
    let services = deployment.into_iter().flat_map(|d| d.services.keys());
    services
        .filter(|name| fleet.needs_records(now, name))
        .cloned()
        .collect()
}
