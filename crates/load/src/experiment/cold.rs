//! Requests above what freshly started engines bear, under full load.
//!
//! One engine after the other goes down and comes back cold, while every
//! workspace has more work than its portion. The engines count what reaches
//! them beyond what they bear.

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

/// Cold starts during the run.
const STARTS: usize = 50;
/// Time between two cold starts.
const STEP: Duration = Duration::from_secs(1);
/// Time that an engine is down before it starts again.
const DOWN: Duration = Duration::from_millis(2_500);
/// Time before the first engine goes down.
const LEAD: Duration = Duration::from_secs(5);
/// Time after the last cold start.
const TAIL: Duration = Duration::from_secs(5);
/// Requests above the limit that are allowed.
const ABOVE: f64 = 0.0;

/// What a run under one policy showed.
#[record]
#[derive(Serialize)]
struct Figures {
    policy: String,
    /// Requests admitted beyond what an engine bore.
    admitted: usize,
    /// Requests refused because an engine bore no more.
    refused: u64,
    /// Runs on all engines.
    runs: usize,
    /// Requests that ended otherwise than with the right answer.
    not_right: usize,
    /// Summary of what callers received.
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
    let above = figures[0].admitted as f64 + figures[0].refused as f64;
    Ok(Outcome {
        verdicts: vec![Verdict::at_most("cold", above, ABOVE)],
        settings: json!({ "starts": STARTS, "down_s": DOWN.as_secs_f64() }),
        summary: String::new(),
        figures: json!(figures),
    })
}

fn measure(context: &Context, policy: &str) -> Result<Figures, ExperimentError> {
    let deployment = contention::deployment();
    let dir = context.out.join(format!("cold-{policy}"));
    let options = RouterOptions::default().with_policy(policy);
    let starts = u32::try_from(STARTS)?;
    let load = contention::load(
        &deployment,
        context.seed,
        LEAD + STEP * starts + DOWN + TAIL,
    );
    compio::runtime::Runtime::new()?.block_on(async {
        let lab = Lab::start(deployment, &dir, options).await?;
        let (received, restarted) =
            futures_util::future::join(load.run(&lab.deployment), restart_all(&lab)).await;
        restarted?;
        let servers = lab.runs().await?;
        let models: Vec<_> = servers.iter().filter(|s| s.server.model).collect();
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

/// Takes one engine after the other down and lets it come back cold.
async fn restart_all(lab: &Lab) -> Result<(), ExperimentError> {
    compio::time::sleep(LEAD).await;
    let restarts = (0..STARTS).map(|i| async move {
        compio::time::sleep(STEP * u32::try_from(i)?).await;
        let name = engine(lab, i);
        lab.set_faults(name, &Faults::default().with_down()).await?;
        compio::time::sleep(DOWN).await;
        lab.control(name, "/restart").await?;
        lab.set_faults(name, &Faults::default()).await
    });
    futures_util::future::try_join_all(restarts).await?;
    Ok(())
}

/// Returns the engine whose turn a cold start is.
fn engine(lab: &Lab, number: usize) -> &str {
    let engines: Vec<_> = lab.deployment.servers.iter().filter(|s| s.model).collect();
    &engines[number % engines.len()].name
}
