//! Keeps what the store has of streams and their versions: the records of streams, the services with
//! several versions, and the tables by which this router may begin streams without a record.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, StreamExt};
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::unrecorded::UnrecordedRow;
use hibiscusrail_fleet::{Event, Fleet};

use crate::origins::{Lookup, RowsResult, UnrecordedRows};
use crate::shell::Shell;
use crate::watch::{RESPONSE_TIMEOUT, Store, StoreError, StoreLink};

/// Minimum time between two batches of records for which nothing waits.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a batch that was confirmed late, as a multiple of its time, so that the batches of
/// all routers do not queue up at a slow store.
const LATE_PAUSE_FACTOR: u32 = 4;
/// Minimum time between two batches of records.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two batches for each router, so that all of them together stay within what the store
/// writes in one partition.
const RECORD_INTERVAL_EACH: Duration = Duration::from_millis(8);
/// Time from which a batch counts as late: callers wait for it.
const SLOW_BATCH: Duration = Duration::from_millis(250);
/// Maximum number of changes in one batch, a limit of the store.
const MAX_BATCH: usize = 100;
/// Maximum number of batches in a row.
const MAX_BATCHES: usize = 4;
/// Number of expired records from which they are removed without new ones to write.
const REMOVED_TOGETHER: usize = 50;
/// Maximum number of records that are read at the same time.
const MAX_LOOKUPS: usize = 8;
/// Interval of checking whether the row of tables has to change.
const UNRECORDED_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the start in which a restored store may lack rows of versions that routers which run
/// since before the restore are about to write again.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Returns the tasks that keep the records.
pub fn tasks<S: Store>(shell: &Rc<Shell>, store: &Rc<S>) -> [LocalBoxFuture<'static, ()>; 4] {
    let (own, rows) = (|| Rc::clone(shell), || Rc::clone(store));
    [
        follow_lookups(own(), rows()).boxed_local(),
        follow_reads(own(), rows()).boxed_local(),
        follow_unrecorded(own(), rows()).boxed_local(),
        follow_versions(own(), rows()).boxed_local(),
    ]
}

/// Waits for the answer to one read of several at the same time; none if it fails.
async fn limited<T>(
    shell: &Shell,
    step: &'static str,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Option<T> {
    let error = match hibiscusrail_net::timeout(RESPONSE_TIMEOUT, call).await {
        Ok(Ok(value)) => return Some(value),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no response in time".to_owned(),
    };
    shell.metrics().store_error(step);
    log::warn!(step = step, error = error.as_str(); "store_lost");
    None
}

/// Reads records that requests wait for until the task is dropped.
async fn follow_lookups(shell: Rc<Shell>, store: Rc<impl Store>) {
    let Some(lookups) = shell.origins().take_lookups() else {
        return;
    };
    let read = |lookup: Lookup| {
        let (shell, store) = (&shell, &store);
        async move {
            let Lookup { request, result } = lookup;
            if result.is_canceled() {
                return;
            }
            let found = limited(shell, "origin", store.origin(&request)).await;
            if let Some(found) = found {
                // The caller may have gone.
                let _ = result.send(found);
            }
        }
    };
    lookups.for_each_concurrent(MAX_LOOKUPS, read).await;
}

/// Reads the rows of tables for requests that wait for them, until the task is dropped.
///
/// One read serves all requests that came before it.
async fn follow_reads(shell: Rc<Shell>, store: Rc<impl Store>) {
    let Some(mut reads) = shell.origins().take_reads() else {
        return;
    };
    while let Some(first) = reads.next().await {
        let mut waiting: Vec<RowsResult> = vec![first];
        while let Some(Some(next)) = reads.next().now_or_never() {
            waiting.push(next);
        }
        let Some(table) = limited(&shell, "unrecorded", store.unrecorded()).await else {
            continue;
        };
        let rows = table.value.unwrap_or_default();
        let rows = Rc::new(UnrecordedRows {
            era: table.revision.era(),
            rows: rows.into_iter().map(|(row, _)| row).collect(),
        });
        for result in waiting {
            // The caller may have gone.
            let _ = result.send(Rc::clone(&rows));
        }
    }
}

