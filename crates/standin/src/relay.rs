//! A relay that simulates the network between zones, including partitions.
//!
//! Datagrams and connections are forwarded along routes, each in a group. While a group is cut, its
//! datagrams are dropped and the bytes of its connections held back, as in a network partition.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream, UdpSocket};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_macros::{id, record};
use hibiscusrail_net::Body;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::faults::FaultInjector;
use crate::host::Service;
use crate::http_util::{BufferedRequest, json_response, parse_json, text_response};

/// Buffer size per route or connection direction.
const BUFFER_BYTES: usize = 65_536;
/// Interval at which a held connection checks whether its group is still cut.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Transport protocol of a route.
#[id]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transport {
    /// Forwards datagrams, in one direction.
    Udp,
    /// Forwards connections, in both directions.
    Tcp,
}

/// A listening address and the address its traffic is forwarded to.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Address that the relay listens on.
    pub listen: SocketAddr,
    /// Address that the relay forwards to.
    pub to: SocketAddr,
    /// Transport protocol.
    pub carrier: Transport,
    /// Group of routes that are cut together.
    pub group: String,
}

/// A network relay: `POST /routes` adds routes, `POST /cuts` replaces the set of cut groups.
#[derive(Debug, Default)]
pub struct Relay {
    cut_groups: RefCell<BTreeSet<String>>,
    faults: FaultInjector,
}

impl Service for Rc<Relay> {
    fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    fn handle(self: Rc<Self>, request: BufferedRequest) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            (*self)
                .route_request(&request)
                .unwrap_or_else(|rejection| rejection)
        }
        .boxed_local()
    }

    fn handle_control(&self, _request: &BufferedRequest) -> Option<Response<Body>> {
        None
    }
}

impl Relay {
    /// Creates a relay without routes, where no group is cut.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    #[allow(clippy::result_large_err)]
    fn route_request(
        self: &Rc<Self>,
        request: &BufferedRequest,
    ) -> Result<Response<Body>, Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/routes") => {
                let routes: Vec<Route> = parse_json(request.body())?;
                for route in routes {
                    if let Err(error) = self.add_route(route) {
                        log::warn!(error:% = error; "route_refused");
                        return Err(text_response(
                            StatusCode::CONFLICT,
                            "an address can't be opened",
                        ));
                    }
                }
            }
            (&Method::POST, "/cuts") => {
                *self.cut_groups.borrow_mut() = parse_json(request.body())?;
            }
            _ => return Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
        }
        Ok(json_response(&*self.cut_groups.borrow()))
    }

    /// Adds a route and starts forwarding.
    ///
    /// # Errors
    ///
    /// Fails when the relay cannot listen on the route's address.
    pub fn add_route(self: &Rc<Self>, route: Route) -> io::Result<()> {
        let relay = Rc::clone(self);
        match route.carrier {
            Transport::Udp => {
                let socket = std::net::UdpSocket::bind(route.listen)?;
                socket.set_nonblocking(true)?;
                let socket = UdpSocket::from_std(socket)?;
                compio::runtime::spawn(relay.forward_datagrams(socket, route)).detach();
            }
            Transport::Tcp => {
                let listener = hibiscusrail_net::bind(route.listen)?;
                compio::runtime::spawn(relay.accept(listener, route)).detach();
            }
        }
        Ok(())
    }

    /// Replaces the set of groups that are cut.
    pub fn set_cut_groups(&self, groups: impl IntoIterator<Item = String>) {
        *self.cut_groups.borrow_mut() = groups.into_iter().collect();
    }

    fn is_cut(&self, group: &str) -> bool {
        self.cut_groups.borrow().contains(group)
    }

    async fn forward_datagrams(self: Rc<Self>, socket: UdpSocket, route: Route) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, datagram) = socket.recv_from(buffer).await;
            buffer = datagram;
            if result.is_err() || self.is_cut(&route.group) {
                continue;
            }
            // A datagram that cannot be forwarded is dropped.
            let BufResult(_, datagram) = socket.send_to(buffer, route.to).await;
            buffer = datagram;
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, route: Route) {
        while let Ok((caller, _)) = listener.accept().await {
            let (relay, route) = (Rc::clone(&self), route.clone());
            compio::runtime::spawn(async move {
                relay.wait_while_cut(&route.group).await;
                let Ok(server) = TcpStream::connect(route.to).await else {
                    return;
                };
                // Disables Nagle's algorithm, so that small writes do not wait for each other.
                let _ = (caller.set_nodelay(true), server.set_nodelay(true));
                let (caller, server) = (caller.into_split(), server.into_split());
                let upstream = relay.forward_bytes(caller.0, server.1, &route.group);
                let downstream = relay.forward_bytes(server.0, caller.1, &route.group);
                futures_util::future::join(upstream, downstream).await;
            })
            .detach();
        }
    }

    /// Waits until a group is not cut.
    async fn wait_while_cut(&self, group: &str) {
        while self.is_cut(group) {
            compio::time::sleep(CUT_POLL_INTERVAL).await;
        }
    }

    /// Forwards bytes in one direction until either end closes.
    async fn forward_bytes(&self, mut from: TcpStream, mut to: TcpStream, group: &str) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, read) = from.read(buffer).await;
            self.wait_while_cut(group).await;
            if !matches!(result, Ok(1..)) {
                // The receiving end may have closed already.
                let _ = to.shutdown().await;
                return;
            }
            let BufResult(result, read) = to.write_all(read).await;
            if result.is_err() {
                return;
            }
            buffer = read;
        }
    }
}
