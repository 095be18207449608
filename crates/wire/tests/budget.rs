//! Bytes that routers exchange, counted under a virtual clock.
//!
//! A fleet of reducers at today's size serves seeded load for half a minute of
//! virtual time. Every message is sealed as on the wire and counted at both of
//! its ends, so that the count is the same on every run. The bound is the
//! users': 6 KB/s at each node, sent and received together.

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
use hibiscusrail_wire::{Keys, Letter};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// Bytes a second at one node.
const BOUND: f64 = 6_000.0;
/// Requests a second at one router.
const RATE: f64 = 9.4;
const ROUTERS: usize = 7;
const WORKSPACES: usize = 16;
const ENGINES: u16 = 10;
const PLAINS: u16 = 3;
/// Time before the count and its own.
const SETTLE: Duration = Duration::from_secs(5);
const COUNTED: Duration = Duration::from_secs(30);
/// One way between two routers.
const TRIP: Duration = Duration::from_millis(1);
/// Time between two reports of a stream's progress.
const PROGRESS: Duration = Duration::from_millis(200);
/// Tokens a second of one stream.
const TOKENS_PER_S: f64 = 40.0;

/// Something that is to happen to a router.
enum Due {
    Event(Event),
    /// The next part of an answer: cost so far and in the end.
    Stream(AttemptKey, f64, f64),
}

