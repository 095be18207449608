//! Zones that are taken out, brought back, and cut off from the platform.

use hibiscusrail_ctl::submit::submit;
use hibiscusrail_ctl::table::Table;
use hibiscusrail_load::client::{Ending, send};
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::Service;
use http::Method;

use crate::support::{Stage, run, until};
use crate::tickets::{in_force, zones};

async fn change(stage: &Stage, number: u64, zone: &str, admission: &str) {
    let ticket = zones(number, "ana", &[(zone, admission)]);
    let table = Table::new(stage.deployment.platform);
    submit(&table, &ticket).await.expect("the table answers");
    in_force(stage, zone, number).await;
}

#[test]
fn zone_out_gets_no_new_work_and_ends_what_runs() {
    run(async {
        let stage = Stage::new().await;
        let sending = stage.sending(0, "a", stage.draft("hello", 400, true));
        let task = compio::runtime::spawn(async move { send(&sending).await });
        until(|| stage.engines.iter().any(|e| e.running() > 0)).await;
        let busy = stage.engines.iter().position(|e| e.running() > 0);
        let busy = busy.expect("one runs it");
        let zone = stage.deployment.servers[busy].zone.clone();
        change(&stage, 5, &zone, "closed").await;
        let before = stage.engines[busy].runs.all().len();
        for i in 0..9 {
            let ask = stage.draft("more", 5, true);
            let received = stage.ask(i % 3, &format!("b{i}"), ask).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
        assert_eq!(stage.engines[busy].runs.all().len(), before);
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Right, "{received:?}");
    });
}

#[test]
fn zone_back_gets_work_again() {
    run(async {
        let stage = Stage::new().await;
        let zone = stage.deployment.servers[0].zone.clone();
        change(&stage, 5, &zone, "closed").await;
        change(&stage, 6, &zone, "open").await;
        for i in 0..30 {
            let ask = stage.draft("more", 5, true);
            let received = stage.ask(i % 3, &format!("b{i}"), ask).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
        assert!(!stage.engines[0].runs.all().is_empty());
    });
}

#[test]
fn platform_down_long_lookups_go_on() {
    run(async {
        let stage = Stage::new().await;
        stage.platform.faults().set(Faults::default().with_down());
        for i in 0..10 {
            let ask = stage.plain(Method::GET, &format!("record/{i}"));
            let received = stage.ask(i % 3, &format!("a{i}"), ask).await;
            assert_eq!(received.ending, Ending::Right, "{received:?}");
        }
        stage.platform.faults().set(Faults::default());
        change(&stage, 5, "zone-a", "closed").await;
    });
}
