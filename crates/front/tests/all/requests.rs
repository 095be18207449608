//! Requests as servers receive them, and requests that the router refuses.

use std::time::Duration;

use hibiscusrail_front::stop;

use super::support::{Act, Front, Server, full_response, header, run, status, wait_until};

async fn received_request(path: &str, extra: &str) -> String {
    let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
    let front = Front::start(&[&server]);
    assert_eq!(status(&front.call(path, extra).await), 200);
    server.received().remove(0)
}

#[test]
fn request_has_workspace_and_server_without_key() {
    run(async {
        let head = received_request(
            "/once/x?q=%2F1",
            "x-workspace: forged\r\nx-internal: forged\r\n",
        )
        .await;
        assert!(head.starts_with("POST /once/x?q=%2F1 HTTP/1.1\r\n"));
        assert_eq!(header(&head, "x-workspace").as_deref(), Some("w"));
        assert_eq!(header(&head, "x-server").as_deref(), Some("plain0"));
        assert_eq!(header(&head, "host").as_deref(), Some("host"));
        assert!(!head.contains("key") && !head.contains("forged"));
    });
}

#[test]
fn request_on_public_route_has_no_workspace() {
    run(async {
        let head = received_request("/public/x", "x-workspace: forged\r\n").await;
        assert_eq!(header(&head, "x-workspace"), None);
    });
}

#[test]
fn request_deadline_counts_down() {
    run(async {
        let head = received_request("/once/x", "").await;
        let remaining: u64 = header(&head, "x-wait-ms")
            .expect("the header is set")
            .parse()
            .expect("a number");
        assert!(remaining <= 5_000 && remaining > 0);
    });
}

#[test]
fn request_chunked_body_is_complete() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
        let front = Front::start(&[&server]);
        let text = "POST /once/x HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\nx-id: r\r\n\
                    connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assert_eq!(status(&front.raw(text).await), 200);
        let head = server.received().remove(0);
        assert!(head.ends_with("\r\n\r\nabcde"), "{head}");
    });
}

#[test]
fn request_refused_reaches_no_server() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
        let front = Front::start(&[&server]);
        let long = "x".repeat(1_001);
        let body = format!("content-length: 1001\r\n\r\n{long}");
        assert_eq!(status(&front.call("/nowhere/x", "").await), 404);
        assert_eq!(status(&front.call("/once/x", &body).await), 413);
        let wrong = "POST /once/x HTTP/1.1\r\nhost: host\r\nauthorization: Bearer wrong\r\n\
                     connection: close\r\n\r\n";
        assert_eq!(status(&front.raw(wrong).await), 401);
        let head = format!("x-long: {}\r\n", "x".repeat(17 << 10));
        assert_eq!(status(&front.call("/once/x", &head).await), 431);
        assert_eq!(status(&front.raw("nonsense\r\n\r\n").await), 400);
        assert!(server.received().is_empty());
    });
}

#[test]
fn request_without_server_is_refused() {
    run(async {
        let response = Front::start(&[]).call("/once/x", "").await;
        assert_eq!(status(&response), 503);
        assert!(header(&response, "retry-after").is_some());
    });
}

#[test]
fn request_while_stopping_closes_connection() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
        let front = Front::start(&[&server]);
        front.shell.stop();
        assert!(!front.shell.is_ready());
        let text =
            "POST /once/x HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\nx-id: r\r\n\r\n";
        // `raw` returns only once the router closes the connection.
        let response = front.raw(text).await;
        assert_eq!(status(&response), 200);
        assert_eq!(header(&response, "connection").as_deref(), Some("close"));
    });
}

#[test]
fn request_while_exiting_is_refused() {
    run(async {
        let server = Server::start(vec![Act::Hang(String::new())]);
        let front = Front::start(&[&server]);
        front.shell.stop();
        let shell = std::rc::Rc::clone(&front.shell);
        let end = shell.now() + Duration::from_secs(5);
        let draining = compio::runtime::spawn(async move { stop::drain(&shell, end).await });
        // No request is running, so only the flush of the last responses is awaited.
        while !front.shell.is_exiting() {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        let response = front.call("/once/x", "").await;
        assert_eq!(status(&response), 503);
        assert!(header(&response, "retry-after").is_some(), "{response}");
        assert_eq!(draining.await.expect("it does not panic"), 0);
        assert!(server.received().is_empty());
    });
}

/// Guards against a request that gets no answer (LOST): its refusal waits for a body, and the process
/// ends first.
#[test]
fn request_while_exiting_is_refused_before_its_body() {
    run(async {
        let front = Front::start(&[]);
        front.shell.stop();
        front.shell.begin_exit();
        for (path, expected) in [("/once/x", 503), ("/nowhere/x", 404)] {
            let started = front.shell.now();
            // The body never arrives.
            let response = front.call(path, "content-length: 4\r\n").await;
            assert_eq!(status(&response), expected);
            let after = front.shell.now().duration_since(started);
            assert!(after < Duration::from_millis(100), "{after:?}");
        }
    });
}

/// Guards against a connection that is accepted, or waits to be, as the process ends, and is then
/// closed without an answer.
#[test]
fn request_until_exit_is_answered_or_its_connection_refused() {
    use std::io::{Read, Write};
    run(async {
        let front = Front::start(&[]);
        let address = front.address;
        let calling = std::thread::spawn(move || {
            let mut unanswered = 0;
            let mut answered = 0;
            while let Ok(mut stream) = std::net::TcpStream::connect(address) {
                let sent = stream.write_all(b"POST /once/x HTTP/1.1\r\nhost: host\r\n\r\n");
                let read = sent.and_then(|()| stream.read(&mut [0; 1_024]));
                match read {
                    Ok(count) if count > 0 => answered += 1,
                    _ => unanswered += 1,
                }
            }
            (answered, unanswered)
        });
        front.shell.stop();
        front.shell.connections().close();
        compio::time::sleep(Duration::from_millis(300)).await;
        stop::drain(&front.shell, front.shell.now()).await;
        wait_until(|| calling.is_finished()).await;
        let (answered, unanswered) = calling.join().expect("it does not panic");
        assert!(answered > 0);
        assert_eq!(unanswered, 0, "{answered} answered");
    });
}

/// Guards against an IPv6 host that loses more than its port, so that its route is not found.
#[test]
fn request_to_ipv6_host_with_port_finds_route() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
        let front = Front::start(&[&server]);
        front.configure(|deployment| {
            for route in &mut deployment.routes {
                route.host = "[::1]".to_owned();
            }
        });
        let text = "POST /once/x HTTP/1.1\r\nhost: [::1]:80\r\nauthorization: Bearer key\r\n\
                    x-id: r\r\nconnection: close\r\n\r\n";
        assert_eq!(status(&front.raw(text).await), 200);
    });
}
