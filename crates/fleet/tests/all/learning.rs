//! Models of servers, learned from their responses and from reports.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::model::{Learn, LoadStatus, Model};
use hibiscusrail_fleet::objects::{Repeat, Revision};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::registry::ServerKey;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, Params, RequestKey};

use super::support::{self, ENGINES, PLAIN, failure_reason, plain, prompt, sent_to, submission};

const USUAL: LoadStatus = LoadStatus {
    running: 1,
    waiting: 0,
    slots: 64,
    slowdown: Some(1.0),
};

fn key_of(fleet: &Fleet, service: &str) -> ServerKey {
    let mut keys = fleet.registry().of_service(service);
    keys.next().expect("there is a server").0
}

/// Returns the learned prefill rate of the only engine, in tokens per millisecond.
fn rate(fleet: &Fleet, now: Instant) -> f64 {
    let server = fleet.registry().get(key_of(fleet, ENGINES));
    let model = server.expect("the engine is registered").model();
    model.prefill_rate(now, &support::params().nominal()).value
}

fn tell(fleet: &mut Fleet, now: Instant, slowdown: Option<f64>) {
    let status = LoadStatus { slowdown, ..USUAL };
    fleet.handle(now, Event::ServerStatus(key_of(fleet, ENGINES), status));
}

/// Sends `count` prompts one after the other to an engine of the given rate; returns the time after.
fn play(fleet: &mut Fleet, mut now: Instant, count: u64, rate: f64) -> Instant {
    for key in 0..count {
        fleet.handle(now, Event::LoopLag(Duration::ZERO));
        let request = submission(key, 1, prompt(1_000 + key, 500), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        assert!(sent_to(&decisions).is_some(), "the engine is idle");
        for _ in 0..4 {
            now += Duration::from_secs_f64(5_500.0 / rate / 1e3 / 4.0);
            fleet.handle(now, Event::LoopLag(Duration::ZERO));
        }
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Answered));
        now += Duration::from_millis(700);
    }
    now
}

/// Guards against a learned speed that never exceeds the configured one, or that is not learned
/// downwards.
#[test]
fn prefill_rate_is_learned_in_both_directions() {
    for real in [38.5, 55.0, 112.0] {
        let start = Instant::now();
        let mut fleet = support::router("r", 1, start);
        tell(&mut fleet, start, Some(1.0));
        let now = play(&mut fleet, start, 30, real);
        let learned = rate(&fleet, now);
        assert!((learned / real - 1.0).abs() < 0.12, "{learned} for {real}");
    }
}

/// Guards against new behaviour where no server reports a slowdown or the operator forbids it.
#[test]
fn model_is_unused_without_slowdown_figure() {
    let cases = [
        (Learn::Auto, None, false),
        (Learn::Off, Some(1.0), false),
        (Learn::Auto, Some(1.0), true),
        (Learn::On, None, true),
    ];
    for (learn, slowdown, expected) in cases {
        let start = Instant::now();
        let mut fleet = support::router("r", 1, start);
        fleet.set_params(Params {
            learn,
            ..support::params()
        });
        tell(&mut fleet, start, slowdown);
        let now = play(&mut fleet, start, 10, 112.0);
        assert_eq!(fleet.learns(ENGINES), expected, "{learn:?}");
        assert!(!fleet.learns(PLAIN) || learn == Learn::On);
        assert_eq!(rate(&fleet, now) > 60.0, expected, "{learn:?}");
        let report = fleet.report(now, Scope::All);
        assert!(expected || report.learned.is_none());
    }
}

/// Guards against the model of a server that has restarted under the same id.
#[test]
fn restart_under_same_id_resets_model() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    tell(&mut fleet, start, Some(1.0));
    let now = play(&mut fleet, start, 20, 112.0);
    let mut reports: Vec<_> = (0..12).map(|_| fleet.report(now, Scope::All)).collect();
    reports.retain(|r| r.learned.as_ref().is_some_and(|l| !l.models.is_empty()));
    assert!(!reports.is_empty(), "the model is reported");
    let mut servers = support::servers(1);
    servers.get_mut("e0").expect("the engine").born = 2;
    let mut other = support::router("other", 0, now);
    other.handle(now, Event::Servers(Revision(2), servers.clone()));
    for report in reports {
        other.handle(now, Event::Report(report));
    }
    fleet.handle(now, Event::Servers(Revision(2), servers));
    let nominal = support::params().read_rate;
    for fleet in [&fleet, &other] {
        assert!((rate(fleet, now) - nominal).abs() < 1e-6);
    }
}

