//! Routes whose requests the operator moves among several services.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::{Deployment, Target};
use hibiscusrail_fleet::splits::Splits;

use super::support::{self, ENGINES, PLAIN};

/// Longest time for which a stream lasts.
const LIFETIME: Duration = Duration::from_secs(24);

/// Returns a configuration whose route of streams has these targets.
fn deployment(targets: &[(&str, u32)]) -> Deployment {
    let mut deployment = support::config(&[]).deployment.expect("there is one");
    deployment.routes[0].targets = targets
        .iter()
        .map(|(service, weight)| Target {
            service: (*service).to_owned(),
            weight: *weight,
        })
        .collect();
    deployment
}

/// Returns which services have moved streams after a change of targets.
fn moved_after(before: &[(&str, u32)], after: &[(&str, u32)]) -> Vec<String> {
    let mut splits = Splits::default();
    let (before, after) = (deployment(before), deployment(after));
    splits.replace(Instant::now(), &before, &after, LIFETIME)
}

#[test]
fn replace_records_services_that_stay_in_split_route() {
    let both = [(ENGINES, 9), (PLAIN, 1)];
    assert_eq!(
        moved_after(&both, &[(ENGINES, 1), (PLAIN, 9)]),
        [ENGINES, PLAIN]
    );
    assert_eq!(moved_after(&[(ENGINES, 1)], &both), [ENGINES]);
    assert_eq!(
        moved_after(&both, &[(PLAIN, 1), (ENGINES, 9)]),
        [ENGINES, PLAIN]
    );
}

#[test]
fn replace_ignores_routes_where_streams_stay_or_cannot() {
    let both = [(ENGINES, 9), (PLAIN, 1)];
    for (before, after) in [
        (&both[..], &both[..]),
        (&both, &[(PLAIN, 1)]),
        (&[(ENGINES, 1)], &[(PLAIN, 1)]),
        (&[(ENGINES, 1)], &[("others", 1), (PLAIN, 1)]),
    ] {
        assert!(
            moved_after(before, after).is_empty(),
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn replace_ignores_routes_without_resumable_streams() {
    let [mut before, mut after] = [9, 1].map(|weight| deployment(&[(ENGINES, weight), (PLAIN, 1)]));
    for deployment in [&mut before, &mut after] {
        deployment.routes[0].resumable = false;
    }
    let mut splits = Splits::default();
    let moved = splits.replace(Instant::now(), &before, &after, LIFETIME);
    assert!(moved.is_empty(), "{moved:?}");
}

#[test]
fn is_moved_ends_with_streams_of_before() {
    let now = Instant::now();
    let mut splits = Splits::default();
    let [before, after] = [9, 1].map(|weight| deployment(&[(ENGINES, weight), (PLAIN, 1)]));
    splits.replace(now, &before, &after, LIFETIME);
    for (age, expected) in [(0, true), (23, true), (24, false)] {
        let moved = splits.is_moved(now + Duration::from_secs(age), ENGINES);
        assert_eq!(moved, expected, "after {age} s");
    }
    // A further change begins the time anew.
    let later = now + Duration::from_secs(20);
    splits.replace(later, &after, &before, LIFETIME);
    assert!(splits.is_moved(now + Duration::from_secs(30), ENGINES));
}
