//! What counts as evidence that a server still lives the life in which it was warm.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::liveness::{Liveness, Rules, life_hash};
use hibiscusrail_fleet::objects::{Revision, Servers};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::placement::name_hash;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, ENGINES, answer_checks, backend, key_of, prompt, sent_to, submission};

const GAP: Duration = Duration::from_millis(250);
const COLD: Duration = Duration::from_secs(3);
const LAPSE: Duration = Duration::from_secs(5);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rules(known_until: Option<Instant>) -> Rules {
    Rules {
        restart_time: GAP,
        cold_time: COLD,
        known_until,
        lapse_time: LAPSE,
    }
}

/// Records what is heard at these milliseconds.
fn hear(liveness: &mut Liveness, start: Instant, times: impl IntoIterator<Item = u64>) {
    for time in times {
        let at = start + ms(time);
        liveness.observe(at, at, rules(None));
    }
}

fn warm(start: Instant) -> Liveness {
    let mut liveness = Liveness::default();
    liveness.confirm(start, rules(None));
    liveness
}

/// Returns a router that knows one engine, which was warm at `now`, with its registration of `born`.
fn router(name: &str, born: u64, now: Instant) -> Fleet {
    let mut fleet = support::router(name, 0, now);
    register(&mut fleet, 2, born, Duration::ZERO, now);
    support::hear_servers(&mut fleet, now);
    fleet
}

fn register(fleet: &mut Fleet, revision: u64, born: u64, cold: Duration, now: Instant) {
    let mut engine = backend(ENGINES, 0);
    engine.born = born;
    engine.cold = cold;
    let servers = Servers::from([("e0".to_owned(), engine)]);
    fleet.handle(now, Event::Servers(Revision(revision), servers));
}

/// Returns how many of ten requests are sent at once; a warm server gets all of them.
fn burst(fleet: &mut Fleet, first: u64, now: Instant) -> usize {
    let keys = first..first + 10;
    let sent = keys.filter(|key| {
        let request = submission(*key, 1, prompt(1, 10), now);
        sent_to(&fleet.handle(now, Event::Submit(request))).is_some()
    });
    sent.count()
}

fn checks(decisions: &[Decision]) -> usize {
    let checks = decisions.iter().filter(|d| matches!(d, Decision::Check(_)));
    checks.count()
}

/// Guards against streams joined from two versions: a failed connection is how a restart looks.
#[test]
fn may_be_new_lasts_until_registration_tells() {
    let start = Instant::now();
    let mut liveness = warm(start);
    assert!(!liveness.may_be_new(rules(None)));
    liveness.connection_failed(start + ms(100));
    for (known, expected) in [(None, true), (Some(5_099), true), (Some(5_100), false)] {
        let known = known.map(|time| start + ms(time));
        assert_eq!(liveness.may_be_new(rules(known)), expected, "{known:?}");
    }
}

#[test]
fn may_be_new_ends_with_evidence_without_gap() {
    let start = Instant::now();
    for (times, expected) in [
        (&[200, 300, 349][..], true),
        (&[200, 300, 350], false),
        // A new life may have sent what came after the gap.
        (&[400, 600, 800], true),
    ] {
        let mut liveness = warm(start);
        liveness.connection_failed(start + ms(100));
        hear(&mut liveness, start, times.iter().copied());
        assert_eq!(liveness.may_be_new(rules(None)), expected, "{times:?}");
    }
}

/// Guards against a belief that has no age.
#[test]
fn is_warm_ends_without_evidence() {
    let start = Instant::now();
    let liveness = warm(start);
    assert!(liveness.is_warm(start + GAP, GAP));
    assert!(!liveness.is_warm(start + GAP + ms(1), GAP));
}

/// Guards against answers of a new life that are taken for those of the one before.
#[test]
fn observe_after_gap_is_no_proof() {
    let start = Instant::now();
    let mut liveness = warm(start);
    hear(&mut liveness, start, (300..2_000).step_by(100));
    assert!(!liveness.is_warm(start + ms(1_900), GAP));
}

