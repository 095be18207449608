//! A wave of requests at one of several routers, whose host has less processor time than the others'.
//!
//! The small host is made by pausing the router's process for most of each tenth of a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hibiscusrail_process_tests::faults::{Answer, Client, KEY, Server, Store, is_ready};
use hibiscusrail_process_tests::process::{Router, Signal, lock};
use hibiscusrail_process_tests::runs::await_service;

/// Memory of each router's host in megabytes.
const MEMORY_MB: u32 = 200;
/// Time for which the process runs in turn, and is paused, and the pause that makes it refuse all streams.
const RUN_TIME: Duration = Duration::from_millis(15);
const PAUSE_TIME: Duration = Duration::from_millis(85);
const LONG_PAUSE_TIME: Duration = Duration::from_millis(285);
/// Longest delay that a refused caller is told unless the router has just left the rotation.
const SHORT_DELAY: Duration = Duration::from_millis(450);
/// Clients of the wave, and its length.
const WAVE_CLIENTS: u64 = 24;
const WAVE_TIME: Duration = Duration::from_secs(3);
/// Longest wait for the router to take new connections again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(20);
/// Requests after the wave, and the pause between two of them.
const CALM_REQUESTS: u64 = 20;
const CALM_PAUSE: Duration = Duration::from_millis(60);
/// Tokens of the prompts of the wave and of those after it.
const WAVE_TOKENS: u32 = 2_000;
const CALM_TOKENS: u32 = 100;

/// Starts three routers of a deployment with four servers.
fn start_deployment() -> (Arc<Store>, Vec<Server>, Vec<Router>) {
    let (store, address) = Store::start();
    store.configure(1, &[KEY]);
    let servers: Vec<Server> = (0..4).map(|n| Server::start(&format!("s{n}"))).collect();
    for server in &servers {
        server.register(&store, server.address);
    }
    let start = |n| Router::start_named(&format!("r{n}"), address, MEMORY_MB);
    let routers: Vec<Router> = (0..3).map(start).collect();
    await_service(&routers, "ready");
    (store, servers, routers)
}

/// Sends streams to a router until the wave is over; returns the longest delay that it was told.
fn send_wave(address: SocketAddr, number: u64, is_over: &AtomicBool) -> Duration {
    let mut client = Client::new(address).with_tokens(WAVE_TOKENS, 20);
    let mut longest = Duration::ZERO;
    for attempt in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        client.call("/stream/", &format!("wave-{number}-{attempt}"), KEY);
        longest = longest.max(client.retry_after().unwrap_or_default());
    }
    longest
}

/// Pauses a router for most of the time, until the wave is over; returns how often it was found not to
/// take new connections.
fn slow_down(router: &mut Router, pause: Duration, is_over: &AtomicBool) -> u64 {
    let shed = AtomicU64::new(0);
    let ready = router.ready;
    thread::scope(|scope| {
        let shed = &shed;
        scope.spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                shed.fetch_add(u64::from(!is_ready(ready)), Ordering::Relaxed);
                thread::sleep(RUN_TIME);
            }
        });
        while !is_over.load(Ordering::Relaxed) {
            router.signal(Signal::Pause);
            thread::sleep(pause);
            router.signal(Signal::Resume);
            thread::sleep(RUN_TIME);
        }
    });
    shed.into_inner()
}

/// Guards against a router that goes on refusing small requests of the workspace whose wave overloaded it,
/// after the wave is over and while it has time to spare.
#[test]
fn router_serves_all_requests_after_its_overload() {
    let _guard = lock();
    let (_store, _servers, mut routers) = start_deployment();
    let addresses: Vec<SocketAddr> = routers.iter().map(|r| r.address).collect();
    let small = &mut routers[0];
    let is_over = AtomicBool::new(false);
    let shed = thread::scope(|scope| {
        let is_over = &is_over;
        for number in 0..WAVE_CLIENTS {
            // A few of the callers meet at the other routers.
            let router = usize::try_from(number.saturating_sub(WAVE_CLIENTS - 3)).unwrap_or(0);
            let address = addresses[router % addresses.len()];
            scope.spawn(move || send_wave(address, number, is_over));
        }
        scope.spawn(move || {
            thread::sleep(WAVE_TIME);
            is_over.store(true, Ordering::Relaxed);
        });
        slow_down(small, PAUSE_TIME, is_over)
    });
    assert!(shed > 0, "the small router was never overloaded");
    let until = Instant::now() + RECOVERY_LIMIT;
    while !is_ready(small.ready) {
        assert!(Instant::now() < until, "the small router does not recover");
        thread::sleep(CALM_PAUSE);
    }
    let mut client = Client::new(small.address).with_tokens(CALM_TOKENS, 20);
    let answers = (0..CALM_REQUESTS).map(|number| {
        thread::sleep(CALM_PAUSE);
        client.call("/stream/", &format!("calm-{number}"), KEY)
    });
    let wrong: Vec<Answer> = answers
        .filter(|a| !matches!(a, Answer::Complete(200, _)))
        .collect();
    assert!(
        wrong.is_empty(),
        "{} refused: {:?}",
        wrong.len(),
        wrong.first()
    );
}

/// Guards against callers who are told to come back while the platform still sends new connections to the
/// router that has refused them: it refuses them again, and they have no further try (issue 68).
#[test]
fn refused_callers_return_after_router_has_left_rotation() {
    let _guard = lock();
    let (_store, _servers, mut routers) = start_deployment();
    let small = &mut routers[0];
    let router = small.address;
    let is_over = AtomicBool::new(false);
    let longest = thread::scope(|scope| {
        let is_over = &is_over;
        let wave: Vec<_> = (0..WAVE_CLIENTS)
            .map(|number| scope.spawn(move || send_wave(router, number, is_over)))
            .collect();
        scope.spawn(move || {
            thread::sleep(WAVE_TIME);
            is_over.store(true, Ordering::Relaxed);
        });
        slow_down(small, LONG_PAUSE_TIME, is_over);
        let delays = wave.into_iter().map(|w| w.join().expect("the caller ends"));
        delays.max().unwrap_or_default()
    });
    assert!(longest > SHORT_DELAY, "callers return after {longest:?}");
}
