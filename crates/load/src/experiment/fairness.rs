//! The fairness gap between backlogged workspaces, beside two baselines.

use std::path::Path;
use std::time::Duration;

use serde_json::json;

use super::contention::{self, Contention, Figures, POLICIES};
use super::plot::{Line, draw};
use super::service::ServiceSeries;
use super::{Context, ExperimentError, Outcome, Verdict};

/// Largest gap allowed, in seconds of the pool's whole service.
const GAP_S: f64 = 2.0;
/// Largest relative difference of a workspace's service from its portion.
const PORTION: f64 = 0.05;
/// Time over which portions are measured.
const MEASURED: Duration = Duration::from_secs(57);

/// Runs the experiment; a long run leaves the baselines out.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub fn run(context: &Context) -> Result<Outcome, ExperimentError> {
    let measured = context.duration(MEASURED);
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
            Verdict::at_most("portion", own.portion, PORTION),
            Verdict::at_most("fairness", own.gap_s, GAP_S),
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

fn gap_line(contention: &Contention) -> Line {
    let series = contention.series();
    let gaps = contention.gaps(&series);
    let at = |(i, gap): (usize, f64)| (ServiceSeries::seconds(i), gap);
    Line {
        name: contention.policy.clone(),
        points: gaps.into_iter().enumerate().map(at).collect(),
    }
}

fn draw_service(path: &Path, contention: &Contention) -> Result<(), ExperimentError> {
    let series = contention.series();
    let line = |w: &crate::deployment::WorkspaceSpec| {
        let service = series.cumulative(&w.name).into_iter().enumerate();
        let points = service.map(|(i, s)| (ServiceSeries::seconds(i), s / w.share));
        Line {
            name: w.name.clone(),
            points: points.collect(),
        }
    };
    let lines: Vec<Line> = contention.workspaces.iter().map(line).collect();
    draw(path, "Service per workspace over time", "tokens per share", &lines)
}
