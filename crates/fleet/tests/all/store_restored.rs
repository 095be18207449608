//! A store that comes back from a copy some seconds old and gives out versions again.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::{OperatorConfig, Repeat, Revision, Servers};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet};

use super::support::{self, PLAIN, backend, failure_reason, plain, sent_to};

/// Time for which what a restored store lacks is kept; the parameter of the tests' routers.
const GRACE: Duration = Duration::from_millis(2_500);

fn config(version: u64, evacuated: &[&str]) -> OperatorConfig {
    let mut config = support::config(evacuated);
    config.deployment.as_mut().expect("there is one").version = version;
    config
}

/// Returns a router that knows version 7 of the configuration and the servers, at version 100 of
/// the store's first era.
fn router(evacuated: &[&str], servers: Servers, now: Instant) -> Fleet {
    let mut fleet = Fleet::new("r", 1, support::params(), now);
    let revision = Revision::new(0, 100);
    fleet.handle(now, Event::Config(revision, config(7, evacuated)));
    fleet.handle(now, Event::Servers(revision, servers));
    fleet
}

fn version(fleet: &Fleet) -> Option<u64> {
    fleet.config().deployment.as_ref().map(|d| d.version)
}

/// Returns the registration of one plain server.
fn one_server(id: &str, sequence: u64, leaving: bool) -> Servers {
    let mut server = backend(PLAIN, 1);
    server.sequence = sequence;
    server.leaving = leaving;
    Servers::from([(id.to_owned(), server)])
}

/// Returns the id of the server that a request at `now` is sent to.
fn destination(fleet: &mut Fleet, key: u64, now: Instant) -> Option<String> {
    let request = plain(key, Repeat::Idempotent, now);
    let decisions = fleet.handle(now, Event::Submit(request));
    assert!(sent_to(&decisions).is_some() || failure_reason(&decisions).is_some());
    sent_to(&decisions).map(str::to_owned)
}

#[test]
fn revision_new_era_is_newer() {
    assert!(Revision::new(1, 3) > Revision::new(0, 100));
    assert!(Revision::new(1, 4) > Revision::new(1, 3));
    assert_eq!(Revision::new(3, 100).era(), 3);
}

#[test]
fn config_older_copy_keeps_newest_version() {
    let now = Instant::now();
    let mut fleet = router(&[], support::servers(0), now);
    fleet.handle(now, Event::Config(Revision::new(1, 90), config(6, &[])));
    assert_eq!(version(&fleet), Some(7));
    // Another row of the table changes before the operator writes the newest version again.
    fleet.handle(now, Event::Config(Revision::new(1, 91), config(6, &["b"])));
    assert_eq!(version(&fleet), Some(7));
    assert!(fleet.config().evacuated.contains("b"));
}

#[test]
fn config_version_given_out_again_is_applied() {
    let now = Instant::now();
    let mut fleet = router(&[], support::servers(0), now);
    fleet.handle(now, Event::Config(Revision::new(1, 90), config(6, &[])));
    fleet.handle(now, Event::Config(Revision::new(1, 95), config(9, &[])));
    assert_eq!(version(&fleet), Some(9));
}

#[test]
fn evacuation_missing_from_copy_is_kept_for_grace_period() {
    let now = Instant::now();
    let mut fleet = router(&["a"], support::servers(0), now);
    fleet.handle(now, Event::Config(Revision::new(1, 90), config(7, &[])));
    assert_eq!(destination(&mut fleet, 1, now), None);
    fleet.handle(now + GRACE, Event::Tick);
    assert!(destination(&mut fleet, 2, now + GRACE).is_some());
}

