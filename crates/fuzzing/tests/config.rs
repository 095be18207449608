//! Checks configuration and membership against the oracle, under random and fixed faults.

use std::time::Duration;

use hibiscusrail_core::RouterId;
use hibiscusrail_core::configuration::Version;
use hibiscusrail_core::configuration::exchange::NotReady;
use hibiscusrail_core::membership::MemberState;
use hibiscusrail_fuzzing::config::{Action, Fleet, ROUTERS, action};
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Time within which connected routers must have the same configuration.
const CONVERGENCE: Duration = Duration::from_secs(30);

/// Number of random cases, unless the environment variable `CASES` sets it.
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
                fleet.apply(action);
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
        answer_lost: false,
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
    fleet.apply(&submit(8, &[0, 1, 2]));
    fleet.poll(0, 0, false);
    fleet.advance(Duration::from_secs(3));
    fleet.restart(3);
    fleet.poll(3, 1, true);
    assert_eq!(fleet.router(3).not_ready(), Some(NotReady::FirstProbes));
    fleet.advance(Duration::from_millis(300));
    assert_eq!(fleet.router(3).not_ready(), None);
    fleet.check_converged();
}

#[test]
fn restart_without_table_learns_from_peers() {
    let mut fleet = ready_fleet();
    fleet.apply(&Action::Outage(true));
    fleet.restart(2);
    assert_eq!(fleet.router(2).not_ready(), Some(NotReady::NoSource));
    fleet.advance(Duration::from_secs(1));
    fleet.check_converged();
}

// Guards against an object that was changed or removed, and is in use again at a router that restarts
// while the table is away and learns first from a peer that has not heard of the change (report 4).
#[test]
fn restart_without_table_learns_from_newer_peer_after_older() {
    let mut fleet = ready_fleet();
    // Router 1 does not hear of ticket 7, which removes objects, nor of ticket 8.
    fleet.apply(&Action::Partition(1 << 1));
    fleet.apply(&submit(7, &[0, 1]));
    fleet.apply(&submit(8, &[2]));
    fleet.poll(0, 0, false);
    fleet.advance(Duration::from_millis(500));
    fleet.apply(&Action::Outage(true));
    // The restarted router sees the older one alone.
    fleet.apply(&Action::Partition(1 << 1 | 1 << 2));
    fleet.restart(2);
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.router(2).config().head(), Version(1));
    fleet.apply(&Action::Partition(0));
    fleet.advance(Duration::from_secs(5));
    fleet.check_converged();
}

#[test]
fn restart_without_table_and_peers_is_not_ready() {
    let mut fleet = ready_fleet();
    fleet.apply(&Action::Outage(true));
    fleet.apply(&Action::Partition(1 << 2));
    fleet.restart(2);
    fleet.advance(Duration::from_secs(60));
    assert_eq!(fleet.router(2).not_ready(), Some(NotReady::NoSource));
}

#[test]
fn change_read_by_one_router_is_pushed_to_all() {
    let mut fleet = ready_fleet();
    fleet.apply(&submit(8, &[0]));
    fleet.poll(0, 0, false);
    fleet.advance(Duration::from_millis(100));
    fleet.check_converged();
}

#[test]
fn partition_heals_without_probation() {
    let mut fleet = ready_fleet();
    fleet.apply(&Action::Partition(0b01));
    fleet.advance(Duration::from_secs(20));
    let cut = RouterId::new("router-0");
    let seen = fleet.router(1).members().get(cut).map(|m| m.state);
    assert_eq!(seen, Some(MemberState::Dead));
    fleet.settle(1, Duration::from_secs(10));
    let seen = fleet.router(1).members().get(cut).map(|m| m.state);
    assert_eq!(seen, Some(MemberState::Alive));
}

#[test]
fn member_flapping_is_put_on_probation() {
    let mut fleet = ready_fleet();
    let flapping = RouterId::new("router-0");
    for _ in 0..2 {
        fleet.apply(&Action::Partition(0b01));
        fleet.advance(Duration::from_secs(20));
        fleet.apply(&Action::Partition(0));
        fleet.advance(Duration::from_secs(4));
    }
    let state = |fleet: &Fleet| fleet.router(1).members().get(flapping).map(|m| m.state);
    assert_eq!(state(&fleet), Some(MemberState::Probation));
    fleet.advance(Duration::from_secs(10));
    assert_eq!(state(&fleet), Some(MemberState::Alive));
}

/// Maximum rate of membership messages per router, in bytes per second.
const MAX_CONTROL_RATE: u64 = 6_000;
/// Kinds of membership messages.
const PROBES: [&str; 3] = ["ping", "ack", "ping_request"];
/// Time over which messages are counted, in seconds.
const COUNTED_S: u64 = 10;

/// Returns the rate of membership messages per router: messages and bytes per second.
fn probe_rate(size: usize) -> (u64, u64) {
    let mut fleet = Fleet::with_size(1, size);
    for router in 0..size {
        fleet.poll(router, 0, true);
    }
    fleet.advance(Duration::from_secs(10));
    let before = probes(&fleet);
    fleet.advance(Duration::from_secs(COUNTED_S));
    let after = probes(&fleet);
    let span = COUNTED_S * u64::try_from(size).expect("a small number");
    let rate = ((after.0 - before.0) / span, (after.1 - before.1) / span);
    println!(
        "{size} routers: {} messages/s, {} bytes/s each",
        rate.0, rate.1
    );
    rate
}

/// Returns the number and total bytes of membership messages sent by all routers.
fn probes(fleet: &Fleet) -> (u64, u64) {
    let sent = PROBES.iter().filter_map(|kind| fleet.sent().get(kind));
    sent.fold((0, 0), |(messages, bytes), s| {
        (messages + s.messages, bytes + s.bytes)
    })
}

#[test]
fn probe_rate_is_independent_of_size() {
    let (small, small_bytes) = probe_rate(7);
    let (large, large_bytes) = probe_rate(320);
    assert_eq!(small, large);
    assert!(small_bytes <= MAX_CONTROL_RATE && large_bytes <= MAX_CONTROL_RATE);
}
