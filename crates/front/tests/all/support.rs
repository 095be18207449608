//! Runs a router against stand-in servers and sends it raw HTTP requests.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use hibiscusrail_core::SystemClock;
use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::engine::Prompt;
use hibiscusrail_fleet::objects::{
    Backend, Deployment, EngineFacts, Limits, OperatorConfig, Repeat, Revision, Route, Service,
    Target, Workspace,
};
use hibiscusrail_front::protocol::Protocol;
use hibiscusrail_front::shell::Shell;
use hibiscusrail_front::{caller, overload};
use hibiscusrail_net::event_loop::yield_now;
use hibiscusrail_net::{bind, serve_counted};
use hibiscusrail_settings::FrontSettings;
use http::HeaderName;
use rustix::net::{self, AddressFamily, SocketType};

/// Timeout of every wait in these tests.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Silence of [`Act::Pause`]: longer than the read timeout of a request to these routes.
const SILENCE: Duration = Duration::from_millis(900);

/// How a stand-in server handles one request.
#[derive(Clone)]
pub enum Act {
    /// Writes the bytes, with `{id}` replaced by the request id, and keeps the connection open.
    Write(String),
    /// Like [`Act::Write`], then closes the connection.
    Close(String),
    /// Writes the first text, and the second one after a silence longer than the read timeout.
    Pause(String, String),
    /// Like [`Act::Write`], then sends nothing until the router closes the connection.
    Hang(String),
    /// Like [`Act::Close`], but closes the connection after a while.
    CloseLater(String, Duration),
    /// Like [`Act::Write`], then writes further texts, each after a pause.
    Paced(String, Vec<(Duration, String)>),
}

/// A stand-in server that handles each request by the next act, and all later ones by the last.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    received: Rc<RefCell<Vec<String>>>,
    disconnects: Rc<Cell<usize>>,
    /// Socket that keeps the port of a server that refuses connections.
    _reserved: Option<Rc<OwnedFd>>,
}

impl Server {
    pub fn start(acts: Vec<Act>) -> Self {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback is up");
        let server = Self {
            address: listener.local_addr().expect("the listener is bound"),
            received: Rc::default(),
            disconnects: Rc::default(),
            _reserved: None,
        };
        let (own, next) = (server.clone(), Rc::new(Cell::new(0)));
        compio::runtime::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = own.clone().serve(stream, acts.clone(), Rc::clone(&next));
                compio::runtime::spawn(serving).detach();
            }
        })
        .detach();
        server
    }

    /// Returns a server that refuses connections.
    pub fn unreachable() -> Self {
        // A socket that is bound and does not listen. A closed one would leave its port to the router
        // of a test that runs at the same time.
        let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None);
        let socket = socket.expect("the system gives a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        net::bind(&socket, &any).expect("loopback is up");
        let address = net::getsockname(&socket).expect("the socket is bound");
        Self {
            address: address.try_into().expect("it has an address"),
            received: Rc::default(),
            disconnects: Rc::default(),
            _reserved: Some(Rc::new(socket)),
        }
    }

    /// Returns the requests received, each with its body.
    pub fn received(&self) -> Vec<String> {
        self.received.borrow().clone()
    }

    /// Returns the number of connections that the router closed during [`Act::Hang`].
    pub fn disconnects(&self) -> usize {
        self.disconnects.get()
    }

    async fn serve(self, mut stream: TcpStream, acts: Vec<Act>, next: Rc<Cell<usize>>) {
        while let Some(head) = read_request(&mut stream).await {
            let id = header(&head, "x-id").unwrap_or_default();
            self.received.borrow_mut().push(head);
            let act = acts[next.get().min(acts.len() - 1)].clone();
            next.set(next.get() + 1);
            let (Act::Write(text)
            | Act::Close(text)
            | Act::CloseLater(text, _)
            | Act::Hang(text)
            | Act::Pause(text, _)
            | Act::Paced(text, _)) = &act;
            let bytes = text.replace("{id}", &id).into_bytes();
            let BufResult(mut written, _) = stream.write_all(bytes).await;
            if let Act::Pause(_, rest) = &act {
                compio::time::sleep(SILENCE).await;
                let bytes = rest.replace("{id}", &id).into_bytes();
                written = stream.write_all(bytes).await.0;
            }
            if let Act::Paced(_, texts) = &act {
                for (pause, text) in texts {
                    compio::time::sleep(*pause).await;
                    written = stream.write_all(text.clone().into_bytes()).await.0;
                }
            }
            if let Act::CloseLater(_, after) = &act {
                compio::time::sleep(*after).await;
            }
            match (written, act) {
                (Ok(()), Act::Write(_) | Act::Pause(..) | Act::Paced(..)) => {}
                (Ok(()), Act::Hang(_)) => {
                    let BufResult(read, _) = stream.read(vec![0; 1]).await;
                    if matches!(read, Ok(0) | Err(_)) {
                        self.disconnects.set(self.disconnects.get() + 1);
                    }
                    return;
                }
                _ => return,
            }
        }
    }
}

