//! Phases of the experiment: which component fails, when, and for how long.

use std::net::SocketAddr;
use std::time::Duration;

use compio::runtime::JoinHandle;
use hibiscusrail_macros::{id, record};
use hibiscusrail_standin::faults::Faults;

use super::super::lab::{Lab, ServerRuns};
use super::super::{Context, ExperimentError};
use super::RATE;
use crate::client::{Ending, NO_CONNECTION, CallerResult};
use crate::fleet::Signal;
use crate::generator::{Load, Mix};

/// Time of a phase, unless its fault takes longer.
const DEFAULT_TIME: Duration = Duration::from_secs(8);
/// Time from the start of a phase to its fault, and from a kill to the restart.
const FAULT_DELAY: Duration = Duration::from_secs(2);
const PAUSE_TIME: Duration = Duration::from_secs(10);
const TABLE_DOWN_TIME: Duration = Duration::from_secs(20);
/// Time until the load balancer stops sending to a router that is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(500);
/// Timeout for a planned stop of a router.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
const DEADLINE: Duration = Duration::from_secs(8);
/// Fraction of the table's answers that is lost.
const LOST_FRACTION: f64 = 0.2;
/// Fraction of the servers' answers that are crossed, and fraction that are truncated.
const SPOILT_FRACTION: f64 = 0.1;
/// Router that fails in the phases with a router fault.
const FAULTY_ROUTER: &str = "router-1";

/// Phase of the experiment, named after its fault.
#[id]
pub enum Phase {
    /// No fault.
    Steady,
    /// A router is killed and restarted, which loses its state in memory.
    RouterKilled,
    /// A router is paused and continued.
    RouterPaused,
    /// A router is stopped gracefully.
    RouterStopped,
    /// The table is down.
    TableDown,
    /// The table applies writes and loses some of the answers.
    TableLoses,
    /// All servers stop sending on open connections.
    Silent,
    /// Some server answers are truncated, or crossed: they carry another request's id and text.
    Spoilt,
    /// An engine turns cold again.
    ServerCold,
    /// An engine and a plain server are killed and restarted.
    ServerKilled,
}

/// Results of one phase.
#[record]
pub struct PhaseResult {
    /// Results that callers got.
    pub received: Vec<CallerResult>,
    /// Records read from servers before they were killed.
    pub lost_runs: Vec<ServerRuns>,
    /// Number of requests cut short by a planned stop, plus one if the router did not exit cleanly.
    pub cut_short: usize,
}

/// Returns a mix with many non-idempotent requests; half of the rest are lookups.
fn mix() -> Mix {
    Mix {
        lookups: 0.35,
        writes: 0.3,
        keyed: 0.8,
        streamed: 0.7,
    }
}

impl Phase {
    /// All phases in the order in which they run.
    pub const ALL: [Self; 10] = [
        Self::Steady,
        Self::RouterKilled,
        Self::RouterPaused,
        Self::RouterStopped,
        Self::TableDown,
        Self::TableLoses,
        Self::Silent,
        Self::Spoilt,
        Self::ServerCold,
        Self::ServerKilled,
    ];

    /// Returns the name of the phase in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::RouterKilled => "router_killed",
            Self::RouterPaused => "router_paused",
            Self::RouterStopped => "router_stopped",
            Self::TableDown => "table_down",
            Self::TableLoses => "table_loses",
            Self::Silent => "silent",
            Self::Spoilt => "spoilt",
            Self::ServerCold => "server_cold",
            Self::ServerKilled => "server_killed",
        }
    }

    /// Returns the time during which requests are started.
    pub fn duration(self) -> Duration {
        match self {
            Self::RouterPaused => PAUSE_TIME + FAULT_DELAY * 2,
            Self::TableDown => TABLE_DOWN_TIME + FAULT_DELAY * 2,
            _ => DEFAULT_TIME,
        }
    }

    /// Sends the load, injects the fault and clears it.
    ///
    /// # Errors
    ///
    /// Fails when a process or stand-in can't be controlled.
    pub async fn run(
        self,
        lab: &mut Lab,
        seed: u64,
        context: &Context,
    ) -> Result<PhaseResult, ExperimentError> {
        if self == Self::RouterStopped {
            return stop_router(lab, seed).await;
        }
        let load = load(lab, seed, context.duration(self.duration()));
        let callers = spawn_load(load, lab);
        compio::time::sleep(FAULT_DELAY).await;
        let lost_runs = self.inject_fault(lab).await?;
        let received = callers.await.map_err(|_| "the callers' task panicked")?;
        self.clear_fault(lab).await?;
        Ok(PhaseResult {
            received,
            lost_runs,
            cut_short: 0,
        })
    }

    /// Injects the fault; returns the records of servers that were killed.
    async fn inject_fault(self, lab: &mut Lab) -> Result<Vec<ServerRuns>, ExperimentError> {
        match self {
            Self::Steady | Self::RouterStopped => {}
            Self::RouterKilled => {
                lab.signal(FAULTY_ROUTER, Signal::Kill)?;
                compio::time::sleep(FAULT_DELAY).await;
                lab.restart_router(FAULTY_ROUTER)?;
            }
            Self::RouterPaused => {
                lab.signal(FAULTY_ROUTER, Signal::Stop)?;
                compio::time::sleep(PAUSE_TIME).await;
                lab.signal(FAULTY_ROUTER, Signal::Cont)?;
            }
            Self::TableDown => {
                lab.set_faults("platform", &Faults::default().with_down())
                    .await?;
                compio::time::sleep(TABLE_DOWN_TIME).await;
                lab.set_faults("platform", &Faults::default()).await?;
            }
            Self::TableLoses => {
                let faults = Faults::default().with_lost_responses(LOST_FRACTION);
                lab.set_faults("platform", &faults).await?;
            }
            Self::Silent => set_server_faults(lab, &Faults::default().with_silent()).await?,
            Self::Spoilt => {
                let faults = Faults::default()
                    .with_swapped_responses(SPOILT_FRACTION)
                    .with_truncate(SPOILT_FRACTION);
                set_server_faults(lab, &faults).await?;
            }
            Self::ServerCold => {
                let name = first_server(lab, true);
                lab.post(&name, "/cold").await?;
            }
            Self::ServerKilled => return kill_servers(lab).await,
        }
        Ok(Vec::new())
    }

    /// Clears a fault that lasts to the end of the phase.
    async fn clear_fault(self, lab: &Lab) -> Result<(), ExperimentError> {
        match self {
            Self::TableLoses => lab.set_faults("platform", &Faults::default()).await,
            Self::Silent | Self::Spoilt => set_server_faults(lab, &Faults::default()).await,
            _ => Ok(()),
        }
    }
}

