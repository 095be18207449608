//! Serves incoming HTTP connections within limits on their number, heads and stalls.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{Either, LocalBoxFuture, Shared, select};
use hibiscusrail_macros::value;
use http::{HeaderMap, HeaderName, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::io::Errno;
use rustix::net::SocketFlags;
use socket2::{Domain, Protocol, SockFilter, SockRef, Socket, Type};

use crate::body::Body;
use crate::event_loop;
use crate::head_timer::{HeadTimer, SharedTimeout};
use crate::linger::LingerQueue;
use crate::memory::WriteState;
use crate::poller::Watched;
use crate::socket::SocketStream;
use crate::stall::WriteTimeout;
use crate::time::timeout;
use crate::trace::{Trace, Traced};
use crate::triage::{self, Admitted, Next, Opened, OverLimit, Triage, WaitingRoom};

/// Limits on the connections of one listener.
#[value]
pub struct Limits {
    /// Maximum connections open at the same time.
    pub max_connections: usize,
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Timeout for the next request head, including the idle time between requests.
    pub head_timeout: Duration,
    /// Time without progress after which the connection of a peer that does not read is closed.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self::new()
    }
}

impl Limits {
    /// Returns limits that suit a router on a small host.
    #[must_use]
    pub fn new() -> Self {
        Self {
            max_connections: 4_096,
            max_head_bytes: 64 * 1024,
            head_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Length of the system's queue of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Maximum pending connections accepted in one turn of the event loop.
const MAX_ACCEPT_BATCH: usize = 64;
/// Number of batches that empty the system's queue.
const BACKLOG_BATCHES: usize = BACKLOG as usize / MAX_ACCEPT_BATCH;
/// Maximum connections over the limit that are refused by a response at the same time.
const MAX_REFUSALS: usize = 64;
/// Timeout for the request head on a connection over the limit.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the first request of a new connection once all connections are being closed: its peer
/// may have opened it before it knew, and the request is on its way.
const CLOSING_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the handshakes under way at the end of a listener: some round trips to a caller.
const HANDSHAKE_TIME: Duration = Duration::from_millis(20);

/// Opens a listening socket.
///
/// # Errors
///
/// Fails if the address is in use or not on this host.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Returns the response to a request.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> LocalBoxFuture<'static, Response<Body>>>;

/// Returns the response to a request on a connection over the limit, from its headers.
pub type RefusalHandler = Rc<dyn Fn(&HeaderMap) -> Response<Body>>;

/// What is done with an accepted connection.
#[hibiscusrail_macros::id]
pub enum Accepted {
    /// Its requests are served.
    Served,
    /// It is over the limit and its first request is refused.
    Refused,
    /// It is over the limit of refusals too and is closed without a response.
    Closed,
}

/// What happened at a listener, for counting.
#[hibiscusrail_macros::id]
pub enum AcceptEvent {
    /// A connection was accepted.
    Accepted(Accepted),
    /// A connection was refused or closed before it was served.
    Triaged,
    /// A batch was full, so further connections may wait in the system's queue.
    BatchFull,
    /// A connection could not be accepted, for example without a free file descriptor.
    Failed,
}

/// What was accepted at a listener since it was opened.
#[value]
#[derive(Default)]
pub struct AcceptTotals {
    /// Connections that are or were served.
    pub served: u64,
    /// Connections that were refused or closed before they were served.
    pub refused: u64,
    /// Batches after which further connections may have waited in the system's queue.
    pub full_batches: u64,
    /// Time for accepting, and for refusing at the head of a request.
    pub time: Duration,
}

/// Counts the open connections of one listener and closes them on request.
pub struct Connections {
    open: Cell<usize>,
    refused: Cell<usize>,
    totals: Cell<AcceptTotals>,
    /// Replaces the head timeout of the listener's limits.
    head_timeout: Arc<SharedTimeout>,
    close: Cell<Option<oneshot::Sender<()>>>,
    closing: Shared<oneshot::Receiver<()>>,
    stop: Cell<Option<oneshot::Sender<()>>>,
    stopped: Shared<oneshot::Receiver<()>>,
    refuse: Option<RefusalHandler>,
    /// Header with a request's id, for the log.
    id_header: Option<HeaderName>,
    triage: RefCell<Option<Rc<dyn Triage>>>,
    on_accept: Option<Rc<dyn Fn(AcceptEvent)>>,
}

impl std::fmt::Debug for Connections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connections")
            .field("open", &self.open)
            .field("refused", &self.refused)
            .finish_non_exhaustive()
    }
}

impl Default for Connections {
    fn default() -> Self {
        Self::new()
    }
}

impl Connections {
    /// Creates the state of a listener without connections.
    #[must_use]
    pub fn new() -> Self {
        let (close, closing) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        Self {
            open: Cell::new(0),
            refused: Cell::new(0),
            totals: Cell::default(),
            head_timeout: Arc::default(),
            close: Cell::new(Some(close)),
            closing: closing.shared(),
            stop: Cell::new(Some(stop)),
            stopped: stopped.shared(),
            refuse: None,
            id_header: None,
            triage: RefCell::default(),
            on_accept: None,
        }
    }

