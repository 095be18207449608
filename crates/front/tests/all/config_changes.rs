//! Requests that are in progress while the configuration changes.

use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use hibiscusrail_fleet::objects::Deployment;

use super::support::{
    Act, Front, STREAM_END, STREAM_HEAD, Server, TIMEOUT, chunk, event, full_response, header,
    read_all, read_until, run, status, wait_until,
};

/// A change of the configuration.
type Change = fn(&mut Deployment);

/// Changes after which a new request of the same kind would be refused, and a limit that a request
/// in progress exceeds.
const CHANGES: [(&str, Change); 6] = [
    ("route removed", remove_routes),
    ("timeout shortened", shorten_timeouts),
    ("API key removed", remove_keys),
    ("service removed", remove_services),
    ("engine facts removed", remove_engines),
    ("body limit lowered", lower_body_limit),
];

fn remove_routes(deployment: &mut Deployment) {
    deployment.routes.clear();
}

fn shorten_timeouts(deployment: &mut Deployment) {
    for route in &mut deployment.routes {
        route.timeout = Duration::from_millis(300);
        route.target = Duration::from_millis(100);
    }
}

fn remove_keys(deployment: &mut Deployment) {
    for workspace in &mut deployment.workspaces {
        workspace.keys = vec!["other".to_owned()];
    }
}

fn remove_services(deployment: &mut Deployment) {
    deployment.services.clear();
}

fn remove_engines(deployment: &mut Deployment) {
    for service in deployment.services.values_mut() {
        service.engine = None;
    }
}

fn lower_body_limit(deployment: &mut Deployment) {
    deployment.limits.body_bytes = 1;
}

/// Returns the head of a request with a body of `length` bytes.
fn request_head(path: &str, length: usize, extra: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\nx-id: r1\r\n\
         x-wait-ms: 5000\r\nconnection: close\r\ncontent-length: {length}\r\n{extra}\r\n"
    )
}

async fn write(stream: &mut TcpStream, text: &str) {
    let BufResult(written, _) = stream.write_all(text.as_bytes().to_vec()).await;
    written.expect("the router reads the request");
}

/// Connects to the router and sends `text`.
async fn send(front: &Front, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(front.address).await.expect("it listens");
    write(&mut stream, text).await;
    stream
}

async fn read_response(stream: &mut TcpStream) -> String {
    compio::time::timeout(TIMEOUT, read_all(stream))
        .await
        .expect("the router responds in time")
}

/// Returns whether a response with a `Content-Length` is complete.
fn is_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    header(head, "content-length") == Some(body.len().to_string())
}

/// Returns whether the caller has a complete response, or a complete refusal of a request that no
/// server received.
fn is_answered(response: &str, servers: &[&Server]) -> bool {
    let received: usize = servers.iter().map(|s| s.received().len()).sum();
    is_complete(response)
        && match status(response) {
            200 => response.ends_with("whole"),
            401 | 404 | 413 | 503 => received == 0,
            _ => false,
        }
}

/// Collects what callers received in cases where it should have been something else.
#[derive(Default)]
struct Faults(Vec<String>);

impl Faults {
    fn check(&mut self, holds: bool, case: (&str, &str), response: &str) {
        if !holds {
            let (change, path) = case;
            self.0.push(format!("{change}, {path}: {response:?}"));
        }
    }

    fn assert_none(&self) {
        assert!(self.0.is_empty(), "{:#?}", self.0);
    }
}

/// Starts two servers that both handle every request by `act`, and a router before them.
fn start_pair(act: Act) -> ([Server; 2], Front) {
    let servers = [Server::start(vec![act.clone()]), Server::start(vec![act])];
    let front = Front::start(&[&servers[0], &servers[1]]);
    (servers, front)
}

fn whole() -> String {
    full_response("200 OK", "whole")
}

fn whole_stream(ids: &[u32]) -> String {
    let events: String = ids.iter().map(|id| chunk(&event(*id))).collect();
    STREAM_HEAD.to_owned() + &events + STREAM_END
}

/// Guards against a request that was let in, and whose caller's connection ends without an answer
/// since the configuration changed before its body was read.
#[test]
fn config_change_before_body_leaves_request_answered() {
    run(async {
        let mut faults = Faults::default();
        for (name, change) in CHANGES {
            for path in ["/once/x", "/again/x"] {
                let server = Server::start(vec![Act::Write(whole())]);
                let front = Front::start(&[&server]);
                let head = request_head(path, 4, "expect: 100-continue\r\n");
                let mut stream = send(&front, &head).await;
                // The router asks for the body once it has read the head.
                let interim = read_until(&mut stream, "\r\n\r\n").await;
                assert_eq!(status(&interim), 100, "{name}: {interim:?}");
                front.configure(change);
                write(&mut stream, "body").await;
                let response = read_response(&mut stream).await;
                let holds = is_answered(&response, &[&server]);
                faults.check(holds, (name, path), &response);
            }
        }
        faults.assert_none();
    });
}

