//! State that the daemon's tasks share; passes events to the reducer and executes its effects.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::runtime::JoinHandle;
use futures_channel::mpsc;
use hibiscusrail_core::effect::{Dispatch, Effect, Level, Record, Refused};
use hibiscusrail_core::{AttemptKey, CallId, Clock, Event, Router};
use hibiscusrail_net::pool::Pool;
use hibiscusrail_net::{Connection, Connections};
use hibiscusrail_settings::RouterSettings;
use http::{HeaderMap, Method, StatusCode};

use crate::caller::Reservation;
use crate::claims;
use crate::delivery::Delivery;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::replay;
use crate::upstream;

/// Message to the task that writes the response to a caller.
#[derive(Debug)]
pub enum ToCaller {
    /// Status and headers of the response.
    Head(StatusCode, HeaderMap),
    /// A part of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The request was refused, or its response was interrupted.
    Refused(Refused),
}

/// A caller's request in the form in which backend servers receive it.
#[derive(Debug)]
pub struct Outgoing {
    /// HTTP method.
    pub method: Method,
    /// Path and query for the backend server.
    pub path: String,
    /// Headers for the backend server.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Memory reservation for the body.
    pub reservation: Reservation,
    /// Id of the request.
    pub request_id: String,
    /// Whether the caller asked for a stream of events.
    pub stream: bool,
    /// Cost units per prompt token of a model service, else per request.
    pub prompt_weight: f64,
    /// Cost units per generated token of a model service, else per second.
    pub output_weight: f64,
    /// Whether the service is a model service.
    pub model: bool,
}

/// A call in progress: a caller's request and the delivery of its response.
#[derive(Debug, Clone)]
pub struct CallState {
    /// The request for backend servers.
    pub request: Rc<Outgoing>,
    /// Channel to the task that writes the response.
    pub caller: mpsc::UnboundedSender<ToCaller>,
    /// What the caller has received of the response.
    pub delivery: Rc<Delivery>,
}

impl CallState {
    /// Creates a call whose response has not started.
    #[must_use]
    pub fn new(request: Outgoing, caller: mpsc::UnboundedSender<ToCaller>) -> Self {
        Self {
            request: Rc::new(request),
            caller,
            delivery: Rc::default(),
        }
    }
}

/// State that the daemon's tasks share.
pub struct Shell {
    router: RefCell<Router>,
    clock: Box<dyn Clock>,
    settings: RouterSettings,
    calls: RefCell<BTreeMap<CallId, CallState>>,
    attempt_tasks: RefCell<BTreeMap<AttemptKey, JoinHandle<()>>>,
    finished: RefCell<Vec<AttemptKey>>,
    next_call: Cell<u64>,
    deliveries: Cell<usize>,
    reserved_bytes: Cell<usize>,
    peers: Peers,
    metrics: Rc<Metrics>,
    connections: Rc<Connections>,
    pool: Rc<Pool<Connection>>,
    timer_wake: mpsc::UnboundedSender<()>,
    drain_listener: RefCell<Option<mpsc::UnboundedSender<u32>>>,
    stop_listener: RefCell<Option<mpsc::UnboundedSender<Duration>>>,
}

impl std::fmt::Debug for Shell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shell").finish_non_exhaustive()
    }
}

