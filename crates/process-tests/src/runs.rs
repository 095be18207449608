//! What the randomized tests share: their seeds, and the wait for routers that serve.

use std::thread;
use std::time::{Duration, Instant};

use crate::faults::{Answer, Client, KEY};
use crate::process::{Router, lock};

/// Longest wait for a deployment that serves.
const START_TIME: Duration = Duration::from_secs(30);

/// Runs a test with its seed for some seconds, or as the environment variables `{name}_SEEDS`, separated
/// by commas, and `{name}_SECONDS` say.
///
/// # Panics
///
/// If a run finds that something went wrong.
pub fn check_seeds(
    name: &str,
    (seed, seconds): (u64, u64),
    run: impl Fn(u64, Duration) -> Vec<String>,
) {
    let _guard = lock();
    let read = |kind: &str| std::env::var(format!("{name}_{kind}")).ok();
    let seeds = read("SEEDS").unwrap_or_else(|| seed.to_string());
    let set = read("SECONDS").and_then(|s| s.parse().ok());
    let time = Duration::from_secs(set.unwrap_or(seconds));
    let mut wrong = Vec::new();
    for seed in seeds.split(',').filter_map(|s| s.trim().parse().ok()) {
        let found = run(seed, time);
        wrong.extend(found.into_iter().map(|w| format!("seed {seed}: {w}")));
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Waits until each router serves a request, whose id begins with `name`.
///
/// # Panics
///
/// If one does not in time.
pub fn await_service(routers: &[Router], name: &str) {
    let until = Instant::now() + START_TIME;
    for (number, router) in routers.iter().enumerate() {
        for attempt in 0.. {
            let id = format!("{name}-{number}-{attempt}");
            let answer = Client::new(router.address).call("/again/", &id, KEY);
            if matches!(answer, Answer::Complete(200, _)) {
                break;
            }
            assert!(Instant::now() < until, "router {number}: {answer:?}");
            thread::sleep(Duration::from_millis(200));
        }
    }
}
