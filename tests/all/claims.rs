//! Keyed requests run at most once: a router first claims the key in the platform's table.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use hibiscusrail_load::client::{CallerResult, Ending};
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::Service;

use crate::support::{TestFleet, run};

/// Maximum number of attempts of [`retry`].
const MAX_ATTEMPTS: usize = 40;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends a keyed POST to one router after another until it was answered or has run already.
async fn retry(fleet: &TestFleet, id: &str, key: &str) -> CallerResult {
    let mut last = fleet.post_keyed(0, id, key, "filing").await;
    for index in 1..MAX_ATTEMPTS {
        if last.ending == Ending::Right || last.code == "already_run" {
            break;
        }
        compio::time::sleep(RETRY_DELAY).await;
        last = fleet.post_keyed(index % 3, id, key, "filing").await;
    }
    last
}

#[test]
fn claim_retry_at_other_router_gets_stored_answer() {
    run(async {
        let fleet = TestFleet::new().await;
        let first = fleet.post_keyed(0, "a", "key", "filing").await;
        assert_eq!(first.ending, Ending::Right);
        assert_eq!(retry(&fleet, "a", "key").await.ending, Ending::Right);
        let at_another = fleet.post_keyed(1, "a", "key", "filing").await;
        assert_eq!(at_another.ending, Ending::Right);
        assert_eq!(fleet.plain_runs().len(), 1);
    });
}

#[test]
fn claim_concurrent_requests_run_once() {
    run(async {
        let fleet = TestFleet::new().await;
        let all = join_all((0..9).map(|i| fleet.post_keyed(i % 3, "a", "key", "filing"))).await;
        let right = all.iter().filter(|r| r.ending == Ending::Right).count();
        assert!(right >= 1, "no request was answered");
        for received in &all {
            assert_ne!(received.ending, Ending::NotRun, "{received:?}");
        }
        assert_eq!(fleet.plain_runs().len(), 1);
    });
}

#[test]
fn claim_key_of_another_request_is_refused() {
    run(async {
        let fleet = TestFleet::new().await;
        let first = fleet.post_keyed(0, "a", "key", "filing").await;
        assert_eq!(first.ending, Ending::Right);
        let other = fleet.post_keyed(1, "b", "key", "another").await;
        assert_eq!(other.code, "key_reused");
        assert_eq!(other.ending, Ending::NotRun);
        assert_eq!(fleet.plain_runs().len(), 1);
    });
}

#[test]
fn claim_table_down_is_refused_as_not_run() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.platform.faults().set(Faults::default().with_down());
        let refused = fleet.post_keyed(0, "a", "key", "filing").await;
        assert_eq!(refused.code, "claim_unavailable");
        assert_eq!(refused.ending, Ending::NotRun);
        assert!(fleet.plain_runs().is_empty());
        // Requests without a key need no table.
        let lookup = fleet.plain(http::Method::GET, "record/7");
        assert_eq!(fleet.send(0, "b", lookup).await.ending, Ending::Right);
        fleet.platform.faults().set(Faults::default());
        assert_eq!(retry(&fleet, "a", "key").await.ending, Ending::Right);
        assert_eq!(fleet.plain_runs().len(), 2);
    });
}

#[test]
fn claim_lost_table_answers_run_each_key_at_most_once() {
    run(async {
        let fleet = TestFleet::new().await;
        let faults = Faults::default().with_lost_responses(0.4);
        fleet.platform.faults().set(faults);
        let keys: Vec<String> = (0..12).map(|i| format!("key-{i}")).collect();
        let all = join_all(keys.iter().map(|key| retry(&fleet, key, key))).await;
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in fleet.plain_runs() {
            *runs.entry(run.request).or_default() += 1;
        }
        for received in &all {
            let runs = runs.get(&received.id).copied().unwrap_or(0);
            assert!(runs <= 1, "{} ran {runs} times", received.id);
            assert_ne!(received.ending, Ending::Wrong);
            if received.ending == Ending::Right {
                assert_eq!(runs, 1);
            }
        }
        let right = all.iter().filter(|r| r.ending == Ending::Right).count();
        assert!(right > 0, "no request was answered: {all:?}");
    });
}

#[test]
fn claim_lost_server_answer_leaves_key_in_doubt() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.set_plain_faults(&Faults::default().with_lost_responses(1.0));
        let first = fleet.post_keyed(0, "a", "key", "filing").await;
        assert_eq!(first.ending, Ending::Unknown);
        assert_eq!(first.code, "connection_lost");
        fleet.set_plain_faults(&Faults::default());
        let second = fleet.post_keyed(1, "a", "key", "filing").await;
        assert_eq!(second.ending, Ending::Unknown);
        assert_eq!(second.code, "key_in_doubt");
        assert_eq!(fleet.plain_runs().len(), 1);
    });
}