#[test]
fn observe_without_gap_stays_warm() {
    let start = Instant::now();
    let mut liveness = warm(start);
    hear(&mut liveness, start, (200..10_000).step_by(200));
    assert!(liveness.is_warm(start + ms(9_800), GAP));
}

/// Guards against a server that is never used again while the store is silent.
#[test]
fn observe_for_cold_time_is_proof() {
    let start = Instant::now();
    let mut liveness = warm(start);
    hear(&mut liveness, start, (1_000..=3_900).step_by(100));
    assert!(!liveness.is_warm(start + ms(3_900), GAP));
    hear(&mut liveness, start, [4_000]);
    assert!(liveness.is_warm(start + ms(4_000), GAP));
}

/// Guards against a second crash while the server is cold from the first.
#[test]
fn observe_gap_while_cold_starts_cold_time_again() {
    let start = Instant::now();
    let mut liveness = warm(start);
    hear(&mut liveness, start, (1_000..=3_000).step_by(100));
    hear(&mut liveness, start, (3_300..=6_200).step_by(100));
    assert!(!liveness.is_warm(start + ms(6_200), GAP));
    hear(&mut liveness, start, [6_300]);
    assert!(liveness.is_warm(start + ms(6_300), GAP));
}

/// Guards against a silence without a restart that costs a long cold time.
#[test]
fn observe_response_that_goes_on_bridges_silence() {
    let start = Instant::now();
    let mut liveness = warm(start);
    hear(&mut liveness, start, (100..=500).step_by(100));
    hear(&mut liveness, start, [1_700]);
    assert!(!liveness.is_warm(start + ms(1_700), GAP));
    liveness.observe(start + ms(200), start + ms(1_710), rules(None));
    assert!(liveness.is_warm(start + ms(1_710), GAP));
}

/// Guards against reports that arrive late and bring an earlier life back.
#[test]
fn confirm_before_gap_proves_nothing_of_the_present() {
    let start = Instant::now();
    let mut liveness = warm(start);
    hear(&mut liveness, start, [1_000, 1_100]);
    liveness.confirm(start + ms(200), rules(None));
    assert!(!liveness.is_warm(start + ms(1_100), GAP));
}

#[test]
fn confirm_by_other_router_ends_suspicion() {
    let start = Instant::now();
    let mut liveness = warm(start);
    hear(&mut liveness, start, [1_000, 1_100]);
    liveness.confirm(start + ms(900), rules(None));
    assert!(liveness.is_warm(start + ms(1_100), GAP));
}

/// Guards against a server that counts as cold although the store would have told of a restart.
#[test]
fn observe_run_before_known_restarts_is_proof() {
    let start = Instant::now();
    let mut liveness = warm(start);
    hear(&mut liveness, start, [1_000, 1_100]);
    let at = start + ms(1_200);
    liveness.observe(at, at, rules(Some(start + ms(999))));
    assert!(!liveness.is_warm(at, GAP));
    liveness.observe(at, at, rules(Some(start + ms(1_000))));
    assert!(liveness.is_warm(at, GAP));
}

/// Guards against reports about an earlier life that arrive after the newer registration.
#[test]
fn report_about_earlier_life_is_no_evidence() {
    let now = Instant::now();
    let mut other = router("other", 1, now);
    let mut fleet = router("r", 1, now);
    register(&mut fleet, 3, 2, Duration::ZERO, now);
    fleet.handle(now, Event::Report(other.report(now, Scope::All)));
    assert!(burst(&mut fleet, 0, now) < 10);
    register(&mut other, 3, 2, Duration::ZERO, now);
    support::hear_servers(&mut other, now);
    fleet.handle(now, Event::Report(other.report(now, Scope::All)));
    assert_eq!(burst(&mut fleet, 100, now), 10);
}

