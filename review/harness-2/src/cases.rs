//! The cases.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Verdict;
use crate::http::{Answer, Head};
use crate::router::Host;
use crate::server::{Crashes, Kind, Setup, next_id};
use crate::world::{CONTACT, World, ZONES, call, engine_service, plain_service, route};

pub fn play(name: &str, world: &World, trouble: bool) -> Verdict {
    match name {
        "deadly-same-id" => deadly_same_id(world, trouble),
        "deadly-restart" => deadly_restart(world, trouble),
        "tainted-again" => tainted_again(world, trouble),
        "tainted-after-rest" => tainted_after_rest(world, trouble),
        "resume-after-split" => resume_after_split(world, trouble),
        "resume-plain" => resume_plain(world, trouble),
        "upgrade-in-place" => upgrade_in_place(world, trouble, false),
        "upgrade-store-away" => upgrade_in_place(world, trouble, true),
        "crowd" => crowd(world, trouble),
        _ => Verdict::NotRun,
    }
}

const SECOND: Duration = Duration::from_secs(1);

fn secs(time: f64) -> Duration {
    Duration::from_secs_f64(time)
}

fn nothing_crashes() -> Crashes {
    Arc::new(|_: &Head, _: &[u8]| false)
}

/// Sends requests at a fixed interval until a time, each in a thread of its own.
fn at_interval(
    interval: Duration,
    time: Duration,
    send: impl Fn(usize) + Clone + Send + 'static,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let began = Instant::now();
        let mut calls = Vec::new();
        for number in 0.. {
            let due = interval * number;
            if due >= time {
                break;
            }
            thread::sleep(due.saturating_sub(began.elapsed()));
            let send = send.clone();
            let number = usize::try_from(number).unwrap_or_default();
            calls.push(thread::spawn(move || send(number)));
        }
        for call in calls {
            let _ = call.join();
        }
    })
}

fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        let _ = thread.join();
    }
}

/// Body of the request that crashes the servers which run it.
const DEADLY: &[u8] = b"deadly filing";

fn plain_setup(number: usize, crashes: &Crashes, keeps_id: bool) -> Setup {
    Setup {
        name: format!("registry{number}"),
        service: "registry".to_owned(),
        zone: ZONES[number % ZONES.len()].to_owned(),
        version: "v1".to_owned(),
        slots: 6,
        kind: Kind::Plain {
            work: Duration::from_millis(60),
        },
        crashes: Arc::clone(crashes),
        down: secs(2.0),
        keeps_id,
    }
}

fn plain_world(world: &World, servers: usize, trouble: bool, keeps_id: bool) -> bool {
    world.configure(
        1,
        &[route(
            "file",
            "non_idempotent",
            &json!("registry"),
            3_000,
            300,
        )],
        &[plain_service("registry")],
    );
    let crashes: Crashes = Arc::new(move |_: &Head, body: &[u8]| trouble && body == DEADLY);
    for number in 0..servers {
        world.add_server(plain_setup(number, &crashes, keeps_id));
    }
    world.start_routers()
}

fn send_filing(world: &World, kind: &'static str, router: usize, body: &[u8]) -> Answer {
    let id = next_id(if kind == "deadly" { "d" } else { "f" });
    let mut call = call(world.address(router), "/file/2f", &id, "key1", 3_000);
    call.body = body.to_vec();
    world.send(kind, router, &id, &call)
}

fn sound_filings(world: &World, time: Duration) -> JoinHandle<()> {
    let world = world.clone();
    at_interval(Duration::from_millis(25), time, move |number| {
        let body = format!("filing {number}");
        send_filing(&world, "sound", number % 3, body.as_bytes());
    })
}