fn load(lab: &Lab, seed: u64, duration: Duration) -> Load {
    Load::new(seed, duration)
        .with_deadline(DEADLINE)
        .with_all_workspaces(&lab.deployment, RATE, mix())
}

fn spawn_load(load: Load, lab: &Lab) -> JoinHandle<Vec<CallerResult>> {
    let deployment = lab.deployment.clone();
    compio::runtime::spawn(async move { load.run(&deployment).await })
}

async fn set_server_faults(lab: &Lab, faults: &Faults) -> Result<(), ExperimentError> {
    for server in &lab.deployment.servers {
        lab.set_faults(&server.name, faults).await?;
    }
    Ok(())
}

/// Returns the name of the first model engine or plain server.
fn first_server(lab: &Lab, model: bool) -> String {
    let mut servers = lab.deployment.servers.iter();
    let server = servers.find(|s| s.is_model == model);
    server.map_or_else(String::new, |s| s.name.clone())
}

/// Kills an engine and a plain server, and starts them again.
///
/// Both stop taking requests before their records are read, so that no run is
/// missing from the records.
async fn kill_servers(lab: &mut Lab) -> Result<Vec<ServerRuns>, ExperimentError> {
    let names = [first_server(lab, true), first_server(lab, false)];
    for name in &names {
        let down = Faults::default().with_down();
        lab.set_faults(name, &down).await?;
    }
    let mut lost_runs = lab.runs().await?;
    lost_runs.retain(|s| names.contains(&s.server.name));
    for name in &names {
        lab.signal(name, Signal::Kill)?;
    }
    compio::time::sleep(FAULT_DELAY).await;
    for runs in &lost_runs {
        lab.fleet
            .start_server(&lab.deployment.clone(), &runs.server)?;
    }
    Ok(lost_runs)
}

/// Stops a router gracefully while it serves, and starts it again.
async fn stop_router(lab: &mut Lab, seed: u64) -> Result<PhaseResult, ExperimentError> {
    let callers = spawn_load(load(lab, seed, FAULT_DELAY + BALANCER_DELAY), lab);
    compio::time::sleep(FAULT_DELAY).await;
    lab.signal(FAULTY_ROUTER, Signal::Term)?;
    compio::time::sleep(BALANCER_DELAY).await;
    let listen = lab.router(FAULTY_ROUTER).listen;
    let remaining_load = without_router(load(lab, seed + 500, DEFAULT_TIME), listen);
    let remaining = spawn_load(remaining_load, lab);
    let mut received = callers.await.map_err(|_| "the callers' task panicked")?;
    let cut_short = received.iter().filter(|r| is_cut(r)).count();
    received.extend(remaining.await.map_err(|_| "the callers' task panicked")?);
    let process = lab.fleet.process(FAULTY_ROUTER);
    let status = process.and_then(|p| p.wait(STOP_TIMEOUT));
    let clean_exit = status.is_some_and(|s| s.success());
    if !clean_exit {
        println!("{FAULTY_ROUTER} ended with {status:?}");
    }
    lab.restart_router(FAULTY_ROUTER)?;
    Ok(PhaseResult {
        received,
        lost_runs: Vec::new(),
        cut_short: cut_short + usize::from(!clean_exit),
    })
}

/// Returns whether a request was started but not answered.
///
/// A request whose caller could not connect was never started.
fn is_cut(received: &CallerResult) -> bool {
    match received.ending {
        Ending::Cut | Ending::Unknown => true,
        Ending::Lost => received.code != NO_CONNECTION,
        Ending::Right | Ending::Wrong | Ending::NotRun => false,
    }
}

/// Removes a router from those to which the load is sent.
fn without_router(mut load: Load, router: SocketAddr) -> Load {
    for source in &mut load.sources {
        source.routers.retain(|(address, _)| *address != router);
    }
    load
}
