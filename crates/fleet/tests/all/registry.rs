//! Servers that start, drain, expire and restart.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::objects::Revision;

use super::support::{
    self, ENGINES, PLAIN, backend, failure_reason, plain, prompt, sent_to, submission,
};
use hibiscusrail_fleet::objects::Repeat;

#[test]
fn submit_draining_server_receives_nothing() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let mut servers = support::servers(2);
    servers.get_mut("e0").expect("there is one").leaving = true;
    fleet.handle(now, Event::Servers(Revision(2), servers));
    for key in 0..20 {
        let decisions = fleet.handle(now, Event::Submit(submission(key, 1, prompt(key, 10), now)));
        assert_ne!(sent_to(&decisions), Some("e0"));
    }
}

#[test]
fn submit_evacuated_zone_receives_nothing_until_restored() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    fleet.handle(now, Event::Config(Revision(2), support::config(&["a"])));
    let decisions = fleet.handle(now, Event::Submit(plain(1, Repeat::Idempotent, now)));
    assert!(failure_reason(&decisions).is_some());
    fleet.handle(now, Event::Config(Revision(3), support::config(&[])));
    let decisions = fleet.handle(now, Event::Submit(plain(2, Repeat::Idempotent, now)));
    assert!(sent_to(&decisions).is_some());
}

#[test]
fn config_older_revision_is_ignored() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    fleet.handle(now, Event::Config(Revision(5), support::config(&["b"])));
    fleet.handle(now, Event::Config(Revision(4), support::config(&[])));
    assert!(fleet.config().evacuated.contains("b"));
    assert_eq!(fleet.config_revision(), Revision(5));
}

#[test]
fn config_without_deployment_keeps_previous() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    let mut config = support::config(&[]);
    config.deployment = None;
    fleet.handle(now, Event::Config(Revision(2), config));
    assert!(fleet.config().deployment.is_some());
}

#[test]
fn servers_expired_in_outage_stay_for_grace_period() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    let back = start + Duration::from_secs(4);
    fleet.handle(start, Event::StoreFailed);
    fleet.handle(back, Event::StoreAnswered);
    fleet.handle(back, Event::Servers(Revision(2), support::servers(0)));
    let decisions = fleet.handle(back, Event::Submit(submission(1, 1, prompt(1, 10), back)));
    assert_eq!(
        sent_to(&decisions),
        Some("e0"),
        "its registration may only have expired"
    );
    let late = back + Duration::from_secs(3);
    fleet.handle(late, Event::Tick);
    let decisions = fleet.handle(late, Event::Submit(submission(2, 1, prompt(1, 10), late)));
    assert_eq!(sent_to(&decisions), None);
}

#[test]
fn servers_missing_after_outage_are_removed() {
    let start = Instant::now();
    for first in [
        Event::ServersUnchanged,
        Event::Servers(Revision(2), support::servers(1)),
    ] {
        let mut fleet = support::router("r", 1, start);
        let back = start + Duration::from_secs(4);
        fleet.handle(start, Event::StoreFailed);
        fleet.handle(back, Event::StoreAnswered);
        fleet.handle(back, first);
        let now = back + Duration::from_secs(1);
        fleet.handle(now, Event::StoreAnswered);
        fleet.handle(now, Event::Servers(Revision(3), support::servers(0)));
        let decisions = fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 10), now)));
        assert_eq!(sent_to(&decisions), None);
    }
}

#[test]
fn servers_missing_without_outage_are_removed() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    fleet.handle(start, Event::StoreAnswered);
    fleet.handle(start, Event::Servers(Revision(2), support::servers(0)));
    let decisions = fleet.handle(start, Event::Submit(submission(1, 1, prompt(1, 10), start)));
    assert_eq!(sent_to(&decisions), None);
}

#[test]
fn servers_restarted_id_has_no_load_and_is_cold() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    for key in 0..5 {
        fleet.handle(
            start,
            Event::Submit(submission(key, 1, prompt(1, 1_000), start)),
        );
    }
    let mut servers = support::servers(1);
    let again = servers.get_mut("e0").expect("there is one");
    again.born = 2;
    again.sequence = 0;
    again.cold = Duration::from_secs(3);
    fleet.handle(start, Event::Servers(Revision(2), servers));
    let server = fleet
        .registry()
        .of_service(ENGINES)
        .next()
        .expect("it is there")
        .1;
    assert_eq!(server.load().running, 0);
    assert!(server.is_cold(start));
}

#[test]
fn servers_id_moves_to_other_service() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    let mut servers = support::servers(1);
    servers.insert("e0".to_owned(), backend(PLAIN, 0));
    fleet.handle(now, Event::Servers(Revision(2), servers));
    assert_eq!(fleet.registry().of_service(ENGINES).count(), 0);
    assert_eq!(fleet.registry().of_service(PLAIN).count(), 4);
}

#[test]
fn servers_expired_at_another_router_expire_here() {
    let start = Instant::now();
    let mut watcher = support::router("watcher", 1, start);
    let back = start + Duration::from_secs(4);
    watcher.handle(start, Event::StoreFailed);
    watcher.handle(back, Event::StoreAnswered);
    watcher.handle(back, Event::Servers(Revision(2), support::servers(0)));
    let mut follower = support::router("follower", 1, start);
    let entries = watcher.registry().entries(back);
    follower.handle(back, Event::Servers(Revision(2), entries));
    let decisions = follower.handle(back, Event::Submit(submission(1, 1, prompt(1, 10), back)));
    assert_eq!(sent_to(&decisions), Some("e0"));
    let late = back + Duration::from_secs(3);
    follower.handle(late, Event::Tick);
    let decisions = follower.handle(late, Event::Submit(submission(2, 1, prompt(1, 10), late)));
    assert_eq!(sent_to(&decisions), None);
}
