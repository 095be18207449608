//! The shell around the reducer: events in, effects out.

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

use crate::caller::Reserved;
use crate::claims;
use crate::delivery::Delivery;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::replay;
use crate::upstream;

/// What a caller's connection is told.
#[derive(Debug)]
pub enum ToCaller {
    /// Status and headers of the answer.
    Head(StatusCode, HeaderMap),
    /// A part of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The request was refused, or its answer cut.
    Refused(Refused),
}

/// A caller's request as servers receive it.
#[derive(Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query at the server.
    pub path: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Place of the body in the router's memory.
    pub reserved: Reserved,
    /// Request id.
    pub request: String,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Cost units per prompt token or request.
    pub prompt_weight: f64,
    /// Cost units per generated token or second.
    pub output_weight: f64,
    /// Whether a model engine answers.
    pub model: bool,
}

/// A call in progress.
#[derive(Debug, Clone)]
pub struct CallState {
    /// The request.
    pub request: Rc<Outgoing>,
    /// To the caller's connection.
    pub caller: mpsc::UnboundedSender<ToCaller>,
    /// What the caller has received.
    pub delivery: Rc<Delivery>,
}

impl CallState {
    /// Creates a call of which the caller has received nothing.
    #[must_use]
    pub fn new(request: Outgoing, caller: mpsc::UnboundedSender<ToCaller>) -> Self {
        Self {
            request: Rc::new(request),
            caller,
            delivery: Rc::default(),
        }
    }
}

/// Everything the daemon's tasks share.
pub struct Shell {
    router: RefCell<Router>,
    clock: Box<dyn Clock>,
    settings: RouterSettings,
    calls: RefCell<BTreeMap<CallId, CallState>>,
    tasks: RefCell<BTreeMap<AttemptKey, JoinHandle<()>>>,
    finished: RefCell<Vec<AttemptKey>>,
    next_call: Cell<u64>,
    delivering: Cell<usize>,
    held: Cell<usize>,
    peers: Peers,
    metrics: Rc<Metrics>,
    connections: Rc<Connections>,
    pool: Rc<Pool<Connection>>,
    wake: mpsc::UnboundedSender<()>,
    drained: RefCell<Option<mpsc::UnboundedSender<u32>>>,
    stop: RefCell<Option<mpsc::UnboundedSender<Duration>>>,
}

impl std::fmt::Debug for Shell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shell").finish_non_exhaustive()
    }
}

impl Shell {
    /// Creates the shell; `wake` is told when the next timer may have changed.
    #[must_use]
    pub fn new(
        router: Router,
        clock: Box<dyn Clock>,
        settings: RouterSettings,
        peers: Peers,
        metrics: Rc<Metrics>,
        connections: Rc<Connections>,
        wake: mpsc::UnboundedSender<()>,
    ) -> Self {
        Self {
            router: RefCell::new(router),
            clock,
            settings,
            calls: RefCell::default(),
            tasks: RefCell::default(),
            finished: RefCell::default(),
            next_call: Cell::new(0),
            delivering: Cell::new(0),
            held: Cell::new(0),
            peers,
            metrics,
            connections,
            pool: Rc::default(),
            wake,
            drained: RefCell::new(None),
            stop: RefCell::new(None),
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

    /// Returns the datagrams' side.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
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

    /// Returns the requests whose answers are on their way to callers.
    #[must_use]
    pub fn delivering(&self) -> usize {
        self.delivering.get()
    }

    /// Reserves memory for a caller's request; false when there is none left.
    pub fn reserve(&self, bytes: usize) -> bool {
        let held = self.held.get() + bytes;
        if held > self.settings.held_bytes {
            return false;
        }
        self.held.set(held);
        true
    }

    /// Returns the bytes of callers' requests that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Gives reserved memory back.
    pub fn give_back(&self, bytes: usize) {
        self.held.set(self.held.get() - bytes);
    }

    /// Counts a delivery that begins.
    pub fn begin_delivery(&self) {
        self.delivering.set(self.delivering.get() + 1);
    }

    /// Counts a delivery that ended.
    pub fn end_delivery(&self) {
        self.delivering.set(self.delivering.get() - 1);
    }

    /// Returns the idle connections to servers.
    #[must_use]
    pub fn pool(&self) -> &Rc<Pool<Connection>> {
        &self.pool
    }

    /// Looks at the reducer's state.
    pub fn with_router<T>(&self, look: impl FnOnce(&Router) -> T) -> T {
        look(&self.router.borrow())
    }

    /// Names who is told when all work is done after a drain.
    pub fn on_drained(&self, sender: mpsc::UnboundedSender<u32>) {
        *self.drained.borrow_mut() = Some(sender);
    }

    /// Names who is told when an operator asks for a stop.
    pub fn on_stop(&self, sender: mpsc::UnboundedSender<Duration>) {
        *self.stop.borrow_mut() = Some(sender);
    }

    /// Starts a graceful stop that leaves running work `patience` to end.
    pub fn ask_stop(self: &Rc<Self>, patience: Duration) {
        let told = self
            .stop
            .borrow()
            .as_ref()
            .is_some_and(|s| s.unbounded_send(patience).is_ok());
        if !told {
            self.event(Event::Drain { patience });
        }
    }

    /// Registers a call and returns its number.
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

    /// Forgets a call whose caller hung up.
    pub fn hang_up(self: &Rc<Self>, id: CallId) {
        if self.calls.borrow_mut().remove(&id).is_some() {
            self.event(Event::Hangup(id));
        }
    }

    /// Gives an event to the reducer and carries out its effects.
    pub fn event(self: &Rc<Self>, event: Event) {
        let (effects, next) = {
            let mut router = self.router.borrow_mut();
            let before = router.next_timer();
            let effects = router.handle(self.clock.now(), event);
            (effects, router.next_timer() != before)
        };
        if next {
            // The receiver lives as long as the process.
            let _ = self.wake.unbounded_send(());
        }
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.peers.send(to, message),
            Effect::Address(router, address) => self.peers.learn(router, address),
            Effect::Dispatch(dispatch) => self.dispatch(dispatch),
            Effect::Cancel(attempt) => {
                self.tasks.borrow_mut().remove(&attempt);
            }
            Effect::Suspect(address) => self.pool.suspect(address),
            Effect::Claim(op, request) => {
                let shell = Rc::clone(self);
                compio::runtime::spawn(claims::carry_out(shell, op, request)).detach();
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
                if let Some(sender) = self.drained.borrow().as_ref() {
                    let _ = sender.unbounded_send(cut);
                }
            }
        }
    }

    fn dispatch(self: &Rc<Self>, dispatch: Dispatch) {
        for key in self.finished.borrow_mut().drain(..) {
            self.tasks.borrow_mut().remove(&key);
        }
        let Some(state) = self.call(dispatch.call) else {
            return;
        };
        let key = dispatch.attempt;
        let shell = Rc::clone(self);
        let task = compio::runtime::spawn(async move {
            let milestone = upstream::run(&shell, &dispatch, &state).await;
            shell.finished.borrow_mut().push(key);
            shell.event(Event::Attempt(key, milestone));
        });
        self.tasks.borrow_mut().insert(key, task);
    }
}

/// Writes a record of the reducer as one log line.
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
