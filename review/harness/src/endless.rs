//! A server sends bytes without end that are no answer, until the caller closes.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::config::{self, Config, HOST, KEY};
use crate::http::{self, Channel, Ending, Message};
use crate::world::{self, Behaviour, Router, Server, World, request_id};

/// Route timeout and time budget of the filings.
const TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after the timeout by which the final answer is due.
const SLACK: Duration = Duration::from_millis(500);

/// Clients of each zone.
const CLIENTS: u32 = 150;
/// Time between two filings of a client: below four fifths of `idle-timeout-ms`.
const PERIOD: Duration = Duration::from_secs(10);
/// Time between two drafts.
const DRAFT_PERIOD: Duration = Duration::from_millis(100);
/// Number of drafts, and the one from which on a server is faulty.
const DRAFTS: u64 = 240;
const FAULTY_DRAFT: u64 = 120;
/// Number of answers that are bytes without end, all of one server.
const FAULTY_ANSWERS: u32 = 3;

/// Size of the chunks of the bytes without end: about a token.
const CHUNK_BYTES: usize = 4;

/// A filing, as its client saw it.
#[derive(Debug, Clone)]
struct Filing {
    router: String,
    sent: Instant,
    /// When it ended and how; none if it had no answer by the timeout and the slack.
    ended: Option<(Instant, String)>,
}

/// Clients of one zone, which keep their channels.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Filing>>>,
}

impl Clients {
    /// Starts clients that each send a filing every [`PERIOD`], one after the other.
    fn start(world: &World, entry: &Arc<Entry>, zone: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CLIENTS).map(|number| {
            let (stop, record) = (Arc::clone(&stop), Arc::clone(&world.record));
            let entry = Arc::clone(entry);
            thread::spawn(move || {
                let mut filings = Vec::new();
                let mut channel = None;
                let mut due = Instant::now() + PERIOD * number / CLIENTS;
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    due += PERIOD;
                    filings.push(file(&record, entry.machine(zone), &mut channel));
                }
                filings
            })
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    fn stop(self) -> Vec<Filing> {
        self.stop.store(true, Ordering::SeqCst);
        let threads = self.threads.into_iter();
        threads.flat_map(|t| t.join().unwrap_or_default()).collect()
    }
}

/// A kept channel and the name of its machine.
type Kept = Option<(Channel, String)>;

/// Sends a filing on the kept channel, or on a new one to `machine`.
fn file(record: &world::Record, machine: &Machine, kept: &mut Kept) -> Filing {
    let id = request_id();
    let key = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("Request-Id", id.as_str()),
        ("Deadline-Ms", "3000"),
        ("Authorization", key.as_str()),
    ];
    let sent = Instant::now();
    if kept.is_none() {
        let channel = Channel::open(machine.front).ok();
        *kept = channel.map(|c| (c, machine.name.clone()));
    }
    let (ending, router) = match kept {
        Some((channel, router)) => {
            let limit = TIMEOUT + SLACK;
            let ending = channel.call("POST", "/filings/a", &headers, b"a filing", limit);
            (ending, router.clone())
        }
        None => (Ending::Lost("no channel".to_owned()), machine.name.clone()),
    };
    let took = sent.elapsed().as_millis();
    let text = match &ending {
        Ending::Answer(answer) => answer.status().to_string(),
        Ending::Lost(error) => format!("lost: {error}"),
        Ending::Silent => "no answer".to_owned(),
    };
    record.line(&format!("{router} filing {id} {text} after {took} ms"));
    let is_kept = matches!(&ending, Ending::Answer(a) if !a.closes());
    if !is_kept {
        *kept = None;
    }
    Filing {
        router,
        sent,
        ended: (!matches!(ending, Ending::Silent)).then(|| (Instant::now(), text)),
    }
}