/// Keeps this router's row of tables until the task is dropped.
async fn follow_unrecorded(shell: Rc<Shell>, store: Rc<impl Store>) {
    let mut link = StoreLink::new("unrecorded");
    let mut has_removed = false;
    let name = shell.settings().name;
    let started = shell.with_fleet(Fleet::incarnation);
    loop {
        compio::time::sleep(UNRECORDED_INTERVAL).await;
        // Without several versions, the streams of this router need not be looked through.
        let (has_several, is_loaded, is_read) = shell.with_fleet(|f| {
            let versions = f.versions();
            let is_read = versions.unrecorded.is_read();
            (
                f.has_any_versions(shell.now()),
                versions.is_loaded(),
                is_read,
            )
        });
        let is_due = || is_read || is_loaded;
        let is_needed = || !is_read || unsaved_row(&shell, &name).is_some();
        if !has_several || !is_due() || !is_needed() {
            continue;
        }
        let Some(table) = link
            .call(&shell, RESPONSE_TIMEOUT, store.unrecorded())
            .await
        else {
            continue;
        };
        let rows = table.value.unwrap_or_default();
        let is_stored =
            |(row, _): &&(UnrecordedRow, u64)| row.router == name && row.started == started;
        // A write in doubt may have been made since.
        let version = rows.iter().find(is_stored).map_or(0, |(_, v)| *v);
        let rows: Vec<UnrecordedRow> = rows.into_iter().map(|(row, _)| row).collect();
        let epoch_ms = shell.epoch_ms();
        shell.with_fleet_mut(|f| f.load_unrecorded(&name, epoch_ms, &rows));
        let Some(row) = unsaved_row(&shell, &name) else {
            continue;
        };
        shell.with_fleet_mut(|f| f.sending_unrecorded(&row));
        let call = store.save_unrecorded(&row, version);
        // The row may have changed since the read, by a write in doubt.
        if link.call(&shell, RESPONSE_TIMEOUT, call).await == Some(true) {
            shell.with_fleet_mut(|f| f.unrecorded_saved(&row));
        }
        let is_young = shell.with_fleet(|f| f.is_young(shell.now()));
        let earlier: Vec<UnrecordedRow> = rows
            .into_iter()
            .filter(|row| row.router == name && row.started < started)
            .collect();
        if !is_young && !has_removed && !earlier.is_empty() {
            let call = store.remove_unrecorded(&earlier);
            has_removed = link.call(&shell, RESPONSE_TIMEOUT, call).await.is_some();
        }
    }
}

/// Returns the row of tables that the store lacks.
fn unsaved_row(shell: &Shell, name: &str) -> Option<UnrecordedRow> {
    let (now, epoch_ms) = (shell.now(), shell.epoch_ms());
    let ttl = shell.with_fleet(Fleet::stream_lifetime);
    let begun = shell.origins().unrecorded(now, ttl);
    shell.with_fleet_mut(|f| f.unsaved_unrecorded(now, (name, epoch_ms), &begun))
}

/// Keeps the store's rows of versions and records of streams until the task is dropped.
async fn follow_versions(shell: Rc<Shell>, store: Rc<impl Store>) {
    let mut link = StoreLink::new("versions");
    let started = shell.now();
    let Some(mut signals) = shell.origins().take_signals() else {
        return;
    };
    loop {
        wait_until_batch_due(&shell, &mut signals).await;
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

/// Waits until the next batch of records is due, sooner if a stream waits for its record.
async fn wait_until_batch_due(shell: &Shell, signals: &mut mpsc::Receiver<()>) {
    let interval = RECORD_INTERVAL_EACH * routers(shell);
    let urgent = interval.max(MIN_URGENT_INTERVAL);
    compio::time::sleep(urgent).await;
    let rest = interval.max(MIN_RECORD_INTERVAL).saturating_sub(urgent);
    if !shell.origins().has_waiters() {
        // It ends at the first signal or in time.
        let _ = hibiscusrail_net::timeout(rest, signals.next()).await;
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
    if begun.is_empty() && origins.written() < REMOVED_TOGETHER {
        return false;
    }
    let expired = origins.take_expired(now, ttl, MAX_BATCH - begun.len());
    if begun.is_empty() && expired.is_empty() {
        return false;
    }
    let call = async {
        let mut call = std::pin::pin!(store.record_origins(&begun, &expired));
        let in_time = hibiscusrail_net::timeout(SLOW_BATCH, call.as_mut()).await;
        let is_confirmed = matches!(in_time, Ok(Ok(())));
        let ended = shell.now();
        let took = ended.saturating_duration_since(now);
        shell.with_fleet_mut(|f| f.batch_ended(ended, is_confirmed, took));
        match in_time {
            Ok(result) => result,
            Err(_) => call.await,
        }
    };
    let is_confirmed = link.call(shell, RESPONSE_TIMEOUT, call).await.is_some();
    // Expired records that were not removed are left behind.
    origins.set_recorded(&begun, is_confirmed);
    if !is_confirmed {
        return false;
    }
    let is_full = begun.len() == MAX_BATCH;
    origins.add_written(now, begun);
    let took = shell.now().saturating_duration_since(now);
    if took >= SLOW_BATCH {
        compio::time::sleep(took * LATE_PAUSE_FACTOR).await;
    }
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
