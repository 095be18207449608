//! Runs a mixed load while one component after another fails.
//!
//! Callers retry keyed requests whose outcome is unknown. At the end, the
//! results that they got are checked against the servers' own records of runs.

mod phase;

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscusrail_macros::record;
use hibiscusrail_standin::platform::Counters;
use serde::Serialize;
use serde_json::json;

use super::lab::{Lab, ServerRuns};
use super::{Context, ExperimentError, Outcome, Verdict};
use crate::audit::Audit;
use crate::call;
use crate::client::{Ending, Kind, CallerResult};
use crate::deployment::Deployment;
use crate::fleet::RouterOptions;

use phase::{Phase, PhaseResult};

/// Rate of the load, in requests per second.
pub const RATE: f64 = 120.0;

/// How the requests of one phase ended.
#[record]
#[derive(Serialize)]
struct PhaseFigures {
    phase: &'static str,
    requests: usize,
    /// Fraction of the requests whose last attempt got the complete, right answer.
    answered: f64,
    /// Fraction of the lookups that got the complete, right answer.
    lookups_answered: f64,
    endings: BTreeMap<String, usize>,
    /// Requests that did not end with the right answer, by refusal code.
    codes: BTreeMap<String, usize>,
    /// Maximum time of a correctly answered lookup, in milliseconds.
    longest_lookup_ms: u128,
    cut_by_planned_stop: usize,
}

/// Writes to the table that claims cause, measured without any fault.
#[record]
#[derive(Serialize)]
struct ClaimCost {
    keyed_requests: usize,
    writes: u64,
    writes_per_request: f64,
    writes_per_second: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    compio::runtime::Runtime::new()?.block_on(measure(context))
}

async fn measure(context: &Context) -> Result<Outcome, ExperimentError> {
    let dir = context.out.join("faults");
    let mut lab = Lab::start(Deployment::consorcio(), &dir, RouterOptions::default()).await?;
    let mut received = Vec::new();
    let mut figures = Vec::new();
    let mut lost_runs = Vec::new();
    let mut cost = None;
    for (phase, number) in Phase::ALL.into_iter().zip(1_u64..) {
        let before = counters(&lab).await?;
        let seed = context.seed * 1_000 + number;
        let result = phase.run(&mut lab, seed, context).await?;
        if phase == Phase::Steady {
            let after = counters(&lab).await?;
            cost = Some(claim_cost(&result, after.writes - before.writes, context));
        }
        let found = phase_figures(phase, &result);
        println!(
            "{:<16} requests={} answered={:.4} lookups_answered={:.4} endings={:?} codes={:?}",
            found.phase,
            found.requests,
            found.answered,
            found.lookups_answered,
            found.endings,
            found.codes
        );
        figures.push(found);
        received.extend(result.received);
        lost_runs.extend(result.lost_runs);
    }
    let mut servers = lab.runs().await?;
    servers.extend(lost_runs);
    let audit = Audit::new(&received, servers.iter().flat_map(|s| &s.runs));
    Ok(evaluate(&audit, &figures, &servers, cost.as_ref()))
}

async fn counters(lab: &Lab) -> Result<Counters, ExperimentError> {
    Ok(call::get(lab.deployment.platform, "/counters").await?)
}

#[allow(clippy::cast_precision_loss)]
fn claim_cost(result: &PhaseResult, writes: u64, context: &Context) -> ClaimCost {
    let keyed = last_by_id(&result.received);
    let keyed = keyed.values().filter(|r| r.idempotency_key.is_some()).count();
    let seconds = context.duration(Phase::Steady.duration()).as_secs_f64();
    ClaimCost {
        keyed_requests: keyed,
        writes,
        writes_per_request: writes as f64 / keyed.max(1) as f64,
        writes_per_second: writes as f64 / seconds,
    }
}

/// Returns the result of the last attempt of each request.
fn last_by_id(received: &[CallerResult]) -> BTreeMap<&str, &CallerResult> {
    received.iter().map(|r| (r.id.as_str(), r)).collect()
}

/// Returns the fraction of results with the right answer.
#[allow(clippy::cast_precision_loss)]
fn right_fraction(received: &[&CallerResult]) -> f64 {
    let right = received.iter().filter(|r| r.ending == Ending::Right);
    right.count() as f64 / received.len().max(1) as f64
}

fn phase_figures(phase: Phase, result: &PhaseResult) -> PhaseFigures {
    let last: Vec<&CallerResult> = last_by_id(&result.received).into_values().collect();
    let lookups: Vec<&CallerResult> = last
        .iter()
        .copied()
        .filter(|r| r.kind == Kind::Lookup)
        .collect();
    let mut endings = BTreeMap::new();
    let mut codes = BTreeMap::new();
    for r in &last {
        *endings.entry(format!("{:?}", r.ending)).or_default() += 1;
        if r.ending != Ending::Right && !r.code.is_empty() {
            *codes.entry(r.code.clone()).or_default() += 1;
        }
    }
    let answered = lookups.iter().filter(|r| r.ending == Ending::Right);
    let longest: Duration = answered.map(|r| r.total).max().unwrap_or_default();
    PhaseFigures {
        phase: phase.name(),
        requests: last.len(),
        answered: right_fraction(&last),
        lookups_answered: right_fraction(&lookups),
        endings,
        codes,
        longest_lookup_ms: longest.as_millis(),
        cut_by_planned_stop: result.cut_short,
    }
}

#[allow(clippy::cast_precision_loss)]
fn evaluate(
    audit: &Audit,
    phases: &[PhaseFigures],
    servers: &[ServerRuns],
    cost: Option<&ClaimCost>,
) -> Outcome {
    let cut_short: usize = phases.iter().map(|p| p.cut_by_planned_stop).sum();
    let (doubled, false_not_run) = (audit.doubled.len(), audit.false_not_run.len());
    let wrong = audit.wrong.len() + audit.not_run_answered.len();
    let name = format!(
        "faults double_runs={doubled} false_not_run={false_not_run} wrong_answers={wrong} \
         cut_by_planned_stop={cut_short}"
    );
    let violations = doubled + false_not_run + wrong + cut_short;
    let runs: usize = servers.iter().map(|s| s.runs.len()).sum();
    Outcome {
        summary: String::new(),
        verdicts: vec![Verdict::at_most(&name, violations as f64, 0.0)],
        settings: json!({"rate_per_s": RATE, "phases": phases.len()}),
        figures: json!({"phases": phases, "runs": runs, "claims": cost, "audit": audit}),
    }
}
