//! Service of backlogged workspaces stays within a bound of their shares.

use std::time::Duration;

use hibiscusrail_core::Params;
use hibiscusrail_core::membership::MemberState;
use hibiscusrail_fuzzing::Fleet;
use hibiscusrail_fuzzing::fleet::{Faults, Layout, STEP};
use rand::Rng;
use rand::rngs::SmallRng;

const ROUTERS: usize = 7;
const SERVERS: usize = 10;
/// Largest gap between two backlogged workspaces, in seconds of the pool's service.
const GAP_SECONDS: f64 = 2.0;
/// Length of the longest request in seconds.
const LONGEST: f64 = 8.0;
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
    Duration::from_secs_f64(seconds.min(LONGEST))
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

/// What callers do.
#[derive(Default)]
struct Callers {
    /// Workspaces that send nothing.
    idle: Vec<usize>,
    /// Factor by which each workspace's hints are wrong.
    hints: Vec<(usize, f64)>,
}

impl Callers {
    fn step(&self, fleet: &mut Fleet) {
        for workspace in 0..fleet.layout().shares.len() {
            if self.idle.contains(&workspace) {
                continue;
            }
            let hint = self.hints.iter().find(|(w, _)| *w == workspace);
            let hint = hint.map(|(_, factor)| *factor);
            for node in nodes(workspace) {
                fleet.top_up(node, workspace, depth(workspace), hint, length);
            }
        }
        fleet.step();
    }

    fn run(&self, fleet: &mut Fleet, seconds: u64) {
        let end = fleet.now() + Duration::from_secs(seconds);
        while fleet.now() < end {
            self.step(fleet);
        }
    }

    /// Returns the largest gap over `seconds`, and the error of each portion.
    fn measure(&self, fleet: &mut Fleet, seconds: u64) -> (f64, Vec<f64>) {
        let mut gap = Gap::new(fleet);
        let steps = Duration::from_secs(seconds).as_millis() / STEP.as_millis();
        for index in 0..steps {
            self.step(fleet);
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
}

/// Returns the derived bound when `lost` exchanges in a row are lost.
///
/// See `docs/design/03-fair-share.md`: for each of the two workspaces, the
/// service since the last exchange and the rest of one longest request.
fn bound(fleet: &Fleet, lost: f64) -> f64 {
    let shares = &fleet.layout().shares;
    let whole: f64 = shares.iter().sum();
    let least = shares.iter().copied().fold(f64::MAX, f64::min);
    let slots = f64::from(fleet.layout().max) * SERVERS as f64 * least / whole;
    let period = Params::new().period.as_secs_f64();
    2.0 * (period * (1.5 + lost) + LONGEST / slots)
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(layout(), Params::new(), 7);
    Callers::default().run(&mut fleet, 20);
    fleet
}

#[test]
fn gap_all_backlogged_is_bounded() {
    let mut fleet = fleet();
    let (gap, errors) = Callers::default().measure(&mut fleet, 60);
    println!("gap {gap:.3} s, errors {errors:.3?}");
    assert!(gap <= GAP_SECONDS && gap <= bound(&fleet, 0.0), "gap {gap}");
    let worst = errors.iter().copied().map(f64::abs).fold(0.0, f64::max);
    assert!(worst <= PORTION_ERROR, "portions {errors:?}");
}

#[test]
fn gap_four_times_as_long_is_bounded() {
    let mut fleet = fleet();
    let (gap, _) = Callers::default().measure(&mut fleet, 240);
    println!("gap {gap:.3} s");
    assert!(gap <= GAP_SECONDS && gap <= bound(&fleet, 0.0), "gap {gap}");
}

#[test]
fn gap_lossy_network_is_bounded() {
    let mut fleet = fleet();
    fleet.set_faults(Faults::rough());
    let (gap, _) = Callers::default().measure(&mut fleet, 60);
    println!("gap {gap:.3} s of {:.3} s", bound(&fleet, 1.0));
    assert!(gap <= bound(&fleet, 1.0), "gap {gap}");
}

#[test]
fn gap_return_from_idle_is_bounded() {
    let mut fleet = fleet();
    let callers = Callers {
        idle: vec![0, 5],
        ..Callers::default()
    };
    callers.run(&mut fleet, 30);
    let (gap, _) = Callers::default().measure(&mut fleet, 30);
    println!("gap {gap:.3} s");
    assert!(gap <= bound(&fleet, 0.0), "gap {gap}");
}

#[test]
fn gap_wrong_hints_is_bounded() {
    let mut fleet = Fleet::new(layout(), Params::new(), 7);
    let callers = Callers {
        hints: vec![(0, 0.1), (5, 0.1), (6, 10.0), (1, 10.0)],
        ..Callers::default()
    };
    callers.run(&mut fleet, 20);
    let (gap, errors) = callers.measure(&mut fleet, 60);
    println!("gap {gap:.3} s");
    assert!(gap <= GAP_SECONDS, "gap {gap}");
    let worst = errors.iter().copied().map(f64::abs).fold(0.0, f64::max);
    assert!(worst <= PORTION_ERROR, "portions {errors:?}");
}

#[test]
fn gap_rejoined_zone_is_bounded() {
    let mut fleet = fleet();
    let cut_off = |node: usize| node.is_multiple_of(3);
    let zones = |a: usize, b: usize| cut_off(a) != cut_off(b);
    for cut in [true, false] {
        let state = if cut {
            MemberState::Dead
        } else {
            MemberState::Alive
        };
        for a in 0..ROUTERS {
            for b in (0..ROUTERS).filter(|b| zones(a, *b)) {
                fleet.set_cut(a, b, cut);
                fleet.see(a, b, state);
            }
        }
        if cut {
            Callers::default().run(&mut fleet, 30);
        }
    }
    let (gap, _) = Callers::default().measure(&mut fleet, 30);
    println!("gap {gap:.3} s of {:.3} s", bound(&fleet, 1.0));
    assert!(gap <= bound(&fleet, 1.0), "gap {gap}");
    assert_eq!(fleet.violations(), &[]);
}
