//! Checks that the service of backlogged workspaces stays within a bound of their shares.

use std::time::Duration;

use hibiscusrail_core::Params;
use hibiscusrail_core::membership::MemberState;
use hibiscusrail_fuzzing::Fleet;
use hibiscusrail_fuzzing::fleet::{Faults, Layout, STEP};
use rand::Rng;
use rand::rngs::SmallRng;

const ROUTERS: usize = 7;
const SERVERS: usize = 10;
/// Maximum gap between two backlogged workspaces, in seconds of all servers' service.
const MAX_GAP_S: f64 = 2.0;
/// Duration of the longest request, in seconds.
const MAX_DURATION_S: f64 = 8.0;
/// Maximum relative error of a workspace's fraction of the service over one minute.
const MAX_FRACTION_ERROR: f64 = 0.05;

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

/// Returns a heavy-tailed duration: most are short, a few take many seconds.
fn random_duration(rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(0.001..1.0);
    let seconds = 0.15 * uniform.powf(-0.6);
    Duration::from_secs_f64(seconds.min(MAX_DURATION_S))
}

/// Returns the nodes that a workspace sends requests to; workspace 3 uses a single one.
fn nodes(workspace: usize) -> std::ops::Range<usize> {
    if workspace == 3 { 0..1 } else { 0..ROUTERS }
}

/// Returns the queue depth of a workspace at each of its nodes; workspace 4 floods.
fn depth(workspace: usize) -> usize {
    match workspace {
        3 => 60,
        4 => 200,
        0..3 => 30,
        _ => 8,
    }
}

/// Measures the gap in service per share between workspaces that stay backlogged.
struct Gap {
    /// Service of each workspace at the start.
    start: Vec<f64>,
    /// Largest gap so far, in seconds.
    largest: f64,
    /// Cost units per second that all servers can give.
    capacity: f64,
}

impl Gap {
    fn new(fleet: &Fleet) -> Self {
        let count = fleet.layout().shares.len();
        Self {
            start: (0..count).map(|w| fleet.served(w)).collect(),
            largest: 0.0,
            capacity: f64::from(fleet.layout().max_limit) * SERVERS as f64 * 1_000.0,
        }
    }

    /// Updates the largest gap from the current service; all workspaces must be backlogged.
    fn observe(&mut self, fleet: &Fleet) {
        let total: f64 = fleet.layout().shares.iter().sum();
        let normalised: Vec<f64> = (0..self.start.len())
            .map(|w| {
                let fraction = fleet.layout().shares[w] / total;
                (fleet.served(w) - self.start[w]) / fraction / self.capacity
            })
            .collect();
        let max = normalised.iter().copied().fold(f64::MIN, f64::max);
        let min = normalised.iter().copied().fold(f64::MAX, f64::min);
        self.largest = self.largest.max(max - min);
    }
}

#[derive(Default)]
struct Callers {
    idle: Vec<usize>,
    /// Ratio of cost hint to actual cost, by workspace; other workspaces send no hints.
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
                fleet.top_up(node, workspace, depth(workspace), hint, random_duration);
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

    /// Returns the largest gap over `seconds`, and the relative error of each workspace's fraction.
    fn measure(&self, fleet: &mut Fleet, seconds: u64) -> (f64, Vec<f64>) {
        let mut gap = Gap::new(fleet);
        let steps = Duration::from_secs(seconds).as_millis() / STEP.as_millis();
        for index in 0..steps {
            self.step(fleet);
            if index % 20 == 0 {
                gap.observe(fleet);
            }
        }
        let total: f64 = fleet.layout().shares.iter().sum();
        let count = fleet.layout().shares.len();
        let served: Vec<f64> = (0..count).map(|w| fleet.served(w) - gap.start[w]).collect();
        let sum: f64 = served.iter().sum();
        let errors = (0..count)
            .map(|w| served[w] / sum / (fleet.layout().shares[w] / total) - 1.0)
            .collect();
        (gap.largest, errors)
    }
}

/// Returns the derived bound on the gap, in seconds, when `lost` consecutive exchanges are lost.
///
/// See `docs/design/03-fair-share.md`: for each of the two workspaces, the
/// service since the last exchange and the rest of one request of maximum duration.
fn bound(fleet: &Fleet, lost: f64) -> f64 {
    let shares = &fleet.layout().shares;
    let total: f64 = shares.iter().sum();
    let min = shares.iter().copied().fold(f64::MAX, f64::min);
    let slots = f64::from(fleet.layout().max_limit) * SERVERS as f64 * min / total;
    let period = Params::new().period.as_secs_f64();
    2.0 * (period * (1.5 + lost) + MAX_DURATION_S / slots)
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
    assert!(gap <= MAX_GAP_S && gap <= bound(&fleet, 0.0), "gap {gap}");
    let worst = errors.iter().copied().map(f64::abs).fold(0.0, f64::max);
    assert!(worst <= MAX_FRACTION_ERROR, "fraction errors {errors:?}");
}

#[test]
fn gap_longer_run_is_bounded() {
    let mut fleet = fleet();
    let (gap, _) = Callers::default().measure(&mut fleet, 240);
    println!("gap {gap:.3} s");
    assert!(gap <= MAX_GAP_S && gap <= bound(&fleet, 0.0), "gap {gap}");
}

#[test]
fn gap_lossy_network_is_bounded() {
    let mut fleet = fleet();
    fleet.set_faults(Faults::lossy());
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
    assert!(gap <= MAX_GAP_S, "gap {gap}");
    let worst = errors.iter().copied().map(f64::abs).fold(0.0, f64::max);
    assert!(worst <= MAX_FRACTION_ERROR, "fraction errors {errors:?}");
}

#[test]
fn gap_rejoined_zone_is_bounded() {
    let mut fleet = fleet();
    let cut_off = |node: usize| node.is_multiple_of(3);
    let separated = |a: usize, b: usize| cut_off(a) != cut_off(b);
    for cut in [true, false] {
        let state = if cut {
            MemberState::Dead
        } else {
            MemberState::Alive
        };
        for a in 0..ROUTERS {
            for b in (0..ROUTERS).filter(|b| separated(a, *b)) {
                fleet.set_cut(a, b, cut);
                fleet.set_view(a, b, state);
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
