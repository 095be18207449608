//! Several workspaces request many times the throughput of the engines.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::{Exclusions, Reason, RefusalInputs};
use hibiscusrail_fleet::peers::{Report, Total};
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey};

use super::support::{self, failure_reason, prompt, sent_to, submission};

/// Submits requests of a workspace until the router refuses one.
fn flood(fleet: &mut Fleet, workspace: u64, now: Instant) -> Vec<Decision> {
    for key in 0..1_000 {
        let request = submission(1_000 + key, workspace, prompt(key, 2_000), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        if failure_reason(&decisions).is_some() {
            return decisions;
        }
    }
    Vec::new()
}

/// Returns the retry delay of a refused request.
fn retry_after(decisions: &[Decision]) -> Duration {
    let wait = decisions.iter().find_map(|d| match d {
        Decision::Fail { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    wait.expect("the request is refused")
}

#[test]
fn submit_flood_does_not_block_other_workspace() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    // Another workspace sends requests, so that the throughput is shared.
    fleet.handle(
        now,
        Event::Submit(submission(1, 2, prompt(5_000, 500), now)),
    );
    let refused = flood(&mut fleet, 1, now);
    assert_eq!(failure_reason(&refused), Some(Reason::OverShare));
    let decisions = fleet.handle(
        now,
        Event::Submit(submission(2, 2, prompt(5_000, 500), now)),
    );
    assert!(sent_to(&decisions).is_some(), "{decisions:?}");
}

#[test]
fn submit_refusal_has_retry_after() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    let refused = flood(&mut fleet, 1, now);
    let wait = retry_after(&refused);
    assert!(wait >= Duration::from_millis(200) && wait <= Duration::from_secs(3));
}

/// Pattern: a wave of one workspace over its share. A caller who comes back when told to must still
/// be able to receive the answer in time, as there is room again at any moment.
#[test]
fn submit_wave_over_share_may_come_back_before_target() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    let other = submission(1, 2, prompt(5_000, 500), now);
    fleet.handle(now, Event::Submit(other));
    let refused = flood(&mut fleet, 1, now);
    assert_eq!(failure_reason(&refused), Some(Reason::OverShare));
    let wait = retry_after(&refused);
    let target = Duration::from_secs(1);
    assert!(wait < target.mul_f64(0.4), "{wait:?}");
}

/// Returns why servers were left out for a refused request.
fn exclusions(decisions: &[Decision]) -> Exclusions {
    let exclusions = decisions.iter().find_map(|d| match d {
        Decision::Fail {
            inputs: Some(RefusalInputs::Server { exclusions, .. }),
            ..
        } => Some(*exclusions),
        _ => None,
    });
    exclusions.expect("the request is refused for want of a server")
}

#[test]
fn submit_refusal_counts_servers_over_each_limit() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    report_shares(&mut fleet, now);
    // Four fifths of the only engine's second go to this prefill.
    fleet.handle(now, Event::Submit(submission(1, 3, prompt(7, 39_000), now)));
    let refused = fleet.handle(now, Event::Submit(submission(2, 2, prompt(7, 100), now)));
    let expected = Exclusions {
        servers: 1,
        prefill: 1,
        ..Exclusions::default()
    };
    assert_eq!(exclusions(&refused), expected);
}

#[test]
fn submit_longest_prompt_starts_on_idle_engine() {
    let now = Instant::now();
    let mut fleet = support::router("r", 2, now);
    // Its prefill alone takes longer than the whole target.
    let decisions = fleet.handle(now, Event::Submit(submission(1, 1, prompt(1, 60_000), now)));
    assert!(sent_to(&decisions).is_some());
}

#[test]
fn submit_prefill_load_limits_engine() {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    let mut admitted = 0.0;
    // Ten seconds of requests whose prompts are prefilled at once.
    for step in 0..1_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let decisions = fleet.handle(
            now,
            Event::Submit(submission(step, step, prompt(1, 3_000), now)),
        );
        support::answer_checks(&mut fleet, now, &decisions);
        if sent_to(&decisions).is_some() {
            admitted += 3_000.0;
            fleet.handle(now, Event::FirstByte(RequestKey(step)));
            fleet.handle(now, Event::Ended(RequestKey(step), Outcome::Answered));
        }
    }
    // 55 tokens per millisecond for ten seconds, of which streams need a fraction.
    let capacity = 55.0 * 10_000.0;
    assert!(admitted <= capacity, "{admitted} of {capacity} tokens");
    assert!(
        admitted >= capacity / 2.0,
        "{admitted} of {capacity} tokens"
    );
}

/// Starts `running` requests at one engine and reports a token interval of 15 ms.
fn slow_streams(running: u64) -> (Fleet, Instant) {
    let start = Instant::now();
    let mut fleet = support::router("r", 1, start);
    let mut now = start;
    for key in 0..running {
        now = start + Duration::from_millis(50 * key);
        fleet.handle(now, Event::Submit(submission(key, 1, prompt(1, 100), now)));
        fleet.handle(now, Event::FirstByte(RequestKey(key)));
    }
    for _ in 0..20 {
        now += Duration::from_millis(100);
        let gap = Duration::from_millis(150);
        fleet.handle(
            now,
            Event::StreamProgress {
                key: RequestKey(0),
                gap,
                tokens: 10,
            },
        );
    }
    (fleet, now)
}

