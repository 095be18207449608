//! `hibiscusrail-load`: sends load to a deployment and reports what came back.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use hibiscusrail_load::client::Ending;
use hibiscusrail_load::deployment::Deployment;
use hibiscusrail_load::fleet::Fleet;
use hibiscusrail_load::generator::Load;
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
        }
    }
}

/// Time for routers to read their first configuration.
const SETTLE_TIME: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let flags = flags::HibiscusrailLoad::from_env_or_exit();
    let out = flags.out.unwrap_or_else(|| PathBuf::from("out"));
    let flags::HibiscusrailLoadCmd::Demo(_) = flags.subcommand;
    match demo(&out, flags.seed.unwrap_or(1)) {
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
    let mut fleet = Fleet::start_back(&deployment, &out.join("demo"))?;
    let runtime = compio::runtime::Runtime::new()?;
    let load = Load {
        seed,
        rate: 60.0,
        duration: Duration::from_secs(10),
        plain: 0.5,
        tokens: 40.0,
        deadline: Duration::from_secs(30),
    };
    let received = runtime.block_on(async {
        hibiscusrail_load::fleet::seed(&deployment).await?;
        fleet.start_routers(&deployment)?;
        compio::time::sleep(SETTLE_TIME).await;
        Ok::<_, Box<dyn std::error::Error>>(load.run(&deployment).await)
    })?;
    let report = Report::new(&received);
    print!("{report}");
    let right = report.count(Ending::Right);
    println!("demo answers={} right={right}", received.len());
    Ok(right == received.len() as u64)
}
