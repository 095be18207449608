//! Deployment of engines and plain servers for the tests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::{Part, Prompt};
use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::freshness::{Confirmation, Source};
use hibiscusrail_fleet::model::Learn;
use hibiscusrail_fleet::objects::{
    Backend, Deployment, EngineFacts, Limits, OperatorConfig, Repeat, Revision, Route, Servers,
    Service, Target, TransferFacts, Workspace,
};
use hibiscusrail_fleet::quota::WorkspaceHash;
use hibiscusrail_fleet::registry::ServerKey;
use hibiscusrail_fleet::retry::RetryBound;
use hibiscusrail_fleet::unrecorded::Shard;
use hibiscusrail_fleet::{Decision, Event, Fleet, Params, RequestKey, Submission};

/// Name of the service with engines.
pub const ENGINES: &str = "engines";
/// Name of the plain service.
pub const PLAIN: &str = "plain";
/// Guaranteed throughput in tokens per second; less than one engine can prefill.
pub const THROUGHPUT: f64 = 20_000.0;

/// Returns parameters of a typical deployment.
pub fn params() -> Params {
    Params {
        zone: "a".to_owned(),
        cold_factor: 1.5,
        cold_slack: 5.0,
        drain_bound: Duration::from_secs(2),
        config_bound: Duration::from_secs(2),
        quota_window: Duration::from_secs(4),
        retries: RetryBound {
            ratio: 0.2,
            constant: 54.0,
            window: Duration::from_secs(10),
        },
        report_period: Duration::from_millis(100),
        report_ttl: Duration::from_millis(1_500),
        rollout: None,
        read_rate: 55.0,
        step_time: Duration::from_micros(2_900),
        step_each: Duration::from_micros(100),
        learn: Learn::Auto,
        restart_time: Duration::from_millis(250),
        routers: 8,
        check_in: Duration::from_millis(1_200),
        lapse_grace: Duration::from_millis(2_500),
        store_ttl: Duration::from_millis(1_500),
        store_silence: Duration::from_millis(1_000),
    }
}

fn service(engine: Option<EngineFacts>) -> Service {
    let cold = engine.is_some();
    Service {
        health: "/health".to_owned(),
        connections: 360,
        cold_time: Duration::from_secs(if cold { 3 } else { 0 }),
        cold_rate: if cold { 10.0 } else { 0.0 },
        engine,
    }
}

fn route(service: &str, repeat: Repeat) -> Route {
    Route {
        name: service.to_owned(),
        host: "host".to_owned(),
        prefix: format!("/{service}/"),
        targets: vec![Target {
            service: service.to_owned(),
            weight: 1,
        }],
        repeat,
        stream: service == ENGINES,
        resumable: service == ENGINES,
        public: false,
        timeout: Duration::from_secs(12),
        target: Duration::from_secs(1),
        attempts: 2,
        max_pause: None,
        rank: None,
    }
}

/// Returns the operator configuration with the given zones evacuated.
pub fn config(evacuated: &[&str]) -> OperatorConfig {
    let facts = EngineFacts {
        slots: 64,
        memory: 460_000,
        event_tokens: 7,
        copies: Some(TransferFacts {
            token_bytes: 18_432,
            rate: 35e9,
        }),
    };
    let deployment = Deployment {
        version: 1,
        routes: vec![
            route(ENGINES, Repeat::Once),
            route(PLAIN, Repeat::Idempotent),
        ],
        services: BTreeMap::from([
            (ENGINES.to_owned(), service(Some(facts))),
            (PLAIN.to_owned(), service(None)),
        ]),
        workspaces: vec![Workspace {
            name: "w".to_owned(),
            keys: vec!["key".to_owned()],
            rank: None,
        }],
        limits: Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle: Duration::from_secs(15),
            throughput: THROUGHPUT,
            head_timeout: None,
        },
    };
    OperatorConfig {
        deployment: Some(deployment),
        evacuated: evacuated
            .iter()
            .map(|z| (*z).to_owned())
            .collect::<BTreeSet<_>>(),
        rollouts: BTreeMap::new(),
    }
}

/// Returns the registration of a warm server in zone `a`.
pub fn backend(service: &str, number: u16) -> Backend {
    Backend {
        service: service.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000 + number)),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        leaving: false,
        lapsed: false,
        slots: if service == ENGINES { 64 } else { 6 },
        cold: Duration::ZERO,
        sequence: 1,
        born: 1,
    }
}

