//! Streams of a service whose servers run several software versions.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::{Execution, Reason};
use hibiscusrail_fleet::objects::{Revision, Servers};
use hibiscusrail_fleet::versions::{VersionSet, Versions};
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey, Submission};

use super::support::{self, ENGINES, backend, failure_reason, prompt, sent_to, submission};

/// Longest time for which streams run and are taken up in these tests.
const LIFETIME: Duration = Duration::from_secs(24);

/// Returns engines of these versions; the id of each is its version and number.
pub fn engines(versions: &[&str]) -> Servers {
    let numbered = versions.iter().zip(0..);
    numbered
        .map(|(version, number)| {
            let mut engine = backend(ENGINES, number);
            (*version).clone_into(&mut engine.version);
            (format!("{version}-{number}"), engine)
        })
        .collect()
}

/// Returns a router that knows these engines since its start.
fn router(versions: &[&str], now: Instant) -> Fleet {
    let mut fleet = support::router("r", 0, now);
    fleet.handle(now, Event::Servers(Revision(2), engines(versions)));
    support::hear_servers(&mut fleet, now);
    fleet.handle(now, Event::Versions(0, Vec::new()));
    fleet
}

/// Returns a request that takes up a stream which a version began.
fn take_up(key: u64, version: &str, now: Instant) -> Submission {
    Submission {
        version: Some(version.to_owned()),
        ..submission(key, 1, prompt(1, 10), now)
    }
}

/// Returns the version of the engine that a request was sent to, as its id says.
pub fn version_sent_to(decisions: &[Decision]) -> Option<&str> {
    sent_to(decisions).and_then(|id| id.split('-').next())
}

// Guards against ORDER: a stream that broke went on at the best server of any version.
#[test]
fn ended_stream_goes_on_at_its_version() {
    let now = Instant::now();
    for key in 0..20 {
        let mut fleet = router(&["v1", "v1", "v2", "v2", "v3", "v3"], now);
        let sent = fleet.handle(now, Event::Submit(submission(key, 1, prompt(key, 10), now)));
        let began = version_sent_to(&sent).expect("it is sent").to_owned();
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
        let broken = fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Broken));
        assert_eq!(version_sent_to(&broken), Some(began.as_str()));
    }
}

#[test]
fn ended_stream_without_event_goes_on_at_any_version() {
    let now = Instant::now();
    let mut fleet = router(&["v1", "v2"], now);
    let sent = fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    assert!(sent_to(&sent).is_some());
    let broken = fleet.handle(now, Event::Ended(RequestKey(1), Outcome::Broken));
    assert!(sent_to(&broken).is_some());
}

// Guards against ORDER: a stalled stream was handed to a server of another version.
#[test]
fn stalled_stream_stays_at_its_version() {
    let now = Instant::now();
    let mut fleet = router(&["v1", "v2"], now);
    fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    fleet.handle(now, Event::FirstByte(RequestKey(1)));
    let stalled = fleet.handle(now, Event::Stalled(RequestKey(1)));
    assert_eq!(sent_to(&stalled), None);
}

/// Sends streams, with keys from `first` on, until one begins at the engine, and returns that one.
fn begin_stream_at(fleet: &mut Fleet, engine: &str, first: u64, now: Instant) -> RequestKey {
    for number in first..first + 100 {
        let key = RequestKey(number);
        let request = submission(number, 1, prompt(number, 10), now);
        let sent = fleet.handle(now, Event::Submit(request));
        fleet.handle(now, Event::FirstByte(key));
        if sent_to(&sent) == Some(engine) {
            return key;
        }
        fleet.handle(now, Event::Ended(key, Outcome::Answered));
    }
    panic!("no stream was sent to {engine}");
}

/// Has the connection of a stream break at the engine.
fn break_stream_at(fleet: &mut Fleet, engine: &str, first: u64, now: Instant) -> Vec<Decision> {
    let key = begin_stream_at(fleet, engine, first, now);
    fleet.handle(now, Event::Ended(key, Outcome::Broken))
}