/// Guards against a life whose start time is lower, as after a clock was set back, that is taken for
/// the one before.
#[test]
fn life_with_lower_start_time_is_another() {
    let now = Instant::now();
    let mut fleet = router("r", 5, now);
    register(&mut fleet, 3, 4, Duration::ZERO, now);
    assert!(burst(&mut fleet, 0, now) < 10);
    assert_ne!(life_hash(name_hash("e0"), 4), life_hash(name_hash("e0"), 5));
}

/// Guards against evidence that never grows old as routers pass it on to each other.
#[test]
fn reports_do_not_pass_evidence_around() {
    let start = Instant::now();
    let mut fleets = [router("r0", 1, start), router("r1", 1, start)];
    for step in 1..=4 {
        let now = start + ms(step * 70);
        let reports = fleets.each_mut().map(|f| f.report(now, Scope::All));
        for (receiver, fleet) in fleets.iter_mut().enumerate() {
            fleet.handle(now, Event::Report(reports[1 - receiver].clone()));
        }
    }
    for fleet in &mut fleets {
        assert!(burst(fleet, 0, start + ms(280)) < 10);
    }
}

/// Guards against a list of the store that still has the registration of an earlier life.
#[test]
fn list_confirmed_before_check_in_is_no_evidence() {
    let start = Instant::now();
    let mut fleet = router("r", 1, start);
    let answered = |fleet: &mut Fleet, key: u64, now: Instant| {
        let request = submission(key, 1, prompt(1, 10), now);
        let sent = fleet.handle(now, Event::Submit(request));
        assert!(sent_to(&sent).is_some(), "{key}");
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
        key
    };
    // A stream that begins after a gap goes on for more than a check-in interval.
    let began = start + ms(1_000);
    let key = RequestKey(answered(&mut fleet, 50, began));
    for step in 1..=15 {
        let now = began + ms(step * 100);
        let (gap, tokens) = (ms(100), 7);
        support::confirm_list(&mut fleet, 2, now - ms(50));
        fleet.handle(now, Event::StreamProgress { key, gap, tokens });
        let is_known = now - ms(50) >= began + ms(1_200);
        let is_warm = fleet.registry().all().all(|s| s.liveness.is_warm(now, GAP));
        assert_eq!(is_warm, is_known, "{step}");
    }
    fleet.handle(began + ms(1_600), Event::Ended(key, Outcome::Answered));
}

/// Guards against servers that stay limited though they would tell that they are warm.
#[test]
fn submit_to_server_that_may_be_cold_asks_it_once() {
    let start = Instant::now();
    let mut fleet = router("r", 1, start);
    let now = start + COLD;
    let first = fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
    assert!(sent_to(&first).is_some());
    assert_eq!(checks(&first), 1);
    let second = fleet.handle(now, Event::Submit(submission(2, 1, prompt(1, 10), now)));
    assert_eq!(checks(&second), 0);
    answer_checks(&mut fleet, now, &first);
    assert_eq!(burst(&mut fleet, 10, now), 10);
}

/// Guards against a cold server that is flooded though it told that it is cold.
#[test]
fn server_that_tells_its_cold_time_stays_limited() {
    let start = Instant::now();
    let mut fleet = router("r", 1, start);
    let key = key_of(&fleet, ENGINES);
    let now = start + ms(100);
    fleet.handle(now, Event::ServerChecked(key, now, COLD));
    assert!(burst(&mut fleet, 0, now) < 10);
}

/// Guards against a request that leaves for a server which crashed while the connection was opened.
#[test]
fn may_send_as_to_warm_server_ends_with_evidence() {
    let start = Instant::now();
    let fleet = router("r", 1, start);
    let key = key_of(&fleet, ENGINES);
    assert!(fleet.may_send(start + ms(290), key, true));
    assert!(!fleet.may_send(start + ms(310), key, true));
    assert!(fleet.may_send(start + ms(310), key, false));
}
