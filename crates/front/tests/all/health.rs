//! Health checks of servers that may have restarted.

use std::time::Duration;

use hibiscusrail_fleet::event::HealthCheck;
use hibiscusrail_fleet::registry::ServerKey;
use hibiscusrail_front::health::ask;

use super::support::{Act, Server, protocol, run};

/// Returns the cold time that a server tells by a response with this status and these header lines.
async fn answer(status: &str, headers: &str) -> Option<Duration> {
    let response = format!("HTTP/1.1 {status}\r\n{headers}content-length: 0\r\n\r\n");
    let server = Server::start(vec![Act::Write(response)]);
    let check = HealthCheck {
        server: ServerKey::default(),
        id: "e0".to_owned(),
        address: server.address,
        path: "/health".to_owned(),
    };
    let cold = ask(&protocol(), &check).await;
    let received = server.received();
    assert!(received[0].starts_with("GET /health HTTP/1.1\r\n"));
    cold.ok()
}

#[test]
fn ask_server_that_is_warm() {
    run(async {
        let cold = answer("200 OK", "x-answered-by: e0\r\n").await;
        assert_eq!(cold, Some(Duration::ZERO));
    });
}

#[test]
fn ask_server_that_is_cold() {
    run(async {
        let cold = answer("200 OK", "x-answered-by: e0\r\nx-cold: 1500\r\n").await;
        assert_eq!(cold, Some(Duration::from_millis(1_500)));
    });
}

/// Guards against a server that is taken for warm by what is no answer of its own.
#[test]
fn ask_server_without_valid_answer() {
    run(async {
        for (status, headers) in [
            ("200 OK", ""),
            ("200 OK", "x-answered-by: e1\r\n"),
            ("200 OK", "x-answered-by: e0\r\nx-cold: soon\r\n"),
            ("200 OK", "x-answered-by: e0\r\nx-cold: -1\r\n"),
            ("200 OK", "x-answered-by: e0\r\nx-cold: NaN\r\n"),
            ("503 Service Unavailable", "x-answered-by: e0\r\n"),
        ] {
            assert_eq!(answer(status, headers).await, None, "{status} {headers}");
        }
    });
}
