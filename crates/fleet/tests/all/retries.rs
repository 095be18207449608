//! Retry budget of a service.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::{Repeat, Revision};
use hibiscusrail_fleet::retry::{RetryBound, RetryWindow};
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, plain, sent_to};

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

// Guards against BUDGET after all routers were killed while the store answers none of them: each
// took itself for one of a few.
#[test]
fn try_retry_before_members_are_known() {
    const ROUTERS: u64 = 77;
    const REQUESTS: u64 = 20;
    let now = Instant::now();
    let mut retries = 0;
    for router in 0..ROUTERS {
        let mut fleet = Fleet::new(&format!("r{router}"), 1, support::params(), now);
        fleet.handle(now, Event::Config(Revision(1), support::config(&[])));
        fleet.handle(now, Event::Servers(Revision(1), support::servers(0)));
        for key in 0..REQUESTS {
            fleet.handle(now, Event::Submit(plain(key, Repeat::Idempotent, now)));
            let failed = fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Broken));
            retries += u64::from(sent_to(&failed).is_some());
        }
    }
    let allowed = BOUND.ratio * (ROUTERS * REQUESTS) as f64 + BOUND.constant;
    assert!(
        retries as f64 <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}
