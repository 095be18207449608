//! Measures the fraction of the available slot-seconds that is used while work waits.

use std::time::Duration;

use serde_json::json;

use super::contention::{self, POLICIES};
use super::{Context, ExperimentError, Outcome, Verdict};

/// Minimum fraction of the available slot-seconds that is used.
const MIN_UTILISATION: f64 = 0.97;
const MEASURE_TIME: Duration = Duration::from_secs(20);

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let measured = context.duration(MEASURE_TIME);
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
            Verdict::at_least("utilisation", own, MIN_UTILISATION),
        ],
        settings: contention::settings(measured),
        figures: json!(figures),
        ..Outcome::default()
    })
}
