//! Service while a zone is taken out, brought back, cut off and healed.
//!
//! Lookups and drafts arrive at a steady rate all the time. A ticket takes one
//! zone out and another brings it back; then the zone is cut off from the
//! other zones and from the platform by a relay, and healed.

use std::time::{Duration, Instant};

use hibiscusrail_standin::http_util::epoch_ms;
use serde_json::json;

use super::lab::{Lab, ServerRuns};
use super::tickets::change;
use super::{Context, ExperimentError, Outcome, Verdict};
use crate::client::{Ending, Kind, Received};
use crate::deployment::{Deployment, PLATFORM};
use crate::fleet::RouterOptions;
use crate::generator::{Load, Mix};

/// The zone that leaves and returns.
const ZONE: &str = "zone-b";
/// The other zones.
const OTHERS: [&str; 2] = ["zone-a", "zone-c"];
/// Time of each phase.
const PHASE: Duration = Duration::from_secs(15);
/// Phases: steady, out, back, cut off, healed.
const PHASES: u32 = 5;
/// Time after the start for servers to warm up before the steady phase counts.
const WARM_UP: Duration = Duration::from_secs(15);
/// Requests a second.
const RATE: f64 = 90.0;
/// What is asked for: most are lookups.
const MIX: Mix = Mix {
    lookups: 0.7,
    writes: 0.05,
    keyed: 0.0,
    streamed: 0.5,
};
/// Median tokens of drafts.
const TOKENS: f64 = 40.0;
/// Most seconds until the zone gets no new work.
const NEW_WORK_S: f64 = 3.0;
/// Most that the p99 of lookups grows during a change.
const P99_RATIO: f64 = 2.0;
/// Fraction of the steady load at which the zone's share counts as back.
const BACK: f64 = 0.8;

/// When each phase began, in milliseconds since the epoch and on the own clock.
struct Marks {
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
    let phase = context.duration(PHASE);
    let dir = context.out.join("zone");
    let deployment = Deployment::consorcio().with_relay();
    let load = Load::new(context.seed, WARM_UP + phase * PHASES)
        .with_costs(TOKENS, 0.8)
        .with_all(&deployment, RATE, MIX);
    let (received, servers, marks) = compio::runtime::Runtime::new()?.block_on(async {
        let lab = Lab::start(deployment, &dir, RouterOptions::default()).await?;
        let script = script(&lab, phase);
        let (received, marks) = futures_util::join!(load.run(&lab.deployment), script);
        Ok::<_, ExperimentError>((received, lab.runs().await?, marks?))
    })?;
    Ok(judge(&received, &servers, &marks))
}

/// Takes the zone out, brings it back, cuts it off and heals the cut.
async fn script(lab: &Lab, phase: Duration) -> Result<Marks, ExperimentError> {
    let zone = |admission| json!({ "zones": [{ "name": ZONE, "admission": admission }] });
    compio::time::sleep(WARM_UP).await;
    let steady = now();
    compio::time::sleep(phase).await;
    change(&lab.deployment, 100, &zone("closed")).await?;
    let out = now();
    compio::time::sleep(phase).await;
    change(&lab.deployment, 101, &zone("open")).await?;
    let back = now();
    compio::time::sleep(phase).await;
    lab.cut(&[(ZONE, OTHERS[0]), (ZONE, OTHERS[1]), (ZONE, PLATFORM)])
        .await?;
    let cut = now();
    compio::time::sleep(phase).await;
    lab.cut(&[]).await?;
    let healed = now();
    compio::time::sleep(phase).await;
    Ok(Marks {
        steady,
        out,
        back,
        cut,
        healed,
        end: now(),
    })
}

