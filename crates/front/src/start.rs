//! Starts the daemon and stops it gracefully.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use hibiscusrail_core::SystemClock;
use hibiscusrail_fleet::{Event, Fleet};
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::signals::{RELOAD_SIGNALS, STOP_SIGNALS, Signals};
use hibiscusrail_net::{Limits, bind, full, logs, serve, serve_counted};
use hibiscusrail_settings::{FrontSettings, SettingErrors};
use http::{Response, StatusCode};
use snafu::{ResultExt, Snafu};

use crate::peers::{self, Peers};
use crate::shape::Shape;
use crate::shell::Shell;
use crate::watch::{self, Store};
use crate::{caller, refusal, state, stop};

/// Exit code when work was cut at the end of the grace.
const EXIT_CUT: u8 = 3;
/// Longest head of a request that the parser takes; larger ones are refused.
const HEAD_BYTES: usize = 64 << 10;
/// Time for which a caller's connection may be idle before the operator's limit is known.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// Time without progress after which a caller that does not read is cut.
const STALL_TIME: Duration = Duration::from_secs(10);
/// Period of looking for changed settings; they may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);
/// Period of observing the loop: a fraction of the lateness that matters, and
/// seldom enough to cost less than a hundredth of the smallest host's processor.
const PRESSURE_PERIOD: Duration = Duration::from_millis(25);
/// Connections to the ports for readiness, routers and metrics.
const SIDE_CONNECTIONS: usize = 64;

/// Why the daemon could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The log could not be set up.
    #[snafu(display("logs: {reason}"))]
    Logs {
        /// What is wrong.
        reason: String,
    },
    /// The settings are not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// All errors in them.
        source: SettingErrors,
    },
    /// The event loop could not be made.
    #[snafu(display("event loop: {source}"))]
    Runtime {
        /// What the system said.
        source: io::Error,
    },
    /// An address could not be opened.
    #[snafu(display("opening {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
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

/// Runs a router until it is stopped; `connect` makes the client of the store.
///
/// # Errors
///
/// Fails when the router can't start.
pub fn run<S: Store>(
    path: &Path,
    shape: Shape,
    connect: impl FnOnce(&FrontSettings) -> S,
) -> Result<ExitCode, StartError> {
    let settings = FrontSettings::load(path).context(SettingsSnafu)?;
    logs::init_bounded(&settings.log_level, settings.log_rate)
        .map_err(|reason| StartError::Logs { reason })?;
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let mut signals = Signals::new(&STOP_SIGNALS).context(SignalsSnafu)?;
        let reload = Signals::new(&RELOAD_SIGNALS).context(SignalsSnafu)?;
        let store = Rc::new(connect(&settings));
        let name = settings.name.clone();
        let shell = Rc::new(Shell::new(settings, shape, Box::new(SystemClock)));
        start(&shell, &store)?;
        compio::runtime::spawn(follow_settings(Rc::clone(&shell), path.to_owned(), reload))
            .detach();
        log::info!(router = name.as_str(), version = env!("CARGO_PKG_VERSION"); "started");
        let cut = stop::wait(&shell, &mut signals)
            .await
            .context(SignalsSnafu)?;
        if let Err(error) = store.unregister(&name).await {
            log::warn!(step = "unregister", error:% = error; "store_lost");
        }
        log::info!(router = name.as_str(), cut = cut; "stopped");
        Ok(if cut == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(EXIT_CUT)
        })
    })
}

fn listen(address: SocketAddr, connections: usize, handler: Handler) -> Result<(), StartError> {
    let listener = bind(address).context(ListenSnafu { address })?;
    let limits = limits(connections);
    compio::runtime::spawn(serve(listener, limits, handler)).detach();
    Ok(())
}

fn limits(connections: usize) -> Limits {
    Limits {
        connections,
        head_bytes: HEAD_BYTES,
        head_time: IDLE_TIME,
        stall_time: STALL_TIME,
    }
}