/// Counts the runs of the deadly request that the rule counts: later than `contact-ms` after its third
/// crash, sent by routers in touch. `excused` tells when routers were not.
fn judge_deadly(world: &World, excused: Option<(Duration, Duration)>) -> Verdict {
    let outcomes = world.outcomes();
    let deadly = |request: &str| {
        let mut sent = outcomes.iter().filter(|o| o.kind == "deadly");
        sent.any(|o| o.request == request)
    };
    let runs: Vec<_> = world
        .arrivals()
        .into_iter()
        .filter(|a| a.crashed && deadly(&a.request))
        .collect();
    world.record.add(format!(
        "result: the deadly request crashed {} servers",
        runs.len()
    ));
    let Some(third) = runs.get(2) else {
        return Verdict::Held;
    };
    let from = third.at + secs(0.06) + CONTACT;
    let is_excused = |at: Duration| excused.is_some_and(|(a, b)| at >= a && at <= b);
    let counted: Vec<_> = runs
        .iter()
        .filter(|a| a.at > from && !is_excused(a.at))
        .collect();
    for run in &counted {
        world.record.add(format!(
            "result: counted: {} reached {} at {:.3} s",
            run.request,
            run.server,
            run.at.as_secs_f64()
        ));
    }
    world.record.add(format!(
        "result: third crash at {:.3} s; {} retries reached servers later than contact-ms after it, \
         sent by machines in touch; more than three break the rule",
        third.at.as_secs_f64(),
        counted.len()
    ));
    if counted.len() > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A request crashes servers that start again under the id that they had.
fn deadly_same_id(world: &World, trouble: bool) -> Verdict {
    if !plain_world(world, 3, trouble, true) {
        return Verdict::NotRun;
    }
    let time = secs(62.0);
    let own = world.clone();
    let deadly = at_interval(secs(1.5), time, move |number| {
        send_filing(&own, "deadly", number % 3, DEADLY);
    });
    join(vec![sound_filings(world, time), deadly]);
    world.note_log(&["request_suspected", "request_quarantined"]);
    world.note_losses("sound");
    judge_deadly(world, None)
}

/// A request that crashes servers is held back; then all routers are killed at once.
fn deadly_restart(world: &World, trouble: bool) -> Verdict {
    if !plain_world(world, 6, trouble, false) {
        return Verdict::NotRun;
    }
    let time = secs(92.0);
    let own = world.clone();
    let deadly = at_interval(secs(5.0), time, move |number| {
        send_filing(&own, "deadly", number % 3, DEADLY);
    });
    let own = world.clone();
    let killing = thread::spawn(move || {
        thread::sleep(secs(61.0));
        if !trouble {
            return;
        }
        let mut routers = own.routers.lock().expect("no panic");
        routers.iter_mut().for_each(|r| r.kill());
        own.record.add("all routers are killed");
        thread::sleep(secs(0.3));
        routers.iter_mut().for_each(|r| r.restart());
        own.record.add("all routers start again");
    });
    let sound = sound_filings(world, time);
    let _ = killing.join();
    let restarted = world.record.now();
    join(vec![sound, deadly]);
    world.note_log(&["request_suspected", "request_quarantined"]);
    world.note_losses("sound");
    judge_deadly(world, Some((restarted - SECOND, restarted + CONTACT)))
}

const FIRST_PART: &str = "f1";
const DEADLY_PART: &str = "dead";

fn engine_setup(number: usize, crashes: &Crashes, first: f64, pause: f64, events: u64) -> Setup {
    Setup {
        name: format!("model{number}"),
        service: "model".to_owned(),
        zone: ZONES[number % ZONES.len()].to_owned(),
        version: "v1".to_owned(),
        slots: 64,
        kind: Kind::Engine {
            first: secs(first),
            pause: secs(pause),
            events,
        },
        crashes: Arc::clone(crashes),
        down: secs(2.0),
        keeps_id: false,
    }
}

fn engine_world(world: &World, servers: usize, trouble: bool, pause: f64, events: u64) -> bool {
    world.configure(
        1,
        &[route("draft", "streaming", &json!("model"), 12_000, 1_000)],
        &[engine_service("model")],
    );
    let crashes: Crashes = Arc::new(move |head: &Head, _: &[u8]| {
        let parts = head.header("prompt-prefix").unwrap_or_default();
        trouble && parts.split(',').any(|p| p.starts_with("dead:"))
    });
    for number in 0..servers {
        world.add_server(engine_setup(number, &crashes, 0.2, pause, events));
    }
    world.start_routers()
}

/// Asks for a stream with these shared parts and one of its own.
fn send_draft(
    world: &World,
    kind: &'static str,
    router: usize,
    key: &str,
    parts: &[&str],
) -> Answer {
    let id = next_id(if kind == "tainted" { "d" } else { "s" });
    let mut call = call(world.address(router), "/draft/2f", &id, key, 12_000);
    let mut prefix = String::new();
    for part in parts {
        prefix += &format!("{part}:300,");
    }
    prefix += &format!(
        "{:x}:100",
        u64::from_str_radix(&id[1..], 16).unwrap_or(0) + (1 << 40)
    );
    let tokens = 300 * parts.len() + 100;
    let header = |name: &str, value: String| (name.to_owned(), value);
    call.headers.extend([
        header("Model", "m".to_owned()),
        header("Token-Usage", format!("{tokens},200")),
        header("Prompt-Prefix", prefix),
    ]);
    call.body = format!("prompt of {id}").into_bytes();
    world.send(kind, router, &id, &call)
}

fn drafts(
    world: &World,
    kind: &'static str,
    interval: f64,
    time: f64,
    key: &'static str,
    parts: &'static [&'static str],
) -> JoinHandle<()> {
    let world = world.clone();
    at_interval(secs(interval), secs(time), move |number| {
        send_draft(&world, kind, number % 3, key, parts);
    })
}