/// Guards against a router that has started and learns at its own expense what others know.
#[test]
fn report_tells_fresh_router_the_model() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    tell(&mut fleet, start, Some(1.0));
    let now = play(&mut fleet, start, 30, 112.0);
    let mut fresh = support::router("fresh", 1, now);
    let hello = fresh.report(now, Scope::All);
    fleet.handle(now, Event::Report(hello));
    let told = fleet.report(now, Scope::All);
    fresh.handle(now, Event::Report(told));
    assert!(fresh.learns(ENGINES));
    let (known, own) = (rate(&fresh, now), rate(&fleet, now));
    assert!((known / own - 1.0).abs() < 0.1, "{known} of {own}");
}

/// Guards against reports that grow with the number of servers.
#[test]
fn models_of_many_servers_stay_within_a_datagram() {
    let now = Instant::now();
    let mut fleet = support::router("r", 90, now);
    let keys: Vec<_> = fleet
        .registry()
        .of_service(ENGINES)
        .map(|(k, _)| k)
        .collect();
    for key in keys {
        fleet.handle(now, Event::ServerStatus(key, USUAL));
    }
    for key in 0..90 {
        fleet.handle(now, Event::LoopLag(Duration::ZERO));
        let request = submission(key, 1, prompt(key, 500), now);
        fleet.handle(now, Event::Submit(request));
    }
    let later = now + Duration::from_millis(100);
    fleet.handle(later, Event::LoopLag(Duration::ZERO));
    for key in 0..90 {
        fleet.handle(later, Event::FirstByte(RequestKey(key)));
    }
    let bytes = |r: &hibiscusrail_fleet::peers::Report| {
        let models = r.learned.iter().flat_map(|l| &l.models);
        models.map(prost::Message::encoded_len).sum::<usize>()
    };
    let largest = (0..20)
        .map(|_| bytes(&fleet.report(later, Scope::All)))
        .max();
    assert!(largest.is_some_and(|b| b > 0 && b <= 600), "{largest:?}");
}

/// Guards against a slow period that counts as the server's speed, or outlasts its report.
#[test]
fn slowdown_counts_while_fresh_and_is_not_learned() {
    let now = Instant::now();
    let nominal = support::params().nominal();
    let mut model = Model::default();
    model.record_status(
        now,
        LoadStatus {
            slowdown: Some(2.5),
            ..USUAL
        },
    );
    for _ in 0..10 {
        model.observe_prefill(now, 5_500, 5_500, Duration::from_millis(250), &nominal);
    }
    let usual = Duration::from_millis(100);
    assert_eq!(model.prefill_time(now, 5_500, &nominal), usual.mul_f64(2.5));
    let later = now + Duration::from_millis(400);
    assert_eq!(model.prefill_time(later, 5_500, &nominal), usual);
}

/// Guards against a server that looks fast because it failed, and against observations of a router
/// that was late itself.
#[test]
fn failures_and_late_observations_teach_nothing() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    fleet.set_params(Params {
        learn: Learn::On,
        ..support::params()
    });
    for (key, outcome) in [
        (1, Outcome::NotRun),
        (2, Outcome::Failed),
        (3, Outcome::Answered),
    ] {
        let now = start + Duration::from_secs(key);
        fleet.handle(now, Event::LoopLag(Duration::ZERO));
        fleet.handle(now, Event::Submit(plain(key, Repeat::Idempotent, now)));
        let soon = now + Duration::from_millis(1);
        fleet.handle(soon, Event::Ended(RequestKey(key), outcome));
    }
    for (key, lag) in [(10, 500), (11, 30)] {
        let now = start + Duration::from_secs(key);
        fleet.handle(now, Event::LoopLag(Duration::ZERO));
        fleet.handle(now, Event::Submit(submission(key, 1, prompt(key, 10), now)));
        // The first byte is handled before the lag is measured.
        let late = now + Duration::from_millis(25 + lag);
        fleet.handle(late, Event::FirstByte(RequestKey(key)));
    }
    let now = start + Duration::from_secs(12);
    let nominal = support::params().nominal();
    for server in fleet.registry().all() {
        assert_eq!(server.model().service_time(now).confidence, 0.0);
        assert_eq!(server.model().prefill_rate(now, &nominal).confidence, 0.0);
    }
}

