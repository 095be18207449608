//! False alarm and miss rates of the comparison of two versions, by seeded simulation.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::rollout::exposure::Exposure;
use hibiscusrail_fleet::rollout::verdict::{Tally, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Simulated rollouts for each case.
const SEEDS: u64 = 300;
/// Step of the simulation; the evidence is evaluated at each one.
const STEP_MS: u64 = 100;
/// Age of the evidence, the longest interval of reports between zones.
const DELAY_MS: u64 = 800;
/// Old responses before the order.
const WARM_UP_MS: u64 = 5_000;
/// Duration of a rollout up to its decision, 0.6 s before the limit of 12 s.
const DURATION_MS: u64 = 11_400;
/// Time limit, up to which the exposure is bounded.
const LIMIT_MS: u64 = 12_000;
/// End of the canary step.
const CANARY_MS: u64 = 4_000;
/// Part of the requests that the new version gets in the canary step and after it.
const SHARES: [f64; 2] = [0.025, 0.05];
/// Requests beyond the share that routers may send together, with bounds.canary-slack 50.
const CREDIT: f64 = 25.0;
/// Time after the 50th bad response from which a bad version may get no request.
const ROLLBACK_MS: u64 = 5_000;
/// Rates of requests to the service, in one second.
const RATES: [u64; 2] = [50, 500];
/// Shares of the old version's responses that fail.
const OLD_FAILURES: [f64; 2] = [0.004, 0.14];

/// A time in which responses of both versions fail more often.
#[derive(Debug, Clone, Copy)]
struct Disruption {
    /// When it begins and ends, in milliseconds since the order.
    time: (u64, u64),
    /// Share of the responses that fail.
    failures: f64,
    /// Number of zones that it hits, of three.
    zones: u32,
}

impl Disruption {
    fn hits(&self, at: u64, zone: u32) -> bool {
        (self.time.0..self.time.1).contains(&at) && zone < self.zones
    }
}

/// How a new version differs from the old one.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Good,
    /// 30% of the responses fail.
    Failing,
    /// Times to first byte are four times as long.
    Slow,
    /// All responses of one of five routes fail.
    OneRoute,
    /// 30% of the responses fail in the second half.
    FailingLate,
}

/// Result of a simulated rollout.
struct Run {
    /// When the version was stopped, in milliseconds since the order.
    stopped: Option<u64>,
    /// When its 50th bad response was sent.
    fiftieth: Option<u64>,
}

impl Run {
    /// Returns whether a bad version was stopped by the rollback bound, if that ends before
    /// the time limit.
    fn is_in_time(&self) -> bool {
        let limit = self.fiftieth.map_or(u64::MAX, |at| at + ROLLBACK_MS);
        limit >= LIMIT_MS || self.stopped.is_some_and(|at| at <= limit)
    }
}

/// Returns a response: its time to first byte, and whether it fails.
fn respond(rng: &mut SmallRng, kind: Kind, old_failures: f64, at: u64) -> (Duration, bool) {
    let mut time = Duration::from_millis(rng.random_range(8..25));
    let on_route = rng.random_range(0..5) == 0;
    let more = match kind {
        Kind::Failing => 0.3,
        Kind::FailingLate if at >= DURATION_MS / 2 => 0.3,
        Kind::OneRoute if on_route => 1.0,
        _ => 0.0,
    };
    if kind == Kind::Slow {
        time *= 4;
    }
    (time, rng.random_bool(old_failures.max(more)))
}

