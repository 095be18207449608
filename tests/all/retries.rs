//! What is sent again, how often, and where.

use std::net::SocketAddr;

use futures_util::future::join_all;
use hibiscusrail_core::Params;
use hibiscusrail_load::client::{Ending, send};
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::Service;
use hibiscusrail_store::object::ObjectRow;
use http::Method;

use crate::raw::move_server;
use crate::support::{Stage, run};

#[test]
fn retry_lookup_goes_to_another_server() {
    run(async {
        let stage = Stage::new().await;
        stage.plains[0].faults().set(Faults::default().with_down());
        for i in 0..8 {
            let ask = stage.plain(Method::GET, "record/7");
            let received = stage.ask(i % 3, &format!("a{i}"), ask).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
        assert!(stage.plains[0].runs.all().is_empty());
    });
}

#[test]
fn retry_storm_stays_within_the_budget() {
    run(async {
        const REQUESTS: u32 = 200;
        let stage = Stage::new().await;
        // Every answer belongs to another request, so every attempt fails.
        stage.plains_fail(&Faults::default().with_cross(1.0));
        let all = join_all((0..REQUESTS).map(|i| {
            let ask = stage.plain(Method::GET, "record/7");
            let sending = stage.sending(0, &format!("a{i}"), ask);
            async move { send(&sending).await }
        }))
        .await;
        for received in &all {
            assert_eq!(received.ending, Ending::Unknown, "{received:?}");
            assert_eq!(received.code, "retries_exhausted");
        }
        let workspace = stage.deployment.objects();
        let fraction = workspace
            .iter()
            .find_map(|o| match o {
                ObjectRow::Workspace { retry_fraction, .. } => Some(*retry_fraction),
                _ => None,
            })
            .expect("the deployment has a workspace");
        let bound = f64::from(REQUESTS) * (1.0 + fraction) + Params::new().retry_burst;
        let runs = u32::try_from(stage.plain_runs().len()).expect("few runs");
        assert!(runs > REQUESTS, "nothing was retried");
        assert!(f64::from(runs) <= bound, "{runs} attempts, bound {bound}");
    });
}

#[test]
fn retry_without_key_never_happens() {
    run(async {
        let stage = Stage::new().await;
        stage.plains_fail(&Faults::default().with_lose_answers(1.0));
        let received = stage.ask(0, "a", stage.plain(Method::POST, "filing")).await;
        assert_eq!(received.ending, Ending::Unknown);
        assert_eq!(stage.plain_runs().len(), 1);
    });
}

#[test]
fn retry_not_run_is_marked_and_true() {
    run(async {
        let stage = Stage::new().await;
        for row in stage.deployment.objects() {
            if let ObjectRow::Server { address, .. } = &row {
                // Nothing listens there.
                let nowhere = SocketAddr::new(address.ip(), 1);
                move_server(&stage, row, nowhere);
            }
        }
        let received = stage.ask(0, "a", stage.plain(Method::POST, "filing")).await;
        assert_eq!(received.ending, Ending::NotRun, "{received:?}");
        assert!(stage.plain_runs().is_empty());
    });
}

#[test]
fn retry_crossed_answer_reaches_nobody() {
    run(async {
        let stage = Stage::new().await;
        stage.plains_fail(&Faults::default().with_cross(0.5));
        let all = join_all((0..60).map(|i| {
            let ask = stage.plain(Method::GET, &format!("record/{i}"));
            let sending = stage.sending(i % 3, &format!("a{i}"), ask);
            async move { send(&sending).await }
        }))
        .await;
        for received in &all {
            assert_ne!(received.ending, Ending::Wrong, "{received:?}");
            assert_ne!(received.ending, Ending::NotRun, "{received:?}");
        }
        assert!(all.iter().any(|r| r.ending == Ending::Right));
    });
}

#[test]
fn retry_server_gone_for_long_leaves_lookups_answered() {
    run(async {
        const LOOKUPS: usize = 400;
        let stage = Stage::new().await;
        let name = &stage.deployment.servers[3].name;
        let row = stage
            .deployment
            .objects()
            .into_iter()
            .find(|o| matches!(o, ObjectRow::Server { name: n, .. } if n == name))
            .expect("the server is configured");
        let nowhere = SocketAddr::new(stage.deployment.platform.ip(), 1);
        move_server(&stage, row, nowhere);
        let mut missed = Vec::new();
        for i in 0..LOOKUPS {
            let ask = stage.plain(Method::GET, "record/7");
            let received = stage.ask(i % 3, &format!("a{i}"), ask).await;
            if received.ending != Ending::Right {
                missed.push(received.code);
            }
        }
        assert!(missed.is_empty(), "{} of {LOOKUPS}", missed.len());
    });
}
