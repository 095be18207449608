//! Workspaces whose callers meet at one router each, in a zone of routers with unequal processors.
//!
//! The platform sends all new connections of a workspace's callers, those for retries too, to the first router
//! of an order of their own that is in rotation. Callers that keep connections open use an idle one first,
//! whichever router it leads to. Each router has an event loop that works in order of arrival, urgent work
//! first, and a queue of connections that wait to be accepted. Each kind of work has a cost. The engines have room for all that the routers can forward.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::{Part, Prompt};
use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::pressure::Connection;
use hibiscusrail_fleet::quota::WorkspaceHash;
use hibiscusrail_fleet::rotation::LoopUse;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, submission};

/// Processor time, on a whole core, of accepting a connection and refusing its request at the head.
const REFUSAL_COST: Duration = Duration::from_micros(25);
/// Processor time of a request that the reducer refuses after its body was read.
const PLACEMENT_REFUSAL_COST: Duration = Duration::from_micros(130);
/// Processor time until a stream's request is sent and its answer has begun.
const START_COST: Duration = Duration::from_micros(300);
/// Processor time of forwarding an event.
const EVENT_COST: Duration = Duration::from_micros(43);
/// Processor time of another router's report.
const REPORT_COST: Duration = Duration::from_micros(30);
/// Processor time of a measurement of the lag.
const SAMPLE_COST: Duration = Duration::from_micros(20);
/// Interval of these measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of the reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time until an engine's first token, and between two events of a stream.
const FIRST_TOKEN: Duration = Duration::from_millis(100);
const EVENT_INTERVAL: Duration = Duration::from_millis(70);
/// Tokens of an event.
const EVENT_TOKENS: u32 = 9;
/// Connections that wait to be accepted; further ones are lost.
const BACKLOG: usize = 1_024;
/// Connections accepted in one turn of the event loop.
const ACCEPT_BATCH: usize = 64;
/// Time that a caller waits for its connection to be accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the platform's readiness checks; a router that fails two is out of rotation.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const MAX_FAILED_CHECKS: u32 = 2;
/// Time to the first event within which a request counts as answered in time.
const TARGET: Duration = Duration::from_millis(600);
/// Seconds over which workspaces are compared.
const WINDOW: usize = 6;
/// Requests that may be missing, the largest ones.
const FREE_REQUESTS: f64 = 3.0;
/// Requests on a connection until its caller closes it.
const KEPT_REQUESTS: u64 = 5;
/// Processor shares of the routers of a small zone, and of a larger one.
const SHARES: [f64; 8] = [0.12, 0.12, 0.5, 0.12, 0.12, 0.12, 0.5, 0.12];
const ZONE_SHARES: [f64; 19] = [
    0.12, 0.12, 0.5, 0.12, 0.12, 0.25, 0.12, 0.12, 0.5, 0.12, 0.12, 0.25, 0.12, 0.12, 0.5, 0.12,
    0.12, 0.25, 0.12,
];

/// Where the callers of a workspace open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Callers {
    /// All of them at one router: the first in their order.
    At(usize),
    /// Evenly at all routers.
    Spread,
}

/// Sizes of prompts and their answers, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sizes {
    /// Prompts without their shared part: a tenth have the first number of tokens, four tenths the second.
    own: [u32; 3],
    output: u32,
}

const LONG_PROMPTS: Sizes = Sizes {
    own: [20_000, 3_000, 500],
    output: 300,
};
/// With these the engines have room for all that a zone of routers forwards.
const SHORT_PROMPTS: Sizes = Sizes {
    own: [4_000, 600, 100],
    output: 200,
};

/// Requests of a workspace.
struct Demand {
    workspace: u64,
    callers: Callers,
    prompts: Sizes,
    /// Whether its callers keep connections open for further requests.
    keeps: bool,
    /// Requests per second from each of these seconds on.
    rates: &'static [(f64, f64)],
}

