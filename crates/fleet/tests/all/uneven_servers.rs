//! Placement on servers that differ in speed and have slow moments, by routers whose reports are
//! late.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::Prompt;
use hibiscusrail_fleet::model::{Learn, LoadStatus};
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::peers::{Report, Scope};
use hibiscusrail_fleet::registry::ServerKey;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, Params, RequestKey};

use super::support::{self, submission};

const ROUTERS: usize = 30;
const SERVERS: u16 = 9;
const STEP: Duration = Duration::from_millis(5);
const STEPS: u32 = 4_000;
/// Steps before responses count, in which the speeds are learned.
const WARM_UP: u32 = 1_600;
/// Delay of reports between routers.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// First bytes later than this are late.
const TARGET: Duration = Duration::from_millis(400);
/// Requests per second of all routers, about 60% of what the servers can prefill.
const DEMAND: u32 = 50;

/// Prompt that shares nothing with others.
const PROMPT: Prompt = Prompt {
    input: 5_500,
    output: 300,
    parts: Vec::new(),
};

/// Engine that prefills prompts one after the other.
struct Engine {
    speed: f64,
    busy_until: Instant,
    served: u32,
}

/// Results of a play.
#[derive(Debug)]
struct Results {
    served: u32,
    late: u32,
    /// Fraction of the requests that each group of servers of one speed received.
    shares: [f64; 3],
    /// Most requests that one server received within 100 ms.
    herd: u32,
}

/// Returns the speed of a server relative to the configured one.
fn speed(number: usize) -> f64 {
    [0.7, 0.7, 1.7][number % 3]
}

/// Returns a number that looks random, the same in every run.
fn hash(value: u64) -> u64 {
    let mixed = (value ^ 0x9E37_79B9).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (mixed ^ (mixed >> 29)).wrapping_mul(0x94D0_49BB_1331_11EB) >> 16
}

/// Returns the slowdown of a server: 15% of all 600 ms periods take 2.5 times as long.
fn slowdown(number: usize, elapsed: Duration) -> f64 {
    let period = u64::try_from(elapsed.as_millis() / 600).unwrap_or(0);
    let draw = hash(period * 1_000 + number as u64) % 100;
    if draw < 15 { 2.5 } else { 1.0 }
}

fn fleets(learn: Learn, start: Instant) -> Vec<Fleet> {
    let names: Vec<String> = (0..ROUTERS).map(|n| format!("r{n}")).collect();
    let new = |name: &String| {
        let params = Params {
            learn,
            // All that routers hear of servers is as late as the reports.
            restart_time: REPORT_DELAY + Duration::from_secs(1),
            ..support::params()
        };
        let mut fleet = Fleet::new(name, 1, params, start);
        let mut config = support::config(&[]);
        if let Some(deployment) = &mut config.deployment {
            // All requests are within their share.
            deployment.limits.throughput = 1e6;
        }
        fleet.handle(start, Event::Config(Revision(1), config));
        let servers = support::servers(SERVERS);
        fleet.handle(start, Event::Servers(Revision(1), servers));
        fleet.handle(start, Event::Members(names.clone()));
        support::hear_servers(&mut fleet, start);
        fleet
    };
    names.iter().map(new).collect()
}

/// Request at an engine.
struct Sent {
    router: usize,
    key: RequestKey,
    server: ServerKey,
    engine: usize,
    at: Instant,
    first_byte: Instant,
}

