//! Checks that no slot stays free while requests wait at a reachable entry.

use std::time::Duration;

use hibiscusrail_core::Params;
use hibiscusrail_core::configuration::Admission;
use hibiscusrail_core::membership::MemberState;
use hibiscusrail_fuzzing::Fleet;
use hibiscusrail_fuzzing::fleet::Layout;
use rand::Rng;

/// Minimum fraction of slots in use, averaged over the steps, while requests wait.
const MIN_UTILISATION: f64 = 0.97;

/// Keeps the queues of `entries` filled for some seconds and returns the fraction of slots in use.
fn run_loaded(fleet: &mut Fleet, entries: &[usize], depth: usize, seconds: u64) -> f64 {
    let (mut used, mut total) = (0.0, 0.0);
    let end = fleet.now() + Duration::from_secs(seconds);
    while fleet.now() < end {
        for node in entries {
            for workspace in 0..fleet.layout().shares.len() {
                fleet.top_up(*node, workspace, depth, None, |rng| {
                    Duration::from_millis(rng.random_range(100..900))
                });
            }
        }
        fleet.step();
        for server in fleet.servers.values() {
            used += f64::from(server.running());
            total += f64::from(server.max_limit);
        }
    }
    used / total
}

#[test]
fn slots_single_entry_are_used() {
    let mut fleet = Fleet::new(Layout::new(4, 4).with_zones(2), Params::new(), 1);
    run_loaded(&mut fleet, &[3], 40, 10);
    let used = run_loaded(&mut fleet, &[3], 40, 5);
    assert!(used >= MIN_UTILISATION, "{used}");
}

#[test]
fn slots_wide_fleet_are_used() {
    let layout = Layout::new(24, 24).with_zones(3).with_shares(vec![1.0; 16]);
    let mut fleet = Fleet::new(layout, Params::new(), 1);
    run_loaded(&mut fleet, &[3, 4], 24, 15);
    let used = run_loaded(&mut fleet, &[3, 4], 24, 3);
    assert!(used >= MIN_UTILISATION, "{used}");
}

#[test]
fn slots_crashed_dispatcher_are_used_again() {
    let mut fleet = Fleet::new(Layout::new(4, 4), Params::new(), 1);
    run_loaded(&mut fleet, &[0, 1, 2, 3], 12, 10);
    fleet.crash(2);
    run_loaded(&mut fleet, &[0, 1, 3], 16, 2);
    fleet.set_all_views(2, MemberState::Dead);
    run_loaded(&mut fleet, &[0, 1, 3], 16, 8);
    let used = run_loaded(&mut fleet, &[0, 1, 3], 16, 5);
    assert!(used >= MIN_UTILISATION, "{used}");
    assert_eq!(fleet.violations(), &[]);
}

#[test]
fn zone_closed_receives_no_requests() {
    let mut fleet = Fleet::new(Layout::new(6, 6).with_zones(3), Params::new(), 1);
    run_loaded(&mut fleet, &[0, 1, 2, 3, 4, 5], 12, 5);
    let zone = fleet.layout().zone_object(0, Admission::Closed);
    fleet.configure(vec![zone]);
    let closed = fleet.now();
    run_loaded(&mut fleet, &[0, 1, 2, 3, 4, 5], 12, 3);
    let servers: Vec<_> = fleet.layout().server_ids().step_by(3).collect();
    for server in servers {
        let runs = fleet.servers[&server].runs.values();
        assert_eq!(runs.filter(|r| r.started > closed).count(), 0);
        assert_eq!(fleet.servers[&server].running(), 0);
    }
}

#[test]
fn slots_drained_dispatcher_are_handed_over() {
    let mut fleet = Fleet::new(Layout::new(4, 4), Params::new(), 1);
    run_loaded(&mut fleet, &[0, 1, 2, 3], 12, 10);
    let before = run_loaded(&mut fleet, &[0, 1, 2, 3], 12, 1);
    for viewer in 0..4 {
        fleet.set_view(viewer, 2, MemberState::Leaving);
    }
    let during = run_loaded(&mut fleet, &[0, 1, 3], 16, 1);
    assert!(before >= MIN_UTILISATION, "{before}");
    assert!(during >= MIN_UTILISATION, "{during}");
    assert_eq!(fleet.violations(), &[]);
}
