//! Limits on bodies, heads and connections: excess is refused with a specific code, others served.

use std::io::Write;
use std::net::TcpStream;

use hibiscusrail_load::client::Ending;
use http::{HeaderName, HeaderValue, Method};

use crate::http::{raw, request, send};
use crate::support::{TestFleet, run, wait_until};

/// Number of idle connections that must not keep the router from serving requests.
const IDLE_CONNECTIONS: usize = 1_000;

async fn assert_serves(fleet: &TestFleet) {
    let received = fleet.send(0, "after", fleet.draft("after", 3, true)).await;
    assert_eq!(received.ending, Ending::Right);
}

#[test]
fn body_oversize_is_refused() {
    run(async {
        let fleet = TestFleet::with_settings("[limits]\nbody = 1KiB\n").await;
        let key = fleet.deployment.workspaces[0].key();
        let path = format!("/{}/record/7", fleet.deployment.plain_service);
        let peer = fleet.deployment.routers[0].listen;
        let whole = request(Method::POST, &path, &key, &"x".repeat(1024));
        assert_eq!(send(peer, whole).await.status, 200);
        let over = request(Method::POST, &path, &key, &"x".repeat(1025));
        send(peer, over).await.assert_not_run(413, "body_too_large");
        assert_serves(&fleet).await;
    });
}

#[test]
fn bodies_over_the_buffered_total_are_refused() {
    run(async {
        let fleet = TestFleet::with_settings("[limits]\nbody = 1KiB\nheld = 1KiB\n").await;
        let key = fleet.deployment.workspaces[0].key();
        let path = format!("/{}/record/7", fleet.deployment.plain_service);
        let peer = fleet.deployment.routers[0].listen;
        let shell = std::rc::Rc::clone(&fleet.routers[0]);
        let mut slow = TcpStream::connect(peer).expect("a connection");
        let head = "POST /records/x HTTP/1.1\r\nhost: r\r\ncontent-length: 600\r\n\
                    authorization: Bearer key-workspace-0\r\n\r\n";
        let half = format!("{head}{}", "x".repeat(500));
        slow.write_all(half.as_bytes()).expect("the bytes are sent");
        wait_until(|| shell.reserved_bytes() == 500).await;
        let over = request(Method::POST, &path, &key, &"x".repeat(600));
        let response = send(peer, over).await;
        response.assert_not_run(503, "overloaded");
        assert_eq!(response.headers["retry-after"], "1");
        drop(slow);
        wait_until(|| shell.reserved_bytes() == 0).await;
        // The memory of completed requests is available again.
        for _ in 0..3 {
            let fits = request(Method::POST, &path, &key, &"x".repeat(1000));
            assert_eq!(send(peer, fits).await.status, 200);
        }
    });
}

#[test]
fn head_oversize_is_refused() {
    run(async {
        let fleet = TestFleet::with_settings("[limits]\nheaders = 8\nhead = 1KiB\n").await;
        let key = fleet.deployment.workspaces[0].key();
        let peer = fleet.deployment.routers[0].listen;
        let mut many = request(Method::GET, "/x/y", &key, "");
        for i in 0..8 {
            let name: HeaderName = format!("x-h{i}").parse().expect("a name");
            many.headers_mut()
                .insert(name, HeaderValue::from_static("1"));
        }
        send(peer, many).await.assert_not_run(431, "head_too_large");
        let long = request(Method::GET, &format!("/{}", "x".repeat(1024)), &key, "");
        send(peer, long).await.assert_not_run(431, "head_too_large");
        assert_serves(&fleet).await;
    });
}

#[test]
fn sender_slow_is_refused() {
    run(async {
        let fleet =
            TestFleet::with_settings("[limits]\nbody_time = 200ms\nhead_time = 400ms\n").await;
        let peer = fleet.deployment.routers[0].listen;
        let response = raw(
            peer,
            b"POST /records/x HTTP/1.1\r\nhost: r\r\nx-request-id: slow\r\n\
              authorization: Bearer key-workspace-0\r\ncontent-length: 10\r\n\r\nhalf",
        )
        .await;
        assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
        assert!(response.contains("\"body_too_slow\""), "{response}");
        assert!(response.contains("\"not_run\""), "{response}");
        // Without a complete head there is no request to refuse: the connection is closed.
        let response = raw(peer, b"POST /records/x HTTP/1.1\r\nhost: r\r\n").await;
        assert!(!response.contains(" 200 "), "{response}");
        assert_serves(&fleet).await;
    });
}

#[test]
fn connections_idle_do_not_block_requests() {
    run(async {
        let fleet = TestFleet::new().await;
        let peer = fleet.deployment.routers[0].listen;
        let idle: Vec<_> = (0..IDLE_CONNECTIONS)
            .map(|_| TcpStream::connect(peer).expect("a connection"))
            .collect();
        let connections = std::rc::Rc::clone(fleet.routers[0].connections());
        wait_until(|| connections.open_count() >= IDLE_CONNECTIONS).await;
        assert_serves(&fleet).await;
        drop(idle);
        wait_until(|| connections.open_count() == 0).await;
    });
}

#[test]
fn connections_over_the_limit_are_refused() {
    run(async {
        let fleet = TestFleet::with_settings("[limits]\nconnections = 3\n").await;
        let peer = fleet.deployment.routers[0].listen;
        let connections = std::rc::Rc::clone(fleet.routers[0].connections());
        let idle: Vec<_> = (0..3)
            .map(|_| TcpStream::connect(peer).expect("a connection"))
            .collect();
        wait_until(|| connections.open_count() == 3).await;
        let key = fleet.deployment.workspaces[0].key();
        let mut over = request(Method::GET, "/records/x", &key, "");
        over.headers_mut()
            .insert("x-request-id", HeaderValue::from_static("over"));
        let response = send(peer, over).await;
        response.assert_not_run(503, "too_many_connections");
        assert_eq!(response.headers["retry-after"], "1");
        assert_eq!(response.headers["x-request-id"], "over");
        drop(idle);
        wait_until(|| connections.open_count() == 0).await;
        assert_serves(&fleet).await;
    });
}
