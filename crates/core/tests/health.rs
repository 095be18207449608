//! Servers that do not answer are left alone and tried again.

use std::time::{Duration, Instant};

use hibiscusrail_core::health::Health;

const LIMIT: u32 = 16;

fn failed(now: Instant) -> Health {
    let mut health = Health::new();
    for _ in 0..3 {
        assert_eq!(health.cap(LIMIT), LIMIT);
        health.fail(now);
    }
    health
}

#[test]
fn health_failures_in_a_row_pause_and_try_with_one() {
    let now = Instant::now();
    let mut health = failed(now);
    assert_eq!(health.cap(LIMIT), 0);
    assert!(!health.tick(now));
    assert!(health.tick(now + Duration::from_secs(1)));
    assert_eq!(health.cap(LIMIT), 1);
    health.answer();
    assert_eq!(health.cap(LIMIT), LIMIT);
}

#[test]
fn health_failed_trial_doubles_the_pause() {
    let mut now = Instant::now();
    let mut health = failed(now);
    for seconds in [1, 2, 4, 8, 8] {
        now += Duration::from_secs(seconds);
        assert!(!health.tick(now - Duration::from_millis(1)));
        assert!(health.tick(now));
        health.fail(now);
        assert_eq!(health.cap(LIMIT), 0);
    }
}

#[test]
fn health_answer_between_failures_counts_anew() {
    let now = Instant::now();
    let mut health = Health::new();
    for _ in 0..5 {
        health.fail(now);
        health.fail(now);
        health.answer();
    }
    assert_eq!(health.cap(LIMIT), LIMIT);
}
