//! Load pattern: more requests about one subject than the engine that holds it bears.

use std::net::SocketAddr;
use std::time::Instant;

use hibiscusrail_fleet::objects::{Revision, Servers};
use hibiscusrail_fleet::{Decision, Event, Fleet, Params};

use super::support::{self, ENGINES, ask, backend, prompt, sent};

/// Name, address and source of the engine that a request was sent to.
fn placed(decisions: &[Decision]) -> (String, SocketAddr, Option<SocketAddr>) {
    let send = decisions.iter().find_map(|d| match d {
        Decision::Send {
            id,
            address,
            source,
            ..
        } => Some((id.clone(), *address, *source)),
        _ => None,
    });
    send.expect("the request is sent")
}

/// Fills the home of subject 7 with prompts to read, and returns its address.
fn fill_home(fleet: &mut Fleet, now: Instant) -> (String, SocketAddr) {
    let first = fleet.handle(now, Event::Submit(ask(1, 1, prompt(7, 30_000), now)));
    let (id, address, source) = placed(&first);
    assert_eq!(source, None, "nobody holds the subject yet");
    (id, address)
}

#[test]
fn submit_engine_without_the_subject_copies_it_from_its_home() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let (home, address) = fill_home(&mut fleet, now);
    let next = fleet.handle(now, Event::Submit(ask(2, 1, prompt(7, 500), now)));
    let (other, _, source) = placed(&next);
    assert_ne!(other, home);
    assert_eq!(source, Some(address));
    let copied = next.iter().find_map(|d| match d {
        Decision::Send { inputs, .. } => Some((inputs.copied, inputs.read)),
        _ => None,
    });
    assert_eq!(copied, Some((5_000, 500)));
}

#[test]
fn submit_subject_is_not_copied_from_an_engine_that_leaves() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let (home, _) = fill_home(&mut fleet, now);
    let mut servers = support::servers(9);
    let leaving = servers.get_mut(&home).expect("it is listed");
    leaving.leaving = true;
    fleet.handle(now, Event::Servers(Revision(2), servers));
    let next = fleet.handle(now, Event::Submit(ask(2, 1, prompt(7, 500), now)));
    assert_eq!(placed(&next).2, None);
}

#[test]
fn submit_subject_is_copied_within_the_zone_where_it_can_be() {
    let now = Instant::now();
    let mut fleet = Fleet::new(
        "r",
        1,
        Params {
            ..support::params()
        },
        now,
    );
    fleet.handle(now, Event::Orders(Revision(1), support::orders(&[])));
    let mut servers = Servers::new();
    for number in 0..6 {
        let mut engine = backend(ENGINES, number);
        engine.zone = if number < 3 { "a" } else { "b" }.to_owned();
        servers.insert(format!("e{number}"), engine);
    }
    fleet.handle(now, Event::Servers(Revision(1), servers.clone()));
    // Each engine takes one long prompt, until every zone holds the subject.
    let mut holders: Vec<(String, SocketAddr)> = Vec::new();
    for key in 0..6 {
        let decisions = fleet.handle(now, Event::Submit(ask(key, 1, prompt(7, 20_000), now)));
        let (id, address, source) = placed(&decisions);
        if let Some(source) = source {
            let zone = &servers[&id].zone;
            let of = |address| holders.iter().find(|(_, a)| *a == address);
            let (from, _) = of(source).expect("the source holds the subject");
            let near = holders.iter().any(|(h, _)| servers[h].zone == *zone);
            assert!(!near || servers[from].zone == *zone, "{id} from {from}");
        }
        holders.push((id, address));
    }
}

#[test]
fn submit_short_subject_is_read_again_rather_than_copied() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let mut short = prompt(7, 30_000);
    short.parts[0].tokens = 200;
    let first = fleet.handle(now, Event::Submit(ask(1, 1, short.clone(), now)));
    let home = sent(&first).expect("engines are idle").to_owned();
    let next = fleet.handle(now, Event::Submit(ask(2, 1, short, now)));
    let (other, _, source) = placed(&next);
    assert_ne!(other, home);
    assert_eq!(source, None);
}