impl Shell {
    /// Creates the shell; `timer_wake` is notified when the next timer has changed.
    #[must_use]
    pub fn new(
        router: Router,
        clock: Box<dyn Clock>,
        settings: RouterSettings,
        peers: Peers,
        metrics: Rc<Metrics>,
        connections: Rc<Connections>,
        timer_wake: mpsc::UnboundedSender<()>,
    ) -> Self {
        Self {
            router: RefCell::new(router),
            clock,
            settings,
            calls: RefCell::default(),
            attempt_tasks: RefCell::default(),
            finished: RefCell::default(),
            next_call: Cell::new(0),
            deliveries: Cell::new(0),
            reserved_bytes: Cell::new(0),
            peers,
            metrics,
            connections,
            pool: Rc::default(),
            timer_wake,
            drain_listener: RefCell::new(None),
            stop_listener: RefCell::new(None),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &RouterSettings {
        &self.settings
    }

    /// Returns the clock.
    #[must_use]
    pub fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// Returns the socket to the other routers.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the open connections of callers.
    #[must_use]
    pub fn connections(&self) -> &Rc<Connections> {
        &self.connections
    }

    /// Returns the number of calls whose caller has not received the complete response.
    #[must_use]
    pub fn active_deliveries(&self) -> usize {
        self.deliveries.get()
    }

    /// Reserves memory for request bodies; returns false if the limit is exceeded.
    pub fn reserve(&self, bytes: usize) -> bool {
        let reserved = self.reserved_bytes.get() + bytes;
        if reserved > self.settings.max_reserved_bytes {
            return false;
        }
        self.reserved_bytes.set(reserved);
        true
    }

    /// Returns the bytes reserved for request bodies.
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.get()
    }

    /// Releases memory reserved with [`Self::reserve`].
    pub fn release(&self, bytes: usize) {
        self.reserved_bytes.set(self.reserved_bytes.get() - bytes);
    }

    /// Counts the start of a delivery.
    pub fn begin_delivery(&self) {
        self.deliveries.set(self.deliveries.get() + 1);
    }

    /// Counts the end of a delivery.
    pub fn end_delivery(&self) {
        self.deliveries.set(self.deliveries.get() - 1);
    }

    /// Returns the pool of idle connections to backend servers.
    #[must_use]
    pub fn pool(&self) -> &Rc<Pool<Connection>> {
        &self.pool
    }

    /// Calls `read` with the reducer's state.
    pub fn with_router<T>(&self, read: impl FnOnce(&Router) -> T) -> T {
        read(&self.router.borrow())
    }

    /// Sets the channel that receives the number of interrupted requests when a drain completes.
    pub fn set_drain_listener(&self, sender: mpsc::UnboundedSender<u32>) {
        *self.drain_listener.borrow_mut() = Some(sender);
    }

    /// Sets the channel that receives the time limit of a stop that an operator requests.
    pub fn set_stop_listener(&self, sender: mpsc::UnboundedSender<Duration>) {
        *self.stop_listener.borrow_mut() = Some(sender);
    }

    /// Starts a graceful stop in which running requests have at most `time_limit` to finish.
    pub fn request_stop(self: &Rc<Self>, time_limit: Duration) {
        let sent = self
            .stop_listener
            .borrow()
            .as_ref()
            .is_some_and(|s| s.unbounded_send(time_limit).is_ok());
        if !sent {
            self.handle(Event::Drain { time_limit });
        }
    }

    /// Registers a call and returns its id.
    pub fn open_call(&self, state: CallState) -> CallId {
        let id = CallId(self.next_call.get());
        self.next_call.set(id.0 + 1);
        self.calls.borrow_mut().insert(id, state);
        id
    }

    /// Returns a call in progress.
    #[must_use]
    pub fn call(&self, id: CallId) -> Option<CallState> {
        self.calls.borrow().get(&id).cloned()
    }

    /// Removes a call whose caller hung up and tells the reducer, unless the call has ended.
    pub fn hang_up(self: &Rc<Self>, id: CallId) {
        if self.calls.borrow_mut().remove(&id).is_some() {
            self.handle(Event::Hangup(id));
        }
    }

    /// Passes an event to the reducer and executes the resulting effects.
    pub fn handle(self: &Rc<Self>, event: Event) {
        let (effects, timer_changed) = {
            let mut router = self.router.borrow_mut();
            let timer = router.next_timer();
            let effects = router.handle(self.clock.now(), event);
            (effects, router.next_timer() != timer)
        };
        if timer_changed {
            // The timer task holds the receiver until the process ends.
            let _ = self.timer_wake.unbounded_send(());
        }
        for effect in effects {
            self.execute(effect);
        }
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.peers.send(to, message),
            Effect::SetAddress(router, address) => self.peers.learn(router, address),
            Effect::Dispatch(dispatch) => self.dispatch(dispatch),
            Effect::Cancel(attempt) => {
                self.attempt_tasks.borrow_mut().remove(&attempt);
            }
            Effect::DropIdleConnections(address) => self.pool.discard(address),
            Effect::Claim(op, request) => {
                let shell = Rc::clone(self);
                compio::runtime::spawn(claims::execute(shell, op, request)).detach();
            }
            Effect::Replay(call, stored) => {
                if let Some(state) = self.calls.borrow_mut().remove(&call) {
                    replay::deliver(&state, stored);
                }
            }
            Effect::Refuse(call, refused) => {
                if let Some(state) = self.calls.borrow_mut().remove(&call) {
                    let _ = state.caller.unbounded_send(ToCaller::Refused(refused));
                }
            }
            Effect::Finish(call) => {
                if let Some(state) = self.calls.borrow_mut().remove(&call) {
                    let _ = state.caller.unbounded_send(ToCaller::End);
                }
            }
            Effect::Log(record) => write_log(&record),
            Effect::Count(counter) => self.metrics.decision(counter),
            Effect::Drained { cut } => {
                if let Some(sender) = self.drain_listener.borrow().as_ref() {
                    let _ = sender.unbounded_send(cut);
                }
            }
        }
    }

    /// Starts the task of an attempt, and drops the handles of finished tasks.
    fn dispatch(self: &Rc<Self>, dispatch: Dispatch) {
        for key in self.finished.borrow_mut().drain(..) {
            self.attempt_tasks.borrow_mut().remove(&key);
        }
        let Some(state) = self.call(dispatch.call) else {
            return;
        };
        let key = dispatch.attempt;
        let shell = Rc::clone(self);
        let task = compio::runtime::spawn(async move {
            let milestone = upstream::run(&shell, &dispatch, &state).await;
            shell.finished.borrow_mut().push(key);
            shell.handle(Event::Attempt(key, milestone));
        });
        self.attempt_tasks.borrow_mut().insert(key, task);
    }
}

/// Writes a log record of the reducer as one line.
fn write_log(record: &Record) {
    let level = match record.level {
        Level::Debug => log::Level::Debug,
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
    };
    let pairs: Vec<(&str, &str)> = record
        .fields
        .iter()
        .map(|f| (f.key, f.value.as_str()))
        .collect();
    log::logger().log(
        &log::Record::builder()
            .level(level)
            .target("hibiscusrail")
            .args(format_args!("{}", record.event))
            .key_values(&pairs.as_slice())
            .build(),
    );
}
