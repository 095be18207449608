//! Readiness of sockets, which the event loop's poller reports once.

use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hibiscusrail_net::EventLoop;
use hibiscusrail_net::event_loop::yield_now;
use hibiscusrail_net::poller::Watched;
use hibiscusrail_net::socket::SocketStream;
use hyper::rt::{Read as _, ReadBuf};

/// Timeout of every wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);

fn run<T>(main: impl Future<Output = T>) -> T {
    let event_loop = EventLoop::new(Instant::now).expect("the event loop is created");
    event_loop.run(async {
        let main = pin!(main);
        let ended = hibiscusrail_net::timeout(TIMEOUT, main).await;
        ended.expect("the wait ends in time")
    })
}

async fn read(stream: &mut SocketStream) -> usize {
    let mut bytes = [0; 64];
    let mut buffer = ReadBuf::new(&mut bytes);
    let reading = std::future::poll_fn(|cx| pin!(&mut *stream).poll_read(cx, buffer.unfilled()));
    reading.await.expect("the socket is open");
    buffer.filled().len()
}

/// Guards against connections that are never closed: a read of fewer bytes than asked tells that the
/// socket is empty, and the end that came with these bytes is not reported again.
#[test]
fn poll_read_finds_end_that_came_with_last_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is up");
    let address = listener.local_addr().expect("the listener is bound");
    let sizes = run(async {
        let stream = SocketStream::connect(address).await.expect("it listens");
        let mut stream = stream.with_short_reads();
        let (mut peer, _) = listener.accept().expect("it is connected");
        peer.write_all(b"last").expect("it is open");
        drop(peer);
        // The poller reports the bytes and the end at once.
        std::thread::sleep(Duration::from_millis(20));
        [read(&mut stream).await, read(&mut stream).await]
    });
    assert_eq!(sizes, [4, 0]);
}

fn datagrams(count: usize) -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback is up");
    socket.set_nonblocking(true).expect("a socket");
    let address = socket.local_addr().expect("the socket is bound");
    for _ in 0..count {
        socket
            .send_to(b"datagram", address)
            .expect("loopback is up");
    }
    (socket, address)
}

/// Guards against datagrams that stay unread until the next one comes: a batch may leave some.
#[test]
fn keep_readable_ends_next_wait_at_once() {
    run(async {
        let (socket, _) = datagrams(2);
        let socket = Watched::new(socket).expect("it can be watched");
        let mut buffer = [0; 16];
        socket.readable().await.expect("it is watched");
        socket.recv_from(&mut buffer).expect("a datagram is there");
        socket.keep_readable();
        socket.readable().await.expect("it is watched");
        socket.recv_from(&mut buffer).expect("a datagram is there");
        assert!(socket.readable().now_or_never().is_none());
    });
}

/// Guards against a lost readiness: one that comes before anybody waits is kept.
#[test]
fn readable_after_report_ends_at_once() {
    run(async {
        let (socket, address) = datagrams(0);
        let socket = Watched::new(socket).expect("it can be watched");
        socket
            .send_to(b"datagram", address)
            .expect("loopback is up");
        while socket.readable().now_or_never().is_none() {
            yield_now().await;
        }
    });
}

/// Guards against a loop that sleeps on while another thread has woken its main task; it is told of
/// that at once only while it has nothing to do for long.
#[test]
fn run_wakes_for_other_threads() {
    for timer in [Duration::from_millis(20), Duration::from_secs(5)] {
        let took = run(async move {
            let began = Instant::now();
            let (done, waiting) = futures_channel::oneshot::channel();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(100));
                let _ = done.send(());
            });
            let mut waiting = waiting.fuse();
            loop {
                let mut sleeping = pin!(compio::time::sleep(timer).fuse());
                futures_util::select! {
                    _ = waiting => return began.elapsed(),
                    () = sleeping => {}
                }
            }
        });
        assert!(took < Duration::from_secs(2), "{took:?}");
    }
}

/// Guards against sockets whose readiness is known only to the event loop of this crate.
#[test]
fn readable_without_event_loop_uses_driver() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime is created");
    runtime.block_on(async {
        let (socket, _) = datagrams(1);
        let socket = Watched::new(socket).expect("it can be watched");
        socket.readable().await.expect("it is watched");
    });
}
