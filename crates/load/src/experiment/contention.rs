//! A pool on which every workspace has more work than its portion.
//!
//! 7 routers, 10 engines, 16 workspaces of which 3 are large; costs are
//! heavy-tailed, hints are wrong. One workspace enters at a single router,
//! one floods at twenty times its share, two hint wrongly on purpose.

use std::time::Duration;

use hibiscusrail_macros::record;
use hibiscusrail_standin::http_util::epoch_ms;
use serde_json::{Value, json};

use super::lab::{Lab, ServerRuns};
use super::service::{ServiceSeries, slots};
use super::{Context, ExperimentError};
use crate::client::{Ending, Received};
use crate::deployment::{Deployment, WorkspaceSpec};
use crate::fleet::RouterOptions;
use crate::generator::{Arrivals, Hint, Load, Source};

/// Requests that an engine bears when cold.
pub const COLD: u32 = 4;
/// Requests that an engine bears when warm.
pub const WARM: u32 = 16;
/// Milliseconds of one engine step.
const STEP_MS: u64 = 30;
/// Median and spread of the tokens of a draft.
const TOKENS: f64 = 24.0;
const SIGMA: f64 = 1.2;
/// Requests that a workspace keeps outstanding, for each unit of its share.
const OUTSTANDING: f64 = 24.0;
/// How many times its share the flooding workspace sends.
const FLOOD: f64 = 20.0;
/// The workspaces that behave unlike the others, by number.
const FLOODING: usize = 5;
const SINGLE_ROUTER: usize = 6;
const HINTING_LOW: usize = 7;
const HINTING_HIGH: usize = 8;
/// Factor of a hint that is wrong on purpose.
const FALSE_HINT: f64 = 10.0;
/// Time for the engines to warm up before service counts.
const WARM_UP: Duration = Duration::from_secs(8);

/// The policies that are compared; the first is the product's.
pub const POLICIES: [&str; 3] = ["fleet_fair", "local_fair", "fifo"];

/// What a run under one policy showed.
#[record]
pub struct Contention {
    /// The policy.
    pub policy: String,
    /// The workspaces, all of them backlogged.
    pub workspaces: Vec<WorkspaceSpec>,
    /// The servers' own records.
    pub servers: Vec<ServerRuns>,
    /// When the load began, in milliseconds since the epoch.
    pub start_ms: u64,
    /// When the engines were warm.
    pub warm_ms: u64,
    /// When the load ended.
    pub end_ms: u64,
    /// What callers received.
    pub received: Vec<Received>,
}

/// Returns the settings of the run, for the result file.
#[must_use]
pub fn settings(measured: Duration) -> Value {
    json!({
        "routers": 7, "engines": 10, "workspaces": 16,
        "cold": COLD, "warm": WARM, "step_ms": STEP_MS,
        "tokens_median": TOKENS, "tokens_sigma": SIGMA,
        "outstanding_per_share": OUTSTANDING, "flood": FLOOD,
        "warm_up_s": WARM_UP.as_secs(), "measured_s": measured.as_secs_f64(),
    })
}

/// Runs the load under a policy.
///
/// # Errors
///
/// Fails when the fleet does not start or a server does not show its record.
pub fn run(
    context: &Context,
    name: &str,
    policy: &str,
    measured: Duration,
) -> Result<Contention, ExperimentError> {
    let deployment = deployment();
    let dir = context.out.join(format!("{name}-{policy}"));
    let options = RouterOptions::default().with_policy(policy);
    let load = load(&deployment, context.seed, WARM_UP + measured);
    compio::runtime::Runtime::new()?.block_on(async {
        let lab = Lab::start(deployment, &dir, options).await?;
        let start_ms = epoch_ms();
        let received = load.run(&lab.deployment).await;
        let end_ms = epoch_ms();
        let servers = lab.runs().await?;
        Ok(Contention {
            policy: policy.to_owned(),
            workspaces: lab.deployment.workspaces.clone(),
            servers,
            start_ms,
            warm_ms: start_ms + u64::try_from(WARM_UP.as_millis())?,
            end_ms,
            received,
        })
    })
}

/// Returns the pool.
#[must_use]
pub fn deployment() -> Deployment {
    Deployment::consorcio()
        .with_engine_limits(COLD, WARM)
        .with_engine_flag("--step-ms", STEP_MS)
}

