//! Answers that are passed on, and answers that are not.

use super::support::{Act, Front, Server, header, run, status, whole};

/// Sends one request to a server that acts as given and returns the caller's answer.
async fn answer_to(path: &str, act: Act) -> String {
    let server = Server::start(vec![act]);
    Front::start(&[&server]).call(path, "").await
}

#[test]
fn answer_whole_comes_unchanged_with_its_seal() {
    run(async {
        let answer = answer_to("/once/x", Act::Write(whole("200 OK", "body"))).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "x-seal").as_deref(), Some("s"));
        assert!(answer.ends_with("\r\n\r\nbody"));
    });
}

#[test]
fn answer_failure_of_the_server_keeps_its_status() {
    run(async {
        let act = Act::Write(whole("500 Internal Server Error", "no"));
        let answer = answer_to("/once/x", act).await;
        assert_eq!(status(&answer), 500);
        assert_eq!(header(&answer, "x-seal").as_deref(), Some("s"));
    });
}

#[test]
fn answer_not_run_is_refused_with_a_time_to_come_back() {
    run(async {
        let text = "HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        let answer = answer_to("/once/x", Act::Write(text.to_owned())).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
    });
}

#[test]
fn answer_503_that_does_not_say_not_run_is_none() {
    run(async {
        for code in [
            "503 Service Unavailable",
            "429 Too Many Requests",
            "408 Request Timeout",
        ] {
            let answer = answer_to("/once/x", Act::Write(whole(code, "no"))).await;
            assert_eq!(status(&answer), 502, "{code}");
        }
    });
}

#[test]
fn answer_of_another_request_reaches_nobody() {
    run(async {
        let text = whole("200 OK", "secret").replace("{id}", "other");
        let answer = answer_to("/once/x", Act::Write(text)).await;
        assert_eq!(status(&answer), 502);
        assert!(!answer.contains("secret"));
    });
}

#[test]
fn answer_without_seal_is_no_success() {
    run(async {
        let text = whole("200 OK", "body").replace("x-seal: s\r\n", "");
        assert_eq!(status(&answer_to("/once/x", Act::Write(text)).await), 502);
    });
}

#[test]
fn answer_encoded_is_not_the_servers() {
    run(async {
        let text = whole("200 OK", "body").replace("x-seal", "content-encoding: gzip\r\nx-seal");
        assert_eq!(status(&answer_to("/once/x", Act::Write(text)).await), 502);
    });
}

#[test]
fn answer_truncated_never_looks_whole() {
    run(async {
        let text = whole("200 OK", "body").replace("length: 4", "length: 400");
        let answer = answer_to("/once/x", Act::Close(text)).await;
        assert_eq!(status(&answer), 502);
    });
}

#[test]
fn answer_that_is_no_http_is_none() {
    run(async {
        let answer = answer_to("/once/x", Act::Close("\u{0}garbage\r\n\r\n".to_owned())).await;
        assert_eq!(status(&answer), 502);
    });
}

#[test]
fn answer_without_length_ends_with_its_connection() {
    run(async {
        let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n\r\nbody";
        let answer = answer_to("/once/x", Act::Close(text.to_owned())).await;
        assert_eq!(status(&answer), 200);
        assert!(answer.ends_with("body"));
    });
}

#[test]
fn answer_extra_bytes_do_not_reach_the_next_request() {
    run(async {
        let twice = whole("200 OK", "first") + &whole("200 OK", "extra");
        let server = Server::start(vec![
            Act::Write(twice),
            Act::Write(whole("200 OK", "second")),
        ]);
        let front = Front::start(&[&server]);
        assert!(front.call("/again/x", "").await.ends_with("first"));
        let next = front.call("/again/x", "").await;
        assert!(!next.contains("extra"), "{next}");
    });
}

#[test]
fn answer_lost_repeats_only_what_may_run_again() {
    run(async {
        for (path, expected, runs) in [("/again/x", 200, 2), ("/once/x", 502, 1)] {
            let broken = Server::start(vec![
                Act::Close(String::new()),
                Act::Write(whole("200 OK", "body")),
            ]);
            let front = Front::start(&[&broken, &broken]);
            assert_eq!(status(&front.call(path, "").await), expected);
            assert_eq!(broken.seen().len(), runs);
        }
    });
}
