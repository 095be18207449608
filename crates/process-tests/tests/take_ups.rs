//! Streams that callers take up after all routers' processes were killed, beside servers of two software
//! versions and a store that falls silent.
//!
//! The environment variable `TAKE_UP_SEEDS` gives the seeds of a longer run, separated by commas, and
//! `TAKE_UP_SECONDS` the time of each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hibiscusrail_process_tests::faults::{EVENTS, KEY, Part, Server, Store};
use hibiscusrail_process_tests::process::Router;
use hibiscusrail_process_tests::proxy::{Disturbance, Proxy};
use hibiscusrail_process_tests::runs::{await_service, check_seeds};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Seed of the short run.
const SEED: u64 = 1;
/// Time of a run, in seconds.
const RUN_SECONDS: u64 = 24;
/// Memory of each router's host in megabytes.
const MEMORY_MB: u32 = 200;
/// Number of clients.
const CLIENTS: u64 = 24;
/// Time for which a client tries to take a stream up: less than that for which a stream may be.
const TAKE_UP_TIME: Duration = Duration::from_secs(6);
/// Pause of a client before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A stream whose answer broke off after an event.
struct Broken {
    /// Time since the start of the run.
    at: Duration,
    id: String,
    /// Version that began it.
    version: String,
    /// Version at which it went on; none if it did not.
    resumed: Option<String>,
    /// Statuses of the answers to its take-ups.
    statuses: Vec<u16>,
}

/// Routers, servers of two versions, and a store behind proxies.
struct Deployment {
    routers: Vec<Router>,
    /// Proxies in front of the store, one for each router.
    proxies: Vec<Proxy>,
}

impl Deployment {
    fn start(random: &mut SmallRng) -> Self {
        let (store, address) = Store::start();
        store.configure(1, &[KEY]);
        for (number, version) in ["v1", "v1", "v1", "v2", "v2"].into_iter().enumerate() {
            let server = Server::start_version(&format!("s{number}"), version);
            server.register(&store, server.address);
        }
        let count = random.random_range(3..=5);
        let proxies: Vec<Proxy> = (0..count).map(|_| Proxy::start(address)).collect();
        let routers = proxies.iter().enumerate().map(|(number, proxy)| {
            Router::start_named(&format!("r{number}"), proxy.address, MEMORY_MB)
        });
        Self {
            routers: routers.collect(),
            proxies,
        }
    }

    fn disturb_store(&self, disturbance: Disturbance) {
        for proxy in &self.proxies {
            proxy.disturb(disturbance);
        }
    }

    /// Kills all routers beside a disturbance of the store, starts them again before its end, and waits.
    fn kill_all(&mut self, random: &mut SmallRng) -> String {
        let disturbances = [
            Disturbance::Calm,
            Disturbance::Silent,
            Disturbance::Silent,
            Disturbance::CutThere,
            Disturbance::CutBack,
        ];
        let disturbance = *disturbances.choose(random).expect("there are some");
        let mut wait = |range| {
            let time: u64 = random.random_range(range);
            thread::sleep(Duration::from_millis(time));
            time
        };
        self.disturb_store(disturbance);
        let before = wait(0..2_000);
        for router in &mut self.routers {
            router.kill();
        }
        for router in &mut self.routers {
            router.restart();
        }
        let after = wait(0..800);
        self.disturb_store(Disturbance::Calm);
        let calm = wait(1_500..5_000);
        format!(
            "store {disturbance:?}, kill after {before} ms, calm after {after} ms, for {calm} ms"
        )
    }
}

/// Sends requests for streams until `ended`, and takes up those that break off.
fn run_client(
    number: u64,
    (seed, started): (u64, Instant),
    routers: &[SocketAddr],
    ended: &AtomicBool,
) -> (usize, Vec<Broken>) {
    let mut random = SmallRng::seed_from_u64(seed * 1_000 + number);
    let mut broken = Vec::new();
    let mut count = 0;
    while !ended.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("c{number}-{count}");
        let router = *routers.choose(&mut random).expect("there are routers");
        let part = Part::request(router, &id, None);
        let Some(last) = part.last_event.filter(|_| !part.is_complete) else {
            thread::sleep(Duration::from_millis(random.random_range(0..60)));
            continue;
        };
        let at = Instant::now();
        let mut stream = Broken {
            at: at.saturating_duration_since(started),
            id: id.clone(),
            version: part.version,
            resumed: None,
            statuses: Vec::new(),
        };
        // Of a stream whose events have all arrived, only the end is missing.
        while last < EVENTS && stream.resumed.is_none() && at.elapsed() < TAKE_UP_TIME {
            let router = *routers.choose(&mut random).expect("there are routers");
            let attempt = format!("{id}-{}", stream.statuses.len());
            let part = Part::request(router, &attempt, Some((&id, last)));
            stream.statuses.push(part.status.unwrap_or(0));
            if part.last_event.is_some() {
                stream.resumed = Some(part.version);
            } else {
                thread::sleep(RETRY_PAUSE);
            }
        }
        if last < EVENTS {
            broken.push(stream);
        }
    }
    (count, broken)
}

fn describe(broken: &Broken) -> String {
    let Broken {
        at,
        id,
        version,
        resumed,
        statuses,
    } = broken;
    format!(
        "{id} of {version}, broken off after {} ms, resumed at {resumed:?}, statuses {statuses:?}",
        at.as_millis()
    )
}

/// Kills all routers time and again and returns what went wrong.
fn run_seed(seed: u64, time: Duration) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut deployment = Deployment::start(&mut random);
    await_service(&deployment.routers, "first");
    let routers: Vec<SocketAddr> = deployment.routers.iter().map(|r| r.address).collect();
    let ended = AtomicBool::new(false);
    let results = Mutex::new((0, Vec::new()));
    let started = Instant::now();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (routers, ended, results) = (&routers, &ended, &results);
            scope.spawn(move || {
                let (count, broken) = run_client(number, (seed, started), routers, ended);
                let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                results.0 += count;
                results.1.extend(broken);
            });
        }
        thread::sleep(Duration::from_secs(2));
        while started.elapsed() < time {
            let at = started.elapsed().as_millis();
            println!("{at:6} ms: {}", deployment.kill_all(&mut random));
        }
        ended.store(true, Ordering::Relaxed);
    });
    let (count, broken) = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    let resumed = broken.iter().filter(|b| b.resumed.is_some()).count();
    println!(
        "seed {seed}: {count} streams, {} broke off, {resumed} of them went on",
        broken.len()
    );
    let is_wrong = |b: &&Broken| b.resumed.as_ref() != Some(&b.version);
    let wrong = broken.iter().filter(is_wrong);
    wrong.map(describe).collect()
}

/// Guards against LOST: nothing but the routers that began them knew the versions of streams that began
/// while the store took no record, so these were refused once all routers had been killed.
#[test]
fn streams_taken_up_after_kill_of_all_routers_go_on() {
    check_seeds("TAKE_UP", (SEED, RUN_SECONDS), run_seed);
}
