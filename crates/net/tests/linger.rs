//! Responses to callers that are still sending when the connection is closed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use hibiscusrail_net::triage::{Triage, Verdict};
use hibiscusrail_net::{Connections, EventLoop, Limits, bind, full, serve_counted};
use http::request::Parts;
use http::{Response, StatusCode};
use socket2::{Domain, Socket, Type};

/// Timeout of every read in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the callers' socket buffers.
const SMALL: usize = 4_096;

/// Refuses every request.
struct Refusing;

impl Triage for Refusing {
    fn is_active(&self) -> bool {
        true
    }

    fn judge(&self, _: &Parts, _: Option<u64>) -> Verdict {
        Verdict::Refuse(refusal(Bytes::from_static))
    }

    fn refuse_excess(&self, _: &Parts) -> Response<Bytes> {
        refusal(Bytes::from_static)
    }
}

fn refusal<B>(body: impl FnOnce(&'static [u8]) -> B) -> Response<B> {
    let mut response = Response::new(body(b"refused\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Starts a server that refuses requests from their heads, on new connections or once they are
/// served.
fn start(triage: bool) -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let event_loop = EventLoop::new(Instant::now).expect("the event loop is created");
        event_loop.run(async {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback is up");
            let address = listener.local_addr().expect("the listener is bound");
            sender.send(address).expect("the test waits");
            let connections = Rc::new(Connections::new());
            if triage {
                connections.set_triage(Rc::new(Refusing));
            }
            let handler = Rc::new(|_| std::future::ready(refusal(full)).boxed_local());
            serve_counted(listener, Limits::new(), handler, connections).await;
        });
    });
    receiver.recv().expect("the server starts")
}

/// Opens a connection with small buffers and sends the head of a request.
fn connect(address: SocketAddr, size: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("there is a socket");
    socket.set_recv_buffer_size(SMALL).expect("it is a socket");
    socket.set_send_buffer_size(SMALL).expect("it is a socket");
    socket.connect(&address.into()).expect("it listens");
    let mut stream = TcpStream::from(socket);
    stream.set_nodelay(true).expect("it is a socket");
    let timeout = Some(TIMEOUT);
    stream.set_read_timeout(timeout).expect("it is a socket");
    let head = format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("it is open");
    stream
}

/// Sends a body in parts with a pause before each and only then reads the response.
fn finish(mut stream: TcpStream, size: usize, parts: usize, pause: Duration) {
    for _ in 0..parts {
        thread::sleep(pause);
        let part = vec![b'x'; size / parts];
        stream.write_all(&part).expect("the server reads on");
    }
    let mut response = String::new();
    let read = stream.read_to_string(&mut response);
    read.expect("the connection ends in order");
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.ends_with("\r\n\r\nrefused\n"), "{response}");
}

fn call(address: SocketAddr, size: usize, parts: usize, pause: Duration) {
    finish(connect(address, size), size, parts, pause);
}

/// Guards against a response that is lost (LOST): a served connection was closed with unread bytes,
/// which resets a caller that still sends its body.
#[test]
fn long_body_of_served_connection_gets_the_response() {
    call(start(false), 3_000_000, 1, Duration::ZERO);
}

/// Guards against a response that is lost (LOST), like the test above, by a caller that is slow.
#[test]
fn slow_body_of_served_connection_gets_the_response() {
    call(start(false), 20_000, 10, Duration::from_millis(100));
}

/// Guards against a response that is lost (LOST): a connection refused at its head was closed after
/// half a second with its body unread.
#[test]
fn slow_body_of_refused_connection_gets_the_response() {
    call(start(true), 20_000, 10, Duration::from_millis(100));
}

/// Guards against a response that is lost (LOST): with 64 bodies awaited, further refused connections
/// were closed with their bodies unread.
#[test]
fn bodies_of_many_refused_connections_get_their_responses() {
    let address = start(true);
    let streams: Vec<_> = (0..100).map(|_| connect(address, 20_000)).collect();
    let callers: Vec<_> = streams
        .into_iter()
        .map(|s| thread::spawn(move || finish(s, 20_000, 2, Duration::from_millis(100))))
        .collect();
    for caller in callers {
        caller.join().expect("the caller gets its response");
    }
}

/// Guards against callers without end that hold connections: of too many, the oldest are closed, and
/// all of them after a while.
#[test]
fn connections_of_endless_bodies_are_bounded() {
    let address = start(true);
    let start = Instant::now();
    let size = 1_000_000_000;
    let mut streams: Vec<_> = (0..200).map(|_| connect(address, size)).collect();
    thread::sleep(Duration::from_millis(100));
    let is_open = |s: &mut TcpStream| {
        // A write to a closed connection causes a reset, which a later write reports.
        let first = s.write_all(b"x");
        thread::sleep(Duration::from_millis(1));
        first.is_ok() && s.write_all(b"x").is_ok()
    };
    let open: Vec<_> = streams.iter_mut().map(is_open).collect();
    let count = open.iter().filter(|o| **o).count();
    assert!(count <= 128, "{count} connections are held");
    assert!(open[199], "the newest one is held");
    while !streams.is_empty() {
        assert!(start.elapsed() < TIMEOUT, "connections are held");
        thread::sleep(Duration::from_millis(50));
        streams.retain_mut(|s| s.write_all(b"x").is_ok());
    }
}
