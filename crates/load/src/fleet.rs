//! Starts the processes of a deployment on loopback and stops them by pid.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, record};
use rustix::process::Pid;
use snafu::{ResultExt, Snafu};

use crate::deployment::{Deployment, RouterSpec, ServerSpec};

/// Timeout for a started process to listen on its address.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Operator's token of every fleet that this module starts.
pub const ADMIN_TOKEN: &str = "an-operators-token";
/// Interval between two checks of a process that starts or stops.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error of starting a fleet.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A file could not be written.
    #[snafu(display("writing {}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A program could not be started.
    #[snafu(display("starting {name}: {source}"))]
    Start {
        /// Name of the process.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A process did not listen on its address in time.
    #[snafu(display("{name} did not listen on {address} in time"))]
    NotListening {
        /// Name of the process.
        name: String,
        /// Address of the process.
        address: SocketAddr,
    },
}

/// Settings of routers that override or add to those of the deployment.
#[record]
#[derive(Default)]
pub struct RouterOptions {
    /// Keys and values by section.
    sections: BTreeMap<String, BTreeMap<String, String>>,
}

impl RouterOptions {
    /// Sets a key of a section.
    #[must_use]
    pub fn with(mut self, section: &str, key: &str, value: &str) -> Self {
        let keys = self.sections.entry(section.to_owned()).or_default();
        keys.insert(key.to_owned(), value.to_owned());
        self
    }

    /// Sets a key of a section unless it is set.
    #[must_use]
    fn with_default(mut self, section: &str, key: &str, value: &str) -> Self {
        let keys = self.sections.entry(section.to_owned()).or_default();
        keys.entry(key.to_owned())
            .or_insert_with(|| value.to_owned());
        self
    }

    /// Sets the policy by which free slots are shared.
    #[must_use]
    pub fn with_policy(self, policy: &str) -> Self {
        self.with("policy", "policy", policy)
    }
}

/// Signal that an experiment sends to a process of its fleet.
#[id]
pub enum Signal {
    /// Stops the process gracefully.
    Term,
    /// Kills the process.
    Kill,
    /// Pauses the process.
    Stop,
    /// Continues a paused process.
    Cont,
}

impl From<Signal> for rustix::process::Signal {
    fn from(signal: Signal) -> Self {
        match signal {
            Signal::Term => Self::TERM,
            Signal::Kill => Self::KILL,
            Signal::Stop => Self::STOP,
            Signal::Cont => Self::CONT,
        }
    }
}

/// A process of the fleet.
#[derive(Debug)]
pub struct Process {
    /// Name of the router, server or stand-in.
    pub name: String,
    child: Child,
}

impl Process {
    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_child(&self.child);
        Ok(rustix::process::kill_process(pid, signal.into())?)
    }

    /// Waits until the process ends; returns `None` if it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.remove_started();
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Removes the pid from [`STARTED`], because the system may now reuse it.
    fn remove_started(&self) {
        let pid = Pid::from_child(&self.child);
        let mut started = STARTED.lock().expect("no holder panics");
        started.retain(|p| *p != pid);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.remove_started();
    }
}

/// Pids of the processes that this module started and has not yet waited for.
static STARTED: Mutex<Vec<Pid>> = Mutex::new(Vec::new());

/// Kills every process that this module started.
///
/// For a program that is stopped by a signal and can't drop its fleet.
///
/// # Panics
///
/// When another thread panicked while it started a process.
pub fn kill_started() {
    for pid in STARTED.lock().expect("no holder panics").drain(..) {
        // Fails only if the process has already ended.
        let _ = rustix::process::kill_process(pid, rustix::process::Signal::KILL);
    }
}

/// The processes of a deployment.
#[derive(Debug)]
pub struct Fleet {
    programs: PathBuf,
    dir: PathBuf,
    options: RouterOptions,
    processes: Vec<Process>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
    }
}

impl Fleet {
    /// Starts the platform, relay and servers of `deployment`; settings and logs go to `dir`.
    ///
    /// Programs are looked up in the directory of the running one.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or a process does not start.
    pub fn start_backends(deployment: &Deployment, dir: &Path) -> Result<Self, FleetError> {
        std::fs::create_dir_all(dir).context(FileSnafu { path: dir })?;
        let programs = std::env::current_exe()
            .ok()
            .and_then(|p| p.parent().map(Path::to_path_buf))
            .unwrap_or_default();
        let mut fleet = Self {
            programs,
            dir: dir.to_path_buf(),
            options: RouterOptions::default(),
            processes: Vec::new(),
        };
        fleet.start_platform(deployment.platform)?;
        if let Some(relay) = deployment.relay {
            let listen = relay.to_string();
            let args = ["--listen", &listen, "relay"];
            fleet.start("relay", "hibiscusrail-standin", &args, relay)?;
        }
        for server in &deployment.servers {
            fleet.start_server(deployment, server)?;
        }
        Ok(fleet)
    }

    /// Sets additional settings for routers that are started from now on.
    #[must_use]
    pub fn with_options(mut self, options: RouterOptions) -> Self {
        self.options = options;
        self
    }

    /// Sets additional settings for routers that are started from now on.
    pub fn set_options(&mut self, options: RouterOptions) {
        self.options = options;
    }

