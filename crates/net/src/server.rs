//! Incoming HTTP connections, with limits on what a peer can push.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::LocalBoxFuture;
use hibiscusrail_macros::value;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use socket2::{Domain, Protocol, Socket, Type};

use crate::body::Body;

/// Limits on connections.
#[value]
pub struct Limits {
    /// Connections open at the same time.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Headers of a request.
    pub headers: usize,
    /// Time for the head of a request to arrive, also between requests.
    pub head_time: Duration,
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
            head_bytes: 32 * 1024,
            headers: 64,
            head_time: Duration::from_secs(30),
        }
    }
}

/// Pending connections that the system holds.
const BACKLOG: i32 = 1_024;

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

/// Accepts connections until the task is dropped.
pub async fn serve(listener: TcpListener, limits: Limits, handler: Handler) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if open.get() >= limits.connections {
                    log::warn!(limit = limits.connections; "connection_limit");
                    continue;
                }
                open.set(open.get() + 1);
                let open = Rc::clone(&open);
                let handler = Rc::clone(&handler);
                compio::runtime::spawn(async move {
                    connection(stream, limits, handler).await;
                    open.set(open.get() - 1);
                })
                .detach();
            }
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, limits: Limits, handler: Handler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let result = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head_bytes)
        .max_headers(limits.headers)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!(error:% = error; "connection_ended");
    }
}
