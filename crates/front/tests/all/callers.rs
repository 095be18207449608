//! Callers that disconnect or stay idle, and connections over the limit.

use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::objects::Revision;

use super::support::{
    Act, Front, STREAM_END, STREAM_HEAD, Server, TIMEOUT, chunk, full_response, header, read_all,
    read_until, run, status, wait_until,
};

const REQUEST: &str = "POST /stream/x HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\n\
                       x-id: r\r\nx-wait-ms: 5000\r\n\r\n";

/// Disconnects a caller while the server handles its request, and waits until the server notices.
async fn disconnect(act: Act) {
    let server = Server::start(vec![act]);
    let front = Front::start(&[&server]);
    let mut caller = TcpStream::connect(front.address).await.expect("it listens");
    let BufResult(written, _) = caller.write_all(REQUEST.as_bytes().to_vec()).await;
    written.expect("the router reads the request");
    wait_until(|| server.received().len() == 1).await;
    drop(caller);
    wait_until(|| server.disconnects() == 1).await;
    wait_until(|| front.shell.with_fleet(|f| f.requests() == 0)).await;
}

#[test]
fn disconnect_before_response_closes_upstream() {
    run(disconnect(Act::Hang(String::new())));
}

#[test]
fn disconnect_during_stream_closes_upstream() {
    let text = STREAM_HEAD.to_owned() + &chunk("id: 1\ndata: 1\n\n");
    run(disconnect(Act::Hang(text)));
}

#[test]
fn connection_over_limit_is_refused() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
        let front = Front::start_with(&[&server], 2);
        let mut idle = Vec::new();
        for _ in 0..2 {
            idle.push(TcpStream::connect(front.address).await.expect("it listens"));
        }
        wait_until(|| front.shell.connections().open_count() == 2).await;
        let mut extra = TcpStream::connect(front.address).await.expect("it listens");
        let BufResult(written, _) = extra.write_all(REQUEST.as_bytes().to_vec()).await;
        written.expect("the router reads the request");
        let response = read_all(&mut extra).await;
        assert_eq!(status(&response), 503);
        assert!(header(&response, "retry-after").is_some());
        assert!(server.received().is_empty());
    });
}

/// Applies a configuration with another limit on the idle time of callers' connections.
fn set_idle_limit(front: &Front, idle: Duration) {
    let (revision, mut config) = front
        .shell
        .with_fleet(|f| (f.config_revision(), f.config().clone()));
    let deployment = config.deployment.as_mut().expect("there is one");
    deployment.limits.idle = idle;
    let revision = Revision(revision.0 + 1);
    front.shell.handle(Event::Config(revision, config));
}

#[test]
fn connection_idle_longer_than_configured_is_closed() {
    run(async {
        let front = Front::start(&[]);
        set_idle_limit(&front, Duration::from_millis(200));
        let mut caller = TcpStream::connect(front.address).await.expect("it listens");
        compio::time::timeout(TIMEOUT, read_all(&mut caller))
            .await
            .expect("the router closes the connection");
    });
}

/// Guards against requests that get no answer (LOST): callers use their open connections for as long
/// as the configuration in force allows.
#[test]
fn connection_idle_as_long_as_a_changed_configuration_allows_is_kept() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
        let front = Front::start(&[&server]);
        set_idle_limit(&front, Duration::from_millis(300));
        let mut caller = TcpStream::connect(front.address).await.expect("it listens");
        compio::time::sleep(Duration::from_millis(100)).await;
        set_idle_limit(&front, Duration::from_secs(2));
        compio::time::sleep(Duration::from_millis(500)).await;
        let request = "GET /again/x HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\n\
                       x-id: r\r\nx-wait-ms: 5000\r\n\r\n";
        let BufResult(written, _) = caller.write_all(request.as_bytes().to_vec()).await;
        written.expect("the connection is kept");
        let response = read_until(&mut caller, "body").await;
        assert_eq!(status(&response), 200);
    });
}

/// Sends a request that has no route, and its body after `pause`; returns the responses to it and, on
/// the same connection, to another one.
async fn refused_with_late_body(pause: Duration) -> (String, Option<String>) {
    let front = Front::start(&[]);
    let head = "POST /nowhere/x HTTP/1.1\r\nhost: host\r\ncontent-length: 4\r\n\r\n";
    let mut caller = TcpStream::connect(front.address).await.expect("it listens");
    let mut writer = caller.clone();
    let BufResult(written, _) = writer.write_all(head.as_bytes().to_vec()).await;
    written.expect("it is open");
    let write_body = async {
        compio::time::sleep(pause).await;
        let BufResult(written, _) = writer.write_all(b"body".to_vec()).await;
        written.expect("the router reads on");
    };
    let read_response = read_until(&mut caller, "no route\n");
    let ((), first) = futures_util::future::join(write_body, read_response).await;
    let BufResult(written, _) = caller.write_all(head.replace('4', "0").into_bytes()).await;
    let second = read_until(&mut caller, "no route\n").await;
    (
        first,
        written.is_ok().then_some(second).filter(|s| !s.is_empty()),
    )
}

/// Guards against a connection that is closed under its caller (LOST): the response did not say so,
/// and the next request on it got no answer.
#[test]
fn refusal_before_the_body_keeps_the_connection() {
    run(async {
        let (first, second) = refused_with_late_body(Duration::from_millis(50)).await;
        assert_eq!(status(&first), 404);
        assert_eq!(header(&first, "connection"), None);
        assert_eq!(status(&second.expect("the connection is kept")), 404);
    });
}

