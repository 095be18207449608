//! Connections that have gone silent for good.

use hibiscusrail_load::client::Ending;
use hibiscusrail_standin::faults::Faults;
use http::Method;

use crate::support::{Stage, run, until};

/// Opens connections from router 0 to the plain services and leaves them idle.
async fn warm(stage: &Stage) {
    for i in 0..6 {
        let ask = stage.plain(Method::GET, "record/1");
        let received = stage.ask(0, &format!("warm{i}"), ask).await;
        assert_eq!(received.ending, Ending::Right);
    }
    let pool = stage.routers[0].pool();
    until(|| {
        stage
            .deployment
            .servers
            .iter()
            .any(|s| pool.idle(s.address) > 0)
    })
    .await;
}

#[test]
fn silent_connection_lookup_goes_on_a_new_one() {
    run(async {
        let stage = Stage::new().await;
        warm(&stage).await;
        stage.plains_fail(&Faults::default().with_silent());
        for i in 0..4 {
            let ask = stage.plain(Method::GET, "record/2");
            let received = stage.ask(0, &format!("a{i}"), ask).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
    });
}

#[test]
fn silent_connection_carries_no_filing() {
    run(async {
        let stage = Stage::new().await;
        warm(&stage).await;
        stage.plains_fail(&Faults::default().with_silent());
        for i in 0..4 {
            let ask = stage.plain(Method::POST, "filing");
            let received = stage.ask(0, &format!("a{i}"), ask).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
    });
}

#[test]
fn silent_connection_makes_its_idle_peers_suspect() {
    run(async {
        let stage = Stage::new().await;
        let lookups = (0..12).map(|i| {
            let ask = stage.plain(Method::GET, "record/1");
            let sending = stage.sending(0, &format!("warm{i}"), ask);
            async move { hibiscusrail_load::client::send(&sending).await }
        });
        futures_util::future::join_all(lookups).await;
        let pool = stage.routers[0].pool();
        let idle = || -> Vec<usize> {
            let servers = stage.deployment.servers.iter().filter(|s| !s.model);
            servers.map(|s| pool.idle(s.address)).collect()
        };
        until(|| idle().iter().all(|n| *n > 1)).await;
        stage.plains_fail(&Faults::default().with_silent());
        let ask = stage.plain(Method::GET, "record/2");
        let received = stage.ask(0, "a", ask).await;
        assert_eq!(received.ending, Ending::Right, "{received:?}");
        assert!(idle().contains(&0), "{:?}", idle());
    });
}

#[test]
fn silent_stream_is_resumed() {
    run(async {
        let stage = Stage::new().await;
        let sending = stage.sending(0, "a", stage.draft("hello", 400, true));
        let task =
            compio::runtime::spawn(async move { hibiscusrail_load::client::send(&sending).await });
        until(|| stage.engine_runs().iter().any(|r| r.work > 20)).await;
        stage.engines_fail(&Faults::default().with_silent());
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Right, "{received:?}");
        assert_eq!(stage.engine_runs().len(), 2);
    });
}
