//! Zones that are closed and reopened, and lookups without the platform.

use hibiscusrail_core::ServerId;
use hibiscusrail_ctl::submit::submit;
use hibiscusrail_ctl::table::Table;
use hibiscusrail_load::client::{Ending, send};
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::Service;
use http::Method;

use crate::support::{TestFleet, run, wait_until};
use crate::tickets::{wait_in_force, zone_ticket};

/// Opens or closes a zone by a ticket and waits until it is in force.
async fn set_admission(fleet: &TestFleet, number: u64, zone: &str, admission: &str) {
    let ticket = zone_ticket(number, "ana", &[(zone, admission)]);
    let table = Table::new(fleet.deployment.platform);
    submit(&table, &ticket).await.expect("the table answers");
    wait_in_force(fleet, zone, number).await;
}

/// Returns the limit on a server's slots at its dispatcher.
fn dispatcher_limit(fleet: &TestFleet, server: &str) -> u32 {
    let id = ServerId::new(server);
    let limits = fleet.routers.iter().filter_map(|shell| {
        shell.with_router(|r| r.dispatcher().servers().find(|s| s.0 == id).map(|s| s.1))
    });
    limits.max().expect("a router dispatches the server")
}

#[test]
fn zone_closed_gets_no_new_work_and_completes_running() {
    run(async {
        let fleet = TestFleet::new().await;
        let request = fleet.request(0, "a", fleet.draft("hello", 400, true));
        let task = compio::runtime::spawn(async move { send(&request).await });
        wait_until(|| fleet.engines.iter().any(|e| e.running() > 0)).await;
        let busy = fleet.engines.iter().position(|e| e.running() > 0);
        let busy = busy.expect("an engine runs the draft");
        let zone = fleet.deployment.servers[busy].zone.clone();
        set_admission(&fleet, 5, &zone, "closed").await;
        let before = fleet.engines[busy].runs.all().len();
        for i in 0..9 {
            let operation = fleet.draft("more", 5, true);
            let received = fleet.send(i % 3, &format!("b{i}"), operation).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
        assert_eq!(fleet.engines[busy].runs.all().len(), before);
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Right, "{received:?}");
    });
}

#[test]
fn zone_reopened_gets_work_again() {
    run(async {
        let fleet = TestFleet::new().await;
        let server = fleet.deployment.servers[0].clone();
        let zone = server.zone.clone();
        for i in 0..30 {
            let operation = fleet.draft("first", 5, true);
            let received = fleet.send(i % 3, &format!("a{i}"), operation).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
        assert!(dispatcher_limit(&fleet, &server.name) > server.cold_limit);
        set_admission(&fleet, 5, &zone, "closed").await;
        set_admission(&fleet, 6, &zone, "open").await;
        assert_eq!(dispatcher_limit(&fleet, &server.name), server.cold_limit);
        let before = fleet.engines[0].runs.all().len();
        for i in 0..30 {
            let operation = fleet.draft("more", 5, true);
            let received = fleet.send(i % 3, &format!("b{i}"), operation).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
        assert!(fleet.engines[0].runs.all().len() > before);
    });
}

#[test]
fn platform_down_lookups_continue() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.platform.faults().set(Faults::default().with_down());
        for i in 0..10 {
            let operation = fleet.plain(Method::GET, &format!("record/{i}"));
            let received = fleet.send(i % 3, &format!("a{i}"), operation).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
        fleet.platform.faults().set(Faults::default());
        set_admission(&fleet, 5, "zone-a", "closed").await;
    });
}
