//! The shell around the reducer: events in, decisions out.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use hibiscusrail_core::Clock;
use hibiscusrail_fleet::event::{Execution, Inputs, Reason};
use hibiscusrail_fleet::{Decision, Event, Fleet, RequestKey};
use hibiscusrail_net::pool::Pool;
use hibiscusrail_net::{Channel, Connections};
use hibiscusrail_settings::FrontSettings;
use http::HeaderMap;

use crate::metrics::Metrics;
use crate::refusal;
use crate::shape::Shape;

/// Time for which an idle connection to a server is used again; servers close
/// idle connections after a whole number of seconds.
const IDLE_LIMIT: Duration = Duration::from_millis(900);

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of the server.
    pub id: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Server from which it copies what it lacks of the prompt's shared prefix.
    pub source: Option<SocketAddr>,
    /// When the first byte is expected, counted from the decision.
    pub expected: Duration,
}

/// The final word on a request that is given up.
#[derive(Debug, Clone, Copy)]
pub struct Verdict {
    /// Why.
    pub reason: Reason,
    /// Whether it ran.
    pub execution: Execution,
    /// When asking again makes sense.
    pub retry_after: Duration,
}

/// What is decided of a request.
#[derive(Debug, Clone)]
pub enum Next {
    /// Send it to a server.
    Send(Target),
    /// Give it up.
    GiveUp(Verdict),
}

/// Everything the daemon's tasks share.
pub struct Shell {
    fleet: RefCell<Fleet>,
    clock: Box<dyn Clock>,
    settings: RefCell<FrontSettings>,
    shape: Shape,
    pool: Rc<Pool<Channel>>,
    metrics: Metrics,
    connections: Rc<Connections>,
    next: Cell<u64>,
    news: RefCell<mpsc::Sender<()>>,
    heard: Cell<Option<mpsc::Receiver<()>>>,
    stopping: Cell<Option<Instant>>,
    leaving: Cell<bool>,
}

impl std::fmt::Debug for Shell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shell").finish_non_exhaustive()
    }
}

impl Shell {
    /// Creates the shell of a router that knows no configuration.
    #[must_use]
    pub fn new(settings: FrontSettings, shape: Shape, clock: Box<dyn Clock>) -> Self {
        let params = settings.params.clone();
        let name = shape.request_id.clone();
        let refuse = move |headers: &HeaderMap| refusal::crowded(headers.get(&name));
        let connections = Connections::new().with_refuse(Rc::new(refuse));
        let (news, heard) = mpsc::channel(0);
        let fleet = Fleet::new(&settings.name, clock.epoch_ms(), params, clock.now());
        Self {
            fleet: RefCell::new(fleet),
            clock,
            settings: RefCell::new(settings),
            shape,
            pool: Rc::new(Pool::new().with_limit(IDLE_LIMIT)),
            metrics: Metrics::new(),
            connections: Rc::new(connections),
            next: Cell::new(0),
            news: RefCell::new(news),
            heard: Cell::new(Some(heard)),
            stopping: Cell::new(None),
            leaving: Cell::new(false),
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time of day in milliseconds since the Unix epoch.
    #[must_use]
    pub fn epoch_ms(&self) -> u64 {
        self.clock.epoch_ms()
    }

    /// Returns a copy of the settings in force.
    #[must_use]
    pub fn settings(&self) -> FrontSettings {
        self.settings.borrow().clone()
    }

    /// Puts changed settings in force, as far as a running process can.
    pub fn reload(&self, settings: FrontSettings) {
        self.fleet.borrow_mut().set_params(settings.params.clone());
        *self.settings.borrow_mut() = settings;
    }

    /// Returns the names by which callers and servers speak.
    #[must_use]
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Returns the idle connections to servers.
    #[must_use]
    pub fn pool(&self) -> &Rc<Pool<Channel>> {
        &self.pool
    }

    /// Returns the metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the account of callers' connections.
    #[must_use]
    pub fn connections(&self) -> &Rc<Connections> {
        &self.connections
    }

    /// Returns whether callers' connections are getting scarce.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.connections.open() > self.settings.borrow().connections() / 2
    }

    /// Returns whether the router is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Returns how long the router has been stopping.
    #[must_use]
    pub fn stopping_for(&self) -> Option<Duration> {
        let since = self.stopping.get()?;
        Some(self.now().saturating_duration_since(since))
    }

    /// Notes that the router is stopping.
    pub fn stop(&self) {
        self.stopping.set(Some(self.now()));
    }

    /// Notes that the process is about to end: no request is taken any more.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Returns whether the process is about to end.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let fleet = self.fleet.borrow();
        !self.is_stopping() && fleet.orders().deployment.is_some() && !fleet.sheds()
    }

