//! `hibiscusrail-load`: sends load to a deployment and reports the results.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use hibiscusrail_load::audit::Audit;
use hibiscusrail_load::client::Ending;
use hibiscusrail_load::deployment::Deployment;
use hibiscusrail_load::experiment::lab::Lab;
use hibiscusrail_load::experiment::{self, Context};
use hibiscusrail_load::fleet::{self, RouterOptions};
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
            /// Seed of all random numbers.
            optional --seed seed: u64
            /// Starts a deployment on loopback, sends load and reports.
            cmd demo {
                /// Requests per second.
                optional --rate rate: f64
                /// Seconds during which requests are started.
                optional --seconds seconds: u64
                /// Fraction of plain lookups.
                optional --lookups fraction: f64
                /// Fraction of non-idempotent plain calls.
                optional --writes fraction: f64
                /// Fraction of the non-idempotent calls with an idempotency key.
                optional --keyed fraction: f64
                /// Fraction of the drafts that are streamed.
                optional --streamed fraction: f64
                /// Median number of tokens of a draft.
                optional --tokens count: f64
                /// Standard deviation of the logarithm of the number of tokens.
                optional --sigma spread: f64
                /// Starts the Coopérative's deployment instead of the Consorcio's.
                optional --cooperative
            }
            /// Runs an experiment, or all of them, and writes result files.
            cmd experiment {
                /// Name of the experiment, or `all`.
                required name: String
                /// Seconds of the measurement, instead of the experiment's own.
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
    if let Err(error) = end_on_signal() {
        eprintln!("hibiscusrail-load: signals: {error}");
        return ExitCode::FAILURE;
    }
    let result = match flags.subcommand {
        flags::HibiscusrailLoadCmd::Demo(d) => demo(&out, seed, &d),
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

/// Exit code after SIGINT or SIGTERM.
const EXIT_ON_SIGNAL: i32 = 130;

/// Kills the started processes and exits on SIGINT or SIGTERM.
fn end_on_signal() -> std::io::Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let (mut read, write) = std::os::unix::net::UnixStream::pair()?;
    for signal in [SIGINT, SIGTERM] {
        signal_hook::low_level::pipe::register(signal, write.try_clone()?)?;
    }
    std::thread::spawn(move || {
        if std::io::Read::read_exact(&mut read, &mut [0]).is_ok() {
            fleet::kill_started();
            std::process::exit(EXIT_ON_SIGNAL);
        }
    });
    Ok(())
}

/// Defaults of the demo: requests per second, and seconds during which requests are started.
const RATE: f64 = 60.0;
const SECONDS: u64 = 10;
/// Default median number of tokens of a draft, and standard deviation of its logarithm.
const MEDIAN_TOKENS: f64 = 40.0;
const TOKENS_SIGMA: f64 = 0.8;

fn demo_load(deployment: &Deployment, seed: u64, flags: &flags::Demo) -> Load {
    let default = Mix::mixed();
    let mix = Mix {
        lookups: flags.lookups.unwrap_or(default.lookups),
        writes: flags.writes.unwrap_or(default.writes),
        keyed: flags.keyed.unwrap_or(default.keyed),
        streamed: flags.streamed.unwrap_or(default.streamed),
    };
    let duration = Duration::from_secs(flags.seconds.unwrap_or(SECONDS));
    Load::new(seed, duration)
        .with_tokens(
            flags.tokens.unwrap_or(MEDIAN_TOKENS),
            flags.sigma.unwrap_or(TOKENS_SIGMA),
        )
        .with_all_workspaces(deployment, flags.rate.unwrap_or(RATE), mix)
}

#[derive(serde::Serialize)]
struct DemoResult {
    seed: u64,
    report: Report,
    audit: Audit,
}

/// Runs the demo; returns whether all answers were right and the audit found no violation.
fn demo(out: &Path, seed: u64, flags: &flags::Demo) -> Result<bool, Box<dyn std::error::Error>> {
    let deployment = if flags.cooperative {
        Deployment::cooperative()
    } else {
        Deployment::consorcio()
    };
    let load = demo_load(&deployment, seed, flags);
    compio::runtime::Runtime::new()?.block_on(async {
        let lab = Lab::start(deployment, &out.join("demo"), RouterOptions::default()).await?;
        let received = load.run(&lab.deployment).await;
        let servers = lab.runs().await?;
        let audit = Audit::new(&received, servers.iter().flat_map(|s| &s.runs));
        let report = Report::new(&received);
        print!("{report}");
        println!("{audit}");
        let right = report.count(Ending::Right);
        let all_right = right == report.requests && audit.violations() == 0;
        println!("demo answers={} right={right}", report.requests);
        let result = DemoResult {
            seed,
            report,
            audit,
        };
        std::fs::write(out.join("demo.json"), serde_json::to_vec_pretty(&result)?)?;
        Ok(all_right)
    })
}
