//! Measures service while a zone is closed, opened again, cut off and healed.
//!
//! Lookups and drafts arrive at a constant rate. One ticket closes a zone to
//! new requests and another opens it again; then a relay cuts the zone off
//! from the other zones and the platform, and heals it.

use std::time::{Duration, Instant};

use hibiscusrail_standin::http_util::epoch_ms;
use serde_json::json;

use super::lab::{Lab, ServerRuns};
use super::tickets::submit_ticket;
use super::{Context, ExperimentError, Outcome, Verdict};
use crate::client::{Ending, Kind, CallerResult};
use crate::deployment::{Deployment, PLATFORM};
use crate::fleet::RouterOptions;
use crate::generator::{Load, Mix};

/// Zone that is closed and cut off.
const ZONE: &str = "zone-b";
/// Zones that stay open and connected.
const OTHER_ZONES: [&str; 2] = ["zone-a", "zone-c"];
const PHASE_TIME: Duration = Duration::from_secs(15);
/// Number of phases: steady, out, back, cut off, healed.
const PHASE_COUNT: u32 = 5;
/// Time for servers to warm up before the steady phase.
const WARM_UP_TIME: Duration = Duration::from_secs(15);
/// Rate of the load, in requests per second.
const RATE: f64 = 90.0;
/// Mix of requests; most are lookups.
const MIX: Mix = Mix {
    lookups: 0.7,
    writes: 0.05,
    keyed: 0.0,
    streamed: 0.5,
};
/// Median number of tokens of a draft.
const MEDIAN_TOKENS: f64 = 40.0;
/// Maximum time after which a closed zone gets no new work, in seconds.
const MAX_NEW_WORK_S: f64 = 3.0;
/// Maximum ratio of the p99 of lookups in a later phase to that in the steady phase.
const MAX_P99_RATIO: f64 = 2.0;
/// Fraction of its steady load at which the zone counts as recovered.
const RECOVERED_FRACTION: f64 = 0.8;

/// Start of each phase, in milliseconds since the epoch and on the monotonic clock.
struct PhaseStarts {
    steady: (u64, Instant),
    out: (u64, Instant),
    back: (u64, Instant),
    cut: (u64, Instant),
    healed: (u64, Instant),
    end: (u64, Instant),
}

fn now() -> (u64, Instant) {
    (epoch_ms(), Instant::now())
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet does not start or a ticket is not accepted.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let phase = context.duration(PHASE_TIME);
    let dir = context.out.join("zone");
    let deployment = Deployment::consorcio().with_relay();
    let load = Load::new(context.seed, WARM_UP_TIME + phase * PHASE_COUNT)
        .with_tokens(MEDIAN_TOKENS, 0.8)
        .with_all_workspaces(&deployment, RATE, MIX);
    let (received, servers, starts) = compio::runtime::Runtime::new()?.block_on(async {
        let lab = Lab::start(deployment, &dir, RouterOptions::default()).await?;
        let run_phases = run_phases(&lab, phase);
        let (received, starts) = futures_util::join!(load.run(&lab.deployment), run_phases);
        Ok::<_, ExperimentError>((received, lab.runs().await?, starts?))
    })?;
    Ok(evaluate(&received, &servers, &starts))
}

/// Closes the zone, opens it again, cuts it off and heals the cut.
async fn run_phases(lab: &Lab, phase: Duration) -> Result<PhaseStarts, ExperimentError> {
    let zone = |admission| json!({ "zones": [{ "name": ZONE, "admission": admission }] });
    compio::time::sleep(WARM_UP_TIME).await;
    let steady = now();
    compio::time::sleep(phase).await;
    submit_ticket(&lab.deployment, 100, &zone("closed")).await?;
    let out = now();
    compio::time::sleep(phase).await;
    submit_ticket(&lab.deployment, 101, &zone("open")).await?;
    let back = now();
    compio::time::sleep(phase).await;
    lab.set_cuts(&[
        (ZONE, OTHER_ZONES[0]),
        (ZONE, OTHER_ZONES[1]),
        (ZONE, PLATFORM),
    ])
    .await?;
    let cut = now();
    compio::time::sleep(phase).await;
    lab.set_cuts(&[]).await?;
    let healed = now();
    compio::time::sleep(phase).await;
    Ok(PhaseStarts {
        steady,
        out,
        back,
        cut,
        healed,
        end: now(),
    })
}