/// Sends one stream request and returns how it ended.
fn draft(world: &World, router: &Router, number: u64) -> String {
    let id = request_id();
    let key = format!("Bearer {KEY}");
    let parts = format!("5c1e07a2:5382,{number:x}:6610");
    let headers = [
        ("Host", HOST),
        ("Request-Id", id.as_str()),
        ("Deadline-Ms", "12000"),
        ("Authorization", key.as_str()),
        ("Model", "m"),
        ("Token-Usage", "11992,400"),
        ("Prompt-Prefix", parts.as_str()),
    ];
    let limit = Duration::from_millis(12_500);
    let ending = http::call(router.front, "POST", "/drafts/a", &headers, b"notes", limit);
    let text = match ending {
        Ending::Answer(answer) => format!("{} with {} bytes", answer.status(), answer.body.len()),
        Ending::Lost(error) => format!("lost: {error}"),
        Ending::Silent => "no answer".to_owned(),
    };
    world
        .record
        .line(&format!("{} draft {id} {text}", router.name));
    text
}

/// Sends bytes in chunks until the caller closes; none of them ends an event.
fn flood(record: &world::Record, server: &str, stream: &mut TcpStream) -> std::io::Result<bool> {
    let mut one = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
    one.extend(std::iter::repeat_n(b'?', CHUNK_BYTES));
    one.extend_from_slice(b"\r\n");
    let many: Vec<u8> = one.iter().copied().cycle().take(one.len() * 512).collect();
    let began = Instant::now();
    let mut sent = 0;
    let error = loop {
        match stream.write(&many[sent % one.len()..]) {
            Ok(0) => break "closed".to_owned(),
            Ok(count) => sent += count,
            Err(error) => break error.to_string(),
        }
        if began.elapsed() > Duration::from_secs(90) {
            break "the end of the case".to_owned();
        }
    };
    let payload = sent / one.len() * CHUNK_BYTES;
    let ms = began.elapsed().as_millis();
    record.line(&format!(
        "server {server} sent {payload} bytes in {} chunks in {ms} ms, then: {error}",
        sent / one.len()
    ));
    Ok(false)
}

fn portal(work: Duration) -> Behaviour {
    Arc::new(move |_, request, stream| world::answer_plain(request, stream, work))
}

/// The answers that are still to be bytes without end, and the server that gives them.
#[derive(Default)]
struct Faults {
    left: u32,
    server: Option<String>,
}

impl Faults {
    /// Returns whether the next answer of a server is bytes without end.
    fn take(&mut self, server: &str) -> bool {
        if self.left == 0 || self.server.as_deref().is_some_and(|s| s != server) {
            return false;
        }
        self.left -= 1;
        self.server = Some(server.to_owned());
        true
    }
}

/// Model server of whose answers some are bytes without end.
fn engine(world: &World, faults: &Arc<Mutex<Faults>>) -> Behaviour {
    let (faults, record) = (Arc::clone(faults), Arc::clone(&world.record));
    Arc::new(move |server, request: &Message, stream| {
        let id = server.id();
        if faults.lock().expect("no panic").take(&id) {
            record.line(&format!("server {id} sends bytes without end"));
            world::begin_stream(request, stream)?;
            return flood(&record, &id, stream);
        }
        let gap = Duration::from_millis(40);
        world::answer_stream(request, stream, Duration::from_millis(100), 40, gap)
    })
}

/// Returns whether of the filings that were unanswered at the timeout more than half had no answer
/// half a second later.
fn judge_timeouts(world: &World, filings: &[Filing]) -> bool {
    let unanswered = |limit: Duration| {
        let open = |f: &&Filing| f.ended.as_ref().is_none_or(|(at, _)| *at - f.sent > limit);
        filings.iter().filter(open).count()
    };
    let at_timeout = unanswered(TIMEOUT);
    let later = unanswered(TIMEOUT + SLACK);
    let answered = filings
        .iter()
        .filter(|f| f.ended.as_ref().is_some_and(|(_, t)| t == "200"));
    world.record.tell(&format!(
        "filings: {} sent, {} answered with 200, {at_timeout} unanswered at the timeout, {later} of them 0.5 s later",
        filings.len(),
        answered.count(),
    ));
    at_timeout > 0 && 2 * later > at_timeout
}

