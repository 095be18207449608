//! Turns of the event loop while a peer sends bytes without end.
//!
//! Whether a socket runs empty between two reads depends on how fast the peer is. These tests fill the
//! socket before the router reads, so that bytes are always there.

use std::cell::Cell;
use std::future::poll_fn;
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::mpsc;
use std::task::Poll;
use std::thread;
use std::time::{Duration, Instant};

use futures_util::poll;
use hibiscusrail_net::body::{self, CollectError};
use hibiscusrail_net::event_loop::{spawn, yield_now};
use hibiscusrail_net::socket::SocketStream;
use hibiscusrail_net::{EventLoop, OwnedConnection, connect_owned, empty};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::rt::{Read as _, ReadBuf, Write as _};

/// Timeout of every wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a connection that may be read in one turn of the event loop.
const MAX_TURN_BYTES: usize = 64 << 10;
/// Parts of a body that may be read in one turn.
const MAX_TURN_FRAMES: u64 = 64;
/// Bytes that a peer sends at least once its caller reads: those that fit into the sockets' buffers.
const MIN_FILLED: usize = 256 << 10;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Turns of the event loop that another task was given.
#[derive(Clone, Default)]
struct Turns(Rc<Cell<u64>>);

impl Turns {
    fn count() -> Self {
        let turns = Self::default();
        let counted = turns.clone();
        spawn(async move {
            loop {
                counted.0.set(counted.0.get() + 1);
                yield_now().await;
            }
        });
        turns
    }

    fn get(&self) -> u64 {
        self.0.get()
    }
}

/// A peer that answers one request with `first` and then `rest` over and over until its caller closes.
struct Peer {
    address: SocketAddr,
    /// Receives the number of bytes that filled the sockets before the caller reads.
    filled: mpsc::Receiver<usize>,
}

impl Peer {
    fn start(first: &[u8], rest: &[u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is up");
        let address = listener.local_addr().expect("the listener is bound");
        let (tell, filled) = mpsc::channel();
        let first = first.to_vec();
        let many = rest.repeat((64 << 10) / rest.len() + 1);
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the caller connects");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            stream.write_all(&first).expect("the head fits");
            stream.set_nonblocking(true).expect("a socket");
            let (mut sent, mut at) = (0, 0);
            loop {
                match stream.write(&many[at..]) {
                    Ok(count) => {
                        sent += count;
                        at = (at + count) % many.len();
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return,
                }
            }
            let _ = tell.send(sent);
            stream.set_nonblocking(false).expect("a socket");
            while let Ok(count) = stream.write(&many[at..]) {
                at = (at + count) % many.len();
            }
        });
        Self { address, filled }
    }

    /// Sends a request and leaves its response unread until the sockets are full.
    async fn call<T, W: Future<Output = T>>(
        &self,
        connection: &mut OwnedConnection,
        read: impl FnOnce(Response<Incoming>) -> W,
    ) -> Option<T> {
        let mut sending = pin!(connection.try_send(request()));
        assert!(poll!(sending.as_mut()).is_pending());
        let filled = self.filled.recv_timeout(TIMEOUT);
        let filled = filled.expect("the peer answers");
        assert!(filled > MIN_FILLED, "{filled}");
        let response = sending.await.ok()?;
        Some(read(response).await)
    }

    async fn connect(&self) -> OwnedConnection {
        let opened = connect_owned(self.address, TIMEOUT).await;
        opened.expect("the peer listens")
    }
}

fn request() -> Request<hibiscusrail_net::Body> {
    let mut request = Request::new(empty());
    let host = http::HeaderValue::from_static("host");
    request.headers_mut().insert(http::header::HOST, host);
    request
}

fn run(main: impl Future<Output = ()>) {
    let event_loop = EventLoop::new(Instant::now).expect("the event loop is created");
    event_loop.run(main);
}

/// Most of what was read of a body between two turns of another task.
#[derive(Default, Debug)]
struct Most {
    frames: u64,
    bytes: usize,
}

/// Reads `total` frames of the body of a peer's response, as fast as they come.
async fn read_frames(peer: &Peer, total: u64) -> Most {
    let mut connection = peer.connect().await;
    let response = peer.call(&mut connection, std::future::ready).await;
    let mut body = response.expect("the head is complete").into_body();
    let turns = Turns::count();
    let (mut most, mut in_turn, mut turn) = (Most::default(), Most::default(), turns.get());
    for _ in 0..total {
        let frame = connection.wait(body.frame()).await;
        let data = frame.and_then(Result::ok).and_then(|f| f.into_data().ok());
        if turns.get() != turn {
            turn = turns.get();
            in_turn = Most::default();
        }
        in_turn.frames += 1;
        in_turn.bytes += data.map_or(0, |d| d.len());
        most.frames = most.frames.max(in_turn.frames);
        most.bytes = most.bytes.max(in_turn.bytes);
    }
    most
}

