//! When a router leaves the rotation and returns to it, by its room for streams.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::{Part, Prompt};
use hibiscusrail_fleet::pressure::Connection;
use hibiscusrail_fleet::quota::WorkspaceHash;
use hibiscusrail_fleet::rotation::LoopUse;
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, sent_to, submission};

/// Interval of the observations of the event loop.
const PERIOD: Duration = Duration::from_millis(25);
/// Workspace of the wave, and another one.
const WAVE: u64 = 1;
const OTHER: u64 = 2;
/// Fraction of its time that a router's control work uses.
const CONTROL: f64 = 0.15;
/// Time in which the cost of a stream is learned, and in which the platform notices a router's leaving.
const LEARNING_TIME: Duration = Duration::from_secs(2);
const NOTICE_TIME: Duration = Duration::from_secs(2);
/// Delay that a refused caller is told otherwise.
const SHORT_DELAY: Duration = Duration::from_millis(300);
/// Streams while the cost is learned.
const CALM_STREAMS: u64 = 10;

/// A router whose streams each use the same fraction of its time.
struct Host {
    fleet: Fleet,
    now: Instant,
    stream_cost: f64,
    control: f64,
    streams: u64,
    ended: u64,
}

fn prompt(tokens: u32) -> Prompt {
    Prompt {
        input: tokens,
        output: 100,
        parts: vec![Part {
            id: u64::MAX,
            tokens,
        }],
    }
}

impl Host {
    /// Returns a router that has learned the cost of a stream and has the streams of calm.
    fn new(stream_cost: f64) -> Self {
        let now = Instant::now();
        let fleet = support::router("r", 64, now);
        let mut host = Self {
            fleet,
            now,
            stream_cost,
            control: CONTROL,
            streams: 0,
            ended: 0,
        };
        for _ in 0..CALM_STREAMS {
            host.begin(OTHER);
        }
        host.observe(LEARNING_TIME, Duration::ZERO);
        host
    }

    /// Observes the event loop for a while, at this lag.
    #[allow(clippy::cast_precision_loss)]
    fn observe(&mut self, time: Duration, lag: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += PERIOD;
            let used = LoopUse {
                control: self.control,
                requests: self.stream_cost * (self.streams - self.ended) as f64,
            };
            self.fleet.handle(self.now, Event::LoopUse(used));
            self.fleet.handle(self.now, Event::LoopLag(lag));
        }
    }

    /// Begins a stream that was admitted.
    fn begin(&mut self, workspace: u64) {
        self.streams += 1;
        support::hear_servers(&mut self.fleet, self.now);
        let request = submission(self.streams, workspace, prompt(500), self.now);
        let decisions = self.fleet.handle(self.now, Event::SubmitAdmitted(request));
        assert!(sent_to(&decisions).is_some(), "{decisions:?}");
        let begun = Event::FirstByte(RequestKey(self.streams));
        self.fleet.handle(self.now, begun);
    }

    /// Ends so many streams, the oldest ones first.
    fn end(&mut self, count: u64) {
        for _ in 0..count {
            self.ended += 1;
            let ended = Event::Ended(RequestKey(self.ended), Outcome::Answered);
            self.fleet.handle(self.now, ended);
        }
    }

    /// Returns the delay that the caller of a refused stream is told.
    fn refusal(&mut self, workspace: u64, connection: Connection) -> Option<Duration> {
        let workspace = Some(WorkspaceHash(workspace));
        let prompt = prompt(500);
        let delay = self
            .fleet
            .overloaded(self.now, workspace, Some(&prompt), connection);
        delay.map(|d| d.notice + d.spread)
    }

    /// Begins streams of the wave on new connections until one is refused; returns how many there were.
    fn fill(&mut self) -> u64 {
        // The wave is then most of what is requested.
        for _ in 0..CALM_STREAMS {
            let _ = self.refusal(WAVE, Connection::Kept);
        }
        for count in 0..1_000 {
            if self.refusal(WAVE, Connection::New).is_some() {
                return count;
            }
            self.begin(WAVE);
        }
        panic!("the router is never full");
    }
}