/// Reads a request head and the body that it announces; none if the connection ends first.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    loop {
        if let Some(end) = text.find("\r\n\r\n") {
            let length = header(&text, "content-length").map_or(0, |l| l.parse().unwrap_or(0));
            if text.len() >= end + 4 + length {
                return Some(text);
            }
        }
        let BufResult(read, buffer) = stream.read(vec![0; 4_096]).await;
        match read {
            Ok(count) if count > 0 => {
                text.push_str(std::str::from_utf8(&buffer[..count]).expect("heads are text"));
            }
            _ => return None,
        }
    }
}

/// Returns the value of a header in a message head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Returns the status code of a response; zero if there is none.
pub fn status(response: &str) -> u16 {
    let word = response.split(' ').nth(1).unwrap_or_default();
    word.parse().unwrap_or_default()
}

/// Returns a complete response with a seal; every [`Act`] replaces `{id}`.
pub fn full_response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-seal: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Head of a stream in chunked transfer encoding.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";

/// Returns a chunk of a stream.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns an event of a stream.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// Last chunk of a complete stream.
pub const STREAM_END: &str = "0\r\n\r\n";

pub fn protocol() -> Protocol {
    Protocol {
        request_id: HeaderName::from_static("x-id"),
        deadline: HeaderName::from_static("x-wait-ms"),
        last_event_id: HeaderName::from_static("last-event-id"),
        resumes: HeaderName::from_static("x-resumes"),
        seal: HeaderName::from_static("x-seal"),
        workspace: HeaderName::from_static("x-workspace"),
        expect_server: HeaderName::from_static("x-server"),
        kv_source: HeaderName::from_static("x-copy-from"),
        not_run: HeaderName::from_static("x-not-run"),
        leaving: HeaderName::from_static("x-leaving"),
        rate: HeaderName::from_static("x-rate"),
        server: HeaderName::from_static("x-answered-by"),
        cold: HeaderName::from_static("x-cold"),
        reserved: vec![HeaderName::from_static("x-internal")],
        ready_path: "/ready",
        prompt: |_| Some(Prompt::default()),
        load: |_| Ok(None),
    }
}

const SETTINGS: &str = "[front]
name = r
zone = a
listen = 127.0.0.1:1
ready_listen = 127.0.0.1:2
peer_listen = 127.0.0.1:3
metrics_listen = 127.0.0.1:4
[store]
address = 127.0.0.1:5
";

const ROLLOUT_SETTINGS: &str = "[rollout]
share = 0.1
slack = 50
rollback = 5s
max_skew = 6s
";

/// Returns a destination of a route.
pub fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.to_owned(),
        weight,
    }
}

fn route(name: &str, repeat: Repeat, stream: bool, resumable: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: "host".to_owned(),
        prefix: format!("/{name}/"),
        targets: vec![target(if stream { "engines" } else { "plain" }, 1)],
        repeat,
        stream,
        resumable,
        public: name == "public",
        timeout: Duration::from_secs(5),
        target: Duration::from_millis(300),
        attempts: 2,
        max_pause: None,
        rank: None,
    }
}

