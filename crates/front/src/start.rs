//! Starts the daemon: opens its ports, spawns its tasks and runs it until it is stopped.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hibiscusrail_core::SystemClock;
use hibiscusrail_fleet::{Event, Fleet};
use hibiscusrail_net::event_loop::{self, spawn_urgent};
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::signals::{RELOAD_SIGNALS, STOP_SIGNALS, Signals};
use hibiscusrail_net::{EventLoop, Limits, bind, full, logs, serve, serve_counted};
use hibiscusrail_settings::{FrontSettings, SettingErrors};
use http::{Response, StatusCode};
use snafu::{ResultExt, Snafu};

use crate::peers::{self, Peers};
use crate::protocol::Protocol;
use crate::shell::Shell;
use crate::watch::{self, Store};
use crate::work::{LoopTotals, UseMeter};
use crate::{caller, health, overload, records, refusal, rollouts, state, stop, unserved};

/// Exit code if requests were still running when the stop timeout expired.
const EXIT_ABORTED: u8 = 3;
/// Maximum size of a request head in bytes; larger ones are refused by the parser.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Timeout for the next request head on a connection, including its idle time, until the operator
/// configuration is known.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without progress after which the connection of a caller that does not read is closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of checking for changed settings, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of measuring the event loop lag: a fraction of the lag that matters, yet long enough to
/// cost less than 1% of the smallest host's CPU.
const LAG_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum connections to each of the ports for readiness, routers and metrics.
const MAX_INTERNAL_CONNS: usize = 64;

/// Why the daemon could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Logging could not be set up.
    #[snafu(display("failed to set up logging: {reason}"))]
    Logs {
        /// Description of the error.
        reason: String,
    },
    /// The settings file is not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// All errors in the file.
        source: SettingErrors,
    },
    /// The event loop could not be created.
    #[snafu(display("failed to create the event loop: {source}"))]
    Runtime {
        /// Error of the system.
        source: io::Error,
    },
    /// A port could not be opened.
    #[snafu(display("failed to listen on {address}: {source}"))]
    Listen {
        /// Address of the port.
        address: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// Signals could not be registered or received.
    #[snafu(display("failed to receive signals: {source}"))]
    Signals {
        /// Error of the system.
        source: io::Error,
    },
}

/// Runs a router until it is stopped; `connect` creates the client of the store.
///
/// # Errors
///
/// Fails if the router can't start or can't receive signals.
pub fn run<S: Store>(
    path: &Path,
    protocol: Protocol,
    connect: impl FnOnce(&FrontSettings) -> S,
) -> Result<ExitCode, StartError> {
    let settings = FrontSettings::load(path).context(SettingsSnafu)?;
    logs::init_rate_limited(&settings.log_level, settings.max_log_rate)
        .map_err(|reason| StartError::Logs { reason })?;
    let event_loop = EventLoop::new(Instant::now).context(RuntimeSnafu)?;
    event_loop.run(async {
        let mut signals = Signals::new(&STOP_SIGNALS).context(SignalsSnafu)?;
        let reload = Signals::new(&RELOAD_SIGNALS).context(SignalsSnafu)?;
        let store = Rc::new(connect(&settings));
        let name = settings.name.clone();
        let shell = Rc::new(Shell::new(settings, protocol, Box::new(SystemClock)));
        start(&shell, &store)?;
        event_loop::spawn(watch_settings(Rc::clone(&shell), path.to_owned(), reload));
        log::info!(router = name.as_str(), version = env!("CARGO_PKG_VERSION"); "started");
        let aborted = stop::wait_for_stop(&shell, &mut signals)
            .await
            .context(SignalsSnafu)?;
        if let Err(error) = store.unregister(&name).await {
            log::warn!(step = "unregister", error:% = error; "store_lost");
        }
        log::info!(router = name.as_str(), cut = aborted; "stopped");
        Ok(if aborted == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(EXIT_ABORTED)
        })
    })
}

fn listen(address: SocketAddr, connections: usize, handler: Handler) -> Result<(), StartError> {
    let listener = bind(address).context(ListenSnafu { address })?;
    let limits = limits(connections);
    spawn_urgent(serve(listener, limits, handler));
    Ok(())
}

fn limits(max_connections: usize) -> Limits {
    Limits {
        max_connections,
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: HEAD_TIMEOUT,
        write_timeout: STALL_TIMEOUT,
    }
}

