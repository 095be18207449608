//! The record of one engine.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::Server;

use super::support::{ENGINES, backend, prompt};

const SHEET: f64 = 55.0;

#[test]
fn held_prefix_yields_to_what_was_read_since() {
    let now = Instant::now();
    let mut server = Server::new("e", 1, backend(ENGINES, 1), now);
    let prompt = prompt(7, 100);
    assert_eq!(server.cached_tokens(&prompt, 100_000), 0);
    server.record_part(7);
    assert_eq!(server.cached_tokens(&prompt, 100_000), 5_000);
    server.record_peer_prefill(now, 60_000);
    assert_eq!(server.cached_tokens(&prompt, 100_000), 0);
}

#[test]
fn reading_time_follows_what_was_observed() {
    let now = Instant::now();
    let mut server = Server::new("e", 1, backend(ENGINES, 1), now);
    let before = server.prefill_time(55_000, SHEET);
    assert_eq!(before, Duration::from_secs(1));
    for _ in 0..100 {
        server.observe_prefill(55_000, Duration::from_secs(2), SHEET);
    }
    let after = server.prefill_time(55_000, SHEET).as_secs_f64();
    assert!((after - 2.0).abs() < 0.1, "{after}");
}

#[test]
fn pace_of_long_ago_says_nothing() {
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
fn pace_events_that_are_read_late_count_with_all_their_tokens() {
    let now = Instant::now();
    let mut server = Server::new("e", 1, backend(ENGINES, 1), now);
    // Events of 7 tokens every 35 ms, which the router reads by twos and sixes.
    for _ in 0..50 {
        server.observe_interval(now, Duration::from_millis(210), 42);
        server.observe_interval(now, Duration::from_millis(70), 14);
    }
    assert_eq!(server.token_interval(now).as_millis(), 5);
}
