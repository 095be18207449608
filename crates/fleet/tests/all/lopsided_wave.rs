//! A workspace whose callers all meet at one router, while others enter at every router.
//!
//! All of them ask for many times what the engines provide. Engines that are modelled as in their
//! data sheet serve what the routers place; the routers exchange reports. What a workspace gets
//! must not depend on the number of routers through which its callers come.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::Prompt;
use hibiscusrail_fleet::objects::{OperatorConfig, Revision};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, Params, RequestKey};

use super::support::{self, ENGINES, prompt, submission};

/// Length of a play.
const LENGTH: Duration = Duration::from_secs(9);
/// When the workspace with one router becomes active.
const WAKE: Duration = Duration::from_secs(2);
/// Window over which workspaces are compared; it starts after the first second of the wave.
const WINDOW_START: Duration = Duration::from_secs(3);
/// Delay after which incremental reports are sent.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// Report periods between two reports to routers of another group.
const GROUP_PERIODS: u64 = 6;
/// Tokens in one event of a stream.
const EVENT_TOKENS: u32 = 9;
/// Prompt tokens that an engine prefills in one step.
const CHUNK_TOKENS: f64 = 2_048.0;
/// Workspace whose callers all meet at the first router.
const LOPSIDED: u64 = 1;
/// Workspaces whose callers enter at every router.
const SPREAD: [u64; 2] = [2, 3];

/// Sizes and rates of a play.
#[derive(Clone, Copy)]
struct Plan {
    routers: usize,
    /// Groups of routers; between two groups only each [`GROUP_PERIODS`]th full report is sent.
    groups: usize,
    engines: u16,
    /// Connections that an engine accepts from all routers together.
    connections: u32,
    /// Requests per second of each workspace.
    rate: u32,
    /// Multiple of the rate that the first of [`SPREAD`] sends.
    greed: u32,
    /// Shared prefixes of each workspace.
    prefixes: u64,
    /// Tokens of each prompt that are not shared.
    own_tokens: u32,
    /// Tokens of each answer.
    output_tokens: u32,
    /// Factor on the time per output token that engines take over their data sheet's.
    slowness: f64,
    /// Requests per second that each engine names as its limit for all routers together.
    named_rate: Option<f64>,
}

const PLAN: Plan = Plan {
    routers: 40,
    groups: 1,
    engines: 6,
    connections: 4_000,
    rate: 200,
    greed: 1,
    prefixes: 10,
    own_tokens: 300,
    output_tokens: 300,
    slowness: 1.0,
    named_rate: None,
};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    FullReports { number: u64 },
    SmallReports,
    Arrival { workspace: u64, number: u64 },
    FirstByte { key: u64 },
    Progress { key: u64, events: u32 },
}

/// Engine that prefills in order of arrival and decodes all its streams at the same pace.
struct Engine {
    prefilled_at: Instant,
    streams: u32,
}

struct Stream {
    router: usize,
    engine: String,
    /// Events until the stream ends.
    left: u32,
    last_at: Instant,
}

struct Play {
    plan: Plan,
    params: Params,
    start: Instant,
    routers: Vec<Fleet>,
    engines: BTreeMap<String, Engine>,
    streams: BTreeMap<u64, Stream>,
    steps: BinaryHeap<Reverse<(Instant, Step)>>,
    next_key: u64,
    /// Charge admitted in the window, by workspace.
    admitted: BTreeMap<u64, f64>,
}

fn operator_config(plan: &Plan) -> OperatorConfig {
    let mut config = support::config(&[]);
    let deployment = config.deployment.as_mut().expect("there is a deployment");
    let service = deployment
        .services
        .get_mut(ENGINES)
        .expect("it has engines");
    service.connections = plan.connections;
    config
}

