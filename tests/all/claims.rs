//! Keyed requests run at most once.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use hibiscusrail_load::client::{Ending, Received};
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::Service;

use crate::support::{Stage, run};

/// Tries of one filing until its outcome is definite.
const TRIES: usize = 40;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Repeats a filing at router after router until it is answered.
async fn repeat(stage: &Stage, id: &str, key: &str) -> Received {
    let mut last = stage.file(0, id, key, "filing").await;
    for index in 1..TRIES {
        if last.ending == Ending::Right || last.code == "already_run" {
            break;
        }
        compio::time::sleep(PAUSE).await;
        last = stage.file(index % 3, id, key, "filing").await;
    }
    last
}

#[test]
fn claim_repeat_elsewhere_gets_the_kept_answer() {
    run(async {
        let stage = Stage::new().await;
        let first = stage.file(0, "a", "key", "filing").await;
        assert_eq!(first.ending, Ending::Right);
        assert_eq!(repeat(&stage, "a", "key").await.ending, Ending::Right);
        let at_another = stage.file(1, "a", "key", "filing").await;
        assert_eq!(at_another.ending, Ending::Right);
        assert_eq!(stage.plain_runs().len(), 1);
    });
}

#[test]
fn claim_repeats_at_the_same_moment_run_once() {
    run(async {
        let stage = Stage::new().await;
        let all = join_all((0..9).map(|i| stage.file(i % 3, "a", "key", "filing"))).await;
        let right = all.iter().filter(|r| r.ending == Ending::Right).count();
        assert!(right >= 1, "nobody was answered");
        for received in &all {
            assert_ne!(received.ending, Ending::NotRun, "{received:?}");
        }
        assert_eq!(stage.plain_runs().len(), 1);
    });
}

#[test]
fn claim_key_of_another_request_is_refused() {
    run(async {
        let stage = Stage::new().await;
        let first = stage.file(0, "a", "key", "filing").await;
        assert_eq!(first.ending, Ending::Right);
        let other = stage.file(1, "b", "key", "another").await;
        assert_eq!(other.code, "key_reused");
        assert_eq!(other.ending, Ending::NotRun);
        assert_eq!(stage.plain_runs().len(), 1);
    });
}

#[test]
fn claim_table_down_is_refused_as_not_run() {
    run(async {
        let stage = Stage::new().await;
        stage.platform.faults().set(Faults::default().with_down());
        let refused = stage.file(0, "a", "key", "filing").await;
        assert_eq!(refused.code, "claim_unavailable");
        assert_eq!(refused.ending, Ending::NotRun);
        assert!(stage.plain_runs().is_empty());
        // Requests without a key need no table.
        let lookup = stage.plain(http::Method::GET, "record/7");
        assert_eq!(stage.ask(0, "b", lookup).await.ending, Ending::Right);
        stage.platform.faults().set(Faults::default());
        assert_eq!(repeat(&stage, "a", "key").await.ending, Ending::Right);
        assert_eq!(stage.plain_runs().len(), 2);
    });
}

#[test]
fn claim_answers_lost_runs_once_for_each_key() {
    run(async {
        let stage = Stage::new().await;
        let faults = Faults::default().with_lose_answers(0.4);
        stage.platform.faults().set(faults);
        let keys: Vec<String> = (0..12).map(|i| format!("key-{i}")).collect();
        let all = join_all(keys.iter().map(|key| repeat(&stage, key, key))).await;
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in stage.plain_runs() {
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
        assert!(right > 0, "nobody was answered: {all:?}");
    });
}

#[test]
fn claim_server_answer_lost_is_in_doubt() {
    run(async {
        let stage = Stage::new().await;
        stage.plains_fail(&Faults::default().with_lose_answers(1.0));
        let first = stage.file(0, "a", "key", "filing").await;
        assert_eq!(first.ending, Ending::Unknown);
        assert_eq!(first.code, "connection_lost");
        stage.plains_fail(&Faults::default());
        let second = stage.file(1, "a", "key", "filing").await;
        assert_eq!(second.ending, Ending::Unknown);
        assert_eq!(second.code, "key_in_doubt");
        assert_eq!(stage.plain_runs().len(), 1);
    });
}