/// Returns a router of whose two engines of the first version one broke a stream, and then the
/// other.
fn router_after_breaks(versions: &[&str], now: Instant) -> (Fleet, Vec<Decision>) {
    let mut fleet = router(versions, now);
    break_stream_at(&mut fleet, "v1-0", 0, now);
    let broken = break_stream_at(&mut fleet, "v1-1", 100, now);
    (fleet, broken)
}

// Guards against ORDER: a stream went on at a server that had started again in place as another
// version and had not registered yet.
#[test]
fn stream_is_not_resumed_at_server_that_may_run_another_version() {
    let now = Instant::now();
    let (mut fleet, broken) = router_after_breaks(&["v1", "v1", "v2"], now);
    assert_eq!(sent_to(&broken), None);
    let refused = fleet.handle(now, Event::Submit(take_up(500, "v1", now)));
    assert_eq!(sent_to(&refused), None, "{refused:?}");
    // Other streams may begin there, and those of the second version go on.
    let sent = fleet.handle(now, Event::Submit(take_up(501, "v2", now)));
    assert_eq!(version_sent_to(&sent), Some("v2"));
}

#[test]
fn stream_of_only_version_is_resumed_after_broken_connections() {
    let now = Instant::now();
    let (_, broken) = router_after_breaks(&["v1", "v1"], now);
    assert_eq!(sent_to(&broken), Some("v1-0"));
}

// A server that had started again would have registered anew, or its registration would have
// lapsed.
#[test]
fn stream_is_resumed_once_registration_outlasts_broken_connection() {
    let now = Instant::now();
    let (mut fleet, _) = router_after_breaks(&["v1", "v1", "v2"], now);
    for (after, expected) in [(4_500, None), (6_500, Some("v1"))] {
        let at = now + Duration::from_millis(after);
        support::confirm_list(&mut fleet, 2, at);
        support::hear_servers(&mut fleet, at);
        let sent = fleet.handle(at, Event::Submit(take_up(500 + after, "v1", at)));
        assert_eq!(version_sent_to(&sent), expected, "after {after} ms");
    }
}

// A connection alone may break: what the server goes on to send elsewhere shows that it did not
// restart.
#[test]
fn stream_is_resumed_at_server_that_goes_on_sending() {
    let now = Instant::now();
    let mut fleet = router(&["v1", "v1", "v2"], now);
    let key = begin_stream_at(&mut fleet, "v1-0", 0, now);
    break_stream_at(&mut fleet, "v1-0", 100, now);
    break_stream_at(&mut fleet, "v1-1", 200, now);
    let gap = Duration::from_millis(100);
    for step in 1..5 {
        let tokens = 7;
        fleet.handle(now + gap * step, Event::StreamProgress { key, gap, tokens });
    }
    let at = now + gap * 5;
    support::hear_servers(&mut fleet, at);
    let sent = fleet.handle(at, Event::Submit(take_up(500, "v1", at)));
    assert_eq!(sent_to(&sent), Some("v1-0"));
}

#[test]
fn take_up_goes_on_at_its_version() {
    let now = Instant::now();
    for version in ["v1", "v2", "v3"] {
        let mut fleet = router(&["v1", "v2", "v3"], now);
        let sent = fleet.handle(now, Event::Submit(take_up(1, version, now)));
        assert_eq!(version_sent_to(&sent), Some(version));
    }
}

// Guards against LOST: streams that were under way were refused for load like new ones.
#[test]
fn take_up_of_begun_stream_is_not_refused_for_load() {
    let now = Instant::now();
    let mut fleet = router(&["v1", "v2"], now);
    for key in 0..100 {
        let request = submission(key, 1, prompt(key, 10), now);
        fleet.handle(now, Event::Submit(request));
    }
    let is_load = |decisions: &[Decision]| {
        let reason = failure_reason(decisions);
        matches!(reason, Some(Reason::OverShare | Reason::Busy))
    };
    let request = submission(100, 1, prompt(100, 10), now);
    let new = fleet.handle(now, Event::Submit(request));
    assert!(is_load(&new), "{new:?}");
    let mut request = Submission {
        version: Some("v1".to_owned()),
        ..submission(200, 1, prompt(200, 10), now)
    };
    let unproven = fleet.handle(now, Event::Submit(request.clone()));
    assert!(is_load(&unproven), "{unproven:?}");
    request.goes_on = true;
    request.key = RequestKey(201);
    let proven = fleet.handle(now, Event::Submit(request));
    assert_eq!(version_sent_to(&proven), Some("v1"), "{proven:?}");
}