impl Play {
    fn new(plan: Plan) -> Self {
        let start = Instant::now();
        let names: Vec<String> = (0..plan.routers).map(|n| format!("r{n}")).collect();
        let router = |name: &String| {
            let mut fleet = support::router(name, plan.engines, start);
            fleet.handle(start, Event::Config(Revision(2), operator_config(&plan)));
            fleet.handle(start, Event::Members(names.clone()));
            for key in support::engine_keys(&fleet) {
                fleet.handle(start, Event::ServerRate(key, plan.named_rate));
            }
            fleet
        };
        let engine = |n: u16| {
            let engine = Engine {
                prefilled_at: start,
                streams: 0,
            };
            (format!("e{n}"), engine)
        };
        let mut steps = BinaryHeap::new();
        steps.push(Reverse((start, Step::FullReports { number: 0 })));
        steps.push(Reverse((start, Step::SmallReports)));
        for workspace in SPREAD.into_iter().chain([LOPSIDED]) {
            let wake = if workspace == LOPSIDED {
                WAKE
            } else {
                Duration::ZERO
            };
            let arrival = Step::Arrival {
                workspace,
                number: 0,
            };
            steps.push(Reverse((start + wake, arrival)));
        }
        Self {
            plan,
            params: support::params(),
            start,
            routers: names.iter().map(router).collect(),
            engines: (0..plan.engines).map(engine).collect(),
            streams: BTreeMap::new(),
            steps,
            next_key: 0,
            admitted: BTreeMap::new(),
        }
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((now, step))) = self.steps.pop() {
            if now > self.start + LENGTH {
                break;
            }
            match step {
                Step::FullReports { number } => {
                    let to_all = number.is_multiple_of(GROUP_PERIODS);
                    for sender in 0..self.routers.len() {
                        let report = self.routers[sender].report(now, Scope::All);
                        self.deliver(now, sender, &Event::Report(report), to_all);
                    }
                    for router in &mut self.routers {
                        router.handle(now, Event::Tick);
                    }
                    let number = number + 1;
                    let next = now + self.params.report_period;
                    self.again(next, Step::FullReports { number });
                }
                Step::SmallReports => {
                    for sender in 0..self.routers.len() {
                        if let Some(report) = self.routers[sender].incremental_report(now) {
                            self.deliver(now, sender, &Event::Report(report), false);
                        }
                    }
                    self.again(now + REPORT_DELAY, Step::SmallReports);
                }
                Step::Arrival { workspace, number } => {
                    let greed = if workspace == SPREAD[0] {
                        self.plan.greed
                    } else {
                        1
                    };
                    let next = now + Duration::from_secs(1) / (self.plan.rate * greed);
                    let number = number + 1;
                    self.again(next, Step::Arrival { workspace, number });
                    self.arrive(now, workspace, number);
                }
                Step::FirstByte { key } => self.first_byte(now, key),
                Step::Progress { key, events } => self.progress(now, key, events),
            }
        }
        self
    }

    fn again(&mut self, at: Instant, step: Step) {
        self.steps.push(Reverse((at, step)));
    }

    /// Delivers a report to the routers of the sender's group, or to all.
    fn deliver(&mut self, now: Instant, sender: usize, event: &Event, to_all: bool) {
        let groups = self.plan.groups;
        for (number, router) in self.routers.iter_mut().enumerate() {
            let is_near = number % groups == sender % groups;
            if number != sender && (to_all || is_near) {
                router.handle(now, event.clone());
            }
        }
    }

    fn arrive(&mut self, now: Instant, workspace: u64, number: u64) {
        let routers = u64::try_from(self.plan.routers).expect("it fits");
        let router = if workspace == LOPSIDED {
            0
        } else {
            number % routers
        };
        let router = usize::try_from(router).expect("it fits");
        let prefix = (workspace << 32) | (number * 7 % self.plan.prefixes);
        self.next_key += 1;
        let key = self.next_key;
        let prompt = Prompt {
            output: self.plan.output_tokens,
            ..prompt(prefix, self.plan.own_tokens)
        };
        let (charge, output) = (prompt.charge(), prompt.output);
        let request = submission(key, workspace, prompt, now);
        let decisions = self.routers[router].handle(now, Event::Submit(request));
        let sent = decisions.iter().find_map(|d| match d {
            Decision::Send { id, inputs, .. } => Some((id.clone(), inputs.prefill_tokens)),
            _ => None,
        });
        let Some((id, prefill_tokens)) = sent else {
            return;
        };
        if now >= self.start + WINDOW_START {
            *self.admitted.entry(workspace).or_default() += charge;
        }
        let engine = self.engines.get_mut(&id).expect("it exists");
        let prefill =
            Duration::from_secs_f64(f64::from(prefill_tokens) / self.params.read_rate / 1e3);
        engine.prefilled_at = engine.prefilled_at.max(now) + prefill;
        engine.streams += 1;
        let begin = engine.prefilled_at;
        self.streams.insert(
            key,
            Stream {
                router,
                engine: id,
                left: output / EVENT_TOKENS,
                last_at: begin,
            },
        );
        self.again(begin, Step::FirstByte { key });
    }

    fn first_byte(&mut self, now: Instant, key: u64) {
        let router = self.streams[&key].router;
        let first = Event::FirstByte(RequestKey(key));
        self.routers[router].handle(now, first);
        self.schedule_event(now, key);
    }

    /// Schedules the next event of a stream. While the engine prefills, each of its steps includes a
    /// chunk of prefill.
    fn schedule_event(&mut self, now: Instant, key: u64) {
        let engine = &self.engines[&self.streams[&key].engine];
        let step = self.params.nominal_interval(engine.streams, 0.0);
        let step = step.mul_f64(self.plan.slowness).as_secs_f64();
        let chunk = CHUNK_TOKENS / self.params.read_rate / 1e3;
        let prefill = engine
            .prefilled_at
            .saturating_duration_since(now)
            .as_secs_f64();
        let tokens = (prefill / (step + chunk)).min(EVENT_TOKENS.into());
        let gap = tokens * (step + chunk) + (f64::from(EVENT_TOKENS) - tokens) * step;
        let at = now + Duration::from_secs_f64(gap);
        self.again(at, Step::Progress { key, events: 1 });
    }

    fn progress(&mut self, now: Instant, key: u64, events: u32) {
        let stream = self.streams.get_mut(&key).expect("it runs");
        let gap = now.saturating_duration_since(stream.last_at);
        stream.last_at = now;
        stream.left = stream.left.saturating_sub(events);
        let (router, left) = (stream.router, stream.left);
        let progress = Event::StreamProgress {
            key: RequestKey(key),
            gap,
            tokens: EVENT_TOKENS,
        };
        self.routers[router].handle(now, progress);
        if left > 0 {
            return self.schedule_event(now, key);
        }
        let ended = Event::Ended(RequestKey(key), Outcome::Answered);
        self.routers[router].handle(now, ended);
        let stream = self.streams.remove(&key).expect("it runs");
        let engine = self.engines.get_mut(&stream.engine).expect("it exists");
        engine.streams -= 1;
    }

    /// Returns the charge admitted for a workspace.
    fn admitted(&self, workspace: u64) -> f64 {
        self.admitted.get(&workspace).copied().unwrap_or_default()
    }

    /// Returns the charge admitted for the workspace with one router, and for the best served one.
    fn compare(&self) -> (f64, f64) {
        let best = SPREAD.map(|w| self.admitted(w)).into_iter();
        (self.admitted(LOPSIDED), best.fold(0.0, f64::max))
    }
}

