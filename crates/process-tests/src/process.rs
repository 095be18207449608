//! The router's process.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Serialises the tests: each needs memory and processor time for a crowd of clients.
static LOCK: Mutex<()> = Mutex::new(());

/// Waits until no other test runs.
pub fn lock() -> MutexGuard<'static, ()> {
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ports for routers: below those that the system gives to sockets which name none, by default. It could
/// give one of those to another socket before the router listens, or while it is down.
const PORTS: Range<u16> = 10_000..32_000;
/// Distance of the first ports of processes with successive ids.
const PROCESS_PORTS: u32 = 97;

/// Returns different loopback addresses that are free at present, and that this process has not returned
/// before.
///
/// # Panics
///
/// If no port is free.
#[must_use]
pub fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    static USED: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORTS.end - PORTS.start);
    let first = std::process::id().wrapping_mul(PROCESS_PORTS) % count;
    [(); N].map(|()| {
        loop {
            let used = USED.fetch_add(1, Ordering::Relaxed);
            assert!(used < count, "a port is free");
            let offset = u16::try_from((first + used) % count).unwrap_or(0);
            let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    })
}

/// Signal to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Stops it in an orderly way.
    Terminate,
    /// Pauses it.
    Pause,
    /// Has it go on.
    Resume,
    /// Has it read its settings again.
    Reload,
}

/// A running router; it is killed when dropped.
#[derive(Debug)]
pub struct Router {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address at which the platform asks whether the router takes new connections.
    pub ready: SocketAddr,
    child: Child,
    settings: PathBuf,
    /// File to which the processes' logs are appended, if they are kept.
    logs: Option<PathBuf>,
}

impl Router {
    /// Starts a router on a host with `memory_mb` megabytes whose store is at `store`.
    ///
    /// # Panics
    ///
    /// If the program is not built, which `cargo test --workspace` does, or does not start.
    #[must_use]
    pub fn start(store: SocketAddr, memory_mb: u32) -> Self {
        Self::start_named("r1", store, memory_mb)
    }

    /// Starts a router with a name, like [`Self::start`].
    ///
    /// # Panics
    ///
    /// If the program is not built or does not start.
    #[must_use]
    pub fn start_named(name: &str, store: SocketAddr, memory_mb: u32) -> Self {
        let [address, ready, peer, metrics] = free_addresses();
        let logs = log_folder().map(|folder| folder.join(format!("{name}.log")));
        let level = if logs.is_some() { "info" } else { "warn" };
        let text = format!(
            "[front]\nname = {name}\nzone = z1\nlisten = {address}\nready_listen = {ready}\n\
             peer_listen = {peer}\nmetrics_listen = {metrics}\nlog_level = {level}\n\
             memory = {memory_mb}\n[store]\naddress = {store}\n"
        );
        let file = format!("hibiscusrail-{}-{}.ini", std::process::id(), address.port());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, text).expect("the folder for temporary files is writable");
        Self {
            address,
            ready,
            child: spawn(&settings, logs.as_deref()),
            settings,
            logs,
        }
    }

    /// Kills the process if it runs, and starts it again with the same settings.
    ///
    /// # Panics
    ///
    /// If the program does not start.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings, self.logs.as_deref());
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Both fail only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to the process if it runs.
    ///
    /// # Panics
    ///
    /// If the system has no program `kill`.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_alive() {
            return;
        }
        let name = match signal {
            Signal::Terminate => "-TERM",
            Signal::Pause => "-STOP",
            Signal::Resume => "-CONT",
            Signal::Reload => "-HUP",
        };
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        sent.expect("the system sends signals");
    }

    /// Returns whether the process runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns a figure of the process's status in bytes, such as `VmHWM` or `VmRSS`.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    #[must_use]
    pub fn memory(&self, name: &str) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).expect("the process runs");
        let value = text.lines().find_map(|l| {
            let (key, value) = l.split_once(':')?;
            (key == name).then_some(value.trim())
        });
        let kib = value.and_then(|v| v.split(' ').next()?.parse::<usize>().ok());
        kib.expect("the system reports memory") * 1_024
    }

    /// Returns the number of open descriptors.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    #[must_use]
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("the process runs").count()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        // A file that is left behind does no harm.
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns the folder that the environment variable `ROUTER_LOGS` names for the routers' logs.
fn log_folder() -> Option<PathBuf> {
    std::env::var_os("ROUTER_LOGS").map(PathBuf::from)
}

/// Starts the router's program, which is beside the test's folder.
fn spawn(settings: &Path, logs: Option<&Path>) -> Child {
    let output = logs.map_or_else(Stdio::null, |path| {
        let file = fs::OpenOptions::new().create(true).append(true).open(path);
        file.expect("the folder for logs is writable").into()
    });
    let test = std::env::current_exe().expect("the test has a path");
    let folder = test.ancestors().nth(2).expect("tests are in target/*/deps");
    let program = folder.join("hibiscusrail-front");
    let child = Command::new(&program)
        .arg("--config")
        .arg(settings)
        .stdout(output)
        .stderr(Stdio::null())
        .spawn();
    child.unwrap_or_else(|e| panic!("{}: {e}", program.display()))
}
