//! The phases: what fails, when, and for how long.

use std::net::SocketAddr;
use std::time::Duration;

use compio::runtime::JoinHandle;
use hibiscusrail_macros::{id, record};
use hibiscusrail_standin::faults::Faults;

use super::super::lab::{Lab, ServerRuns};
use super::super::{Context, ExperimentError};
use super::RATE;
use crate::client::{Ending, NO_CONNECTION, Received};
use crate::fleet::Signal;
use crate::generator::{Load, Mix};

/// Usual time of a phase.
const USUAL: Duration = Duration::from_secs(8);
/// Time from the start of a phase to its fault.
const LEAD: Duration = Duration::from_secs(2);
/// Time for which a router is paused.
const PAUSED: Duration = Duration::from_secs(10);
/// Time for which the table is down.
const TABLE_DOWN: Duration = Duration::from_secs(20);
/// Time until the balancer sends no more to a router that is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(500);
/// Time for a router to stop.
const STOP_TIME: Duration = Duration::from_secs(40);
/// Deadline of every request.
const DEADLINE: Duration = Duration::from_secs(8);
/// Fraction of table answers lost.
const LOST: f64 = 0.2;
/// Fraction of answers crossed and truncated.
const SPOILT: f64 = 0.1;
/// The router that fails in a phase about routers.
const ROUTER: &str = "router-1";

/// One thing that fails.
#[id]
pub enum Phase {
    /// Nothing.
    Steady,
    /// A router is killed and comes back with nothing in memory.
    RouterKilled,
    /// A router is paused and goes on.
    RouterPaused,
    /// A router is stopped as planned.
    RouterStopped,
    /// The table is down.
    TableDown,
    /// The table loses answers after the write took effect.
    TableLoses,
    /// All open connections to servers go silent.
    Silent,
    /// Answers are crossed and truncated.
    Spoilt,
    /// A server turns cold again.
    ServerCold,
    /// Servers are killed and come back.
    ServerKilled,
}

/// What came of a phase.
#[record]
pub struct Played {
    /// What callers received.
    pub received: Vec<Received>,
    /// Runs whose records were lost with their servers.
    pub lost_runs: Vec<ServerRuns>,
    /// Requests cut by a planned stop.
    pub cut: usize,
}

/// Returns requests that may not run twice in large part, half of the rest lookups.
fn mix() -> Mix {
    Mix {
        lookups: 0.35,
        writes: 0.3,
        keyed: 0.8,
        streamed: 0.7,
    }
}

impl Phase {
    /// All phases in order.
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

    /// Returns the name in reports.
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

    /// Returns the time for which requests are started.
    pub fn duration(self) -> Duration {
        match self {
            Self::RouterPaused => PAUSED + LEAD * 2,
            Self::TableDown => TABLE_DOWN + LEAD * 2,
            _ => USUAL,
        }
    }

    /// Sends load, lets the thing fail, and mends it.
    ///
    /// # Errors
    ///
    /// Fails when a process or stand-in does not obey.
    pub async fn play(
        self,
        lab: &mut Lab,
        seed: u64,
        context: &Context,
    ) -> Result<Played, ExperimentError> {
        if self == Self::RouterStopped {
            return stop_router(lab, seed).await;
        }
        let load = load(lab, seed, context.duration(self.duration()));
        let callers = start(load, lab);
        compio::time::sleep(LEAD).await;
        let lost_runs = self.strike(lab).await?;
        let received = callers.await.map_err(|_| "the callers' task panicked")?;
        self.mend(lab).await?;
        Ok(Played {
            received,
            lost_runs,
            cut: 0,
        })
    }

    async fn strike(self, lab: &mut Lab) -> Result<Vec<ServerRuns>, ExperimentError> {
        match self {
            Self::Steady | Self::RouterStopped => {}
            Self::RouterKilled => {
                lab.signal(ROUTER, Signal::Kill)?;
                compio::time::sleep(LEAD).await;
                lab.restart_router(ROUTER)?;
            }
            Self::RouterPaused => {
                lab.signal(ROUTER, Signal::Stop)?;
                compio::time::sleep(PAUSED).await;
                lab.signal(ROUTER, Signal::Cont)?;
            }
            Self::TableDown => {
                lab.set_faults("platform", &Faults::default().with_down())
                    .await?;
                compio::time::sleep(TABLE_DOWN).await;
                lab.set_faults("platform", &Faults::default()).await?;
            }
            Self::TableLoses => {
                let faults = Faults::default().with_lose_answers(LOST);
                lab.set_faults("platform", &faults).await?;
            }
            Self::Silent => servers_fail(lab, &Faults::default().with_silent()).await?,
            Self::Spoilt => {
                let faults = Faults::default().with_cross(SPOILT).with_truncate(SPOILT);
                servers_fail(lab, &faults).await?;
            }
            Self::ServerCold => {
                let name = first(lab, true);
                lab.control(&name, "/cold").await?;
            }
            Self::ServerKilled => return kill_servers(lab).await,
        }
        Ok(Vec::new())
    }

