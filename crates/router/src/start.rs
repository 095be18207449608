//! Starts the daemon and stops it gracefully.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt};
use hibiscusrail_core::membership::{Member, MemberState};
use hibiscusrail_core::params::Policy;
use hibiscusrail_core::{Clock, Event, Incarnation, Params, Router, RouterId, SystemClock, ZoneId};
use hibiscusrail_net::{Limits, bind, logs, serve};
use hibiscusrail_settings::{PolicyMode, RouterSettings};
use snafu::{ResultExt, Snafu};

use crate::peers::{self, Peers};
use crate::shell::Shell;
use crate::{caller, platform};

/// Exit code when work was cut at the stop deadline.
const EXIT_CUT: u8 = 3;
/// Longest sleep of the timer task.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Why the daemon could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The log could not be set up.
    #[snafu(display("logs: {reason}"))]
    Logs {
        /// What is wrong.
        reason: String,
    },
    /// A secret could not be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    Secret {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The runtime could not be made.
    #[snafu(display("event loop: {source}"))]
    Runtime {
        /// What the system said.
        source: io::Error,
    },
    /// An address could not be opened.
    #[snafu(display("opening {address}: {source}"))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Signals could not be received.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// What the system said.
        source: io::Error,
    },
}

/// Runs a router until it is stopped.
///
/// # Errors
///
/// Fails when the router can't start.
pub fn run(settings: RouterSettings) -> Result<ExitCode, StartError> {
    logs::init(&settings.log_level).map_err(|reason| StartError::Logs { reason })?;
    let secret = read_secret(&settings.fleet_secret)?;
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let drain = settings.drain;
        let shell = start(settings, &secret)?;
        wait_for_stop(&shell, drain).await
    })
}

fn read_secret(path: &Path) -> Result<Vec<u8>, StartError> {
    let text = std::fs::read(path).context(SecretSnafu { path })?;
    Ok(text.trim_ascii().to_vec())
}

/// Returns the parameters of the policies that the settings ask for.
fn params(settings: &RouterSettings) -> Params {
    let policy = match settings.policy {
        PolicyMode::FleetFair => Policy::FleetFair,
        PolicyMode::LocalFair => Policy::LocalFair,
        PolicyMode::Fifo => Policy::Fifo,
    };
    Params::new()
        .with_policy(policy)
        .with_period(settings.period)
}

fn make_router(settings: &RouterSettings, clock: &dyn Clock) -> Router {
    let me = RouterId::new(&settings.name);
    let incarnation = Incarnation(clock.epoch_ms());
    let zone = ZoneId::new(&settings.zone);
    let mut router = Router::new(me, zone, incarnation, params(settings), clock.now());
    for peer in &settings.peers {
        let member = Member {
            zone: ZoneId::new(&peer.zone),
            state: MemberState::Alive,
        };
        router.add_member(RouterId::new(&peer.name), member);
    }
    router
}

/// Starts a router on the running loop.
///
/// # Errors
///
/// Fails when an address can't be opened.
pub fn start(settings: RouterSettings, secret: &[u8]) -> Result<Rc<Shell>, StartError> {
    let clock = SystemClock;
    let router = make_router(&settings, &clock);
    let me = RouterId::new(&settings.name);
    let peers = Peers::new(
        me,
        Incarnation(clock.epoch_ms()),
        settings.peer_listen,
        secret,
    )
    .context(ListenSnafu {
        address: settings.peer_listen,
    })?;
    for peer in &settings.peers {
        peers.add(RouterId::new(&peer.name), peer.address);
    }
    let listener = bind(settings.listen).context(ListenSnafu {
        address: settings.listen,
    })?;
    let limits = Limits {
        connections: settings.connections as usize,
        ..Limits::new()
    };
    let (wake, woken) = mpsc::unbounded();
    log::info!(router = settings.name.as_str(), zone = settings.zone.as_str(), listen:% = settings.listen; "started");
    let shell = Rc::new(Shell::new(router, Box::new(clock), settings, peers, wake));
    compio::runtime::spawn(timers(Rc::clone(&shell), woken)).detach();
    compio::runtime::spawn(platform::poll(Rc::clone(&shell))).detach();
    compio::runtime::spawn(receive(Rc::clone(&shell))).detach();
    compio::runtime::spawn(serve(listener, limits, caller::handler(&shell))).detach();
    Ok(shell)
}

async fn receive(shell: Rc<Shell>) {
    if let Err(error) = peers::receive(shell).await {
        log::error!(step = "receive", error:% = error; "peers_unreachable");
    }
}

/// Ticks the reducer when its next timer falls due.
async fn timers(shell: Rc<Shell>, mut woken: mpsc::UnboundedReceiver<()>) {
    loop {
        let due = shell.with_router(Router::next_timer);
        let now = Instant::now();
        let wait = due.map_or(LONGEST_SLEEP, |d| d.saturating_duration_since(now));
        if wait.is_zero() {
            shell.event(Event::Tick);
            continue;
        }
        futures_util::select! {
            () = compio::time::sleep(wait.min(LONGEST_SLEEP)).fuse() => {}
            _ = woken.next() => while woken.try_recv().is_ok() {},
        }
    }
}

/// Waits for a signal, drains, and returns the exit code.
async fn wait_for_stop(shell: &Rc<Shell>, patience: Duration) -> Result<ExitCode, StartError> {
    let mut signals = signals()?;
    signals.next().await;
    log::info!(patience_s = patience.as_secs(); "drain_started");
    let (sender, mut drained) = mpsc::unbounded();
    shell.on_drained(sender);
    shell.event(Event::Drain { patience });
    let cut = futures_util::select! {
        cut = drained.next() => cut.unwrap_or(0),
        _ = signals.next() => shell.with_router(Router::running),
    };
    log::info!(cut = cut; "stopped");
    if cut > 0 {
        return Ok(ExitCode::from(EXIT_CUT));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns a stream of stop signals.
fn signals() -> Result<mpsc::UnboundedReceiver<()>, StartError> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let (sender, receiver) = mpsc::unbounded();
    let (mut read, write) = std::os::unix::net::UnixStream::pair().context(SignalsSnafu)?;
    for signal in [SIGINT, SIGTERM] {
        let end = write.try_clone().context(SignalsSnafu)?;
        signal_hook::low_level::pipe::register(signal, end).context(SignalsSnafu)?;
    }
    // The loop's thread never blocks; this one only waits for signals.
    std::thread::spawn(move || {
        let mut byte = [0];
        while io::Read::read_exact(&mut read, &mut byte).is_ok() {
            if sender.unbounded_send(()).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}
