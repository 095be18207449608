//! Measures control traffic, CPU time and memory of routers, and their growth with the deployment.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{record, value};
use serde::Serialize;
use serde_json::json;

use super::lab::Lab;
use super::{Context, ExperimentError, Outcome, Verdict};
use crate::client::Ending;
use crate::deployment::Deployment;
use crate::fleet::RouterOptions;
use crate::generator::{Arrivals, Load, Mix};
use crate::machine::ProcessUsage;
use crate::metrics::Metrics;

/// Maximum control traffic of one router, in bytes per second.
const MAX_BYTES_PER_S: f64 = 6_000.0;
/// Maximum CPU time of one router, as a fraction of a core.
const MAX_CORE_FRACTION: f64 = 0.05;
/// Maximum resident memory of one router, in bytes.
const MAX_MEMORY: f64 = 64.0 * 1024.0 * 1024.0;
/// Requests per second at one router for which the routers are designed.
const RATE: f64 = 9.4;
/// Time of one engine step, in milliseconds.
const STEP_MS: u64 = 20;
/// Median number of tokens of a draft at [`RATE`]; the mean is 320.
const MEDIAN_TOKENS: f64 = 230.0;
/// Standard deviation of the logarithm of the number of tokens of a draft.
const TOKENS_SIGMA: f64 = 0.8;
/// One workspace in this many is backlogged.
const BACKLOG_STRIDE: usize = 10;
/// Requests that a backlogged workspace keeps outstanding.
const OUTSTANDING: u32 = 4;
/// Time from the start of the load to the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Size of a deployment, and its load.
#[value]
#[derive(Serialize)]
struct Case {
    routers: usize,
    workspaces: usize,
    servers: usize,
    /// Requests per second at one router.
    rate: f64,
}

const TODAY: Case = Case {
    routers: 7,
    workspaces: 16,
    servers: 13,
    rate: RATE,
};

/// The cases: today's size, four times its rate, and each size varied alone.
const CASES: [Case; 9] = [
    TODAY,
    Case {
        rate: 4.0 * RATE,
        ..TODAY
    },
    Case {
        routers: 2,
        ..TODAY
    },
    Case {
        routers: 20,
        ..TODAY
    },
    Case {
        routers: 40,
        ..TODAY
    },
    Case {
        workspaces: 420,
        ..TODAY
    },
    Case {
        workspaces: 4_200,
        ..TODAY
    },
    Case {
        servers: 130,
        ..TODAY
    },
    Case {
        servers: 640,
        ..TODAY
    },
];

/// Results of one case, for one router and per second.
#[record]
#[derive(Serialize)]
struct Figures {
    case: Case,
    /// Maximum over the routers of bytes sent and received.
    bytes_most: f64,
    /// Mean over the routers of bytes sent and received.
    bytes_mean: f64,
    /// Mean number of bytes by direction and kind.
    by_kind: BTreeMap<String, f64>,
    /// Mean number of messages by direction and kind.
    messages: BTreeMap<String, f64>,
    /// Maximum over the routers of CPU time, as a fraction of a core.
    core_most: f64,
    /// Mean over the routers of CPU time, as a fraction of a core.
    core_mean: f64,
    /// Maximum over the routers of resident memory, in bytes.
    memory_most: f64,
    right: usize,
    not_right: usize,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let measured = context.duration(MEASURE_TIME);
    let mut figures = Vec::new();
    for case in CASES {
        let found = measure(context, case, measured)?;
        println!(
            "routers={} workspaces={} servers={} rate={}: {:.0} B/s (most {:.0}), \
             core {:.2}% (most {:.2}%), memory {:.1} MiB, right {}, not right {}",
            case.routers,
            case.workspaces,
            case.servers,
            case.rate,
            found.bytes_mean,
            found.bytes_most,
            found.core_mean * 100.0,
            found.core_most * 100.0,
            found.memory_most / 1_048_576.0,
            found.right,
            found.not_right,
        );
        figures.push(found);
    }
    let (today, fast) = (&figures[0], &figures[1]);
    Ok(Outcome {
        verdicts: vec![
            Verdict::at_most("control-core-x4", fast.core_most, MAX_CORE_FRACTION),
            Verdict::at_most("control-memory-x4", fast.memory_most, MAX_MEMORY),
            Verdict::at_most("control-bytes-x4", fast.bytes_most, MAX_BYTES_PER_S),
            Verdict::at_most("control-core", today.core_most, MAX_CORE_FRACTION),
            Verdict::at_most("control-memory", today.memory_most, MAX_MEMORY),
            Verdict::at_most("control", today.bytes_most, MAX_BYTES_PER_S),
        ],
        settings: json!({
            "tokens_median": MEDIAN_TOKENS, "tokens_sigma": TOKENS_SIGMA, "step_ms": STEP_MS,
            "one_backlogged_of": BACKLOG_STRIDE, "outstanding": OUTSTANDING,
            "measured_s": measured.as_secs_f64(),
        }),
        summary: String::new(),
        figures: json!(figures),
    })
}