    async fn mend(self, lab: &Lab) -> Result<(), ExperimentError> {
        match self {
            Self::TableLoses => lab.set_faults("platform", &Faults::default()).await,
            Self::Silent | Self::Spoilt => servers_fail(lab, &Faults::default()).await,
            _ => Ok(()),
        }
    }
}

fn load(lab: &Lab, seed: u64, duration: Duration) -> Load {
    Load::new(seed, duration)
        .with_deadline(DEADLINE)
        .with_all(&lab.deployment, RATE, mix())
}

fn start(load: Load, lab: &Lab) -> JoinHandle<Vec<Received>> {
    let deployment = lab.deployment.clone();
    compio::runtime::spawn(async move { load.run(&deployment).await })
}

/// Sets the faults of all servers.
async fn servers_fail(lab: &Lab, faults: &Faults) -> Result<(), ExperimentError> {
    for server in &lab.deployment.servers {
        lab.set_faults(&server.name, faults).await?;
    }
    Ok(())
}

/// Returns the name of the first model engine or plain server.
fn first(lab: &Lab, model: bool) -> String {
    let mut servers = lab.deployment.servers.iter();
    let server = servers.find(|s| s.model == model);
    server.map_or_else(String::new, |s| s.name.clone())
}

/// Kills an engine and a plain server, and starts them again.
///
/// They run nothing from before their records are read, so that no run is
/// missing from the records.
async fn kill_servers(lab: &mut Lab) -> Result<Vec<ServerRuns>, ExperimentError> {
    let names = [first(lab, true), first(lab, false)];
    for name in &names {
        let down = Faults::default().with_down();
        lab.set_faults(name, &down).await?;
    }
    let mut lost = lab.runs().await?;
    lost.retain(|s| names.contains(&s.server.name));
    for name in &names {
        lab.signal(name, Signal::Kill)?;
    }
    compio::time::sleep(LEAD).await;
    for runs in &lost {
        lab.fleet
            .start_server(&lab.deployment.clone(), &runs.server)?;
    }
    Ok(lost)
}

/// Stops a router as planned while it serves, and starts it again.
async fn stop_router(lab: &mut Lab, seed: u64) -> Result<Played, ExperimentError> {
    let callers = start(load(lab, seed, LEAD + BALANCER_LAG), lab);
    compio::time::sleep(LEAD).await;
    lab.signal(ROUTER, Signal::Term)?;
    compio::time::sleep(BALANCER_LAG).await;
    let listen = lab.router(ROUTER).listen;
    let others = without(load(lab, seed + 500, USUAL), listen);
    let rest = start(others, lab);
    let mut received = callers.await.map_err(|_| "the callers' task panicked")?;
    let cut = received.iter().filter(|r| is_cut(r)).count();
    received.extend(rest.await.map_err(|_| "the callers' task panicked")?);
    let process = lab.fleet.process(ROUTER);
    let status = process.and_then(|p| p.wait(STOP_TIME));
    let ended_well = status.is_some_and(|s| s.success());
    if !ended_well {
        println!("{ROUTER} ended with {status:?}");
    }
    lab.restart_router(ROUTER)?;
    Ok(Played {
        received,
        lost_runs: Vec::new(),
        cut: cut + usize::from(!ended_well),
    })
}

/// Returns whether a request was begun and not answered.
///
/// A caller that finds no router any more was not cut.
fn is_cut(received: &Received) -> bool {
    match received.ending {
        Ending::Cut | Ending::Unknown => true,
        Ending::Lost => received.code != NO_CONNECTION,
        Ending::Right | Ending::Wrong | Ending::NotRun => false,
    }
}

fn without(mut load: Load, router: SocketAddr) -> Load {
    for source in &mut load.sources {
        source.routers.retain(|(address, _)| *address != router);
    }
    load
}
