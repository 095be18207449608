//! Starts a deployment as processes on loopback and stops them by pid.

use std::fmt::Write as _;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use snafu::{ResultExt, Snafu};

use crate::deployment::{Deployment, RouterSpec, ServerSpec};

/// Time for a process to open its address.
const START_TIME: Duration = Duration::from_secs(10);
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

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The processes of a deployment.
#[derive(Debug)]
pub struct Fleet {
    programs: PathBuf,
    dir: PathBuf,
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
            processes: Vec::new(),
        };
        fleet.start_platform(deployment.platform)?;
        for server in &deployment.servers {
            fleet.start_server(server)?;
        }
        Ok(fleet)
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
    pub fn start_server(&mut self, server: &ServerSpec) -> Result<(), FleetError> {
        let listen = server.address.to_string();
        let (cold, warm) = (server.cold.to_string(), server.warm.to_string());
        let args: Vec<&str> = if server.model {
            vec![
                "--listen", &listen, "engine", "--cold", &cold, "--warm", &warm,
            ]
        } else {
            vec!["--listen", &listen, "plain", "--limit", &warm]
        };
        self.start(&server.name, "hibiscusrail-standin", &args, server.address)
    }

    /// Starts all routers.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or a process does not start.
    pub fn start_routers(&mut self, deployment: &Deployment) -> Result<(), FleetError> {
        self.write("fleet.secret", "a secret for loopback\n")?;
        self.write("admin.token", "an operator's token\n")?;
        for router in &deployment.routers {
            self.start_router(deployment, router)?;
        }
        Ok(())
    }

    fn start_router(
        &mut self,
        deployment: &Deployment,
        router: &RouterSpec,
    ) -> Result<(), FleetError> {
        let file = format!("{}.ini", router.name);
        let path = self.write(&file, &settings(deployment, router, &self.dir))?;
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
        let log = std::fs::File::create(&log).context(FileSnafu { path: &log })?;
        let child = Command::new(self.programs.join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .context(StartSnafu { name })?;
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
    let dir = dir.display();
    let mut text = format!(
        "[router]\n\
         name = {}\n\
         zone = {}\n\
         listen = {}\n\
         peer_listen = {}\n\
         admin_listen = {}\n\
         fleet_secret = {dir}/fleet.secret\n\
         admin_token = {dir}/admin.token\n\
         \n\
         [platform]\n\
         address = {}\n",
        router.name, router.zone, router.listen, router.peer, router.admin, deployment.platform
    );
    for peer in deployment.routers.iter().filter(|p| p.name != router.name) {
        // Writing to a string never fails.
        let _ = write!(
            text,
            "\n[peer {}]\nzone = {}\naddress = {}\n",
            peer.name, peer.zone, peer.peer
        );
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