/// Guards against a caller that sends its next request on a connection which is to be closed (LOST),
/// since its body came too late to be read.
#[test]
fn refusal_of_slow_body_says_that_the_connection_closes() {
    run(async {
        let (first, second) = refused_with_late_body(Duration::from_millis(500)).await;
        assert_eq!(status(&first), 404);
        assert_eq!(header(&first, "connection").as_deref(), Some("close"));
        assert_eq!(second, None);
    });
}

/// Guards against callers that stay at an overloaded router: the platform sends their next
/// connections to another one.
#[test]
fn refusal_of_overloaded_router_closes_connection() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
        let front = Front::start(&[&server]);
        for _ in 0..50 {
            front.shell.handle(Event::LoopLag(Duration::from_secs(1)));
        }
        let response = front.raw(REQUEST).await;
        assert_eq!(status(&response), 503);
        assert_eq!(header(&response, "connection").as_deref(), Some("close"));
        assert!(server.received().is_empty());
    });
}

/// Returns whether callers' connections were counted by these outcomes.
fn are_counted(front: &Front, expected: &[(&str, usize)]) -> bool {
    let page = front.shell.metrics().render(0, true, 0);
    let page = String::from_utf8(page).expect("metrics are text");
    expected.iter().all(|(outcome, count)| {
        let name = format!("hibiscusrail_connections_total{{outcome=\"{outcome}\"}}");
        page.contains(&format!("{name} {count}\n"))
    })
}

/// Guards against connections over the limit that are closed without a response: their callers
/// don't know when to come back.
#[test]
fn connections_over_limit_all_get_a_response() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
        let front = Front::start_with(&[&server], 2);
        // These send nothing: two are served, and the others wait to be refused.
        let mut silent = Vec::new();
        for _ in 0..66 {
            silent.push(TcpStream::connect(front.address).await.expect("it listens"));
        }
        wait_until(|| are_counted(&front, &[("served", 2), ("refused", 64)])).await;
        for _ in 0..100 {
            let response = front.raw(REQUEST).await;
            assert_eq!(status(&response), 503, "{response}");
            assert!(header(&response, "retry-after").is_some(), "{response}");
        }
        assert!(server.received().is_empty());
    });
}

/// Guards against callers without a connection that nothing counts.
#[test]
fn connections_are_counted_by_outcome() {
    run(async {
        let front = Front::start_with(&[], 2);
        let mut open = Vec::new();
        for _ in 0..70 {
            open.push(TcpStream::connect(front.address).await.expect("it listens"));
        }
        // The limit is 2, and 64 more are refused by a response.
        let expected = [("served", 2), ("refused", 64), ("closed", 4)];
        wait_until(|| are_counted(&front, &expected)).await;
    });
}

#[test]
fn metrics_are_documented() {
    run(async {
        let server = Server::start(vec![Act::Write(full_response("200 OK", "body"))]);
        let front = Front::start(&[&server]);
        assert_eq!(status(&front.call("/once/x", "").await), 200);
        assert_eq!(status(&front.call("/nowhere/x", "").await), 404);
        let page = front.shell.metrics().render(0, true, 0);
        let page = String::from_utf8(page).expect("metrics are text");
        let docs = include_str!("../../../../docs/METRICS.md");
        for line in page.lines().filter_map(|l| l.strip_prefix("# TYPE ")) {
            let name = line.split(' ').next().expect("a name");
            assert!(docs.contains(&format!("`{name}`")), "{name} is not in docs");
        }
    });
}

/// Requests of the flood in [`flood_is_refused_at_head`].
const FLOOD: usize = 200;

/// Guards against an overloaded router that spends its time on refusals: none may get a served
/// connection or reach the reducer, and a stream under way goes on.
#[test]
fn flood_is_refused_at_head() {
    run(async {
        let (head, tail) = (
            STREAM_HEAD.to_owned() + &chunk("id: 1\ndata: 1\n\n"),
            chunk("id: 2\ndata: 2\n\n") + STREAM_END,
        );
        let server = Server::start(vec![Act::Pause(head, tail)]);
        let front = Front::start_with(&[&server], 1_000);
        let mut caller = TcpStream::connect(front.address).await.expect("it listens");
        let BufResult(written, _) = caller.write_all(REQUEST.as_bytes().to_vec()).await;
        written.expect("the router reads the request");
        wait_until(|| server.received().len() == 1).await;
        front.overload();
        let keys_before = front.shell.new_request_key().0;
        let body = "x".repeat(900);
        let request = REQUEST.replace(
            "\r\n\r\n",
            &format!("\r\ncontent-length: 900\r\n\r\n{body}"),
        );
        let responses = (0..FLOOD).map(|_| front.raw(&request));
        for response in futures_util::future::join_all(responses).await {
            assert_eq!(status(&response), 503, "{response}");
            assert!(header(&response, "retry-after").is_some(), "{response}");
            assert_eq!(header(&response, "connection").as_deref(), Some("close"));
            assert_eq!(header(&response, "x-id").as_deref(), Some("r"));
        }
        let submitted = front.shell.new_request_key().0 - keys_before - 1;
        assert_eq!(submitted, 0, "refused requests reached the reducer");
        let page = front.shell.metrics().render(0, true, 0);
        let page = String::from_utf8(page).expect("metrics are text");
        let served = "hibiscusrail_connections_total{outcome=\"served\"} 1\n";
        assert!(page.contains(served), "refused requests were served");
        let stream = compio::time::timeout(TIMEOUT, read_until(&mut caller, STREAM_END));
        let stream = stream.await.expect("the stream goes on");
        assert!(stream.contains("data: 2"), "{stream}");
        assert_eq!(server.received().len(), 1);
    });
}
