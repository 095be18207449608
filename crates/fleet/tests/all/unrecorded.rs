//! Versions of streams that have no record.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::unrecorded::{
    Shard, Table, Unrecorded, UnrecordedRow, Usage, assigned_version,
};
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey, Submission};

use super::support::{self, ENGINES, failure_reason, prompt, sent_to, submission};
use super::versions::{engines, version_sent_to};

/// Time of day of the tests, in milliseconds.
const EPOCH: u64 = 1_000_000;
/// Times of two starts of a router.
const STARTS: [u64; 2] = [EPOCH - 60_000, EPOCH];
/// Names of the routers.
const MEMBERS: [&str; 3] = ["r", "r1", "r2"];

/// Returns requests' ids whose streams are of different shards.
fn ids() -> impl Iterator<Item = String> {
    (0..64).map(|n| format!("request-{n}"))
}

fn usage(servers: &[(&str, usize)]) -> BTreeMap<String, Usage> {
    let servers = servers.iter().map(|(v, count)| ((*v).to_owned(), *count));
    let usage = Usage {
        servers: servers.collect(),
        ..Usage::default()
    };
    BTreeMap::from([(ENGINES.to_owned(), usage)])
}

/// Returns a router that has read that there are no rows.
fn loaded() -> Unrecorded {
    let mut unrecorded = Unrecorded::default();
    unrecorded.load(EPOCH, &[], "r");
    unrecorded
}

/// Has the row that a router needs written; returns it, if there was one to write.
fn save(unrecorded: &mut Unrecorded, usage: &BTreeMap<String, Usage>) -> Option<UnrecordedRow> {
    let row = unrecorded.unsaved(("r", STARTS[1]), EPOCH, usage)?;
    unrecorded.sending(&row);
    unrecorded.saved(&row);
    Some(row)
}

fn row(router: &str, started: u64, tables: Vec<Table>) -> UnrecordedRow {
    let tables: BTreeSet<Table> = tables.into_iter().collect();
    UnrecordedRow {
        router: router.to_owned(),
        started,
        written: EPOCH,
        tables: BTreeMap::from([(ENGINES.to_owned(), tables)]),
    }
}

/// Returns a table in which the second version has half of the shards.
fn halves() -> Table {
    let servers = [("v1", 3), ("v2", 3)].map(|(v, count)| (v.to_owned(), count));
    Table::with_shares(&servers.into())
}

#[test]
fn table_has_shares_of_servers() {
    let cases = [
        (vec![("v1", 5)], [8, 0, 0]),
        (vec![("v1", 9), ("v2", 9)], [4, 4, 0]),
        (vec![("v1", 15), ("v2", 3)], [7, 1, 0]),
        (vec![("v1", 1), ("v2", 1), ("v3", 2)], [2, 2, 4]),
        (vec![("v1", 1), ("v2", 99)], [0, 8, 0]),
    ];
    for (servers, expected) in cases {
        let servers = servers.iter().map(|(v, count)| ((*v).to_owned(), *count));
        let table = Table::with_shares(&servers.collect());
        let shards: BTreeSet<Shard> = ids().map(|id| Shard::of(&id)).collect();
        let count = |version| {
            let assigned = shards
                .iter()
                .filter(|s| table.version(**s) == Some(version));
            assigned.count()
        };
        assert_eq!(["v1", "v2", "v3"].map(count), expected, "{table:?}");
    }
}

#[test]
fn assigned_version_is_certain_where_tables_agree() {
    let (v1, v2) = (Table::new("v1"), Table::new("v2"));
    let version = |rows: &[UnrecordedRow], id: &str| {
        let version = assigned_version(EPOCH, rows.iter(), ENGINES, Shard::of(id));
        version.map(str::to_owned)
    };
    let halves = halves();
    let rows = [
        row("r1", 1, vec![halves.clone()]),
        row("r2", 1, vec![v1.clone()]),
    ];
    for id in ids() {
        let expected = halves.version(Shard::of(&id)).filter(|v| *v == "v1");
        assert_eq!(version(&rows, &id).as_deref(), expected);
    }
    let cases = [
        (vec![], None, "nobody tells"),
        (
            vec![row("r1", 1, vec![v1.clone(), v2.clone()])],
            None,
            "one has both",
        ),
        (
            vec![row("r1", 1, vec![v1.clone()]), row("r1", 2, vec![v2])],
            None,
            "an earlier process had another",
        ),
        (
            vec![row("r1", 1, vec![v1.clone()]), row("r2", 1, vec![v1])],
            Some("v1"),
            "they agree",
        ),
    ];
    for (rows, expected, case) in cases {
        assert_eq!(version(&rows, "a").as_deref(), expected, "{case}");
    }
    let mut other = row("r1", 1, vec![Table::new("v1")]);
    other.tables.clear();
    assert_eq!(version(&[other], "a"), None, "a row does not tell");
}

