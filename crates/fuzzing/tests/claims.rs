//! Attempts and claims against the oracle.

use hibiscusrail_core::claim::State;
use hibiscusrail_fuzzing::claims::{Fate, Step, TableFate, World, steps};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Runs of the fuzzer in CI.
const CASES: u32 = 3_000;

fn keyed(router: usize) -> Step {
    Step::Submit {
        router,
        key: Some(0),
        idempotent: false,
    }
}

fn table(fate: TableFate) -> Step {
    Step::Table { call: 0, fate }
}

fn server(fate: Fate) -> Step {
    Step::Server { request: 0, fate }
}

fn play(steps: &[Step]) -> World {
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
        play(&steps).heal();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn claim_repeat_after_lost_answer_runs_once() {
    let mut world = play(&[
        keyed(0),
        table(TableFate::AnswerLost),
        keyed(1),
        table(TableFate::Answered),
        table(TableFate::Answered),
    ]);
    world.heal();
    assert_eq!(world.oracle().runs("key-0"), 1);
}

#[test]
fn claim_held_by_paused_router_is_not_taken_over() {
    // Router 0 holds the claim and is paused before its dispatch goes out.
    let mut world = play(&[
        keyed(0),
        table(TableFate::Answered),
        Step::Wait { ms: 9_000 },
        keyed(1),
        table(TableFate::Answered),
        server(Fate::Run),
    ]);
    world.heal();
    assert_eq!(world.oracle().runs("key-0"), 1);
}

#[test]
fn claim_not_run_is_given_back() {
    let mut world = play(&[keyed(0), table(TableFate::Answered)]);
    for _ in 0..4 {
        world.step(&server(Fate::NoConnection));
        // A server that fails in a row is left alone for a while.
        for _ in 0..4 {
            world.step(&Step::Wait { ms: 500 });
        }
    }
    world.step(&table(TableFate::Answered));
    let row = world.table().row("key-0").expect("the key was claimed");
    assert_eq!(row.state, State::Released);
    world.step(&keyed(1));
    world.heal();
    assert_eq!(world.oracle().runs("key-0"), 1);
    let row = world.table().row("key-0").expect("the key was claimed");
    assert_eq!(row.attempt, 2);
}

#[test]
fn claim_abandoned_is_undone_though_its_write_comes_late() {
    let mut world = play(&[keyed(0), table(TableFate::Late), Step::Hangup(0)]);
    // The read back is under way; the undo follows it.
    for _ in 0..2 {
        world.step(&table(TableFate::Answered));
    }
    world.step(&Step::LateWrite(0));
    let row = world.table().row("key-0").expect("the undo wrote the row");
    assert_eq!(row.state, State::Released);
}

#[test]
fn claim_router_killed_after_dispatch_stays_in_doubt() {
    let mut world = play(&[
        keyed(0),
        table(TableFate::Answered),
        server(Fate::Run),
        Step::Restart(0),
        keyed(0),
    ]);
    world.heal();
    assert_eq!(world.oracle().runs("key-0"), 1);
}

#[test]
fn claim_cost_is_two_writes() {
    let mut world = play(&[keyed(0)]);
    world.heal();
    // One conditional write claims, one closes the claim with the answer.
    assert_eq!(world.table().writes(), 2);
}
