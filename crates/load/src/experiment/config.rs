//! Time from the acceptance of a ticket until it is in force on the last router.
//!
//! 7 routers, one of them cut off from the platform: it learns from the others.

use std::time::Duration;

use serde_json::json;

use super::lab::Lab;
use super::tickets::{change, in_force};
use super::{Context, ExperimentError, Outcome, Verdict};
use crate::deployment::Deployment;
use crate::fleet::RouterOptions;

/// Tickets submitted.
const TICKETS: u64 = 50;
/// Number of the first ticket.
const FIRST: u64 = 100;
/// Pause between two tickets.
const PAUSE: Duration = Duration::from_millis(700);
/// Time for the last ticket to come into force.
const SETTLE: Duration = Duration::from_secs(10);
/// Most seconds from accept to in force on the last router.
const IN_FORCE_S: f64 = 5.0;
/// The router without the platform, and an address where nothing listens.
const CUT_OFF: &str = "router-6";
const NOWHERE: &str = "127.0.0.1:9";
/// Number of the workspace that the tickets change.
const CHANGED: usize = 15;

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
        let options = RouterOptions::default().with("platform", "address", NOWHERE);
        lab.set_options(options);
        lab.restart_router(CUT_OFF)?;
        lab.wait_ready(&lab.router(CUT_OFF).clone()).await?;
        submit_all(&lab).await
    })?;
    let object = format!("workspace/{}", deployment.workspaces[CHANGED].name);
    let mut last = vec![0.0_f64; accepted.len()];
    let mut by_router = Vec::new();
    for router in &deployment.routers {
        let times = in_force(&dir.join(format!("{}.log", router.name)), &object)?;
        let mut worst = 0.0_f64;
        for ((number, accepted_ms), last) in (FIRST..).zip(&accepted).zip(&mut last) {
            let time_ms = times.range(number..).map(|(_, at)| *at).min();
            let seconds = time_ms.map_or(f64::INFINITY, |at| seconds(*accepted_ms, at));
            *last = last.max(seconds);
            worst = worst.max(seconds);
        }
        by_router.push((router.name.clone(), worst));
    }
    last.sort_by(f64::total_cmp);
    let p50 = last[last.len() / 2];
    let max = last.last().copied().unwrap_or(f64::INFINITY);
    println!("tickets {TICKETS}: p50 {p50:.3} s, max {max:.3} s; {CUT_OFF} has no platform");
    Ok(Outcome {
        verdicts: vec![Verdict::at_most("config", max, IN_FORCE_S)],
        settings: json!({"routers": 7, "tickets": TICKETS, "without_platform": CUT_OFF}),
        figures: json!({"p50_s": p50, "max_s": max, "worst_by_router_s": by_router}),
        ..Outcome::default()
    })
}

/// Submits the tickets; returns when each was accepted.
async fn submit_all(lab: &Lab) -> Result<Vec<u64>, ExperimentError> {
    let workspace = lab.deployment.workspace_state(CHANGED);
    let mut accepted = Vec::new();
    for number in FIRST..FIRST + TICKETS {
        let objects = json!({ "workspaces": [workspace] });
        accepted.push(change(&lab.deployment, number, &objects).await?);
        compio::time::sleep(PAUSE).await;
    }
    compio::time::sleep(SETTLE).await;
    Ok(accepted)
}

#[allow(clippy::cast_precision_loss)]
fn seconds(from_ms: u64, to_ms: u64) -> f64 {
    to_ms.saturating_sub(from_ms) as f64 / 1_000.0
}