    /// Sets the response to requests on connections over the limit, which are closed otherwise.
    #[must_use]
    pub fn with_refusal(mut self, refuse: RefusalHandler) -> Self {
        self.refuse = Some(refuse);
        self
    }

    /// Sets the header with a request's id, which the log names.
    #[must_use]
    pub fn with_id_header(mut self, name: HeaderName) -> Self {
        self.id_header = Some(name);
        self
    }

    /// Sets a callback that is called for every event at the listener.
    #[must_use]
    pub fn with_on_accept(mut self, on_accept: Rc<dyn Fn(AcceptEvent)>) -> Self {
        self.on_accept = Some(on_accept);
        self
    }

    /// Returns the number of connections that are served.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Closes every connection once its current response is written.
    pub fn close(&self) {
        self.close.take();
    }

    /// Accepts the connections that wait in the system's queue and those whose handshake is under way,
    /// then closes the listener.
    ///
    /// The system refuses later ones, so their peers know that no request was read.
    pub fn stop_accepting(&self) {
        self.stop.take();
    }

    /// Sets the timeout for the next request head.
    ///
    /// A longer one holds for all connections at once, a shorter one on each from its next response.
    pub fn set_head_timeout(&self, timeout: Duration) {
        self.head_timeout.set(timeout);
    }

    /// Sets what decides on the first request of new connections while it is active.
    pub fn set_triage(&self, triage: Rc<dyn Triage>) {
        self.triage.replace(Some(triage));
    }

    /// Returns what was accepted since the listener was opened.
    #[must_use]
    pub fn totals(&self) -> AcceptTotals {
        self.totals.get()
    }

    fn notify(&self, event: AcceptEvent) {
        let mut totals = self.totals.get();
        match event {
            AcceptEvent::Accepted(Accepted::Served) => totals.served += 1,
            AcceptEvent::Accepted(_) | AcceptEvent::Triaged => totals.refused += 1,
            AcceptEvent::BatchFull => totals.full_batches += 1,
            AcceptEvent::Failed => {}
        }
        self.totals.set(totals);
        if let Some(on_accept) = &self.on_accept {
            on_accept(event);
        }
    }

    /// Decides what is done with a new connection and calls the callback.
    fn classify(&self, limits: Limits) -> Accepted {
        let accepted = if self.open.get() < limits.max_connections {
            Accepted::Served
        } else if self.refuse.is_some() && self.refused.get() < MAX_REFUSALS {
            Accepted::Refused
        } else {
            Accepted::Closed
        };
        self.notify(AcceptEvent::Accepted(accepted));
        accepted
    }
}

/// Counts a connection until the guard is dropped.
struct CountGuard {
    connections: Rc<Connections>,
    kind: Accepted,
}

impl CountGuard {
    fn new(connections: &Rc<Connections>, kind: Accepted) -> Self {
        let guard = Self {
            connections: Rc::clone(connections),
            kind,
        };
        let counter = guard.counter();
        counter.set(counter.get() + 1);
        guard
    }

