//! Non-streaming responses of servers: those relayed to the caller, and those rejected.

use super::support::{
    Act, Front, STREAM_END, STREAM_HEAD, Server, chunk, event, full_response, header, run, status,
};

/// Sends one request to a server that acts as given and returns the caller's response.
async fn response_to(path: &str, act: Act) -> String {
    let server = Server::start(vec![act]);
    Front::start(&[&server]).call(path, "").await
}

#[test]
fn response_full_is_relayed_unchanged() {
    run(async {
        let response = response_to("/once/x", Act::Write(full_response("200 OK", "body"))).await;
        assert_eq!(status(&response), 200);
        assert_eq!(header(&response, "x-seal").as_deref(), Some("s"));
        assert!(response.ends_with("\r\n\r\nbody"));
    });
}

#[test]
fn response_server_error_keeps_status() {
    run(async {
        let act = Act::Write(full_response("500 Internal Server Error", "no"));
        let response = response_to("/once/x", act).await;
        assert_eq!(status(&response), 500);
        assert_eq!(header(&response, "x-seal").as_deref(), Some("s"));
    });
}

#[test]
fn response_not_run_has_retry_after() {
    run(async {
        let text = "HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        let response = response_to("/once/x", Act::Write(text.to_owned())).await;
        assert_eq!(status(&response), 503);
        assert!(header(&response, "retry-after").is_some());
    });
}

#[test]
fn response_503_without_not_run_header_is_502() {
    run(async {
        for code in [
            "503 Service Unavailable",
            "429 Too Many Requests",
            "408 Request Timeout",
        ] {
            let response = response_to("/once/x", Act::Write(full_response(code, "no"))).await;
            assert_eq!(status(&response), 502, "{code}");
        }
    });
}

#[test]
fn response_with_other_request_id_is_rejected() {
    run(async {
        let text = full_response("200 OK", "secret").replace("{id}", "other");
        let response = response_to("/once/x", Act::Write(text)).await;
        assert_eq!(status(&response), 502);
        assert!(!response.contains("secret"));
    });
}

#[test]
fn response_without_seal_is_rejected() {
    run(async {
        let text = full_response("200 OK", "body").replace("x-seal: s\r\n", "");
        assert_eq!(status(&response_to("/once/x", Act::Write(text)).await), 502);
    });
}

#[test]
fn response_with_content_encoding_is_rejected() {
    run(async {
        let text =
            full_response("200 OK", "body").replace("x-seal", "content-encoding: gzip\r\nx-seal");
        assert_eq!(status(&response_to("/once/x", Act::Write(text)).await), 502);
    });
}

#[test]
fn response_truncated_is_rejected() {
    run(async {
        let text = full_response("200 OK", "body").replace("length: 4", "length: 400");
        let response = response_to("/once/x", Act::Close(text)).await;
        assert_eq!(status(&response), 502);
    });
}

#[test]
fn response_not_http_is_rejected() {
    run(async {
        let response = response_to("/once/x", Act::Close("\u{0}garbage\r\n\r\n".to_owned())).await;
        assert_eq!(status(&response), 502);
    });
}

#[test]
fn response_without_length_ends_at_close() {
    run(async {
        let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n\r\nbody";
        let response = response_to("/once/x", Act::Close(text.to_owned())).await;
        assert_eq!(status(&response), 200);
        assert!(response.ends_with("body"));
    });
}

#[test]
fn response_extra_bytes_are_discarded() {
    run(async {
        let twice = full_response("200 OK", "first") + &full_response("200 OK", "extra");
        let server = Server::start(vec![
            Act::Write(twice),
            Act::Write(full_response("200 OK", "second")),
        ]);
        let front = Front::start(&[&server]);
        assert!(front.call("/again/x", "").await.ends_with("first"));
        let next = front.call("/again/x", "").await;
        assert!(!next.contains("extra"), "{next}");
    });
}

#[test]
fn response_lost_retries_idempotent_only() {
    run(async {
        for (path, expected, runs) in [("/again/x", 200, 2), ("/once/x", 502, 1)] {
            let server = Server::start(vec![
                Act::Close(String::new()),
                Act::Write(full_response("200 OK", "body")),
            ]);
            let front = Front::start(&[&server, &server]);
            assert_eq!(status(&front.call(path, "").await), expected);
            assert_eq!(server.received().len(), runs);
        }
    });
}

#[test]
fn response_late_from_last_server_is_delivered() {
    run(async {
        let late = Act::Pause(String::new(), full_response("200 OK", "late"));
        let server = Server::start(vec![late]);
        let front = Front::start(&[&server, &server]);
        let response = front.call("/again/x", "").await;
        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(server.received().len(), 2, "both attempts were silent");
    });
}

/// Guards against a 502 for a request whose server is silent and goes on, as no other one is left.
#[test]
fn response_after_silence_is_relayed_if_no_other_server_is_left() {
    run(async {
        let act = Act::Pause(String::new(), full_response("200 OK", "body"));
        let server = Server::start(vec![act]);
        let front = Front::start(&[&server, &Server::unreachable()]);
        for _ in 0..2 {
            let response = front.call("/again/x", "").await;
            assert_eq!(status(&response), 200, "{response}");
        }
        assert_eq!(server.received().len(), 2);
    });
}

