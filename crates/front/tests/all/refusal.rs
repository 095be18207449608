//! Responses that the router creates itself.

use std::time::Duration;

use hibiscusrail_fleet::event::{Execution, Reason};
use hibiscusrail_front::refusal::{failure, retry_delay};
use http::{StatusCode, header};

/// Returns the `Retry-After` of a request that has not run and has 3 s left.
fn retry_after(reason: Reason, wait: Duration) -> String {
    let remaining = Duration::from_secs(3);
    let response = failure(reason, Execution::NotRun, wait, remaining);
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let value = &response.headers()[header::RETRY_AFTER];
    value.to_str().expect("it is text").to_owned()
}

// Guards against callers that come back while their request is still quarantined, as the delay was
// cut to their own time.
#[test]
fn failure_quarantined_names_time_left() {
    let wait = Duration::from_secs(20);
    assert_eq!(retry_after(Reason::Quarantined, wait), "20.000");
    assert_eq!(retry_after(Reason::Busy, wait), "1.000");
}

#[test]
fn failure_quarantined_after_run_is_bad_gateway() {
    let wait = Duration::from_secs(20);
    let response = failure(Reason::Quarantined, Execution::Unknown, wait, wait);
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert!(!response.headers().contains_key(header::RETRY_AFTER));
}

/// Guards against callers that return before room is expected, or all at once.
#[test]
fn retry_delay_without_room_is_spread_after_expected_time() {
    let wait = Duration::from_millis(400);
    let delays: Vec<Duration> = (0..100)
        .map(|n| retry_delay(Reason::NoRoom, wait, &format!("request{n}")))
        .collect();
    let (least, most) = (delays.iter().min(), delays.iter().max());
    assert!(least.is_some_and(|d| *d >= wait), "{least:?}");
    assert!(most.is_some_and(|d| *d <= wait * 2), "{most:?}");
    let later = delays.iter().filter(|d| **d > wait.mul_f64(1.5)).count();
    assert!((30..=70).contains(&later), "{later}");
}
