//! Many requests with few shared prefixes, from all routers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

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

/// Pattern: workspaces over their share ask for many prefixes at once, while engines are busy.
#[test]
fn submit_over_share_keeps_prefixes_at_two_engines() {
    let start = Instant::now();
    let mut fleet = support::router("r", 9, start);
    let mut engines: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    let mut running: VecDeque<(Instant, RequestKey)> = VecDeque::new();
    for key in 0..2_000 {
        let now = start + Duration::from_millis(5) * u32::try_from(key).expect("a small key");
        while let Some((_, ended)) = running.pop_front_if(|(at, _)| *at <= now) {
            fleet.handle(now, Event::FirstByte(ended));
            fleet.handle(now, Event::Ended(ended, Outcome::Answered));
        }
        // The engines are busy with other prefixes before those that are counted arrive.
        let prefix = if key < 400 { 100 + key } else { key * 7 % 40 };
        let request = submission(key, 1, prompt(prefix, 2_000), now);
        if let Some(engine) = sent_to(&fleet.handle(now, Event::Submit(request))) {
            let engine = engine.to_owned();
            engines.entry(prefix).or_default().insert(engine);
            running.push_back((now + Duration::from_millis(300), RequestKey(key)));
        }
    }
    engines.retain(|prefix, _| *prefix < 40);
    assert!(
        engines.len() > 20,
        "only {} prefixes were served",
        engines.len()
    );
    let spread = engines.values().map(BTreeSet::len).max();
    assert!(spread <= Some(2), "a prefix went to {spread:?} engines");
}

/// Pattern: a burst of requests with one prefix, from workspaces within their share.
#[test]
fn submit_burst_within_share_spreads_prefix() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let mut engines = BTreeSet::new();
    for key in 0..30 {
        let request = submission(key, key, prompt(7, 5_000), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        engines.insert(sent_to(&decisions).expect("others are idle").to_owned());
    }
    assert!(engines.len() > 2, "the prefix stayed at {engines:?}");
}

/// Pattern: after a restart of the engines, or in the morning, no prefix is cached anywhere.
#[test]
fn submit_wave_of_uncached_prefixes_is_refused_beyond_prefill_in_time() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let mut sent = 0;
    for key in 0..40 {
        let request = submission(key, key, prompt(key, 100), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        sent += u32::from(sent_to(&decisions).is_some());
    }
    // An engine prefills 5,100 tokens in 93 ms, and requests start within 0.7 s.
    assert!((10..=16).contains(&sent), "{sent} requests were sent");
}
