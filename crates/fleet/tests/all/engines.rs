//! State of one engine.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::Server;

use super::support::{ENGINES, backend, prompt};

const NOMINAL_RATE: f64 = 55.0;

#[test]
fn cached_tokens_prefix_evicted_by_later_prefill() {
    let now = Instant::now();
    let mut server = Server::new("e", 1, backend(ENGINES, 1), now);
    let prompt = prompt(7, 100);
    assert_eq!(server.cached_tokens(&prompt, 100_000), 0);
    server.record_part(7);
    assert_eq!(server.cached_tokens(&prompt, 100_000), 5_000);
    server.record_peer_requests(now, 1, 60_000);
    assert_eq!(server.cached_tokens(&prompt, 100_000), 0);
}

#[test]
fn prefill_time_follows_observed_rate() {
    let now = Instant::now();
    let mut server = Server::new("e", 1, backend(ENGINES, 1), now);
    let before = server.prefill_time(55_000, NOMINAL_RATE);
    assert_eq!(before, Duration::from_secs(1));
    for _ in 0..100 {
        server.observe_prefill(55_000, Duration::from_secs(2), NOMINAL_RATE);
    }
    let after = server.prefill_time(55_000, NOMINAL_RATE).as_secs_f64();
    assert!((after - 2.0).abs() < 0.1, "{after}");
}

#[test]
fn token_interval_expired() {
    let now = Instant::now();
    let mut server = Server::new("e", 1, backend(ENGINES, 1), now);
    server.observe_interval(now, Duration::from_millis(140), 7);
    assert_eq!(server.token_interval(now), Duration::from_millis(20));
    assert_eq!(
        server.token_interval(now + Duration::from_secs(2)),
        Duration::ZERO
    );
}

#[test]
fn token_interval_batched_events() {
    let now = Instant::now();
    let mut server = Server::new("e", 1, backend(ENGINES, 1), now);
    // Events of 7 tokens arrive every 35 ms; the router reads them in batches of two and six.
    for _ in 0..50 {
        server.observe_interval(now, Duration::from_millis(210), 42);
        server.observe_interval(now, Duration::from_millis(70), 14);
    }
    assert_eq!(server.token_interval(now).as_millis(), 5);
}

#[test]
fn token_interval_of_other_router_counts() {
    let now = Instant::now();
    let mut server = Server::new("e", 1, backend(ENGINES, 1), now);
    server.observe_peer_interval(now, Duration::from_millis(20));
    assert_eq!(server.token_interval(now), Duration::from_millis(20));
    // Only what a router measured itself is reported on, so that no value circulates.
    assert_eq!(server.own_interval(now), Duration::ZERO);
    let later = now + Duration::from_secs(2);
    assert_eq!(server.token_interval(later), Duration::ZERO);
}