/// Guards against a router that serves nobody else while a server sends a body in tiny chunks.
#[test]
fn wait_leaves_turns_between_tiny_chunks() {
    run(async {
        let most = read_frames(&Peer::start(HEAD, b"1\r\nx\r\n"), 30_000).await;
        assert!(most.frames <= MAX_TURN_FRAMES, "{most:?}");
    });
}

/// Guards against a router that serves nobody else while a server sends a body in large chunks.
#[test]
fn wait_leaves_turns_between_large_chunks() {
    run(async {
        let mut chunk = b"8000\r\n".to_vec();
        chunk.extend_from_slice(&[b'x'; 0x8000]);
        chunk.extend_from_slice(b"\r\n");
        let most = read_frames(&Peer::start(HEAD, &chunk), 1_000).await;
        assert!(most.bytes <= MAX_TURN_BYTES, "{most:?}");
    });
}

/// Reads the bytes that are there until the stream asks for another turn; returns their number.
async fn read_turn(stream: &mut SocketStream) -> usize {
    let mut buffer = vec![0; 16 << 10];
    let mut taken = 0;
    poll_fn(|cx| {
        loop {
            let mut buf = ReadBuf::new(&mut buffer);
            match Pin::new(&mut *stream).poll_read(cx, buf.unfilled()) {
                Poll::Ready(read) => read.expect("the peer keeps the connection"),
                Poll::Pending => return Poll::Ready(()),
            }
            taken += buf.filled().len();
        }
    })
    .await;
    taken
}

/// Guards against every kind of bytes that complete nothing: informational heads, the digits of a
/// chunk's size, a head without an end. The parsers read until the socket has nothing for them.
#[test]
fn socket_leaves_turns_while_bytes_are_there() {
    run(async {
        let peer = Peer::start(b"", b"HTTP/1.1 102 Processing\r\n\r\n");
        let mut stream = SocketStream::connect(peer.address).await.expect("a peer");
        let sent = poll_fn(|cx| Pin::new(&mut stream).poll_write(cx, b"GET / HTTP/1.1\r\n\r\n"));
        sent.await.expect("the peer reads");
        let filled = peer.filled.recv_timeout(TIMEOUT).expect("it answers");
        assert!(filled > MIN_FILLED, "{filled}");
        for _ in 0..20 {
            let taken = read_turn(&mut stream).await;
            assert!(taken <= MAX_TURN_BYTES, "{taken}");
            yield_now().await;
        }
    });
}

/// Guards against a deadline that is not looked at while bytes are there.
#[test]
fn timeout_ends_wait_for_bytes_without_end() {
    let endless: [(&[u8], &[u8]); 2] = [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (HEAD, b"0000000000000000"),
    ];
    for (first, rest) in endless {
        run(async {
            let peer = Peer::start(first, rest);
            let mut connection = peer.connect().await;
            let reading = peer.call(&mut connection, |response| async {
                response.into_body().frame().await.is_some()
            });
            let ended = hibiscusrail_net::timeout(Duration::from_millis(50), reading).await;
            assert!(!matches!(ended, Ok(Some(true))), "{ended:?}");
        });
    }
}

/// Guards against memory that grows by far more than a body's bytes, which may come one by one.
#[test]
fn collect_joins_tiny_chunks() {
    run(async {
        let peer = Peer::start(HEAD, b"1\r\nx\r\n");
        let mut connection = peer.connect().await;
        let response = peer.call(&mut connection, std::future::ready).await;
        let incoming = response.expect("the head is complete").into_body();
        let collected = connection.wait(body::collect(incoming, 50_000)).await;
        assert!(matches!(
            collected,
            Err(CollectError::TooLarge { limit: 50_000 })
        ));
    });
}

/// Guards against an announced oversize body that is read up to the limit before it is refused.
#[test]
fn collect_refuses_announced_oversize_at_head() {
    run(async {
        // No byte of the body ever arrives.
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 50001\r\n\r\n";
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is up");
        let address = listener.local_addr().expect("the listener is bound");
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the caller connects");
            // A head that arrives before its request was sent belongs to none.
            let count = stream.read(&mut [0; 4_096]).expect("the caller sends");
            assert!(count > 0);
            stream.write_all(head).expect("the head fits");
            // Until the caller closes the connection.
            while stream.read(&mut [0; 4_096]).is_ok_and(|count| count > 0) {}
        });
        let opened = connect_owned(address, TIMEOUT).await;
        let mut connection = opened.expect("the peer listens");
        let response = connection.try_send(request()).await.ok();
        let incoming = response.expect("the head is complete").into_body();
        let reading = connection.wait(body::collect(incoming, 50_000));
        let collected = hibiscusrail_net::timeout(TIMEOUT, reading).await;
        assert!(matches!(
            collected,
            Ok(Err(CollectError::TooLarge { limit: 50_000 }))
        ));
    });
}