/// Request on its way, and when its caller sent it first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    workspace: u64,
    number: u64,
    prompts: Sizes,
    sent: Instant,
    retry: bool,
    /// First router in the order of its caller.
    router: usize,
    /// Whether the caller keeps its connection, and whether the request came on a kept one.
    keeps: bool,
    kept: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Work {
    Sample,
    Accept,
    /// A request on a kept connection.
    Request(Call),
    Stream {
        key: u64,
    },
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrival { demand: usize, number: u64 },
    Retry(Call),
    Free { host: usize },
    Due { host: usize, work: Work },
    Reports,
    Check,
}

struct Stream {
    call: Call,
    charge: f64,
    next_at: Instant,
    left: u32,
    begun: bool,
}

struct Host {
    fleet: Fleet,
    share: f64,
    is_busy: bool,
    sample_due: Instant,
    sampled_at: Instant,
    /// Time used since then for control work and for requests.
    control: Duration,
    requests: Duration,
    /// Reports that have not been read.
    reports: VecDeque<Event>,
    ready: VecDeque<Work>,
    backlog: VecDeque<(Instant, Call)>,
    streams: BTreeMap<u64, Stream>,
    failed_checks: u32,
}

/// What a workspace asked for and was given in a second.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    asked: f64,
    begun: f64,
    /// Requests that were refused, lost or answered late.
    waiting: u32,
    /// Streams refused for the router's own load.
    router_busy: u32,
    largest: f64,
}

struct Play {
    start: Instant,
    length: Duration,
    demands: Vec<Demand>,
    hosts: Vec<Host>,
    steps: BinaryHeap<Reverse<(Instant, u64, Step)>>,
    order: u64,
    next_key: u64,
    seconds: BTreeMap<u64, Vec<Second>>,
    /// Routers to which the callers of each workspace have idle connections.
    idle: BTreeMap<u64, VecDeque<usize>>,
}

/// Returns a prompt of a workspace.
fn prompt(workspace: u64, number: u64, sizes: Sizes) -> Prompt {
    let own = match number * 7 % 10 {
        0 => sizes.own[0],
        1..=4 => sizes.own[1],
        _ => sizes.own[2],
    };
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        input: 500 + own,
        output: sizes.output,
        parts: vec![
            part((workspace << 32) | (number % 50), 500),
            part(u64::MAX, own),
        ],
    }
}

impl Play {
    fn new(length: Duration, shares: &[f64], demands: Vec<Demand>) -> Self {
        let start = Instant::now();
        let names: Vec<String> = (0..shares.len()).map(|n| format!("r{n}")).collect();
        let host = |(number, share): (usize, &f64)| {
            let mut fleet = support::router(&names[number], 64, start);
            fleet.handle(start, Event::Members(names.clone()));
            Host {
                fleet,
                share: *share,
                is_busy: false,
                sample_due: start + SAMPLE_INTERVAL,
                sampled_at: start,
                control: Duration::ZERO,
                requests: Duration::ZERO,
                reports: VecDeque::new(),
                ready: VecDeque::new(),
                backlog: VecDeque::new(),
                streams: BTreeMap::new(),
                failed_checks: 0,
            }
        };
        let mut play = Self {
            start,
            length,
            hosts: shares.iter().enumerate().map(host).collect(),
            steps: BinaryHeap::new(),
            order: 0,
            next_key: 0,
            seconds: BTreeMap::new(),
            idle: BTreeMap::new(),
            demands,
        };
        for demand in 0..play.demands.len() {
            play.at(start, Step::Arrival { demand, number: 0 });
        }
        for host in 0..shares.len() {
            let work = Work::Sample;
            play.at(start + SAMPLE_INTERVAL, Step::Due { host, work });
        }
        play.at(start, Step::Reports);
        play.at(start, Step::Check);
        play
    }