fn deployment() -> Deployment {
    let service = |engine| Service {
        health: "/health".to_owned(),
        connections: 100,
        cold_time: Duration::ZERO,
        cold_rate: 0.0,
        engine,
    };
    let facts = EngineFacts {
        slots: 8,
        memory: 1_000,
        event_tokens: 1,
        copies: None,
    };
    Deployment {
        version: 1,
        routes: vec![
            route("once", Repeat::Once, false, false),
            route("again", Repeat::Idempotent, false, false),
            route("public", Repeat::Once, false, false),
            route("stream", Repeat::Once, true, false),
            route("resume", Repeat::Once, true, true),
            Route {
                targets: vec![target("plain", 1)],
                ..route("resume-plain", Repeat::Once, true, true)
            },
            Route {
                targets: vec![target("engines", 1), target("plain", 0)],
                ..route("split", Repeat::Once, true, true)
            },
        ],
        services: BTreeMap::from([
            ("plain".to_owned(), service(None)),
            ("engines".to_owned(), service(Some(facts))),
        ]),
        workspaces: vec![Workspace {
            name: "w".to_owned(),
            keys: vec!["key".to_owned()],
            rank: None,
        }],
        limits: Limits {
            head_bytes: 16 << 10,
            body_bytes: 1_000,
            idle: Duration::from_secs(15),
            throughput: 0.0,
            head_timeout: None,
        },
    }
}

/// A router whose plain servers and engines are the same stand-in servers.
pub struct Front {
    pub shell: Rc<Shell>,
    pub address: SocketAddr,
}

impl Front {
    pub fn start(servers: &[&Server]) -> Self {
        Self::start_with(servers, 100)
    }

    /// Starts a router that accepts up to `connections` callers' connections.
    pub fn start_with(servers: &[&Server], connections: usize) -> Self {
        Self::start_from(SETTINGS, servers, connections)
    }

    /// Starts a router with bounds on rollouts.
    pub fn start_with_rollouts(servers: &[&Server]) -> Self {
        Self::start_from(&format!("{SETTINGS}{ROLLOUT_SETTINGS}"), servers, 100)
    }

    /// Starts a router that has not read the rows of services with several versions.
    pub fn start_without_versions(servers: &[&Server]) -> Self {
        Self::start_unloaded(SETTINGS, servers, 100)
    }

    /// Starts the router `name` of several, whose first list has engines of these versions, and which
    /// has not read the rows of services with several versions. It reads the names of the registered
    /// routers twice.
    pub fn start_member(
        name: &str,
        members: [&[&str]; 2],
        server: &Server,
        versions: &[&str],
    ) -> Self {
        let settings = SETTINGS.replace("name = r\n", &format!("name = {name}\n"));
        let servers = vec![server; versions.len()];
        let front = Self::start_unread(&settings, &servers, versions, 100);
        for members in members {
            let members = members.iter().map(|m| (*m).to_owned()).collect();
            front.shell.handle(Event::Members(members));
        }
        front
    }

    fn start_from(settings: &str, servers: &[&Server], connections: usize) -> Self {
        let front = Self::start_unloaded(settings, servers, connections);
        // The store has no rows of services with several versions.
        front.shell.handle(Event::Versions(0, Vec::new()));
        front
    }

    fn start_unloaded(settings: &str, servers: &[&Server], connections: usize) -> Self {
        let front = Self::start_unread(settings, servers, &[], connections);
        let name = front.shell.settings().name;
        front.shell.handle(Event::Members(vec![name]));
        front
    }

    /// Starts a router that has read neither the routers' rows nor those of services with several
    /// versions.
    fn start_unread(
        settings: &str,
        servers: &[&Server],
        versions: &[&str],
        connections: usize,
    ) -> Self {
        let settings = FrontSettings::parse("test", settings).expect("the settings are valid");
        let shell = Rc::new(Shell::new(settings, protocol(), Box::new(SystemClock)));
        let config = OperatorConfig {
            deployment: Some(deployment()),
            evacuated: BTreeSet::new(),
            rollouts: BTreeMap::new(),
        };
        shell.handle(Event::Config(Revision(1), config));
        let mut entries = BTreeMap::new();
        for service in ["plain", "engines"] {
            for (number, server) in servers.iter().enumerate() {
                let version = versions.get(number).filter(|_| service == "engines");
                let backend = Backend {
                    service: service.to_owned(),
                    address: server.address,
                    zone: "a".to_owned(),
                    version: version.map_or("v1", |v| v).to_owned(),
                    leaving: false,
                    lapsed: false,
                    slots: 8,
                    cold: Duration::ZERO,
                    sequence: 1,
                    born: 1,
                };
                entries.insert(format!("{service}{number}"), backend);
            }
        }
        shell.handle(Event::Servers(Revision(1), entries));
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback is up");
        let address = listener.local_addr().expect("the listener is bound");
        let mut limits = hibiscusrail_net::Limits::new();
        limits.max_connections = connections;
        let counted = Rc::clone(shell.connections());
        overload::install(&shell);
        let serving = serve_counted(listener, limits, caller::handler(&shell), counted);
        compio::runtime::spawn(serving).detach();
        Self { shell, address }
    }

