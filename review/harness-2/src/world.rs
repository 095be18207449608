//! A small deployment: three routers, their store and servers.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Answer, Call};
use crate::record::Record;
use crate::router::{Host, Router};
use crate::server::{Arrival, Server, Setup};
use crate::store::Store;

/// `contact-ms` of the settings.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the start of the machines to that of the traffic, as on the sheets of the users' sites.
const LEAD: Duration = Duration::from_secs(10);
pub const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// How a request ended for its client.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub at: Duration,
    pub request: String,
    pub kind: &'static str,
    pub answer: Answer,
}

#[derive(Clone)]
pub struct World {
    pub store: Arc<Store>,
    pub record: Record,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    pub routers: Arc<Mutex<Vec<Router>>>,
    folder: PathBuf,
}

impl World {
    pub fn new() -> Self {
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
        Self {
            store: Store::start(),
            record: Record::new(),
            arrivals: Arc::default(),
            outcomes: Arc::default(),
            routers: Arc::default(),
            folder,
        }
    }

    pub fn configure(&self, version: u64, routes: &[Value], services: &[Value]) {
        let tenants: Vec<Value> = (1..=3)
            .map(|n| json!({"name": format!("t{n}"), "api-keys": [format!("key{n}")]}))
            .collect();
        let config = json!({"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4_194_304,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tokens-per-s": 200_000.0},
            "tenants": tenants});
        self.store.put("op", "config", Some(&config));
        self.record
            .add(format!("the store acknowledges configuration {version}"));
    }

    pub fn add_server(&self, setup: Setup) -> Arc<Server> {
        Server::start(setup, &self.store, &self.record, &self.arrivals)
    }

    /// Starts the routers and waits until the traffic may begin; false if they are not ready.
    pub fn start_routers(&self) -> bool {
        self.start_on(Host {
            memory_mb: 260,
            descriptors: 4_100,
        })
    }

    /// Starts the routers on machines with these limits, as [`Self::start_routers`] does.
    pub fn start_on(&self, host: Host) -> bool {
        let began = Instant::now();
        let mut routers = self.routers.lock().expect("no panic");
        for (number, zone) in ZONES.iter().enumerate() {
            let name = format!("front-{zone}-{number}");
            // A free port may be taken by another connection before the process has it.
            let mut tries = 0;
            let router = loop {
                let mut router = Router::start(&self.folder, &name, zone, self.store.address, host);
                thread::sleep(Duration::from_millis(200));
                tries += 1;
                if router.is_alive() || tries == 5 {
                    break router;
                }
            };
            routers.push(router);
        }
        let pids: Vec<String> = routers.iter().map(|r| r.pid().to_string()).collect();
        // So that the script can end them if this program is ended.
        let _ = fs::write(self.folder.join("pids"), pids.join("\n"));
        let ready = routers.iter().all(|r| r.await_ready(began + LEAD));
        if !ready {
            for router in routers.iter() {
                for line in router.log_lines("").iter().rev().take(3) {
                    self.record
                        .add(format!("not ready: {}: {line}", router.name));
                }
            }
        }
        drop(routers);
        thread::sleep(LEAD.saturating_sub(began.elapsed()));
        self.record.add("the routers are ready; traffic begins");
        ready
    }

    /// Sends a request and records how it ended.
    pub fn send(&self, kind: &'static str, router: usize, id: &str, call: &Call) -> Answer {
        self.record
            .add(format!("{kind} {id} is sent to router {router}"));
        let at = self.record.now();
        let answer = call.run();
        let events = match (answer.events.first(), answer.events.last()) {
            (Some(first), Some(last)) => format!(", events {first} to {last}"),
            _ => String::new(),
        };
        let retry = answer.head.header("retry-after");
        self.record.add(format!(
            "{kind} {id} gets {}{}{events}{}",
            answer.status,
            if answer.whole { "" } else { ", cut off" },
            retry.map_or_else(String::new, |r| format!(", Retry-After {r}")),
        ));
        self.outcomes.lock().expect("no panic").push(Outcome {
            at,
            request: id.to_owned(),
            kind,
            answer: answer.clone(),
        });
        answer
    }

    pub fn address(&self, router: usize) -> std::net::SocketAddr {
        self.routers.lock().expect("no panic")[router].address
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = self.arrivals.lock().expect("no panic").clone();
        arrivals.sort_by_key(|a| a.at);
        arrivals
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().expect("no panic").clone()
    }

    /// Notes what requests of a kind came to, and how many of those that ran were lost.
    pub fn note_losses(&self, kind: &str) {
        let arrivals = self.arrivals();
        let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
        for arrival in &arrivals {
            *ran.entry(arrival.request.as_str()).or_default() += 1;
        }
        let (mut sent, mut good, mut lost, mut refused) = (0, 0, 0, 0);
        for outcome in self.outcomes().iter().filter(|o| o.kind == kind) {
            sent += 1;
            let is_good = (200..300).contains(&outcome.answer.status) && outcome.answer.whole;
            let has_run = ran.contains_key(outcome.request.as_str());
            good += usize::from(is_good);
            lost += usize::from(has_run && !is_good);
            refused += usize::from(!has_run && !is_good);
        }
        self.record.add(format!(
            "result: of {sent} {kind} requests {good} got their whole answer, {lost} began to run \
             and got none, {refused} were refused without a run"
        ));
    }

    /// Ends the routers; notes if one had ended by itself.
    pub fn stop(&self) {
        let mut routers = self.routers.lock().expect("no panic");
        for router in routers.iter_mut() {
            if !router.killed && !router.is_alive() {
                self.record
                    .add(format!("result: {} has ended by itself", router.name));
            }
            router.kill();
        }
        for word in ["task_panicked", "panicked at"] {
            for router in routers.iter() {
                for line in router.log_lines(word) {
                    self.record.add(format!("log of {}: {line}", router.name));
                }
            }
        }
    }

    /// Removes the folder for temporary files.
    pub fn clean(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Copies lines of the routers' logs into the record.
    pub fn note_log(&self, words: &[&str]) {
        let routers = self.routers.lock().expect("no panic");
        for router in routers.iter() {
            for word in words {
                for line in router.log_lines(word) {
                    self.record.add(format!("log of {}: {line}", router.name));
                }
            }
        }
    }
}