/// A few answers of a model server are bytes without end, in small chunks.
pub fn stream(world: &World) -> bool {
    let config = Config::default().json();
    world.store.write(&[("op", "config", Some(&config))]);
    let faults = Arc::new(Mutex::new(Faults::default()));
    for number in 1..=3 {
        let zone = format!("zona{number}");
        let engine = engine(world, &faults);
        Server::start(
            world,
            &format!("i-engine{number}"),
            config::ENGINES,
            &zone,
            64,
            engine,
        );
        let portal = portal(Duration::from_millis(60));
        Server::start(
            world,
            &format!("i-portal{number}"),
            config::PORTAL,
            &zone,
            6,
            portal,
        );
    }
    let routers: Vec<Router> = (1..=3)
        .map(|n| world.router(&format!("front-{n}"), &format!("zona{n}"), world.ip(n)))
        .collect();
    routers.iter().for_each(|r| world.await_ready(r));
    thread::sleep(Duration::from_secs(2));
    let entry = Entry::start(world, &routers);
    let clients: Vec<Clients> = (0..3).map(|z| Clients::start(world, &entry, z)).collect();
    thread::scope(|scope| {
        for number in 1..=DRAFTS {
            if number == FAULTY_DRAFT && world.trouble {
                faults.lock().expect("no panic").left = FAULTY_ANSWERS;
            }
            // Some callers come together.
            let callers = if number == FAULTY_DRAFT { 8 } else { 1 };
            for caller in 0..callers {
                let (router, prompt) = (&routers[0], 1_000 * caller + number);
                scope.spawn(move || draft(world, router, prompt));
            }
            thread::sleep(DRAFT_PERIOD);
        }
        thread::sleep(Duration::from_secs(8));
    });
    let filings: Vec<Filing> = clients.into_iter().flat_map(Clients::stop).collect();
    for router in &routers {
        let of: Vec<Filing> = filings
            .iter()
            .filter(|f| f.router == router.name)
            .cloned()
            .collect();
        world.record.tell(&format!("{}:", router.name));
        judge_timeouts(world, &of);
    }
    judge_timeouts(world, &filings)
}

/// The platform's entry: it asks each machine for readiness once a second and sends new channels to
/// the next machine while one has missed twice.
struct Entry {
    machines: Vec<Machine>,
}

struct Machine {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    in_rotation: AtomicBool,
}

impl Entry {
    fn start(world: &World, routers: &[Router]) -> Arc<Self> {
        let machines = routers.iter().map(|r| Machine {
            name: r.name.clone(),
            front: r.front,
            ready: r.ready,
            in_rotation: AtomicBool::new(true),
        });
        let entry = Arc::new(Self {
            machines: machines.collect(),
        });
        for at in 0..entry.machines.len() {
            let (entry, record) = (Arc::clone(&entry), Arc::clone(&world.record));
            thread::spawn(move || entry.machines[at].watch(&record));
        }
        entry
    }

    /// Returns the machine that gets a new channel of the zone of machine `at`.
    fn machine(&self, at: usize) -> &Machine {
        let number = self.machines.len();
        let nearest = (0..number).map(|n| &self.machines[(at + n) % number]);
        let mut ready = nearest.filter(|m| m.in_rotation.load(Ordering::SeqCst));
        ready.next().unwrap_or(&self.machines[at])
    }
}

impl Machine {
    fn watch(&self, record: &world::Record) {
        let mut misses = 0;
        loop {
            let due = Instant::now() + Duration::from_secs(1);
            let ready = world::is_ready(self.ready, Duration::from_secs(1));
            misses = if ready { 0 } else { misses + 1 };
            let rotates = misses < 2;
            if self.in_rotation.swap(rotates, Ordering::SeqCst) != rotates {
                record.line(&format!("{} in rotation: {rotates}", self.name));
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
}
