//! Pace of requests to a server that has just started, summed over all routers.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::model::Learn;
use hibiscusrail_fleet::objects::{Revision, Servers};
use hibiscusrail_fleet::pace::Pace;
use hibiscusrail_fleet::{Event, Fleet, Outcome, Params, RequestKey};

use super::support::{self, ENGINES, backend, params, prompt, sent_to, submission};

/// Limit on the requests per second to one cold server.
const LIMIT: f64 = 10.0 * 1.5 + 5.0;
const COLD: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);

/// How the server answers.
#[derive(Clone, Copy, PartialEq)]
enum Server {
    Sound,
    Refuses,
}

fn routers(count: usize, learn: Learn, now: Instant) -> Vec<Fleet> {
    let names: Vec<String> = (0..count).map(|n| format!("r{n}")).collect();
    let mut cold = backend(ENGINES, 0);
    cold.cold = COLD;
    let servers = Servers::from([("cold".to_owned(), cold)]);
    let new = |name: &String| {
        let params = Params { learn, ..params() };
        let mut fleet = Fleet::new(name, 1, params, now);
        let earlier = now - Duration::from_secs(2);
        fleet.handle(earlier, Event::Members(names.clone()));
        fleet.handle(now, Event::Config(Revision(1), support::config(&[])));
        fleet.handle(now, Event::Servers(Revision(1), servers.clone()));
        fleet
    };
    names.iter().map(new).collect()
}

/// Offers each router a request every 100 ms, `reports` says whether they hear of each other.
/// Returns the requests that reach the server in each half second.
fn play(count: usize, server: Server, reports: bool, learn: Learn) -> Vec<f64> {
    let start = Instant::now();
    let mut fleets = routers(count, learn, start);
    let mut sent = vec![0.0; 20];
    for step in 0..1_000_u32 {
        let now = start + STEP * step;
        for (index, fleet) in fleets.iter_mut().enumerate() {
            fleet.handle(now, Event::LoopLag(Duration::ZERO));
            if !(step as usize + index).is_multiple_of(10) {
                continue;
            }
            let key = RequestKey(u64::from(step));
            let request = submission(key.0, 1, prompt(1, 10), now);
            let decisions = fleet.handle(now, Event::Submit(request));
            if now >= start + COLD {
                support::answer_checks(fleet, now, &decisions);
            }
            if sent_to(&decisions).is_none() {
                continue;
            }
            sent[step as usize / 50] += 1.0;
            if server == Server::Sound {
                fleet.handle(now, Event::FirstByte(key));
                fleet.handle(now, Event::Ended(key, Outcome::Answered));
            } else {
                fleet.handle(now, Event::Ended(key, Outcome::NotRun));
            }
        }
        if step % 10 == 9 {
            exchange(&mut fleets, now, reports);
        }
    }
    sent
}

fn exchange(fleets: &mut [Fleet], now: Instant, reports: bool) {
    let scope = hibiscusrail_fleet::peers::Scope::All;
    let all: Vec<_> = fleets.iter_mut().map(|f| f.report(now, scope)).collect();
    for (index, fleet) in fleets.iter_mut().enumerate() {
        fleet.handle(now, Event::Tick);
        for (sender, report) in all.iter().enumerate() {
            if reports && sender != index {
                fleet.handle(now, Event::Report(report.clone()));
            }
        }
    }
}

/// Guards against a cliff at the end of the cold period, and against a sum over all routers above
/// the cold limit while the server is cold, whether or not they hear of each other.
#[test]
fn pace_grows_from_cold_limit_without_jump() {
    for (count, reports) in [(1, true), (12, true), (12, false), (70, true), (70, false)] {
        let sent = play(count, Server::Sound, reports, Learn::On);
        for half in 0..6 {
            let second = sent[half] + if half < 5 { sent[half + 1] } else { 0.0 };
            assert!(second <= LIMIT, "{count} {reports}: {sent:?}");
        }
        // The pace doubles in half a second at most; each router may be one request ahead.
        for (half, count_sent) in sent.iter().enumerate().skip(6) {
            let doublings = f64::from(u32::try_from(half - 5).unwrap_or(u32::MAX));
            let bound = LIMIT / 2.0 * doublings.exp2() + 1.0;
            assert!(*count_sent <= bound, "{count} {reports} {half}: {sent:?}");
        }
    }
}

/// Guards against a sound server that stays idle: with reports it gets most of the demand two
/// seconds after the end of its cold period.
#[test]
fn sound_server_gets_its_demand_soon() {
    let sent = play(70, Server::Sound, true, Learn::On);
    let offered = 70.0 * 5.0;
    assert!(sent[6 + 6] >= 0.8 * offered, "{sent:?}");
    let alone = play(70, Server::Sound, false, Learn::On);
    assert!(alone[19] >= 0.5 * offered, "{alone:?}");
}

/// Guards against a pace that grows though the server turns requests away.
#[test]
fn refusing_server_gets_fewer_requests() {
    let sent = play(12, Server::Refuses, true, Learn::On);
    let most = sent.iter().copied().fold(0.0, f64::max);
    assert!(most <= LIMIT / 2.0 + 1.0, "{sent:?}");
    let last: f64 = sent[16..].iter().sum();
    assert!(last > 0.0 && last <= LIMIT, "{sent:?}");
}

/// Guards against a limit after the cold period where the pace is off.
#[test]
fn server_is_unlimited_after_cold_period_without_gate() {
    let sent = play(12, Server::Sound, true, Learn::Auto);
    assert!(sent[7] >= 0.9 * 60.0, "{sent:?}");
}

/// Guards against a burst of late responses that is counted as many signs.
#[test]
fn one_cut_within_hold_time() {
    let now = Instant::now();
    let mut pace = Pace::new(now);
    assert!(pace.cut(now, None));
    let soon = now + Duration::from_millis(100);
    let late = Duration::from_secs(1);
    assert!(!pace.record_first_byte(soon, None, Duration::from_millis(20), late));
    assert!((pace.level(soon, None) - 0.5).abs() < 1e-9);
}