fn evaluate(received: &[CallerResult], servers: &[ServerRuns], starts: &PhaseStarts) -> Outcome {
    let count = |ending| received.iter().filter(|r| r.ending == ending).count();
    let (lost, cut) = (count(Ending::Lost), count(Ending::Cut));
    let failed = received.len() - count(Ending::Right);
    let new_work_s = last_new_work_s(servers, starts);
    let steady = p99(received, starts.steady.1, starts.out.1);
    let phases = [
        ("out", starts.out.1, starts.back.1),
        ("back", starts.back.1, starts.cut.1),
        ("cut_off", starts.cut.1, starts.healed.1),
        ("healed", starts.healed.1, starts.end.1),
    ];
    let ratios: Vec<(&str, f64)> = phases
        .iter()
        .map(|(name, from, to)| (*name, p99(received, *from, *to) / steady))
        .collect();
    let ratio = ratios.iter().map(|(_, r)| *r).fold(0.0, f64::max);
    let back = recovery_s(servers, starts);
    let verdicts = vec![
        Verdict::at_most("zone_last_new_work_s", new_work_s, MAX_NEW_WORK_S),
        Verdict::at_most("zone_not_right", as_f64(failed), 0.0),
        Verdict::at_most("zone_lookup_p99_ratio", ratio, MAX_P99_RATIO),
    ];
    let word = if verdicts.iter().all(|v| v.ok) {
        "ok"
    } else {
        "short"
    };
    let summary = format!(
        "zone last_new_work_s={new_work_s:.3} lost={lost} cut={cut} \
         lookup_p99_ratio={ratio:.2} {word}"
    );
    Outcome {
        verdicts,
        settings: json!({
            "zone": ZONE, "rate": RATE, "phases": PHASE_COUNT, "tokens": MEDIAN_TOKENS,
        }),
        figures: json!({
            "requests": received.len(), "lost": lost, "cut": cut, "not_right": failed,
            "endings": endings(received),
            "last_new_work_s": new_work_s, "lookup_p99_steady_ms": steady * 1_000.0,
            "lookup_p99_ratios": ratios, "share_back_s": back,
            "runs_while_cut_off": count_zone_runs(servers, starts.cut.0, starts.healed.0),
        }),
        summary,
    }
}

/// Counts results by kind of request, ending and code.
fn endings(received: &[CallerResult]) -> std::collections::BTreeMap<String, usize> {
    let mut endings = std::collections::BTreeMap::new();
    for r in received {
        let name = format!("{:?} {:?} {}", r.kind, r.ending, r.code);
        *endings.entry(name).or_default() += 1;
    }
    endings
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: usize) -> f64 {
    count as f64
}

/// Returns when the runs in the zone started, in milliseconds since the epoch.
fn zone_run_starts(servers: &[ServerRuns]) -> impl Iterator<Item = u64> {
    let in_zone = servers.iter().filter(|s| s.server.zone == ZONE);
    in_zone.flat_map(|s| s.runs.iter().map(|r| r.start_ms))
}

fn count_zone_runs(servers: &[ServerRuns], from_ms: u64, to_ms: u64) -> usize {
    zone_run_starts(servers)
        .filter(|at| (from_ms..to_ms).contains(at))
        .count()
}

/// Returns the time from the closing of the zone to the last run admitted there, in seconds.
#[allow(clippy::cast_precision_loss)]
fn last_new_work_s(servers: &[ServerRuns], starts: &PhaseStarts) -> f64 {
    let last = zone_run_starts(servers)
        .filter(|at| (starts.out.0..starts.back.0).contains(at))
        .max();
    last.map_or(0.0, |at| (at - starts.out.0) as f64 / 1_000.0)
}

/// Returns the seconds from the opening of the zone until it has [`RECOVERED_FRACTION`] of its
/// steady load; `None` if it does not get there before the cut.
#[allow(clippy::cast_precision_loss)]
fn recovery_s(servers: &[ServerRuns], starts: &PhaseStarts) -> Option<u64> {
    let steady_s = (starts.out.0 - starts.steady.0) / 1_000;
    let steady = count_zone_runs(servers, starts.steady.0, starts.out.0) as f64 / steady_s as f64;
    (0..(starts.cut.0 - starts.back.0) / 1_000).find(|second| {
        let from = starts.back.0 + second * 1_000;
        count_zone_runs(servers, from, from + 1_000) as f64 >= steady * RECOVERED_FRACTION
    })
}

/// Returns the p99 of the time of lookups that were sent within a range, in seconds.
fn p99(received: &[CallerResult], from: Instant, to: Instant) -> f64 {
    let mut times: Vec<f64> = received
        .iter()
        .filter(|r| r.kind == Kind::Lookup && r.started >= from && r.started < to)
        .map(|r| r.total.as_secs_f64())
        .collect();
    times.sort_by(f64::total_cmp);
    let rank = times.len() * 99 / 100;
    times.get(rank).copied().unwrap_or(f64::INFINITY)
}
