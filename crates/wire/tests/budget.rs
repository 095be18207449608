//! Volume of the messages between routers, measured under a virtual clock.
//!
//! A fleet of reducers of the size that users run serves seeded load for 30 s of virtual time.
//! Every message is sealed as on the wire and its length counted at sender and receiver, so every
//! run gives the same result. Users require at most 6 KB/s per node, sent and received together.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use hibiscusrail_core::configuration::{
    Admission, Object, Server, Service, ServiceKind, Version, Workspace, Zone,
};
use hibiscusrail_core::event::{Call, Milestone, Repeat};
use hibiscusrail_core::membership::{Member, MemberState};
use hibiscusrail_core::{
    AttemptKey, CallId, Effect, Event, Incarnation, Params, Router, RouterId, ServiceId,
    WorkspaceId, ZoneId,
};
use hibiscusrail_wire::{Keys, PeerMessage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// Maximum rate of bytes sent and received by one router, in bytes per second.
const MAX_BYTE_RATE: f64 = 6_000.0;
/// Requests per second that each router receives.
const REQUEST_RATE: f64 = 9.4;
const ROUTERS: usize = 7;
const WORKSPACES: usize = 16;
const ENGINES: u16 = 10;
const PLAIN_SERVERS: u16 = 3;
/// Time before bytes are counted.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time during which bytes are counted.
const MEASURE_TIME: Duration = Duration::from_secs(30);
/// One-way delay between two routers.
const DELAY: Duration = Duration::from_millis(1);
/// Interval between the progress events of a stream.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Output tokens per second of one stream.
const TOKENS_PER_S: f64 = 40.0;

/// What happens to a router at a scheduled time.
enum Action {
    Event(Event),
    /// The next part of a streamed answer: its cost so far and its final cost.
    Stream(AttemptKey, f64, f64),
}

struct Fleet {
    now: Instant,
    start: Instant,
    routers: Vec<(RouterId, Router, Keys)>,
    /// Scheduled actions with the index of their router, by time and then by order of scheduling.
    queue: BTreeMap<(Instant, u64), (usize, Action)>,
    /// Last number given to a scheduled action or a message.
    last_number: u64,
    /// Final cost of each request, by the index of its router and its call.
    costs: BTreeMap<(usize, CallId), f64>,
    /// Bytes sent and received by each router.
    bytes: Vec<usize>,
    /// Bytes sent and received over all routers, by kind of message.
    bytes_by_kind: BTreeMap<&'static str, usize>,
    answered: usize,
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(["a", "b", "c"][number % 3])
}

fn server(service: &str, number: u16) -> Object {
    Object::Server(Server {
        name: format!("{service}-{number}"),
        service: ServiceId::new(service),
        zone: zone(usize::from(number)),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        cold_limit: 4,
        max_limit: 32,
        admission: Admission::Open,
    })
}

fn objects() -> Vec<(Version, Object)> {
    let mut objects = Vec::new();
    for (name, kind) in [("model", ServiceKind::Model), ("plain", ServiceKind::Plain)] {
        objects.push(Object::Service(Service {
            name: name.to_owned(),
            kind,
            prompt_weight: 0.1,
            output_weight: 1.0,
        }));
    }
    for name in ["a", "b", "c"] {
        objects.push(Object::Zone(Zone {
            name: name.to_owned(),
            admission: Admission::Open,
        }));
    }
    objects.extend((0..ENGINES).map(|n| server("model", n)));
    objects.extend((0..PLAIN_SERVERS).map(|n| server("plain", n)));
    objects.extend((0..WORKSPACES).map(|n| {
        Object::Workspace(Workspace {
            name: format!("workspace-{n}"),
            share: if n < 3 { 4.0 } else { 1.0 },
            key_hash: [u8::try_from(n).expect("few workspaces"); 32],
            queue_limit: 1_000,
            retry_fraction: 0.1,
        })
    }));
    objects.into_iter().map(|o| (Version(1), o)).collect()
}

impl Fleet {
    fn new() -> Self {
        let start = Instant::now();
        let ids: Vec<RouterId> = (0..ROUTERS)
            .map(|n| RouterId::new(&format!("router-{n}")))
            .collect();
        let mut routers = Vec::new();
        for (n, me) in ids.iter().enumerate() {
            let mut router = Router::new(*me, zone(n), Incarnation(1), Params::new(), start);
            for (other, id) in ids.iter().enumerate().filter(|(_, id)| *id != me) {
                let member = Member {
                    zone: zone(other),
                    state: MemberState::Alive,
                };
                router.add_member(*id, member);
            }
            routers.push((*me, router, Keys::new(*me, b"secret")));
        }
        let mut fleet = Self {
            now: start,
            start,
            routers,
            queue: BTreeMap::new(),
            last_number: 0,
            costs: BTreeMap::new(),
            bytes: vec![0; ROUTERS],
            bytes_by_kind: BTreeMap::new(),
            answered: 0,
        };
        for n in 0..ROUTERS {
            fleet.event(n, Event::ConfigRead(objects()));
            fleet.event(n, Event::Join(SocketAddr::from((Ipv4Addr::LOCALHOST, 1))));
        }
        fleet
    }

    fn schedule(&mut self, at: Instant, router: usize, action: Action) {
        self.last_number += 1;
        self.queue.insert((at, self.last_number), (router, action));
    }

    /// Lets router `n` handle an event and simulates the effects.
    fn event(&mut self, n: usize, event: Event) {
        let effects = self.routers[n].1.handle(self.now, event);
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send(n, to, message),
                Effect::Dispatch(dispatch) => {
                    let cost = self.costs[&(n, dispatch.call)];
                    let attempt = dispatch.attempt;
                    for milestone in [Milestone::Connected, Milestone::Sent] {
                        let action = Action::Event(Event::Attempt(attempt, milestone));
                        self.schedule(self.now, n, action);
                    }
                    let first = Action::Event(Event::Attempt(attempt, Milestone::FirstByte));
                    self.schedule(self.now + 2 * DELAY, n, first);
                    self.schedule(self.now + 2 * DELAY, n, Action::Stream(attempt, 0.0, cost));
                }
                Effect::Finish(_) => self.answered += 1,
                _ => {}
            }
        }
        if let Some(timer) = self.routers[n].1.next_timer() {
            // A tick that was scheduled for an earlier timer remains; an extra tick is harmless.
            let at = timer.max(self.now);
            let scheduled = self.queue.range((at, 0)..(at, u64::MAX));
            let ticks: BTreeSet<usize> = scheduled
                .filter(|(_, (_, action))| matches!(action, Action::Event(Event::Tick)))
                .map(|(_, (router, _))| *router)
                .collect();
            if !ticks.contains(&n) {
                self.schedule(at, n, Action::Event(Event::Tick));
            }
        }
    }

    fn send(&mut self, from: usize, to: RouterId, message: hibiscusrail_core::Message) {
        let kind = message.kind();
        let receiver = self.routers.iter().position(|(id, ..)| *id == to);
        let receiver = receiver.expect("the receiver is one of the routers");
        self.last_number += 1;
        let peer_message = PeerMessage {
            from: self.routers[from].0,
            incarnation: Incarnation(1),
            seq: self.last_number,
            to,
            message,
        };
        let length = self.routers[from].2.seal(&peer_message).len();
        if self.now >= self.start + SETTLE_TIME {
            self.bytes[from] += length;
            self.bytes[receiver] += length;
            *self.bytes_by_kind.entry(kind).or_default() += 2 * length;
        }
        let event = Event::Peer {
            from: peer_message.from,
            incarnation: peer_message.incarnation,
            message: peer_message.message,
        };
        self.schedule(self.now + DELAY, receiver, Action::Event(event));
    }

    /// Schedules the next progress event of a stream, or its end.
    fn stream(&mut self, n: usize, attempt: AttemptKey, cost: f64, end: f64) {
        let step = TOKENS_PER_S * PROGRESS_INTERVAL.as_secs_f64();
        if cost + step >= end {
            let remaining = Duration::from_secs_f64((end - cost) / TOKENS_PER_S);
            let done = Milestone::Done {
                cost: end,
                status: 200,
            };
            let action = Action::Event(Event::Attempt(attempt, done));
            self.schedule(self.now + remaining, n, action);
            return;
        }
        let cost = cost + step;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let tokens = cost as u64;
        let progress = Milestone::Progress { cost, tokens };
        let action = Action::Event(Event::Attempt(attempt, progress));
        self.schedule(self.now + PROGRESS_INTERVAL, n, action);
        self.schedule(
            self.now + PROGRESS_INTERVAL,
            n,
            Action::Stream(attempt, cost, end),
        );
    }

    fn schedule_requests(&mut self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let intervals = Exp::new(REQUEST_RATE).expect("the rate is positive");
        let tokens = LogNormal::new(230_f64.ln(), 0.8).expect("the deviation is positive");
        for n in 0..ROUTERS {
            let mut at = Duration::ZERO;
            for number in 0.. {
                at += Duration::from_secs_f64(intervals.sample(&mut rng));
                if at > SETTLE_TIME + MEASURE_TIME {
                    break;
                }
                let model = rng.random_bool(0.5);
                let cost = if model { tokens.sample(&mut rng) } else { 1.0 };
                let workspace = format!("workspace-{}", rng.random_range(0..WORKSPACES));
                let id = CallId(number);
                self.costs.insert((n, id), cost);
                let call = Call {
                    id,
                    request: format!("{n}-{number}"),
                    workspace: WorkspaceId::new(&workspace),
                    service: ServiceId::new(if model { "model" } else { "plain" }),
                    repeat: Repeat::Idempotent,
                    resumable: model,
                    cost_hint: None,
                    prefix: None,
                    deadline: self.start + at + Duration::from_secs(30),
                };
                self.schedule(self.start + at, n, Action::Event(Event::Submit(call)));
            }
        }
    }

    fn run(&mut self) {
        while let Some(((at, _), (n, action))) = self.queue.pop_first() {
            if at > self.start + SETTLE_TIME + MEASURE_TIME {
                return;
            }
            self.now = at;
            match action {
                Action::Event(event) => self.event(n, event),
                Action::Stream(attempt, cost, end) => self.stream(n, attempt, cost, end),
            }
        }
    }
}

#[test]
fn control_bytes_at_todays_size() {
    let mut fleet = Fleet::new();
    fleet.schedule_requests(1);
    fleet.run();
    #[allow(clippy::cast_precision_loss)]
    let max_rate =
        fleet.bytes.iter().copied().max().unwrap_or(0) as f64 / MEASURE_TIME.as_secs_f64();
    println!(
        "most {max_rate:.0} B/s, all {:?}, kinds {:?}, answered {}",
        fleet.bytes, fleet.bytes_by_kind, fleet.answered
    );
    assert!(fleet.answered > 1_000, "{} answered", fleet.answered);
    assert!(
        max_rate <= MAX_BYTE_RATE,
        "{max_rate:.0} B/s, by kind over all routers {:?}",
        fleet.bytes_by_kind
    );
}