fn judge(received: &[Received], servers: &[ServerRuns], marks: &Marks) -> Outcome {
    let count = |ending| received.iter().filter(|r| r.ending == ending).count();
    let (lost, cut) = (count(Ending::Lost), count(Ending::Cut));
    let failed = received.len() - count(Ending::Right);
    let last_new_work = last_new_work(servers, marks);
    let steady = p99(received, marks.steady.1, marks.out.1);
    let phases = [
        ("out", marks.out.1, marks.back.1),
        ("back", marks.back.1, marks.cut.1),
        ("cut_off", marks.cut.1, marks.healed.1),
        ("healed", marks.healed.1, marks.end.1),
    ];
    let ratios: Vec<(&str, f64)> = phases
        .iter()
        .map(|(name, from, to)| (*name, p99(received, *from, *to) / steady))
        .collect();
    let ratio = ratios.iter().map(|(_, r)| *r).fold(0.0, f64::max);
    let back = share_back(servers, marks);
    let verdicts = vec![
        Verdict::at_most("zone_last_new_work_s", last_new_work, NEW_WORK_S),
        Verdict::at_most("zone_not_right", as_f64(failed), 0.0),
        Verdict::at_most("zone_lookup_p99_ratio", ratio, P99_RATIO),
    ];
    let word = if verdicts.iter().all(|v| v.ok) {
        "ok"
    } else {
        "short"
    };
    let summary = format!(
        "zone last_new_work_s={last_new_work:.3} lost={lost} cut={cut} \
         lookup_p99_ratio={ratio:.2} {word}"
    );
    Outcome {
        verdicts,
        settings: json!({"zone": ZONE, "rate": RATE, "phases": PHASES, "tokens": TOKENS}),
        figures: json!({
            "requests": received.len(), "lost": lost, "cut": cut, "not_right": failed,
            "endings": endings(received),
            "last_new_work_s": last_new_work, "lookup_p99_steady_ms": steady * 1_000.0,
            "lookup_p99_ratios": ratios, "share_back_s": back,
            "runs_while_cut_off": runs_within(servers, marks.cut.0, marks.healed.0),
        }),
        summary,
    }
}

fn endings(received: &[Received]) -> std::collections::BTreeMap<String, usize> {
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

fn zone_runs(servers: &[ServerRuns]) -> impl Iterator<Item = u64> {
    let in_zone = servers.iter().filter(|s| s.server.zone == ZONE);
    in_zone.flat_map(|s| s.runs.iter().map(|r| r.start_ms))
}

fn runs_within(servers: &[ServerRuns], from_ms: u64, to_ms: u64) -> usize {
    zone_runs(servers)
        .filter(|at| (from_ms..to_ms).contains(at))
        .count()
}

/// Returns the seconds from the ticket that took the zone out to the last run admitted there.
#[allow(clippy::cast_precision_loss)]
fn last_new_work(servers: &[ServerRuns], marks: &Marks) -> f64 {
    let last = zone_runs(servers)
        .filter(|at| (marks.out.0..marks.back.0).contains(at))
        .max();
    last.map_or(0.0, |at| (at - marks.out.0) as f64 / 1_000.0)
}

/// Returns the seconds from the zone's return until it has its share of the load again.
#[allow(clippy::cast_precision_loss)]
fn share_back(servers: &[ServerRuns], marks: &Marks) -> Option<u64> {
    let steady_s = (marks.out.0 - marks.steady.0) / 1_000;
    let steady = runs_within(servers, marks.steady.0, marks.out.0) as f64 / steady_s as f64;
    (0..(marks.cut.0 - marks.back.0) / 1_000).find(|second| {
        let from = marks.back.0 + second * 1_000;
        runs_within(servers, from, from + 1_000) as f64 >= steady * BACK
    })
}

/// Returns the p99 of the time of lookups that were sent within a range, in seconds.
fn p99(received: &[Received], from: Instant, to: Instant) -> f64 {
    let mut times: Vec<f64> = received
        .iter()
        .filter(|r| r.kind == Kind::Lookup && r.started >= from && r.started < to)
        .map(|r| r.total.as_secs_f64())
        .collect();
    times.sort_by(f64::total_cmp);
    let rank = times.len() * 99 / 100;
    times.get(rank).copied().unwrap_or(f64::INFINITY)
}