    fn at(&mut self, at: Instant, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order, step)));
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            if now > self.start + self.length {
                break;
            }
            match step {
                Step::Arrival { demand, number } => self.arrive(now, demand, number),
                Step::Retry(call) => {
                    let host = self.router_for(call.router);
                    self.connect(now, host, call);
                }
                Step::Free { host } => {
                    self.hosts[host].is_busy = false;
                    self.work(now, host);
                }
                Step::Due { host, work } => {
                    self.hosts[host].ready.push_back(work);
                    self.work(now, host);
                }
                Step::Reports => self.report(now),
                Step::Check => {
                    for host in &mut self.hosts {
                        host.failed_checks = if host.fleet.sheds() {
                            host.failed_checks + 1
                        } else {
                            0
                        };
                    }
                    self.at(now + CHECK_INTERVAL, Step::Check);
                }
            }
        }
        self
    }

    /// Returns the first router in rotation in the order of a caller.
    fn router_for(&self, first: usize) -> usize {
        let count = self.hosts.len();
        let order = (0..count).map(|n| (first + n) % count);
        let in_rotation: Vec<usize> = order
            .filter(|n| self.hosts[*n].failed_checks < MAX_FAILED_CHECKS)
            .collect();
        // With less than half of them in rotation, the platform uses all.
        if in_rotation.len() * 2 < count {
            return first;
        }
        in_rotation[0]
    }

    fn second(&mut self, at: Instant, workspace: u64) -> &mut Second {
        let index = usize::try_from((at - self.start).as_secs()).expect("it is short");
        let seconds = self.seconds.entry(workspace).or_default();
        if seconds.len() <= index {
            seconds.resize(index + 1, Second::default());
        }
        &mut seconds[index]
    }

    fn arrive(&mut self, now: Instant, demand: usize, number: u64) {
        let elapsed = (now - self.start).as_secs_f64();
        let Demand {
            workspace,
            callers,
            prompts,
            keeps,
            rates,
        } = self.demands[demand];
        let rate = rates.iter().rev().find(|(from, _)| elapsed >= *from);
        let rate = rate.map_or(1.0, |(_, rate)| *rate);
        let next = now + Duration::from_secs_f64(1.0 / rate);
        let arrival = Step::Arrival {
            demand,
            number: number + 1,
        };
        self.at(next, arrival);
        let charge = prompt(workspace, number, prompts).charge();
        let second = self.second(now, workspace);
        second.asked += charge;
        second.largest = second.largest.max(charge);
        let router = match callers {
            Callers::At(router) => router,
            Callers::Spread => usize::try_from(number).expect("it is small") % self.hosts.len(),
        };
        let call = Call {
            workspace,
            number,
            prompts,
            sent: now,
            retry: false,
            router,
            keeps,
            kept: false,
        };
        if let Some(host) = self.idle.get_mut(&workspace).and_then(VecDeque::pop_front) {
            let work = Work::Request(Call { kept: true, ..call });
            self.hosts[host].ready.push_back(work);
            return self.work(now, host);
        }
        let host = self.router_for(router);
        self.connect(now, host, call);
    }

    fn connect(&mut self, now: Instant, host: usize, call: Call) {
        if self.hosts[host].backlog.len() >= BACKLOG {
            self.second(now, call.workspace).waiting += 1;
            return;
        }
        let was_empty = self.hosts[host].backlog.is_empty();
        self.hosts[host].backlog.push_back((now, call));
        if was_empty {
            self.hosts[host].ready.push_back(Work::Accept);
            self.work(now, host);
        }
    }

    /// Does the next piece of work of a router that has time.
    fn work(&mut self, now: Instant, host: usize) {
        if self.hosts[host].is_busy {
            return;
        }
        let (control, requests) = if let Some(report) = self.hosts[host].reports.pop_front() {
            self.hosts[host].fleet.handle(now, report);
            (REPORT_COST, Duration::ZERO)
        } else if let Some(work) = self.hosts[host].ready.pop_front() {
            match work {
                Work::Sample => (self.sample(now, host), Duration::ZERO),
                Work::Accept => self.accept(now, host),
                Work::Request(call) => (Duration::ZERO, self.submit(now, host, call)),
                Work::Stream { key } => (Duration::ZERO, self.forward(now, host, key)),
            }
        } else {
            return;
        };
        let host_state = &mut self.hosts[host];
        host_state.is_busy = true;
        host_state.control += control.div_f64(host_state.share);
        host_state.requests += requests.div_f64(host_state.share);
        let free = now + (control + requests).div_f64(host_state.share);
        self.at(free, Step::Free { host });
    }

    fn sample(&mut self, now: Instant, number: usize) -> Duration {
        let host = &mut self.hosts[number];
        let lag = now - host.sample_due;
        let elapsed = now - std::mem::replace(&mut host.sampled_at, now);
        let part = |time: &mut Duration| std::mem::take(time).div_duration_f64(elapsed);
        let used = LoopUse {
            control: part(&mut host.control),
            requests: part(&mut host.requests),
        };
        host.fleet.handle(now, Event::LoopUse(used));
        host.fleet.handle(now, Event::LoopLag(lag));
        host.sample_due = now + SAMPLE_INTERVAL;
        let (host, work) = (number, Work::Sample);
        self.at(now + SAMPLE_INTERVAL, Step::Due { host, work });
        SAMPLE_COST
    }

    fn report(&mut self, now: Instant) {
        for sender in 0..self.hosts.len() {
            self.hosts[sender].fleet.handle(now, Event::Tick);
            let report = self.hosts[sender].fleet.report(now, Scope::All);
            for host in 0..self.hosts.len() {
                if host != sender {
                    let event = Event::Report(report.clone());
                    self.hosts[host].reports.push_back(event);
                    self.work(now, host);
                }
            }
        }
        self.at(now + REPORT_INTERVAL, Step::Reports);
    }

    /// Accepts a batch of connections; returns the costs of refusing and of beginning their requests.
    fn accept(&mut self, now: Instant, host: usize) -> (Duration, Duration) {
        let (mut refusing, mut beginning) = (Duration::ZERO, Duration::ZERO);
        for _ in 0..ACCEPT_BATCH {
            let Some((at, call)) = self.hosts[host].backlog.pop_front() else {
                break;
            };
            // Its caller has gone.
            if now - at > CONNECT_TIMEOUT {
                self.second(at, call.workspace).waiting += 1;
                continue;
            }
            match self.submit(now, host, call) {
                REFUSAL_COST => refusing += REFUSAL_COST,
                cost => beginning += cost,
            }
        }
        if !self.hosts[host].backlog.is_empty() {
            self.hosts[host].ready.push_back(Work::Accept);
        }
        (refusing, beginning)
    }

    fn submit(&mut self, now: Instant, host: usize, call: Call) -> Duration {
        self.next_key += 1;
        let key = self.next_key;
        let prompt = prompt(call.workspace, call.number, call.prompts);
        let (charge, output) = (prompt.charge(), prompt.output);
        let fleet = &mut self.hosts[host].fleet;
        let workspace = Some(WorkspaceHash(call.workspace));
        let connection = if call.kept {
            Connection::Kept
        } else {
            Connection::New
        };
        if fleet.may_refuse_streams() {
            let refused = fleet.overloaded(now, workspace, Some(&prompt), connection);
            if let Some(delay) = refused {
                let retry_after = delay.notice + delay.spread;
                self.refused(now, call, Reason::RouterBusy, retry_after);
                return REFUSAL_COST;
            }
            let request = submission(key, call.workspace, prompt, now);
            let decisions = fleet.handle(now, Event::SubmitAdmitted(request));
            return self.decided(now, host, call, key, (charge, output), &decisions);
        }
        let request = submission(key, call.workspace, prompt, now);
        let decisions = fleet.handle(now, Event::Submit(request));
        self.decided(now, host, call, key, (charge, output), &decisions)
    }

    fn decided(
        &mut self,
        now: Instant,
        host: usize,
        call: Call,
        key: u64,
        (charge, output): (f64, u32),
        decisions: &[Decision],
    ) -> Duration {
        let refused = decisions.iter().find_map(|d| match d {
            Decision::Fail {
                reason,
                retry_after,
                ..
            } => Some((*reason, *retry_after)),
            _ => None,
        });
        if let Some((reason, retry_after)) = refused {
            self.refused(now, call, reason, retry_after);
            return PLACEMENT_REFUSAL_COST;
        }
        let next_at = now + FIRST_TOKEN;
        let stream = Stream {
            call,
            charge,
            next_at,
            left: output / EVENT_TOKENS,
            begun: false,
        };
        self.hosts[host].streams.insert(key, stream);
        let work = Work::Stream { key };
        self.at(next_at, Step::Due { host, work });
        START_COST
    }

    fn refused(&mut self, now: Instant, call: Call, reason: Reason, retry_after: Duration) {
        let second = self.second(now, call.workspace);
        second.waiting += 1;
        second.router_busy += u32::from(reason == Reason::RouterBusy);
        if !call.retry {
            let call = Call {
                retry: true,
                kept: false,
                ..call
            };
            self.at(now + retry_after, Step::Retry(call));
        }
    }

    /// Forwards the events of a stream that have arrived.
    fn forward(&mut self, now: Instant, host: usize, key: u64) -> Duration {
        let Some(stream) = self.hosts[host].streams.get_mut(&key) else {
            return Duration::ZERO;
        };
        let (call, charge) = (stream.call, stream.charge);
        let begins = !std::mem::replace(&mut stream.begun, true);
        let mut tokens = 0;
        while stream.next_at <= now && stream.left > 0 {
            stream.next_at += EVENT_INTERVAL;
            stream.left -= 1;
            tokens += EVENT_TOKENS;
        }
        let (next_at, done) = (stream.next_at, stream.left == 0);
        let key_of = RequestKey(key);
        let fleet = &mut self.hosts[host].fleet;
        if begins {
            fleet.handle(now, Event::FirstByte(key_of));
        }
        let progress = Event::StreamProgress {
            key: key_of,
            gap: EVENT_INTERVAL * (tokens / EVENT_TOKENS),
            tokens,
        };
        fleet.handle(now, progress);
        if done {
            fleet.handle(now, Event::Ended(key_of, Outcome::Answered));
            self.hosts[host].streams.remove(&key);
            if call.keeps && call.number % KEPT_REQUESTS != 0 {
                self.idle.entry(call.workspace).or_default().push_back(host);
            }
        } else {
            let work = Work::Stream { key };
            self.at(next_at, Step::Due { host, work });
        }
        if begins {
            let is_late = now - call.sent > TARGET;
            let second = self.second(now, call.workspace);
            second.begun += charge;
            second.waiting += u32::from(is_late);
        }
        EVENT_COST
    }

    /// Returns the part of what a workspace asked for in a range of seconds that it was given.
    fn served_part(&self, workspace: u64, range: Range<usize>) -> f64 {
        let seconds = &self.seconds[&workspace][range];
        let asked: f64 = seconds.iter().map(|s| s.asked).sum();
        let begun: f64 = seconds.iter().map(|s| s.begun).sum();
        begun / asked
    }

    /// Returns the least part of its due that a workspace was given in [`WINDOW`] seconds, in each of
    /// which it waited; 1 if there are none. Its due is the lesser of what it asked for and what the best
    /// served workspace was given, second by second.
    fn least_part(&self, workspace: u64) -> f64 {
        let own = &self.seconds[&workspace];
        let best = |second: usize| {
            let others = self.seconds.values();
            let begun = others.map(|s| s.get(second).copied().unwrap_or_default().begun);
            begun.fold(0.0, f64::max)
        };
        let windows = (0..=own.len() - WINDOW).filter(|from| {
            let window = &own[*from..from + WINDOW];
            window.iter().all(|s| s.waiting > 0)
        });
        let parts = windows.map(|from| {
            let range = from..from + WINDOW;
            let due: f64 = range.clone().map(|s| own[s].asked.min(best(s))).sum();
            let largest = range.clone().map(|s| own[s].largest).fold(0.0, f64::max);
            let begun: f64 = range.map(|s| own[s].begun).sum();
            (begun + FREE_REQUESTS * largest) / due.max(1.0)
        });
        parts.fold(1.0, f64::min)
    }
}

