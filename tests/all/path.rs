//! A request is served from one end to the other.

use hibiscusrail_load::client::Ending;
use http::Method;

use crate::support::{Stage, run};

#[test]
fn draft_streamed_is_whole() {
    run(async {
        let stage = Stage::new().await;
        let received = stage.ask(0, "a", stage.draft("hello", 20, true)).await;
        assert_eq!(received.ending, Ending::Right);
        let runs: usize = stage.engines.iter().map(|e| e.runs.all().len()).sum();
        assert_eq!(runs, 1);
    });
}

#[test]
fn draft_unstreamed_is_whole() {
    run(async {
        let stage = Stage::new().await;
        let received = stage.ask(1, "b", stage.draft("hello", 20, false)).await;
        assert_eq!(received.ending, Ending::Right);
    });
}

#[test]
fn plain_call_is_answered() {
    run(async {
        let stage = Stage::new().await;
        let ask = stage.plain(Method::GET, "record/7");
        let received = stage.ask(2, "c", ask).await;
        assert_eq!(received.ending, Ending::Right);
        let runs: usize = stage.plains.iter().map(|p| p.runs.all().len()).sum();
        assert_eq!(runs, 1);
    });
}

#[test]
fn key_unknown_is_refused_as_not_run() {
    run(async {
        let stage = Stage::new().await;
        let mut sending = stage.sending(0, "d", stage.plain(Method::GET, "record/7"));
        sending.key = "wrong".to_owned();
        let received = hibiscusrail_load::client::send(&sending).await;
        assert_eq!(received.status, 401);
        assert_eq!(received.ending, Ending::NotRun);
    });
}