#[test]
fn take_up_of_version_that_is_gone_is_refused_at_once() {
    let now = Instant::now();
    let mut fleet = router(&["v2"], now);
    let refused = fleet.handle(now, Event::Submit(take_up(1, "v1", now)));
    assert_eq!(failure_reason(&refused), Some(Reason::VersionGone));
    let not_run = |d: &Decision| {
        matches!(
            d,
            Decision::Fail {
                execution: Execution::NotRun,
                ..
            }
        )
    };
    assert!(refused.iter().any(not_run));
}

// Guards against ORDER: routers whose list is older take a new version's streams for the old one's.
#[test]
fn submit_new_version_receives_no_stream_at_first() {
    let start = Instant::now();
    let mut fleet = router(&["v1"], start);
    let now = start + Duration::from_secs(10);
    fleet.handle(now, Event::Servers(Revision(3), engines(&["v1", "v2"])));
    support::hear_servers(&mut fleet, now);
    for key in 0..5 {
        let sent = fleet.handle(now, Event::Submit(submission(key, 1, prompt(key, 10), now)));
        assert_eq!(version_sent_to(&sent), Some("v1"));
    }
    let now = now + Duration::from_secs(4);
    fleet.handle(now, Event::Servers(Revision(4), engines(&["v1", "v2"])));
    support::hear_servers(&mut fleet, now);
    let versions: BTreeSet<String> = (10..60)
        .filter_map(|key| {
            let request = submission(key, 1, prompt(key, 10), now);
            let sent = fleet.handle(now, Event::Submit(request));
            version_sent_to(&sent).map(str::to_owned)
        })
        .collect();
    assert_eq!(versions.len(), 2);
}

#[test]
fn submit_only_version_is_used_at_once() {
    let start = Instant::now();
    let mut fleet = router(&["v1"], start);
    let now = start + Duration::from_secs(10);
    fleet.handle(now, Event::Servers(Revision(3), engines(&["v2"])));
    let sent = fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    assert_eq!(version_sent_to(&sent), Some("v2"));
}

// What an engine keeps of a prompt does not fit one of another version.
#[test]
fn submit_transfers_within_a_version() {
    let now = Instant::now();
    let mut fleet = router(&["v1", "v2", "v2"], now);
    let first = fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    let holder = version_sent_to(&first).expect("it is sent").to_owned();
    for key in 2..40 {
        let sent = fleet.handle(now, Event::Submit(submission(key, 1, prompt(1, 10), now)));
        let source = sent.iter().find_map(|d| match d {
            Decision::Send { source, .. } => *source,
            _ => None,
        });
        let version = version_sent_to(&sent).map(str::to_owned);
        if version.is_some_and(|v| v != holder) {
            assert_eq!(source, None);
            return;
        }
    }
}

/// Shows a history a list with engines of these versions.
fn observe(versions: &mut Versions, now: Instant, listed: &[&str]) {
    versions.observe(now, engines(listed).values());
}

#[test]
fn only_version_is_known_on_a_calm_day() {
    let now = Instant::now();
    let mut versions = Versions::new(now);
    observe(&mut versions, now, &["v1", "v1"]);
    assert_eq!(versions.only(now, ENGINES, LIFETIME), None, "rows unread");
    versions.load(now, 0, &[], LIFETIME);
    assert_eq!(versions.only(now, ENGINES, LIFETIME), Some("v1"));
    assert!(!versions.has_several(now, ENGINES, LIFETIME));
    assert!(versions.unsaved(0).is_empty());
    assert_eq!(versions.only(now, "other", LIFETIME), None);
}

