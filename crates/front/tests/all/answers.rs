//! Non-streaming responses of servers: those relayed to the caller, and those rejected.

use super::support::{Act, Front, Server, full_response, header, run, status};

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
