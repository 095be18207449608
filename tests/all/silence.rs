//! Connections to servers that stay open but stop responding.

use hibiscusrail_load::client::Ending;
use hibiscusrail_standin::faults::Faults;
use http::Method;

use crate::support::{TestFleet, run, wait_until};

/// Sends lookups through router 0, which leaves idle connections to the plain services.
async fn open_idle_connections(fleet: &TestFleet) {
    for i in 0..6 {
        let operation = fleet.plain(Method::GET, "record/1");
        let received = fleet.send(0, &format!("warm{i}"), operation).await;
        assert_eq!(received.ending, Ending::Right);
    }
    let pool = fleet.routers[0].pool();
    wait_until(|| {
        fleet
            .deployment
            .servers
            .iter()
            .any(|s| pool.idle(s.address) > 0)
    })
    .await;
}

#[test]
fn silent_connection_lookup_moves_to_a_new_one() {
    run(async {
        let fleet = TestFleet::new().await;
        open_idle_connections(&fleet).await;
        fleet.set_plain_faults(&Faults::default().with_silent());
        for i in 0..4 {
            let operation = fleet.plain(Method::GET, "record/2");
            let received = fleet.send(0, &format!("a{i}"), operation).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
    });
}

#[test]
fn silent_connection_is_not_used_for_posts() {
    run(async {
        let fleet = TestFleet::new().await;
        open_idle_connections(&fleet).await;
        fleet.set_plain_faults(&Faults::default().with_silent());
        for i in 0..4 {
            let operation = fleet.plain(Method::POST, "filing");
            let received = fleet.send(0, &format!("a{i}"), operation).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
    });
}

#[test]
fn silent_connection_closes_idle_ones_to_its_server() {
    run(async {
        let fleet = TestFleet::new().await;
        let lookups = (0..12).map(|i| {
            let operation = fleet.plain(Method::GET, "record/1");
            let request = fleet.request(0, &format!("warm{i}"), operation);
            async move { hibiscusrail_load::client::send(&request).await }
        });
        futures_util::future::join_all(lookups).await;
        let pool = fleet.routers[0].pool();
        let idle = || -> Vec<usize> {
            let servers = fleet.deployment.servers.iter().filter(|s| !s.is_model);
            servers.map(|s| pool.idle(s.address)).collect()
        };
        wait_until(|| idle().iter().all(|n| *n > 1)).await;
        fleet.set_plain_faults(&Faults::default().with_silent());
        let operation = fleet.plain(Method::GET, "record/2");
        let received = fleet.send(0, "a", operation).await;
        assert_eq!(received.ending, Ending::Right, "{received:?}");
        assert!(idle().contains(&0), "{:?}", idle());
    });
}

#[test]
fn silent_stream_is_resumed() {
    run(async {
        let fleet = TestFleet::new().await;
        let request = fleet.request(0, "a", fleet.draft("hello", 400, true));
        let task =
            compio::runtime::spawn(async move { hibiscusrail_load::client::send(&request).await });
        wait_until(|| fleet.engine_runs().iter().any(|r| r.output_tokens > 20)).await;
        fleet.set_engine_faults(&Faults::default().with_silent());
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Right, "{received:?}");
        assert_eq!(fleet.engine_runs().len(), 2);
    });
}
