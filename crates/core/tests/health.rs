//! Circuit breaker of a server: pauses after failures, and trial requests.

use std::time::{Duration, Instant};

use hibiscusrail_core::health::Health;

const LIMIT: u32 = 16;

fn paused(now: Instant) -> Health {
    let mut health = Health::new();
    for _ in 0..3 {
        assert_eq!(health.capped(LIMIT), LIMIT);
        health.record_failure(now);
    }
    health
}

#[test]
fn tick_after_pause_allows_one_trial() {
    let now = Instant::now();
    let mut health = paused(now);
    assert_eq!(health.capped(LIMIT), 0);
    assert!(!health.tick(now));
    assert!(health.tick(now + Duration::from_secs(1)));
    assert_eq!(health.capped(LIMIT), 1);
    health.record_success();
    assert_eq!(health.capped(LIMIT), LIMIT);
}

#[test]
fn record_failure_of_trial_doubles_pause() {
    let mut now = Instant::now();
    let mut health = paused(now);
    for seconds in [1, 2, 4, 8, 8] {
        now += Duration::from_secs(seconds);
        assert!(!health.tick(now - Duration::from_millis(1)));
        assert!(health.tick(now));
        health.record_failure(now);
        assert_eq!(health.capped(LIMIT), 0);
    }
}

#[test]
fn record_success_resets_failures() {
    let now = Instant::now();
    let mut health = Health::new();
    for _ in 0..5 {
        health.record_failure(now);
        health.record_failure(now);
        health.record_success();
    }
    assert_eq!(health.capped(LIMIT), LIMIT);
}