    fn counter(&self) -> &Cell<usize> {
        match self.kind {
            Accepted::Served => &self.connections.open,
            Accepted::Refused | Accepted::Closed => &self.connections.refused,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let counter = self.counter();
        counter.set(counter.get() - 1);
    }
}

/// Accepts connections until the task is dropped.
pub async fn serve(listener: TcpListener, limits: Limits, handler: Handler) {
    serve_counted(listener, limits, handler, Rc::new(Connections::new())).await;
}

/// Accepts connections until the task is dropped and counts them in `connections`.
pub async fn serve_counted(
    listener: TcpListener,
    limits: Limits,
    handler: Handler,
    connections: Rc<Connections>,
) {
    let listener = match Watched::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(step = "accept", error:% = error; "accept_failed");
            return;
        }
    };
    let server = Rc::new(Server {
        limits,
        handler,
        connections,
        waiting: RefCell::default(),
        lingering: Rc::default(),
    });
    let mut stopped = server.connections.stopped.clone();
    loop {
        // Accepting itself completes at once while a connection is pending; other tasks get their turn
        // after each batch.
        let accepted = match select(pin!(listener.readable()), &mut stopped).await {
            Either::Left((Ok(()), _)) => server.accept_timed(&listener),
            Either::Left((Err(error), _)) => Err(error),
            Either::Right(_) => break,
        };
        match accepted {
            Ok(true) => {}
            Ok(false) => {
                listener.keep_readable();
                event_loop::yield_now().await;
            }
            Err(error) => {
                server.accept_failed(&error);
                listener.keep_readable();
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    if let Err(error) = ignore_handshakes(&listener) {
        log::debug!(step = "stop_accepting", error:% = error; "accept_failed");
    }
    compio::time::sleep(HANDSHAKE_TIME).await;
    server.empty_queue(&listener);
}

/// Makes the system ignore new handshakes at a listener, while those under way complete.
///
/// Without it, a connection made between the last look at the queue and the close of the listener is
/// reset with its request unread. The peer repeats its handshake and is refused once the listener is
/// closed.
///
/// # Errors
///
/// Fails if the system has no socket filters.
fn ignore_handshakes(listener: &TcpListener) -> io::Result<()> {
    /// Offset of the flags in a TCP header.
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    // Classic BPF: load a byte, jump if a bit is set, return the number of bytes to keep.
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    SockRef::from(&listener.as_fd()).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ])
}

/// A listener's limits and handlers, and the connections that are not decided on.
struct Server {
    limits: Limits,
    handler: Handler,
    connections: Rc<Connections>,
    waiting: RefCell<WaitingRoom>,
    lingering: Rc<LingerQueue>,
}

impl Server {
    fn accept_failed(&self, error: &io::Error) {
        self.connections.notify(AcceptEvent::Failed);
        log::warn!(step = "accept", error:% = error; "accept_failed");
    }

    /// Accepts all pending connections, of which the system's queue holds a bounded number.
    fn empty_queue(self: &Rc<Self>, listener: &Watched<TcpListener>) {
        for _ in 0..=BACKLOG_BATCHES {
            match self.accept_batch(listener) {
                Ok(false) => {}
                Ok(true) => return,
                Err(error) => return self.accept_failed(&error),
            }
        }
    }

    /// Accepts a batch and adds the time that it took.
    fn accept_timed(self: &Rc<Self>, listener: &TcpListener) -> io::Result<bool> {
        let began = Instant::now();
        let accepted = self.accept_batch(listener);
        let mut totals = self.connections.totals.get();
        totals.time += began.elapsed();
        self.connections.totals.set(totals);
        accepted
    }

    /// Accepts the pending connections, up to a batch; the rest stays in the system's queue. Returns
    /// whether that is empty.
    fn accept_batch(self: &Rc<Self>, listener: &TcpListener) -> io::Result<bool> {
        for _ in 0..MAX_ACCEPT_BATCH {
            let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
            let stream = match rustix::net::accept_with(listener.as_fd(), flags) {
                Ok(stream) => stream,
                Err(Errno::AGAIN) => return Ok(true),
                // The caller has gone.
                Err(Errno::CONNABORTED | Errno::INTR) => continue,
                Err(error) => return Err(error.into()),
            };
            match self.active_triage() {
                Some(triage) => self.open(stream, triage.as_ref()),
                None => self.admit(Opened::new(stream)),
            }
        }
        self.connections.notify(AcceptEvent::BatchFull);
        Ok(false)
    }

    /// Returns what decides on new connections at present; none if all of them are served.
    fn active_triage(&self) -> Option<Rc<dyn Triage>> {
        let triage = self.connections.triage.borrow().clone()?;
        if self.connections.open.get() >= self.limits.max_connections {
            return Some(Rc::new(OverLimit(triage)));
        }
        triage.is_active().then_some(triage)
    }

    /// Refuses a new connection, waits for its request or has it served.
    fn open(self: &Rc<Self>, stream: OwnedFd, triage: &dyn Triage) {
        let now = Instant::now();
        let next = triage::open(now, stream, triage);
        self.leave_triage(now, next);
    }

    /// Does what is next with a connection, and counts it if it is not served.
    fn leave_triage(self: &Rc<Self>, now: Instant, next: Next) {
        match next {
            Next::Serve(opened) => self.admit(opened),
            Next::Wait(waiting) => {
                let mut room = self.waiting.borrow_mut();
                let was_empty = room.is_empty();
                let added = room.add(waiting);
                drop(room);
                match added {
                    Ok(()) if was_empty => {
                        event_loop::spawn(Rc::clone(self).watch_waiting());
                    }
                    Ok(()) => {}
                    Err(opened) => self.admit(opened),
                }
            }
            Next::Refused(stream, left) => {
                self.lingering.close(now, stream, left);
                self.connections.notify(AcceptEvent::Triaged);
            }
            Next::Done => self.connections.notify(AcceptEvent::Triaged),
        }
    }

