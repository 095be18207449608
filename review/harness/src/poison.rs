//! A part of a prompt crashes each server that begins to write an answer on it, and the servers come
//! back under the ids that they had.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{self, Config, HOST, KEY};
use crate::http::{self, Ending, Message};
use crate::world::{self, Router, Server, World, request_id};

/// Part that crashes servers.
const BAD_PART: &str = "bad0bad0";
/// Time after which a crashed server starts again.
const DOWN: Duration = Duration::from_secs(2);
/// `contact-ms` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How requests with the part come, and how the servers come back.
struct Plan {
    /// Time between two requests with the part.
    interval: Duration,
    requests: u64,
    /// Whether a server starts again under another id.
    new_ids: bool,
    /// Whether a server crashes without closing its channels.
    dark: bool,
}

/// Arrivals of requests with the part, each of which is a crash.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

/// Returns whether a shared part of the prompt, any but the last, is the bad one.
fn is_bad(request: &Message) -> bool {
    let prefix = request.header("prompt-prefix").unwrap_or_default();
    let mut parts: Vec<&str> = prefix.split(',').collect();
    parts.pop();
    parts.iter().any(|p| p.split(':').next() == Some(BAD_PART))
}

fn engine(world: &World, arrivals: &Arrivals, plan: &Plan) -> world::Behaviour {
    let (new_ids, dark) = (plan.new_ids, plan.dark);
    let (record, arrivals) = (Arc::clone(&world.record), Arc::clone(arrivals));
    let store = Arc::clone(&world.store);
    Arc::new(move |server, request, stream| {
        if !is_bad(request) {
            return answer_sound(server, request, stream);
        }
        let id = request.header("request-id").unwrap_or_default();
        record.line(&format!("server {} crashes on {id}", server.id()));
        arrivals
            .lock()
            .expect("no panic")
            .push((Instant::now(), server.id()));
        thread::sleep(Duration::from_millis(60));
        if dark {
            server.go_dark();
        } else {
            server.crash();
        }
        if new_ids {
            server.rename(&store, &format!("i-{}", request_id()));
        }
        thread::sleep(DOWN);
        server.restart();
        record.line(&format!("server {} is back", server.id()));
        if dark {
            world::hold(stream);
        }
        Ok(false)
    })
}

