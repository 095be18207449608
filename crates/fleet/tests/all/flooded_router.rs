//! A wave of ten times what fits meets one small router, whose processor is modelled.
//!
//! The router has one event loop that works in order of arrival. Each kind of work has a cost; what
//! is read late waits, and a stream's events that have arrived meanwhile are read together.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::{Part, Prompt};
use hibiscusrail_fleet::event::{Reason, RefusalInputs};
use hibiscusrail_fleet::quota::ShareStatus;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, prompt, submission};

/// Processor time of a refusal at the head of a request, on a whole core.
const REFUSAL_COST: Duration = Duration::from_micros(10);
/// Processor time until a stream's request is sent and its answer has begun.
const START_COST: Duration = Duration::from_micros(270);
/// Processor time of forwarding what a stream has delivered.
const FORWARD_COST: Duration = Duration::from_micros(43);
/// Processor time of another router's report.
const REPORT_COST: Duration = Duration::from_micros(33);
/// Processor time of a measurement of the lag.
const SAMPLE_COST: Duration = Duration::from_micros(20);
/// Interval of these measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of the reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Time until an engine's first token, and between two events of a stream.
const FIRST_TOKEN: Duration = Duration::from_millis(100);
const EVENT_INTERVAL: Duration = Duration::from_millis(35);
/// Tokens of an event.
const EVENT_TOKENS: u32 = 7;
/// Bound on the time from an event's arrival to its forwarding.
const FORWARD_BOUND: Duration = Duration::from_millis(120);
/// Shortest retry delay that a caller may be given.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Workspace of the wave, and one that stays within its guaranteed share.
const WAVE: u64 = 1;
const SMALL: u64 = 2;
/// Requests of the small workspace per second.
const SMALL_RATE: f64 = 10.0;
/// When the wave begins, and its length.
const WAVE_START: Duration = Duration::from_secs(3);
const WAVE_LENGTH: Duration = Duration::from_secs(9);
/// Time after which the wave counts as settled.
const SETTLED: Duration = Duration::from_secs(3);
/// Multiple of what fits that the wave requests.
const WAVE_FACTOR: f64 = 10.0;
/// Requests of the wave per second, relative to what fits, before and without the wave.
const QUIET_FACTOR: f64 = 0.2;

/// Work of the event loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Work {
    Sample,
    Report,
    Arrival { workspace: u64, retry: bool },
    Stream { key: u64 },
}

/// Stream under way.
struct Stream {
    /// When its next unread event arrived or will arrive.
    next_at: Instant,
    events_left: u32,
    begun: bool,
}

/// A refused request.
struct Refused {
    at: Instant,
    share: Option<ShareStatus>,
    reason: Reason,
    retry_after: Duration,
}

/// A router with its modelled processor.
struct Host {
    fleet: Fleet,
    /// Share of a core that the router has.
    share: f64,
    /// Requests of the wave per second before and after the wave begins.
    rates: [f64; 2],
    start: Instant,
    now: Instant,
    due: BinaryHeap<Reverse<(Instant, Work)>>,
    ready: VecDeque<(Instant, Work)>,
    busy: Duration,
    sampled_at: Instant,
    streams: BTreeMap<u64, Stream>,
    next_key: u64,
    placed: Vec<(Instant, u64)>,
    refused: Vec<Refused>,
    /// When events were forwarded, and how late.
    lateness: Vec<(Instant, Duration)>,
    /// Changes of the readiness.
    readiness_changes: u32,
}

impl Host {
    fn new(share: f64, rates: [f64; 2]) -> Self {
        let start = Instant::now();
        let mut due = BinaryHeap::new();
        for work in [
            Work::Sample,
            Work::Report,
            Work::Arrival {
                workspace: WAVE,
                retry: false,
            },
            Work::Arrival {
                workspace: SMALL,
                retry: false,
            },
        ] {
            due.push(Reverse((start, work)));
        }
        Self {
            fleet: support::router("r", 64, start),
            share,
            rates,
            start,
            now: start,
            due,
            ready: VecDeque::new(),
            busy: Duration::ZERO,
            sampled_at: start,
            streams: BTreeMap::new(),
            next_key: 0,
            placed: Vec::new(),
            refused: Vec::new(),
            lateness: Vec::new(),
            readiness_changes: 0,
        }
    }

