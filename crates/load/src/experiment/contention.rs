//! Runs a load under which every workspace has more work than its fair share.
//!
//! 7 routers, 10 engines and 16 workspaces, 3 of them large; costs are heavy-tailed and hints
//! wrong. One workspace sends to a single router, one sends twenty times the load of its share, and
//! two give wrong hints on purpose. The pool is all engines together.

use std::time::Duration;

use hibiscusrail_macros::record;
use hibiscusrail_standin::http_util::epoch_ms;
use serde_json::{Value, json};

use super::lab::{Lab, ServerRuns};
use super::service::{ServiceSeries, slot_seconds};
use super::{Context, ExperimentError};
use crate::client::{CallerResult, Ending};
use crate::deployment::{Deployment, WorkspaceSpec};
use crate::fleet::RouterOptions;
use crate::generator::{Arrivals, Hint, Load, Source};

/// Concurrency limit of a cold engine.
pub const COLD_LIMIT: u32 = 4;
/// Concurrency limit of a warm engine.
pub const WARM_LIMIT: u32 = 16;
/// Time of one engine step, in milliseconds.
const STEP_MS: u64 = 30;
/// Median number of tokens of a draft.
const MEDIAN_TOKENS: f64 = 24.0;
/// Standard deviation of the logarithm of the number of tokens of a draft.
const TOKENS_SIGMA: f64 = 1.2;
/// Requests that a workspace keeps outstanding, for each unit of its share.
const OUTSTANDING_PER_SHARE: f64 = 24.0;
/// Factor by which the flooding workspace exceeds [`OUTSTANDING_PER_SHARE`].
const FLOOD_FACTOR: f64 = 20.0;
/// Indexes of the workspaces that flood, send to a single router, hint too low, and hint too high.
const FLOODING: usize = 5;
const SINGLE_ROUTER: usize = 6;
const HINTING_LOW: usize = 7;
const HINTING_HIGH: usize = 8;
/// Factor by which a hint is wrong on purpose.
const FALSE_HINT_FACTOR: f64 = 10.0;
/// Time for the engines to warm up before the measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(8);

/// Policies that are compared; the first is the product's, the others are baselines.
pub const POLICIES: [&str; 3] = ["fleet_fair", "local_fair", "fifo"];

/// Records of the run under one policy.
#[record]
pub struct ContentionRun {
    /// The policy.
    pub policy: String,
    /// The workspaces, all of them backlogged.
    pub workspaces: Vec<WorkspaceSpec>,
    /// The servers' own records of runs.
    pub servers: Vec<ServerRuns>,
    /// Start of the load, in milliseconds since the epoch.
    pub start_ms: u64,
    /// End of the warm-up, in milliseconds since the epoch.
    pub warm_ms: u64,
    /// End of the load, in milliseconds since the epoch.
    pub end_ms: u64,
    /// Results that callers got.
    pub received: Vec<CallerResult>,
}

/// Returns the settings of the run, for the result file.
#[must_use]
pub fn settings(measured: Duration) -> Value {
    json!({
        "routers": 7, "engines": 10, "workspaces": 16,
        "cold": COLD_LIMIT, "warm": WARM_LIMIT, "step_ms": STEP_MS,
        "tokens_median": MEDIAN_TOKENS, "tokens_sigma": TOKENS_SIGMA,
        "outstanding_per_share": OUTSTANDING_PER_SHARE, "flood": FLOOD_FACTOR,
        "warm_up_s": WARM_UP_TIME.as_secs(), "measured_s": measured.as_secs_f64(),
    })
}

