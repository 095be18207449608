//! Time that a router of a large deployment takes for its decisions.
//!
//! 140 engines, 77 routers and 30 workspaces: a request that is placed, one that is refused because
//! every engine is full, and a report from another router.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hibiscusrail_fleet::engine::{Part, Prompt};
use hibiscusrail_fleet::model::Learn;
use hibiscusrail_fleet::objects::{
    Backend, Deployment, EngineFacts, Limits, OperatorConfig, Repeat, Revision, Servers, Service,
    TransferFacts,
};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::quota::WorkspaceHash;
use hibiscusrail_fleet::retry::RetryBound;
use hibiscusrail_fleet::unrecorded::Shard;
use hibiscusrail_fleet::{Event, Fleet, Outcome, Params, RequestKey, Submission};

const ENGINES: u16 = 140;
const ROUTERS: usize = 77;
const WORKSPACES: u64 = 30;
const SERVICE: &str = "engines";

fn params() -> Params {
    Params {
        zone: "a".to_owned(),
        cold_factor: 1.5,
        cold_slack: 5.0,
        drain_bound: Duration::from_secs(2),
        config_bound: Duration::from_secs(2),
        quota_window: Duration::from_secs(4),
        retries: RetryBound {
            ratio: 0.2,
            constant: 194.0,
            window: Duration::from_secs(10),
        },
        report_period: Duration::from_millis(100),
        report_ttl: Duration::from_millis(1_500),
        rollout: None,
        read_rate: 55.0,
        step_time: Duration::from_micros(2_900),
        step_each: Duration::from_micros(100),
        learn: Learn::Auto,
        routers: ROUTERS,
        check_in: Duration::from_millis(1_200),
        restart_time: Duration::from_millis(250),
        lapse_grace: Duration::from_millis(2_500),
        store_ttl: Duration::from_millis(1_500),
        store_silence: Duration::from_millis(1_000),
    }
}

fn config() -> OperatorConfig {
    let service = Service {
        health: "/health".to_owned(),
        connections: 590,
        cold_time: Duration::from_secs(3),
        cold_rate: 7.8,
        engine: Some(EngineFacts {
            slots: 16,
            memory: 427_249,
            event_tokens: 10,
            copies: Some(TransferFacts {
                token_bytes: 18_432,
                rate: 35e9,
            }),
        }),
    };
    OperatorConfig {
        deployment: Some(Deployment {
            version: 1,
            routes: Vec::new(),
            services: BTreeMap::from([(SERVICE.to_owned(), service)]),
            workspaces: Vec::new(),
            limits: Limits {
                head_bytes: 16 << 10,
                body_bytes: 4 << 20,
                idle: Duration::from_secs(15),
                throughput: 3_000_000.0,
                head_timeout: None,
            },
        }),
        evacuated: Default::default(),
        rollouts: Default::default(),
    }
}

fn servers() -> Servers {
    let engine = |number: u16| Backend {
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000 + number)),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        leaving: false,
        lapsed: false,
        slots: 16,
        cold: Duration::ZERO,
        sequence: 1,
        born: 1,
    };
    (0..ENGINES).map(|n| (format!("e{n}"), engine(n))).collect()
}

fn router(name: &str, now: Instant) -> Fleet {
    let mut fleet = Fleet::new(name, 1, params(), now);
    fleet.handle(now, Event::Config(Revision(1), config()));
    fleet.handle(now, Event::Servers(Revision(1), servers()));
    let names = (0..ROUTERS).map(|n| format!("r{n}")).collect();
    fleet.handle(now, Event::Members(names));
    fleet
}

fn submission(key: u64, now: Instant) -> Submission {
    let part = |id, tokens| Part { id, tokens };
    Submission {
        key: RequestKey(key),
        workspace: Some(WorkspaceHash(key % WORKSPACES)),
        fingerprint: key,
        service: SERVICE.to_owned(),
        prompt: Some(Prompt {
            input: 8_000,
            output: 400,
            parts: vec![
                part(key % 3, 500),
                part(1_000 + key % 500, 5_000),
                part(u64::MAX - key, 2_500),
            ],
        }),
        target: now + Duration::from_millis(800),
        deadline: now + Duration::from_secs(12),
        repeat: Repeat::Once,
        resumable: true,
        max_attempts: 2,
        version: None,
        goes_on: false,
        shard: Shard::default(),
        rank: 0,
        max_pause: None,
    }
}

/// Submits requests until the router has refused many.
fn fill(fleet: &mut Fleet, now: Instant) {
    for key in 0..4_000 {
        fleet.handle(now, Event::Submit(submission(key, now)));
    }
}

fn decide(c: &mut Criterion) {
    let start = Instant::now();
    let mut fleet = router("r0", start);
    let mut key = 10_000;
    let mut now = start;
    c.bench_function("submit_placed", |b| {
        b.iter(|| {
            key += 1;
            now += Duration::from_millis(2);
            let decisions = fleet.handle(now, Event::Submit(submission(key, now)));
            fleet.handle(now, Event::FirstByte(RequestKey(key)));
            fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Answered));
            black_box(decisions)
        });
    });
    let mut fleet = router("r0", start);
    fill(&mut fleet, start);
    c.bench_function("submit_refused", |b| {
        b.iter(|| {
            key += 1;
            black_box(fleet.handle(start, Event::Submit(submission(key, start))))
        });
    });
    let mut sender = router("r1", start);
    for key in 0..100 {
        sender.handle(start, Event::Submit(submission(key, start)));
    }
    let mut receiver = router("r0", start);
    c.bench_function("report_taken", |b| {
        b.iter_batched(
            || sender.report(start, Scope::All),
            |report| black_box(receiver.handle(start, Event::Report(report))),
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, decide);
criterion_main!(benches);
