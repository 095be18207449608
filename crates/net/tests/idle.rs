//! How long idle connections are kept, and requests that arrive as their time is over.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hibiscusrail_net::{Connections, EventLoop, Limits, bind, event_loop, full, serve_counted};
use http::Response;

/// Timeout of every read in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_millis(1_500);

/// Runs a test beside a server whose connections may be idle for [`SHORT`].
fn run<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Rc<Connections>) -> F) {
    let event_loop = EventLoop::new(Instant::now).expect("the event loop is created");
    event_loop.run(async {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback is up");
        let address = listener.local_addr().expect("the listener is bound");
        let connections = Rc::new(Connections::new());
        connections.set_head_timeout(SHORT);
        let handler = Rc::new(|_| std::future::ready(Response::new(full("ok"))).boxed_local());
        let serving = serve_counted(listener, Limits::new(), handler, Rc::clone(&connections));
        event_loop::spawn(serving);
        test(address, connections).await;
    });
}

/// Opens a connection and waits until a first request on it is answered.
async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("it listens");
    stream.set_nonblocking(true).expect("it is a socket");
    call(stream).await.expect("the first request is answered")
}

/// Sends a request and waits for its answer; none if the connection ends instead.
async fn call(mut stream: TcpStream) -> Option<TcpStream> {
    stream.write_all(REQUEST).ok()?;
    answer(&mut stream).await.then_some(stream)
}

/// Waits for an answer; returns false if the connection ends instead.
async fn answer(stream: &mut TcpStream) -> bool {
    let start = Instant::now();
    let mut received = Vec::new();
    while start.elapsed() < TIMEOUT {
        let mut buffer = [0; 1_024];
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        if received.ends_with(b"\r\n\r\nok") {
            return true;
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("neither an answer nor an end");
}

/// Waits until the peer closes an idle connection and returns how long that took.
async fn closed_after(mut stream: TcpStream) -> Duration {
    let start = Instant::now();
    assert!(!answer(&mut stream).await, "nothing was asked");
    start.elapsed()
}

/// Guards against requests that get no answer (LOST): after the limit was raised, callers use
/// connections that were opened before for as long as the new limit allows.
#[test]
fn raised_limit_holds_for_open_connections() {
    run(|address, connections| async move {
        let stream = connect(address).await;
        connections.set_head_timeout(LONG);
        compio::time::sleep(2 * SHORT).await;
        let stream = call(stream).await.expect("the connection is kept");
        assert!(closed_after(stream).await >= LONG - SHORT);
    });
}

/// Guards against connections that are kept forever once the limit was raised.
#[test]
fn raised_limit_closes_idle_connections_in_time() {
    run(|address, connections| async move {
        let stream = connect(address).await;
        connections.set_head_timeout(LONG);
        let after = closed_after(stream).await;
        assert!(after >= LONG - SHORT && after < 2 * LONG, "{after:?}");
    });
}

/// Guards against a lowered limit that closes connections on which callers still rely.
#[test]
fn lowered_limit_holds_from_the_next_response() {
    run(|address, connections| async move {
        connections.set_head_timeout(LONG);
        let (first, second) = (connect(address).await, connect(address).await);
        connections.set_head_timeout(SHORT);
        compio::time::sleep(2 * SHORT).await;
        let first = call(first).await.expect("the connection is kept");
        assert!(closed_after(first).await < LONG - SHORT);
        assert!(call(second).await.is_some(), "the connection is kept");
    });
}

/// Guards against a request that gets no answer (LOST): on a late event loop it arrives before the
/// loop acts on the end of the connection's idle time.
#[test]
fn request_at_the_end_of_the_idle_time_is_answered() {
    run(|address, _| async move {
        for _ in 0..5 {
            let mut stream = connect(address).await;
            let end = Instant::now() + SHORT;
            let late = async {
                compio::time::sleep_until(end - SHORT * 2 / 3).await;
                std::thread::sleep(SHORT);
            };
            // Runs once the loop has seen which timers are due, before it looks at sockets again.
            let mut writer = stream.try_clone().expect("it is a socket");
            let writing = async {
                compio::time::sleep_until(end - SHORT / 2).await;
                writer.write_all(REQUEST).expect("the connection is open");
            };
            futures_util::future::join(late, writing).await;
            assert!(answer(&mut stream).await, "the request was lost");
        }
    });
}

/// Guards against a request that gets no answer (LOST): it has arrived when the router closes its
/// connections, and the event loop has not reported it.
#[test]
fn request_that_arrived_before_the_close_is_answered() {
    run(|address, connections| async move {
        let mut stream = connect(address).await;
        stream.write_all(REQUEST).expect("the connection is open");
        connections.close();
        assert!(answer(&mut stream).await, "the request was lost");
        assert!(!answer(&mut stream).await, "the connection is closed");
    });
}
