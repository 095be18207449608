//! Change tickets: submission, effect on the routers, and the audit log.

use hibiscusrail_core::ZoneId;
use hibiscusrail_core::configuration::{Admission, ObjectId, Version};
use hibiscusrail_ctl::audit;
use hibiscusrail_ctl::submit::{Decided, submit};
use hibiscusrail_ctl::table::Table;
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::Service;
use hibiscusrail_store::audit::{Filter, Outcome};
use hibiscusrail_store::ticket::{Ticket, parse};

use crate::support::{TestFleet, run, wait_until};

/// Returns a ticket that opens or closes zones.
pub fn zone_ticket(number: u64, author: &str, zones: &[(&str, &str)]) -> Ticket {
    let zones: Vec<_> = zones
        .iter()
        .map(|(name, admission)| serde_json::json!({ "name": name, "admission": admission }))
        .collect();
    let text = serde_json::json!({ "number": number, "author": author, "zones": zones });
    parse(text.to_string().as_bytes()).expect("a valid ticket")
}

/// Waits until every router has at least `version` of a zone's configuration.
pub async fn wait_in_force(fleet: &TestFleet, zone: &str, version: u64) {
    let id = ObjectId::Zone(ZoneId::new(zone));
    for shell in &fleet.routers {
        wait_until(|| shell.with_router(|r| r.config().version(id) >= Some(Version(version))))
            .await;
    }
}

fn table(fleet: &TestFleet) -> Table {
    Table::new(fleet.deployment.platform)
}

async fn submit_accepted(fleet: &TestFleet, ticket: &Ticket) {
    let decided = submit(&table(fleet), ticket)
        .await
        .expect("the table answers");
    let number = ticket.number;
    let before = false;
    assert_eq!(decided, Decided::Accepted { number, before });
}

#[test]
fn submit_accepted_is_in_force_on_every_router() {
    run(async {
        let fleet = TestFleet::new().await;
        submit_accepted(&fleet, &zone_ticket(5, "ana", &[("zone-a", "closed")])).await;
        wait_in_force(&fleet, "zone-a", 5).await;
        for shell in &fleet.routers {
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
        let fleet = TestFleet::new().await;
        submit_accepted(&fleet, &zone_ticket(5, "ana", &[("zone-a", "closed")])).await;
        let late = zone_ticket(4, "ben", &[("zone-b", "open"), ("zone-a", "open")]);
        let decided = submit(&table(&fleet), &late)
            .await
            .expect("the table answers");
        assert_eq!(
            decided.to_string(),
            "ticket 4: rejected: zone/zone-a stands at ticket 5 of ana"
        );
        wait_in_force(&fleet, "zone-a", 5).await;
        let id = ObjectId::Zone(ZoneId::new("zone-b"));
        fleet.routers[0].with_router(|r| assert_eq!(r.config().version(id), Some(Version(1))));
    });
}

#[test]
fn submit_race_has_one_winner() {
    run(async {
        let fleet = TestFleet::new().await;
        let table = table(&fleet);
        let ana = zone_ticket(5, "ana", &[("zone-a", "closed")]);
        let ben = zone_ticket(5, "ben", &[("zone-a", "open")]);
        let (first, second) = futures_util::join!(submit(&table, &ana), submit(&table, &ben));
        let both = [first.expect("answered"), second.expect("answered")];
        let won = |d: &&Decided| matches!(d, Decided::Accepted { .. });
        assert_eq!(both.iter().filter(won).count(), 1, "{both:?}");
    });
}

#[test]
fn submit_lost_answers_are_read_back() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet
            .platform
            .faults()
            .set(Faults::default().with_lost_responses(0.5));
        let mut number = 5;
        for _ in 0..8 {
            number += 1;
            let ticket = zone_ticket(number, "ana", &[("zone-a", "closed")]);
            // An error means that the read before the write was lost: nothing was written.
            if let Ok(decided) = submit(&table(&fleet), &ticket).await {
                assert!(matches!(decided, Decided::Accepted { .. }), "{decided}");
            }
        }
        fleet.platform.faults().set(Faults::default());
        let filter = Filter::default();
        let rows = audit::read(&table(&fleet), &filter, 100)
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
        let fleet = TestFleet::new().await;
        fleet.platform.faults().set(Faults::default().with_down());
        let ticket = zone_ticket(5, "ana", &[("zone-a", "closed")]);
        assert!(submit(&table(&fleet), &ticket).await.is_err());
        let operation = fleet.plain(::http::Method::GET, "record/7");
        let received = fleet.send(0, "a", operation).await;
        assert_eq!(received.status, 200, "lookups need no platform");
    });
}

#[test]
fn audit_filters_by_object_author_and_range() {
    run(async {
        let fleet = TestFleet::new().await;
        let table = table(&fleet);
        submit_accepted(&fleet, &zone_ticket(5, "ana", &[("zone-a", "closed")])).await;
        submit_accepted(&fleet, &zone_ticket(6, "ben", &[("zone-b", "closed")])).await;
        let late = zone_ticket(4, "eva", &[("zone-a", "open")]);
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
        let fleet = TestFleet::new().await;
        let shell = std::rc::Rc::clone(&fleet.routers[0]);
        let object = format!("router/{}", shell.settings().name);
        hibiscusrail_router::platform::audit::record_drain(shell, "operator", Outcome::Started)
            .await;
        let filter = Filter {
            object: Some(object),
            ..Filter::default()
        };
        let rows = audit::read(&table(&fleet), &filter, 100).await;
        let rows = rows.expect("the table answers");
        assert_eq!(rows.len(), 1);
        assert_eq!(rows[0].author, "operator");
        assert_eq!(rows[0].outcome, Outcome::Started);
    });
}