#[test]
fn evacuation_written_again_stays() {
    let now = Instant::now();
    let mut fleet = router(&["a"], support::servers(0), now);
    fleet.handle(now, Event::Config(Revision::new(1, 90), config(7, &[])));
    fleet.handle(now, Event::Config(Revision::new(1, 92), config(7, &["a"])));
    fleet.handle(now + GRACE, Event::Tick);
    assert_eq!(destination(&mut fleet, 1, now + GRACE), None);
    let revision = Revision::new(1, 99);
    fleet.handle(now + GRACE, Event::Config(revision, config(7, &[])));
    assert!(destination(&mut fleet, 2, now + GRACE).is_some());
}

#[test]
fn servers_missing_from_copy_are_kept_for_grace_period() {
    let now = Instant::now();
    let mut fleet = router(&[], one_server("p", 5, false), now);
    fleet.handle(now, Event::Servers(Revision::new(1, 90), Servers::new()));
    assert_eq!(destination(&mut fleet, 1, now).as_deref(), Some("p"));
    let later = now + GRACE + Duration::from_millis(1);
    fleet.handle(later, Event::Tick);
    assert_eq!(destination(&mut fleet, 2, later), None);
}

#[test]
fn servers_leaving_in_no_copy_stay_leaving() {
    let now = Instant::now();
    let mut fleet = router(&[], one_server("p", 5, true), now);
    let older = one_server("p", 4, false);
    fleet.handle(now, Event::Servers(Revision::new(1, 90), older));
    assert_eq!(destination(&mut fleet, 1, now), None);
}

#[test]
fn servers_removed_before_restore_stay_removed() {
    let now = Instant::now();
    let mut fleet = router(&[], one_server("p", 5, false), now);
    fleet.handle(now, Event::Servers(Revision::new(0, 101), Servers::new()));
    let older = one_server("p", 4, false);
    fleet.handle(now, Event::Servers(Revision::new(1, 90), older));
    assert_eq!(destination(&mut fleet, 1, now), None);
    // It registers again, so it is alive.
    let newer = one_server("p", 6, false);
    fleet.handle(now, Event::Servers(Revision::new(1, 91), newer));
    assert_eq!(destination(&mut fleet, 2, now).as_deref(), Some("p"));
}

#[test]
fn servers_drained_and_removed_before_restore_stay_leaving() {
    let now = Instant::now();
    let mut fleet = router(&[], one_server("p", 5, true), now);
    fleet.handle(now, Event::Servers(Revision::new(0, 101), Servers::new()));
    let newer = one_server("p", 6, false);
    fleet.handle(now, Event::Servers(Revision::new(1, 90), newer));
    assert_eq!(destination(&mut fleet, 1, now), None);
}

/// Returns the registration of one cold or warm engine that started at `born`.
fn one_engine(born: u64, sequence: u64, cold: Duration) -> Servers {
    let mut engine = backend(support::ENGINES, 1);
    engine.born = born;
    engine.sequence = sequence;
    engine.cold = cold;
    Servers::from([("e".to_owned(), engine)])
}

/// Returns whether the only server counts as cold.
fn is_cold(fleet: &Fleet, now: Instant) -> bool {
    fleet.registry().all().any(|s| s.is_cold(now))
}

// Guards against FAILBACK at a restarted server that the copy still lists as it was before.
#[test]
fn servers_restarted_before_restore_stay_cold() {
    let now = Instant::now();
    let cold = Duration::from_secs(3);
    let mut fleet = router(&[], one_engine(2, 1, cold), now);
    let older = one_engine(1, 90, Duration::ZERO);
    fleet.handle(now, Event::Servers(Revision::new(1, 90), older));
    assert!(is_cold(&fleet, now));
    // Another server registers again before this one does.
    let mut older = one_engine(1, 90, Duration::ZERO);
    older.extend(one_server("p", 5, false));
    fleet.handle(now, Event::Servers(Revision::new(1, 91), older));
    assert!(is_cold(&fleet, now));
    let newer = one_engine(2, 2, Duration::ZERO);
    fleet.handle(now, Event::Servers(Revision::new(1, 92), newer));
    assert!(!is_cold(&fleet, now));
}