#[test]
fn submit_slow_streams_limit_engine() {
    let (mut fleet, now) = slow_streams(40);
    let decisions = fleet.handle(now, Event::Submit(submission(100, 2, prompt(1, 100), now)));
    assert_eq!(failure_reason(&decisions), Some(Reason::Busy));
}

#[test]
fn submit_router_delay_does_not_limit_engine() {
    // An engine with one request cannot be that slow.
    let (mut fleet, now) = slow_streams(1);
    let decisions = fleet.handle(now, Event::Submit(submission(100, 2, prompt(1, 100), now)));
    assert!(sent_to(&decisions).is_some());
}

#[test]
fn submit_workspaces_over_share_receive_equally() {
    let start = Instant::now();
    let mut fleet = support::router("r", 2, start);
    let mut admitted = [0_u32; 3];
    // The first workspace starts two seconds before the others and sends the most requests.
    for step in 0..4_000_u64 {
        let now = start + Duration::from_micros(step * 2_500);
        let all_active = step > 800;
        let workspace = match step % 8 {
            3 if all_active => 1,
            7 if all_active => 2,
            _ => 0,
        };
        let request = submission(step, workspace, prompt(step % 8, 2_000), now);
        let decisions = fleet.handle(now, Event::Submit(request));
        support::answer_checks(&mut fleet, now, &decisions);
        if sent_to(&decisions).is_some() {
            if step > 2_400 {
                admitted[usize::try_from(workspace).expect("there are three")] += 1;
            }
            fleet.handle(now, Event::FirstByte(RequestKey(step)));
            fleet.handle(now, Event::Ended(RequestKey(step), Outcome::Answered));
        }
    }
    let least = admitted.iter().min().expect("there are three");
    let most = admitted.iter().max().expect("there are three");
    assert!(least * 2 > *most, "{admitted:?}");
}

/// Reports from another router that workspaces 1 and 2 received more than their guaranteed share,
/// and workspace 1 far more than workspace 2.
fn report_shares(fleet: &mut Fleet, now: Instant) {
    for sequence in 1..=2 {
        let since_start = |tokens| if sequence == 1 { 0 } else { tokens };
        let total = |workspace, admitted| Total {
            workspace,
            requested: since_start(200_000),
            admitted: since_start(admitted),
            pending: 0,
        };
        let report = Report {
            sender: 7,
            incarnation: 1,
            sequence,
            totals: vec![total(1, 120_000), total(2, 45_000)],
            ..Report::default()
        };
        fleet.handle(now, Event::Report(report));
    }
}

/// Guards against a workspace that sends many times the requests of others and takes most of what becomes
/// free, whatever it has received; and against one that gets nothing for what it received before others
/// came.
#[test]
fn submit_far_over_share_considers_part_of_requests() {
    const REQUESTS: u64 = 400;
    let now = Instant::now();
    let mut fleet = support::router("r", 8, now);
    report_shares(&mut fleet, now);
    let mut refused = |workspace, keys: std::ops::Range<u64>| {
        let is_over = |d: &Decision| {
            matches!(
                d,
                Decision::Fail {
                    reason: Reason::OverShare,
                    inputs: Some(RefusalInputs::Share { .. }),
                    ..
                }
            )
        };
        let decisions = keys.map(|key| {
            let request = submission(key, workspace, prompt(1, 1), now);
            let decisions = fleet.handle(now, Event::Submit(request));
            fleet.handle(now, Event::Ended(RequestKey(key), Outcome::Left));
            decisions
        });
        let over = decisions.filter(|d| d.iter().any(is_over)).count();
        u64::try_from(over).expect("it fits")
    };
    // The requests ask for 30 even shares, of which one and a quarter are considered.
    let considered = REQUESTS - refused(1, 0..REQUESTS);
    assert!((10..100).contains(&considered), "{considered} considered");
    assert_eq!(refused(2, REQUESTS..2 * REQUESTS), 0);
}

#[test]
fn submit_refusal_past_target_does_not_ask_back_at_once() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    report_shares(&mut fleet, now);
    // The only engine spends more of its time on prefill than workspaces over their share may use.
    fleet.handle(now, Event::Submit(submission(1, 3, prompt(7, 30_000), now)));
    let mut late = submission(2, 1, prompt(7, 100), now);
    late.target = now;
    let refused = fleet.handle(now, Event::Submit(late));
    assert_eq!(failure_reason(&refused), Some(Reason::OverShare));
    assert!(retry_after(&refused) >= Duration::from_millis(100));
}

/// Pattern: the callers of a workspace meet at one small router, which refuses many of them, while
/// another workspace is served by the whole fleet. What the small router can pass on must not be
/// refused for want of an engine that starts at once.
#[test]
fn submit_workspace_that_received_far_less_may_wait_as_long_as_within_share() {
    let now = Instant::now();
    let mut fleet = support::router("r", 1, now);
    report_shares(&mut fleet, now);
    // The engine is busy for 0.36 s: less than 0.7 of the target, and more than 0.3.
    fleet.handle(now, Event::Submit(submission(1, 3, prompt(7, 15_000), now)));
    let most_served = submission(2, 1, prompt(7, 100), now);
    let refused = fleet.handle(now, Event::Submit(most_served));
    assert_eq!(failure_reason(&refused), Some(Reason::OverShare));
    let least_served = submission(3, 2, prompt(7, 100), now);
    let decisions = fleet.handle(now, Event::Submit(least_served));
    assert!(sent_to(&decisions).is_some(), "{decisions:?}");
}
