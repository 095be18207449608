//! Experiments with real processes on loopback.
//!
//! An experiment is a module with a function `run`, named in the list below. It starts its own
//! fleet through a [`lab::Lab`] and returns [`Verdict`]s and the figures for its result file.

use std::path::PathBuf;
use std::time::Duration;

use hibiscusrail_macros::record;
use serde::Serialize;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

pub mod contention;
pub mod lab;
pub mod plot;
pub mod service;
pub mod tickets;
pub mod verdict;

pub use verdict::Verdict;

use crate::machine::Machine;

/// Declares the experiments: a module with a function `run` for each.
macro_rules! experiments {
    ($($name:ident),* $(,)?) => {
        $(pub mod $name;)*

        /// All experiments, in the order in which `all` runs them.
        pub const ALL: &[Experiment] = &[
            $(Experiment { name: stringify!($name), run: $name::run },)*
        ];
    };
}

experiments! {
    fairness,
    faults,
    path,
    utilisation,
    cold,
    control,
    zone,
    config,
}

/// An experiment that can be run by name.
#[derive(Debug, Clone, Copy)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: &'static str,
    /// Runs the experiment.
    pub run: fn(&Context) -> Result<Outcome, ExperimentError>,
}

/// Error of an experiment that could not be carried out.
pub type ExperimentError = Box<dyn std::error::Error>;

/// Parameters of an experiment.
#[record]
pub struct Context {
    /// Directory for settings, logs and results.
    pub out: PathBuf,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Whether to run longer, to check that bounded figures do not grow with time.
    pub long: bool,
    /// Duration of the measurement, overriding the experiment's default.
    pub duration: Option<Duration>,
}

impl Context {
    /// Returns the duration of the measurement; `default` is the experiment's own.
    #[must_use]
    pub fn duration(&self, default: Duration) -> Duration {
        let time = self.duration.unwrap_or(default);
        if self.long { time * LONG_FACTOR } else { time }
    }
}

/// Factor by which a long run is longer.
const LONG_FACTOR: u32 = 4;

/// Result of an experiment.
#[record]
#[derive(Serialize, Default)]
pub struct Outcome {
    /// Verdicts; the last one is for the figure that the experiment is named after.
    pub verdicts: Vec<Verdict>,
    /// Summary line printed after the verdicts, or empty.
    #[serde(skip)]
    pub summary: String,
    /// All figures that were measured.
    pub figures: Value,
    /// Settings of the run.
    pub settings: Value,
}

#[derive(Debug, Serialize)]
struct ResultFile<'a> {
    experiment: &'a str,
    commit: String,
    seed: u64,
    machine: Machine,
    #[serde(flatten)]
    outcome: &'a Outcome,
}

/// Error of [`run`].
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The experiment does not exist.
    #[snafu(display("unknown experiment {name}; known experiments: {known}"))]
    Unknown {
        /// Requested name.
        name: String,
        /// Names of all experiments.
        known: String,
    },
    /// The experiment could not be carried out.
    #[snafu(display("{name}: {source}"))]
    Failed {
        /// Name of the experiment.
        name: String,
        /// Error of the experiment.
        source: ExperimentError,
    },
    /// The result file could not be written.
    #[snafu(display("writing {}: {source}", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Environment variable that names the commit from which the programs were built.
const COMMIT: &str = "HIBISCUSRAIL_COMMIT";

/// Runs one experiment or all, prints the verdicts and writes result files.
///
/// Returns whether every figure is within its bound.
///
/// # Errors
///
/// Fails when an experiment is unknown or can't be carried out.
pub fn run(name: &str, context: &Context) -> Result<bool, RunError> {
    let selected: Vec<&Experiment> = ALL
        .iter()
        .filter(|e| name == "all" || e.name == name)
        .collect();
    if selected.is_empty() {
        let known: Vec<&str> = ALL.iter().map(|e| e.name).collect();
        let known = known.join(", ");
        return UnknownSnafu { name, known }.fail();
    }
    let mut verdicts = Vec::new();
    for experiment in selected {
        let outcome = (experiment.run)(context).context(FailedSnafu {
            name: experiment.name,
        })?;
        write_result(experiment.name, context, &outcome)?;
        for verdict in &outcome.verdicts {
            println!("{verdict}");
        }
        if !outcome.summary.is_empty() {
            println!("{}", outcome.summary);
        }
        verdicts.extend(outcome.verdicts);
    }
    if name == "all" {
        summarise(context, &verdicts)?;
    }
    Ok(verdicts.iter().all(|v| v.ok))
}

/// Prints a table of all verdicts and writes them as JSON.
fn summarise(context: &Context, verdicts: &[Verdict]) -> Result<(), RunError> {
    println!("\nsummary");
    for v in verdicts {
        let word = if v.ok { "ok" } else { "short" };
        println!("{:<28} {:>16.4} {:>12} {word}", v.name, v.measured, v.bound);
    }
    let outcome = Outcome {
        verdicts: verdicts.to_vec(),
        ..Outcome::default()
    };
    write_result("summary", context, &outcome)
}

fn write_result(name: &str, context: &Context, outcome: &Outcome) -> Result<(), RunError> {
    let file = ResultFile {
        experiment: name,
        commit: std::env::var(COMMIT).unwrap_or_else(|_| "unknown".to_owned()),
        seed: context.seed,
        machine: Machine::current(),
        outcome,
    };
    let path = context.out.join(format!("{name}.json"));
    let text = serde_json::to_vec_pretty(&file).expect("results serialise to JSON");
    std::fs::create_dir_all(&context.out)
        .and_then(|()| std::fs::write(&path, text))
        .context(WriteSnafu { path: &path })
}
