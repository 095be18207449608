//! Runs a fleet of real processes and controls it during an experiment.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use hibiscusrail_macros::record;
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::runs::{Run, RunPage};
use http::Method;

use super::ExperimentError;
use crate::call;
use crate::client::{CallerRequest, Ending, Operation, send};
use crate::deployment::{Deployment, RouterSpec, ServerSpec, relay_group};
use crate::fleet::{self, ADMIN_TOKEN, Fleet, RouterOptions, Signal};
use crate::machine::ProcessUsage;
use crate::metrics::Metrics;

/// Timeout for a router to serve its first request.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two requests to a router that is not ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Records of one server.
#[record]
pub struct ServerRuns {
    /// The server.
    pub server: ServerSpec,
    /// Runs in order of admission.
    pub runs: Vec<Run>,
    /// Number of requests refused at the concurrency limit.
    pub refused: u64,
}

/// A running fleet with its backend servers and platform.
#[derive(Debug)]
pub struct Lab {
    /// Description of the fleet.
    pub deployment: Deployment,
    /// Processes of the fleet.
    pub fleet: Fleet,
}

impl Lab {
    /// Starts `deployment` and waits until every router serves.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or a router does not become ready.
    pub async fn start(
        deployment: Deployment,
        dir: &Path,
        options: RouterOptions,
    ) -> Result<Self, ExperimentError> {
        // Logs are appended to, so those of earlier experiments are removed.
        let _ = std::fs::remove_dir_all(dir);
        let mut fleet = Fleet::start_backends(&deployment, dir)?.with_options(options);
        if let Some(relay) = deployment.relay {
            call::post(relay, "/routes", &deployment.routes()).await?;
        }
        fleet::seed(&deployment).await?;
        fleet.start_routers(&deployment)?;
        let lab = Self { deployment, fleet };
        for router in &lab.deployment.routers {
            lab.wait_ready(router).await?;
        }
        Ok(lab)
    }

    /// Waits until a router answers a lookup.
    ///
    /// # Errors
    ///
    /// Fails when the router does not answer in time.
    pub async fn wait_ready(&self, router: &RouterSpec) -> Result<(), ExperimentError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let workspace = &self.deployment.workspaces[0];
        while Instant::now() < deadline {
            let operation = Operation::lookup(&self.deployment.plain_service, "ready");
            let request = CallerRequest::new(router.listen, "ready", workspace, operation);
            if send(&request).await.ending == Ending::Right {
                return Ok(());
            }
            compio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(format!("{} did not become ready in time", router.name).into())
    }

    /// Sets additional settings for routers that are started from now on.
    pub fn set_options(&mut self, options: RouterOptions) {
        self.fleet.set_options(options);
    }

    /// Returns a router by name.
    ///
    /// # Panics
    ///
    /// When the deployment has no such router.
    #[must_use]
    pub fn router(&self, name: &str) -> &RouterSpec {
        let mut routers = self.deployment.routers.iter();
        routers
            .find(|r| r.name == name)
            .expect("the deployment has this router")
    }

    /// Returns a server by name.
    ///
    /// # Panics
    ///
    /// When the deployment has no such server.
    #[must_use]
    pub fn server(&self, name: &str) -> &ServerSpec {
        let mut servers = self.deployment.servers.iter();
        servers
            .find(|s| s.name == name)
            .expect("the deployment has this server")
    }

    /// Returns the addresses of the platform and of all servers by name.
    pub fn stand_ins(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        let servers = self.deployment.servers.iter();
        let servers = servers.map(|s| (s.name.as_str(), s.address));
        std::iter::once(("platform", self.deployment.platform)).chain(servers)
    }

    /// Sets the faults of a stand-in, which is `platform` or a server by name.
    ///
    /// # Errors
    ///
    /// Fails when there is no such stand-in or it does not answer.
    pub async fn set_faults(&self, name: &str, faults: &Faults) -> Result<(), ExperimentError> {
        let address = self
            .stand_ins()
            .find(|(n, _)| *n == name)
            .map(|(_, address)| address)
            .ok_or_else(|| format!("unknown stand-in {name}"))?;
        call::post(address, "/faults", faults).await?;
        Ok(())
    }

    /// Cuts the traffic between the ends of each pair, in both directions.
    ///
    /// A pair consists of two zones, or of a zone and `platform`. Pairs that
    /// were cut before and are not named again are healed.
    ///
    /// # Errors
    ///
    /// Fails when the deployment has no relay or it does not answer.
    pub async fn set_cuts(&self, pairs: &[(&str, &str)]) -> Result<(), ExperimentError> {
        let relay = self.deployment.relay.ok_or("the deployment has no relay")?;
        let both = |(a, b): &(&str, &str)| [relay_group(a, b), relay_group(b, a)];
        let groups: Vec<String> = pairs.iter().flat_map(both).collect();
        call::post(relay, "/cuts", &groups).await?;
        Ok(())
    }

    /// Sends a control request, such as `/cold` or `/restart`, to a server's stand-in.
    ///
    /// # Errors
    ///
    /// Fails when the server does not answer.
    pub async fn post(&self, name: &str, path: &str) -> Result<(), ExperimentError> {
        call::post(self.server(name).address, path, &()).await?;
        Ok(())
    }

    /// Sends a signal to a process by name.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process or it has ended.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<(), ExperimentError> {
        let process = self.fleet.process(name);
        let process = process.ok_or_else(|| format!("unknown process {name}"))?;
        process.signal(signal)?;
        Ok(())
    }

    /// Kills a router and starts it again, which loses its state in memory.
    ///
    /// # Errors
    ///
    /// Fails when the router does not start.
    pub fn restart_router(&mut self, name: &str) -> Result<(), ExperimentError> {
        if let Some(process) = self.fleet.process(name) {
            process.kill();
        }
        let router = self.router(name).clone();
        self.fleet.start_router(&self.deployment, &router)?;
        Ok(())
    }

    /// Reads the records of all servers.
    ///
    /// # Errors
    ///
    /// Fails when a server does not answer.
    pub async fn runs(&self) -> Result<Vec<ServerRuns>, ExperimentError> {
        let mut all = Vec::new();
        for server in &self.deployment.servers {
            all.push(read_runs(server).await?);
        }
        Ok(all)
    }

    /// Reads the metrics of a router.
    ///
    /// # Errors
    ///
    /// Fails when its admin port does not answer.
    pub async fn metrics(&self, router: &RouterSpec) -> Result<Metrics, ExperimentError> {
        let token = Some(ADMIN_TOKEN);
        let text = call::send(router.admin, Method::GET, "/metrics", token, Vec::new()).await?;
        Ok(Metrics::parse(&String::from_utf8_lossy(&text)))
    }

    /// Returns the CPU time and memory used by a process; zero if there is none of that name.
    pub fn usage(&mut self, name: &str) -> ProcessUsage {
        let process = self.fleet.process(name);
        process.map_or_else(ProcessUsage::default, |p| ProcessUsage::read(p.pid()))
    }
}

async fn read_runs(server: &ServerSpec) -> Result<ServerRuns, ExperimentError> {
    let mut runs = Vec::new();
    loop {
        let path = format!("/runs?after={}", runs.len());
        let page: RunPage = call::get(server.address, &path).await?;
        runs.extend(page.runs);
        if !page.more {
            return Ok(ServerRuns {
                server: server.clone(),
                runs,
                refused: page.refused,
            });
        }
    }
}
