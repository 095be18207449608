//! The stand-ins apply their faults, capacities and rate limits.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_load::deployment::unique_loopback_host;
use hibiscusrail_net::{Connection, bind, connect, full};
use hibiscusrail_standin::cache::PrefixCache;
use hibiscusrail_standin::engine::{Engine, EngineSpec};
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::{Service, serve};
use hibiscusrail_standin::plain::Plain;
use hibiscusrail_standin::rate::RateLimit;
use hibiscusrail_standin::relay::{Relay, Route, Transport};
use hibiscusrail_standin::table::Table;
use hibiscusrail_standin::text;
use hibiscusrail_store::table::{Condition, ReadRequest, TransactRequest, Write};
use http::{Method, Request, header};
use http_body_util::BodyExt;

use crate::support::{run, wait_until};

/// Longer than a stand-in takes to respond, unless a fault prevents it.
const TIMEOUT: Duration = Duration::from_millis(300);

fn start<S: Service>(service: &Rc<S>) -> SocketAddr {
    let address = SocketAddr::from((unique_loopback_host(), 30_000));
    let listener = bind(address).expect("the loopback address is free");
    compio::runtime::spawn(serve(listener, Rc::clone(service))).detach();
    address
}

fn plain() -> (Rc<Plain>, SocketAddr) {
    let plain = Rc::new(Plain::new(Duration::from_millis(1), 8));
    let address = start(&plain);
    (plain, address)
}

async fn open(address: SocketAddr) -> Connection {
    connect(address, TIMEOUT).await.expect("a connection")
}