/// Returns the registrations of the given number of engines and three plain servers.
pub fn servers(engines: u16) -> Servers {
    let mut servers = Servers::new();
    for number in 0..engines {
        servers.insert(format!("e{number}"), backend(ENGINES, number));
    }
    for number in 0..3 {
        servers.insert(format!("p{number}"), backend(PLAIN, 100 + number));
    }
    servers
}

/// Returns a router that knows the deployment and, for some time, that the table of routers lists it
/// alone.
pub fn router(name: &str, engines: u16, now: Instant) -> Fleet {
    let mut fleet = Fleet::new(name, 1, params(), now);
    let earlier = now - Duration::from_secs(2);
    fleet.handle(earlier, Event::Members(vec![name.to_owned()]));
    fleet.handle(now, Event::Config(Revision(1), config(&[])));
    fleet.handle(now, Event::Servers(Revision(1), servers(engines)));
    hear_servers(&mut fleet, now);
    fleet
}

/// Answers the health checks among the decisions of a router by warm servers.
pub fn answer_checks(fleet: &mut Fleet, now: Instant, decisions: &[Decision]) {
    for decision in decisions {
        if let Decision::Check(check) = decision {
            fleet.handle(now, Event::ServerChecked(check.server, now, Duration::ZERO));
        }
    }
}

/// Returns the key of the first server of a service.
pub fn key_of(fleet: &Fleet, service: &str) -> ServerKey {
    let mut keys = fleet.registry().of_service(service);
    keys.next().expect("there is a server").0
}

/// Returns the keys of all engines that a router knows.
pub fn engine_keys(fleet: &Fleet) -> Vec<ServerKey> {
    let engines = fleet.registry().of_service(ENGINES);
    engines.map(|(key, _)| key).collect()
}

/// Has a router hear of all its engines that they are warm.
pub fn hear_servers(fleet: &mut Fleet, now: Instant) {
    for key in engine_keys(fleet) {
        fleet.handle(now, Event::ServerChecked(key, now, Duration::ZERO));
    }
}

/// Records that the store confirmed the list of a revision to a router.
pub fn confirm_list(fleet: &mut Fleet, revision: u64, at: Instant) {
    let confirmation = Confirmation {
        revision: Revision(revision),
        complete: Revision(revision),
        at,
        source: Source::Store,
    };
    fleet.handle(at, Event::ServersConfirmed(confirmation));
}

/// Returns a prompt whose shared part `shared` has 5,000 tokens.
pub fn prompt(shared: u64, own: u32) -> Prompt {
    Prompt {
        input: 5_000 + own,
        output: 300,
        parts: vec![
            Part {
                id: shared,
                tokens: 5_000,
            },
            Part {
                id: u64::MAX,
                tokens: own,
            },
        ],
    }
}

/// Returns a resumable request for an engine.
pub fn submission(key: u64, workspace: u64, prompt: Prompt, now: Instant) -> Submission {
    Submission {
        key: RequestKey(key),
        workspace: Some(WorkspaceHash(workspace)),
        fingerprint: key,
        service: ENGINES.to_owned(),
        prompt: Some(prompt),
        target: now + Duration::from_secs(1),
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

/// Returns a request for a plain server.
pub fn plain(key: u64, repeat: Repeat, now: Instant) -> Submission {
    Submission {
        key: RequestKey(key),
        workspace: None,
        fingerprint: key,
        service: PLAIN.to_owned(),
        prompt: None,
        target: now + Duration::from_millis(300),
        deadline: now + Duration::from_secs(3),
        repeat,
        resumable: false,
        max_attempts: 2,
        version: None,
        goes_on: false,
        shard: Shard::default(),
        rank: 0,
        max_pause: None,
    }
}

/// Returns the id of the server that a request is sent to.
pub fn sent_to(decisions: &[Decision]) -> Option<&str> {
    decisions.iter().find_map(|d| match d {
        Decision::Send { id, .. } => Some(id.as_str()),
        _ => None,
    })
}

/// Returns why a request fails.
pub fn failure_reason(decisions: &[Decision]) -> Option<Reason> {
    decisions.iter().find_map(|d| match d {
        Decision::Fail { reason, .. } => Some(*reason),
        _ => None,
    })
}
