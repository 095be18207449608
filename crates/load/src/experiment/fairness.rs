//! Measures the fairness gap between backlogged workspaces, and that of two baselines.

use std::path::Path;
use std::time::Duration;

use serde_json::json;

use super::contention::{self, ContentionRun, Figures, POLICIES};
use super::plot::{Line, draw};
use super::service::ServiceSeries;
use super::{Context, ExperimentError, Outcome, Verdict};

/// Maximum fairness gap, in seconds of the pool's whole service.
const MAX_GAP_S: f64 = 2.0;
/// Maximum relative deviation of a workspace's service from its fair share.
const MAX_PORTION_ERROR: f64 = 0.05;
const MEASURE_TIME: Duration = Duration::from_secs(57);

/// Runs the experiment; a long run omits the baselines.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let measured = context.duration(MEASURE_TIME);
    let policies = if context.long { &POLICIES[..1] } else { &POLICIES[..] };
    let mut figures = Vec::new();
    let mut gaps = Vec::new();
    for policy in policies {
        let contention = contention::run(context, "fairness", policy, measured)?;
        gaps.push(gap_line(&contention));
        if figures.is_empty() {
            draw_service(&context.out.join("fairness-service.svg"), &contention)?;
        }
        let found = contention.figures();
        print_line(&found);
        figures.push(found);
    }
    let path = context.out.join("fairness-gap.svg");
    draw(&path, "Fairness gap over time", "seconds of the pool", &gaps)?;
    let own = &figures[0];
    Ok(Outcome {
        verdicts: vec![
            Verdict::at_most("portion", own.portion, MAX_PORTION_ERROR),
            Verdict::at_most("fairness", own.gap_s, MAX_GAP_S),
        ],
        settings: contention::settings(measured),
        figures: json!(figures),
        ..Outcome::default()
    })
}

fn print_line(found: &Figures) {
    println!(
        "{}: gap {:.2} s (halves {:.2}, {:.2}), portion off by {:.1}%, utilisation {:.4}, \
         {:.0} tokens/s, overloads {}, not right {}",
        found.policy,
        found.gap_s,
        found.gap_halves_s[0],
        found.gap_halves_s[1],
        found.portion * 100.0,
        found.utilisation,
        found.rate,
        found.overloads,
        found.not_right,
    );
}

fn gap_line(contention: &ContentionRun) -> Line {
    let series = contention.series();
    let gaps = contention.gaps(&series);
    let at = |(i, gap): (usize, f64)| (ServiceSeries::end_s(i), gap);
    Line {
        name: contention.policy.clone(),
        points: gaps.into_iter().enumerate().map(at).collect(),
    }
}

fn draw_service(path: &Path, contention: &ContentionRun) -> Result<(), ExperimentError> {
    let series = contention.series();
    let line = |w: &crate::deployment::WorkspaceSpec| {
        let service = series.cumulative(&w.name).into_iter().enumerate();
        let points = service.map(|(i, s)| (ServiceSeries::end_s(i), s / w.share));
        Line {
            name: w.name.clone(),
            points: points.collect(),
        }
    };
    let lines: Vec<Line> = contention.workspaces.iter().map(line).collect();
    draw(path, "Service per workspace over time", "tokens per share", &lines)
}