/// Requests with a part that crashes servers come for longer than the part is held back.
fn tainted_again(world: &World, trouble: bool) -> Verdict {
    if !engine_world(world, 6, trouble, 0.08, 25) {
        return Verdict::NotRun;
    }
    let sound = drafts(world, "sound", 0.2, 72.0, "key1", &[FIRST_PART, "51"]);
    thread::sleep(secs(4.0));
    let tainted = drafts(
        world,
        "tainted",
        0.4,
        66.0,
        "key1",
        &[FIRST_PART, DEADLY_PART],
    );
    join(vec![sound, tainted]);
    world.note_log(&["part_quarantined"]);
    world.note_losses("sound");
    let crashes: Vec<_> = world.arrivals().into_iter().filter(|a| a.crashed).collect();
    world.record.add(format!(
        "result: {} requests with the part reached servers",
        crashes.len()
    ));
    let Some(fifth) = crashes.get(4) else {
        return Verdict::Held;
    };
    let from = fifth.at + secs(0.2) + CONTACT;
    let counted: Vec<_> = crashes.iter().filter(|a| a.at > from).collect();
    for run in &counted {
        world.record.add(format!(
            "result: counted: {} reached {} at {:.3} s",
            run.request,
            run.server,
            run.at.as_secs_f64()
        ));
    }
    world.record.add(format!(
        "result: fifth crash at {:.3} s; {} requests with the part reached servers later than \
         contact-ms after it; more than three break the rule",
        fifth.at.as_secs_f64(),
        counted.len()
    ));
    if counted.len() > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A tenant rests and comes back; some of its requests have a part that crashes servers.
fn tainted_after_rest(world: &World, trouble: bool) -> Verdict {
    if !engine_world(world, 3, trouble, 0.1, 30) {
        return Verdict::NotRun;
    }
    let others = drafts(world, "other", 0.5, 52.0, "key2", &["f2", "52"]);
    let calm_until = world.record.now() + secs(10.0);
    let before = drafts(world, "sound", 0.2, 10.0, "key1", &[FIRST_PART, "51"]);
    let _ = before.join();
    // The last of them ended some seconds after the tenant went to rest.
    thread::sleep(secs(12.0));
    world.record.add("the tenant comes back");
    let after = drafts(world, "sound", 0.2, 26.0, "key1", &[FIRST_PART, "51"]);
    let tainted = drafts(
        world,
        "tainted",
        0.4,
        26.0,
        "key1",
        &[FIRST_PART, DEADLY_PART],
    );
    join(vec![after, tainted, others]);
    world.note_log(&["part_quarantined"]);
    for kind in ["sound", "other"] {
        world.note_losses(kind);
    }
    judge_sound(world, calm_until)
}

/// Compares how often sound requests with the same first part began at the first attempt.
fn judge_sound(world: &World, calm_until: Duration) -> Verdict {
    let arrivals = world.arrivals();
    let crashes: Vec<_> = arrivals.iter().filter(|a| a.crashed).collect();
    world.record.add(format!(
        "result: {} servers crashed on the part",
        crashes.len()
    ));
    let last = crashes.get(4).or(crashes.last());
    let Some(last) = last else {
        return Verdict::Held;
    };
    let outcomes = world.outcomes();
    let ended = outcomes
        .iter()
        .filter(|o| o.kind == "tainted")
        .map(|o| o.at)
        .max();
    let (from, to) = (last.at + secs(0.2) + CONTACT * 2, ended.unwrap_or_default());
    let count = |from: Duration, to: Duration| {
        let of = outcomes
            .iter()
            .filter(|o| o.kind == "sound" && o.at >= from && o.at < to);
        let all: Vec<_> = of.collect();
        let begun = all.iter().filter(|o| o.answer.status == 200).count();
        let many = all.iter().filter(|o| o.answer.status == 429).count();
        (all.len(), begun, many)
    };
    let calm = count(Duration::ZERO, calm_until);
    let during = count(from, to);
    world.record.add(format!(
        "result: outside disturbance {} of {} sound requests began at the first attempt; from {:.3} \
         s to {:.3} s {} of {}; less than half as often breaks the rule",
        calm.1,
        calm.0,
        from.as_secs_f64(),
        to.as_secs_f64(),
        during.1,
        during.0
    ));
    if calm.0 < 20 || during.0 < 20 {
        return Verdict::Held;
    }
    let share = |(all, begun, _): (usize, usize, usize)| begun as f64 / all as f64;
    if share(during) < share(calm) / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A proxy before a router that resets channels.
struct Channels {
    address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Channels {
    fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is available");
        let address = listener.local_addr().expect("the listener is bound");
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let list = Arc::clone(&open);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else {
                    continue;
                };
                let both = [client.try_clone(), server.try_clone()];
                list.lock()
                    .expect("no panic")
                    .extend(both.into_iter().flatten());
                let pairs = [
                    (client.try_clone(), server.try_clone()),
                    (server.try_clone(), client.try_clone()),
                ];
                for (from, to) in pairs {
                    if let (Ok(from), Ok(to)) = (from, to) {
                        thread::spawn(move || copy(from, to));
                    }
                }
            }
        });
        Self { address, open }
    }

    /// Resets one of two channels.
    fn reset(&self) {
        let mut open = self.open.lock().expect("no panic");
        // Each channel has two streams in the list.
        for (number, stream) in open.drain(..).enumerate() {
            if number / 2 % 2 == 0 {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn copy(from: TcpStream, mut to: TcpStream) {
    let mut reader = BufReader::new(from);
    let mut buffer = [0; 16 << 10];
    while let Ok(count) = reader.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

const STREAMS: usize = 60;

/// The operator moves most of a route's traffic to its other service; then channels are reset, and
/// clients take their streams up.
fn resume_after_split(world: &World, trouble: bool) -> Verdict {
    let split = |a: u32, b: u32| json!([{"service": "model-a", "weight": a}, {"service": "model-b", "weight": b}]);
    let config = |version: u64, a: u32, b: u32| {
        world.configure(
            version,
            &[route("draft", "streaming", &split(a, b), 12_000, 1_000)],
            &[engine_service("model-a"), engine_service("model-b")],
        );
    };
    config(1, 9, 1);
    for service in ["model-a", "model-b"] {
        for number in 0..4 {
            let mut setup = engine_setup(number, &nothing_crashes(), 0.1, 0.15, 50);
            setup.name = format!("{service}-{number}");
            setup.service = service.to_owned();
            setup.version = if number < 2 { "v1" } else { "v2" }.to_owned();
            world.add_server(setup);
        }
    }
    take_up(world, || {
        if trouble {
            config(5, 1, 9);
        }
    })
}

/// Streams of a service without engines, of which two versions serve, are taken up at other routers.
fn resume_plain(world: &World, trouble: bool) -> Verdict {
    world.configure(
        1,
        &[route("draft", "streaming", &json!("events"), 12_000, 1_000)],
        &[plain_service("events")],
    );
    for number in 0..4 {
        let mut setup = engine_setup(number, &nothing_crashes(), 0.1, 0.15, 50);
        setup.service = "events".to_owned();
        setup.version = if number < 2 || !trouble { "v1" } else { "v2" }.to_owned();
        world.add_server(setup);
    }
    take_up(world, || {})
}

/// Has channels reset after `change`, and compares the streams that are taken up with new ones.
fn take_up(world: &World, change: impl FnOnce()) -> Verdict {
    if !world.start_routers() {
        return Verdict::NotRun;
    }
    let channels = Channels::start(world.address(0));
    let resumed = Arc::new(AtomicUsize::new(0));
    let went_on = Arc::new(AtomicUsize::new(0));
    let is_reset = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let (world, to) = (world.clone(), channels.address);
        let (resumed, went_on) = (Arc::clone(&resumed), Arc::clone(&went_on));
        let is_reset = Arc::clone(&is_reset);
        threads.push(thread::spawn(move || {
            thread::sleep(secs(0.02 * number as f64));
            let began = Instant::now();
            let id = next_id("s");
            let answer = world.send("stream", 0, &id, &stream_call(to, &id, 12_000, None));
            let Some(last) = answer.events.last().copied().filter(|_| !answer.whole) else {
                return;
            };
            if !is_reset.load(Ordering::Relaxed) {
                return;
            }
            resumed.fetch_add(1, Ordering::Relaxed);
            for attempt in 0..3 {
                let router = 1 + (number + attempt) % 2;
                let left = Duration::from_millis(12_000).saturating_sub(began.elapsed());
                let again = next_id("r");
                let left_ms = u64::try_from(left.as_millis()).unwrap_or(0);
                let call = stream_call(world.address(router), &again, left_ms, Some((&id, last)));
                let answer = world.send("taken-up", router, &again, &call);
                if answer.status == 200 && answer.events.first() == Some(&(last + 1)) {
                    went_on.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                let wait = answer
                    .head
                    .header("retry-after")
                    .and_then(|w| w.parse::<f64>().ok());
                thread::sleep(secs(wait.unwrap_or(0.0).min(2.0)));
            }
        }));
    }
    thread::sleep(secs(2.5));
    change();
    // `config-apply-ms` is 2 s.
    thread::sleep(secs(2.3));
    let fresh: Vec<_> = (0..STREAMS)
        .map(|number| {
            let world = world.clone();
            thread::spawn(move || {
                let router = 1 + number % 2;
                let id = next_id("n");
                let call = stream_call(world.address(router), &id, 12_000, None);
                let _ = world.send("new-stream", router, &id, &call);
            })
        })
        .collect();
    thread::sleep(secs(0.3));
    is_reset.store(true, Ordering::Relaxed);
    channels.reset();
    world
        .record
        .add("half of the channels between clients and router 0 are reset");
    join(threads);
    join(fresh);
    world.note_log(&["resume_refused"]);
    let outcomes = world.outcomes();
    let new: Vec<_> = outcomes.iter().filter(|o| o.kind == "new-stream").collect();
    let begun = new.iter().filter(|o| o.answer.status == 200).count();
    let (resumed, went_on) = (
        resumed.load(Ordering::Relaxed),
        went_on.load(Ordering::Relaxed),
    );
    world.record.add(format!(
        "result: {went_on} of {resumed} streams that clients took up again went on; {begun} of {} new \
         streams began; under half of that share breaks the rule",
        new.len()
    ));
    if resumed < 12 || new.is_empty() {
        return Verdict::NotRun;
    }
    let share = went_on as f64 / resumed as f64;
    if share < begun as f64 / new.len() as f64 / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn stream_call(
    to: SocketAddr,
    id: &str,
    budget_ms: u64,
    after: Option<(&str, u64)>,
) -> crate::http::Call {
    let mut call = call(to, "/draft/2f", id, "key1", budget_ms);
    let header = |name: &str, value: String| (name.to_owned(), value);
    let own = u64::from_str_radix(&id[1..], 16).unwrap_or(0) + (1 << 40);
    call.headers.extend([
        header("Model", "m".to_owned()),
        header("Token-Usage", "400,350".to_owned()),
        header("Prompt-Prefix", format!("f1:300,{own:x}:100")),
    ]);
    if let Some((began, last)) = after {
        call.headers.extend([
            header("Resumes", began.to_owned()),
            header("Last-Event-Id", last.to_string()),
        ]);
    }
    call.body = b"prompt".to_vec();
    call
}

/// Limits of most machines of the grown installations.
const CROWD_HOST: Host = Host {
    memory_mb: 160,
    descriptors: 4_100,
};
/// Channels that clients open and keep.
const CROWD: usize = 3_260;
/// Size of each chunk that they send.
const CHUNK: usize = 4_000;
/// Chunks of each body.
const CHUNKS: usize = 4;
/// Bytes of the last chunk that most of them don't send.
const SHORT: usize = 10;
/// Descriptors that this program and a router need.
const DESCRIPTORS: usize = 9_000;

/// Clients send many chunked bodies, most of which stop just short of their end and stay open.
fn crowd(world: &World, trouble: bool) -> Verdict {
    if open_files() < DESCRIPTORS {
        world
            .record
            .add("the limit on open files is too low for this case");
        return Verdict::NotRun;
    }
    world.configure(
        1,
        &[
            route("file", "non_idempotent", &json!("registry"), 3_000, 1_000),
            route("look", "idempotent", &json!("registry"), 12_000, 1_000),
        ],
        &[plain_service("registry")],
    );
    for number in 0..3 {
        let mut setup = plain_setup(number, &nothing_crashes(), false);
        setup.kind = Kind::Plain {
            work: Duration::from_millis(300),
        };
        setup.slots = 16;
        world.add_server(setup);
    }
    if !world.start_on(CROWD_HOST) {
        return Verdict::NotRun;
    }
    let over = Arc::new(AtomicBool::new(false));
    let (own, is_over) = (world.clone(), Arc::clone(&over));
    let watching = thread::spawn(move || watch_memory(&own, secs(24.0), &is_over));
    let own = world.clone();
    let sound = at_interval(Duration::from_millis(50), secs(20.0), move |number| {
        let body = format!("filing {number}");
        send_filing(&own, "sound", number % 3, body.as_bytes());
    });
    thread::sleep(secs(3.0));
    let mut channels = Vec::new();
    if trouble {
        for number in 0..CROWD {
            channels.extend(open_body(world.address(0), number));
        }
        world.record.add(format!(
            "clients have opened {} channels to router 0 and sent bodies of {} bytes in chunks of \
             {CHUNK}; one in twenty is complete, the others stop {SHORT} bytes short of their end",
            channels.len(),
            CHUNK * CHUNKS
        ));
    }
    join(vec![sound, watching]);
    drop(channels);
    world.note_losses("sound");
    for router in world.routers.lock().expect("no panic").iter() {
        if let Some(peak) = router.memory("VmHWM") {
            let text = format!("result: {} held {peak} bytes at its peak", router.name);
            world.record.add(text);
        }
    }
    if over.load(Ordering::Relaxed) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Kills a router that holds more memory than its machine has, as the platform does.
fn watch_memory(world: &World, time: Duration, over: &AtomicBool) {
    /// A megabyte, taken as large as it may be meant.
    const MEGABYTE: usize = 1 << 20;
    let began = Instant::now();
    while began.elapsed() < time {
        thread::sleep(Duration::from_millis(20));
        for router in world.routers.lock().expect("no panic").iter_mut() {
            let held = router.memory("VmRSS").unwrap_or_default();
            if held > CROWD_HOST.memory_mb as usize * MEGABYTE {
                over.store(true, Ordering::Relaxed);
                world.record.add(format!(
                    "result: {} holds {held} bytes, more than its machine's {} MB, and is killed",
                    router.name, CROWD_HOST.memory_mb
                ));
                router.kill();
            }
        }
    }
}

/// Opens a channel and sends a body in chunks that, mostly, stops short of its end.
fn open_body(to: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, SECOND).ok()?;
    stream.set_write_timeout(Some(SECOND)).ok()?;
    let id = next_id("c");
    let mut bytes = format!(
        "POST /look/2f HTTP/1.1\r\nHost: ficu.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\n\
         Authorization: Bearer key2\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for _ in 0..CHUNKS {
        bytes.extend_from_slice(format!("{CHUNK:x}\r\n").as_bytes());
        bytes.extend_from_slice(&[b'a'; CHUNK]);
        bytes.extend_from_slice(b"\r\n");
    }
    if number % 20 == 0 {
        bytes.extend_from_slice(b"0\r\n\r\n");
    } else {
        bytes.truncate(bytes.len() - SHORT);
    }
    stream.write_all(&bytes).ok()?;
    Some(stream)
}

/// Returns the limit on the open files of this process.
fn open_files() -> usize {
    let text = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("Max open files"));
    let soft = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    soft.unwrap_or(0)
}

/// Streams of this case that run at the same time, about.
const UPGRADE_STREAMS: usize = 90;

/// Time from a server's start to its first check-in: `lag_ms` under `discovery` in the sites' files; the
/// pages have servers write about every 1,200 ms.
const CHECK_IN: Duration = Duration::from_millis(800);

/// Model servers start again one after the other, under the ids that they had, with a newer version
/// of their software. With `away` they check in at once, but the store is silent for 4.5 s.
fn upgrade_in_place(world: &World, trouble: bool, away: bool) -> Verdict {
    world.configure(
        1,
        &[route("draft", "streaming", &json!("model"), 12_000, 1_000)],
        &[engine_service("model")],
    );
    let servers: Vec<_> = (0..3)
        .map(|number| {
            let mut setup = engine_setup(number, &nothing_crashes(), 0.1, 0.1, 60);
            setup.keeps_id = true;
            setup.down = secs(0.4);
            world.add_server(setup)
        })
        .collect();
    if !world.start_routers() {
        return Verdict::NotRun;
    }
    let own = world.clone();
    let streams = at_interval(
        secs(0.1),
        secs(0.1 * UPGRADE_STREAMS as f64),
        move |number| {
            let id = next_id("s");
            let call = stream_call(own.address(number % 3), &id, 12_000, None);
            own.send("stream", number % 3, &id, &call);
        },
    );
    thread::sleep(secs(4.0));
    let own = world.clone();
    let silence = thread::spawn(move || {
        if trouble && away {
            own.store.is_silent.store(true, Ordering::Relaxed);
            own.record.add("the store falls silent");
            thread::sleep(secs(4.5));
            own.store.is_silent.store(false, Ordering::Relaxed);
            own.record.add("the store answers again");
        }
    });
    thread::sleep(SECOND);
    for server in &servers {
        if trouble {
            server.upgrade("v2", if away { Duration::ZERO } else { CHECK_IN });
        }
        thread::sleep(SECOND);
    }
    join(vec![streams, silence]);
    let outcomes = world.outcomes();
    let mut mixed = 0;
    for outcome in outcomes.iter().filter(|o| o.kind == "stream") {
        let text = String::from_utf8_lossy(&outcome.answer.body);
        let of = |version: &str| {
            text.lines()
                .filter(|l| *l == format!("data: {version}"))
                .count()
        };
        let (old, new) = (of("v1"), of("v2"));
        if old > 0 && new > 0 {
            mixed += 1;
            world.record.add(format!(
                "result: {} holds {old} events of v1 and {new} of v2",
                outcome.request
            ));
        }
    }
    world.note_losses("stream");
    world.record.add(format!(
        "result: {mixed} streams hold events of two versions in one answer; more than two break the rule"
    ));
    if mixed > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