/// The largest workspace, whose callers meet at a small router, and one that is served best, by a large
/// router.
const LARGE: u64 = 1;
const BEST: u64 = 2;
/// Least part of its due that a workspace has to get.
const MIN_PART: f64 = 0.5;
/// Least part of what it asks for that a workspace has to get which asks for less than an even share.
const MIN_SMALL_PART: f64 = 0.95;

/// Guards against a router that refuses streams for an overload that is over: its largest workspace asks
/// for little for some seconds, and is refused some of that while the router has time to spare.
#[test]
fn overload_that_is_over_refuses_nothing() {
    let demands = vec![
        Demand {
            workspace: LARGE,
            callers: Callers::At(0),
            prompts: LONG_PROMPTS,
            keeps: false,
            rates: &[(0.0, 300.0), (1.0, 15.0)],
        },
        Demand {
            workspace: BEST,
            callers: Callers::At(2),
            prompts: LONG_PROMPTS,
            keeps: false,
            rates: &[(0.0, 150.0)],
        },
    ];
    let play = Play::new(Duration::from_secs(9), &SHARES, demands).run();
    let seconds = &play.seconds[&LARGE];
    // The streams of the first second have ended, and the router is in rotation again.
    let calm: u32 = seconds[4..8].iter().map(|s| s.router_busy).sum();
    assert!(seconds[..2].iter().any(|s| s.router_busy > 0));
    assert_eq!(calm, 0, "{seconds:?}");
}