pub fn route(name: &str, kind: &str, service: &Value, timeout: u64, target: u64) -> Value {
    let mut route = json!({"name": name, "hostname": "ficu.example", "prefix": format!("/{name}/"),
        "route-type": kind, "timeout-ms": timeout, "target-latency-ms": target, "max-attempts": 2,
        "priority": 1});
    if service.is_string() {
        route["service"] = service.clone();
    } else {
        route["traffic-split"] = service.clone();
    }
    if kind == "streaming" {
        route["stream-resume"] = json!(true);
        route["target-gap-ms"] = json!(500);
        route["session-affinity"] = json!(true);
    }
    route
}

pub fn plain_service(name: &str) -> Value {
    json!({"name": name, "health-path": "/health", "max-connections": 100, "cold-start-s": 0,
        "cold-per-s": 0})
}

pub fn engine_service(name: &str) -> Value {
    json!({"name": name, "health-path": "/health", "max-connections": 360, "cold-start-s": 0,
        "cold-per-s": 0, "engine": {"slots": 64, "kv-cache-tokens": 460_737, "stride": 7}})
}

/// Returns a request with the headers that all have.
pub fn call(to: std::net::SocketAddr, path: &str, id: &str, key: &str, budget_ms: u64) -> Call {
    let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    Call {
        to,
        method: "POST",
        path: path.to_owned(),
        headers: vec![
            header("Host", "ficu.example"),
            header("Request-Id", id),
            header("Deadline-Ms", &budget_ms.to_string()),
            header("Authorization", &format!("Bearer {key}")),
        ],
        body: Vec::new(),
        budget: Duration::from_millis(budget_ms + 500),
    }
}
