//! Load pattern: several workspaces ask for many times what the engines give.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Reason;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, ask, given_up, prompt, sent};

/// Lets a workspace ask until the router refuses it.
fn flood(fleet: &mut Fleet, workspace: u64, now: Instant) -> Vec<Decision> {
    for key in 0..1_000 {
        let request = ask(1_000 + key, workspace, prompt(key, 2_000), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        if given_up(&decisions).is_some() {
            return decisions;
        }
    }
    Vec::new()
}

#[test]
fn submit_flood_of_one_workspace_leaves_room_for_another() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    // Another workspace asks, so that the throughput is shared.
    fleet.handle(now, Event::Submit(ask(1, 2, prompt(5_000, 500), now)));
    let refused = flood(&mut fleet, 1, now);
    assert_eq!(given_up(&refused), Some(Reason::OverShare));
    let decisions = fleet.handle(now, Event::Submit(ask(2, 2, prompt(5_000, 500), now)));
    assert!(sent(&decisions).is_some(), "{decisions:?}");
}

#[test]
fn submit_refusal_names_when_to_come_back() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let refused = flood(&mut fleet, 1, now);
    let wait = refused.iter().find_map(|d| match d {
        Decision::GiveUp { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    let wait = wait.expect("the flood is refused");
    assert!(wait >= Duration::from_millis(200) && wait <= Duration::from_secs(3));
}

#[test]
fn submit_longest_prompt_begins_on_an_idle_engine() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    // Its reading alone takes longer than the whole target.
    let decisions = fleet.handle(now, Event::Submit(ask(1, 1, prompt(1, 60_000), now)));
    assert!(sent(&decisions).is_some());
}

#[test]
fn submit_engine_that_reads_all_the_time_receives_no_more() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    let mut admitted = 0.0;
    // Ten seconds of requests whose prompts are read at once.
    for step in 0..1_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let decisions = fleet.handle(now, Event::Submit(ask(step, step, prompt(1, 3_000), now)));
        if sent(&decisions).is_some() {
            admitted += 3_000.0;
            fleet.handle(now, Event::FirstByte(RequestKey(step)));
            fleet.handle(now, Event::Ended(RequestKey(step), Outcome::Answered));
        }
    }
    // 55 tokens a millisecond for ten seconds, of which streams need a part.
    let capacity = 55.0 * 10_000.0;
    assert!(admitted <= capacity, "{admitted} of {capacity} tokens");
    assert!(
        admitted >= capacity / 2.0,
        "{admitted} of {capacity} tokens"
    );
}

/// Begins `running` requests at one engine and lets a stream take 15 ms for each token.
fn slow_streams(running: u64) -> (Fleet, Instant) {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    let mut now = start;
    for key in 0..running {
        now = start + Duration::from_millis(50 * key);
        fleet.handle(now, Event::Submit(ask(key, 1, prompt(1, 100), now)));
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
    }
    for _ in 0..20 {
        now += Duration::from_millis(100);
        let gap = Duration::from_millis(150);
        fleet.handle(
            now,
            Event::Paced {
                key: RequestKey(0),
                gap,
                tokens: 10,
            },
        );
    }
    (fleet, now)
}

#[test]
fn submit_engine_whose_streams_are_slow_receives_no_more() {
    let (mut fleet, now) = slow_streams(40);
    let decisions = fleet.handle(now, Event::Submit(ask(100, 2, prompt(1, 100), now)));
    assert_eq!(given_up(&decisions), Some(Reason::Busy));
}

#[test]
fn submit_delay_of_a_busy_router_is_not_the_engines() {
    // An engine with one request can't be that slow.
    let (mut fleet, now) = slow_streams(1);
    let decisions = fleet.handle(now, Event::Submit(ask(100, 2, prompt(1, 100), now)));
    assert!(sent(&decisions).is_some());
}

#[test]
fn submit_workspaces_beyond_their_promise_receive_alike() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    let mut admitted = [0_u32; 3];
    // The first workspace began two seconds before the others and asks most often.
    for step in 0..4_000_u64 {
        let now = start + Duration::from_micros(step * 2_500);
        let others = step > 800;
        let who = match step % 8 {
            3 if others => 1,
            7 if others => 2,
            _ => 0,
        };
        let request = ask(step, who, prompt(step % 8, 2_000), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        if sent(&decisions).is_some() {
            if step > 2_400 {
                admitted[usize::try_from(who).expect("there are three")] += 1;
            }
            fleet.handle(now, Event::FirstByte(RequestKey(step)));
            fleet.handle(now, Event::Ended(RequestKey(step), Outcome::Answered));
        }
    }
    let least = admitted.iter().min().expect("there are three");
    let most = admitted.iter().max().expect("there are three");
    assert!(least * 2 > *most, "{admitted:?}");
}
