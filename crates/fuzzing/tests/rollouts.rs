//! Checks rollouts against the oracle, under random and fixed faults.

use std::time::Duration;

use hibiscusrail_fleet::rollout::order::State;
use hibiscusrail_fuzzing::rollouts::{Link, Step, World, step};
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of random cases, unless the environment variable `CASES` sets it.
const CASES: u32 = 48;
/// Number of steps of a case.
const MAX_STEPS: usize = 24;

// Guards against EXPOSURE and against two final states of an order, whatever fails.
#[test]
fn rollouts_random() {
    let cases = std::env::var("CASES").ok().and_then(|c| c.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 64,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = proptest::collection::vec(step(), 1..MAX_STEPS);
    let result = TestRunner::new_with_rng(config, rng).run(&(any::<u64>(), steps), |case| {
        let (seed, steps) = case;
        let mut world = World::new(seed);
        for step in &steps {
            world.step(step);
        }
        world.settle();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn order(failures: u8) -> Step {
    Step::Order {
        version: 0,
        failures,
        refuses: false,
    }
}

// Guards against an oracle whose rollouts all end in the same way.
#[test]
fn rollouts_without_faults_end_by_their_version() {
    for (failures, state) in [(0, State::Completed), (30, State::Reverted)] {
        let mut world = World::new(1);
        world.step(&order(failures));
        world.step(&Step::Advance(Duration::from_secs(1)));
        world.settle();
        assert_eq!(world.oracle().state(), Some(state));
    }
}

fn order_of(version: usize, failures: u8) -> Step {
    Step::Order {
        version,
        failures,
        refuses: false,
    }
}

fn advance(ms: u64) -> Step {
    Step::Advance(Duration::from_millis(ms))
}

fn run_steps(steps: &[Step]) {
    let mut world = World::new(0);
    for step in steps {
        world.step(step);
    }
    world.settle();
}

// Guards against requests to the version of a replaced order by routers that started after that.
#[test]
fn replaced_version_is_known_after_restart() {
    run_steps(&[
        order_of(1, 30),
        advance(3_000),
        order_of(2, 0),
        advance(5_600),
        Step::Kill(1),
        Step::Kill(2),
        advance(2_700),
        order_of(2, 50),
    ]);
}

// Guards against requests to the version of a replaced order by routers that never read that order.
#[test]
fn replaced_version_is_known_to_router_that_missed_order() {
    run_steps(&[
        advance(1_300),
        order_of(0, 0),
        Step::Store(0b1100, Link::ResponsesLost),
        advance(2_240),
        order_of(0, 50),
        Step::Kill(0),
        advance(2_145),
        order_of(2, 50),
    ]);
}

// Guards against requests to the version of an order that was replaced before any router read it.
#[test]
fn replaced_version_is_known_if_no_router_read_its_order() {
    run_steps(&[advance(3_400), order_of(2, 0), order_of(0, 100)]);
}