// Guards against ORDER: a stream whose version no row tells would be taken for one of another.
#[test]
fn row_names_what_may_begin_unrecorded() {
    let now = Instant::now();
    let mut unrecorded = loaded();
    let mut servers = usage(&[("v1", 6)]);
    let begun = (Shard::of("a"), "v0".to_owned());
    let of_service = servers.get_mut(ENGINES).expect("there is a service");
    of_service.begun.insert(begun.clone());
    let first = save(&mut unrecorded, &servers).expect("there is no row");
    let versions = |row: &UnrecordedRow| -> BTreeSet<String> {
        let tables = row.tables[ENGINES].iter();
        let versions = tables.filter_map(|t| t.version(begun.0));
        versions.map(str::to_owned).collect()
    };
    let both = ["v0", "v1"].map(str::to_owned);
    assert_eq!(versions(&first), BTreeSet::from(both), "one is unrecorded");
    let second = save(&mut unrecorded, &usage(&[("v1", 6)])).expect("it was recorded since");
    assert_eq!(versions(&second), BTreeSet::from(["v1".to_owned()]));
    assert!(save(&mut unrecorded, &usage(&[("v1", 6)])).is_none());
    for id in ids() {
        let must = |version| unrecorded.must_record(now, ENGINES, Shard::of(&id), version);
        assert!(!must("v1"));
        assert!(must("v2"));
    }
}

// Guards against ORDER and against streams that fail while a write of the row is in doubt.
#[test]
fn table_stays_in_force_until_next_is_confirmed() {
    let now = Instant::now();
    let mut unrecorded = loaded();
    save(&mut unrecorded, &usage(&[("v1", 6)]));
    let halved = usage(&[("v1", 3), ("v2", 3)]);
    let row = unrecorded.unsaved(("r", STARTS[1]), EPOCH, &halved);
    let row = row.expect("the shares have changed");
    unrecorded.sending(&row);
    assert_eq!(
        unrecorded.table(ENGINES),
        Some(&Table::new("v1")),
        "in doubt"
    );
    unrecorded.saved(&row);
    assert_eq!(unrecorded.table(ENGINES), Some(&halves()));
    let narrowed = save(&mut unrecorded, &halved).expect("the table of before is left out");
    assert_eq!(narrowed.tables[ENGINES], BTreeSet::from([halves()]));
    let id = ids().find(|id| halves().version(Shard::of(id)) == Some("v2"));
    let shard = Shard::of(&id.expect("half of them are of the second version"));
    assert!(unrecorded.must_record(now, ENGINES, shard, "v1"));
    assert!(!unrecorded.must_record(now, ENGINES, shard, "v2"));
}

// Guards against LOST: routers that have restarted together choose other tables than before, so that no
// stream without a record has a certain version.
#[test]
fn table_of_before_restart_is_kept_while_streams_may_be_taken_up() {
    let rows = MEMBERS.map(|name| row(name, STARTS[0], vec![halves()]));
    let mut unrecorded = Unrecorded::default();
    unrecorded.load(EPOCH, &rows, "r");
    assert_eq!(
        unrecorded.table(ENGINES),
        Some(&halves()),
        "the earlier row has it"
    );
    let mut changed = usage(&[("v1", 5), ("v2", 11)]);
    let of_service = changed.get_mut(ENGINES).expect("there is a service");
    of_service.is_young = true;
    save(&mut unrecorded, &changed);
    assert_eq!(unrecorded.table(ENGINES), Some(&halves()));
    save(&mut unrecorded, &usage(&[("v1", 5), ("v2", 11)]));
    assert_ne!(
        unrecorded.table(ENGINES),
        Some(&halves()),
        "it fits no longer"
    );
}

#[test]
fn tables_of_other_router_hold_until_rows_are_read() {
    let mut unrecorded = Unrecorded::default();
    let tables = BTreeMap::from([(ENGINES.to_owned(), halves())]);
    unrecorded.inherit(&tables);
    assert_eq!(unrecorded.tables(), tables);
    unrecorded.load(EPOCH, &[], "r");
    assert!(unrecorded.tables().is_empty());
    unrecorded.inherit(&tables);
    assert!(unrecorded.tables().is_empty());
}

#[test]
fn records_count_as_taken_some_time_after_a_failure() {
    let now = Instant::now();
    let mut unrecorded = Unrecorded::default();
    assert!(!unrecorded.takes_records(now), "none was confirmed");
    unrecorded.batch_ended(now, true);
    assert!(unrecorded.takes_records(now));
    unrecorded.batch_ended(now, false);
    assert!(!unrecorded.takes_records(now));
    let later = now + Duration::from_millis(300);
    unrecorded.batch_ended(later, true);
    assert!(!unrecorded.takes_records(later));
    assert!(unrecorded.takes_records(later + Duration::from_secs(2)));
}