struct Fleet {
    now: Instant,
    start: Instant,
    routers: Vec<(RouterId, Router, Keys)>,
    due: BTreeMap<(Instant, u64), (usize, Due)>,
    order: u64,
    costs: BTreeMap<(usize, CallId), f64>,
    bytes: Vec<usize>,
    kinds: BTreeMap<&'static str, usize>,
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
    objects.extend((0..PLAINS).map(|n| server("plain", n)));
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
            due: BTreeMap::new(),
            order: 0,
            costs: BTreeMap::new(),
            bytes: vec![0; ROUTERS],
            kinds: BTreeMap::new(),
            answered: 0,
        };
        for n in 0..ROUTERS {
            fleet.event(n, Event::Objects(objects()));
            fleet.event(n, Event::Join(SocketAddr::from((Ipv4Addr::LOCALHOST, 1))));
        }
        fleet
    }

    fn schedule(&mut self, at: Instant, router: usize, due: Due) {
        self.order += 1;
        self.due.insert((at, self.order), (router, due));
    }

    fn event(&mut self, n: usize, event: Event) {
        let effects = self.routers[n].1.handle(self.now, event);
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send(n, to, message),
                Effect::Dispatch(dispatch) => {
                    let cost = self.costs[&(n, dispatch.call)];
                    let attempt = dispatch.attempt;
                    for milestone in [Milestone::Connected, Milestone::Sent] {
                        let due = Due::Event(Event::Attempt(attempt, milestone));
                        self.schedule(self.now, n, due);
                    }
                    let first = Due::Event(Event::Attempt(attempt, Milestone::FirstByte));
                    self.schedule(self.now + 2 * TRIP, n, first);
                    self.schedule(self.now + 2 * TRIP, n, Due::Stream(attempt, 0.0, cost));
                }
                Effect::Finish(_) => self.answered += 1,
                _ => {}
            }
        }
        if let Some(timer) = self.routers[n].1.next_timer() {
            // A timer that was moved ticks once too often, which does no harm.
            let at = timer.max(self.now);
            let known = self.due.range((at, 0)..(at, u64::MAX));
            let ticks: BTreeSet<usize> = known
                .filter(|(_, (_, due))| matches!(due, Due::Event(Event::Tick)))
                .map(|(_, (router, _))| *router)
                .collect();
            if !ticks.contains(&n) {
                self.schedule(at, n, Due::Event(Event::Tick));
            }
        }
    }

    fn send(&mut self, from: usize, to: RouterId, message: hibiscusrail_core::Message) {
        let kind = message.kind();
        let to_number = self.routers.iter().position(|(id, ..)| *id == to);
        let to_number = to_number.expect("routers know each other only");
        self.order += 1;
        let letter = Letter {
            from: self.routers[from].0,
            incarnation: Incarnation(1),
            seq: self.order,
            to,
            message,
        };
        let length = self.routers[from].2.seal(&letter).len();
        if self.now >= self.start + SETTLE {
            self.bytes[from] += length;
            self.bytes[to_number] += length;
            *self.kinds.entry(kind).or_default() += 2 * length;
        }
        let event = Event::Peer {
            from: letter.from,
            incarnation: letter.incarnation,
            message: letter.message,
        };
        self.schedule(self.now + TRIP, to_number, Due::Event(event));
    }

    fn stream(&mut self, n: usize, attempt: AttemptKey, cost: f64, end: f64) {
        let step = TOKENS_PER_S * PROGRESS.as_secs_f64();
        if cost + step >= end {
            let rest = Duration::from_secs_f64((end - cost) / TOKENS_PER_S);
            let done = Milestone::Done {
                cost: end,
                status: 200,
            };
            let due = Due::Event(Event::Attempt(attempt, done));
            self.schedule(self.now + rest, n, due);
            return;
        }
        let cost = cost + step;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let tokens = cost as u64;
        let progress = Milestone::Progress { cost, tokens };
        let due = Due::Event(Event::Attempt(attempt, progress));
        self.schedule(self.now + PROGRESS, n, due);
        self.schedule(self.now + PROGRESS, n, Due::Stream(attempt, cost, end));
    }

    /// Draws all requests beforehand.
    fn load(&mut self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gaps = Exp::new(RATE).expect("a rate above zero");
        let tokens = LogNormal::new(230_f64.ln(), 0.8).expect("a spread above zero");
        for n in 0..ROUTERS {
            let mut at = Duration::ZERO;
            for number in 0.. {
                at += Duration::from_secs_f64(gaps.sample(&mut rng));
                if at > SETTLE + COUNTED {
                    break;
                }
                let draft = rng.random_bool(0.5);
                let cost = if draft { tokens.sample(&mut rng) } else { 1.0 };
                let workspace = format!("workspace-{}", rng.random_range(0..WORKSPACES));
                let id = CallId(number);
                self.costs.insert((n, id), cost);
                let call = Call {
                    id,
                    request: format!("{n}-{number}"),
                    workspace: WorkspaceId::new(&workspace),
                    service: ServiceId::new(if draft { "model" } else { "plain" }),
                    repeat: Repeat::Idempotent,
                    resumable: draft,
                    hint: None,
                    prefix: None,
                    deadline: self.start + at + Duration::from_secs(30),
                };
                self.schedule(self.start + at, n, Due::Event(Event::Submit(call)));
            }
        }
    }

    fn run(&mut self) {
        while let Some(((at, _), (n, due))) = self.due.pop_first() {
            if at > self.start + SETTLE + COUNTED {
                return;
            }
            self.now = at;
            match due {
                Due::Event(event) => self.event(n, event),
                Due::Stream(attempt, cost, end) => self.stream(n, attempt, cost, end),
            }
        }
    }
}

#[test]
fn control_bytes_at_todays_size() {
    let mut fleet = Fleet::new();
    fleet.load(1);
    fleet.run();
    #[allow(clippy::cast_precision_loss)]
    let most = fleet.bytes.iter().copied().max().unwrap_or(0) as f64 / COUNTED.as_secs_f64();
    println!(
        "most {most:.0} B/s, all {:?}, kinds {:?}, answered {}",
        fleet.bytes, fleet.kinds, fleet.answered
    );
    assert!(fleet.answered > 1_000, "{} answered", fleet.answered);
    assert!(
        most <= BOUND,
        "{most:.0} B/s, by kind over all routers {:?}",
        fleet.kinds
    );
}