/// Answers a sound stream of 40 events, unless the server's life ends before.
fn answer_sound(
    server: &Server,
    request: &Message,
    stream: &mut TcpStream,
) -> std::io::Result<bool> {
    let life = server.life();
    thread::sleep(Duration::from_millis(60));
    for id in 0..=40_u64 {
        if server.life() != life {
            world::hold(stream);
        }
        if id == 0 {
            world::begin_stream(request, stream)?;
        } else {
            world::write_chunk(stream, format!("id: {id}\ndata: tokens\n\n").as_bytes())?;
        }
        thread::sleep(Duration::from_millis(40));
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Sends a draft whose prompt begins with the parts `shared`; returns how it ended.
fn draft(world: &World, router: &Router, shared: &str, kind: &str) -> String {
    static OWN: AtomicU64 = AtomicU64::new(1);
    let id = request_id();
    let own = OWN.fetch_add(1, Ordering::SeqCst);
    let key = format!("Bearer {KEY}");
    let prefix = format!("{shared},{own:x}:400");
    let body = format!("notes {own}");
    let headers = [
        ("Host", HOST),
        ("Request-Id", id.as_str()),
        ("Deadline-Ms", "12000"),
        ("Authorization", key.as_str()),
        ("Model", "m"),
        ("Token-Usage", "1400,300"),
        ("Prompt-Prefix", prefix.as_str()),
    ];
    // A client abandons a stream after a gap of four seconds, four times the objective.
    let limit = Duration::from_secs(4);
    let ending = http::call(
        router.front,
        "POST",
        "/drafts/a",
        &headers,
        body.as_bytes(),
        limit,
    );
    let text = match ending {
        Ending::Answer(answer) => answer.status().to_string(),
        Ending::Lost(error) => format!("lost: {error}"),
        Ending::Silent => "no answer".to_owned(),
    };
    world
        .record
        .line(&format!("{} {kind} draft {id} {text}", router.name));
    text
}

/// Requests with the part come seldom, and the servers come back under their ids.
pub fn same_ids(world: &World) -> bool {
    let plan = Plan {
        interval: Duration::from_millis(6_500),
        requests: 12,
        new_ids: false,
        dark: false,
    };
    poison(world, &plan)
}

/// Requests with the part come all the time, and the servers come back under new ids.
pub fn lasting(world: &World) -> bool {
    let plan = Plan {
        interval: Duration::from_secs(1),
        requests: 104,
        new_ids: true,
        dark: false,
    };
    poison(world, &plan)
}

/// Servers crash without closing their channels and come back under new ids.
pub fn dark(world: &World) -> bool {
    let plan = Plan {
        interval: Duration::from_secs(3),
        requests: 20,
        new_ids: true,
        dark: true,
    };
    poison(world, &plan)
}

fn poison(world: &World, plan: &Plan) -> bool {
    let config = Config {
        attempts: 1,
        ..Config::default()
    }
    .json();
    world.store.write(&[("op", "config", Some(&config))]);
    let arrivals = Arrivals::default();
    for number in 1..=9 {
        let zone = format!("zona{}", (number - 1) % 3 + 1);
        let behaviour = engine(world, &arrivals, plan);
        Server::start(
            world,
            &format!("i-engine{number}"),
            config::ENGINES,
            &zone,
            64,
            behaviour,
        );
    }
    let routers: Vec<Router> = (1..=3)
        .map(|n| world.router(&format!("front-{n}"), &format!("zona{n}"), world.ip(n)))
        .collect();
    routers.iter().for_each(|r| world.await_ready(r));
    thread::sleep(Duration::from_secs(2));
    let stop = AtomicBool::new(false);
    let sound = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for client in 0..24_usize {
            let (stop, sound, routers) = (&stop, &sound, &routers);
            scope.spawn(move || {
                let shared = format!("{:x}:1000", 0x1000 + client % 12);
                while !stop.load(Ordering::SeqCst) {
                    let ended = draft(world, &routers[client % 3], &shared, "sound");
                    sound
                        .lock()
                        .expect("no panic")
                        .push((Instant::now(), ended));
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
        for number in 0..plan.requests {
            let router = &routers[usize::try_from(number).expect("small") % 3];
            let shared = if world.trouble {
                format!("{:x}:500,{BAD_PART}:500", 0x1000 + number % 12)
            } else {
                format!("{:x}:500,900d900d:500", 0x1000 + number % 12)
            };
            scope.spawn(move || draft(world, router, &shared, "special"));
            thread::sleep(plan.interval);
        }
        stop.store(true, Ordering::SeqCst);
    });
    let arrivals = arrivals.lock().expect("no panic").clone();
    let sound = sound.into_inner().expect("no panic");
    let fifth = arrivals.get(4).map(|(at, _)| *at);
    let late: Vec<&(Instant, String)> = arrivals
        .iter()
        .filter(|(at, _)| fifth.is_some_and(|f| *at > f + CONTACT))
        .collect();
    let lost = sound.iter().filter(|(_, e)| e != "200" && e != "503");
    let lost_late = lost
        .clone()
        .filter(|(at, _)| fifth.is_some_and(|f| *at > f + CONTACT));
    let servers: BTreeSet<&str> = arrivals.iter().map(|(_, id)| id.as_str()).collect();
    world.record.tell(&format!(
        "{} of {} requests with the part reached servers and crashed them, {} ids in all, {} of them later than {} ms after the fifth crash",
        arrivals.len(),
        plan.requests,
        servers.len(),
        late.len(),
        CONTACT.as_millis(),
    ));
    world.record.tell(&format!(
        "{} sound drafts, {} broken off or failed, {} of them later than {} ms after the fifth crash",
        sound.len(),
        lost.count(),
        lost_late.count(),
        CONTACT.as_millis(),
    ));
    late.len() > 3
}
