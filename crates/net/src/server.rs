//! Incoming HTTP connections, with limits on what a peer can push.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use hibiscusrail_macros::value;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::body::Body;
use crate::socket::SocketStream;
use crate::stall::Stall;

/// Limits on connections.
#[value]
pub struct Limits {
    /// Connections open at the same time.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Time for the head of a request to arrive, also between requests.
    pub head_time: Duration,
    /// Time without progress after which a peer that does not read is cut.
    pub stall_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self::new()
    }
}

impl Limits {
    /// Returns limits fit for a router on a small host.
    #[must_use]
    pub fn new() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 64 * 1024,
            head_time: Duration::from_secs(30),
            stall_time: Duration::from_secs(30),
        }
    }
}

/// Pending connections that the system holds.
const BACKLOG: i32 = 1_024;
/// Connections accepted at once at most.
const ACCEPT_BATCH: usize = 64;
/// Connections over the limit that are answered at the same time.
const REFUSALS: usize = 64;
/// Time for the head of a request on a connection over the limit.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Opens a listening socket.
///
/// # Errors
///
/// Fails when the address is taken or not on this host.
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

/// Answers one request.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> LocalBoxFuture<'static, Response<Body>>>;

/// Answers a request on a connection over the limit.
pub type Refuse = Rc<dyn Fn(&HeaderMap) -> Response<Body>>;

/// What became of an accepted connection.
#[hibiscusrail_macros::id]
pub enum Accepted {
    /// It is served.
    Served,
    /// It is over the limit and its request is refused.
    Refused,
    /// It is over the limit of refusals too and was closed.
    Closed,
}

/// The open connections of one listener.
pub struct Connections {
    open: Cell<usize>,
    refused: Cell<usize>,
    close: Cell<Option<oneshot::Sender<()>>>,
    closing: Shared<oneshot::Receiver<()>>,
    refuse: Option<Refuse>,
    watch: Option<Rc<dyn Fn(Accepted)>>,
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
    /// Creates the account of a listener without connections.
    #[must_use]
    pub fn new() -> Self {
        let (close, closing) = oneshot::channel();
        Self {
            open: Cell::new(0),
            refused: Cell::new(0),
            close: Cell::new(Some(close)),
            closing: closing.shared(),
            refuse: None,
            watch: None,
        }
    }

    /// Sets the answer to requests on connections over the limit.
    #[must_use]
    pub fn with_refuse(mut self, refuse: Refuse) -> Self {
        self.refuse = Some(refuse);
        self
    }

    /// Sets who is told of every accepted connection.
    #[must_use]
    pub fn with_watch(mut self, watch: Rc<dyn Fn(Accepted)>) -> Self {
        self.watch = Some(watch);
        self
    }

    /// Returns the connections that are served.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes every connection once the answer under way is written.
    pub fn close(&self) {
        self.close.take();
    }

    /// Decides about a new connection and tells who watches.
    fn accept(&self, limits: Limits) -> Accepted {
        let accepted = if self.open.get() < limits.connections {
            Accepted::Served
        } else if self.refuse.is_some() && self.refused.get() < REFUSALS {
            Accepted::Refused
        } else {
            Accepted::Closed
        };
        if let Some(watch) = &self.watch {
            watch(accepted);
        }
        accepted
    }
}

/// Counts a connection for as long as it lives.
struct Counted {
    connections: Rc<Connections>,
    kind: Accepted,
}

impl Counted {
    fn new(connections: &Rc<Connections>, kind: Accepted) -> Self {
        let counted = Self {
            connections: Rc::clone(connections),
            kind,
        };
        let cell = counted.cell();
        cell.set(cell.get() + 1);
        counted
    }

    fn cell(&self) -> &Cell<usize> {
        match self.kind {
            Accepted::Served => &self.connections.open,
            Accepted::Refused | Accepted::Closed => &self.connections.refused,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let cell = self.cell();
        cell.set(cell.get() - 1);
    }
}

/// Accepts connections until the task is dropped.
pub async fn serve(listener: TcpListener, limits: Limits, handler: Handler) {
    serve_counted(listener, limits, handler, Rc::new(Connections::new())).await;
}

/// Accepts connections until the task is dropped, and keeps their account.
pub async fn serve_counted(
    listener: TcpListener,
    limits: Limits,
    handler: Handler,
    connections: Rc<Connections>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                admit(stream, limits, &handler, &connections);
                for stream in waiting(&listener) {
                    admit(stream, limits, &handler, &connections);
                }
            }
            Err(error) => {
                log::warn!(step = "accept", error:% = error; "accept_failed");
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Takes the connections that wait already, up to a batch.
///
/// A busy loop comes round seldom; one connection at a time would let the
/// queue overflow.
fn waiting(listener: &TcpListener) -> Vec<TcpStream> {
    let socket = SockRef::from(listener);
    let mut streams = Vec::new();
    while streams.len() < ACCEPT_BATCH {
        let Ok((stream, _)) = socket.accept() else {
            // None waits, or the next call to accept reports what is wrong.
            break;
        };
        if stream.set_nonblocking(true).is_err() {
            continue;
        }
        match TcpStream::from_std(stream.into()) {
            Ok(stream) => streams.push(stream),
            Err(error) => log::warn!(step = "accept", error:% = error; "accept_failed"),
        }
    }
    streams
}

fn admit(stream: TcpStream, limits: Limits, handler: &Handler, connections: &Rc<Connections>) {
    let kind = connections.accept(limits);
    let (limits, handler) = match (kind, &connections.refuse) {
        (Accepted::Served, _) => (limits, Rc::clone(handler)),
        (Accepted::Refused, Some(refuse)) => {
            let limits = Limits {
                head_time: REFUSAL_TIME,
                ..limits
            };
            (limits, refusing(refuse))
        }
        _ => {
            log::debug!(limit = limits.connections; "connection_refused");
            return;
        }
    };
    let counted = Counted::new(connections, kind);
    let closing = connections.closing.clone();
    compio::runtime::spawn(async move {
        connection(stream, limits, handler, closing).await;
        drop(counted);
    })
    .detach();
}

/// Returns a handler that refuses one request and closes the connection.
fn refusing(refuse: &Refuse) -> Handler {
    let refuse = Rc::clone(refuse);
    Rc::new(move |request| {
        let mut answer = refuse(request.headers());
        answer.headers_mut().insert(
            http::header::CONNECTION,
            http::HeaderValue::from_static("close"),
        );
        std::future::ready(answer).boxed_local()
    })
}

async fn connection(
    stream: TcpStream,
    limits: Limits,
    handler: Handler,
    closing: Shared<oneshot::Receiver<()>>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let Ok(stream) = SocketStream::new(stream) else {
        return;
    };
    let stream = Stall::new(stream, limits.stall_time);
    let serving = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head_bytes)
        .serve_connection(stream, service);
    let mut serving = std::pin::pin!(serving);
    let ended = futures_util::select! {
        result = serving.as_mut().fuse() => Some(result),
        _ = closing.fuse() => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = result {
        log::debug!(step = "serve", error:% = error; "connection_ended");
    }
}