/// Guards against a stream that was let in, and is refused or cut since the configuration changed
/// before its body was read.
#[test]
fn config_change_before_body_leaves_stream_answered() {
    run(async {
        let mut faults = Faults::default();
        for (name, change) in CHANGES {
            let server = Server::start(vec![Act::Write(whole_stream(&[1, 2]))]);
            let front = Front::start(&[&server]);
            let head = request_head("/resume/x", 4, "expect: 100-continue\r\n");
            let mut stream = send(&front, &head).await;
            let interim = read_until(&mut stream, "\r\n\r\n").await;
            assert_eq!(status(&interim), 100, "{name}: {interim:?}");
            front.configure(change);
            write(&mut stream, "body").await;
            let response = read_response(&mut stream).await;
            let holds = response.ends_with(STREAM_END) || is_answered(&response, &[&server]);
            faults.check(holds, (name, "/resume/x"), &response);
        }
        faults.assert_none();
    });
}

/// Guards against an answer that arrives in time and is not awaited, since the configuration
/// changed while its server was silent.
#[test]
fn config_change_while_server_is_silent_leaves_request_answered() {
    run(async {
        let mut faults = Faults::default();
        for (name, change) in CHANGES {
            for path in ["/once/x", "/again/x"] {
                let pause = Act::Pause(String::new(), whole());
                let (servers, front) = start_pair(pause);
                let mut stream = send(&front, &(request_head(path, 4, "") + "body")).await;
                wait_until(|| servers.iter().any(|s| !s.received().is_empty())).await;
                front.configure(change);
                let response = read_response(&mut stream).await;
                let holds = is_answered(&response, &[&servers[0], &servers[1]]);
                faults.check(holds, (name, path), &response);
            }
        }
        faults.assert_none();
    });
}

/// Guards against a stream that is cut, since the configuration changed while its engine was silent
/// before the first event.
#[test]
fn config_change_while_engine_is_silent_leaves_stream_complete() {
    run(async {
        let mut faults = Faults::default();
        for (name, change) in CHANGES {
            for path in ["/stream/x", "/resume/x"] {
                let pause = Act::Pause(String::new(), whole_stream(&[1, 2]));
                let (servers, front) = start_pair(pause);
                let mut stream = send(&front, &(request_head(path, 4, "") + "body")).await;
                wait_until(|| servers.iter().any(|s| !s.received().is_empty())).await;
                front.configure(change);
                let response = read_response(&mut stream).await;
                faults.check(response.ends_with(STREAM_END), (name, path), &response);
            }
        }
        faults.assert_none();
    });
}

/// Guards against a stream that is cut, since the configuration changed while its engine was silent
/// between two events.
#[test]
fn config_change_while_stream_is_silent_leaves_it_complete() {
    run(async {
        let mut faults = Faults::default();
        for (name, change) in CHANGES {
            for path in ["/stream/x", "/resume/x"] {
                let first = STREAM_HEAD.to_owned() + &chunk(&event(1));
                let pause = Act::Pause(first, chunk(&event(2)) + STREAM_END);
                let (_servers, front) = start_pair(pause);
                let mut stream = send(&front, &(request_head(path, 4, "") + "body")).await;
                let begun = read_until(&mut stream, &(event(1) + "\r\n")).await;
                assert_eq!(status(&begun), 200, "{name}, {path}: {begun:?}");
                front.configure(change);
                let response = begun + &read_response(&mut stream).await;
                let holds = response.contains(&event(2)) && response.ends_with(STREAM_END);
                faults.check(holds, (name, path), &response);
            }
        }
        faults.assert_none();
    });
}

/// Guards against a stream that can be resumed, and is cut when its engine breaks off, since the
/// configuration changed after it began.
#[test]
fn config_change_leaves_broken_stream_resumed() {
    run(async {
        let mut faults = Faults::default();
        for (name, change) in CHANGES {
            let first = STREAM_HEAD.to_owned() + &chunk(&event(1));
            let acts = vec![
                Act::CloseLater(first, Duration::from_millis(300)),
                Act::Write(whole_stream(&[2, 3])),
            ];
            let server = Server::start(acts);
            let front = Front::start(&[&server, &server]);
            let mut stream = send(&front, &(request_head("/resume/x", 4, "") + "body")).await;
            let begun = read_until(&mut stream, &(event(1) + "\r\n")).await;
            assert_eq!(status(&begun), 200, "{name}: {begun:?}");
            front.configure(change);
            let response = begun + &read_response(&mut stream).await;
            let holds = response.contains(&event(3)) && response.ends_with(STREAM_END);
            faults.check(holds, (name, "/resume/x"), &response);
        }
        faults.assert_none();
    });
}

/// Guards against a request that is taken away from a silent server, since no other server may
/// receive it after an evacuation.
#[test]
fn evacuation_while_server_is_silent_leaves_request_answered() {
    run(async {
        let mut faults = Faults::default();
        let begun = STREAM_HEAD.to_owned() + &chunk(&event(1));
        let cases = [
            ("/again/x", Act::Pause(String::new(), whole()), "whole"),
            (
                "/resume/x",
                Act::Pause(String::new(), whole_stream(&[1])),
                STREAM_END,
            ),
            (
                "/resume/x",
                Act::Pause(begun, STREAM_END.to_owned()),
                STREAM_END,
            ),
        ];
        for (path, pause, end) in cases {
            let (servers, front) = start_pair(pause);
            let mut stream = send(&front, &(request_head(path, 4, "") + "body")).await;
            wait_until(|| servers.iter().any(|s| !s.received().is_empty())).await;
            front.evacuate();
            let response = read_response(&mut stream).await;
            faults.check(response.ends_with(end), ("zone evacuated", path), &response);
        }
        faults.assert_none();
    });
}
