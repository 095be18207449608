//! Follows the configuration and the host list in the platform's table.
//!
//! Each round reads the head row, which counts the accepted tickets. If it has grown, the round
//! scans the new changes and reads the objects that they name. Answers may be old, so the position
//! advances only past changes whose objects were read at the changed version or a later one.

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
use crate::findings::FindingLog;
use crate::shell::Shell;

/// Maximum number of configuration rows that one scan reads.
const CONFIG_SCAN_ROWS: usize = 500;
/// Maximum number of changes that one scan reads.
const CHANGE_SCAN_ROWS: usize = 100;
/// Number of rounds between two reads of the host list.
const HOST_LIST_ROUNDS: u64 = 5;
/// Number of rounds between two full reads of the configuration.
const FULL_READ_ROUNDS: u64 = 600;

/// Position of the poller in the sequence of configuration changes.
#[derive(Debug, Default)]
struct Position {
    /// Number of accepted tickets that were applied; `None` before the first full read.
    sequence: Option<u64>,
    rounds: u64,
}

/// Polls the platform until the task is dropped.
pub async fn poll(shell: Rc<Shell>) {
    let mut pacer = Pacer::new(shell.settings().platform_poll);
    let mut position = Position::default();
    let mut findings = FindingLog::default();
    loop {
        let result = round(&shell, &pacer, &mut position).await;
        if let Err(error) = &result {
            log::warn!(step = "poll", error:% = error; "platform_unreachable");
        }
        pacer.record(result.is_ok());
        shell.with_router(|r| findings.update(r.config()));
        compio::time::sleep(pacer.pause(rand::random())).await;
    }
}

async fn round(
    shell: &Rc<Shell>,
    pacer: &Pacer,
    position: &mut Position,
) -> Result<(), PlatformError> {
    let head = read_head(shell).await?;
    let full_read = position.rounds.is_multiple_of(FULL_READ_ROUNDS);
    match position.sequence {
        None => {
            // An empty table has not been filled yet: stay at the start.
            let found = read_all(shell, pacer).await?;
            position.sequence = (found > 0).then_some(head);
        }
        Some(_) if full_read => {
            read_all(shell, pacer).await?;
        }
        Some(followed) if head < followed => {
            log::warn!(head = head, followed = followed; "platform_answers_old_data");
        }
        Some(followed) if head > followed => {
            position.sequence = Some(read_changes(shell, followed).await?);
        }
        Some(_) => {}
    }
    if position.rounds.is_multiple_of(HOST_LIST_ROUNDS) {
        read_hosts(shell).await?;
    }
    position.rounds += 1;
    Ok(())
}

async fn read(shell: &Rc<Shell>, keys: Vec<String>) -> Result<Vec<Option<Row>>, PlatformError> {
    let request = ReadRequest { keys };
    let answer: ReadAnswer = call(shell.settings().platform, "/table/read", &request).await?;
    Ok(answer.rows)
}

async fn scan(
    shell: &Rc<Shell>,
    prefix: &str,
    after: &str,
    limit: usize,
) -> Result<ScanAnswer, PlatformError> {
    let request = ScanRequest {
        prefix: prefix.to_owned(),
        after: after.to_owned(),
        limit,
    };
    call(shell.settings().platform, "/table/scan", &request).await
}

/// Reads the number of accepted tickets; 0 if the head row is missing or invalid.
async fn read_head(shell: &Rc<Shell>) -> Result<u64, PlatformError> {
    let rows = read(shell, vec![keys::HEAD.to_owned()]).await?;
    let head = rows.into_iter().flatten().next();
    Ok(head
        .and_then(|row| serde_json::from_value::<HeadRow>(row.value).ok())
        .map_or(0, |head| head.sequence))
}

/// Parses a configuration row; logs and ignores an invalid one.
fn parse(row: &Row) -> Option<(Version, Object)> {
    match object::decode(row) {
        Ok(versioned) => Some(versioned),
        Err(error) => {
            log::warn!(step = "read_config", error:% = error; "row_ignored");
            None
        }
    }
}

/// Reads all configuration objects and returns their number.
async fn read_all(shell: &Rc<Shell>, pacer: &Pacer) -> Result<usize, PlatformError> {
    let mut after = String::new();
    let mut objects = Vec::new();
    loop {
        let answer = scan(shell, keys::CONFIG_PREFIX, &after, CONFIG_SCAN_ROWS).await?;
        objects.extend(answer.rows.iter().filter_map(parse));
        match answer.rows.last() {
            Some(last) if answer.more => after.clone_from(&last.key),
            _ => break,
        }
        pacer.wait_between_calls().await;
    }
    let found = objects.len();
    shell.handle(Event::ConfigRead(objects));
    Ok(found)
}

/// Reads the objects changed after `followed` and returns the new position, which stays at
/// `followed` if an object is missing, invalid or older than its change.
async fn read_changes(shell: &Rc<Shell>, followed: u64) -> Result<u64, PlatformError> {
    let answer = scan(
        shell,
        keys::CHANGE_PREFIX,
        &keys::change(followed),
        CHANGE_SCAN_ROWS,
    )
    .await?;
    let changes = consecutive(followed, &answer.rows);
    let mut min_versions: BTreeMap<String, u64> = BTreeMap::new();
    for change in &changes {
        for key in &change.keys {
            let number = min_versions.entry(key.clone()).or_default();
            *number = change.number.max(*number);
        }
    }
    let rows = read(shell, min_versions.keys().cloned().collect()).await?;
    let mut objects = Vec::new();
    let mut up_to_date = rows.len() == min_versions.len();
    for (row, number) in rows.iter().zip(min_versions.values()) {
        let object = row.as_ref().and_then(parse);
        up_to_date &= object.as_ref().is_some_and(|(v, _)| v.0 >= *number);
        objects.extend(object);
    }
    shell.handle(Event::ConfigChanged(objects));
    if !up_to_date {
        log::warn!(followed = followed; "platform_answers_old_data");
        return Ok(followed);
    }
    Ok(changes.last().map_or(followed, |change| change.sequence))
}

/// Returns the changes that follow `followed` without a gap.
fn consecutive(followed: u64, rows: &[Row]) -> Vec<ChangeRow> {
    let changes = rows
        .iter()
        .filter_map(|row| serde_json::from_value::<ChangeRow>(row.value.clone()).ok());
    (followed + 1..)
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
    shell.handle(Event::Hosts(hosts.collect()));
    Ok(())
}