/// Plays requests whose prompts share nothing.
fn play(learn: Learn) -> Results {
    let start = Instant::now();
    let mut fleets = fleets(learn, start);
    let mut engines: Vec<Engine> = (0..usize::from(SERVERS))
        .map(|n| Engine {
            speed: speed(n),
            busy_until: start,
            served: 0,
        })
        .collect();
    let mut running: Vec<Sent> = Vec::new();
    let mut reports: VecDeque<(Instant, usize, Report)> = VecDeque::new();
    let mut recent: VecDeque<(Instant, usize)> = VecDeque::new();
    let mut results = Results {
        served: 0,
        late: 0,
        shares: [0.0; 3],
        herd: 0,
    };
    for step in 0..STEPS {
        let elapsed = STEP * step;
        let now = start + elapsed;
        for fleet in &mut fleets {
            fleet.handle(now, Event::LoopLag(Duration::ZERO));
        }
        while reports.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, sender, report)) = reports.pop_front() else {
                break;
            };
            for (index, fleet) in fleets.iter_mut().enumerate() {
                if index != sender {
                    fleet.handle(now, Event::Report(report.clone()));
                }
            }
        }
        for sent in running.extract_if(.., |s| s.first_byte <= now) {
            let fleet = &mut fleets[sent.router];
            let status = LoadStatus {
                running: 1,
                waiting: 0,
                slots: 64,
                slowdown: Some(slowdown(sent.engine, elapsed)),
            };
            fleet.handle(now, Event::ServerStatus(sent.server, status));
            fleet.handle(now, Event::FirstByte(sent.key));
            fleet.handle(now, Event::Ended(sent.key, Outcome::Answered));
            if step >= WARM_UP {
                results.served += 1;
                engines[sent.engine].served += 1;
                let took = sent.first_byte.saturating_duration_since(sent.at);
                results.late += u32::from(took > TARGET);
            }
        }
        if step % (200 / DEMAND) == 0 {
            let router = usize::try_from(hash(u64::from(step))).unwrap_or(0) % ROUTERS;
            let key = RequestKey(u64::from(step));
            let request = submission(key.0, 1, PROMPT, now);
            let decisions = fleets[router].handle(now, Event::Submit(request));
            support::answer_checks(&mut fleets[router], now, &decisions);
            for decision in decisions {
                let Decision::Send { server, id, .. } = decision else {
                    continue;
                };
                let engine: usize = id[1..].parse().expect("engines are numbered");
                let state = &mut engines[engine];
                let time = 5_500.0 / (55.0 * state.speed) * slowdown(engine, elapsed) / 1e3;
                let first_byte = state.busy_until.max(now) + Duration::from_secs_f64(time);
                state.busy_until = first_byte;
                recent.push_back((now, engine));
                running.push(Sent {
                    router,
                    key,
                    server,
                    engine,
                    at: now,
                    first_byte,
                });
            }
        }
        recent.retain(|(at, _)| now.saturating_duration_since(*at) < Duration::from_millis(100));
        let received = |engine| recent.iter().filter(|(_, e)| *e == engine).count();
        let herd = (0..engines.len()).map(received).max().unwrap_or(0);
        results.herd = results.herd.max(u32::try_from(herd).unwrap_or(u32::MAX));
        for (index, fleet) in fleets.iter_mut().enumerate() {
            if (step as usize + index).is_multiple_of(20) {
                fleet.handle(now, Event::Tick);
                let report = fleet.report(now, Scope::All);
                reports.push_back((now + REPORT_DELAY, index, report));
            }
        }
    }
    for (number, engine) in engines.iter().enumerate() {
        results.shares[number % 3] += f64::from(engine.served) / f64::from(results.served.max(1));
    }
    results
}

/// Guards against placement that ignores how fast a server is, and against herding on the fast ones.
#[test]
fn shares_follow_speed_and_fewer_first_bytes_are_late() {
    let [fixed, learned] = [Learn::Off, Learn::On].map(play);
    println!("configured speed: {fixed:?}");
    println!("learned speed: {learned:?}");
    let late = |r: &Results| f64::from(r.late) / f64::from(r.served.max(1));
    assert!(late(&learned) < late(&fixed), "{learned:?}, {fixed:?}");
    // The fast servers make up 1.7 of 3.1 parts of the speed.
    assert!(learned.shares[2] > 0.5, "{learned:?}");
    assert!(learned.served >= fixed.served, "{learned:?}, {fixed:?}");
    assert!(learned.herd <= fixed.herd + 1, "{learned:?}, {fixed:?}");
}
