//! Retry budget of a service.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::retry::{RetryBound, RetryWindow};

const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    constant: 54.0,
    window: Duration::from_secs(10),
};

#[test]
fn try_retry_within_fleet_limit_in_every_window() {
    for routers in [1_usize, 7, 86] {
        let start = Instant::now();
        let mut windows: Vec<RetryWindow> = (0..routers).map(|_| RetryWindow::new(BOUND)).collect();
        let mut retries: Vec<Duration> = Vec::new();
        let mut requests: Vec<Duration> = Vec::new();
        // Every request fails and asks for a retry.
        for step in 0..2_500_u64 {
            let elapsed = Duration::from_millis(step * 10);
            let window = &mut windows[step as usize % routers];
            window.record_request(start + elapsed);
            requests.push(elapsed);
            if window.try_retry(start + elapsed, routers) {
                retries.push(elapsed);
            }
        }
        for from in &retries {
            let end = *from + BOUND.window;
            let inside =
                |all: &[Duration]| all.iter().filter(|at| *at >= from && **at < end).count();
            let allowed = BOUND.ratio * inside(&requests) as f64 + BOUND.constant;
            let seen = inside(&retries) as f64;
            assert!(
                seen <= allowed,
                "{routers} routers: {seen} retries, {allowed} allowed"
            );
        }
    }
}

#[test]
fn try_retry_quiet_service() {
    let now = Instant::now();
    let mut window = RetryWindow::new(BOUND);
    window.record_request(now);
    assert!(window.try_retry(now, 7));
}
