//! Servers: plain ones and model servers, which crash on the requests that a case names.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::http::{Head, read_request};
use crate::record::Record;
use crate::store::Store;

/// Interval of the servers' check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Check-in intervals of silence after which an entry is removed.
const LAPSE: Duration = Duration::from_millis(3_600);

/// Kind of the answers.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// An answer after some work.
    Plain { work: Duration },
    /// A stream of events after the prompt was read.
    Engine {
        first: Duration,
        pause: Duration,
        events: u64,
    },
}

/// Decides whether a server crashes as it begins to run a request.
pub type Crashes = Arc<dyn Fn(&Head, &[u8]) -> bool + Send + Sync>;

/// How a server is set up.
#[derive(Clone)]
pub struct Setup {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub kind: Kind,
    pub crashes: Crashes,
    /// Time from a crash to the next start.
    pub down: Duration,
    /// Whether it starts again under the id that it had.
    pub keeps_id: bool,
}

/// A request that a server received and did not turn away.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub request: String,
    pub server: String,
    pub crashed: bool,
}

pub struct Server {
    setup: Setup,
    address: SocketAddr,
    store: Arc<Store>,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    life: Mutex<Life>,
    running: AtomicUsize,
}

struct Life {
    id: String,
    version: String,
    /// Time from a start to the first check-in.
    silent: Duration,
    born: u64,
    number: u64,
    up: bool,
    down_since: Instant,
    streams: Vec<TcpStream>,
}

fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
}

impl Server {
    pub fn start(
        setup: Setup,
        store: &Arc<Store>,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is available");
        let server = Arc::new(Self {
            address: listener.local_addr().expect("the listener is bound"),
            store: Arc::clone(store),
            record: record.clone(),
            arrivals: Arc::clone(arrivals),
            life: Mutex::new(Life {
                id: format!("i-{}-1", setup.name),
                version: setup.version.clone(),
                silent: Duration::ZERO,
                born: epoch_ms(),
                number: 1,
                up: true,
                down_since: Instant::now(),
                streams: Vec::new(),
            }),
            running: AtomicUsize::new(0),
            setup,
        });
        let own = Arc::clone(&server);
        thread::spawn(move || own.live(listener));
        let own = Arc::clone(&server);
        thread::spawn(move || own.check_in());
        server
    }

