//! Requests pass from the caller through a router to a server, and responses back.

use hibiscusrail_load::client::Ending;
use http::Method;

use crate::support::{TestFleet, run};

#[test]
fn draft_streamed_is_complete() {
    run(async {
        let fleet = TestFleet::new().await;
        let received = fleet.send(0, "a", fleet.draft("hello", 20, true)).await;
        assert_eq!(received.ending, Ending::Right);
        let runs: usize = fleet.engines.iter().map(|e| e.runs.all().len()).sum();
        assert_eq!(runs, 1);
    });
}

#[test]
fn draft_unstreamed_is_complete() {
    run(async {
        let fleet = TestFleet::new().await;
        let received = fleet.send(1, "b", fleet.draft("hello", 20, false)).await;
        assert_eq!(received.ending, Ending::Right);
    });
}

#[test]
fn plain_call_is_answered() {
    run(async {
        let fleet = TestFleet::new().await;
        let operation = fleet.plain(Method::GET, "record/7");
        let received = fleet.send(2, "c", operation).await;
        assert_eq!(received.ending, Ending::Right);
        let runs: usize = fleet.plains.iter().map(|p| p.runs.all().len()).sum();
        assert_eq!(runs, 1);
    });
}

#[test]
fn key_unknown_is_refused_as_not_run() {
    run(async {
        let fleet = TestFleet::new().await;
        let mut request = fleet.request(0, "d", fleet.plain(Method::GET, "record/7"));
        request.key = "wrong".to_owned();
        let received = hibiscusrail_load::client::send(&request).await;
        assert_eq!(received.status, 401);
        assert_eq!(received.ending, Ending::NotRun);
    });
}
