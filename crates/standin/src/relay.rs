//! A relay that stands for the network between zones, and cuts it.
//!
//! Datagrams and connections go through by a table of address pairs. Each
//! pair belongs to a group; a cut group drops datagrams and holds the bytes of
//! connections back until it is healed, as a network partition does.

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

use crate::faults::FaultSwitch;
use crate::host::Service;
use crate::http_util::{Whole, ok_json, read_json, status};

/// Bytes read at once.
const BUFFER: usize = 65_536;
/// Pause between two looks whether a held connection may go on.
const HOLD_PAUSE: Duration = Duration::from_millis(10);

/// What a route carries.
#[id]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Carrier {
    /// Datagrams, one way.
    Udp,
    /// Connections, both ways.
    Tcp,
}

/// One pair of addresses.
#[record]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Where the relay listens.
    pub listen: SocketAddr,
    /// Where it passes on to.
    pub to: SocketAddr,
    /// What it carries.
    pub carrier: Carrier,
    /// Group that it is cut with.
    pub group: String,
}

/// State of the relay.
///
/// `POST /routes` adds routes, `POST /cuts` names the groups that are cut.
#[derive(Debug, Default)]
pub struct Relay {
    cuts: RefCell<BTreeSet<String>>,
    faults: FaultSwitch,
}

impl Service for Rc<Relay> {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    fn answer(self: Rc<Self>, request: Whole) -> LocalBoxFuture<'static, Response<Body>> {
        async move { (*self).route(&request).unwrap_or_else(|refusal| refusal) }.boxed_local()
    }

    fn control(&self, _request: &Whole) -> Option<Response<Body>> {
        None
    }
}

impl Relay {
    /// Creates a relay without routes and cuts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    #[allow(clippy::result_large_err)]
    fn route(self: &Rc<Self>, request: &Whole) -> Result<Response<Body>, Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/routes") => {
                let routes: Vec<Route> = read_json(request.body())?;
                for route in routes {
                    if let Err(error) = self.add(route) {
                        log::warn!(error:% = error; "route_refused");
                        return Err(status(StatusCode::CONFLICT, "an address can't be opened"));
                    }
                }
            }
            (&Method::POST, "/cuts") => {
                *self.cuts.borrow_mut() = read_json(request.body())?;
            }
            _ => return Ok(status(StatusCode::NOT_FOUND, "no such path")),
        }
        Ok(ok_json(&*self.cuts.borrow()))
    }

    /// Adds a route.
    ///
    /// # Errors
    ///
    /// Fails when its address can't be opened.
    pub fn add(self: &Rc<Self>, route: Route) -> io::Result<()> {
        let relay = Rc::clone(self);
        match route.carrier {
            Carrier::Udp => {
                let socket = std::net::UdpSocket::bind(route.listen)?;
                socket.set_nonblocking(true)?;
                let socket = UdpSocket::from_std(socket)?;
                compio::runtime::spawn(relay.pass_datagrams(socket, route)).detach();
            }
            Carrier::Tcp => {
                let listener = hibiscusrail_net::bind(route.listen)?;
                compio::runtime::spawn(relay.accept(listener, route)).detach();
            }
        }
        Ok(())
    }

    /// Names the groups that are cut from now on.
    pub fn set_cuts(&self, groups: impl IntoIterator<Item = String>) {
        *self.cuts.borrow_mut() = groups.into_iter().collect();
    }

    fn is_cut(&self, group: &str) -> bool {
        self.cuts.borrow().contains(group)
    }

    async fn pass_datagrams(self: Rc<Self>, socket: UdpSocket, route: Route) {
        let mut buffer = Vec::with_capacity(BUFFER);
        loop {
            buffer.clear();
            let BufResult(result, datagram) = socket.recv_from(buffer).await;
            buffer = datagram;
            if result.is_err() || self.is_cut(&route.group) {
                continue;
            }
            // A datagram that can't be passed on is lost.
            let BufResult(_, datagram) = socket.send_to(buffer, route.to).await;
            buffer = datagram;
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, route: Route) {
        while let Ok((caller, _)) = listener.accept().await {
            let (relay, route) = (Rc::clone(&self), route.clone());
            compio::runtime::spawn(async move {
                relay.hold(&route.group).await;
                let Ok(server) = TcpStream::connect(route.to).await else {
                    return;
                };
                // Small parts of an exchange must not wait for each other.
                let _ = (caller.set_nodelay(true), server.set_nodelay(true));
                let (caller, server) = (caller.into_split(), server.into_split());
                let out = relay.pump(caller.0, server.1, &route.group);
                let back = relay.pump(server.0, caller.1, &route.group);
                futures_util::future::join(out, back).await;
            })
            .detach();
        }
    }

    /// Waits while a group is cut.
    async fn hold(&self, group: &str) {
        while self.is_cut(group) {
            compio::time::sleep(HOLD_PAUSE).await;
        }
    }

    /// Passes bytes on until one end closes.
    async fn pump(&self, mut from: TcpStream, mut to: TcpStream, group: &str) {
        let mut buffer = Vec::with_capacity(BUFFER);
        loop {
            buffer.clear();
            let BufResult(result, read) = from.read(buffer).await;
            self.hold(group).await;
            if !matches!(result, Ok(1..)) {
                // The other end may have closed before.
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
