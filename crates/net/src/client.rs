//! Opens single HTTP connections; pooling is up to the caller.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use hyper::client::conn::http1;
use snafu::{ResultExt, Snafu};

use crate::body::Body;
use crate::socket::SocketStream;

/// An open connection that sends requests one after the other.
pub type Connection = http1::SendRequest<Body>;

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// Connecting timed out.
    #[snafu(display("connecting to {peer} took longer than {limit:?}"))]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// Timeout of connecting.
        limit: Duration,
    },
    /// The connection was refused, or the peer is unreachable.
    #[snafu(display("connecting to {peer} failed: {source}"))]
    Refused {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake with {peer} failed: {source}"))]
    Handshake {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
}

/// Opens a connection to `peer` that stays open until the response under way has ended.
///
/// # Errors
///
/// Fails if the peer can't be reached within `limit`.
pub async fn connect(peer: SocketAddr, limit: Duration) -> Result<Connection, ConnectError> {
    let (sender, connection) = handshake(peer, limit).await?;
    compio::runtime::spawn(async move {
        // The error also reaches the task that awaits the response.
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

/// A connection whose socket is closed as soon as it is dropped.
///
/// The peer then learns at once that its response is not needed any more.
#[derive(Debug)]
pub struct OwnedConnection {
    /// Sends requests, one after the other.
    pub sender: Connection,
    _driver: JoinHandle<()>,
}

/// Opens a connection to `peer` that is closed when it is dropped.
///
/// # Errors
///
/// Fails if the peer can't be reached within `limit`.
pub async fn connect_owned(
    peer: SocketAddr,
    limit: Duration,
) -> Result<OwnedConnection, ConnectError> {
    let (sender, connection) = handshake(peer, limit).await?;
    let driver = compio::runtime::spawn(async move {
        // The error also reaches the task that awaits the response.
        let _ = connection.await;
    });
    Ok(OwnedConnection {
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
    // Otherwise small requests wait for the peer's delayed acknowledgement.
    stream.set_nodelay(true).context(RefusedSnafu { peer })?;
    let stream = SocketStream::new(stream).context(RefusedSnafu { peer })?;
    http1::handshake(stream)
        .await
        .context(HandshakeSnafu { peer })
}