/// Runs the load under a policy.
///
/// # Errors
///
/// Fails when the fleet does not start or a server does not return its record.
pub fn run(
    context: &Context,
    name: &str,
    policy: &str,
    measured: Duration,
) -> Result<ContentionRun, ExperimentError> {
    let deployment = deployment();
    let dir = context.out.join(format!("{name}-{policy}"));
    let options = RouterOptions::default().with_policy(policy);
    let load = load(&deployment, context.seed, WARM_UP_TIME + measured);
    compio::runtime::Runtime::new()?.block_on(async {
        let lab = Lab::start(deployment, &dir, options).await?;
        let start_ms = epoch_ms();
        let received = load.run(&lab.deployment).await;
        let end_ms = epoch_ms();
        let servers = lab.runs().await?;
        Ok(ContentionRun {
            policy: policy.to_owned(),
            workspaces: lab.deployment.workspaces.clone(),
            servers,
            start_ms,
            warm_ms: start_ms + u64::try_from(WARM_UP_TIME.as_millis())?,
            end_ms,
            received,
        })
    })
}

/// Returns the deployment of the run.
#[must_use]
pub fn deployment() -> Deployment {
    Deployment::consorcio()
        .with_engine_limits(COLD_LIMIT, WARM_LIMIT)
        .with_engine_flag("--step-ms", STEP_MS)
}

/// Returns a load under which every workspace has more work than its fair share.
#[must_use]
pub fn load(deployment: &Deployment, seed: u64, duration: Duration) -> Load {
    let mut load = Load::new(seed, duration)
        .with_tokens(MEDIAN_TOKENS, TOKENS_SIGMA)
        .with_deadline(duration * 2);
    for (i, workspace) in deployment.workspaces.iter().enumerate() {
        let flood = if i == FLOODING { FLOOD_FACTOR } else { 1.0 };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let outstanding = (OUTSTANDING_PER_SHARE * workspace.share * flood) as u32;
        let arrivals = Arrivals::Backlog(outstanding);
        let seed = seed.wrapping_mul(31).wrapping_add(i as u64);
        let hint = match i {
            HINTING_LOW => Hint::Factor(1.0 / FALSE_HINT_FACTOR),
            HINTING_HIGH => Hint::Factor(FALSE_HINT_FACTOR),
            _ => Hint::Noisy,
        };
        let mut source = Source::new(deployment, workspace, arrivals, seed).with_hint(hint);
        if i == SINGLE_ROUTER {
            source = source.with_router(deployment.routers[0].listen);
        }
        load = load.with_source(source);
    }
    load
}

/// Figures of one run.
#[record]
#[derive(serde::Serialize)]
pub struct Figures {
    /// The policy.
    pub policy: String,
    /// Largest fairness gap, in seconds of the pool's whole service.
    pub gap_s: f64,
    /// Largest fairness gap in each half of the run, in seconds of the pool's whole service.
    pub gap_halves_s: [f64; 2],
    /// Largest relative deviation of a workspace's service from its fair share.
    pub portion: f64,
    /// Service divided by fair share, by workspace.
    pub portions: Vec<(String, f64)>,
    /// Fraction of the available slot-seconds that was used.
    pub utilisation: f64,
    /// Tokens per second of the whole pool.
    pub rate: f64,
    /// Requests that servers admitted beyond their limit, or refused.
    pub overloads: u64,
    /// Requests that did not end with the right answer.
    pub not_right: u64,
    /// Mean number of requests in progress at each engine, in windows of five seconds.
    pub running: Vec<(String, Vec<f64>)>,
}

/// Window over which requests in progress are averaged, in milliseconds.
const RUNNING_WINDOW_MS: u64 = 5_000;

impl ContentionRun {
    /// Samples the service of each workspace from the start of the load.
    #[must_use]
    pub fn series(&self) -> ServiceSeries {
        ServiceSeries::new(&self.servers, self.start_ms, self.end_ms)
    }

