//! Cases of the second review. `review-case NAME FOLDER` plays one, writes `record.txt` into the folder
//! and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod http;
mod record;
mod router;
mod server;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use world::World;

/// Result of a case.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

/// Longest time of a case.
const MAX_TIME: Duration = Duration::from_secs(117);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let world = World::new();
    let watched = world.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        watched.stop();
        watched.clean();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    world
        .record
        .add(format!("case {name}, with the disruption: {trouble}"));
    let verdict = cases::play(&name, &world, trouble);
    world.stop();
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::Held => ("the rule held", 0),
        Verdict::NotRun => ("the case could not run", 2),
    };
    world.record.add(format!("result: {text}"));
    if let Err(error) = world
        .record
        .write(&PathBuf::from(folder).join("record.txt"))
    {
        eprintln!("record.txt: {error}");
    }
    world.clean();
    println!("{name}: {text}");
    ExitCode::from(code)
}
