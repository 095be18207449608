//! Change tickets from the command line to the routers.

use hibiscusrail_core::ZoneId;
use hibiscusrail_core::configuration::{Admission, ObjectId, Version};
use hibiscusrail_ctl::audit;
use hibiscusrail_ctl::submit::{Decided, submit};
use hibiscusrail_ctl::table::Table;
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::Service;
use hibiscusrail_store::audit::{Filter, Outcome};
use hibiscusrail_store::ticket::{Ticket, parse};

use crate::support::{Stage, run, until};

/// Returns a ticket that opens or closes zones.
pub fn zones(number: u64, author: &str, zones: &[(&str, &str)]) -> Ticket {
    let zones: Vec<_> = zones
        .iter()
        .map(|(name, admission)| serde_json::json!({ "name": name, "admission": admission }))
        .collect();
    let text = serde_json::json!({ "number": number, "author": author, "zones": zones });
    parse(text.to_string().as_bytes()).expect("a valid ticket")
}

/// Waits until a zone stands at a version on every router.
pub async fn in_force(stage: &Stage, zone: &str, version: u64) {
    let id = ObjectId::Zone(ZoneId::new(zone));
    for shell in &stage.routers {
        until(|| shell.with_router(|r| r.config().version(id) >= Some(Version(version)))).await;
    }
}

fn table(stage: &Stage) -> Table {
    Table::new(stage.deployment.platform)
}

async fn accept(stage: &Stage, ticket: &Ticket) {
    let decided = submit(&table(stage), ticket)
        .await
        .expect("the table answers");
    let number = ticket.number;
    let before = false;
    assert_eq!(decided, Decided::Accepted { number, before });
}

#[test]
fn submit_accepted_is_in_force_on_every_router() {
    run(async {
        let stage = Stage::new().await;
        accept(&stage, &zones(5, "ana", &[("zone-a", "closed")])).await;
        in_force(&stage, "zone-a", 5).await;
        for shell in &stage.routers {
            shell.with_router(|r| {
                let (_, zone) = r
                    .config()
                    .zones()
                    .find(|(_, z)| z.name == "zone-a")
                    .expect("the zone is known");
                assert_eq!(zone.admission, Admission::Closed);
            });
        }
    });
}

#[test]
fn submit_lower_number_names_object_winner_and_author() {
    run(async {
        let stage = Stage::new().await;
        accept(&stage, &zones(5, "ana", &[("zone-a", "closed")])).await;
        let late = zones(4, "ben", &[("zone-b", "open"), ("zone-a", "open")]);
        let decided = submit(&table(&stage), &late)
            .await
            .expect("the table answers");
        assert_eq!(
            decided.to_string(),
            "ticket 4: rejected: zone/zone-a stands at ticket 5 of ana"
        );
        in_force(&stage, "zone-a", 5).await;
        let id = ObjectId::Zone(ZoneId::new("zone-b"));
        stage.routers[0].with_router(|r| assert_eq!(r.config().version(id), Some(Version(1))));
    });
}

#[test]
fn submit_race_has_one_winner() {
    run(async {
        let stage = Stage::new().await;
        let table = table(&stage);
        let ana = zones(5, "ana", &[("zone-a", "closed")]);
        let ben = zones(5, "ben", &[("zone-a", "open")]);
        let (first, second) = futures_util::join!(submit(&table, &ana), submit(&table, &ben));
        let both = [first.expect("answered"), second.expect("answered")];
        let won = |d: &&Decided| matches!(d, Decided::Accepted { .. });
        assert_eq!(both.iter().filter(won).count(), 1, "{both:?}");
    });
}

#[test]
fn submit_lost_answers_are_read_back() {
    run(async {
        let stage = Stage::new().await;
        stage
            .platform
            .faults()
            .set(Faults::default().with_lose_answers(0.5));
        let mut number = 5;
        for _ in 0..8 {
            number += 1;
            let ticket = zones(number, "ana", &[("zone-a", "closed")]);
            // A ticket whose first reading is lost was never sent.
            if let Ok(decided) = submit(&table(&stage), &ticket).await {
                assert!(matches!(decided, Decided::Accepted { .. }), "{decided}");
            }
        }
        stage.platform.faults().set(Faults::default());
        let filter = Filter::default();
        let rows = audit::read(&table(&stage), &filter, 100)
            .await
            .expect("rows");
        let mut numbers: Vec<_> = rows.iter().filter_map(|r| r.number).collect();
        let all = numbers.len();
        numbers.dedup();
        assert_eq!(numbers.len(), all, "a ticket was accepted twice");
    });
}

#[test]
fn submit_table_down_changes_nothing() {
    run(async {
        let stage = Stage::new().await;
        stage.platform.faults().set(Faults::default().with_down());
        let ticket = zones(5, "ana", &[("zone-a", "closed")]);
        assert!(submit(&table(&stage), &ticket).await.is_err());
        let ask = stage.plain(::http::Method::GET, "record/7");
        let received = stage.ask(0, "a", ask).await;
        assert_eq!(received.status, 200, "lookups go on without the platform");
    });
}

#[test]
fn audit_filters_by_object_author_and_range() {
    run(async {
        let stage = Stage::new().await;
        let table = table(&stage);
        accept(&stage, &zones(5, "ana", &[("zone-a", "closed")])).await;
        accept(&stage, &zones(6, "ben", &[("zone-b", "closed")])).await;
        let late = zones(4, "eva", &[("zone-a", "open")]);
        submit(&table, &late).await.expect("the table answers");
        let read = async |filter: Filter| {
            let rows = audit::read(&table, &filter, 100).await.expect("rows");
            rows.into_iter()
                .map(|r| (r.number.unwrap_or(0), r.outcome))
                .collect::<Vec<_>>()
        };
        let accepted = Outcome::Accepted;
        let rejected = Outcome::Rejected;
        let all = read(Filter::default()).await;
        assert_eq!(all, [(5, accepted), (6, accepted), (4, rejected)]);
        let filter = Filter {
            object: Some("zone/zone-a".to_owned()),
            ..Filter::default()
        };
        assert_eq!(read(filter).await, [(5, accepted), (4, rejected)]);
        let filter = Filter {
            author: Some("ben".to_owned()),
            ..Filter::default()
        };
        assert_eq!(read(filter).await, [(6, accepted)]);
        let filter = Filter {
            after: Some(4),
            before: Some(6),
            ..Filter::default()
        };
        assert_eq!(read(filter).await, [(5, accepted)]);
    });
}

#[test]
fn audit_names_drains() {
    run(async {
        let stage = Stage::new().await;
        let shell = std::rc::Rc::clone(&stage.routers[0]);
        let object = format!("router/{}", shell.settings().name);
        hibiscusrail_router::platform::audit::drain(shell, "operator", Outcome::Started).await;
        let filter = Filter {
            object: Some(object),
            ..Filter::default()
        };
        let rows = audit::read(&table(&stage), &filter, 100).await;
        let rows = rows.expect("the table answers");
        assert_eq!(rows.len(), 1);
        assert_eq!(rows[0].author, "operator");
        assert_eq!(rows[0].outcome, Outcome::Started);
    });
}
