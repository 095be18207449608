//! What callers meet: refusals of bad requests, and headers both ways.

use hibiscusrail_load::client::Ending;
use hibiscusrail_router::refusal::Code;
use http::{HeaderName, HeaderValue, Method};

use crate::http::{Answer, raw, request, send};
use crate::support::{Stage, run};

/// Path of model requests.
const CHAT: &str = "/v1/chat/completions";

async fn ask(stage: &Stage, method: Method, path: &str, body: &str) -> Answer {
    let key = stage.deployment.workspaces[0].key();
    let peer = stage.deployment.routers[0].listen;
    send(peer, request(method, path, &key, body)).await
}

async fn ask_with(stage: &Stage, name: &'static str, value: &'static str) -> Answer {
    let key = stage.deployment.workspaces[0].key();
    let path = format!("/{}/record/7", stage.deployment.plain);
    let mut request = request(Method::GET, &path, &key, "");
    request.headers_mut().insert(
        HeaderName::from_static(name),
        HeaderValue::from_static(value),
    );
    send(stage.deployment.routers[0].listen, request).await
}

/// Checks that the router still serves others.
async fn assert_serves(stage: &Stage) {
    let received = stage.ask(0, "after", stage.draft("after", 3, true)).await;
    assert_eq!(received.ending, Ending::Right);
}

#[test]
fn http_malformed_is_refused() {
    run(async {
        let stage = Stage::new().await;
        let peer = stage.deployment.routers[0].listen;
        for bytes in [
            &b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"[..],
            b"GET\r\n\r\n",
            b"GET / HTTP/1.1\r\nbroken header\r\n\r\n",
            b"POST / HTTP/1.1\r\ncontent-length: many\r\n\r\n",
        ] {
            let answer = raw(peer, bytes).await;
            assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        }
        assert_serves(&stage).await;
    });
}

#[test]
fn chat_json_bad_is_refused() {
    run(async {
        let stage = Stage::new().await;
        for body in ["", "{", "[]", "{\"stream\": true}", "{\"model\": 7}"] {
            let answer = ask(&stage, Method::POST, CHAT, body).await;
            answer.assert_not_run(400, "bad_json");
        }
        assert_serves(&stage).await;
    });
}

#[test]
fn service_unknown_is_refused() {
    run(async {
        let stage = Stage::new().await;
        let model = format!("/{}/x", stage.deployment.model);
        for path in ["/", "/nothing", "/nothing/x", &model] {
            let answer = ask(&stage, Method::GET, path, "").await;
            answer.assert_not_run(404, "unknown_service");
        }
        let plain = format!("{{\"model\": \"{}\"}}", stage.deployment.plain);
        let answer = ask(&stage, Method::POST, CHAT, &plain).await;
        answer.assert_not_run(404, "unknown_service");
    });
}

#[test]
fn key_wrong_or_missing_is_refused() {
    run(async {
        let stage = Stage::new().await;
        let peer = stage.deployment.routers[0].listen;
        let path = format!("/{}/record/7", stage.deployment.plain);
        let wrong = request(Method::GET, &path, "wrong", "");
        let mut missing = wrong.clone();
        missing.headers_mut().remove("authorization");
        for request in [wrong, missing] {
            let answer = send(peer, request).await;
            answer.assert_not_run(401, "unauthorized");
            assert_eq!(answer.headers["www-authenticate"], "Bearer");
        }
    });
}

#[test]
fn header_bad_is_refused() {
    run(async {
        let stage = Stage::new().await;
        for (name, value) in [
            ("x-deadline-ms", "soon"),
            ("x-deadline-ms", "-1"),
            ("x-deadline-ms", "18446744073709551615"),
            ("x-cost-hint", "-3"),
            ("x-cost-hint", "NaN"),
            ("x-idempotent", "maybe"),
            ("idempotency-key", ""),
        ] {
            let answer = ask_with(&stage, name, value).await;
            answer.assert_not_run(400, "bad_header");
        }
        let answer = ask_with(&stage, "x-deadline-ms", "0").await;
        answer.assert_not_run(504, "deadline_exceeded");
    });
}

#[test]
fn request_id_is_kept_or_made() {
    run(async {
        let stage = Stage::new().await;
        let given = ask_with(&stage, "x-request-id", "mine").await;
        assert_eq!(given.headers["x-request-id"], "mine");
        let path = format!("/{}/record/7", stage.deployment.plain);
        let made = ask(&stage, Method::GET, &path, "").await;
        let again = ask(&stage, Method::GET, &path, "").await;
        assert_eq!(made.headers["x-request-id"].len(), 32);
        assert_ne!(made.headers["x-request-id"], again.headers["x-request-id"]);
    });
}

#[test]
fn codes_match_the_documented_table() {
    let docs = include_str!("../../docs/INTERFACE.md");
    let rows: Vec<&str> = docs.lines().filter(|l| l.starts_with("| `")).collect();
    for code in Code::ALL {
        let retry = if code.retry_after().is_some() {
            "yes"
        } else {
            "no"
        };
        let row = format!(
            "| `{}` | {} | {retry} |",
            code.name(),
            code.status().as_u16()
        );
        let found = rows.iter().filter(|r| r.starts_with(&row)).count();
        assert_eq!(found, 1, "INTERFACE.md needs one row {row}");
    }
    let coded = rows
        .iter()
        .filter(|r| r.contains(" | yes |") || r.contains(" | no |"));
    assert_eq!(coded.count(), Code::ALL.len(), "a row has no code");
}
