//! A router with its configuration and servers, and clients' requests, for the benchmarks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_core::SystemClock;
use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::engine::{Part, Prompt};
use hibiscusrail_fleet::objects::{
    Backend, Deployment, EngineFacts, Limits, OperatorConfig, Repeat, Revision, Route, Service,
    Target, Workspace,
};
use hibiscusrail_front::protocol::Protocol;
use hibiscusrail_front::shell::Shell;
use hibiscusrail_settings::FrontSettings;
use http::{HeaderMap, HeaderName};
use rustix::time::{ClockId, clock_gettime};

/// Number of workspaces.
pub const WORKSPACES: usize = 30;
/// Number of registered engines.
const ENGINES: u16 = 90;
/// Size of a request's body in bytes.
pub const BODY_BYTES: usize = 2_000;

const SETTINGS: &str = "[front]
name = r
zone = a
listen = 127.0.0.1:1
ready_listen = 127.0.0.1:2
peer_listen = 127.0.0.1:3
metrics_listen = 127.0.0.1:4
[store]
address = 127.0.0.1:5
";

/// Returns the prompt of every request.
pub fn prompt() -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        input: 1_460,
        output: 80,
        parts: vec![part(1, 800), part(2, 410), part(3, 250)],
    }
}

/// Returns the names on the wire.
pub fn protocol() -> Protocol {
    Protocol {
        request_id: HeaderName::from_static("x-id"),
        deadline: HeaderName::from_static("x-wait-ms"),
        last_event_id: HeaderName::from_static("last-event-id"),
        resumes: HeaderName::from_static("x-resumes"),
        seal: HeaderName::from_static("x-seal"),
        workspace: HeaderName::from_static("x-workspace"),
        expect_server: HeaderName::from_static("x-server"),
        kv_source: HeaderName::from_static("x-copy-from"),
        not_run: HeaderName::from_static("x-not-run"),
        leaving: HeaderName::from_static("x-leaving"),
        rate: HeaderName::from_static("x-rate"),
        server: HeaderName::from_static("x-answered-by"),
        cold: HeaderName::from_static("x-cold"),
        reserved: Vec::new(),
        ready_path: "/ready",
        load: |_| Ok(None),
        prompt: |_: &HeaderMap| Some(prompt()),
    }
}

fn deployment() -> Deployment {
    let routes = (0..8).map(|n| Route {
        name: format!("route{n}"),
        host: "host.example".to_owned(),
        prefix: format!("/route{n}/"),
        targets: vec![Target {
            service: "engines".to_owned(),
            weight: 1,
        }],
        repeat: Repeat::Once,
        stream: true,
        resumable: true,
        public: false,
        timeout: Duration::from_secs(12),
        target: Duration::from_millis(800),
        attempts: 2,
        max_pause: None,
        rank: None,
    });
    let service = Service {
        health: "/health".to_owned(),
        connections: 590,
        cold_time: Duration::ZERO,
        cold_rate: 0.0,
        engine: Some(EngineFacts {
            slots: 16,
            memory: 427_249,
            event_tokens: 10,
            copies: None,
        }),
    };
    let workspaces = (0..WORKSPACES).map(|n| Workspace {
        name: format!("workspace{n}"),
        keys: vec![format!("key{n}")],
        rank: None,
    });
    Deployment {
        version: 1,
        routes: routes.collect(),
        services: BTreeMap::from([("engines".to_owned(), service)]),
        workspaces: workspaces.collect(),
        limits: Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle: Duration::from_secs(15),
            throughput: 3_000_000.0,
            head_timeout: None,
        },
    }
}

/// Returns a router without servers.
pub fn empty_shell() -> Rc<Shell> {
    let settings = FrontSettings::parse("bench", SETTINGS).expect("the settings are valid");
    let shell = Rc::new(Shell::new(settings, protocol(), Box::new(SystemClock)));
    let config = OperatorConfig {
        deployment: Some(deployment()),
        evacuated: BTreeSet::new(),
        rollouts: BTreeMap::new(),
    };
    shell.handle(Event::Config(Revision(1), config));
    shell
}

/// Returns a router whose servers all have the address `engines`.
pub fn shell(engines: SocketAddr) -> Rc<Shell> {
    let shell = empty_shell();
    let engine = |number: u16| Backend {
        service: "engines".to_owned(),
        address: engines,
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        leaving: false,
        lapsed: false,
        slots: 16,
        cold: Duration::ZERO,
        sequence: u64::from(number),
        born: 1,
    };
    let servers = (0..ENGINES).map(|n| (format!("e{n}"), engine(n)));
    shell.handle(Event::Servers(Revision(1), servers.collect()));
    shell
}

/// Returns the processor time that this thread has used.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).expect("the time is positive");
    let nanoseconds = u32::try_from(time.tv_nsec).expect("below a second");
    Duration::new(seconds, nanoseconds)
}

/// Returns the bytes of a request.
pub fn request(number: usize) -> Vec<u8> {
    let body = "x".repeat(BODY_BYTES);
    format!(
        "POST /route{}/2f HTTP/1.1\r\nhost: host.example\r\nx-id: 9c41d07be2a3{number:04x}\r\n\
         x-model: m\r\nx-usage: 1460,80\r\n\
         x-prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nx-wait-ms: 12000\r\n\
         authorization: Bearer key{}\r\ncontent-type: application/json\r\n\
         user-agent: caller/1.0\r\naccept: text/event-stream\r\n\
         content-length: {BODY_BYTES}\r\n\r\n{body}",
        number % 8,
        number % WORKSPACES,
    )
    .into_bytes()
}

/// Prints the processor time of one of `count` steps.
pub fn report(name: &str, used: Duration, count: usize) {
    let each = used.as_secs_f64() * 1e6 / count as f64;
    eprintln!("{name:<50} {each:8.2} us");
}

/// Prints the processor time of one call of `work`.
pub fn time(name: &str, count: usize, mut work: impl FnMut(u64)) {
    let start = thread_time();
    for number in 0..count {
        work(number as u64);
    }
    report(name, thread_time() - start, count);
}
