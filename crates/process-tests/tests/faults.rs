//! Random faults of real processes: routers that are paused, killed, stopped and restarted, and
//! connections to the store and to the servers that are delayed, cut in one direction, silenced and
//! reset, one after another and at the same time.
//!
//! Checked is what clients and servers see. The environment variable `FAULT_SEEDS` gives the seeds of
//! a longer run, separated by commas, and `FAULT_SECONDS` the time of the faults for each.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hibiscusrail_process_tests::calls::{Call, check_answer, count_runs, print_summary};
use hibiscusrail_process_tests::faults::{
    Answer, Client, KEY, REVOKED_KEY, Server, Store, Unanswered,
};
use hibiscusrail_process_tests::process::{Router, Signal};
use hibiscusrail_process_tests::proxy::{Disturbance, Proxy};
use hibiscusrail_process_tests::runs::{await_service, check_seeds};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Seed of the short run.
const SEED: u64 = 1;
/// Time of the faults in a run, in seconds.
const FAULT_SECONDS: u64 = 15;
/// Memory of each router's host in megabytes.
const MEMORY_MB: u32 = 200;
/// Number of clients.
const CLIENTS: u64 = 6;
/// Time in which a calm deployment has to know of a change: the default bounds on drain and
/// configuration (2 s), with the time for routers that were paused or have started to catch up.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time after the restore of the store in which the operator and the platform write again.
const REWRITE_TIME: Duration = Duration::from_millis(800);

/// How a router's process is made to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Kill,
    /// It is told to stop, and ends some time later.
    Stop,
    /// It is killed, and a new one starts.
    Restart,
}

/// A process of a router that was made to end.
struct Ended {
    /// Number of the router.
    router: usize,
    /// Time of the signal, until the process was gone if it was killed.
    time: RangeInclusive<Instant>,
    end: End,
}

/// Routers, servers and the store, with proxies between them.
struct Deployment {
    store: Arc<Store>,
    routers: Vec<Router>,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    keys: Vec<&'static str>,
    version: u64,
    /// Servers that have left, by index.
    gone: BTreeSet<usize>,
    /// Processes that were made to end; the oldest first.
    ends: Vec<Ended>,
}

impl Deployment {
    fn start(random: &mut SmallRng) -> Self {
        let (store, address) = Store::start();
        let keys = vec![KEY, REVOKED_KEY];
        store.configure(1, &keys);
        let mut proxies = Vec::new();
        let servers: Vec<Server> = (0..3).map(|n| Server::start(&format!("s{n}"))).collect();
        for server in &servers {
            let proxy = Proxy::start(server.address);
            server.register(&store, proxy.address);
            proxies.push(proxy);
        }
        let count = random.random_range(3..=5);
        let routers = (0..count).map(|n| {
            let proxy = Proxy::start(address);
            let router = Router::start_named(&format!("r{n}"), proxy.address, MEMORY_MB);
            proxies.push(proxy);
            router
        });
        let routers = routers.collect();
        Self {
            store,
            routers,
            servers,
            proxies,
            keys,
            version: 1,
            gone: BTreeSet::new(),
            ends: Vec::new(),
        }
    }

    /// Causes one fault.
    fn disturb(&mut self, random: &mut SmallRng) -> String {
        let router = random.random_range(0..self.routers.len());
        let proxy = random.random_range(0..self.proxies.len());
        match random.random_range(0..15) {
            0 => self.end(router, End::Kill),
            2 => self.end(router, End::Stop),
            3 | 4 => self.end(router, End::Restart),
            1 => {
                self.routers[router].signal(Signal::Pause);
                format!("pause router {router}")
            }
            5 => {
                self.routers[router].signal(Signal::Resume);
                format!("resume router {router}")
            }
            6 => {
                self.proxies[proxy].reset();
                format!("reset the connections of proxy {proxy}")
            }
            7 => {
                self.store.copy();
                "copy the store".to_owned()
            }
            8 => {
                self.restore();
                "restore the store".to_owned()
            }
            9 if self.gone.is_empty() => {
                self.servers[2].leave(&self.store);
                self.gone.insert(2);
                "server 2 leaves".to_owned()
            }
            10 if self.version == 1 => {
                self.keys.retain(|k| *k != REVOKED_KEY);
                self.version += 1;
                self.store.configure(self.version, &self.keys);
                "revoke a key".to_owned()
            }
            11 => {
                let server = random.random_range(0..self.servers.len());
                self.servers[server].restart();
                self.proxies[server].reset();
                format!("server {server} starts again")
            }
            12 => {
                let server = random.random_range(0..self.servers.len());
                self.servers[server].restart();
                self.proxies[server].silence_open();
                format!("server {server} starts again, its connections fall silent")
            }
            _ => {
                let delay = Duration::from_millis(random.random_range(5..200));
                let choices = [
                    Disturbance::Calm,
                    Disturbance::Calm,
                    Disturbance::Delayed(delay),
                    Disturbance::CutThere,
                    Disturbance::CutBack,
                    Disturbance::Silent,
                ];
                let choice = *choices.choose(random).expect("there are choices");
                self.proxies[proxy].disturb(choice);
                format!("proxy {proxy}: {choice:?}")
            }
        }
    }

    /// Makes the process of a router end.
    fn end(&mut self, router: usize, end: End) -> String {
        let at = Instant::now();
        match end {
            End::Kill | End::Restart => self.routers[router].kill(),
            End::Stop => self.routers[router].signal(Signal::Terminate),
        }
        let time = at..=Instant::now();
        self.ends.push(Ended { router, time, end });
        if end == End::Restart {
            self.routers[router].restart();
        }
        format!("{end:?} router {router}")
    }

