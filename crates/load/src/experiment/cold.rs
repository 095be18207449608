//! Measures requests beyond the limits of freshly started engines, under full load.
//!
//! Engines take turns to go down and come back cold, while every workspace has more work than its
//! fair share. The engines count the requests that reach them beyond their concurrency limit.

use std::time::Duration;

use hibiscusrail_macros::record;
use hibiscusrail_standin::faults::Faults;
use serde::Serialize;
use serde_json::json;

use super::contention::{self, POLICIES};
use super::lab::Lab;
use super::{Context, ExperimentError, Outcome, Verdict};
use crate::client::Ending;
use crate::fleet::RouterOptions;
use crate::report::Report;

const COLD_STARTS: usize = 50;
const START_INTERVAL: Duration = Duration::from_secs(1);
/// Time that an engine is down before it starts again.
const DOWN_TIME: Duration = Duration::from_millis(2_500);
/// Time before the first engine goes down.
const FAULT_DELAY: Duration = Duration::from_secs(5);
/// Time after the last cold start.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Maximum number of requests that reach engines beyond their limit.
const MAX_OVERLOADS: f64 = 0.0;

/// Results of the run under one policy.
#[record]
#[derive(Serialize)]
struct Figures {
    policy: String,
    /// Requests admitted beyond an engine's limit.
    admitted: usize,
    /// Requests refused by an engine at its limit.
    refused: u64,
    /// Runs on all engines.
    runs: usize,
    not_right: usize,
    /// Summary of the results that callers got.
    report: Report,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let mut figures = Vec::new();
    for policy in POLICIES {
        let found = measure(context, policy)?;
        println!(
            "{policy}: admitted above the limit {}, refused {}, of {} runs; not right {}",
            found.admitted, found.refused, found.runs, found.not_right
        );
        println!("  endings {:?}, codes {:?}", found.report.endings, found.report.codes);
        figures.push(found);
    }
    #[allow(clippy::cast_precision_loss)]
    let overloads = figures[0].admitted as f64 + figures[0].refused as f64;
    Ok(Outcome {
        verdicts: vec![Verdict::at_most("cold", overloads, MAX_OVERLOADS)],
        settings: json!({ "starts": COLD_STARTS, "down_s": DOWN_TIME.as_secs_f64() }),
        summary: String::new(),
        figures: json!(figures),
    })
}

fn measure(context: &Context, policy: &str) -> Result<Figures, ExperimentError> {
    let deployment = contention::deployment();
    let dir = context.out.join(format!("cold-{policy}"));
    let options = RouterOptions::default().with_policy(policy);
    let starts = u32::try_from(COLD_STARTS)?;
    let load = contention::load(
        &deployment,
        context.seed,
        FAULT_DELAY + START_INTERVAL * starts + DOWN_TIME + SETTLE_TIME,
    );
    compio::runtime::Runtime::new()?.block_on(async {
        let lab = Lab::start(deployment, &dir, options).await?;
        let (received, restarted) =
            futures_util::future::join(load.run(&lab.deployment), restart_all(&lab)).await;
        restarted?;
        let servers = lab.runs().await?;
        let models: Vec<_> = servers.iter().filter(|s| s.server.is_model).collect();
        let runs = || models.iter().flat_map(|s| &s.runs);
        Ok(Figures {
            policy: policy.to_owned(),
            admitted: runs().filter(|r| r.overloaded()).count(),
            refused: models.iter().map(|s| s.refused).sum(),
            runs: runs().count(),
            not_right: received
                .iter()
                .filter(|r| r.ending != Ending::Right)
                .count(),
            report: Report::new(&received),
        })
    })
}

/// Takes down engines in turn and lets each come back cold.
async fn restart_all(lab: &Lab) -> Result<(), ExperimentError> {
    compio::time::sleep(FAULT_DELAY).await;
    let restarts = (0..COLD_STARTS).map(|i| async move {
        compio::time::sleep(START_INTERVAL * u32::try_from(i)?).await;
        let name = engine(lab, i);
        lab.set_faults(name, &Faults::default().with_down()).await?;
        compio::time::sleep(DOWN_TIME).await;
        lab.post(name, "/restart").await?;
        lab.set_faults(name, &Faults::default()).await
    });
    futures_util::future::try_join_all(restarts).await?;
    Ok(())
}

/// Returns the name of the engine for cold start `number`.
fn engine(lab: &Lab, number: usize) -> &str {
    let engines: Vec<_> = lab.deployment.servers.iter().filter(|s| s.is_model).collect();
    &engines[number % engines.len()].name
}