/// Opens all ports and spawns the tasks of a router on the running event loop.
///
/// # Errors
///
/// Fails if a port can't be opened.
pub fn start<S: Store>(shell: &Rc<Shell>, store: &Rc<S>) -> Result<(), StartError> {
    let settings = shell.settings();
    let address = settings.listen;
    let listener = bind(address).context(ListenSnafu { address })?;
    let limits = limits(settings.max_caller_connections());
    let connections = Rc::clone(shell.connections());
    let handler = caller::handler(shell);
    overload::install(shell);
    event_loop::spawn(serve_counted(listener, limits, handler, connections));
    listen(settings.ready_listen, MAX_INTERNAL_CONNS, ready(shell))?;
    listen(settings.metrics_listen, MAX_INTERNAL_CONNS, metrics(shell))?;
    listen(
        settings.peer_listen,
        MAX_INTERNAL_CONNS,
        state::handler(shell),
    )?;
    let address = settings.peer_listen;
    let peers = Peers::new(&settings.name, &settings.params.zone, address)
        .context(ListenSnafu { address })?;
    let peers = Rc::new(peers);
    spawn_receiver(shell, &peers);
    let (shell, store) = (Rc::clone(shell), Rc::clone(store));
    let orders = watch::follow_orders(Rc::clone(&shell), Rc::clone(&store), Rc::clone(&peers));
    spawn_urgent(orders);
    let servers = watch::follow_servers(Rc::clone(&shell), Rc::clone(&store), Rc::clone(&peers));
    spawn_urgent(servers);
    let routers = watch::follow_routers(Rc::clone(&shell), Rc::clone(&store), Rc::clone(&peers));
    spawn_urgent(routers);
    for task in records::tasks(&shell, &store) {
        event_loop::spawn(task);
    }
    // The bounds are those of the start; without them there is nothing to follow.
    if settings.params.rollout.is_some() {
        event_loop::spawn(rollouts::follow_rollouts(Rc::clone(&shell), store));
    }
    event_loop::spawn(measure_loop_lag(Rc::clone(&shell)));
    event_loop::spawn(unserved::log_unserved(Rc::clone(&shell)));
    event_loop::spawn(health::check_servers(Rc::clone(&shell)));
    let incremental = peers::send_incremental_reports(Rc::clone(&shell), Rc::clone(&peers));
    spawn_urgent(incremental);
    spawn_urgent(peers::send_reports(shell, peers));
    Ok(())
}

fn spawn_receiver(shell: &Rc<Shell>, peers: &Rc<Peers>) {
    let (shell, peers) = (Rc::clone(shell), Rc::clone(peers));
    spawn_urgent(async move {
        if let Err(error) = peers::receive_reports(shell, peers).await {
            log::error!(step = "receive", error:% = error; "reports_lost");
        }
    });
}

fn ready(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |request| {
        let ready = request.uri().path() == shell.protocol().ready_path && shell.is_ready();
        let response = if ready {
            refusal::text_response(StatusCode::OK, "ready")
        } else {
            refusal::text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        };
        std::future::ready(response).boxed_local()
    })
}

fn metrics(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |_| {
        let running = shell.with_fleet(Fleet::requests);
        let revision = shell.with_fleet(|f| f.config_revision().0);
        shell.metrics().set_lag(shell.with_fleet(Fleet::loop_lag));
        let config_age = shell.with_fleet(|f| f.config_freshness().age(shell.now()));
        shell
            .metrics()
            .set_config_age(config_age.unwrap_or_default());
        shell
            .metrics()
            .set_connections(shell.connections().open_count());
        shell.metrics().set_work(shell.work());
        shell.metrics().set_budget(shell.budget());
        shell.with_fleet(|f| shell.metrics().set_rollouts(f.rollouts()));
        let page = shell.metrics().render(running, shell.is_ready(), revision);
        std::future::ready(Response::new(full(page))).boxed_local()
    })
}

/// Measures the event loop lag until the task is dropped.
async fn measure_loop_lag(shell: Rc<Shell>) {
    let mut meter = UseMeter::new(shell.now());
    loop {
        let due = shell.now() + LAG_INTERVAL;
        compio::time::sleep(LAG_INTERVAL).await;
        let lag = shell.now().saturating_duration_since(due);
        let totals = LoopTotals {
            used: event_loop::used(),
            accepted: shell.connections().totals(),
        };
        let now = shell.now();
        shell.work().set_lag(now, lag, totals);
        shell.handle(Event::LoopUse(meter.take(now, totals)));
        shell.handle(Event::LoopLag(lag));
    }
}

/// Applies changed settings, after a signal or at the next check.
async fn watch_settings(shell: Rc<Shell>, path: PathBuf, mut reload: Signals) {
    loop {
        let signal = hibiscusrail_net::timeout(SETTINGS_INTERVAL, reload.next()).await;
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
