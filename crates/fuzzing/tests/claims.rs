//! Checks attempts and claims against the oracle, in random and in fixed cases.

use hibiscusrail_core::claim::State;
use hibiscusrail_fuzzing::claims::{Outcome, Step, TableOutcome, World, steps};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of random cases, unless the environment variable `CASES` sets it.
const CASES: u32 = 3_000;

fn submit_keyed(router: usize) -> Step {
    Step::Submit {
        router,
        key: Some(0),
        idempotent: false,
    }
}

fn table(outcome: TableOutcome) -> Step {
    Step::Table { index: 0, outcome }
}

fn server(outcome: Outcome) -> Step {
    Step::Server { index: 0, outcome }
}

fn run_steps(steps: &[Step]) -> World {
    let mut world = World::new();
    for step in steps {
        world.step(step);
    }
    world
}

#[test]
fn claims_steps_random() {
    let config = Config {
        cases: std::env::var("CASES")
            .ok()
            .and_then(|c| c.parse().ok())
            .unwrap_or(CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&steps(), |steps| {
        run_steps(&steps).settle();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn claim_repeat_after_lost_answer_runs_once() {
    let mut world = run_steps(&[
        submit_keyed(0),
        table(TableOutcome::AnswerLost),
        submit_keyed(1),
        table(TableOutcome::Answered),
        table(TableOutcome::Answered),
    ]);
    world.settle();
    assert_eq!(world.oracle().key_runs("key-0"), 1);
}

#[test]
fn claim_held_by_paused_router_is_not_taken_over() {
    // Router 0 holds the claim, and is paused before it dispatches the request.
    let mut world = run_steps(&[
        submit_keyed(0),
        table(TableOutcome::Answered),
        Step::Wait { ms: 9_000 },
        submit_keyed(1),
        table(TableOutcome::Answered),
        server(Outcome::Run),
    ]);
    world.settle();
    assert_eq!(world.oracle().key_runs("key-0"), 1);
}

#[test]
fn claim_not_run_is_released() {
    let mut world = run_steps(&[submit_keyed(0), table(TableOutcome::Answered)]);
    for _ in 0..4 {
        world.step(&server(Outcome::NoConnection));
        // After consecutive failures a server receives no requests for a while.
        for _ in 0..4 {
            world.step(&Step::Wait { ms: 500 });
        }
    }
    world.step(&table(TableOutcome::Answered));
    let row = world.table().row("key-0").expect("the key was claimed");
    assert_eq!(row.state, State::Released);
    world.step(&submit_keyed(1));
    world.settle();
    assert_eq!(world.oracle().key_runs("key-0"), 1);
    let row = world.table().row("key-0").expect("the key was claimed");
    assert_eq!(row.attempt, 2);
}

#[test]
fn claim_abandoned_with_delayed_write_is_released() {
    let mut world = run_steps(&[
        submit_keyed(0),
        table(TableOutcome::Delayed),
        Step::Hangup(0),
    ]);
    // The router reads the row back, then writes the release.
    for _ in 0..2 {
        world.step(&table(TableOutcome::Answered));
    }
    world.step(&Step::DelayedWrite(0));
    let row = world.table().row("key-0").expect("the key was released");
    assert_eq!(row.state, State::Released);
}

#[test]
fn claim_router_killed_after_dispatch_stays_in_doubt() {
    let mut world = run_steps(&[
        submit_keyed(0),
        table(TableOutcome::Answered),
        server(Outcome::Run),
        Step::Restart(0),
        submit_keyed(0),
    ]);
    world.settle();
    assert_eq!(world.oracle().key_runs("key-0"), 1);
}

#[test]
fn claim_completed_costs_two_writes() {
    let mut world = run_steps(&[submit_keyed(0)]);
    world.settle();
    // One conditional write creates the claim, one completes it with the answer.
    assert_eq!(world.table().writes(), 2);
}