/// Returns a load under which every workspace has more work than its portion.
#[must_use]
pub fn load(deployment: &Deployment, seed: u64, duration: Duration) -> Load {
    let mut load = Load::new(seed, duration)
        .with_tokens(TOKENS, SIGMA)
        .with_deadline(duration * 2);
    for (i, workspace) in deployment.workspaces.iter().enumerate() {
        let flood = if i == FLOODING { FLOOD } else { 1.0 };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let outstanding = (OUTSTANDING * workspace.share * flood) as u32;
        let arrivals = Arrivals::Backlog(outstanding);
        let seed = seed.wrapping_mul(31).wrapping_add(i as u64);
        let hint = match i {
            HINTING_LOW => Hint::Factor(1.0 / FALSE_HINT),
            HINTING_HIGH => Hint::Factor(FALSE_HINT),
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

/// The figures of one run.
#[record]
#[derive(serde::Serialize)]
pub struct Figures {
    /// The policy.
    pub policy: String,
    /// Largest fairness gap, in seconds of the pool's whole service.
    pub gap_s: f64,
    /// The same in the first and in the second half of the run.
    pub gap_halves_s: [f64; 2],
    /// Largest relative difference of a workspace's service from its portion.
    pub portion: f64,
    /// Service over portion by workspace.
    pub portions: Vec<(String, f64)>,
    /// Slot-seconds used over slot-seconds bearable.
    pub utilisation: f64,
    /// Tokens a second of the whole pool.
    pub rate: f64,
    /// Requests that servers admitted beyond what they bore, or refused.
    pub overloads: u64,
    /// Requests that ended otherwise than with the right answer.
    pub not_right: u64,
    /// Requests in progress at each server, on average over five seconds each.
    pub running: Vec<(String, Vec<f64>)>,
}

/// Time over which requests in progress are averaged, in milliseconds.
const RUNNING_MS: u64 = 5_000;

impl Contention {
    /// Samples the service of each workspace from the start of the load.
    #[must_use]
    pub fn series(&self) -> ServiceSeries {
        ServiceSeries::new(&self.servers, self.start_ms, self.end_ms)
    }

    /// Returns the fairness gap at each sample, in seconds of the pool's whole service.
    ///
    /// The gap is the largest difference between two workspaces of service
    /// divided by share, over what one second of the pool's service comes to
    /// when it is shared among all.
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

    /// Returns the first sample of the measurement, after the engines warmed up.
    fn warm_sample(&self) -> usize {
        let span = (self.warm_ms - self.start_ms) / super::service::SAMPLE_MS;
        usize::try_from(span).unwrap_or(0)
    }

    /// Returns the tokens a second of the warm pool.
    fn rate(&self, series: &ServiceSeries) -> f64 {
        let from = self.warm_sample();
        let seconds = ServiceSeries::seconds(series.len()) - ServiceSeries::seconds(from);
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
        let off = portions.iter().map(|(_, p)| (p - 1.0).abs());
        let (used, borne) = slots(&self.servers, self.warm_ms, self.end_ms);
        let overloads = self.servers.iter().map(|s| {
            let above = s.runs.iter().filter(|r| r.overloaded()).count();
            above as u64 + s.refused
        });
        let not_right = self.received.iter().filter(|r| r.ending != Ending::Right);
        Figures {
            policy: self.policy.clone(),
            gap_s: largest(&gaps),
            gap_halves_s: [largest(&gaps[..half]), largest(&gaps[half..])],
            portion: off.fold(0.0, f64::max),
            portions,
            utilisation: used / borne,
            rate: self.rate(&series),
            overloads: overloads.sum(),
            not_right: not_right.count() as u64,
            running: self.running(),
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn running(&self) -> Vec<(String, Vec<f64>)> {
        let models = self.servers.iter().filter(|s| s.server.model);
        let span = (self.end_ms - self.start_ms) / RUNNING_MS;
        let means = |server: &ServerRuns| {
            let mean = |i: u64| {
                let from = self.start_ms + i * RUNNING_MS;
                let one = std::slice::from_ref(server);
                slots(one, from, from + RUNNING_MS).0 * 1_000.0 / RUNNING_MS as f64
            };
            (0..span).map(mean).collect()
        };
        models.map(|s| (s.server.name.clone(), means(s))).collect()
    }

    /// Returns each workspace's service over its portion of the warm pool's.
    fn portions(&self, series: &ServiceSeries) -> Vec<(String, f64)> {
        let shares: f64 = self.workspaces.iter().map(|w| w.share).sum();
        let samples = self.warm_sample()..series.len();
        let total = series.total(samples.clone());
        let portion = |w: &WorkspaceSpec| {
            let fair = total * w.share / shares;
            (
                w.name.clone(),
                series.within(&w.name, samples.clone()) / fair,
            )
        };
        self.workspaces.iter().map(portion).collect()
    }
}
