//! Many requests with few shared prefixes, from all routers.

use std::collections::BTreeSet;
use std::time::Instant;

use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Outcome, RequestKey};

use super::support::{self, prompt, sent_to, submission};

#[test]
fn submit_new_prefix_has_same_preferred_server_at_all_routers() {
    let now = Instant::now();
    for part in 0..20 {
        let preferred: BTreeSet<String> = (0..7)
            .map(|n| {
                let mut fleet = support::router(&format!("r{n}"), 9, now);
                let decisions =
                    fleet.handle(now, Event::Submit(submission(1, 1, prompt(part, 500), now)));
                sent_to(&decisions).expect("engines are idle").to_owned()
            })
            .collect();
        assert_eq!(preferred.len(), 1, "prefix {part} went to {preferred:?}");
    }
}

#[test]
fn submit_prefix_stays_at_its_engine() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let mut engines = BTreeSet::new();
    for key in 0..5 {
        let decisions = fleet.handle(now, Event::Submit(submission(key, 1, prompt(7, 500), now)));
        engines.insert(sent_to(&decisions).expect("engines are idle").to_owned());
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
        fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Answered));
    }
    assert_eq!(engines.len(), 1);
}

#[test]
fn submit_prefix_moves_if_its_engine_is_loaded() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let first = fleet.handle(now, Event::Submit(submission(1, 1, prompt(7, 30_000), now)));
    let preferred = sent_to(&first).expect("engines are idle").to_owned();
    let next = fleet.handle(now, Event::Submit(submission(2, 1, prompt(7, 500), now)));
    assert_ne!(sent_to(&next), Some(preferred.as_str()));
}

#[test]
fn submit_uses_prefix_placed_by_another_router() {
    let now = Instant::now();
    let mut sender = support::router("sender", 9, now);
    sender.handle(now, Event::Submit(submission(1, 1, prompt(7, 30_000), now)));
    let spilled = sender.handle(now, Event::Submit(submission(2, 1, prompt(7, 500), now)));
    let holder = sent_to(&spilled).expect("others are idle").to_owned();
    sender.handle(now, Event::FirstByte(RequestKey(2)));
    let mut fleet = support::router("r", 9, now);
    fleet.handle(now, Event::Report(sender.report(now, Scope::All)));
    let decisions = fleet.handle(now, Event::Submit(submission(1, 1, prompt(7, 500), now)));
    assert_eq!(sent_to(&decisions), Some(holder.as_str()));
}