    fn run(mut self) -> Self {
        let end = self.start + WAVE_START + WAVE_LENGTH;
        while self.now < end {
            if self.ready.is_empty()
                && let Some(Reverse((at, _))) = self.due.peek()
            {
                self.now = self.now.max(*at);
            }
            while let Some(Reverse((at, work))) = self.due.peek().copied() {
                if at > self.now {
                    break;
                }
                self.due.pop();
                self.ready.push_back((at, work));
                self.follow(at, work);
            }
            if let Some((at, work)) = self.ready.pop_front() {
                let sheds = self.fleet.sheds();
                let cost = self.work(at, work).div_f64(self.share);
                self.readiness_changes += u32::from(self.fleet.sheds() != sheds);
                self.now += cost;
                self.busy += cost;
            }
        }
        self
    }

    /// Schedules the next arrival of the same kind, whatever the loop does.
    fn follow(&mut self, at: Instant, work: Work) {
        let interval = match work {
            Work::Arrival { retry: true, .. } | Work::Sample | Work::Stream { .. } => return,
            Work::Report => REPORT_INTERVAL,
            Work::Arrival { workspace, .. } if workspace == SMALL => {
                Duration::from_secs_f64(1.0 / SMALL_RATE)
            }
            Work::Arrival { .. } => {
                let in_wave = at >= self.start + WAVE_START;
                Duration::from_secs_f64(1.0 / self.rates[usize::from(in_wave)])
            }
        };
        self.due.push(Reverse((at + interval, work)));
    }

    /// Does the work that became ready at `at`, and returns its cost on a whole core.
    fn work(&mut self, at: Instant, work: Work) -> Duration {
        match work {
            Work::Sample => {
                let lag = self.now - at;
                self.fleet.handle(self.now, Event::LoopLag(lag));
                self.busy = Duration::ZERO;
                self.sampled_at = self.now;
                let next = self.now + SAMPLE_INTERVAL;
                self.due.push(Reverse((next, Work::Sample)));
                SAMPLE_COST
            }
            Work::Report => REPORT_COST,
            Work::Arrival { workspace, retry } => self.arrive(workspace, retry),
            Work::Stream { key } => self.forward(key),
        }
    }

    fn arrive(&mut self, workspace: u64, retry: bool) -> Duration {
        self.next_key += 1;
        let key = self.next_key;
        let prompt = if workspace == WAVE {
            prompt(key % 100, 500)
        } else {
            small_prompt()
        };
        let events = prompt.output / EVENT_TOKENS;
        let request = submission(key, workspace, prompt, self.now);
        let decisions = self.fleet.handle(self.now, Event::Submit(request));
        let refused = decisions.iter().find_map(|d| match d {
            Decision::Fail {
                reason,
                retry_after,
                inputs,
                ..
            } => Some((*reason, *retry_after, *inputs)),
            _ => None,
        });
        let Some((reason, retry_after, inputs)) = refused else {
            self.placed.push((self.now, workspace));
            let next_at = self.now + FIRST_TOKEN;
            let stream = Stream {
                next_at,
                events_left: events,
                begun: false,
            };
            self.streams.insert(key, stream);
            self.due.push(Reverse((next_at, Work::Stream { key })));
            return START_COST;
        };
        self.refused.push(Refused {
            at: self.now,
            share: match inputs {
                Some(RefusalInputs::Router { share, .. }) => Some(share),
                _ => None,
            },
            reason,
            retry_after,
        });
        if !retry {
            let again = Work::Arrival {
                workspace,
                retry: true,
            };
            self.due.push(Reverse((self.now + retry_after, again)));
        }
        REFUSAL_COST
    }

    /// Forwards the events of a stream that have arrived.
    fn forward(&mut self, key: u64) -> Duration {
        let Some(stream) = self.streams.get_mut(&key) else {
            return Duration::ZERO;
        };
        self.lateness.push((self.now, self.now - stream.next_at));
        if !std::mem::replace(&mut stream.begun, true) {
            self.fleet
                .handle(self.now, Event::FirstByte(RequestKey(key)));
        }
        let mut tokens = 0;
        while stream.next_at <= self.now && stream.events_left > 0 {
            stream.next_at += EVENT_INTERVAL;
            stream.events_left -= 1;
            tokens += EVENT_TOKENS;
        }
        let progress = Event::StreamProgress {
            key: RequestKey(key),
            gap: EVENT_INTERVAL * (tokens / EVENT_TOKENS),
            tokens,
        };
        let (next_at, done) = (stream.next_at, stream.events_left == 0);
        self.fleet.handle(self.now, progress);
        if done {
            self.streams.remove(&key);
            let ended = Event::Ended(RequestKey(key), Outcome::Answered);
            self.fleet.handle(self.now, ended);
        } else {
            self.due.push(Reverse((next_at, Work::Stream { key })));
        }
        FORWARD_COST
    }

    /// Returns whether a time lies in the settled part of the wave.
    fn is_settled(&self, at: Instant) -> bool {
        at >= self.start + WAVE_START + SETTLED
    }

