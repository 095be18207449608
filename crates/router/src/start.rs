//! Starts the daemon and runs it until it is stopped.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt};
use hibiscusrail_core::membership::{Member, MemberState};
use hibiscusrail_core::{Clock, Event, Incarnation, Router, RouterId, SystemClock, ZoneId};
use hibiscusrail_net::server::{AcceptEvent, Accepted};
use hibiscusrail_net::{Connections, Limits, bind, logs, serve, serve_counted};
use hibiscusrail_settings::RouterSettings;
use snafu::{ResultExt, Snafu};

use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::secrets::{self, Secrets};
use crate::shell::Shell;
use crate::stop::{self, Stopped};
use crate::{admin, caller, load, platform};
use hibiscusrail_net::signals::{STOP_SIGNALS, Signals};

/// Exit code when requests were interrupted by the stop.
const EXIT_INTERRUPTED: u8 = 3;
/// Maximum sleep of the timer task.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Error that prevents the daemon from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The logger could not be initialized.
    #[snafu(display("initializing the log: {reason}"))]
    Logs {
        /// Message of the logger.
        reason: String,
    },
    /// A secret could not be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    Secret {
        /// Path of the secret's file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The compio runtime could not be created.
    #[snafu(display("creating the event loop: {source}"))]
    Runtime {
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A listening socket could not be opened.
    #[snafu(display("listening on {address}: {source}"))]
    Listen {
        /// Address of the socket.
        address: std::net::SocketAddr,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// Stop signals could not be received.
    #[snafu(display("receiving signals: {source}"))]
    Signals {
        /// Underlying I/O error.
        source: io::Error,
    },
}

/// Runs a router until it is stopped.
///
/// # Errors
///
/// Returns an error if the router can't start.
pub fn run(settings: RouterSettings) -> Result<ExitCode, StartError> {
    logs::init(&settings.log_level).map_err(|reason| StartError::Logs { reason })?;
    let fleet = read_secret(&settings.fleet_secret)?;
    let token = read_secret(&settings.admin_token)?;
    let secrets = Secrets::new(&fleet, &token);
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let mut signals = Signals::new(&STOP_SIGNALS).context(SignalsSnafu)?;
        let shell = start(settings, &secrets)?;
        let (sender, mut stop_requests) = mpsc::unbounded();
        shell.set_stop_listener(sender);
        let connections = shell.connections();
        let stopped = stop::wait(&shell, connections, &mut signals, &mut stop_requests).await;
        Ok(match stopped.context(SignalsSnafu)? {
            Stopped::Clean => ExitCode::SUCCESS,
            Stopped::Interrupted(_) => ExitCode::from(EXIT_INTERRUPTED),
        })
    })
}

fn read_secret(path: &Path) -> Result<Vec<u8>, StartError> {
    secrets::read(path).context(SecretSnafu { path })
}

fn make_router(settings: &RouterSettings, incarnation: Incarnation, clock: &dyn Clock) -> Router {
    let me = RouterId::new(&settings.name);
    let zone = ZoneId::new(&settings.zone);
    let mut router = Router::new(me, zone, incarnation, settings.params.clone(), clock.now());
    for peer in &settings.peers {
        let member = Member {
            zone: ZoneId::new(&peer.zone),
            state: MemberState::Alive,
        };
        let id = RouterId::new(&peer.name);
        router.add_member(id, member);
        router.add_address(id, peer.address);
    }
    router
}

/// Starts a router on the current event loop.
///
/// # Errors
///
/// Returns an error if a socket can't be opened.
pub fn start(settings: RouterSettings, secrets: &Secrets) -> Result<Rc<Shell>, StartError> {
    let clock = SystemClock;
    let incarnation = Incarnation(clock.epoch_ms());
    let router = make_router(&settings, incarnation, &clock);
    let me = RouterId::new(&settings.name);
    let metrics = Rc::new(Metrics::new());
    let peers = Peers::new(
        me,
        incarnation,
        settings.peer_listen,
        &secrets.fleet,
        Rc::clone(&metrics),
    )
    .context(ListenSnafu {
        address: settings.peer_listen,
    })?;
    for peer in &settings.peers {
        peers.add_configured(RouterId::new(&peer.name), peer.address);
    }
    let listener = bind(settings.listen).context(ListenSnafu {
        address: settings.listen,
    })?;
    let admin_listener = bind(settings.admin_listen).context(ListenSnafu {
        address: settings.admin_listen,
    })?;
    let limits = Limits {
        max_connections: settings.max_connections as usize,
        head_timeout: settings.head_timeout,
        write_timeout: settings.stall_timeout,
        ..Limits::new()
    };
    let connections = Rc::new(caller_connections(&metrics));
    let (wake, woken) = mpsc::unbounded();
    log::info!(router = settings.name.as_str(), zone = settings.zone.as_str(), listen:% = settings.listen; "started");
    let shell = Rc::new(Shell::new(
        router,
        Box::new(clock),
        settings,
        peers,
        metrics,
        connections,
        wake,
    ));
    compio::runtime::spawn(run_timers(Rc::clone(&shell), woken)).detach();
    shell.handle(Event::Join(shell.settings().peer_listen));
    compio::runtime::spawn(platform::poll::poll(Rc::clone(&shell))).detach();
    compio::runtime::spawn(load::poll(Rc::clone(&shell))).detach();
    compio::runtime::spawn(receive(Rc::clone(&shell))).detach();
    let served = serve_counted(
        listener,
        limits,
        caller::handler(&shell),
        Rc::clone(shell.connections()),
    );
    compio::runtime::spawn(served).detach();
    let admin = admin::handler(&shell, secrets.admin.clone());
    compio::runtime::spawn(serve(admin_listener, Limits::new(), admin)).detach();
    Ok(shell)
}

/// Returns the tracker of callers' connections, which counts them and refuses excess ones.
fn caller_connections(metrics: &Rc<Metrics>) -> Connections {
    let counting_metrics = Rc::clone(metrics);
    let refusal_metrics = Rc::clone(metrics);
    Connections::new()
        .with_refusal(Rc::new(move |headers| {
            caller::refuse_connection(&refusal_metrics, headers)
        }))
        .with_on_accept(Rc::new(move |event| {
            let AcceptEvent::Accepted(accepted) = event else {
                return;
            };
            counting_metrics.connection(match accepted {
                Accepted::Served => "served",
                Accepted::Refused => "refused",
                Accepted::Closed => "closed",
            });
        }))
}

/// Receives datagrams from the other routers; logs why receiving ended.
async fn receive(shell: Rc<Shell>) {
    if let Err(error) = peers::receive(shell).await {
        log::error!(step = "receive", error:% = error; "peers_unreachable");
    }
}

/// Sends [`Event::Tick`] to the reducer whenever its next timer expires.
async fn run_timers(shell: Rc<Shell>, mut woken: mpsc::UnboundedReceiver<()>) {
    loop {
        let due = shell.with_router(Router::next_timer);
        let now = Instant::now();
        let wait = due.map_or(MAX_SLEEP, |d| d.saturating_duration_since(now));
        if wait.is_zero() {
            shell.handle(Event::Tick);
            continue;
        }
        futures_util::select! {
            () = compio::time::sleep(wait.min(MAX_SLEEP)).fuse() => {}
            _ = woken.next() => while woken.try_recv().is_ok() {},
        }
    }
}
