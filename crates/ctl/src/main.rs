//! `hibiscusrail-ctl`: the operators' command line.

use std::process::ExitCode;

use hibiscusrail_ctl::{flags, run};

fn main() -> ExitCode {
    let flags = flags::HibiscusrailCtl::from_env_or_exit();
    run(flags).into()
}
