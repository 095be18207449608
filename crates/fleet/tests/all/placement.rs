//! Load pattern: many requests about few subjects, from all routers.

use std::collections::BTreeSet;
use std::time::Instant;

use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Outcome, RequestKey};

use super::support::{self, ask, prompt, sent};

#[test]
fn submit_all_routers_take_the_same_home_for_a_new_prefix() {
    let now = Instant::now();
    for part in 0..20 {
        let homes: BTreeSet<String> = (0..7)
            .map(|n| {
                let mut fleet = support::router(&format!("r{n}"), 9, now);
                let decisions = fleet.handle(now, Event::Submit(ask(1, 1, prompt(part, 500), now)));
                sent(&decisions).expect("engines are idle").to_owned()
            })
            .collect();
        assert_eq!(homes.len(), 1, "prefix {part} went to {homes:?}");
    }
}

#[test]
fn submit_prefix_stays_at_its_engine_while_others_are_idle() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let mut engines = BTreeSet::new();
    for key in 0..5 {
        let decisions = fleet.handle(now, Event::Submit(ask(key, 1, prompt(7, 500), now)));
        engines.insert(sent(&decisions).expect("engines are idle").to_owned());
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Answered));
    }
    assert_eq!(engines.len(), 1);
}

#[test]
fn submit_prefix_moves_when_its_engine_has_much_to_read() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let first = fleet.handle(now, Event::Submit(ask(1, 1, prompt(7, 30_000), now)));
    let home = sent(&first).expect("engines are idle").to_owned();
    let next = fleet.handle(now, Event::Submit(ask(2, 1, prompt(7, 500), now)));
    assert_ne!(sent(&next), Some(home.as_str()));
}

#[test]
fn submit_engine_named_by_another_router_holds_the_prefix() {
    let now = Instant::now();
    let mut sender = support::router("sender", 9, now);
    sender.handle(now, Event::Submit(ask(1, 1, prompt(7, 30_000), now)));
    let spilled = sender.handle(now, Event::Submit(ask(2, 1, prompt(7, 500), now)));
    let holder = sent(&spilled).expect("others are idle").to_owned();
    sender.handle(now, Event::FirstByte(RequestKey(2)));
    let mut fleet = support::router("r", 9, now);
    fleet.handle(now, Event::Report(sender.report(now, Scope::All)));
    let decisions = fleet.handle(now, Event::Submit(ask(1, 1, prompt(7, 500), now)));
    assert_eq!(sent(&decisions), Some(holder.as_str()));
}
