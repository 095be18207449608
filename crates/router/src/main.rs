//! `hibiscusrail-router`: starts one router from its settings.

use std::path::Path;
use std::process::ExitCode;

use hibiscusrail_router::start;
use hibiscusrail_settings::RouterSettings;

mod flags {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Routes requests of workspaces to backend servers.
        cmd hibiscusrail-router {
            /// File with the settings.
            required --config file: PathBuf
            /// Check the settings and stop.
            optional --check
        }
    }
}

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::HibiscusrailRouter::from_env_or_exit();
    let settings = match load(&flags.config) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if flags.check {
        println!("{}: ok", flags.config.display());
        return ExitCode::SUCCESS;
    }
    match start::run(settings) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hibiscusrail-router: {error}");
            ExitCode::FAILURE
        }
    }
}

fn load(path: &Path) -> Result<RouterSettings, ExitCode> {
    RouterSettings::load(path).map_err(|errors| {
        eprintln!("{errors}");
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}