    /// Returns the fairness gap at each sample, in seconds of the pool's whole service.
    ///
    /// The gap is the largest difference between two workspaces in service divided by share. Its
    /// unit is the service that one second of the whole pool gives to each unit of share.
    #[must_use]
    pub fn gaps(&self, series: &ServiceSeries) -> Vec<f64> {
        let shares: f64 = self.workspaces.iter().map(|w| w.share).sum();
        let per_second = self.rate(series) / shares;
        let normalised: Vec<Vec<f64>> = self
            .workspaces
            .iter()
            .map(|w| {
                let service = series.cumulative(&w.name);
                service.iter().map(|s| s / w.share / per_second).collect()
            })
            .collect();
        let gap = |i: usize| {
            let at = normalised.iter().map(|s| s[i]);
            let (low, high) = at.fold((f64::MAX, f64::MIN), |(l, h), s| (l.min(s), h.max(s)));
            high - low
        };
        (0..series.len()).map(gap).collect()
    }

    /// Returns the index of the first sample after the warm-up.
    fn warm_sample(&self) -> usize {
        let span = (self.warm_ms - self.start_ms) / super::service::SAMPLE_INTERVAL_MS;
        usize::try_from(span).unwrap_or(0)
    }

    /// Returns the tokens per second of the warm pool.
    fn rate(&self, series: &ServiceSeries) -> f64 {
        let from = self.warm_sample();
        let seconds = ServiceSeries::end_s(series.len()) - ServiceSeries::end_s(from);
        series.total(from..series.len()) / seconds
    }

    /// Computes the figures.
    #[must_use]
    pub fn figures(&self) -> Figures {
        let series = self.series();
        let gaps = self.gaps(&series);
        let half = gaps.len() / 2;
        let largest = |part: &[f64]| part.iter().copied().fold(0.0, f64::max);
        let portions = self.portions(&series);
        let deviations = portions.iter().map(|(_, p)| (p - 1.0).abs());
        let (used, available) = slot_seconds(&self.servers, self.warm_ms, self.end_ms);
        let overloads = self.servers.iter().map(|s| {
            let admitted = s.runs.iter().filter(|r| r.overloaded()).count();
            admitted as u64 + s.refused
        });
        let not_right = self.received.iter().filter(|r| r.ending != Ending::Right);
        Figures {
            policy: self.policy.clone(),
            gap_s: largest(&gaps),
            gap_halves_s: [largest(&gaps[..half]), largest(&gaps[half..])],
            portion: deviations.fold(0.0, f64::max),
            portions,
            utilisation: used / available,
            rate: self.rate(&series),
            overloads: overloads.sum(),
            not_right: not_right.count() as u64,
            running: self.running(),
        }
    }

    /// Returns the mean number of requests in progress at each engine, by window.
    #[allow(clippy::cast_precision_loss)]
    fn running(&self) -> Vec<(String, Vec<f64>)> {
        let models = self.servers.iter().filter(|s| s.server.is_model);
        let windows = (self.end_ms - self.start_ms) / RUNNING_WINDOW_MS;
        let means = |server: &ServerRuns| {
            let mean = |i: u64| {
                let from = self.start_ms + i * RUNNING_WINDOW_MS;
                let one = std::slice::from_ref(server);
                slot_seconds(one, from, from + RUNNING_WINDOW_MS).0 * 1_000.0
                    / RUNNING_WINDOW_MS as f64
            };
            (0..windows).map(mean).collect()
        };
        models.map(|s| (s.server.name.clone(), means(s))).collect()
    }

    /// Returns each workspace's service on the warm pool, divided by its fair share of it.
    fn portions(&self, series: &ServiceSeries) -> Vec<(String, f64)> {
        let shares: f64 = self.workspaces.iter().map(|w| w.share).sum();
        let samples = self.warm_sample()..series.len();
        let total = series.total(samples.clone());
        let portion = |w: &WorkspaceSpec| {
            let fair = total * w.share / shares;
            (
                w.name.clone(),
                series.workspace_total(&w.name, samples.clone()) / fair,
            )
        };
        self.workspaces.iter().map(portion).collect()
    }
}