    fn start_platform(&mut self, address: SocketAddr) -> Result<(), FleetError> {
        let listen = address.to_string();
        let args = ["--listen", &listen, "platform"];
        self.start("platform", "hibiscusrail-standin", &args, address)
    }

    /// Starts the stand-in of one server.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn start_server(
        &mut self,
        deployment: &Deployment,
        server: &ServerSpec,
    ) -> Result<(), FleetError> {
        let listen = server.address.to_string();
        let (cold, warm) = (server.cold_limit.to_string(), server.warm_limit.to_string());
        let mut args = vec!["--listen", &listen];
        if server.is_model {
            args.extend(["engine", "--cold", &cold, "--warm", &warm]);
            args.extend(deployment.engine_flags.iter().map(String::as_str));
        } else {
            args.extend(["plain", "--limit", &warm]);
        }
        self.start(&server.name, "hibiscusrail-standin", &args, server.address)
    }

    /// Starts all routers.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or a process does not start.
    pub fn start_routers(&mut self, deployment: &Deployment) -> Result<(), FleetError> {
        self.write("fleet.secret", "a secret for loopback\n")?;
        self.write("admin.token", &format!("{ADMIN_TOKEN}\n"))?;
        for router in &deployment.routers {
            self.start_router(deployment, router)?;
        }
        Ok(())
    }

    /// Starts a router, which may have run before.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or the process does not start.
    pub fn start_router(
        &mut self,
        deployment: &Deployment,
        router: &RouterSpec,
    ) -> Result<(), FleetError> {
        let file = format!("{}.ini", router.name);
        let text = settings_with(deployment, router, &self.dir, &self.options);
        let path = self.write(&file, &text)?;
        let path = path.display().to_string();
        let args = ["--config", &path];
        self.start(&router.name, "hibiscusrail-router", &args, router.listen)
    }

    fn write(&self, file: &str, text: &str) -> Result<PathBuf, FleetError> {
        let path = self.dir.join(file);
        std::fs::write(&path, text).context(FileSnafu { path: &path })?;
        Ok(path)
    }

    fn start(
        &mut self,
        name: &str,
        program: &str,
        args: &[&str],
        address: SocketAddr,
    ) -> Result<(), FleetError> {
        let log = self.dir.join(format!("{name}.log"));
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log);
        let log = file.context(FileSnafu { path: &log })?;
        let child = Command::new(self.programs.join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .context(StartSnafu { name })?;
        STARTED
            .lock()
            .expect("no holder panics")
            .push(Pid::from_child(&child));
        self.processes.retain(|p| p.name != name);
        self.processes.push(Process {
            name: name.to_owned(),
            child,
        });
        wait_listening(name, address)
    }

    /// Returns a process by name.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes.iter_mut().rev().find(|p| p.name == name)
    }
}

fn wait_listening(name: &str, address: SocketAddr) -> Result<(), FleetError> {
    let deadline = Instant::now() + START_TIMEOUT;
    while TcpStream::connect(address).is_err() {
        if Instant::now() > deadline {
            return NotListeningSnafu { name, address }.fail();
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns the settings of one router.
#[must_use]
pub fn settings(deployment: &Deployment, router: &RouterSpec, dir: &Path) -> String {
    settings_with(deployment, router, dir, &RouterOptions::default())
}

/// Returns the settings of one router with options.
///
/// An option overrides the value from the deployment.
#[must_use]
pub fn settings_with(
    deployment: &Deployment,
    router: &RouterSpec,
    dir: &Path,
    options: &RouterOptions,
) -> String {
    let mut all = options.clone();
    for (key, value) in [
        ("name", router.name.clone()),
        ("zone", router.zone.clone()),
        ("listen", router.listen.to_string()),
        ("peer_listen", router.peer.to_string()),
        ("admin_listen", router.admin.to_string()),
        (
            "fleet_secret",
            dir.join("fleet.secret").display().to_string(),
        ),
        ("admin_token", dir.join("admin.token").display().to_string()),
    ] {
        all = all.with_default("router", key, &value);
    }
    let platform = deployment.platform_address(&router.zone).to_string();
    all = all.with_default("platform", "address", &platform);
    for peer in deployment.routers.iter().filter(|p| p.name != router.name) {
        let section = format!("peer {}", peer.name);
        let address = deployment.peer_address(router, peer);
        all = all.with_default(&section, "zone", &peer.zone).with_default(
            &section,
            "address",
            &address.to_string(),
        );
    }
    let mut text = String::new();
    for (section, keys) in &all.sections {
        // Writing to a string never fails.
        let _ = writeln!(text, "[{section}]");
        for (key, value) in keys {
            let _ = writeln!(text, "{key} = {value}");
        }
    }
    text
}

/// Writes the initial configuration to the platform's table.
///
/// # Errors
///
/// Fails when the platform can't be reached or rejects the configuration.
pub async fn seed(deployment: &Deployment) -> Result<(), Box<dyn std::error::Error>> {
    let peer = deployment.platform;
    let mut connection = hibiscusrail_net::connect(peer, START_TIMEOUT).await?;
    let request = http::Request::builder()
        .method(http::Method::POST)
        .uri("/seed")
        .header(http::header::HOST, peer.to_string())
        .body(hibiscusrail_net::json(&deployment.seed()))?;
    let answer = connection.send_request(request).await?;
    if !answer.status().is_success() {
        return Err(format!("platform {peer} refused the seed: {}", answer.status()).into());
    }
    Ok(())
}
