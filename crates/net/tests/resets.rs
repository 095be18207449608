//! What a socket tells of a reset, whichever call is the first to learn of it.

use std::future::poll_fn;
use std::io::{self, ErrorKind, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::time::Duration;

use hibiscusrail_net::socket::SocketStream;
use hyper::rt::{Read, ReadBuf, Write};
use socket2::SockRef;

/// What the peer sends of a response without a length.
const PART: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nhalf";

/// Returns a connection and its peer, which has sent a part of a response.
async fn connected() -> (SocketStream, TcpStream) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).expect("loopback is up");
    let address = listener.local_addr().expect("the listener is bound");
    let stream = SocketStream::connect(address).await;
    let (mut peer, _) = listener.accept().expect("the connection is open");
    peer.write_all(PART).expect("the connection is open");
    (stream.expect("it listens"), peer)
}

async fn write(stream: &mut SocketStream) -> io::Result<usize> {
    poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, b"upload")).await
}

/// Reads once; zero bytes are the end.
async fn read(stream: &mut SocketStream) -> io::Result<usize> {
    let mut bytes = [0; 1_000];
    let mut buffer = ReadBuf::new(&mut bytes);
    poll_fn(|cx| Pin::new(&mut *stream).poll_read(cx, buffer.unfilled())).await?;
    Ok(buffer.filled().len())
}

/// Writes until that fails; returns the error.
async fn write_until_failure(stream: &mut SocketStream) -> io::Error {
    loop {
        if let Err(error) = write(stream).await {
            return error;
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("the event loop is created");
    runtime.block_on(test);
}

// Guards against a part of a response that looks complete: the system hands out the error of a reset
// once, to the write of the upload, and the read after it ended like a closed connection.
#[test]
fn read_fails_after_write_that_failed_by_reset() {
    run(async {
        let (mut stream, peer) = connected().await;
        write(&mut stream).await.expect("the connection is open");
        let reset = SockRef::from(&peer).set_linger(Some(Duration::ZERO));
        reset.expect("the socket is open");
        drop(peer);
        let error = write_until_failure(&mut stream).await;
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        // What arrived before the reset may still be read.
        let ended = loop {
            match read(&mut stream).await {
                Ok(count) if count > 0 => {}
                ended => break ended,
            }
        };
        assert_eq!(
            ended.expect_err("it is no end").kind(),
            ErrorKind::ConnectionReset
        );
    });
}

// A response without a length ends with its connection, also if the upload is refused after that.
#[test]
fn read_ends_after_write_that_failed_behind_end() {
    run(async {
        let (mut stream, peer) = connected().await;
        peer.shutdown(Shutdown::Write).expect("it is open");
        drop(peer);
        let error = write_until_failure(&mut stream).await;
        assert_eq!(error.kind(), ErrorKind::BrokenPipe);
        let mut received = 0;
        loop {
            match read(&mut stream).await.expect("it has ended") {
                0 => break,
                count => received += count,
            }
        }
        assert_eq!(received, PART.len());
    });
}