// Guards against ORDER just after the servers of the old version have left.
#[test]
fn only_version_is_unknown_until_streams_of_the_old_one_ended() {
    let start = Instant::now();
    let mut versions = Versions::new(start);
    versions.load(start, 0, &[], LIFETIME);
    observe(&mut versions, start, &["v1"]);
    observe(&mut versions, start, &["v1", "v2"]);
    let left = start + Duration::from_secs(20);
    observe(&mut versions, left, &["v2"]);
    let before = left + LIFETIME - Duration::from_millis(1);
    assert_eq!(versions.only(before, ENGINES, LIFETIME), None);
    let after = left + LIFETIME;
    assert_eq!(versions.only(after, ENGINES, LIFETIME), Some("v2"));
    // The same version comes back.
    observe(&mut versions, after, &["v1", "v2"]);
    assert_eq!(versions.only(after, ENGINES, LIFETIME), None);
    let later = after + LIFETIME * 2;
    observe(&mut versions, later, &["v1"]);
    assert_eq!(versions.only(later, ENGINES, LIFETIME), None);
}

fn row(versions: &[&str], changed: u64) -> VersionSet {
    VersionSet {
        service: ENGINES.to_owned(),
        versions: versions.iter().map(|v| (*v).to_owned()).collect(),
        changed,
    }
}

// Guards against ORDER after all routers were killed while the old version left.
#[test]
fn only_version_is_unknown_after_restart_beside_a_release() {
    let start = Instant::now();
    let day = 86_400_000;
    let cases = [
        (row(&["v1", "v2"], 0), "the old version left unseen"),
        (row(&["v2"], day - 5_000), "it left just before"),
    ];
    for (row, case) in cases {
        let mut versions = Versions::new(start);
        versions.load(start, day, std::slice::from_ref(&row), LIFETIME);
        observe(&mut versions, start, &["v2"]);
        assert_eq!(versions.only(start, ENGINES, LIFETIME), None, "{case}");
        assert!(versions.has_several(start, ENGINES, LIFETIME), "{case}");
        let later = start + LIFETIME + Duration::from_secs(10);
        assert_eq!(
            versions.only(later, ENGINES, LIFETIME),
            Some("v2"),
            "{case}"
        );
    }
    let mut versions = Versions::new(start);
    versions.load(start, day, &[row(&["v2"], 0)], LIFETIME);
    observe(&mut versions, start, &["v2"]);
    assert_eq!(versions.only(start, ENGINES, LIFETIME), Some("v2"));
}

#[test]
fn unsaved_rows_follow_the_versions() {
    let now = Instant::now();
    let mut versions = Versions::new(now);
    versions.load(now, 0, &[], LIFETIME);
    observe(&mut versions, now, &["v1", "v2"]);
    let unsaved = versions.unsaved(7);
    assert_eq!(unsaved, [row(&["v1", "v2"], 7)]);
    versions.saved(&unsaved[0]);
    assert!(versions.unsaved(8).is_empty());
    versions.store_restored();
    assert_eq!(versions.unsaved(8).len(), 1, "the copy may lack the row");
    versions.saved(&unsaved[0]);
    observe(&mut versions, now, &["v2"]);
    assert_eq!(versions.unsaved(9), [row(&["v2"], 9)]);
}

// Guards against ORDER: a router that had read the rows and no list of servers yet wrote the row with no
// version, and routers that started next took the versions of before for none.
#[test]
fn unsaved_rows_wait_for_the_servers() {
    let now = Instant::now();
    let mut versions = Versions::new(now);
    versions.load(now, 0, &[row(&["v1", "v2"], 0)], LIFETIME);
    assert!(versions.unsaved(7).is_empty());
    observe(&mut versions, now, &["v2"]);
    assert_eq!(versions.unsaved(8), [row(&["v2"], 8)]);
}
