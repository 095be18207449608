//! Runs one case of the review: `review-cases CASE FOLDER`; `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod config;
mod endless;
mod http;
mod poison;
mod replaced;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use world::World;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    world::watch_time();
    let world = World::new(&PathBuf::from(folder), trouble);
    let broken = match case.as_str() {
        "endless-stream" => endless::stream(&world),
        "poison-same-ids" => poison::same_ids(&world),
        "poison-dark" => poison::dark(&world),
        "poison-lasting" => poison::lasting(&world),
        "replaced" => replaced::replaced(&world),
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    world.record.tell(if broken { "broken" } else { "held" });
    if broken {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    }
}
