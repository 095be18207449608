//! A small deployment on loopback addresses: the project's routers, the store and stand-in servers.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Ending, Message};
use crate::store::Store;

/// Interval at which a server writes its entry, as `heartbeat-ms` of the site files.
const BEAT: Duration = Duration::from_millis(1_200);
/// `cold-start-s` of the model servers.
const COLD_MS: u64 = 3_000;
/// Seal of the stand-ins' answers.
pub const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(116);

/// Processes that the case has started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of a case that can't run or go on.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("{reason}");
    let processes = PROCESSES.lock().map(|p| p.clone()).unwrap_or_default();
    for pid in processes {
        send_signal("-KILL", pid);
    }
    std::process::exit(2)
}

/// Sends a signal with the shell's own `kill`, which every machine has.
fn send_signal(signal: &str, pid: u32) {
    let command = format!("kill {signal} {pid}");
    let _ = Command::new("sh").args(["-c", &command]).status();
}

/// Ends the case if it takes too long.
pub fn watch_time() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        cannot_run("the case took too long")
    });
}

/// Writes what was sent, answered and run, with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Arc::new(Self {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{ms:>7} {text}");
    }

    /// Writes a line and shows it too.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!("hibiscusrail-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// One process of the project; killed when dropped.
pub struct Router {
    pub name: String,
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Router {
    pub fn signal(&self, signal: &str) {
        send_signal(signal, self.child.id());
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        let pid = self.child.id();
        let _ = self.child.kill();
        let _ = self.child.wait();
        PROCESSES.lock().expect("no panic").retain(|p| *p != pid);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn is_ready(address: SocketAddr, limit: Duration) -> bool {
    let headers = [("Host", "ready"), ("Connection", "close")];
    let ending = http::call(address, "GET", "/api/ready", &headers, b"", limit);
    matches!(ending, Ending::Answer(answer) if answer.status() == 200)
}

/// Facts of the deployment that its parts share.
pub struct World {
    pub folder: Folder,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub trouble: bool,
    logs: PathBuf,
}

impl World {
    pub fn new(case_folder: &Path, trouble: bool) -> Self {
        let folder = Folder::new();
        let record = Record::new(case_folder);
        record.line(&format!("trouble={trouble}"));
        Self {
            logs: folder.0.clone(),
            folder,
            record,
            store: Store::start(),
            trouble,
        }
    }

    /// Returns a loopback address that no other run uses.
    pub fn ip(&self, number: u8) -> Ipv4Addr {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        Ipv4Addr::new(127, 64 | (high & 63), low, number)
    }

    /// Starts a router on `ip` with the settings template of the deploy file filled in.
    pub fn router(&self, name: &str, zone: &str, ip: Ipv4Addr) -> Router {
        let template = fs::read_to_string("platform/settings.ini").expect("the settings template");
        let ports = free_ports(ip);
        let address = |at: usize| SocketAddr::new(IpAddr::V4(ip), ports[at]).to_string();
        let values = BTreeMap::from([
            ("node-name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", address(0)),
            ("listen.ready-addr", address(1)),
            ("ip", ip.to_string()),
            ("internal-ports.0", ports[2].to_string()),
            ("internal-ports.1", ports[3].to_string()),
            ("limits.max-fds", "4100".to_owned()),
            ("limits.memory-mb", "260".to_owned()),
            ("bounds.grace-s", "8".to_owned()),
            ("platform.address", self.store.address.to_string()),
            ("bounds.retry-budget-ratio", "0.2".to_owned()),
            ("bounds.budget-slack", "54".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
            ("bounds.cold-overrun", "1.5".to_owned()),
            ("bounds.cold-slack", "5".to_owned()),
            ("bounds.drain-ms", "2000".to_owned()),
            ("bounds.quota-window-s", "4".to_owned()),
        ]);
        // A section is left out where a deployment lacks its value; these have no rollouts.
        let mut text = template;
        if let Some(start) = text.find("{{#") {
            let end = text.rfind("{{/").expect("the section ends");
            let after = text[end..].find("}}").expect("the tag ends");
            text.replace_range(start..end + after + 2, "");
        }
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "unknown placeholder in the template");
        let settings = self.folder.0.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("settings can be written");
        let log = File::create(self.logs.join(format!("{name}.log"))).expect("a log file");
        let errors = log.try_clone().expect("a second handle");
        let child = Command::new("target/release/hibiscusrail-front")
            .env("HIBISCUSRAIL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("no router: {error}")));
        PROCESSES.lock().expect("no panic").push(child.id());
        let router = Router {
            name: name.to_owned(),
            child,
            front: address(0).parse().expect("an address"),
            ready: address(1).parse().expect("an address"),
        };
        self.record.line(&format!(
            "router {name} pid={} front={}",
            router.pid(),
            router.front
        ));
        router
    }

    /// Waits until a router is ready; the case can't run otherwise.
    pub fn await_ready(&self, router: &Router) {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if is_ready(router.ready, Duration::from_millis(300)) {
                self.record
                    .line(&format!("router {} is ready", router.name));
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run(&format!("{} did not become ready", router.name))
    }
}

/// Four ports of an address that are free for TCP and UDP.
fn free_ports(ip: Ipv4Addr) -> Vec<u16> {
    let held: Vec<(TcpListener, UdpSocket)> = std::iter::from_fn(|| {
        loop {
            let tcp = TcpListener::bind((ip, 0)).expect("a free port");
            let port = tcp.local_addr().expect("an address").port();
            if let Ok(udp) = UdpSocket::bind((ip, port)) {
                return Some((tcp, udp));
            }
        }
    })
    .take(4)
    .collect();
    let ports = held
        .iter()
        .map(|(tcp, _)| tcp.local_addr().expect("an address").port());
    ports.collect()
}

/// What a stand-in server does with a request; returns whether the channel may be used again.
pub type Behaviour =
    Arc<dyn Fn(&Server, &Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync>;

/// Stand-in server that writes its entry to the store.
pub struct Server {
    id: Mutex<String>,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    born: AtomicU64,
    /// Until when the server is cold, in Unix milliseconds.
    cold_until: AtomicU64,
    down: AtomicBool,
    /// Whether the last crash closed no channel.
    dark: AtomicBool,
    /// Number of the present life.
    life: AtomicU64,
    /// Sockets that a crash closes.
    channels: Mutex<Vec<TcpStream>>,
    pub arrivals: AtomicU64,
}

impl Server {
    /// Starts a server; `behaviour` answers what is meant for it.
    pub fn start(
        world: &World,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: Mutex::new(id.to_owned()),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            slots,
            born: AtomicU64::new(unix_ms()),
            cold_until: AtomicU64::new(0),
            down: AtomicBool::new(false),
            dark: AtomicBool::new(false),
            life: AtomicU64::new(0),
            channels: Mutex::default(),
            arrivals: AtomicU64::new(0),
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.down.load(Ordering::SeqCst) {
                    if serving.dark.load(Ordering::SeqCst) {
                        thread::spawn(move || hold(&stream));
                    }
                    continue;
                }
                if let Ok(clone) = stream.try_clone() {
                    serving.channels.lock().expect("no panic").push(clone);
                }
                let (server, behaviour) = (Arc::clone(&serving), Arc::clone(&behaviour));
                thread::spawn(move || server.serve(stream, &behaviour));
            }
        });
        let (beating, store) = (Arc::clone(&server), Arc::clone(&world.store));
        thread::spawn(move || beating.beat(&store));
        server
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = std::io::BufReader::new(stream);
        let life = self.life();
        while let Some(mut request) = http::read_head(&mut reader)? {
            request.body = http::read_body(&mut reader, &request, false)?;
            if self.life() != life {
                hold(&writer);
            }
            let expected = request.header("expect-instance");
            let own = self.id();
            let keep = if expected.is_some_and(|id| id != own) {
                let headers = [("Instance", own.as_str())];
                http::respond(&mut writer, "421 Misdirected Request", &headers, b"")?;
                true
            } else {
                self.arrivals.fetch_add(1, Ordering::SeqCst);
                behaviour(self, &request, &mut writer)?
            };
            if !keep {
                break;
            }
        }
        let _ = writer.shutdown(std::net::Shutdown::Both);
        Ok(())
    }

    fn beat(&self, store: &Store) {
        let mut sequence = 0;
        let mut born = 0;
        loop {
            if !self.down.load(Ordering::SeqCst) {
                let life = self.born.load(Ordering::SeqCst);
                sequence = if life == born { sequence + 1 } else { 1 };
                born = life;
                let cold = self
                    .cold_until
                    .load(Ordering::SeqCst)
                    .saturating_sub(unix_ms());
                let value = format!(
                    r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","cold-remaining-ms":{cold},"sequence":{sequence},"born":{born}}}"#,
                    self.service, self.address, self.zone, self.slots
                );
                store.write(&[("servers", &self.id(), Some(&value))]);
            }
            let life = self.born.load(Ordering::SeqCst);
            let until = Instant::now() + BEAT;
            while Instant::now() < until && self.born.load(Ordering::SeqCst) == life {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    pub fn id(&self) -> String {
        self.id.lock().expect("no panic").clone()
    }

    /// Takes another id for the next life; the old entry is removed after three missed beats.
    pub fn rename(&self, store: &Arc<Store>, id: &str) {
        let old = std::mem::replace(&mut *self.id.lock().expect("no panic"), id.to_owned());
        let store = Arc::clone(store);
        thread::spawn(move || {
            thread::sleep(BEAT * 3);
            store.write(&[("servers", &old, None)]);
        });
    }

    /// Crashes: all channels are reset or closed, and new ones too until [`Self::restart`].
    pub fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        for channel in self.channels.lock().expect("no panic").drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Crashes without closing its channels, like a host without power; what waits there gets no
    /// answer.
    pub fn go_dark(&self) {
        self.dark.store(true, Ordering::SeqCst);
        self.down.store(true, Ordering::SeqCst);
        self.life.fetch_add(1, Ordering::SeqCst);
        self.channels.lock().expect("no panic").clear();
    }

    /// Returns the number of the present life.
    pub fn life(&self) -> u64 {
        self.life.load(Ordering::SeqCst)
    }

    /// Starts again under the same id, as a new life that knows nothing of before.
    pub fn restart(&self) {
        let cold_until = unix_ms() + COLD_MS;
        self.cold_until.store(cold_until, Ordering::SeqCst);
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
    }
}

/// Keeps a channel open without an answer, as one to a host that is gone.
pub fn hold(_channel: &TcpStream) {
    thread::sleep(LIMIT);
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("after 1970").as_millis()).expect("in range")
}

/// Headers of a sound answer to a request.
pub fn answer_headers(request: &Message) -> Vec<(&str, &str)> {
    let id = request.header("request-id").unwrap_or_default();
    vec![("Request-Id", id), ("Response-Seal", SEAL)]
}

/// Answers a plain request after `work`.
pub fn answer_plain(
    request: &Message,
    stream: &mut TcpStream,
    work: Duration,
) -> std::io::Result<bool> {
    thread::sleep(work);
    http::respond(stream, "200 OK", &answer_headers(request), &[b'x'; 800])?;
    Ok(true)
}

/// Writes the head of a streamed answer in chunks.
pub fn begin_stream(request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
    for (name, value) in answer_headers(request) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("Transfer-Encoding: chunked\r\n\r\n");
    stream.write_all(text.as_bytes())
}

pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}

/// Answers a stream with `events` events, one each `gap`, after `first`.
pub fn answer_stream(
    request: &Message,
    stream: &mut TcpStream,
    first: Duration,
    events: u64,
    gap: Duration,
) -> std::io::Result<bool> {
    thread::sleep(first);
    begin_stream(request, stream)?;
    let seen = request
        .header("last-event-id")
        .and_then(|v| v.parse::<u64>().ok());
    for id in seen.map_or(1, |s| s + 1)..=events {
        write_chunk(stream, format!("id: {id}\ndata: tokens\n\n").as_bytes())?;
        thread::sleep(gap);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Id of a client attempt.
pub fn request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let next = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", next.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}