/// Returns a router beside others that has read the rows of all.
fn router(versions: &[&str], rows: &[UnrecordedRow], now: Instant) -> Fleet {
    let mut fleet = support::router("r", 0, now);
    let members = MEMBERS.map(str::to_owned).to_vec();
    fleet.handle(now, Event::Members(members));
    fleet.handle(now, Event::Servers(Revision(2), engines(versions)));
    support::hear_servers(&mut fleet, now);
    fleet.handle(now, Event::Versions(0, Vec::new()));
    fleet.load_unrecorded("r", EPOCH, rows);
    fleet
}

fn begin(key: u64, shard: Shard, now: Instant) -> Submission {
    Submission {
        shard,
        ..submission(key, 1, prompt(key, 10), now)
    }
}

// Guards against LOST: while the store takes no records, streams began at any version.
#[test]
fn submit_without_records_uses_assigned_version() {
    let now = Instant::now();
    let rows = MEMBERS.map(|name| row(name, STARTS[0], vec![halves()]));
    let mut fleet = router(&["v1", "v1", "v2", "v2"], &rows, now);
    // As many as two servers take at once.
    for (id, key) in ids().zip(0..16) {
        let shard = Shard::of(&id);
        let sent = fleet.handle(now, Event::Submit(begin(key, shard, now)));
        assert_eq!(version_sent_to(&sent), halves().version(shard), "{sent:?}");
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Answered));
    }
}

// Servers of the assigned version may all be gone: then nothing is taken for one of it.
#[test]
fn submit_without_records_serves_on_without_assigned_version() {
    let now = Instant::now();
    let rows = MEMBERS.map(|name| row(name, STARTS[0], vec![Table::new("v0")]));
    let mut fleet = router(&["v1", "v2"], &rows, now);
    let shard = Shard::of("a");
    let sent = fleet.handle(now, Event::Submit(begin(1, shard, now)));
    assert_eq!(failure_reason(&sent), None::<Reason>);
    assert!(sent_to(&sent).is_some());
    let version = version_sent_to(&sent).expect("it is sent");
    assert!(!fleet.must_record(now, "a", (ENGINES, version)));
}

// Guards against ORDER: a stream without a record could be that of a router of which no row tells.
#[test]
fn unrecorded_version_needs_rows_of_all_routers() {
    let now = Instant::now();
    let rows = MEMBERS.map(|name| row(name, STARTS[0], vec![halves()]));
    let fleet = router(&["v1", "v2"], &rows, now);
    let version = |era, rows: &[UnrecordedRow]| {
        fleet.unrecorded_version(now, EPOCH, (era, rows), (ENGINES, "a"))
    };
    assert_eq!(
        version(0, &rows).as_deref(),
        halves().version(Shard::of("a"))
    );
    assert_eq!(version(0, &rows[1..]), None, "an own row is missing");
    assert_eq!(version(0, &rows[..2]), None, "a row is missing");
    assert_eq!(version(1, &rows), None, "the store was restored since");
}

// Guards against ORDER after the store came back from an older copy, which may lack records and rows.
#[test]
fn unrecorded_version_is_unknown_after_restore_of_store() {
    let now = Instant::now();
    let rows = MEMBERS.map(|name| row(name, STARTS[0], vec![halves()]));
    let mut fleet = router(&["v1", "v2"], &rows, now);
    let restored = Event::Servers(Revision::new(1, 9), engines(&["v1", "v2"]));
    fleet.handle(now, restored);
    let version = |at| fleet.unrecorded_version(at, EPOCH, (1, &rows), (ENGINES, "a"));
    assert_eq!(version(now), None);
    let later = now + fleet.stream_lifetime();
    assert!(version(later).is_some());
}

// An earlier process of the router that wrote no row may have begun streams at any version that was there
// before this one started, not at one that came later.
#[test]
fn row_names_versions_of_earlier_process() {
    let start = Instant::now();
    let now = start + Duration::from_secs(8);
    let mut fleet = router(&["v1"], &[], start);
    fleet.handle(
        now,
        Event::Servers(Revision(3), engines(&["v1", "v1", "v2", "v2"])),
    );
    let row = fleet.unsaved_unrecorded(now, ("r", EPOCH), &BTreeMap::new());
    let row = row.expect("there is no row");
    assert_eq!(row.tables[ENGINES], BTreeSet::from([Table::new("v1")]));
    let mut fleet = router(&["v1", "v1", "v2", "v2"], &[], start);
    let row = fleet.unsaved_unrecorded(now, ("r", EPOCH), &BTreeMap::new());
    let tables = [Table::new("v1"), Table::new("v2"), halves()];
    let row = row.expect("there is no row");
    assert_eq!(row.tables[ENGINES], BTreeSet::from(tables));
    let settled = start + fleet.stream_lifetime();
    let row = fleet.unsaved_unrecorded(settled, ("r", EPOCH), &BTreeMap::new());
    let row = row.expect("there is no row");
    assert_eq!(row.tables[ENGINES], BTreeSet::from([halves()]));
}