/// Opens all ports and starts the tasks of a router on the running loop.
///
/// # Errors
///
/// Fails when an address can't be opened.
pub fn start<S: Store>(shell: &Rc<Shell>, store: &Rc<S>) -> Result<(), StartError> {
    let settings = shell.settings();
    let address = settings.listen;
    let listener = bind(address).context(ListenSnafu { address })?;
    let limits = limits(settings.connections());
    let connections = Rc::clone(shell.connections());
    let handler = caller::handler(shell);
    compio::runtime::spawn(serve_counted(listener, limits, handler, connections)).detach();
    listen(settings.ready_listen, SIDE_CONNECTIONS, ready(shell))?;
    listen(settings.metrics_listen, SIDE_CONNECTIONS, metrics(shell))?;
    listen(
        settings.peer_listen,
        SIDE_CONNECTIONS,
        state::handler(shell),
    )?;
    let address = settings.peer_listen;
    let peers = Peers::new(&settings.name, &settings.params.zone, address)
        .context(ListenSnafu { address })?;
    let peers = Rc::new(peers);
    spawn_receiver(shell, &peers);
    let (shell, store) = (Rc::clone(shell), Rc::clone(store));
    let orders = watch::follow_orders(Rc::clone(&shell), Rc::clone(&store), Rc::clone(&peers));
    compio::runtime::spawn(orders).detach();
    let servers = watch::follow_servers(Rc::clone(&shell), Rc::clone(&store), Rc::clone(&peers));
    compio::runtime::spawn(servers).detach();
    let routers = watch::follow_routers(Rc::clone(&shell), store, Rc::clone(&peers));
    compio::runtime::spawn(routers).detach();
    compio::runtime::spawn(observe_pressure(Rc::clone(&shell))).detach();
    let news = peers::tell_news(Rc::clone(&shell), Rc::clone(&peers));
    compio::runtime::spawn(news).detach();
    compio::runtime::spawn(peers::report(shell, peers)).detach();
    Ok(())
}

fn spawn_receiver(shell: &Rc<Shell>, peers: &Rc<Peers>) {
    let (shell, peers) = (Rc::clone(shell), Rc::clone(peers));
    compio::runtime::spawn(async move {
        if let Err(error) = peers::receive(shell, peers).await {
            log::error!(step = "receive", error:% = error; "reports_lost");
        }
    })
    .detach();
}

fn ready(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |request| {
        let ready = request.uri().path() == shell.shape().ready_path && shell.is_ready();
        let answer = if ready {
            refusal::plain(StatusCode::OK, "ready")
        } else {
            refusal::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        };
        std::future::ready(answer).boxed_local()
    })
}

fn metrics(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |_| {
        let running = shell.with_fleet(Fleet::requests);
        let revision = shell.with_fleet(|f| f.orders_revision().0);
        shell.metrics().late(shell.with_fleet(Fleet::lateness));
        let page = shell.metrics().page(running, shell.is_ready(), revision);
        std::future::ready(Response::new(full(page))).boxed_local()
    })
}

/// Observes how late the loop comes round until the task is dropped.
async fn observe_pressure(shell: Rc<Shell>) {
    loop {
        let due = shell.now() + PRESSURE_PERIOD;
        compio::time::sleep(PRESSURE_PERIOD).await;
        let late = shell.now().saturating_duration_since(due);
        shell.event(Event::Late(late));
    }
}

/// Puts changed settings in force, on a signal or without one.
async fn follow_settings(shell: Rc<Shell>, path: PathBuf, mut reload: Signals) {
    loop {
        let signal = compio::time::timeout(SETTINGS_PERIOD, reload.next()).await;
        if let Ok(Err(error)) = signal {
            log::error!(step = "signals", error:% = error; "reload_lost");
            return;
        }
        match FrontSettings::load(&path) {
            Ok(settings) if settings == shell.settings() => {}
            Ok(settings) => {
                log::info!(signal = signal.is_ok(); "settings_reloaded");
                shell.reload(settings);
            }
            Err(errors) => {
                log::warn!(errors:% = errors; "settings_rejected");
            }
        }
    }
}
