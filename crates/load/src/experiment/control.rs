//! Control traffic, processor time and memory of each router, and their slopes.

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
use crate::machine::ProcessUse;
use crate::metrics::Metrics;

/// Bounds of one router: bytes a second, fraction of a core, bytes of memory.
const BYTES: f64 = 6_000.0;
const CORE: f64 = 0.05;
const MEMORY: f64 = 64.0 * 1024.0 * 1024.0;
/// Requests a second at one router at the size to design for.
const RATE: f64 = 9.4;
/// Milliseconds of one engine step.
const STEP_MS: u64 = 20;
/// Median of the tokens of a draft at that rate; the mean is 320.
const TOKENS: f64 = 230.0;
const SIGMA: f64 = 0.8;
/// One in this many workspaces is backlogged.
const BACKLOGGED: usize = 10;
/// Requests that a backlogged workspace keeps outstanding.
const OUTSTANDING: u32 = 4;
/// Time before the measurement, and its own.
const SETTLE: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(10);

/// Sizes of one case.
#[value]
#[derive(Serialize)]
struct Case {
    routers: usize,
    workspaces: usize,
    servers: usize,
    /// Requests a second at one router.
    rate: f64,
}

const TODAY: Case = Case {
    routers: 7,
    workspaces: 16,
    servers: 13,
    rate: RATE,
};

/// The cases: today's size, four times its rate, and one size changed at a time.
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

/// What one case showed; per router and second.
#[record]
#[derive(Serialize)]
struct Figures {
    case: Case,
    /// Bytes sent and received, of the router with most and on average.
    bytes_most: f64,
    bytes_mean: f64,
    /// Bytes by direction and kind, on average.
    by_kind: BTreeMap<String, f64>,
    /// Messages by direction and kind, on average.
    messages: BTreeMap<String, f64>,
    /// Fraction of a core, of the router with most and on average.
    core_most: f64,
    core_mean: f64,
    /// Bytes of resident memory of the router with most.
    memory_most: f64,
    /// Requests that ended with the right answer, and otherwise.
    right: usize,
    not_right: usize,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let measured = context.duration(MEASURED);
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
            Verdict::at_most("control-core-x4", fast.core_most, CORE),
            Verdict::at_most("control-memory-x4", fast.memory_most, MEMORY),
            Verdict::at_most("control-bytes-x4", fast.bytes_most, BYTES),
            Verdict::at_most("control-core", today.core_most, CORE),
            Verdict::at_most("control-memory", today.memory_most, MEMORY),
            Verdict::at_most("control", today.bytes_most, BYTES),
        ],
        settings: json!({
            "tokens_median": TOKENS, "tokens_sigma": SIGMA, "step_ms": STEP_MS,
            "one_backlogged_of": BACKLOGGED, "outstanding": OUTSTANDING,
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
    let load = load(&deployment, context.seed, case, SETTLE + measured);
    let dir = context.out.join("control");
    compio::runtime::Runtime::new()?.block_on(async {
        let mut lab = Lab::start(deployment.clone(), &dir, RouterOptions::default()).await?;
        let look = async {
            compio::time::sleep(SETTLE).await;
            let before = Look::at(&mut lab).await?;
            compio::time::sleep(measured).await;
            let after = Look::at(&mut lab).await?;
            Ok::<_, ExperimentError>((before, after))
        };
        let (received, looks) = futures_util::future::join(load.run(&deployment), look).await;
        let (before, after) = looks?;
        let mut figures = compare(case, &before, &after);
        let right = received.iter().filter(|r| r.ending == Ending::Right);
        figures.right = right.count();
        figures.not_right = received.len() - figures.right;
        Ok(figures)
    })
}

/// A tenth of the workspaces backlogged, the others with open arrivals.
///
/// Drafts get shorter as the rate grows, so that the pool is as full in each case.
fn load(deployment: &Deployment, seed: u64, case: Case, duration: Duration) -> Load {
    #[allow(clippy::cast_precision_loss)]
    let rate = case.rate * case.routers as f64;
    let busy = rate / (TODAY.rate * 7.0);
    let mix = Mix {
        lookups: 0.5,
        ..Mix::drafts()
    };
    let mut load = Load::new(seed, duration)
        .with_grace(Duration::ZERO)
        .with_costs((TOKENS / busy).min(TOKENS), SIGMA)
        .with_all(deployment, rate, mix);
    for source in load.sources.iter_mut().skip(BACKLOGGED / 2).step_by(BACKLOGGED) {
        source.arrivals = Arrivals::Backlog(OUTSTANDING);
        source.mix = Mix::drafts();
    }
    load
}

/// The state of all routers at one time.
struct Look {
    at: Instant,
    routers: Vec<(Metrics, ProcessUse)>,
}

impl Look {
    async fn at(lab: &mut Lab) -> Result<Self, ExperimentError> {
        let at = Instant::now();
        let mut routers = Vec::new();
        for router in lab.deployment.routers.clone() {
            let metrics = lab.metrics(&router).await?;
            routers.push((metrics, lab.usage(&router.name)));
        }
        Ok(Self { at, routers })
    }
}

/// Metrics that count datagrams between routers.
const CONTROL_BYTES: &str = "hibiscusrail_control_bytes_total";
const CONTROL_MESSAGES: &str = "hibiscusrail_control_messages_total";

fn compare(case: Case, before: &Look, after: &Look) -> Figures {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    #[allow(clippy::cast_precision_loss)]
    let routers = after.routers.len() as f64;
    let pairs = || before.routers.iter().zip(&after.routers);
    let bytes = pairs().map(|((m0, _), (m1, _))| {
        (m1.sum(CONTROL_BYTES) - m0.sum(CONTROL_BYTES)) / seconds
    });
    let core = pairs().map(|((_, u0), (_, u1))| (u1.cpu_s - u0.cpu_s) / seconds);
    let (bytes, core): (Vec<f64>, Vec<f64>) = (bytes.collect(), core.collect());
    let most = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / routers;
    #[allow(clippy::cast_precision_loss)]
    let memory = after.routers.iter().map(|(_, u)| u.resident as f64);
    Figures {
        case,
        bytes_most: most(&bytes),
        bytes_mean: mean(&bytes),
        by_kind: by_kind(CONTROL_BYTES, before, after, seconds * routers),
        messages: by_kind(CONTROL_MESSAGES, before, after, seconds * routers),
        core_most: most(&core),
        core_mean: mean(&core),
        memory_most: memory.fold(0.0, f64::max),
        right: 0,
        not_right: 0,
    }
}

/// Sums a metric's growth by direction and kind, divided by `parts`.
fn by_kind(name: &str, before: &Look, after: &Look, parts: f64) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    for (look, sign) in [(before, -1.0), (after, 1.0)] {
        for sample in look.routers.iter().flat_map(|(m, _)| m.of(name)) {
            let label = |l: &str| sample.labels.get(l).cloned().unwrap_or_default();
            let key = format!("{} {}", label("direction"), label("kind"));
            *sums.entry(key).or_default() += sign * sample.value / parts;
        }
    }
    sums
}