    /// Looks at the waiting connections until there are none.
    async fn watch_waiting(self: Rc<Self>) {
        while !self.waiting.borrow().is_empty() {
            compio::time::sleep(WaitingRoom::INTERVAL).await;
            let triage = self.active_triage();
            let triage = triage.or_else(|| self.connections.triage.borrow().clone());
            let Some(triage) = triage else {
                return;
            };
            let now = Instant::now();
            let ended = self.waiting.borrow_mut().look(now, triage.as_ref());
            for next in ended {
                self.leave_triage(now, next);
            }
        }
    }

    fn admit(&self, opened: Opened) {
        let connections = &self.connections;
        let kind = connections.classify(self.limits);
        let (timer, handler) = match (kind, &connections.refuse) {
            (Accepted::Served, _) => {
                let shared = Arc::clone(&connections.head_timeout);
                let timer = HeadTimer::new(self.limits.head_timeout, shared);
                (timer, Rc::clone(&self.handler))
            }
            (Accepted::Refused, Some(refuse)) => {
                let timer = HeadTimer::new(REFUSAL_TIMEOUT, Arc::default());
                (timer, refusal_handler(refuse))
            }
            _ => {
                log::debug!(limit = self.limits.max_connections; "connection_refused");
                return;
            }
        };
        let guard = CountGuard::new(connections, kind);
        let closing = connections.closing.clone();
        let trace = Rc::new(Trace::new(connections.id_header.clone()));
        let limits = self.limits;
        let lingering = Rc::clone(&self.lingering);
        event_loop::spawn(async move {
            let rest = serve_connection(opened, limits, timer, handler, closing, trace).await;
            drop(guard);
            if let Some(stream) = rest {
                lingering.close(Instant::now(), stream, None);
            }
        });
    }
}

/// Returns a handler that refuses a request and closes the connection.
fn refusal_handler(refuse: &RefusalHandler) -> Handler {
    let refuse = Rc::clone(refuse);
    Rc::new(move |request| {
        let mut response = refuse(request.headers());
        response.headers_mut().insert(
            http::header::CONNECTION,
            http::HeaderValue::from_static("close"),
        );
        std::future::ready(response).boxed_local()
    })
}

/// Serves a connection to its end; returns its socket if the peer may still be sending.
async fn serve_connection(
    opened: Opened,
    limits: Limits,
    timer: HeadTimer,
    handler: Handler,
    closing: Shared<oneshot::Receiver<()>>,
    trace: Rc<Trace>,
) -> Option<OwnedFd> {
    let look = timer.look_flag();
    let stream = match SocketStream::new(opened.stream) {
        Ok(stream) => stream
            .with_prefix(opened.bytes)
            .with_end_flag(Rc::clone(&trace.peer_closed))
            .with_look_flag(Arc::clone(&look)),
        Err(error) => {
            log::debug!(step = "accept", error:% = error; "connection_ended");
            return None;
        }
    };
    let admitted = Cell::new(opened.admitted);
    let tracing = Rc::clone(&trace);
    let writing: Arc<WriteState> = Arc::default();
    let state = Arc::clone(&writing);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(Arc::clone(&writing));
        // Only the first request on the connection was judged.
        if admitted.take() {
            request.extensions_mut().insert(Admitted);
        }
        let has_body = !http_body::Body::is_end_stream(request.body());
        tracing.begin(request.headers(), has_body);
        let trace = Rc::clone(&tracing);
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await.map(|body| trace.respond(body))) }
    });
    let stream = Traced::new(
        WriteTimeout::new(stream, limits.write_timeout).with_state(state),
        Rc::clone(&trace),
    );
    let mut serving = http1::Builder::new()
        .timer(timer)
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(stream, service);
    let ended = futures_util::select! {
        result = (&mut serving).fuse() => Some(result),
        _ = closing.fuse() => None,
    };
    let (result, was_idle) = match ended {
        Some(result) => (result, false),
        None => {
            // A request that the event loop has not reported yet is served first.
            look.store(true, Ordering::Relaxed);
            match (&mut serving).now_or_never() {
                Some(result) => (result, false),
                None => {
                    if trace.is_new()
                        && let Ok(result) = timeout(CLOSING_HEAD_TIMEOUT, &mut serving).await
                    {
                        (result, false)
                    } else {
                        let was_idle = trace.is_idle();
                        Pin::new(&mut serving).graceful_shutdown();
                        ((&mut serving).await, was_idle)
                    }
                }
            }
        }
    };
    trace.log_end(&result);
    if was_idle || !trace.may_receive(&result) {
        return None;
    }
    let stream = serving.into_parts().io;
    stream.get_ref().get_ref().try_clone().ok()
}