/// Response to another request than the one under way, as a second, late copy of it.
const LATE_COPY: &str =
    "HTTP/1.1 200 OK\r\nx-id: other\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nlate";

/// Returns the answers to two requests, the second of which is sent on the connection of the first.
async fn answers_on_one_connection(path: &str, first: String, second: Act) -> [String; 2] {
    let server = Server::start(vec![Act::Write(first), second]);
    let front = Front::start(&[&server]);
    let first = front.call(path, "").await;
    let second = front.call(path, "").await;
    assert_eq!(server.received().len(), 2);
    [first, second]
}

/// Guards against a late second copy of a response that is taken for the next one, so that the
/// request is sent again or its caller gets a foreign answer.
#[test]
fn answer_after_late_copy_is_delivered() {
    run(async {
        let answer = full_response("200 OK", "right");
        let chunked = format!(
            "{}{}{STREAM_END}",
            STREAM_HEAD.replace("{id}", "other"),
            chunk("late")
        );
        for copies in [LATE_COPY.to_owned(), LATE_COPY.repeat(3), chunked] {
            let second = Act::Write(format!("{copies}{answer}"));
            let answers = answers_on_one_connection("/again/x", answer.clone(), second).await;
            assert!(answers[0].ends_with("right"), "{}", answers[0]);
            assert!(answers[1].ends_with("right"), "{}", answers[1]);
        }
    });
}

/// Guards against a late copy that arrives in two pieces.
#[test]
fn answer_after_late_copy_in_pieces_is_delivered() {
    run(async {
        let answer = full_response("200 OK", "right");
        for at in [20, LATE_COPY.len() - 2] {
            let (begin, end) = LATE_COPY.split_at(at);
            let second = Act::Pause(begin.to_owned(), format!("{end}{answer}"));
            let answers = answers_on_one_connection("/again/x", answer.clone(), second).await;
            assert!(answers[1].ends_with("right"), "{}", answers[1]);
        }
    });
}

/// Guards against a stream that fails since a late copy of the stream before it comes first.
#[test]
fn stream_after_late_copy_is_delivered() {
    run(async {
        let stream = format!("{STREAM_HEAD}{}{STREAM_END}", chunk(&event(1)));
        let copy = stream.replace("{id}", "other");
        let second = Act::Write(format!("{copy}{stream}"));
        let answers = answers_on_one_connection("/resume/x", stream, second).await;
        assert_eq!(status(&answers[1]), 200);
        assert!(answers[1].contains("data: 1"), "{}", answers[1]);
    });
}

/// Guards against a copy without a certain end whose bytes are taken for an answer.
#[test]
fn late_copy_without_certain_end_is_not_delivered() {
    run(async {
        let answer = full_response("200 OK", "right");
        let copy = LATE_COPY.replace("content-length: 4\r\n", "");
        let second = Act::Close(format!("{copy}{answer}"));
        let answers = answers_on_one_connection("/again/x", answer, second).await;
        assert_ne!(status(&answers[1]), 200, "{}", answers[1]);
    });
}

/// Guards against a late copy for a request that may run once: it is sent on a connection of its own.
#[test]
fn once_request_uses_new_connection() {
    run(async {
        let answer = full_response("200 OK", "right");
        let first = format!("{answer}{LATE_COPY}");
        let second = Act::Write(answer);
        let answers = answers_on_one_connection("/once/x", first, second).await;
        assert!(answers[1].ends_with("right"), "{}", answers[1]);
    });
}

// Guards against an empty answer of a server in trouble: a switch of protocols that nobody asked for was
// relayed, and the connection is no longer one of HTTP.
#[test]
fn response_switching_protocols_is_not_relayed() {
    run(async {
        let text = "HTTP/1.1 101 Switching Protocols\r\nx-id: {id}\r\nx-seal: s\r\n\r\n";
        for upgrade in ["", "connection: upgrade\r\nupgrade: x\r\n"] {
            let text = text.replace("\r\n\r\n", &format!("\r\n{upgrade}\r\n"));
            for path in ["/once/x", "/again/x", "/stream/x", "/resume/x"] {
                let response = response_to(path, Act::Write(text.clone())).await;
                assert_eq!(status(&response), 502, "{path}: {response}");
            }
        }
    });
}

#[test]
fn response_after_informational_ones_is_relayed() {
    run(async {
        for code in [100, 102, 103, 199] {
            for count in [1, 20] {
                let before = format!("HTTP/1.1 {code} x\r\nx-id: {{id}}\r\n\r\n").repeat(count);
                let text = before + &full_response("200 OK", "body");
                let response = response_to("/once/x", Act::Write(text)).await;
                assert_eq!(status(&response), 200, "{code}: {response}");
                assert!(response.ends_with("\r\n\r\nbody"), "{code}: {response}");
            }
        }
    });
}