fn simulate(
    seed: u64,
    rate: u64,
    old_failures: f64,
    kind: Kind,
    disruption: Option<Disruption>,
) -> Run {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (start, mut verdict) = (Instant::now(), Verdict::default());
    let mut exposure = Exposure::new(CREDIT, 0.0);
    let mut in_transit: VecDeque<(u64, u32, bool, Tally)> = VecDeque::new();
    let (mut bad, mut fiftieth) = (0, None);
    for step in 0..(WARM_UP_MS + DURATION_MS) / STEP_MS {
        let clock = step * STEP_MS;
        let at = clock.checked_sub(WARM_UP_MS);
        let share = SHARES[usize::from(at.is_some_and(|at| at >= CANARY_MS))];
        for _ in 0..rate * STEP_MS / 1_000 {
            let is_new = at.is_some() && exposure.allows(share);
            if at.is_some() {
                exposure.record_sent(is_new);
            }
            let kind = if is_new { kind } else { Kind::Good };
            let response = respond(&mut rng, kind, old_failures, at.unwrap_or(0));
            let (time, mut failed) = response;
            let zone = rng.random_range(0..3);
            if let Some(disruption) = disruption
                && at.is_some_and(|at| disruption.hits(at, zone))
            {
                failed |= rng.random_bool(disruption.failures);
            }
            if is_new && (failed || kind == Kind::Slow) {
                bad += 1;
                if bad == 50 {
                    fiftieth = at;
                }
            }
            let mut tally = Tally::default();
            tally.record(failed);
            if !failed {
                tally.record_time(time);
            }
            in_transit.push_back((clock + DELAY_MS, zone, is_new, tally));
        }
        while in_transit.front().is_some_and(|r| r.0 <= clock) {
            let (_, zone, is_new, tally) = in_transit.pop_front().expect("there is one");
            verdict.add(zone, is_new, &tally);
        }
        if verdict
            .evaluate(start + Duration::from_millis(clock))
            .is_some()
        {
            let stopped = at;
            return Run { stopped, fiftieth };
        }
    }
    let stopped = None;
    Run { stopped, fiftieth }
}

/// Returns how many of the simulated rollouts the version was stopped in, and in how many it was
/// not by the rollback bound.
fn measure(
    rate: u64,
    old_failures: f64,
    kind: Kind,
    disruption: Option<Disruption>,
) -> (usize, usize) {
    let runs: Vec<Run> = (0..SEEDS)
        .map(|seed| simulate(seed, rate, old_failures, kind, disruption))
        .collect();
    let stopped = runs.iter().filter(|r| r.stopped.is_some()).count();
    let late = runs.iter().filter(|r| !r.is_in_time()).count();
    println!(
        "{kind:?} rate={rate} old={old_failures} {disruption:?}: stopped={stopped} late={late} of {SEEDS}"
    );
    (stopped, late)
}

// Guards against good versions that are reverted: at most one of a hundred rollouts.
#[test]
fn verdict_false_alarms_are_rare() {
    for rate in RATES {
        for old_failures in OLD_FAILURES {
            let (stopped, _) = measure(rate, old_failures, Kind::Good, None);
            assert!(stopped as u64 * 100 <= SEEDS, "{stopped} of {SEEDS}");
        }
    }
}

// Guards against a disruption of both versions that is taken for a fault of the new one.
#[test]
fn verdict_false_alarms_are_rare_during_disruptions() {
    let mut wrong = Vec::new();
    for rate in RATES {
        for old_failures in OLD_FAILURES {
            for time in [(2_000, 4_000), (5_000, 7_000), (9_000, 9_500)] {
                for (failures, zones) in [(0.4, 3), (0.4, 1), (0.9, 1), (1.0, 3)] {
                    let disruption = Disruption {
                        time,
                        failures,
                        zones,
                    };
                    let (stopped, _) = measure(rate, old_failures, Kind::Good, Some(disruption));
                    if stopped > 0 {
                        wrong.push((rate, old_failures, disruption, stopped));
                    }
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Asserts that a bad version is stopped by the rollback bound in all simulated rollouts.
fn assert_in_time(kinds: &[Kind], old_failures: f64) {
    let mut wrong = Vec::new();
    for kind in kinds {
        for rate in RATES {
            let (_, late) = measure(rate, old_failures, *kind, None);
            if late > 0 {
                wrong.push((*kind, rate, late));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

// Guards against EXPOSURE: a bad version that still gets requests when its 50th bad response has
// been out for the rollback bound.
#[test]
fn verdict_finds_bad_version_within_rollback_bound() {
    let kinds = [Kind::Failing, Kind::Slow, Kind::OneRoute, Kind::FailingLate];
    assert_in_time(&kinds, OLD_FAILURES[0]);
    assert_in_time(&[Kind::Slow, Kind::FailingLate], OLD_FAILURES[1]);
}

// Guards against EXPOSURE: failures of a new version that are taken for those of the old one.
#[test]
fn verdict_finds_failures_above_common_ones() {
    assert_in_time(&[Kind::Failing, Kind::OneRoute], OLD_FAILURES[1]);
}