    /// Registers the engines with these versions, in the order of the servers at the start.
    pub fn set_versions(&self, versions: &[&str]) {
        self.set_service_versions("engines", versions);
    }

    /// Registers the servers of a service with these versions, in the order of the servers at the
    /// start.
    pub fn set_service_versions(&self, service: &str, versions: &[&str]) {
        let (mut servers, revision) = self.shell.with_fleet(|f| {
            let registry = f.registry();
            (registry.entries(self.shell.now()), registry.revision())
        });
        for (number, version) in versions.iter().enumerate() {
            let server = servers.get_mut(&format!("{service}{number}"));
            let server = server.expect("there is such a server");
            (*version).clone_into(&mut server.version);
            server.sequence += 1;
        }
        let revision = Revision(revision.0 + 1);
        self.shell.handle(Event::Servers(revision, servers));
    }

    /// Changes the router's deployment configuration.
    pub fn configure(&self, change: impl FnOnce(&mut Deployment)) {
        self.change_config(|config| {
            let deployment = config.deployment.as_mut().expect("there is a deployment");
            change(deployment);
            deployment.version += 1;
        });
    }

    /// Moves all new requests of the route that is split between the services to one of them.
    pub fn move_split(&self, service: &str) {
        self.configure(|deployment| {
            let split = deployment.routes.iter_mut().filter(|r| r.targets.len() > 1);
            for target in split.flat_map(|r| &mut r.targets) {
                target.weight = u32::from(target.service == service);
            }
        });
    }

    /// Evacuates the availability zone of all servers.
    pub fn evacuate(&self) {
        self.change_config(|config| {
            config.evacuated.insert("a".to_owned());
        });
    }

    fn change_config(&self, change: impl FnOnce(&mut OperatorConfig)) {
        let (mut config, revision) = self
            .shell
            .with_fleet(|f| (f.config().clone(), f.config_revision()));
        change(&mut config);
        let revision = Revision(revision.0 + 1);
        self.shell.handle(Event::Config(revision, config));
    }

    /// Makes the router refuse every stream.
    pub fn overload(&self) {
        for _ in 0..50 {
            self.shell.handle(Event::LoopLag(Duration::from_secs(1)));
        }
    }

    /// Sends a request and returns everything received until the connection closes.
    pub async fn call(&self, path: &str, extra: &str) -> String {
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\nx-id: r1\r\n\
             x-wait-ms: 5000\r\nconnection: close\r\n{extra}\r\n"
        );
        self.raw(&text).await
    }

    /// Sends raw bytes and returns everything received until the connection closes.
    pub async fn raw(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("it listens");
        let BufResult(written, _) = stream.write_all(text.as_bytes().to_vec()).await;
        written.expect("the router reads the request");
        compio::time::timeout(TIMEOUT, read_all(&mut stream))
            .await
            .expect("the router responds in time")
    }
}

/// Reads until the text ends with `end`, or the connection closes.
pub async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    while !text.ends_with(end) {
        let BufResult(read, buffer) = stream.read(vec![0; 4_096]).await;
        match read {
            Ok(count) if count > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..count])),
            _ => break,
        }
    }
    text
}

/// Reads until the connection closes.
pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    loop {
        let BufResult(read, buffer) = stream.read(vec![0; 4_096]).await;
        match read {
            Ok(count) if count > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..count])),
            _ => return text,
        }
    }
}

/// Counts the turns of the event loop that a task has which is always ready.
pub fn count_turns() -> Rc<Cell<usize>> {
    let turns = Rc::new(Cell::new(0));
    let counted = Rc::clone(&turns);
    compio::runtime::spawn(async move {
        loop {
            counted.set(counted.get() + 1);
            yield_now().await;
        }
    })
    .detach();
    turns
}

/// Runs a test on its own event loop.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("the event loop is created");
    runtime.block_on(test);
}

/// Waits until the condition is true.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    compio::time::timeout(TIMEOUT, waiting)
        .await
        .expect("the condition becomes true in time");
}