// Guards against FAILBACK at a server whose clock was set back before it restarted.
#[test]
fn servers_restarted_with_earlier_clock_are_cold() {
    let now = Instant::now();
    let mut fleet = router(&[], one_engine(2, 90, Duration::ZERO), now);
    let restarted = one_engine(1, 1, Duration::from_secs(3));
    fleet.handle(now, Event::Servers(Revision::new(0, 101), restarted));
    assert!(is_cold(&fleet, now));
}

// Guards against requests to a server that ended, whose life before the last one the copy lists.
#[test]
fn servers_restarted_and_removed_before_restore_stay_removed() {
    let now = Instant::now();
    let mut fleet = router(&[], one_engine(2, 1, Duration::ZERO), now);
    fleet.handle(
        now,
        Event::Servers(Revision::new(0, 101), one_server("p", 5, false)),
    );
    let older = one_engine(1, 90, Duration::ZERO);
    fleet.handle(now, Event::Servers(Revision::new(1, 90), older));
    let known = fleet.registry().of_service(support::ENGINES).count();
    assert_eq!(known, 0);
}

/// Returns a router that starts after the store was restored from a copy with these servers, and has
/// received a report of `older`, which runs since before.
fn restarted(older: &mut Fleet, servers: Servers, now: Instant) -> Fleet {
    let mut fleet = Fleet::new("restarted", 2, support::params(), now);
    let revision = Revision::new(1, 90);
    fleet.handle(now, Event::Config(revision, config(7, &[])));
    fleet.handle(now, Event::Servers(revision, servers));
    let report = older.report(now, Scope::All);
    fleet.handle(now, Event::Report(report));
    fleet
}

// Guards against requests to a server that had left, at a router that restarts after the restore and
// knows the copy alone (report 4).
#[test]
fn servers_removed_before_restore_are_not_used_by_restarted_router() {
    let now = Instant::now();
    let mut older = router(&[], one_server("p", 5, false), now);
    older.handle(now, Event::Servers(Revision::new(0, 101), Servers::new()));
    let copy = one_server("p", 4, false);
    // It left longer ago than reports repeat departures.
    let now = now + Duration::from_secs(30);
    older.handle(now, Event::Servers(Revision::new(1, 90), copy.clone()));
    let mut fleet = restarted(&mut older, copy.clone(), now);
    assert_eq!(destination(&mut fleet, 1, now), None);
    // The copy's row is still there in later lists.
    fleet.handle(now, Event::Servers(Revision::new(1, 91), copy));
    assert_eq!(destination(&mut fleet, 2, now), None);
    let newer = one_server("p", 6, false);
    fleet.handle(now, Event::Servers(Revision::new(1, 92), newer));
    assert_eq!(destination(&mut fleet, 3, now).as_deref(), Some("p"));
}

// The same for a server that is draining.
#[test]
fn servers_leaving_before_restore_are_not_used_by_restarted_router() {
    let now = Instant::now();
    let mut older = router(&[], one_server("p", 5, true), now);
    let copy = one_server("p", 4, false);
    older.handle(now, Event::Servers(Revision::new(1, 90), copy.clone()));
    let mut fleet = restarted(&mut older, copy, now);
    assert_eq!(destination(&mut fleet, 1, now), None);
}

// A server that registered again since the copy was made is in use, whatever others knew of it.
#[test]
fn servers_registered_since_restore_are_used_by_restarted_router() {
    let now = Instant::now();
    let mut older = router(&[], one_server("p", 5, false), now);
    older.handle(now, Event::Servers(Revision::new(0, 101), Servers::new()));
    older.handle(
        now,
        Event::Servers(Revision::new(1, 90), one_server("p", 4, false)),
    );
    let mut fleet = restarted(&mut older, one_server("p", 6, false), now);
    assert_eq!(destination(&mut fleet, 1, now).as_deref(), Some("p"));
}
