//! Retries: which requests are retried, how often, and at which server.

use std::net::SocketAddr;

use futures_util::future::join_all;
use hibiscusrail_core::Params;
use hibiscusrail_load::client::{Ending, send};
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::Service;
use hibiscusrail_store::object::ObjectRow;
use http::Method;

use crate::raw::move_server;
use crate::support::{TestFleet, run};

#[test]
fn retry_lookup_goes_to_another_server() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.plains[0].faults().set(Faults::default().with_down());
        for i in 0..8 {
            let operation = fleet.plain(Method::GET, "record/7");
            let received = fleet.send(i % 3, &format!("a{i}"), operation).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
        assert!(fleet.plains[0].runs.all().is_empty());
    });
}

#[test]
fn retry_storm_stays_within_the_budget() {
    run(async {
        const REQUESTS: u32 = 200;
        let fleet = TestFleet::new().await;
        // Every response carries another request's id, so that every attempt fails.
        fleet.set_plain_faults(&Faults::default().with_swapped_responses(1.0));
        let all = join_all((0..REQUESTS).map(|i| {
            let operation = fleet.plain(Method::GET, "record/7");
            let request = fleet.request(0, &format!("a{i}"), operation);
            async move { send(&request).await }
        }))
        .await;
        for received in &all {
            assert_eq!(received.ending, Ending::Unknown, "{received:?}");
            assert_eq!(received.code, "retries_exhausted");
        }
        let workspace = fleet.deployment.objects();
        let fraction = workspace
            .iter()
            .find_map(|o| match o {
                ObjectRow::Workspace { retry_fraction, .. } => Some(*retry_fraction),
                _ => None,
            })
            .expect("the deployment has a workspace");
        let bound = f64::from(REQUESTS) * (1.0 + fraction) + Params::new().retry_burst;
        let runs = u32::try_from(fleet.plain_runs().len()).expect("few runs");
        assert!(runs > REQUESTS, "nothing was retried");
        assert!(f64::from(runs) <= bound, "{runs} attempts, bound {bound}");
    });
}

#[test]
fn retry_without_key_never_happens() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.set_plain_faults(&Faults::default().with_lost_responses(1.0));
        let received = fleet
            .send(0, "a", fleet.plain(Method::POST, "filing"))
            .await;
        assert_eq!(received.ending, Ending::Unknown);
        assert_eq!(fleet.plain_runs().len(), 1);
    });
}

#[test]
fn retry_all_servers_unreachable_is_not_run() {
    run(async {
        let fleet = TestFleet::new().await;
        for row in fleet.deployment.objects() {
            if let ObjectRow::Server { address, .. } = &row {
                // Nothing listens on port 1.
                let unreachable = SocketAddr::new(address.ip(), 1);
                move_server(&fleet, row, unreachable);
            }
        }
        let received = fleet
            .send(0, "a", fleet.plain(Method::POST, "filing"))
            .await;
        assert_eq!(received.ending, Ending::NotRun, "{received:?}");
        assert!(fleet.plain_runs().is_empty());
    });
}

#[test]
fn retry_crossed_answer_is_never_delivered() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.set_plain_faults(&Faults::default().with_swapped_responses(0.5));
        let all = join_all((0..60).map(|i| {
            let operation = fleet.plain(Method::GET, &format!("record/{i}"));
            let request = fleet.request(i % 3, &format!("a{i}"), operation);
            async move { send(&request).await }
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
fn retry_unreachable_server_loses_no_lookup() {
    run(async {
        const LOOKUPS: usize = 400;
        let fleet = TestFleet::new().await;
        let name = &fleet.deployment.servers[3].name;
        let row = fleet
            .deployment
            .objects()
            .into_iter()
            .find(|o| matches!(o, ObjectRow::Server { name: n, .. } if n == name))
            .expect("the server is configured");
        let unreachable = SocketAddr::new(fleet.deployment.platform.ip(), 1);
        move_server(&fleet, row, unreachable);
        let mut missed = Vec::new();
        for i in 0..LOOKUPS {
            let operation = fleet.plain(Method::GET, "record/7");
            let received = fleet.send(i % 3, &format!("a{i}"), operation).await;
            if received.ending != Ending::Right {
                missed.push(received.code);
            }
        }
        assert!(missed.is_empty(), "{} of {LOOKUPS}", missed.len());
    });
}