/// Asserts the bound of the users' rule on shares: half of what the best served workspace gets.
fn assert_fair(plan: Plan) {
    let (lopsided, best) = Play::new(plan).run().compare();
    assert!(best > 0.0);
    assert!(lopsided >= best / 2.0, "{lopsided} of {best} tokens");
}

/// Guards against a router that is held to its even part of an engine's connections while the
/// other parts are unused.
#[test]
fn submit_wave_at_one_router_uses_unused_connections() {
    assert_fair(Plan {
        connections: 80,
        ..PLAN
    });
}

/// Guards against a limit on the token interval that binds only the router which measures it.
#[test]
fn submit_wave_at_one_router_is_not_held_back_by_its_own_measurements() {
    assert_fair(Plan {
        engines: 24,
        rate: 700,
        prefixes: 40,
        output_tokens: 60,
        own_tokens: 3_000,
        slowness: 4.0,
        ..PLAN
    });
}

/// Guards against a workspace that has become active and has no prefix cached yet: others must not
/// keep its engines for the prefixes that they have cached.
#[test]
fn submit_wave_at_one_router_without_cached_prefixes_gets_its_share() {
    assert_fair(Plan {
        prefixes: 200,
        ..PLAN
    });
}

/// Guards against a workspace that sends many times the requests of another and takes most of what servers
/// accept at the rates that they name, as each request is as likely as any other to be accepted.
#[test]
fn submit_many_more_requests_gets_no_more_than_share() {
    for greed in [10, 30] {
        let play = Play::new(Plan {
            engines: 24,
            rate: 120,
            greed,
            prefixes: 40,
            output_tokens: 60,
            routers: 60,
            groups: 3,
            named_rate: Some(8.0),
            ..PLAN
        })
        .run();
        let [greedy, modest] = SPREAD.map(|w| play.admitted(w));
        assert!(modest >= greedy / 2.0, "{modest} of {greedy} tokens");
    }
}
