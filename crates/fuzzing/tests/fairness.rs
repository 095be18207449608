//! Service of backlogged workspaces stays within a bound of their shares.

use std::time::Duration;

use hibiscusrail_core::Params;
use hibiscusrail_core::params::Policy;
use hibiscusrail_fuzzing::Fleet;
use hibiscusrail_fuzzing::fleet::{Faults, Layout, STEP};
use rand::Rng;
use rand::rngs::SmallRng;

const ROUTERS: usize = 7;
const SERVERS: usize = 10;
/// Largest gap between two backlogged workspaces, in seconds of the pool's service.
const GAP_SECONDS: f64 = 2.0;
/// Largest deviation of a workspace's service from its portion over a minute.
const PORTION_ERROR: f64 = 0.05;

fn shares() -> Vec<f64> {
    let mut shares = vec![1.0; 16];
    shares[..3].fill(4.0);
    shares
}

fn layout() -> Layout {
    Layout::new(ROUTERS, SERVERS)
        .with_zones(3)
        .with_limits(4, 24)
        .with_shares(shares())
}

/// A heavy-tailed length: most are short, a few take many seconds.
fn length(rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(0.001..1.0);
    let seconds = 0.15 * uniform.powf(-0.6);
    Duration::from_secs_f64(seconds.min(8.0))
}

/// Where the callers of a workspace arrive: one of them at a single router.
fn nodes(workspace: usize) -> std::ops::Range<usize> {
    if workspace == 3 { 0..1 } else { 0..ROUTERS }
}

/// Waiting requests per router; one workspace floods.
fn depth(workspace: usize) -> usize {
    match workspace {
        3 => 60,
        4 => 200,
        0..3 => 30,
        _ => 8,
    }
}

/// The running gap of service by share between workspaces that stay backlogged.
struct Gap {
    start: Vec<f64>,
    largest: f64,
    pool: f64,
}

impl Gap {
    fn new(fleet: &Fleet) -> Self {
        let count = fleet.layout().shares.len();
        Self {
            start: (0..count).map(|w| fleet.served(w)).collect(),
            largest: 0.0,
            pool: f64::from(fleet.layout().max) * SERVERS as f64 * 1_000.0,
        }
    }

    /// Takes in the present service; all workspaces are backlogged.
    fn observe(&mut self, fleet: &Fleet) {
        let whole: f64 = fleet.layout().shares.iter().sum();
        let normalised: Vec<f64> = (0..self.start.len())
            .map(|w| {
                let portion = fleet.layout().shares[w] / whole;
                (fleet.served(w) - self.start[w]) / portion / self.pool
            })
            .collect();
        let most = normalised.iter().copied().fold(f64::MIN, f64::max);
        let least = normalised.iter().copied().fold(f64::MAX, f64::min);
        self.largest = self.largest.max(most - least);
    }
}

fn step(fleet: &mut Fleet) {
    for workspace in 0..fleet.layout().shares.len() {
        for node in nodes(workspace) {
            fleet.top_up(node, workspace, depth(workspace), length);
        }
    }
    fleet.step();
}

fn run(fleet: &mut Fleet, seconds: u64) {
    let end = fleet.now() + Duration::from_secs(seconds);
    while fleet.now() < end {
        step(fleet);
    }
}

/// Returns the largest gap over `seconds`, and the error of each portion.
fn measure(fleet: &mut Fleet, seconds: u64) -> (f64, Vec<f64>) {
    let mut gap = Gap::new(fleet);
    let steps = Duration::from_secs(seconds).as_millis() / STEP.as_millis();
    for index in 0..steps {
        step(fleet);
        if index % 20 == 0 {
            gap.observe(fleet);
        }
    }
    let whole: f64 = fleet.layout().shares.iter().sum();
    let count = fleet.layout().shares.len();
    let given: Vec<f64> = (0..count).map(|w| fleet.served(w) - gap.start[w]).collect();
    let all: f64 = given.iter().sum();
    let errors = (0..count)
        .map(|w| given[w] / all / (fleet.layout().shares[w] / whole) - 1.0)
        .collect();
    (gap.largest, errors)
}

fn fleet(policy: Policy) -> Fleet {
    let mut fleet = Fleet::new(layout(), Params::new().with_policy(policy), 7);
    run(&mut fleet, 20);
    fleet
}

#[test]
fn gap_all_backlogged_is_bounded() {
    let mut fleet = fleet(Policy::FleetFair);
    let (gap, errors) = measure(&mut fleet, 60);
    println!("gap {gap:.3} s, errors {errors:.3?}");
    assert!(gap <= GAP_SECONDS, "gap {gap}");
    let worst = errors.iter().copied().map(f64::abs).fold(0.0, f64::max);
    assert!(worst <= PORTION_ERROR, "portions {errors:?}");
}

#[test]
fn gap_lossy_network_is_bounded() {
    let mut fleet = fleet(Policy::FleetFair);
    fleet.set_faults(Faults::rough());
    let (gap, errors) = measure(&mut fleet, 60);
    println!("gap {gap:.3} s, errors {errors:.3?}");
    assert!(gap <= GAP_SECONDS, "gap {gap}");
}
