//! Connections that their owners drive, and timeouts, on a real socket.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hibiscusrail_net::pool::Pool;
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{
    EventLoop, Limits, OwnedConnection, bind, connect_owned, empty, event_loop, full, serve,
    timeout,
};
use http::{Request, Response};
use http_body_util::BodyExt;

const LIMIT: Duration = Duration::from_secs(5);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Time in which the event loop sees what its peer in the same process has sent.
const SETTLE: Duration = Duration::from_millis(30);

fn run(test: impl Future<Output = ()>) {
    let event_loop = EventLoop::new(Instant::now).expect("the event loop is created");
    event_loop.run(test);
}

/// Opens a connection to a server that the test plays itself.
async fn connect_pair() -> (OwnedConnection, TcpStream, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let connection = connect_owned(address, LIMIT).await.expect("it listens");
    let (server, _) = listener.accept().expect("the connection is there");
    (connection, server, address)
}

/// Sends a request and reads its whole answer, which `server` sends.
async fn exchange(connection: &mut OwnedConnection, server: &mut TcpStream) {
    let sent = connection.send(Request::new(empty()));
    let answered = async {
        let count = server.read(&mut [0; 1_024]);
        assert!(count.expect("the request arrives") > 0);
        server.write_all(ANSWER).expect("the answer is sent");
    };
    let (response, ()) = futures_util::future::join(sent, answered).await;
    let body = response.expect("it is answered").into_body();
    let body = connection.wait(body.collect()).await;
    assert_eq!(body.expect("it is complete").to_bytes(), "ok");
}

#[test]
fn timeout_returns_work_that_is_due_with_the_timer() {
    run(async {
        let time = Duration::from_millis(1);
        for _ in 0..100 {
            let work = timeout(time, compio::time::sleep(time));
            // Both are due when the event loop next looks.
            std::thread::sleep(2 * time);
            assert!(work.await.is_ok());
        }
    });
}

#[test]
fn send_request_leaves_in_the_same_step() {
    run(async {
        let (mut connection, mut server, _) = connect_pair().await;
        server.set_nonblocking(true).expect("it is a socket");
        {
            let mut sent = std::pin::pin!(connection.send(Request::new(empty())));
            assert!(sent.as_mut().now_or_never().is_none());
            let count = server.read(&mut [0; 1_024]).expect("the request is there");
            assert!(count > 0);
        }
    });
}

#[test]
fn drop_connection_closes_it() {
    run(async {
        let (mut connection, mut server, _) = connect_pair().await;
        assert!(
            connection
                .send(Request::new(empty()))
                .now_or_never()
                .is_none()
        );
        drop(connection);
        compio::time::sleep(SETTLE).await;
        let mut received = Vec::new();
        server
            .read_to_end(&mut received)
            .expect("the end follows the request");
        assert!(received.starts_with(b"GET / HTTP/1.1\r\n"));
    });
}

#[test]
fn take_connection_answered_before_is_used_again() {
    run(async {
        let (mut connection, mut server, address) = connect_pair().await;
        let pool = Pool::new();
        for _ in 0..3 {
            exchange(&mut connection, &mut server).await;
            pool.put(address, connection, Instant::now());
            compio::time::sleep(SETTLE).await;
            connection = pool
                .take(address, Instant::now())
                .expect("it can be used again");
        }
    });
}

#[test]
fn take_connection_closed_while_idle_is_dropped() {
    run(async {
        let (mut connection, mut server, address) = connect_pair().await;
        exchange(&mut connection, &mut server).await;
        let pool = Pool::new();
        pool.put(address, connection, Instant::now());
        drop(server);
        compio::time::sleep(SETTLE).await;
        assert!(pool.take(address, Instant::now()).is_none());
    });
}

#[test]
fn take_connection_with_stray_bytes_is_dropped() {
    run(async {
        let (mut connection, mut server, address) = connect_pair().await;
        exchange(&mut connection, &mut server).await;
        let pool = Pool::new();
        pool.put(address, connection, Instant::now());
        server.write_all(ANSWER).expect("a second answer is sent");
        compio::time::sleep(SETTLE).await;
        assert!(pool.take(address, Instant::now()).is_none());
    });
}

#[test]
fn drop_expired_closes_idle_connections_of_any_address() {
    run(async {
        let (mut connection, mut server, address) = connect_pair().await;
        exchange(&mut connection, &mut server).await;
        let pool = Pool::new().with_max_idle(Duration::from_secs(1));
        let now = Instant::now();
        pool.put(address, connection, now);
        pool.drop_expired(now + Duration::from_millis(900));
        assert_eq!(pool.idle(address), 1);
        pool.drop_expired(now + Duration::from_millis(1_100));
        assert_eq!(pool.idle(address), 0);
        compio::time::sleep(SETTLE).await;
        let count = server.read(&mut [0; 16]).expect("the end arrives");
        assert_eq!(count, 0);
    });
}

/// Guards against requests that run though their caller has left (GONE): on a late event loop a
/// request and the end of its connection arrive together.
#[test]
fn serve_request_whose_caller_has_left_is_not_handled() {
    run(async {
        let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let handled = Rc::new(Cell::new(0));
        let count = Rc::clone(&handled);
        let handler: Handler = Rc::new(move |request| {
            let count = Rc::clone(&count);
            async move {
                // The step in which the body is complete is the one that reaches a server.
                let body = request.into_body().collect().await;
                if body.is_ok() {
                    count.set(count.get() + 1);
                }
                Response::new(full("ok"))
            }
            .boxed_local()
        });
        for request in [
            "GET / HTTP/1.1\r\nhost: h\r\n\r\n",
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nok",
        ] {
            let mut caller = TcpStream::connect(address).expect("it listens");
            caller
                .write_all(request.as_bytes())
                .expect("the request is sent");
        }
        event_loop::spawn(serve(listener, Limits::new(), handler));
        compio::time::sleep(SETTLE).await;
        assert_eq!(handled.get(), 0);
    });
}

/// Guards against requests that are sent on a connection whose end has arrived but was not reported
/// by a late event loop (LOST): whether such a request ran is unknown, and it may get no other server.
#[test]
fn take_connection_closed_since_the_last_turn_is_dropped() {
    run(async {
        let (mut connection, mut server, address) = connect_pair().await;
        exchange(&mut connection, &mut server).await;
        let pool = Pool::new();
        pool.put(address, connection, Instant::now());
        compio::time::sleep(SETTLE).await;
        drop(server);
        assert!(pool.take(address, Instant::now()).is_none());
    });
}

/// A request that crosses the end of its connection has left: it is not given back, since the server
/// may have run it.
#[test]
fn send_request_crossing_the_end_is_not_given_back() {
    run(async {
        let (mut connection, mut server, _) = connect_pair().await;
        exchange(&mut connection, &mut server).await;
        let sent = connection.try_send(Request::new(empty()));
        let ended = async { drop(server) };
        let (sent, ()) = futures_util::future::join(sent, ended).await;
        let mut error = sent.expect_err("the connection ends");
        assert!(error.take_message().is_none());
    });
}

/// Guards against requests that fail though no byte of them was sent: they can go to any server.
#[test]
fn send_request_on_ended_connection_is_given_back() {
    run(async {
        let (mut connection, mut server, _) = connect_pair().await;
        exchange(&mut connection, &mut server).await;
        drop(server);
        compio::time::sleep(SETTLE).await;
        connection.is_ready();
        let sent = connection.try_send(Request::new(empty())).await;
        let mut error = sent.expect_err("the connection has ended");
        assert!(error.take_message().is_some());
    });
}