/// Sends a call; returns the response text, or `None` when the response was cut off.
async fn call(connection: &mut Connection, id: &str) -> Option<String> {
    let request = Request::builder()
        .uri("/record")
        .header(header::HOST, "server")
        .header("x-request-id", id)
        .body(hibiscusrail_net::empty())
        .expect("valid parts");
    let response = connection.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    Some(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}

/// Sends a streamed draft (chat completion request); returns whether the response was complete.
async fn draft(address: SocketAddr, tokens: u64) -> bool {
    let chat = serde_json::json!({
        "model": "m", "stream": true,
        "messages": [{"role": "user", "content": text::prompt("hello", tokens)}],
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(header::HOST, "server")
        .body(full(chat.to_string()))
        .expect("valid parts");
    let mut connection = open(address).await;
    let response = connection.send_request(request).await.expect("a response");
    let body = response.into_body().collect().await;
    body.is_ok_and(|b| b.to_bytes().ends_with(b"[DONE]\n\n"))
}

#[test]
fn faults_down_runs_nothing() {
    run(async {
        let (plain, address) = plain();
        plain.faults().set(Faults::default().with_down());
        assert_eq!(call(&mut open(address).await, "a").await, None);
        plain.faults().set(Faults::default());
        assert!(call(&mut open(address).await, "b").await.is_some());
        assert_eq!(plain.runs.all().len(), 1);
    });
}

#[test]
fn faults_lost_answer_has_run() {
    run(async {
        let (plain, address) = plain();
        plain
            .faults()
            .set(Faults::default().with_lost_responses(1.0));
        assert_eq!(call(&mut open(address).await, "a").await, None);
        let runs = plain.runs.all();
        assert!(runs.len() == 1 && runs[0].complete && runs[0].request == "a");
    });
}

#[test]
fn faults_crossed_answer_is_of_previous_request() {
    run(async {
        let (plain, address) = plain();
        let mut connection = open(address).await;
        call(&mut connection, "a").await;
        plain
            .faults()
            .set(Faults::default().with_swapped_responses(1.0));
        let response = call(&mut connection, "b").await;
        assert_eq!(response.as_deref(), Some("a GET /record"));
    });
}

#[test]
fn faults_truncated_answer_is_cut() {
    run(async {
        let (plain, address) = plain();
        plain.faults().set(Faults::default().with_truncate(1.0));
        assert_eq!(call(&mut open(address).await, "a").await, None);
        assert!(plain.runs.all()[0].complete);
    });
}

#[test]
fn faults_silence_spares_new_connections() {
    run(async {
        let (plain, address) = plain();
        let mut old = open(address).await;
        call(&mut old, "a").await;
        plain.faults().set(Faults::default().with_silent());
        let silent = compio::time::timeout(TIMEOUT, call(&mut old, "b")).await;
        assert!(silent.is_err());
        assert!(call(&mut open(address).await, "c").await.is_some());
        assert_eq!(plain.runs.all().len(), 2);
    });
}

#[test]
fn plain_refuses_above_its_limit() {
    run(async {
        let plain = Rc::new(Plain::new(TIMEOUT, 1));
        let address = start(&plain);
        let mut first = open(address).await;
        let running = compio::runtime::spawn(async move { call(&mut first, "a").await });
        wait_until(|| plain.runs.all().len() == 1).await;
        let refused = call(&mut open(address).await, "b").await;
        assert_eq!(refused.as_deref(), Some("overloaded"));
        assert!(running.await.is_ok_and(|response| response.is_some()));
        assert_eq!((plain.runs.all().len(), plain.runs.rejected()), (1, 1));
    });
}

#[test]
fn relay_cut_holds_connections_and_drops_datagrams() {
    run(async {
        let (_plain, server) = plain();
        let receiver = std::net::UdpSocket::bind((server.ip(), 30_001)).expect("a free address");
        receiver.set_nonblocking(true).expect("a socket");
        let (tcp, udp) = (unique_loopback_host(), unique_loopback_host());
        let relay = Rc::new(Relay::new());
        for (host, carrier, to) in [
            (tcp, Transport::Tcp, server),
            (udp, Transport::Udp, SocketAddr::new(server.ip(), 30_001)),
        ] {
            let listen = SocketAddr::from((host, 30_000));
            let group = "a>b".to_owned();
            relay
                .add_route(Route {
                    listen,
                    to,
                    carrier,
                    group,
                })
                .expect("a free address");
        }
        let mut connection = open(SocketAddr::from((tcp, 30_000))).await;
        assert!(call(&mut connection, "a").await.is_some());
        let sender = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let send = |text: &str| {
            sender
                .send_to(text.as_bytes(), (udp, 30_000))
                .expect("loopback");
        };
        let mut datagram = [0; 8];

        relay.set_cut_groups(["a>b".to_owned()]);
        send("lost");
        let held = compio::runtime::spawn(async move { call(&mut connection, "b").await });
        compio::time::sleep(TIMEOUT).await;
        assert!(!held.is_finished());

        relay.set_cut_groups([]);
        assert!(held.await.is_ok_and(|response| response.is_some()));
        send("kept");
        let mut length = 0;
        while length == 0 {
            compio::time::sleep(Duration::from_millis(5)).await;
            length = receiver.recv(&mut datagram).unwrap_or(0);
        }
        assert_eq!(&datagram[..length], b"kept");
    });
}

fn engine(spec: EngineSpec) -> (Rc<Engine>, SocketAddr) {
    let engine = Rc::new(Engine::new(spec.with_step(Duration::from_millis(1))));
    compio::runtime::spawn(Rc::clone(&engine).generate()).detach();
    let address = start(&engine);
    (engine, address)
}

#[test]
fn engine_cold_collapses() {
    run(async {
        let (engine, address) = engine(EngineSpec::new(1, 8));
        let first = compio::runtime::spawn(draft(address, 100_000));
        wait_until(|| engine.running() == 1).await;
        assert!(draft(address, 5).await);
        assert!(matches!(first.await, Ok(false)));
        assert_eq!((engine.collapses(), engine.runs.overloaded_count()), (1, 1));
    });
}

#[test]
fn engine_warms_up_and_turns_cold() {
    run(async {
        let (engine, address) = engine(EngineSpec::new(1, 4));
        for _ in 0..4 {
            assert!(draft(address, 1).await);
        }
        assert_eq!(engine.capacity(), 4);
        engine.turn_cold();
        assert_eq!(engine.capacity(), 1);
    });
}

#[test]
fn engine_restart_cuts_streams() {
    run(async {
        let (engine, address) = engine(EngineSpec::new(4, 4));
        let stream = compio::runtime::spawn(draft(address, 100_000));
        wait_until(|| engine.running() == 1).await;
        engine.restart();
        assert!(matches!(stream.await, Ok(false)));
        assert!(!engine.runs.all()[0].complete);
    });
}

#[test]
fn cache_evicts_the_least_recently_used() {
    let (a, b) = (vec!["a"; 32], vec!["b"; 32]);
    let mut cache = PrefixCache::new(32);
    assert_eq!(cache.insert(&a), 0);
    assert_eq!(cache.insert(&a), 32);
    assert_eq!(cache.insert(&b), 0);
    assert_eq!(cache.insert(&a), 0);
}

/// Returns a transaction that writes `key` if it has `version`.
fn write(key: &str, version: u64, value: u64, keep_s: Option<u64>) -> TransactRequest {
    TransactRequest {
        conditions: vec![Condition {
            key: key.to_owned(),
            version,
        }],
        writes: vec![Write {
            key: key.to_owned(),
            value: Some(value.into()),
            keep_s,
        }],
    }
}

fn value(table: &Table, key: &str, at: Instant) -> Option<u64> {
    let keys = vec![key.to_owned()];
    let response = table.read(&ReadRequest { keys }, at);
    response.rows[0].as_ref().and_then(|r| r.value.as_u64())
}

#[test]
fn table_conflict_writes_nothing() {
    let now = Instant::now();
    let mut table = Table::default();
    assert!(table.transact(&write("k", 0, 1, None), now).committed);
    let second = table.transact(&write("k", 0, 2, None), now);
    assert!(!second.committed && second.conflicts[0].version == 1);
    assert_eq!(value(&table, "k", now), Some(1));
}

#[test]
fn table_row_expires() {
    let now = Instant::now();
    let mut table = Table::default();
    table.transact(&write("k", 0, 1, Some(60)), now);
    let later = now + Duration::from_secs(61);
    assert_eq!(value(&table, "k", now), Some(1));
    assert_eq!(value(&table, "k", later), None);
    assert!(table.transact(&write("k", 0, 2, None), later).committed);
}

#[test]
fn table_read_stale() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut table = Table::default();
    table.transact(&write("k", 0, 1, None), now);
    table.transact(&write("k", 1, 2, None), later);
    assert_eq!(value(&table, "k", now), Some(1));
    assert_eq!(value(&table, "k", later), Some(2));
}

#[test]
fn rate_limit_refills() {
    let limit = RateLimit::new(10.0);
    let now = Instant::now() + Duration::from_secs(1);
    assert!(limit.try_take(10, now));
    assert!(!limit.try_take(1, now));
    assert!(limit.try_take(5, now + Duration::from_millis(500)));
}