/// Guards against a plain service whose requests take 60 ms and are expected to take 20.
#[test]
fn service_time_of_plain_request_is_learned() {
    let mut now = Instant::now();
    let mut fleet = support::router("r", 0, now);
    fleet.set_params(Params {
        learn: Learn::On,
        ..support::params()
    });
    for key in 0..90 {
        fleet.handle(now, Event::Submit(plain(key, Repeat::Idempotent, now)));
        now += Duration::from_millis(60);
        fleet.handle(now, Event::LoopLag(Duration::ZERO));
        fleet.handle(now, Event::Served(RequestKey(key)));
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Answered));
    }
    let times = fleet.registry().all().map(|s| s.model().plain_time(now));
    for time in times {
        assert!((45..70).contains(&time.as_millis()), "{time:?}");
    }
}

/// Guards against a log that a server fills with loads that can't be read.
#[test]
fn rejected_load_is_logged_once() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    let key = key_of(&fleet, ENGINES);
    let lines = (0..5)
        .flat_map(|_| fleet.handle(now, Event::ServerStatusRejected(key, "0,0,0".to_owned())));
    let is_log = |d: &Decision| {
        matches!(
            d,
            Decision::Log {
                event: "load_rejected",
                ..
            }
        )
    };
    assert_eq!(lines.filter(is_log).count(), 1);
    assert!(!fleet.learns(ENGINES));
}

/// Guards against a router that was frozen and takes the servers of its requests for silent.
///
/// The timers of its requests are due together when it goes on, before it has read what the servers
/// sent meanwhile and before the lag is measured.
#[test]
fn frozen_router_takes_no_server_for_silent() {
    for measured in [false, true] {
        let start = Instant::now();
        let mut fleet = support::router("r", 3, start);
        fleet.handle(start, Event::LoopLag(Duration::ZERO));
        for key in 0..6 {
            let request = submission(key, 1, prompt(key, 10), start);
            assert!(sent_to(&fleet.handle(start, Event::Submit(request))).is_some());
            fleet.handle(
                start,
                Event::SubmitAdmitted(plain(100 + key, Repeat::Once, start)),
            );
        }
        let thaw = start + Duration::from_secs(4);
        if measured {
            fleet.handle(thaw, Event::LoopLag(Duration::from_millis(3_975)));
        }
        let mut decisions = Vec::new();
        for key in 0..6 {
            decisions.extend(fleet.handle(thaw, Event::Stalled(RequestKey(key))));
            let expired = Event::Ended(RequestKey(100 + key), Outcome::Expired);
            decisions.extend(fleet.handle(thaw, expired));
        }
        let sent = sent_to(&decisions);
        assert_eq!(sent, None, "a request is started again");
        assert!(decisions.iter().all(|d| !is_log(d, "server_paused")));
        assert!(decisions.iter().all(|d| !is_log(d, "server_silent")));
        assert!(fleet.registry().all().all(|s| s.health.is_available(thaw)));
    }
}

/// Guards against a router that takes no server for silent any more once it was late.
#[test]
fn silence_after_catching_up_counts() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    fleet.handle(start, Event::Submit(submission(1, 1, prompt(1, 10), start)));
    let thaw = start + Duration::from_secs(4);
    fleet.handle(thaw, Event::LoopLag(Duration::from_millis(3_975)));
    let mut now = thaw;
    for _ in 0..17 {
        now += Duration::from_millis(25);
        fleet.handle(now, Event::LoopLag(Duration::ZERO));
    }
    let decisions = fleet.handle(now, Event::Stalled(RequestKey(1)));
    assert!(sent_to(&decisions).is_some(), "the other engine takes it");
    assert_eq!(failure_reason(&decisions), None::<Reason>);
}

fn is_log(decision: &Decision, name: &str) -> bool {
    matches!(decision, Decision::Log { event, .. } if *event == name)
}
