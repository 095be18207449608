//! Outgoing HTTP connections, one at a time and without a hidden pool.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use hyper::client::conn::http1;
use snafu::{ResultExt, Snafu};

use crate::body::Body;
use crate::socket::SocketStream;

/// An open connection that requests can be sent on, one after the other.
pub type Connection = http1::SendRequest<Body>;

/// Why no connection was made.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The time was up.
    #[snafu(display("connecting to {peer} took longer than {limit:?}"))]
    Timeout {
        /// The address.
        peer: SocketAddr,
        /// Time allowed.
        limit: Duration,
    },
    /// The connection was refused or could not be routed.
    #[snafu(display("connecting to {peer} failed: {source}"))]
    Refused {
        /// The address.
        peer: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// HTTP could not be set up.
    #[snafu(display("HTTP handshake with {peer} failed: {source}"))]
    Handshake {
        /// The address.
        peer: SocketAddr,
        /// What went wrong.
        source: hyper::Error,
    },
}

/// Opens a connection to `peer`.
///
/// # Errors
///
/// Fails when the peer can't be reached within `limit`.
pub async fn connect(peer: SocketAddr, limit: Duration) -> Result<Connection, ConnectError> {
    let (sender, connection) = handshake(peer, limit).await?;
    compio::runtime::spawn(async move {
        // The error also reaches whoever waits for the answer.
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

/// A connection whose socket is closed as soon as it is dropped.
///
/// The peer then learns at once that nobody waits for its answer any more.
#[derive(Debug)]
pub struct Channel {
    /// Sends requests, one after the other.
    pub sender: Connection,
    _driver: JoinHandle<()>,
}

/// Opens a connection to `peer` that is closed when it is dropped.
///
/// # Errors
///
/// Fails when the peer can't be reached within `limit`.
pub async fn open(peer: SocketAddr, limit: Duration) -> Result<Channel, ConnectError> {
    let (sender, connection) = handshake(peer, limit).await?;
    let driver = compio::runtime::spawn(async move {
        // The error also reaches whoever waits for the answer.
        let _ = connection.await;
    });
    Ok(Channel {
        sender,
        _driver: driver,
    })
}

type Driver = http1::Connection<SocketStream, Body>;

async fn handshake(
    peer: SocketAddr,
    limit: Duration,
) -> Result<(Connection, Driver), ConnectError> {
    let Ok(stream) = compio::time::timeout(limit, TcpStream::connect(peer)).await else {
        return TimeoutSnafu { peer, limit }.fail();
    };
    let stream = stream.context(RefusedSnafu { peer })?;
    // Without it small requests wait for the peer's delayed acknowledgement.
    stream.set_nodelay(true).context(RefusedSnafu { peer })?;
    let stream = SocketStream::new(stream).context(RefusedSnafu { peer })?;
    http1::handshake(stream)
        .await
        .context(HandshakeSnafu { peer })
}