    /// Accepts connections while the server is up, and starts again after a crash.
    fn live(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            listener
                .set_nonblocking(true)
                .expect("the listener is open");
            while self.is_up() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let own = Arc::clone(&self);
                        thread::spawn(move || own.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            thread::sleep(self.setup.down);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(5)),
                }
            };
            let mut life = self.life.lock().expect("no panic");
            if !self.setup.keeps_id {
                self.store.put("servers", &life.id, None);
                life.number += 1;
                life.id = format!("i-{}-{}", self.setup.name, life.number);
            }
            life.born = epoch_ms();
            life.up = true;
            let text = format!("server {} is back, version {}", life.id, life.version);
            self.record.add(text);
            if life.silent.is_zero() {
                drop(life);
                self.register(1);
            }
        }
    }

    fn is_up(&self) -> bool {
        self.life.lock().expect("no panic").up
    }

    fn register(&self, sequence: u64) {
        let life = self.life.lock().expect("no panic");
        if !life.up {
            return;
        }
        let row = json!({"service": self.setup.service, "address": self.address.to_string(),
            "zone": self.setup.zone, "version": life.version, "slots": self.setup.slots,
            "state": "ready", "cold-remaining-ms": 0, "sequence": sequence, "born": life.born,
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]});
        self.store.put("servers", &life.id, Some(&row));
    }

    /// Writes the server's entry while it is up; the platform removes it after a silence.
    fn check_in(&self) {
        let mut sequence = 0;
        let mut born = 0;
        let mut removed = false;
        loop {
            let (up, now_born, id, since) = {
                let life = self.life.lock().expect("no panic");
                (life.up, life.born, life.id.clone(), life.down_since)
            };
            if up {
                if born != now_born {
                    let silent = self.life.lock().expect("no panic").silent;
                    thread::sleep(silent);
                }
                sequence = if born == now_born { sequence + 1 } else { 2 };
                born = now_born;
                removed = false;
                self.register(sequence);
                thread::sleep(HEARTBEAT);
            } else {
                if since.elapsed() >= LAPSE && !removed {
                    self.store.put("servers", &id, None);
                    removed = true;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Ends the server and starts it again, after the time for which it is down, with another version
    /// of its software; it checks in for the first time `silent` after its start.
    pub fn upgrade(&self, version: &str, silent: Duration) {
        let mut life = self.life.lock().expect("no panic");
        life.version = version.to_owned();
        life.silent = silent;
        drop(life);
        self.crash("an upgrade in place");
    }

    /// Ends the server at once: its connections close and later ones are refused.
    fn crash(&self, request: &str) {
        let mut life = self.life.lock().expect("no panic");
        if !life.up {
            return;
        }
        life.up = false;
        life.down_since = Instant::now();
        self.record
            .add(format!("server {} ends: {request}", life.id));
        for stream in life.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let born = {
            let mut life = self.life.lock().expect("no panic");
            if !life.up {
                return;
            }
            if let Ok(clone) = stream.try_clone() {
                life.streams.push(clone);
            }
            if life.streams.len() > 4_000 {
                life.streams.drain(..2_000);
            }
            life.born
        };
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        let mut stream = stream;
        while let Ok((head, body)) = read_request(&mut reader) {
            let is_same = {
                let life = self.life.lock().expect("no panic");
                life.up && life.born == born
            };
            if !is_same || self.answer(&head, &body, &mut stream).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, head: &Head, body: &[u8], stream: &mut TcpStream) -> io::Result<()> {
        let (id, version) = {
            let life = self.life.lock().expect("no panic");
            (life.id.clone(), life.version.clone())
        };
        let request = head.header("request-id").unwrap_or_default().to_owned();
        if head.header("expect-instance").is_some_and(|e| e != id) {
            return write!(
                stream,
                "HTTP/1.1 421 X\r\nRequest-Id: {request}\r\nInstance: {id}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed);
        let result = self.run(head, body, (&id, &version), &request, running, stream);
        self.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn run(
        &self,
        head: &Head,
        body: &[u8],
        (id, version): (&str, &str),
        request: &str,
        running: usize,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        if running >= 4 * self.setup.slots as usize {
            return write!(
                stream,
                "HTTP/1.1 503 X\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
        }
        let crashes = (self.setup.crashes)(head, body);
        let last = head
            .header("last-event-id")
            .and_then(|e| e.parse::<u64>().ok());
        self.arrivals.lock().expect("no panic").push(Arrival {
            at: self.record.now(),
            request: request.to_owned(),
            server: id.to_owned(),
            crashed: crashes,
        });
        self.record.add(format!(
            "server {id} ({} {}) runs {request}{}",
            self.setup.service,
            version,
            last.map_or_else(String::new, |l| format!(" after event {l}")),
        ));
        match self.setup.kind {
            Kind::Plain { work } => {
                thread::sleep(work);
                if crashes {
                    self.crash(request);
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                let text = format!("done {request}\n");
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: {id}.{request}\r\n\
                     Content-Length: {}\r\n\r\n{text}",
                    text.len()
                )?;
            }
            Kind::Engine {
                first,
                pause,
                events,
            } => {
                thread::sleep(first);
                if crashes {
                    self.crash(request);
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: {id}.{request}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                )?;
                for number in last.unwrap_or(0) + 1..=events {
                    let event = format!("id: {number}\ndata: {version}\n\n");
                    write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
                    thread::sleep(pause);
                }
                write!(stream, "0\r\n\r\n")?;
            }
        }
        Ok(())
    }
}

/// Makes ids of requests.
pub fn next_id(prefix: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{prefix}{:08x}", NEXT.fetch_add(1, Ordering::Relaxed))
}
