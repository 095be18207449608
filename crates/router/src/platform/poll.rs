//! Follows the configuration and the host list.
//!
//! A round reads one row, the head, which counts the accepted tickets. Only
//! when it has grown are the changes since then scanned and the objects that
//! they name read. What the platform answers may be old: the position moves
//! only past changes whose objects were read at the changed version.

use std::collections::BTreeMap;
use std::rc::Rc;

use hibiscusrail_core::configuration::{Object, Version};
use hibiscusrail_core::event::HostEntry;
use hibiscusrail_core::{Event, RouterId, ZoneId};
use hibiscusrail_store::table::{HostList, ReadAnswer, ReadRequest, Row, ScanAnswer, ScanRequest};
use hibiscusrail_store::ticket::{ChangeRow, HeadRow};
use hibiscusrail_store::{keys, object};

use super::pacer::Pacer;
use super::{PlatformError, call, get};
use crate::shell::Shell;

/// Rows read by one scan.
const SCAN_ROWS: usize = 500;
/// Changes read by one scan.
const CHANGE_ROWS: usize = 100;
/// Rounds between two readings of the host list.
const HOST_ROUNDS: u64 = 5;
/// Rounds after which everything is read again.
const WHOLE_ROUNDS: u64 = 600;

/// How far the configuration in the table was followed.
#[derive(Debug, Default)]
struct Position {
    /// Accepted tickets that were followed; none before the first whole reading.
    sequence: Option<u64>,
    rounds: u64,
}

/// Follows the platform until the task is dropped.
pub async fn poll(shell: Rc<Shell>) {
    let mut pacer = Pacer::new(shell.settings().platform_poll);
    let mut position = Position::default();
    loop {
        let result = round(&shell, &pacer, &mut position).await;
        if let Err(error) = &result {
            log::warn!(step = "poll", error:% = error; "platform_unreachable");
        }
        pacer.observe(result.is_ok());
        compio::time::sleep(pacer.pause(rand::random())).await;
    }
}

async fn round(
    shell: &Rc<Shell>,
    pacer: &Pacer,
    position: &mut Position,
) -> Result<(), PlatformError> {
    let head = read_head(shell).await?;
    let whole = position.rounds.is_multiple_of(WHOLE_ROUNDS);
    match position.sequence {
        None => {
            // An empty table has not been filled yet.
            let found = read_whole(shell, pacer).await?;
            position.sequence = (found > 0).then_some(head);
        }
        Some(_) if whole => {
            read_whole(shell, pacer).await?;
        }
        Some(old) if head < old => {
            log::warn!(head = head, followed = old; "platform_answers_old_data");
        }
        Some(old) if head > old => {
            position.sequence = Some(read_changes(shell, old).await?);
        }
        Some(_) => {}
    }
    if position.rounds.is_multiple_of(HOST_ROUNDS) {
        read_hosts(shell).await?;
    }
    position.rounds += 1;
    Ok(())
}

async fn read(shell: &Rc<Shell>, keys: Vec<String>) -> Result<Vec<Option<Row>>, PlatformError> {
    let question = ReadRequest { keys };
    let answer: ReadAnswer = call(shell.settings().platform, "/table/read", &question).await?;
    Ok(answer.rows)
}

async fn scan(
    shell: &Rc<Shell>,
    prefix: &str,
    after: &str,
    limit: usize,
) -> Result<ScanAnswer, PlatformError> {
    let question = ScanRequest {
        prefix: prefix.to_owned(),
        after: after.to_owned(),
        limit,
    };
    call(shell.settings().platform, "/table/scan", &question).await
}

async fn read_head(shell: &Rc<Shell>) -> Result<u64, PlatformError> {
    let rows = read(shell, vec![keys::HEAD.to_owned()]).await?;
    let head = rows.into_iter().flatten().next();
    Ok(head
        .and_then(|row| serde_json::from_value::<HeadRow>(row.value).ok())
        .map_or(0, |head| head.sequence))
}

fn parse(row: &Row) -> Option<(Version, Object)> {
    match object::from_row(row) {
        Ok(versioned) => Some(versioned),
        Err(error) => {
            log::warn!(step = "read_config", error:% = error; "row_ignored");
            None
        }
    }
}

/// Reads all objects; returns how many there are.
async fn read_whole(shell: &Rc<Shell>, pacer: &Pacer) -> Result<usize, PlatformError> {
    let mut after = String::new();
    let mut objects = Vec::new();
    loop {
        let answer = scan(shell, keys::CONFIG_PREFIX, &after, SCAN_ROWS).await?;
        objects.extend(answer.rows.iter().filter_map(parse));
        match answer.rows.last() {
            Some(last) if answer.more => after.clone_from(&last.key),
            _ => break,
        }
        pacer.between_calls().await;
    }
    let found = objects.len();
    shell.event(Event::Objects(objects));
    Ok(found)
}

/// Reads what changed after `old`; returns up to which change everything was seen.
async fn read_changes(shell: &Rc<Shell>, old: u64) -> Result<u64, PlatformError> {
    let answer = scan(shell, keys::CHANGE_PREFIX, &keys::change(old), CHANGE_ROWS).await?;
    let changes = consecutive(old, &answer.rows);
    let mut wanted: BTreeMap<String, u64> = BTreeMap::new();
    for change in &changes {
        for key in &change.keys {
            let number = wanted.entry(key.clone()).or_default();
            *number = change.number.max(*number);
        }
    }
    let rows = read(shell, wanted.keys().cloned().collect()).await?;
    let mut objects = Vec::new();
    let mut fresh = rows.len() == wanted.len();
    for (row, number) in rows.iter().zip(wanted.values()) {
        let object = row.as_ref().and_then(parse);
        fresh &= object.as_ref().is_some_and(|(v, _)| v.0 >= *number);
        objects.extend(object);
    }
    shell.event(Event::Changes(objects));
    if !fresh {
        log::warn!(followed = old; "platform_answers_old_data");
        return Ok(old);
    }
    Ok(changes.last().map_or(old, |change| change.sequence))
}

/// Returns the changes that follow `old` without a gap.
fn consecutive(old: u64, rows: &[Row]) -> Vec<ChangeRow> {
    let changes = rows
        .iter()
        .filter_map(|row| serde_json::from_value::<ChangeRow>(row.value.clone()).ok());
    (old + 1..)
        .zip(changes)
        .take_while(|(sequence, change)| change.sequence == *sequence)
        .map(|(_, change)| change)
        .collect()
}

async fn read_hosts(shell: &Rc<Shell>) -> Result<(), PlatformError> {
    let list: HostList = get(shell.settings().platform, "/hosts").await?;
    let hosts = list.hosts.into_iter().map(|host| HostEntry {
        router: RouterId::new(&host.router),
        zone: ZoneId::new(&host.zone),
        address: host.address,
        leaving: host.leaving,
    });
    shell.event(Event::Hosts(hosts.collect()));
    Ok(())
}
