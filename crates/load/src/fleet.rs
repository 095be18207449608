//! Starts a deployment as processes on loopback and stops them by pid.

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

/// Time for a process to open its address.
const START_TIME: Duration = Duration::from_secs(10);
/// Token of the operator of every fleet that is started here.
pub const ADMIN_TOKEN: &str = "an-operators-token";
/// Pause between two looks at a starting process.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Why a fleet could not be started.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A file could not be written.
    #[snafu(display("writing {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A program could not be started.
    #[snafu(display("starting {name}: {source}"))]
    Start {
        /// The process.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// A process did not open its address in time.
    #[snafu(display("{name} did not open {address} in time"))]
    Silent {
        /// The process.
        name: String,
        /// Its address.
        address: SocketAddr,
    },
}

/// Settings of routers beside those that the deployment gives.
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

    /// Sets how free slots are shared.
    #[must_use]
    pub fn with_policy(self, mode: &str) -> Self {
        self.with("policy", "policy", mode)
    }
}

/// A signal that an experiment sends to a process that it started.
#[id]
pub enum Signal {
    /// Stop gracefully.
    Term,
    /// End at once.
    Kill,
    /// Pause.
    Stop,
    /// Go on after a pause.
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
    /// Name of the router or server.
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

    /// Waits until the process ends; none when it still runs after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.forget();
                return Some(status);
            }
            std::thread::sleep(LOOK_PAUSE);
        }
        None
    }

    /// Forgets the pid, which may now be given to another process.
    fn forget(&self) {
        let pid = Pid::from_child(&self.child);
        let mut started = STARTED.lock().expect("no holder panics");
        started.retain(|p| *p != pid);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.forget();
    }
}

/// Processes that were started here and not yet waited for.
static STARTED: Mutex<Vec<Pid>> = Mutex::new(Vec::new());

/// Ends every process that was started here, by pid.
///
/// For a tool that is stopped by a signal and can't drop its fleet.
///
/// # Panics
///
/// When another thread panicked while it started a process.
pub fn kill_started() {
    for pid in STARTED.lock().expect("no holder panics").drain(..) {
        // Fails only for a process that has ended.
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
    /// Starts platform and servers of `deployment`, with settings and logs in `dir`.
    ///
    /// Programs are looked for beside the running one.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or a process does not start.
    pub fn start_back(deployment: &Deployment, dir: &Path) -> Result<Self, FleetError> {
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

    /// Sets further settings of routers that are started from now on.
    #[must_use]
    pub fn with_options(mut self, options: RouterOptions) -> Self {
        self.options = options;
        self
    }

    /// Sets further settings of routers that are started from now on.
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
        let (cold, warm) = (server.cold.to_string(), server.warm.to_string());
        let mut args = vec!["--listen", &listen];
        if server.model {
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

    /// Starts a router, also one that ran before.
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
        wait_open(name, address)
    }

    /// Returns a process by name.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes.iter_mut().rev().find(|p| p.name == name)
    }
}

fn wait_open(name: &str, address: SocketAddr) -> Result<(), FleetError> {
    let until = Instant::now() + START_TIME;
    while TcpStream::connect(address).is_err() {
        if Instant::now() > until {
            return SilentSnafu { name, address }.fail();
        }
        std::thread::sleep(LOOK_PAUSE);
    }
    Ok(())
}

/// Returns the settings of one router.
#[must_use]
pub fn settings(deployment: &Deployment, router: &RouterSpec, dir: &Path) -> String {
    settings_with(deployment, router, dir, &RouterOptions::default())
}

/// Returns the settings of one router with options beside.
///
/// An option goes before what the deployment gives.
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

/// Puts the first configuration into the platform's table.
///
/// # Errors
///
/// Fails when the platform refuses it.
pub async fn seed(deployment: &Deployment) -> Result<(), Box<dyn std::error::Error>> {
    let peer = deployment.platform;
    let mut connection = hibiscusrail_net::connect(peer, START_TIME).await?;
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
