//! Load pattern: many routers choose among the same engines within milliseconds.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Event, Fleet, Outcome, RequestKey};

use super::support::{self, ask, prompt, sent};

/// Tells every other router what one has just sent.
fn tell(fleets: &mut [Fleet], sender: usize, now: Instant) {
    let Some(news) = fleets[sender].news() else {
        return;
    };
    for (number, fleet) in fleets.iter_mut().enumerate() {
        if number != sender {
            fleet.handle(now, Event::Report(news.clone()));
        }
    }
}

/// Lets eight routers send a long prompt each, and returns how many engines they use.
fn engines_used(news: bool) -> usize {
    let now = Instant::now();
    let mut fleets: Vec<Fleet> = (0..8)
        .map(|n| support::router(&format!("r{n}"), 8, now))
        .collect();
    let mut used = BTreeSet::new();
    for number in 0..fleets.len() {
        // All about one subject, so that routers that know nothing take its home.
        let request = ask(1, 1, prompt(7, 20_000), now);
        let decisions = fleets[number].handle(now, Event::Submit(request));
        used.insert(sent(&decisions).expect("engines are idle").to_owned());
        if news {
            tell(&mut fleets, number, now);
        }
    }
    used.len()
}

#[test]
fn news_keeps_routers_from_taking_the_same_engine() {
    assert_eq!(engines_used(false), 1);
    assert_eq!(engines_used(true), 8);
}

#[test]
fn news_tells_what_was_sent_once() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    assert!(!fleet.has_news() && fleet.news().is_none());
    fleet.handle(now, Event::Submit(ask(1, 1, prompt(7, 500), now)));
    assert!(fleet.has_news());
    let news = fleet.news().expect("something was sent");
    assert!(news.incremental && news.loads.len() == 1 && news.placed.len() == 1);
    assert!(fleet.news().is_none());
}

#[test]
fn news_leaves_what_it_does_not_name() {
    let now = Instant::now();
    let mut sender = support::router("sender", 4, now);
    let mut fleet = support::router("r", 4, now);
    sender.handle(now, Event::Submit(ask(1, 1, prompt(1, 9_000), now)));
    fleet.handle(now, Event::Report(sender.report(now, Scope::All)));
    assert!(sender.news().is_some(), "told in the whole report already");
    sender.handle(now, Event::Submit(ask(2, 1, prompt(2, 9_000), now)));
    let news = sender.news().expect("something was sent");
    fleet.handle(now, Event::Report(news));
    let unread: u64 = fleet
        .roster()
        .all()
        .map(|s| s.peer_load.pending_prefill)
        .sum();
    let own: u64 = sender
        .roster()
        .all()
        .map(|s| s.own_load.pending_prefill)
        .sum();
    assert_eq!(unread, own);
}

#[test]
fn news_that_overtakes_or_is_lost_is_healed_by_a_whole_report() {
    let now = Instant::now();
    let mut sender = support::router("sender", 4, now);
    let mut fleet = support::router("r", 4, now);
    sender.handle(now, Event::Submit(ask(1, 1, prompt(1, 9_000), now)));
    let late = sender.news().expect("something was sent");
    sender.handle(now, Event::FirstByte(RequestKey(1)));
    sender.handle(now, Event::Ended(RequestKey(1), Outcome::Answered));
    fleet.handle(now, Event::Report(sender.report(now, Scope::All)));
    fleet.handle(now, Event::Report(late));
    let running: u32 = fleet.roster().all().map(|s| s.peer_load.running).sum();
    assert_eq!(running, 0);
}

#[test]
fn news_of_a_router_that_falls_silent_expires() {
    let now = Instant::now();
    let mut sender = support::router("sender", 4, now);
    let mut fleet = support::router("r", 4, now);
    sender.handle(now, Event::Submit(ask(1, 1, prompt(1, 9_000), now)));
    let news = sender.news().expect("something was sent");
    fleet.handle(now, Event::Report(news));
    let later = now + Duration::from_secs(2);
    fleet.handle(later, Event::Tick);
    let running: u32 = fleet.roster().all().map(|s| s.peer_load.running).sum();
    assert_eq!(running, 0);
}

#[test]
fn news_of_a_router_that_was_not_heard_says_nothing_of_the_store() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    // Two others that would follow the store in this router's place.
    for number in 0..8 {
        let mut sender = support::router(&format!("s{number}"), 4, now);
        sender.handle(now, Event::Submit(ask(1, 1, prompt(1, 9_000), now)));
        let news = sender.news().expect("something was sent");
        fleet.handle(now, Event::Report(news));
    }
    assert!(fleet.watches(now));
}
