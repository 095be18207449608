//! Two machines of a zone are replaced by new ones at new addresses, then the configuration changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::config::{self, Config, HOST, KEY, NEW_PORTAL};
use crate::http::{self, Ending};
use crate::world::{self, Router, Server, World, request_id};

/// `config-apply-ms` of the site.
const APPLY: Duration = Duration::from_millis(2_000);
const ZONE: &str = "centro-zona1";

/// A filing that was answered with success.
#[derive(Debug, Clone)]
struct Served {
    sent: Instant,
    service: String,
}

/// Sends filings to one machine and reads in the answer which service ran them.
struct Probe {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Served>>,
}

impl Probe {
    fn start(world: &World, name: &str, front: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, record, name) = (
            Arc::clone(&stop),
            Arc::clone(&world.record),
            name.to_owned(),
        );
        let thread = thread::spawn(move || {
            let mut served = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                let id = request_id();
                let key = format!("Bearer {KEY}");
                let headers = [
                    ("Host", HOST),
                    ("Request-Id", id.as_str()),
                    ("Deadline-Ms", "3000"),
                    ("Authorization", key.as_str()),
                ];
                let sent = Instant::now();
                let limit = Duration::from_secs(3);
                let ending = http::call(front, "POST", "/filings/a", &headers, b"a filing", limit);
                let text = match &ending {
                    Ending::Answer(answer) if answer.status() == 200 => {
                        let service = String::from_utf8_lossy(&answer.body).into_owned();
                        served.push(Served {
                            sent,
                            service: service.clone(),
                        });
                        format!("200 by {service}")
                    }
                    Ending::Answer(answer) => answer.status().to_string(),
                    Ending::Lost(error) => format!("lost: {error}"),
                    Ending::Silent => "no answer".to_owned(),
                };
                record.line(&format!("{name} filing {id} {text}"));
                thread::sleep(Duration::from_millis(100));
            }
            served
        });
        Self { stop, thread }
    }

    fn stop(self) -> Vec<Served> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

/// Sends SIGTERM and waits for the end of the process.
fn remove(world: &World, mut router: Router) {
    router.signal("-TERM");
    world.record.line(&format!("SIGTERM to {}", router.name));
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until && !router.has_ended() {
        thread::sleep(Duration::from_millis(20));
    }
    router.kill();
    world.record.line(&format!("{} has left", router.name));
}

pub fn replaced(world: &World) -> bool {
    let config = Config::default().json();
    world.store.write(&[("op", "config", Some(&config))]);
    for (number, service) in [(1, config::PORTAL), (2, NEW_PORTAL)] {
        let name = service.to_owned();
        let behaviour: world::Behaviour = Arc::new(move |_, request, stream| {
            thread::sleep(Duration::from_millis(20));
            let headers = world::answer_headers(request);
            http::respond(stream, "200 OK", &headers, name.as_bytes())?;
            Ok(true)
        });
        Server::start(
            world,
            &format!("i-portal{number}"),
            service,
            ZONE,
            6,
            behaviour,
        );
    }
    let start = |zone: &str, number: u8, ip: u8| {
        let name = format!("front-{zone}-{number}");
        world.router(&name, zone, world.ip(ip))
    };
    let mut routers: Vec<Router> = (1..=3).map(|n| start(ZONE, n, n)).collect();
    let others: Vec<Router> = (1..=2).map(|n| start("centro-zona2", n, 10 + n)).collect();
    let began = Instant::now();
    routers
        .iter()
        .chain(&others)
        .for_each(|r| world.await_ready(r));
    let kept = routers.pop().expect("the third router");
    let probe = Probe::start(world, &kept.name, kept.front);
    thread::sleep(Duration::from_millis(6_500).saturating_sub(began.elapsed()));
    let mut added = Vec::new();
    if world.trouble {
        // One after the other: the new machine starts, then the old one leaves.
        let mut leaving = Vec::new();
        for (number, old) in (4..).zip(routers.drain(..)) {
            let new = start(ZONE, number, number);
            world.await_ready(&new);
            added.push(new);
            thread::sleep(Duration::from_secs(1));
            leaving.push(old);
        }
        thread::scope(|scope| {
            for old in leaving {
                scope.spawn(|| remove(world, old));
            }
        });
    }
    thread::sleep(Duration::from_millis(13_500).saturating_sub(began.elapsed()));
    let config = Config {
        version: 12,
        filings_service: NEW_PORTAL,
        ..Config::default()
    }
    .json();
    world.store.write(&[("op", "config", Some(&config))]);
    let acknowledged = Instant::now();
    world
        .record
        .line("version 12 is acknowledged: filings go to the new service");
    let new_probe = added.first().map(|r| Probe::start(world, &r.name, r.front));
    thread::sleep(Duration::from_secs(20));
    let judge = |name: &str, served: &[Served]| {
        let after = served.iter().filter(|s| s.sent > acknowledged + APPLY);
        let old: Vec<&Served> = after.clone().filter(|s| s.service != NEW_PORTAL).collect();
        let last = old
            .last()
            .map_or(0, |s| (s.sent - acknowledged).as_millis());
        world.record.tell(&format!(
            "{name}: {} filings sent later than {} ms after the ack, {} of them run by the old service, the last one sent {last} ms after it",
            after.count(),
            APPLY.as_millis(),
            old.len(),
        ));
        !old.is_empty()
    };
    if let (Some(probe), Some(new)) = (new_probe, added.first()) {
        judge(&new.name, &probe.stop());
    }
    judge(&kept.name, &probe.stop())
}