/// Guards against a router that notices only by its lag that it is full (issue 68).
#[test]
fn rotation_full_router_leaves_before_it_is_late() {
    let mut host = Host::new(0.01);
    host.fill();
    assert!(host.fleet.sheds());
    assert!(!host.fleet.is_late());
}

/// Guards against a bound on streams that fits one kind of host alone.
#[test]
fn rotation_small_router_is_full_with_fewer_streams() {
    let (small, large) = (Host::new(0.01).fill(), Host::new(0.002).fill());
    assert!(small * 3 < large, "{small} and {large} streams");
}

/// Guards against the refusal of streams on kept connections at a router that is only full: it closes them,
/// and their callers come back on new ones as a crowd.
#[test]
fn rotation_full_router_serves_kept_connections() {
    let mut host = Host::new(0.01);
    host.fill();
    host.observe(NOTICE_TIME + PERIOD, Duration::ZERO);
    assert!(host.refusal(WAVE, Connection::New).is_some());
    assert_eq!(host.refusal(WAVE, Connection::Kept), None);
}

/// Guards against the refusal of workspaces that didn't fill the router.
#[test]
fn rotation_full_router_serves_other_workspaces() {
    let mut host = Host::new(0.01);
    host.fill();
    assert_eq!(host.refusal(OTHER, Connection::New), None);
}

/// Guards against callers who come back while new connections still go to the router that refused them.
#[test]
fn rotation_refused_callers_return_when_platform_has_noticed() {
    let mut host = Host::new(0.01);
    host.fill();
    let early = host.refusal(WAVE, Connection::New);
    host.observe(NOTICE_TIME + PERIOD, Duration::ZERO);
    let late = host.refusal(WAVE, Connection::New);
    assert!(early.is_some_and(|d| d >= NOTICE_TIME), "{early:?}");
    assert_eq!(late, Some(SHORT_DELAY));
}

/// Guards against a router that returns while its connections still fill it.
#[test]
fn rotation_router_returns_when_it_has_room() {
    let mut host = Host::new(0.01);
    let streams = host.fill();
    host.observe(Duration::from_secs(6), Duration::ZERO);
    assert!(host.fleet.sheds());
    host.end(streams);
    host.observe(Duration::from_secs(2), Duration::ZERO);
    assert!(!host.fleet.sheds());
}

/// Guards against a small router of a large deployment that never returns, since its reports use most of
/// its time.
#[test]
fn rotation_router_with_much_control_work_returns() {
    let mut host = Host::new(0.01);
    let streams = host.fill();
    host.control = 0.8;
    host.end(streams + CALM_STREAMS);
    host.observe(Duration::from_secs(6), Duration::ZERO);
    assert!(!host.fleet.sheds());
}

/// Guards against a cost that is learned from a late loop, which forwards several events at once: the
/// router would take more streams than before.
#[test]
fn rotation_cost_is_not_learned_while_late() {
    let expected = Host::new(0.01).fill();
    let mut host = Host::new(0.01);
    host.stream_cost = 0.001;
    host.observe(Duration::from_secs(1), Duration::from_millis(200));
    host.stream_cost = 0.01;
    host.observe(PERIOD * 8, Duration::ZERO);
    let streams = host.fill();
    assert!(streams <= expected + 1, "{streams} for {expected} streams");
}

/// Guards against a router that leaves the rotation for what it uses while it starts, without any stream.
#[test]
fn rotation_start_of_router_is_no_overload() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    let busy = LoopUse {
        control: 1.0,
        requests: 1.0,
    };
    for turn in 0..40 {
        let at = now + PERIOD * turn;
        fleet.handle(at, Event::LoopUse(busy));
        fleet.handle(at, Event::LoopLag(Duration::ZERO));
    }
    assert!(!fleet.sheds());
    assert!(!fleet.may_refuse_streams());
}
