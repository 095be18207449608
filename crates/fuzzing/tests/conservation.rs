//! No slot stays free while a reachable entry holds work.

use std::time::Duration;

use hibiscusrail_core::Params;
use hibiscusrail_core::configuration::Admission;
use hibiscusrail_core::membership::MemberState;
use hibiscusrail_fuzzing::Fleet;
use hibiscusrail_fuzzing::fleet::Layout;
use rand::Rng;

/// Portion of slot steps that must be in use while work waits.
const USED: f64 = 0.97;

/// Keeps the queues of `entries` filled and returns the portion of slots in use.
fn load(fleet: &mut Fleet, entries: &[usize], depth: usize, seconds: u64) -> f64 {
    let (mut used, mut whole) = (0.0, 0.0);
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
            whole += f64::from(server.max);
        }
    }
    used / whole
}

#[test]
fn slots_single_entry_are_used() {
    let mut fleet = Fleet::new(Layout::new(4, 4).with_zones(2), Params::new(), 1);
    load(&mut fleet, &[3], 40, 10);
    let used = load(&mut fleet, &[3], 40, 5);
    assert!(used >= USED, "{used}");
}

#[test]
fn slots_wide_fleet_are_used() {
    let layout = Layout::new(24, 24).with_zones(3).with_shares(vec![1.0; 16]);
    let mut fleet = Fleet::new(layout, Params::new(), 1);
    load(&mut fleet, &[3, 4], 24, 15);
    let used = load(&mut fleet, &[3, 4], 24, 3);
    assert!(used >= USED, "{used}");
}

#[test]
fn slots_dispatcher_lost_are_used_again() {
    let mut fleet = Fleet::new(Layout::new(4, 4), Params::new(), 1);
    load(&mut fleet, &[0, 1, 2, 3], 12, 10);
    fleet.crash(2);
    load(&mut fleet, &[0, 1, 3], 16, 2);
    fleet.all_see(2, MemberState::Dead);
    load(&mut fleet, &[0, 1, 3], 16, 8);
    let used = load(&mut fleet, &[0, 1, 3], 16, 5);
    assert!(used >= USED, "{used}");
    assert_eq!(fleet.violations(), &[]);
}

#[test]
fn zone_closed_receives_nothing_new() {
    let mut fleet = Fleet::new(Layout::new(6, 6).with_zones(3), Params::new(), 1);
    load(&mut fleet, &[0, 1, 2, 3, 4, 5], 12, 5);
    let zone = fleet.layout().zone_object(0, Admission::Closed);
    fleet.configure(vec![zone]);
    let closed = fleet.now();
    load(&mut fleet, &[0, 1, 2, 3, 4, 5], 12, 3);
    let servers: Vec<_> = fleet.layout().servers().step_by(3).collect();
    for server in servers {
        let late = fleet.servers[&server].runs.values();
        assert_eq!(late.filter(|r| r.started > closed).count(), 0);
        assert_eq!(fleet.servers[&server].running(), 0);
    }
}

#[test]
fn servers_drained_router_is_handed_over() {
    let mut fleet = Fleet::new(Layout::new(4, 4), Params::new(), 1);
    load(&mut fleet, &[0, 1, 2, 3], 12, 10);
    let before = load(&mut fleet, &[0, 1, 2, 3], 12, 1);
    for viewer in 0..4 {
        fleet.see(viewer, 2, MemberState::Leaving);
    }
    let during = load(&mut fleet, &[0, 1, 3], 16, 1);
    assert!(before >= USED, "{before}");
    assert!(during >= USED, "{during}");
    assert_eq!(fleet.violations(), &[]);
}
