//! Accepting while many connections wait.

use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use compio::runtime::fd::PollFd;
use futures_util::FutureExt;
use hibiscusrail_net::server::AcceptEvent;
use hibiscusrail_net::{Connections, Limits, bind, full, serve_counted};

/// Connections that wait when the listener starts to accept.
const WAITING: usize = 400;
/// Connections that may be accepted between two turns of a stream: a batch and the one before it.
const MAX_BETWEEN_TURNS: usize = 65;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Guards against a flood of connections that is accepted whole while streams under way wait.
#[test]
fn accept_flood_leaves_streams_their_turn() {
    let runtime = compio::runtime::Runtime::new().expect("the event loop is created");
    runtime.block_on(async {
        let listener = bind(loopback()).expect("loopback is up");
        let address = listener.local_addr().expect("the listener is bound");
        let callers: Vec<_> = (0..WAITING)
            .map(|_| TcpStream::connect(address).expect("the queue has room"))
            .collect();
        // A stream under way: a socket with room, which the event loop reports in every turn.
        let peer = std::net::TcpListener::bind(loopback()).expect("loopback is up");
        let peer_address = peer.local_addr().expect("the listener is bound");
        let stream = TcpStream::connect(peer_address).expect("it listens");
        let stream = PollFd::new(stream).expect("it can be polled");
        let accepted = Rc::new(Cell::new(0));
        let counter = Rc::clone(&accepted);
        let connections = Connections::new().with_on_accept(Rc::new(move |event| {
            if matches!(event, AcceptEvent::Accepted(_)) {
                counter.set(counter.get() + 1);
            }
        }));
        let handler = Rc::new(|_| std::future::ready(http::Response::new(full(""))).boxed_local());
        let serving = serve_counted(listener, Limits::new(), handler, Rc::new(connections));
        let serving = compio::runtime::spawn(serving);
        let (mut before, mut most) = (0, 0);
        let streaming = async {
            while accepted.get() < WAITING {
                stream.write_ready().await.expect("the socket is open");
                most = most.max(accepted.get() - before);
                before = accepted.get();
            }
        };
        streaming.await;
        assert!(
            most <= MAX_BETWEEN_TURNS,
            "{most} accepted between two turns"
        );
        drop((serving, callers));
    });
}
