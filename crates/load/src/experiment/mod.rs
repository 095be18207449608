//! Experiments with real processes on loopback.
//!
//! An experiment is a module with a function `run`, named in the list below.
//! It starts its own fleet through a [`lab::Lab`], measures, and returns
//! [`Verdict`]s beside the figures that its result file keeps.

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
pub mod verdict;

pub use verdict::Verdict;

use crate::machine::Machine;

/// Declares the experiments: a module with a function `run` for each.
macro_rules! experiments {
    ($($name:ident),* $(,)?) => {
        $(pub mod $name;)*

        /// The experiments by name.
        pub const ALL: &[Entry] = &[
            $(Entry { name: stringify!($name), run: $name::run },)*
        ];
    };
}

experiments! {
    fairness,
    faults,
    utilisation,
}

/// An experiment in the list.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Its name.
    pub name: &'static str,
    /// Runs it.
    pub run: fn(&Context) -> Result<Outcome, ExperimentError>,
}

/// Any reason why an experiment could not be carried out.
pub type ExperimentError = Box<dyn std::error::Error>;

/// What an experiment is run with.
#[record]
pub struct Context {
    /// Directory for settings, logs and results.
    pub out: PathBuf,
    /// Seed of all draws.
    pub seed: u64,
    /// Whether to run longer, for bounds that must not grow with time.
    pub long: bool,
    /// Time of the measurement in place of the experiment's own.
    pub duration: Option<Duration>,
}

impl Context {
    /// Returns the time of the measurement.
    #[must_use]
    pub fn duration(&self, usual: Duration) -> Duration {
        let time = self.duration.unwrap_or(usual);
        if self.long { time * LONG } else { time }
    }
}

/// How many times longer a long run takes.
const LONG: u32 = 4;

/// What an experiment found.
#[record]
#[derive(Serialize, Default)]
pub struct Outcome {
    /// The judged figures; the last one is the experiment's own.
    pub verdicts: Vec<Verdict>,
    /// Everything else that was measured.
    pub figures: Value,
    /// What it was run with.
    pub settings: Value,
}

/// A result file.
#[derive(Debug, Serialize)]
struct ResultFile<'a> {
    experiment: &'a str,
    commit: String,
    seed: u64,
    machine: Machine,
    #[serde(flatten)]
    outcome: &'a Outcome,
}

/// Why an experiment gave no result.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// No experiment has that name.
    #[snafu(display("no experiment {name}; there are {known}"))]
    Unknown {
        /// The name asked for.
        name: String,
        /// The names there are.
        known: String,
    },
    /// It could not be carried out.
    #[snafu(display("{name}: {source}"))]
    Failed {
        /// The experiment.
        name: String,
        /// Why.
        source: ExperimentError,
    },
    /// The result could not be written.
    #[snafu(display("writing {}: {source}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
}

/// Environment variable with the commit that the programs were built from.
const COMMIT: &str = "HIBISCUSRAIL_COMMIT";

/// Runs one experiment or all, prints the verdicts and writes result files.
///
/// Returns whether every figure is on the good side of its bound.
///
/// # Errors
///
/// Fails when an experiment is unknown or can't be carried out.
pub fn run(name: &str, context: &Context) -> Result<bool, RunError> {
    let chosen: Vec<&Entry> = ALL
        .iter()
        .filter(|e| name == "all" || e.name == name)
        .collect();
    if chosen.is_empty() {
        let known: Vec<&str> = ALL.iter().map(|e| e.name).collect();
        let known = known.join(", ");
        return UnknownSnafu { name, known }.fail();
    }
    let mut verdicts = Vec::new();
    for entry in chosen {
        let outcome = (entry.run)(context).context(FailedSnafu { name: entry.name })?;
        write(entry.name, context, &outcome)?;
        for verdict in &outcome.verdicts {
            println!("{verdict}");
        }
        verdicts.extend(outcome.verdicts);
    }
    if name == "all" {
        println!("\nsummary");
        for verdict in &verdicts {
            println!("  {verdict}");
        }
    }
    Ok(verdicts.iter().all(|v| v.ok))
}

fn write(name: &str, context: &Context, outcome: &Outcome) -> Result<(), RunError> {
    let file = ResultFile {
        experiment: name,
        commit: std::env::var(COMMIT).unwrap_or_else(|_| "unknown".to_owned()),
        seed: context.seed,
        machine: Machine::this(),
        outcome,
    };
    let path = context.out.join(format!("{name}.json"));
    let text = serde_json::to_vec_pretty(&file).expect("results serialise to JSON");
    std::fs::create_dir_all(&context.out)
        .and_then(|()| std::fs::write(&path, text))
        .context(WriteSnafu { path: &path })
}