fn measure(
    context: &Context,
    case: Case,
    measured: Duration,
) -> Result<Figures, ExperimentError> {
    let deployment = Deployment::consorcio()
        .with_routers(case.routers)
        .with_workspaces(case.workspaces)
        .with_spare_servers(case.servers)
        .with_engine_flag("--step-ms", STEP_MS);
    let load = load(&deployment, context.seed, case, SETTLE_TIME + measured);
    let dir = context.out.join("control");
    compio::runtime::Runtime::new()?.block_on(async {
        let mut lab = Lab::start(deployment.clone(), &dir, RouterOptions::default()).await?;
        let measurement = async {
            compio::time::sleep(SETTLE_TIME).await;
            let before = Snapshot::take(&mut lab).await?;
            compio::time::sleep(measured).await;
            let after = Snapshot::take(&mut lab).await?;
            Ok::<_, ExperimentError>((before, after))
        };
        let (received, snapshots) =
            futures_util::future::join(load.run(&deployment), measurement).await;
        let (before, after) = snapshots?;
        let mut figures = compare(case, &before, &after);
        let right = received.iter().filter(|r| r.ending == Ending::Right);
        figures.right = right.count();
        figures.not_right = received.len() - figures.right;
        Ok(figures)
    })
}

/// Returns a load with a tenth of the workspaces backlogged and open arrivals of the rest.
///
/// Drafts get shorter as the rate grows, so that engines are equally busy in each case.
fn load(deployment: &Deployment, seed: u64, case: Case, duration: Duration) -> Load {
    #[allow(clippy::cast_precision_loss)]
    let rate = case.rate * case.routers as f64;
    let scale = rate / (TODAY.rate * 7.0);
    let mix = Mix {
        lookups: 0.5,
        ..Mix::drafts()
    };
    let mut load = Load::new(seed, duration)
        .with_grace(Duration::ZERO)
        .with_tokens((MEDIAN_TOKENS / scale).min(MEDIAN_TOKENS), TOKENS_SIGMA)
        .with_all_workspaces(deployment, rate, mix);
    for source in load.sources.iter_mut().skip(BACKLOG_STRIDE / 2).step_by(BACKLOG_STRIDE) {
        source.arrivals = Arrivals::Backlog(OUTSTANDING);
        source.mix = Mix::drafts();
    }
    load
}

/// Metrics and resource usage of all routers at one time.
struct Snapshot {
    at: Instant,
    routers: Vec<(Metrics, ProcessUsage)>,
}

impl Snapshot {
    async fn take(lab: &mut Lab) -> Result<Self, ExperimentError> {
        let at = Instant::now();
        let mut routers = Vec::new();
        for router in lab.deployment.routers.clone() {
            let metrics = lab.metrics(&router).await?;
            routers.push((metrics, lab.usage(&router.name)));
        }
        Ok(Self { at, routers })
    }
}

/// Metrics that count the bytes and the messages between routers.
const CONTROL_BYTES: &str = "hibiscusrail_control_bytes_total";
const CONTROL_MESSAGES: &str = "hibiscusrail_control_messages_total";

/// Returns the results of a case from the snapshots at the ends of the measurement.
fn compare(case: Case, before: &Snapshot, after: &Snapshot) -> Figures {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    #[allow(clippy::cast_precision_loss)]
    let routers = after.routers.len() as f64;
    let pairs = || before.routers.iter().zip(&after.routers);
    let bytes = pairs().map(|((m0, _), (m1, _))| {
        (m1.sum(CONTROL_BYTES) - m0.sum(CONTROL_BYTES)) / seconds
    });
    let core = pairs().map(|((_, u0), (_, u1))| (u1.cpu_s - u0.cpu_s) / seconds);
    let (bytes, core): (Vec<f64>, Vec<f64>) = (bytes.collect(), core.collect());
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / routers;
    #[allow(clippy::cast_precision_loss)]
    let memory = after.routers.iter().map(|(_, u)| u.resident as f64);
    Figures {
        case,
        bytes_most: max(&bytes),
        bytes_mean: mean(&bytes),
        by_kind: by_kind(CONTROL_BYTES, before, after, seconds * routers),
        messages: by_kind(CONTROL_MESSAGES, before, after, seconds * routers),
        core_most: max(&core),
        core_mean: mean(&core),
        memory_most: memory.fold(0.0, f64::max),
        right: 0,
        not_right: 0,
    }
}

/// Returns the growth of a metric by direction and kind, divided by `divisor`.
fn by_kind(name: &str, before: &Snapshot, after: &Snapshot, divisor: f64) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    for (snapshot, sign) in [(before, -1.0), (after, 1.0)] {
        for sample in snapshot.routers.iter().flat_map(|(m, _)| m.samples(name)) {
            let label = |l: &str| sample.labels.get(l).cloned().unwrap_or_default();
            let key = format!("{} {}", label("direction"), label("kind"));
            *sums.entry(key).or_default() += sign * sample.value / divisor;
        }
    }
    sums
}
