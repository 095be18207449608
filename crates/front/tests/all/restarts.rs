//! Routers that restart and learn from others what they knew before (report 4).

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::objects::{OperatorConfig, Revision};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_front::peers::{self, Peers};
use hibiscusrail_front::shell::Shell;
use hibiscusrail_front::state;
use hibiscusrail_net::{Limits, bind, serve};
use prost::Message;

use super::support::{Act, Front, Server, full_response, run, status, wait_until};

/// Interval of a router's reports.
const REPORT_PERIOD: Duration = Duration::from_millis(50);

/// Returns a loopback address whose port the system chooses.
fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Makes a router receive reports; returns where.
fn receive_reports(shell: &Rc<Shell>) -> SocketAddr {
    let socket = UdpSocket::bind(any_address()).expect("loopback is up");
    let address = socket.local_addr().expect("the socket is bound");
    drop(socket);
    let peers = Peers::new("r", "a", address).expect("the address is free");
    let receiving = peers::receive_reports(Rc::clone(shell), Rc::new(peers));
    compio::runtime::spawn(async move {
        receiving.await.expect("the socket works");
    })
    .detach();
    address
}

/// Serves a router's state, and sends its reports to `to` as those of router `sender`.
fn spawn_peer(shell: &Rc<Shell>, sender: u32, to: SocketAddr) {
    let listener = bind(any_address()).expect("loopback is up");
    let address = listener.local_addr().expect("the listener is bound");
    let serving = serve(listener, Limits::new(), state::handler(shell));
    compio::runtime::spawn(serving).detach();
    let socket = UdpSocket::bind(address).expect("the address is free");
    let shell = Rc::clone(shell);
    compio::runtime::spawn(async move {
        loop {
            let now = shell.now();
            let mut report = shell.with_fleet_mut(|f| f.report(now, Scope::All));
            report.sender = sender;
            // The router's socket may be closed at the end of the test.
            let _ = socket.send_to(&report.encode_to_vec(), to);
            compio::time::sleep(REPORT_PERIOD).await;
        }
    })
    .detach();
}

fn config(front: &Front) -> OperatorConfig {
    front.shell.with_fleet(|f| f.config().clone())
}

/// Replaces the only key of the only workspace.
fn revoke(front: &Front) {
    front.configure(|d| d.workspaces[0].keys = vec!["other".to_owned()]);
}

fn version(shell: &Shell) -> u64 {
    let version = |c: &OperatorConfig| c.deployment.as_ref().map(|d| d.version);
    shell.with_fleet(|f| version(f.config()).unwrap_or_default())
}

// Guards against a revoked key in use again at a router that restarts after the store was restored
// from a copy, while the others still know that it was revoked.
#[test]
fn key_revoked_before_restore_is_refused_by_restarted_router() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "x"))]);
        let (front, peer) = (Front::start(&[&server]), Front::start(&[&server]));
        let copy = config(&peer);
        revoke(&peer);
        for front in [&front, &peer] {
            let restored = Event::Config(Revision::new(1, 90), copy.clone());
            front.shell.handle(restored);
        }
        assert_eq!(version(&peer.shell), 2);
        assert_eq!(version(&front.shell), 1, "it knows the copy alone");
        let address = receive_reports(&front.shell);
        spawn_peer(&peer.shell, 7, address);
        wait_until(|| version(&front.shell) == 2).await;
        let response = front.call("/again/x", "").await;
        assert_eq!(status(&response), 401, "{response}");
        assert_eq!(server.received().len(), 0);
    });
}

// Guards against a revoked key in use at a router that restarts while the store is away and learns
// first from a router that has not heard of the change.
#[test]
fn key_revoked_is_refused_after_state_of_older_router() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "x"))]);
        let [front, older, newer] = [0; 3].map(|_| Front::start(&[&server]));
        for peer in [&older, &newer] {
            peer.configure(|_| {});
        }
        revoke(&newer);
        front.shell.handle(Event::StoreFailed);
        let address = receive_reports(&front.shell);
        spawn_peer(&older.shell, 7, address);
        wait_until(|| version(&front.shell) == 2).await;
        spawn_peer(&newer.shell, 8, address);
        wait_until(|| version(&front.shell) == 3).await;
        let response = front.call("/again/x", "").await;
        assert_eq!(status(&response), 401, "{response}");
        // The older one goes on to report.
        compio::time::sleep(REPORT_PERIOD * 4).await;
        assert_eq!(version(&front.shell), 3);
    });
}