    /// Returns the end at which news for the other routers are announced; once.
    #[must_use]
    pub fn news(&self) -> Option<mpsc::Receiver<()>> {
        self.heard.take()
    }

    /// Looks at the reducer's state.
    pub fn with_fleet<T>(&self, look: impl FnOnce(&Fleet) -> T) -> T {
        look(&self.fleet.borrow())
    }

    /// Uses the reducer beside its events, for reports.
    pub fn with_fleet_mut<T>(&self, work: impl FnOnce(&mut Fleet) -> T) -> T {
        work(&mut self.fleet.borrow_mut())
    }

    /// Returns a new number for a request.
    #[must_use]
    pub fn next_request(&self) -> RequestKey {
        let key = RequestKey(self.next.get());
        self.next.set(key.0 + 1);
        key
    }

    /// Gives an event to the reducer and returns what it decides of a request, if it does.
    pub fn event(&self, event: Event) -> Option<Next> {
        let decisions = self.fleet.borrow_mut().handle(self.now(), event);
        if self.fleet.borrow().has_news() {
            // A full channel means that it is announced already.
            let _ = self.news.borrow_mut().try_send(());
        }
        let mut next = None;
        for decision in decisions {
            match decision {
                Decision::Send {
                    request,
                    id,
                    address,
                    source,
                    expected,
                    inputs,
                    ..
                } => {
                    log_send(request, &id, expected, &inputs);
                    self.metrics.sent();
                    next = Some(Next::Send(Target {
                        id,
                        address,
                        source,
                        expected,
                    }));
                }
                Decision::GiveUp {
                    request,
                    reason,
                    execution,
                    retry_after,
                    inputs,
                } => {
                    if let Some(inputs) = inputs {
                        log_refused(request, reason, &inputs);
                    }
                    next = Some(Next::GiveUp(Verdict {
                        reason,
                        execution,
                        retry_after,
                    }));
                }
                Decision::Log {
                    event,
                    subject,
                    detail,
                } => log::info!(subject = subject.as_str(), detail = detail.as_str(); "{event}"),
            }
        }
        next
    }
}

fn log_send(request: RequestKey, server: &str, expected: Duration, inputs: &Inputs) {
    log::info!(
        call = request.0,
        server = server,
        expected_ms = millis(expected),
        unread = inputs.unread,
        running = inputs.running,
        read = inputs.read,
        shared = inputs.shared,
        reading = inputs.reading,
        pace_us = micros(inputs.pace),
        home = inputs.home,
        copied = inputs.copied,
        standing:? = inputs.standing,
        revision = inputs.revision.0;
        "request_placed"
    );
}

fn log_refused(request: RequestKey, reason: Reason, inputs: &Inputs) {
    log::info!(
        call = request.0,
        reason:? = reason,
        begin_ms = millis(inputs.begin),
        unread = inputs.unread,
        taken = inputs.taken,
        reading = inputs.reading,
        pace_us = micros(inputs.pace),
        standing:? = inputs.standing,
        revision = inputs.revision.0;
        "request_not_placed"
    );
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns whole milliseconds, for log lines.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
