//! Streams that are refused at the head of their request, before they are submitted.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::peers::{Report, Scope, Total};
use hibiscusrail_fleet::pressure::Connection;
use hibiscusrail_fleet::quota::WorkspaceHash;
use hibiscusrail_fleet::{Event, Fleet};

use super::support::{self, prompt, sent_to, submission};

const WORKSPACE: Option<WorkspaceHash> = Some(WorkspaceHash(1));

fn overload(fleet: &mut Fleet, now: Instant) {
    for _ in 0..50 {
        fleet.handle(now, Event::LoopLag(Duration::from_secs(1)));
    }
}

/// Returns the tokens that the workspace requested, as other routers learn them.
fn requested(fleet: &mut Fleet, now: Instant) -> u64 {
    let totals = fleet.report(now, Scope::All).totals;
    totals.iter().map(|t: &Total| t.requested).sum()
}

/// Guards against shares that count a request twice, at its head and when it is submitted.
#[test]
fn overloaded_admitted_request_counts_once() {
    let now = Instant::now();
    let prompt = prompt(1, 2_000);
    let mut direct = support::router("r", 4, now);
    direct.handle(now, Event::Submit(submission(1, 1, prompt.clone(), now)));
    let mut asked = support::router("r", 4, now);
    assert_eq!(
        asked.overloaded(now, WORKSPACE, Some(&prompt), Connection::New),
        None
    );
    let admitted = Event::SubmitAdmitted(submission(1, 1, prompt, now));
    assert!(sent_to(&asked.handle(now, admitted)).is_some());
    assert!(requested(&mut direct, now) > 0);
    assert_eq!(requested(&mut asked, now), requested(&mut direct, now));
}

/// Guards against shares that don't see the demand of refused requests.
#[test]
fn overloaded_refused_request_counts_once() {
    let now = Instant::now();
    let prompt = prompt(1, 2_000);
    let mut direct = support::router("r", 4, now);
    direct.handle(now, Event::Submit(submission(1, 1, prompt.clone(), now)));
    let mut refusing = support::router("r", 4, now);
    overload(&mut refusing, now);
    assert!(refusing.may_refuse_streams());
    let wait = refusing.overloaded(now, WORKSPACE, Some(&prompt), Connection::New);
    assert!(wait.is_some_and(|w| !w.spread.is_zero()));
    assert_eq!(requested(&mut refusing, now), requested(&mut direct, now));
    assert_eq!(refusing.requests(), 0);
}

/// Guards against a request that is admitted at its head and refused once its body has arrived.
#[test]
fn overloaded_admitted_request_is_not_refused_later() {
    let now = Instant::now();
    let prompt = prompt(1, 2_000);
    let mut fleet = support::router("r", 4, now);
    assert_eq!(
        fleet.overloaded(now, WORKSPACE, Some(&prompt), Connection::New),
        None
    );
    overload(&mut fleet, now);
    let admitted = Event::SubmitAdmitted(submission(1, 1, prompt, now));
    assert!(sent_to(&fleet.handle(now, admitted)).is_some());
}

#[test]
fn may_refuse_streams_idle_router_is_false() {
    let now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    let request = submission(1, 1, prompt(1, 2_000), now);
    fleet.handle(now, Event::Submit(request));
    assert!(!fleet.may_refuse_streams());
}

/// Reports from another router that workspace 1 received far more than its guaranteed share.
fn report_large_share(fleet: &mut Fleet, now: Instant) {
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

/// Guards against a standing that is remembered for longer than a few requests of a wave.
#[test]
fn overloaded_follows_standing_of_workspace() {
    let mut now = Instant::now();
    let mut fleet = support::router("r", 4, now);
    // The small streams below have less than the mean charge.
    assert_eq!(
        fleet.overloaded(now, WORKSPACE, Some(&prompt(1, 50_000)), Connection::New),
        None
    );
    for _ in 0..200 {
        now += Duration::from_millis(25);
        fleet.handle(now, Event::LoopLag(Duration::from_millis(50)));
    }
    // Workspace 1 does not request most of the streams.
    for _ in 0..5 {
        let other = Some(WorkspaceHash(2));
        let _ = fleet.overloaded(now, other, Some(&prompt(1, 50_000)), Connection::New);
    }
    let small = prompt(1, 100);
    assert_eq!(
        fleet.overloaded(now, WORKSPACE, Some(&small), Connection::New),
        None
    );
    report_large_share(&mut fleet, now);
    now += Duration::from_millis(20);
    assert!(
        fleet
            .overloaded(now, WORKSPACE, Some(&small), Connection::New)
            .is_some()
    );
}
