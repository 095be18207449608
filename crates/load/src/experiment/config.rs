//! Measures the time from the acceptance of a ticket until it is in force on all routers.
//!
//! One of the 7 routers is cut off from the platform and learns the configuration from the others.

use std::time::Duration;

use serde_json::json;

use super::lab::Lab;
use super::tickets::{in_force_times, submit_ticket};
use super::{Context, ExperimentError, Outcome, Verdict};
use crate::deployment::Deployment;
use crate::fleet::RouterOptions;

/// Number of tickets submitted.
const TICKET_COUNT: u64 = 50;
/// Number of the first ticket.
const FIRST_TICKET: u64 = 100;
/// Time between two tickets.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(700);
/// Time for the last ticket to come into force.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Maximum time from acceptance to in force on the last router, in seconds.
const MAX_IN_FORCE_S: f64 = 5.0;
/// Router that can't reach the platform.
const CUT_OFF_ROUTER: &str = "router-6";
/// Address at which nothing listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";
/// Index of the workspace that the tickets change.
const WORKSPACE: usize = 15;

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet does not start or a ticket is not accepted.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let dir = context.out.join("config");
    let deployment = Deployment::consorcio();
    let accepted = compio::runtime::Runtime::new()?.block_on(async {
        let mut lab = Lab::start(deployment.clone(), &dir, RouterOptions::default()).await?;
        let options = RouterOptions::default().with("platform", "address", UNUSED_ADDRESS);
        lab.set_options(options);
        lab.restart_router(CUT_OFF_ROUTER)?;
        lab.wait_ready(&lab.router(CUT_OFF_ROUTER).clone()).await?;
        submit_all(&lab).await
    })?;
    let object = format!("workspace/{}", deployment.workspaces[WORKSPACE].name);
    let mut last = vec![0.0_f64; accepted.len()];
    let mut by_router = Vec::new();
    for router in &deployment.routers {
        let times = in_force_times(&dir.join(format!("{}.log", router.name)), &object)?;
        let mut worst = 0.0_f64;
        for ((number, accepted_ms), last) in (FIRST_TICKET..).zip(&accepted).zip(&mut last) {
            let time_ms = times.range(number..).map(|(_, at)| *at).min();
            let seconds = time_ms.map_or(f64::INFINITY, |at| elapsed_s(*accepted_ms, at));
            *last = last.max(seconds);
            worst = worst.max(seconds);
        }
        by_router.push((router.name.clone(), worst));
    }
    last.sort_by(f64::total_cmp);
    let p50 = last[last.len() / 2];
    let max = last.last().copied().unwrap_or(f64::INFINITY);
    println!(
        "tickets {TICKET_COUNT}: p50 {p50:.3} s, max {max:.3} s; {CUT_OFF_ROUTER} has no platform"
    );
    Ok(Outcome {
        verdicts: vec![Verdict::at_most("config", max, MAX_IN_FORCE_S)],
        settings: json!({"routers": 7, "tickets": TICKET_COUNT, "without_platform": CUT_OFF_ROUTER}),
        figures: json!({"p50_s": p50, "max_s": max, "worst_by_router_s": by_router}),
        ..Outcome::default()
    })
}

/// Submits the tickets; returns when each was accepted, in milliseconds since the epoch.
async fn submit_all(lab: &Lab) -> Result<Vec<u64>, ExperimentError> {
    let workspace = lab.deployment.workspace_state(WORKSPACE);
    let mut accepted = Vec::new();
    for number in FIRST_TICKET..FIRST_TICKET + TICKET_COUNT {
        let objects = json!({ "workspaces": [workspace] });
        accepted.push(submit_ticket(&lab.deployment, number, &objects).await?);
        compio::time::sleep(SUBMIT_INTERVAL).await;
    }
    compio::time::sleep(SETTLE_TIME).await;
    Ok(accepted)
}

#[allow(clippy::cast_precision_loss)]
fn elapsed_s(from_ms: u64, to_ms: u64) -> f64 {
    to_ms.saturating_sub(from_ms) as f64 / 1_000.0
}