/// Guards against a workspace that gets less than half of its due while its wave lasts, because the router
/// that its callers meet spends its time on all else.
#[test]
fn wave_at_small_router_leaves_workspace_its_due() {
    let demands = vec![
        Demand {
            workspace: LARGE,
            callers: Callers::At(0),
            prompts: LONG_PROMPTS,
            keeps: false,
            rates: &[(0.0, 20.0), (2.0, 1_000.0)],
        },
        Demand {
            workspace: BEST,
            callers: Callers::At(2),
            prompts: LONG_PROMPTS,
            keeps: false,
            rates: &[(0.0, 300.0)],
        },
    ];
    let play = Play::new(Duration::from_secs(16), &SHARES, demands).run();
    let part = play.least_part(LARGE);
    assert!(part >= MIN_PART, "{part} of {:?}", play.seconds[&LARGE]);
}

/// Guards against a workspace that gets far less than it asks for and others get, since all its callers
/// meet at the same two or three routers while the others of their zone are idle (issue 68).
#[test]
fn wave_on_kept_connections_spreads_over_routers() {
    for first in 0..3 {
        let wave = Demand {
            workspace: LARGE,
            callers: Callers::At(first),
            prompts: SHORT_PROMPTS,
            keeps: true,
            rates: &[(0.0, 20.0), (2.0, 800.0)],
        };
        let others = (BEST..BEST + 8).map(|workspace| Demand {
            workspace,
            callers: Callers::Spread,
            prompts: SHORT_PROMPTS,
            keeps: true,
            rates: &[(0.0, 20.0)],
        });
        let demands = others.chain([wave]).collect();
        let play = Play::new(Duration::from_secs(20), &ZONE_SHARES, demands).run();
        let part = play.served_part(LARGE, 14..20);
        assert!(part >= MIN_PART, "{part} from router {first} on");
        for other in BEST..BEST + 8 {
            let part = play.served_part(other, 2..20);
            assert!(part >= MIN_SMALL_PART, "{part} of workspace {other}");
        }
    }
}