    /// Returns the streams of the wave that were placed per second while it is settled.
    #[allow(clippy::cast_precision_loss)]
    fn placed_rate(&self) -> f64 {
        let placed = self.placed.iter();
        let placed = placed.filter(|(at, workspace)| self.is_settled(*at) && *workspace == WAVE);
        placed.count() as f64 / (WAVE_LENGTH - SETTLED).as_secs_f64()
    }

    /// Returns the longest time from an event's arrival to its forwarding.
    fn max_lateness(&self) -> Duration {
        let lateness = self.lateness.iter().map(|(_, late)| *late);
        lateness.max().unwrap_or_default()
    }

    fn router_busy(&self) -> impl Iterator<Item = &Refused> {
        let is_router = |r: &&Refused| r.reason == Reason::RouterBusy;
        self.refused.iter().filter(is_router)
    }
}

/// Returns a prompt of the small workspace.
fn small_prompt() -> Prompt {
    let part = |id| Part { id, tokens: 200 };
    Prompt {
        input: 400,
        output: 100,
        parts: vec![part(7_000), part(u64::MAX)],
    }
}

/// Returns the streams of the wave per second that a share of a core can forward, beside the small
/// workspace's and without refusals.
fn capacity(share: f64) -> f64 {
    let stream = |tokens: u32| START_COST + FORWARD_COST * (tokens / EVENT_TOKENS);
    let small = stream(small_prompt().output).mul_f64(SMALL_RATE);
    let reports = REPORT_COST.div_f64(REPORT_INTERVAL.as_secs_f64());
    let samples = SAMPLE_COST.div_f64(SAMPLE_INTERVAL.as_secs_f64());
    let left = share - (small + reports + samples).as_secs_f64();
    left / stream(prompt(0, 500).output).as_secs_f64()
}

/// Processor shares of the hosts: a tenth of a core, and half of one.
const SHARES: [f64; 2] = [0.12, 0.5];

fn flooded(share: f64) -> Host {
    let fits = capacity(share);
    Host::new(share, [fits * QUIET_FACTOR, fits * WAVE_FACTOR]).run()
}

/// Guards against a router that refuses most of a wave and serves next to nothing (issue 30).
#[test]
fn flood_keeps_streams_that_fit() {
    for share in SHARES {
        let fits = capacity(share);
        // As much as the processor can do, so that the router holds it at its own target.
        let without = Host::new(share, [fits * QUIET_FACTOR, fits]).run();
        let (flooded, without) = (flooded(share).placed_rate(), without.placed_rate());
        assert!(
            without >= 0.75 * fits,
            "{without} of {fits} streams a second fit {share}"
        );
        assert!(
            flooded >= 0.9 * without,
            "{flooded} of {without} streams a second at {share}"
        );
    }
}

/// Guards against streams under way that stall behind a wave of refusals (issue 30).
#[test]
fn flood_forwards_streams_in_time() {
    for share in SHARES {
        let late = flooded(share).max_lateness();
        assert!(late <= FORWARD_BOUND, "{late:?} late at {share}");
    }
}

/// Guards against a flooded router that refuses what is within a guaranteed share (issue 30).
#[test]
fn flood_refuses_nothing_within_share() {
    for share in SHARES {
        let host = flooded(share);
        let router_busy = host.router_busy();
        let within = router_busy.filter(|r| r.share.is_some_and(ShareStatus::is_within));
        assert_eq!(within.count(), 0, "at {share}");
    }
}

/// Guards against refused callers who all come back in the same moment (issue 30).
#[test]
fn flood_spreads_retries() {
    for share in SHARES {
        let host = flooded(share);
        let settled = host.router_busy().filter(|r| host.is_settled(r.at));
        let delays: Vec<Duration> = settled.map(|r| r.retry_after).collect();
        assert!(delays.len() > 100, "{} refusals at {share}", delays.len());
        let mut bins = BTreeMap::new();
        for delay in &delays {
            assert!(*delay >= MIN_RETRY_AFTER, "{delay:?} at {share}");
            *bins.entry(delay.as_millis() / 20).or_insert(0) += 1;
        }
        let most = bins.values().max().copied().unwrap_or(0);
        assert!(most * 4 <= delays.len(), "{bins:?} at {share}");
    }
}

/// Guards against a router that leaves the rotation and returns in turn while it holds its load:
/// each time the wave moves whole to the next router (issue 30).
#[test]
fn flood_leaves_router_ready() {
    for share in SHARES {
        let host = flooded(share);
        assert_eq!(host.readiness_changes, 0, "at {share}");
    }
}
