//! The project's own process, started as the deploy file starts it.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Call;

/// Program, as in the deploy file; relative to the repository.
const PROGRAM: &str = "target/release/hibiscusrail-front";
/// Template of the settings, as in the deploy file.
const TEMPLATE: &str = "platform/settings.ini";

/// Limits of a machine.
#[derive(Debug, Clone, Copy)]
pub struct Host {
    pub memory_mb: u32,
    pub descriptors: u32,
}

pub struct Router {
    pub name: String,
    pub address: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    /// Whether this program ended the process.
    pub killed: bool,
}

fn free_port() -> u16 {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("loopback is available");
        let address = tcp.local_addr().expect("the listener is bound");
        if UdpSocket::bind(address).is_ok() {
            return address.port();
        }
    }
}

/// Fills the template with the fields of a small deployment; leaves out the sections without value.
fn settings(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    if let (Some(from), Some(to)) = (text.find("{{#"), text.rfind("{{/")) {
        let end = text[to..].find("}}").map_or(text.len(), |e| to + e + 2);
        text.replace_range(from..end, "");
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a field of the template is not known");
    text
}

impl Router {
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr, host: Host) -> Self {
        let [front, ready, peer, metrics] = [(); 4].map(|()| free_port());
        let at = |port: u16| format!("127.0.0.1:{port}");
        let fields = [
            ("node-name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", at(front)),
            ("listen.ready-addr", at(ready)),
            ("ip", "127.0.0.1".to_owned()),
            ("internal-ports.0", peer.to_string()),
            ("internal-ports.1", metrics.to_string()),
            ("limits.max-fds", host.descriptors.to_string()),
            ("limits.memory-mb", host.memory_mb.to_string()),
            ("bounds.grace-s", "8".to_owned()),
            ("platform.address", store.to_string()),
            ("bounds.retry-budget-ratio", "0.2".to_owned()),
            ("bounds.budget-slack", "54".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
            ("bounds.cold-overrun", "1.5".to_owned()),
            ("bounds.cold-slack", "5".to_owned()),
            ("bounds.drain-ms", "2000".to_owned()),
            ("bounds.quota-window-s", "4".to_owned()),
        ];
        let template = fs::read_to_string(TEMPLATE).expect("the template is in the repository");
        let file = folder.join(format!("{name}.ini"));
        fs::write(&file, settings(&template, &fields)).expect("the folder is writable");
        let log = folder.join(format!("{name}.log"));
        Self {
            name: name.to_owned(),
            address: at(front).parse().expect("it is an address"),
            ready: at(ready).parse().expect("it is an address"),
            child: spawn(&file, &log),
            killed: false,
            settings: file,
            log,
        }
    }

    /// Waits until the process says that it is ready.
    pub fn await_ready(&self, until: Instant) -> bool {
        while Instant::now() < until {
            let call = Call {
                to: self.ready,
                method: "GET",
                path: "/api/ready".to_owned(),
                headers: vec![("Host".to_owned(), "ready".to_owned())],
                body: Vec::new(),
                budget: Duration::from_millis(500),
            };
            if call.run().status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        self.killed = true;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
        self.killed = false;
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns a figure of the process's status in bytes, such as `VmHWM`.
    pub fn memory(&self, name: &str) -> Option<usize> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(':'))?;
        let kib: usize = line.split_whitespace().next()?.parse().ok()?;
        Some(kib * 1_024)
    }

    /// Returns the lines of the process's log that contain a word.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let text = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines = text.lines().filter(|l| l.contains(word));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let file = File::options().create(true).append(true).open(log);
    let log = file.expect("the folder is writable");
    let errors = log.try_clone().expect("the log is open");
    let keep = ["PATH", "HOME", "LANG"].map(|n| (n, std::env::var_os(n).unwrap_or_default()));
    Command::new(PROGRAM)
        .env_clear()
        .envs(keep)
        .env("HIBISCUSRAIL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program is built")
}
