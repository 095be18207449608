//! Configuration and membership under faults, against the oracle.

use std::time::Duration;

use hibiscusrail_core::RouterId;
use hibiscusrail_core::configuration::exchange::Waiting;
use hibiscusrail_core::membership::MemberState;
use hibiscusrail_fuzzing::config::{Action, Fleet, ROUTERS, action};
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Time within which routers that can talk must agree.
const CONVERGENCE: Duration = Duration::from_secs(30);

/// Runs of the fuzzer in CI.
const CASES: u32 = 256;

#[test]
fn versions_never_revert_and_converge() {
    let cases = std::env::var("CASES").ok().and_then(|c| c.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let actions = proptest::collection::vec(action(), 1..80);
    let result = TestRunner::new_with_rng(config, rng).run(
        &(any::<u64>(), 0..ROUTERS, actions),
        |(seed, reader, actions)| {
            let mut fleet = Fleet::new(seed);
            for action in &actions {
                fleet.act(action);
            }
            fleet.settle(reader, CONVERGENCE);
            fleet.check_converged();
            Ok(())
        },
    );
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn submit(number: u64, objects: &[usize]) -> Action {
    Action::Submit {
        number,
        author: 0,
        objects: objects.to_vec(),
        lost: false,
    }
}

fn ready_fleet() -> Fleet {
    let mut fleet = Fleet::new(1);
    for router in 0..ROUTERS {
        fleet.poll(router, 0, true);
    }
    fleet.advance(Duration::from_secs(3));
    fleet.check_converged();
    fleet
}

#[test]
fn restart_with_old_table_waits_for_peers() {
    let mut fleet = ready_fleet();
    fleet.act(&submit(8, &[0, 1, 2]));
    fleet.poll(0, 0, false);
    fleet.advance(Duration::from_secs(3));
    fleet.restart(3);
    fleet.poll(3, 1, true);
    assert_eq!(fleet.router(3).waiting(), Some(Waiting::FirstProbes));
    fleet.advance(Duration::from_millis(300));
    assert_eq!(fleet.router(3).waiting(), None);
    fleet.check_converged();
}

#[test]
fn restart_without_table_learns_from_peers() {
    let mut fleet = ready_fleet();
    fleet.act(&Action::Outage(true));
    fleet.restart(2);
    assert_eq!(fleet.router(2).waiting(), Some(Waiting::NoSource));
    fleet.advance(Duration::from_secs(1));
    fleet.check_converged();
}

#[test]
fn restart_without_table_and_peers_is_not_ready() {
    let mut fleet = ready_fleet();
    fleet.act(&Action::Outage(true));
    fleet.act(&Action::Cut(1 << 2));
    fleet.restart(2);
    fleet.advance(Duration::from_secs(60));
    assert_eq!(fleet.router(2).waiting(), Some(Waiting::NoSource));
}

#[test]
fn change_read_by_one_router_is_pushed_to_all() {
    let mut fleet = ready_fleet();
    fleet.act(&submit(8, &[0]));
    fleet.poll(0, 0, false);
    fleet.advance(Duration::from_millis(100));
    fleet.check_converged();
}

#[test]
fn partition_heals_without_probation() {
    let mut fleet = ready_fleet();
    fleet.act(&Action::Cut(0b01));
    fleet.advance(Duration::from_secs(20));
    let cut = RouterId::new("router-0");
    let seen = fleet.router(1).members().get(cut).map(|m| m.state);
    assert_eq!(seen, Some(MemberState::Dead));
    fleet.settle(1, Duration::from_secs(10));
    let seen = fleet.router(1).members().get(cut).map(|m| m.state);
    assert_eq!(seen, Some(MemberState::Alive));
}

#[test]
fn member_flapping_loses_its_roles_for_a_while() {
    let mut fleet = ready_fleet();
    let flapping = RouterId::new("router-0");
    for _ in 0..2 {
        fleet.act(&Action::Cut(0b01));
        fleet.advance(Duration::from_secs(20));
        fleet.act(&Action::Cut(0));
        fleet.advance(Duration::from_secs(4));
    }
    let state = |fleet: &Fleet| fleet.router(1).members().get(flapping).map(|m| m.state);
    assert_eq!(state(&fleet), Some(MemberState::Probation));
    fleet.advance(Duration::from_secs(10));
    assert_eq!(state(&fleet), Some(MemberState::Alive));
}

#[test]
fn probes_are_constant_whatever_the_size() {
    let rate = |size: usize| {
        let mut fleet = Fleet::with_size(1, size);
        for router in 0..size {
            fleet.poll(router, 0, true);
        }
        fleet.advance(Duration::from_secs(30));
        let before: u64 = pings(&fleet);
        fleet.advance(Duration::from_secs(20));
        let routers = u64::try_from(size).expect("a small number");
        (pings(&fleet) - before) / (20 * routers)
    };
    assert_eq!(rate(7), 2);
    assert_eq!(rate(40), 2);
}

fn pings(fleet: &Fleet) -> u64 {
    fleet.sent().get("ping").copied().unwrap_or(0)
}
