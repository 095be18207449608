//! The HTTP interface for callers: refusals of bad requests, and headers.

use hibiscusrail_load::client::Ending;
use hibiscusrail_router::refusal::Code;
use http::{HeaderName, HeaderValue, Method};

use crate::http::{TextResponse, raw, request, send};
use crate::support::{TestFleet, run};

/// Path of chat completion requests.
const CHAT: &str = "/v1/chat/completions";

/// Sends a request of the first workspace to router 0.
async fn call(fleet: &TestFleet, method: Method, path: &str, body: &str) -> TextResponse {
    let key = fleet.deployment.workspaces[0].key();
    let peer = fleet.deployment.routers[0].listen;
    send(peer, request(method, path, &key, body)).await
}

/// Sends a lookup with an additional header.
async fn call_with(fleet: &TestFleet, name: &'static str, value: &'static str) -> TextResponse {
    let key = fleet.deployment.workspaces[0].key();
    let path = format!("/{}/record/7", fleet.deployment.plain_service);
    let mut request = request(Method::GET, &path, &key, "");
    request.headers_mut().insert(
        HeaderName::from_static(name),
        HeaderValue::from_static(value),
    );
    send(fleet.deployment.routers[0].listen, request).await
}

/// Asserts that the router still serves requests.
async fn assert_serves(fleet: &TestFleet) {
    let received = fleet.send(0, "after", fleet.draft("after", 3, true)).await;
    assert_eq!(received.ending, Ending::Right);
}

#[test]
fn http_malformed_is_refused() {
    run(async {
        let fleet = TestFleet::new().await;
        let peer = fleet.deployment.routers[0].listen;
        for bytes in [
            &b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"[..],
            b"GET\r\n\r\n",
            b"GET / HTTP/1.1\r\nbroken header\r\n\r\n",
            b"POST / HTTP/1.1\r\ncontent-length: many\r\n\r\n",
        ] {
            let response = raw(peer, bytes).await;
            assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
        }
        assert_serves(&fleet).await;
    });
}

#[test]
fn chat_json_bad_is_refused() {
    run(async {
        let fleet = TestFleet::new().await;
        for body in ["", "{", "[]", "{\"stream\": true}", "{\"model\": 7}"] {
            let response = call(&fleet, Method::POST, CHAT, body).await;
            response.assert_not_run(400, "bad_json");
        }
        assert_serves(&fleet).await;
    });
}

#[test]
fn service_unknown_is_refused() {
    run(async {
        let fleet = TestFleet::new().await;
        let model = format!("/{}/x", fleet.deployment.model_service);
        for path in ["/", "/nothing", "/nothing/x", &model] {
            let response = call(&fleet, Method::GET, path, "").await;
            response.assert_not_run(404, "unknown_service");
        }
        let plain = format!("{{\"model\": \"{}\"}}", fleet.deployment.plain_service);
        let response = call(&fleet, Method::POST, CHAT, &plain).await;
        response.assert_not_run(404, "unknown_service");
    });
}

#[test]
fn key_wrong_or_missing_is_refused() {
    run(async {
        let fleet = TestFleet::new().await;
        let peer = fleet.deployment.routers[0].listen;
        let path = format!("/{}/record/7", fleet.deployment.plain_service);
        let wrong = request(Method::GET, &path, "wrong", "");
        let mut missing = wrong.clone();
        missing.headers_mut().remove("authorization");
        for request in [wrong, missing] {
            let response = send(peer, request).await;
            response.assert_not_run(401, "unauthorized");
            assert_eq!(response.headers["www-authenticate"], "Bearer");
        }
    });
}

#[test]
fn header_bad_is_refused() {
    run(async {
        let fleet = TestFleet::new().await;
        for (name, value) in [
            ("x-deadline-ms", "soon"),
            ("x-deadline-ms", "-1"),
            ("x-deadline-ms", "18446744073709551615"),
            ("x-cost-hint", "-3"),
            ("x-cost-hint", "NaN"),
            ("x-idempotent", "maybe"),
            ("idempotency-key", ""),
        ] {
            let response = call_with(&fleet, name, value).await;
            response.assert_not_run(400, "bad_header");
        }
        let response = call_with(&fleet, "x-deadline-ms", "0").await;
        response.assert_not_run(504, "deadline_exceeded");
    });
}

#[test]
fn request_id_is_kept_or_made() {
    run(async {
        let fleet = TestFleet::new().await;
        let given = call_with(&fleet, "x-request-id", "mine").await;
        assert_eq!(given.headers["x-request-id"], "mine");
        let path = format!("/{}/record/7", fleet.deployment.plain_service);
        let made = call(&fleet, Method::GET, &path, "").await;
        let again = call(&fleet, Method::GET, &path, "").await;
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
