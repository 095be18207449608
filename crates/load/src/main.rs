//! `hibiscusrail-load`: sends load to a deployment and reports what came back.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use hibiscusrail_load::audit::Audit;
use hibiscusrail_load::client::Ending;
use hibiscusrail_load::deployment::Deployment;
use hibiscusrail_load::experiment::lab::Lab;
use hibiscusrail_load::experiment::{self, Context};
use hibiscusrail_load::fleet::RouterOptions;
use hibiscusrail_load::generator::{Load, Mix};
use hibiscusrail_load::report::Report;

mod flags {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Load and experiment tool.
        cmd hibiscusrail-load {
            /// Directory for settings, logs and results.
            optional --out dir: PathBuf
            /// Seed of all draws.
            optional --seed seed: u64
            /// Starts a deployment on loopback, sends load and reports.
            cmd demo {}
            /// Runs an experiment, or all of them, and writes result files.
            cmd experiment {
                /// Name of the experiment, or `all`.
                required name: String
                /// Seconds of the measurement in place of the experiment's own.
                optional --seconds seconds: u64
                /// Measures four times as long.
                optional --long
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::HibiscusrailLoad::from_env_or_exit();
    let out = flags.out.unwrap_or_else(|| PathBuf::from("out"));
    let seed = flags.seed.unwrap_or(1);
    let result = match flags.subcommand {
        flags::HibiscusrailLoadCmd::Demo(_) => demo(&out, seed),
        flags::HibiscusrailLoadCmd::Experiment(e) => {
            let context = Context {
                out,
                seed,
                long: e.long,
                duration: e.seconds.map(Duration::from_secs),
            };
            experiment::run(&e.name, &context).map_err(Into::into)
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("hibiscusrail-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn demo(out: &Path, seed: u64) -> Result<bool, Box<dyn std::error::Error>> {
    let deployment = Deployment::consorcio();
    let load = Load::new(seed, Duration::from_secs(10)).with_all(&deployment, 60.0, Mix::mixed());
    compio::runtime::Runtime::new()?.block_on(async {
        let lab = Lab::start(deployment, &out.join("demo"), RouterOptions::default()).await?;
        let received = load.run(&lab.deployment).await;
        let servers = lab.runs().await?;
        let audit = Audit::new(&received, servers.iter().flat_map(|s| &s.runs));
        let report = Report::new(&received);
        print!("{report}");
        println!("{audit}");
        let right = report.count(Ending::Right);
        println!("demo answers={} right={right}", received.len());
        Ok(right == received.len() as u64 && audit.broken() == 0)
    })
}
