//! Requests that arrive as the server closes their connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{Connections, EventLoop, Limits, bind, event_loop, full, serve_counted};
use http::Response;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: host\r\n\r\n";
/// Time in which the event loop sees what its peer in the same process has sent.
const SETTLE: Duration = Duration::from_millis(30);

fn run(test: impl Future<Output = ()>) {
    let event_loop = EventLoop::new(Instant::now).expect("the event loop is created");
    event_loop.run(test);
}

/// Starts a server that answers at once.
fn start(limits: Limits) -> (Rc<Connections>, SocketAddr) {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback is up");
    let address = listener.local_addr().expect("the listener is bound");
    let handler: Handler = Rc::new(|_| std::future::ready(Response::new(full("ok"))).boxed_local());
    let connections = Rc::new(Connections::new());
    let serving = serve_counted(listener, limits, handler, Rc::clone(&connections));
    event_loop::spawn(serving);
    (connections, address)
}

/// Returns a connection on which one request was answered.
async fn kept(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.write_all(REQUEST).expect("it is open");
    compio::time::sleep(SETTLE).await;
    let count = stream.read(&mut [0; 1_024]).expect("it is answered");
    assert!(count > 0);
    stream
}

/// Returns whether a response arrives.
fn is_answered(stream: &mut TcpStream) -> bool {
    stream
        .set_read_timeout(Some(SETTLE))
        .expect("it is a socket");
    matches!(stream.read(&mut [0; 1_024]), Ok(count) if count > 0)
}

/// Guards against a request that arrived while the event loop was late, and whose connection is then
/// closed without an answer as the process stops.
#[test]
fn close_answers_request_that_arrived_before() {
    run(async {
        let (connections, address) = start(Limits::new());
        let mut streams = Vec::new();
        for _ in 0..20 {
            streams.push(kept(address).await);
        }
        for stream in &mut streams {
            stream.write_all(REQUEST).expect("it is open");
        }
        connections.close();
        compio::time::sleep(SETTLE).await;
        let answered = streams
            .iter_mut()
            .filter_map(|s| is_answered(s).then_some(()))
            .count();
        assert_eq!(answered, 20);
    });
}

/// Guards against a request that arrived before its connection had been idle for too long, and is not
/// read since the event loop is late.
#[test]
fn idle_timeout_answers_request_that_arrived_before() {
    run(async {
        let mut limits = Limits::new();
        limits.head_timeout = Duration::from_millis(100);
        let (_connections, address) = start(limits);
        for _ in 0..20 {
            let mut stream = kept(address).await;
            stream.write_all(REQUEST).expect("it is open");
            // The event loop looks again only after the timeout.
            std::thread::sleep(Duration::from_millis(150));
            compio::time::sleep(SETTLE).await;
            assert!(is_answered(&mut stream));
        }
    });
}

/// Guards against a new connection that is closed without an answer since its request is still on
/// the way while all connections are being closed.
#[test]
fn close_answers_first_request_of_new_connection() {
    run(async {
        let (connections, address) = start(Limits::new());
        connections.close();
        let mut stream = TcpStream::connect(address).expect("it listens");
        compio::time::sleep(SETTLE).await;
        stream.write_all(REQUEST).expect("it is open");
        compio::time::sleep(SETTLE).await;
        assert!(is_answered(&mut stream));
    });
}

/// Guards against connections that wait in the system's queue and are reset as the process ends.
#[test]
fn stop_accepting_answers_queued_connections() {
    run(async {
        let (connections, address) = start(Limits::new());
        // More than one batch.
        let mut streams: Vec<TcpStream> = (0..150)
            .map(|_| TcpStream::connect(address).expect("it listens"))
            .collect();
        for stream in &mut streams {
            stream.write_all(REQUEST).expect("it is open");
        }
        connections.stop_accepting();
        let mut answered = 0;
        for stream in &mut streams {
            stream.set_nonblocking(true).expect("it is a socket");
            for _ in 0..100 {
                match stream.read(&mut [0; 1_024]) {
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        compio::time::sleep(SETTLE).await;
                    }
                    read => {
                        answered += usize::from(read.is_ok_and(|count| count > 0));
                        break;
                    }
                }
            }
        }
        assert_eq!(answered, 150);
        TcpStream::connect(address).expect_err("the listener is closed");
    });
}

/// Guards against a connection that is made between the last look at the system's queue and the close
/// of the listener, and is reset with its request unread.
#[test]
fn stop_accepting_answers_or_refuses_each_connection() {
    /// Longer than any answer takes, shorter than the second after which a handshake is repeated.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
    run(async {
        for _ in 0..20 {
            let (connections, address) = start(Limits::new());
            let callers: Vec<_> = (0..16)
                .map(|_| std::thread::spawn(move || call_until_refused(address, CONNECT_TIMEOUT)))
                .collect();
            compio::time::sleep(SETTLE).await;
            connections.stop_accepting();
            while callers.iter().any(|c| !c.is_finished()) {
                compio::time::sleep(SETTLE).await;
            }
            for caller in callers {
                assert_eq!(caller.join().expect("it does not panic"), 0);
            }
        }
    });
}

/// Makes connections with one request each until none is accepted; returns how many of them got no
/// answer.
fn call_until_refused(address: SocketAddr, timeout: Duration) -> usize {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) {
        let read = stream
            .write_all(b"GET / HTTP/1.1\r\nhost: host\r\nconnection: close\r\n\r\n")
            .and_then(|()| stream.read(&mut [0; 1_024]));
        unanswered += usize::from(!matches!(read, Ok(count) if count > 0));
    }
    unanswered
}
