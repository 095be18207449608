//! Slot-seconds used over slot-seconds bearable while work waits.

use std::time::Duration;

use serde_json::json;

use super::contention::{self, POLICIES};
use super::{Context, ExperimentError, Outcome, Verdict};

/// Least fraction of the bearable slot-seconds that is used.
const USED: f64 = 0.97;
/// Time of the measurement.
const MEASURED: Duration = Duration::from_secs(20);

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let measured = context.duration(MEASURED);
    let mut figures = Vec::new();
    for policy in POLICIES {
        let found = contention::run(context, "utilisation", policy, measured)?.figures();
        println!("{policy}: utilisation {:.4}", found.utilisation);
        figures.push(found);
    }
    let own = figures[0].utilisation;
    let baselines = figures[1..].iter().map(|f| f.utilisation);
    let better = baselines.fold(0.0, f64::max);
    Ok(Outcome {
        verdicts: vec![
            Verdict::at_least("utilisation-of-baselines", own, better),
            Verdict::at_least("utilisation", own, USED),
        ],
        settings: contention::settings(measured),
        figures: json!(figures),
        ..Outcome::default()
    })
}