    /// Restores the store from its last copy; the operator and the platform write again what it lacks.
    fn restore(&self) {
        self.store.restore();
        thread::sleep(REWRITE_TIME);
        self.write_again();
    }

    fn write_again(&self) {
        self.store.configure(self.version, &self.keys);
        for server in &self.gone {
            self.servers[*server].leave(&self.store);
        }
    }

    /// Ends all faults, has the changes made that were not, and waits until they have to be known.
    fn settle(&mut self) {
        for proxy in &self.proxies {
            proxy.disturb(Disturbance::Calm);
        }
        for router in &mut self.routers {
            router.signal(Signal::Resume);
            if !router.is_alive() {
                router.restart();
            }
        }
        self.gone.insert(2);
        self.keys.retain(|k| *k != REVOKED_KEY);
        self.version += 1;
        self.write_again();
        thread::sleep(SETTLE_TIME);
        for router in &mut self.routers {
            if !router.is_alive() {
                // It had been told to stop.
                router.restart();
            }
        }
    }
}

/// Sends requests to random routers until `ended`, and keeps its connections as long as it can.
fn run_client(
    number: u64,
    seed: u64,
    routers: &[std::net::SocketAddr],
    ended: &AtomicBool,
) -> Vec<Call> {
    let mut random = SmallRng::seed_from_u64(seed * 1_000 + number);
    let mut clients: Vec<Client> = routers.iter().map(|a| Client::new(*a)).collect();
    let mut calls = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        let client = random.random_range(0..clients.len());
        let route = *["again", "once", "once", "stream"]
            .choose(&mut random)
            .expect("there are routes");
        let id = format!("c{number}-{}", calls.len());
        let key = if random.random_bool(0.3) {
            REVOKED_KEY
        } else {
            KEY
        };
        calls.push(Call::send(&mut clients[client], client, route, id, key));
        thread::sleep(Duration::from_millis(random.random_range(0..30)));
    }
    calls
}

/// Runs faults for some time and returns everything that went wrong.
fn run_seed(seed: u64, time: Duration) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut deployment = Deployment::start(&mut random);
    await_service(&deployment.routers, "first");
    let routers: Vec<_> = deployment.routers.iter().map(|r| r.address).collect();
    let ended = AtomicBool::new(false);
    let calls = Mutex::new(Vec::new());
    let started = Instant::now();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (routers, ended, calls) = (&routers, &ended, &calls);
            scope.spawn(move || {
                let own = run_client(number, seed, routers, ended);
                calls
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .extend(own);
            });
        }
        while started.elapsed() < time {
            let fault = deployment.disturb(&mut random);
            println!("{:6} ms: {fault}", started.elapsed().as_millis());
            thread::sleep(Duration::from_millis(random.random_range(0..700)));
        }
        ended.store(true, Ordering::Relaxed);
        // Paused processes keep their clients waiting.
        for router in &mut deployment.routers {
            router.signal(Signal::Resume);
        }
    });
    deployment.settle();
    await_service(&deployment.routers, "last");
    let mut wrong = check_gone(&deployment);
    let runs = count_runs(&deployment.servers);
    let calls = calls.into_inner().unwrap_or_else(PoisonError::into_inner);
    print_summary(&format!("seed {seed}"), &calls, &runs);
    wrong.extend(
        calls
            .iter()
            .filter_map(|call| check_end(call, &deployment.ends)),
    );
    wrong.extend(
        calls
            .iter()
            .filter_map(|call| check_answer(call, runs.get(&call.id).copied().unwrap_or(0))),
    );
    wrong
}

/// Returns what is wrong with the end of a connection: only a process that ends closes one whose
/// request has no response.
fn check_end(call: &Call, ends: &[Ended]) -> Option<String> {
    let Answer::None(Unanswered::Closed(after)) = call.answer else {
        return None;
    };
    let mut of_router = ends.iter().filter(|e| e.router == call.router);
    // A connection may still be opened while the process is killed.
    let is_during = |e: &Ended| *e.time.start() <= call.ended && *e.time.end() >= call.opened;
    let is_ended = of_router.clone().any(is_during);
    // One that was told to stop may be paused meanwhile, and end any time later.
    let last = of_router.rfind(|e| *e.time.start() < call.opened);
    let is_stopping = last.is_some_and(|e| e.end != End::Restart);
    let Call { id, router, .. } = call;
    (!is_ended && !is_stopping).then(|| {
        let last = last.map_or_else(String::new, |e| {
            let since = call.opened.saturating_duration_since(*e.time.end());
            format!(", opened {since:?} after {:?}", e.end)
        });
        format!("router {router} closed the connection of {id} after {after:?}{last}")
    })
}

/// Returns which routers of a calm deployment use the revoked key or the server that has left.
fn check_gone(deployment: &Deployment) -> Vec<String> {
    let mut wrong = Vec::new();
    let checked_at = Instant::now();
    for (number, router) in deployment.routers.iter().enumerate() {
        for attempt in 0..10 {
            let mut client = Client::new(router.address);
            let id = format!("revoked-{number}-{attempt}");
            let answer = client.call("/again/", &id, REVOKED_KEY);
            if matches!(answer, Answer::Complete(200, _)) {
                wrong.push(format!("router {number} served a revoked key"));
            }
            client.call("/again/", &format!("kept-{number}-{attempt}"), KEY);
        }
    }
    for arrival in deployment.servers[2].arrivals() {
        if arrival.at > checked_at {
            wrong.push(format!("{} reached a server that had left", arrival.id));
        }
    }
    wrong
}

#[test]
fn random_faults_keep_guarantees() {
    check_seeds("FAULT", (SEED, FAULT_SECONDS), run_seed);
}
