//! Servers that replace a silent one, and what callers get if they can't.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::Fleet;
use hibiscusrail_front::stop;

use super::support::{
    Act, Front, STREAM_END, STREAM_HEAD, Server, chunk, event, full_response, run, status,
};

/// Returns the response of a server that is full and did not run the request.
fn rejection() -> Act {
    let response = full_response("503 Service Unavailable", "full");
    Act::Write(response.replace("x-seal: s", "x-not-run: 1"))
}

/// Guards against a stream that is cut since the server that was to replace its silent one rejects
/// the request.
#[test]
fn stream_silent_is_not_cut_if_replacement_rejects_it() {
    run(async {
        let pause = Act::Pause(
            STREAM_HEAD.to_owned() + &chunk(&event(1)),
            chunk(&event(2)) + STREAM_END,
        );
        let server = Server::start(vec![pause]);
        let full = Server::start(vec![rejection()]);
        let front = Front::start(&[&server, &full]);
        for _ in 0..2 {
            let response = front.call("/resume/x", "").await;
            if status(&response) == 503 {
                // The first request went to the full server and from there nowhere else.
                continue;
            }
            assert!(response.contains(&event(2)), "{response}");
            assert!(response.ends_with(STREAM_END), "{response}");
        }
        assert!(!server.received().is_empty());
    });
}

/// Guards against a 502 since the server that was to replace a silent one rejects the request.
#[test]
fn response_after_silence_is_relayed_if_replacement_rejects_it() {
    run(async {
        let act = Act::Pause(String::new(), full_response("200 OK", "body"));
        let server = Server::start(vec![act]);
        let full = Server::start(vec![rejection()]);
        let front = Front::start(&[&server, &full]);
        for _ in 0..2 {
            let response = front.call("/again/x", "").await;
            assert_eq!(status(&response), 200, "{response}");
        }
    });
}

/// Guards against a silent server whose connection is still open while its replacement works.
#[test]
fn replaced_connection_is_closed_at_once() {
    run(async {
        let silent = Act::Hang(STREAM_HEAD.to_owned() + &chunk(&event(1)));
        let pause = Act::Pause(
            STREAM_HEAD.to_owned() + &chunk(&event(2)),
            chunk(&event(3)) + STREAM_END,
        );
        let servers = [Server::start(vec![silent]), Server::start(vec![pause])];
        let front = Front::start(&[&servers[0], &servers[1]]);
        let calling = async {
            front.call("/resume/x", "").await;
            if servers[0].received().is_empty() {
                front.call("/resume/x", "").await;
            }
        };
        let watching = async {
            while servers[0].received().is_empty() {
                compio::time::sleep(Duration::from_millis(1)).await;
            }
            let sent = servers[1].received().len();
            while servers[1].received().len() == sent {
                compio::time::sleep(Duration::from_millis(1)).await;
            }
            compio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(servers[0].disconnects(), 1);
        };
        futures_util::future::join(calling, watching).await;
    });
}

/// Guards against a caller whose connection is closed without an answer as the process stops, since
/// its server is silent.
#[test]
fn request_at_silent_server_is_answered_at_end_of_stop() {
    run(async {
        let server = Server::start(vec![Act::Hang(String::new())]);
        let front = Front::start(&[&server]);
        let stopping = async {
            compio::time::sleep(Duration::from_millis(100)).await;
            front.shell.stop();
            front.shell.connections().close();
            let end = Instant::now() + Duration::from_millis(1_000);
            let cut = stop::drain(&front.shell, end).await;
            (cut, front.shell.with_fleet(Fleet::requests))
        };
        let calling = front.call("/again/x", "");
        let (response, (cut, _)) = futures_util::future::join(calling, stopping).await;
        assert_eq!(cut, 0, "the process would end now: {response}");
    });
}
