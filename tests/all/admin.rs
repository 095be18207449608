//! The admin port: operator token, readiness, metrics and JSON-RPC calls.

use http::Method;
use serde_json::json;

use crate::http::{TextResponse, request, send};
use crate::support::{TestFleet, run, wait_until};

/// Operator token of the routers under test.
const TOKEN: &str = "token";

async fn get(fleet: &TestFleet, path: &str, token: &str) -> TextResponse {
    let peer = fleet.deployment.routers[0].admin;
    send(peer, request(Method::GET, path, token, "")).await
}

async fn rpc(fleet: &TestFleet, method: &str, params: serde_json::Value) -> serde_json::Value {
    let peer = fleet.deployment.routers[0].admin;
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
    let response = send(
        peer,
        request(Method::POST, "/rpc", TOKEN, &call.to_string()),
    );
    response.await.json()
}

/// Returns the value of the metric line that starts with `name`, or 0 without such a line.
fn metric_value(page: &str, name: &str) -> f64 {
    let line = page.lines().find(|l| l.starts_with(name));
    let value = line.and_then(|l| l.rsplit(' ').next());
    value.map_or(0.0, |v| v.parse().expect("a number"))
}

#[test]
fn admin_wrong_token_is_refused_on_every_path() {
    run(async {
        let fleet = TestFleet::new().await;
        for path in ["/health", "/ready", "/metrics", "/rpc", "/other"] {
            for token in ["", "tokem", "token2"] {
                let response = get(&fleet, path, token).await;
                assert_eq!(response.status, 401, "{path} {token}");
                assert_eq!(response.json()["error"]["code"], "unauthorized");
            }
        }
    });
}

#[test]
fn admin_ready_reports_reason() {
    run(async {
        let fleet = TestFleet::new().await;
        assert_eq!(get(&fleet, "/health", TOKEN).await.status, 200);
        assert_eq!(get(&fleet, "/ready", TOKEN).await.status, 200);
        let response = rpc(&fleet, "drain", json!({"patience_ms": 1000})).await;
        assert_eq!(response["result"]["running"], 0);
        let response = get(&fleet, "/ready", TOKEN).await;
        assert_eq!(response.status, 503);
        assert_eq!(
            response.json(),
            json!({"ready": false, "reason": "stopping"})
        );
        assert_eq!(get(&fleet, "/health", TOKEN).await.status, 200);
    });
}

#[test]
fn admin_status_reports_router_and_version() {
    run(async {
        let fleet = TestFleet::new().await;
        let response = rpc(&fleet, "status", json!(null)).await;
        let status = &response["result"];
        assert_eq!(status["ready"], true);
        assert_eq!(status["router"], fleet.deployment.routers[0].name);
        assert_eq!(status["version"], 1);
    });
}

#[test]
fn admin_rpc_bad_call_is_an_error() {
    run(async {
        let fleet = TestFleet::new().await;
        let response = rpc(&fleet, "reboot", json!(null)).await;
        assert_eq!(response["error"]["code"], -32601);
        let response = rpc(&fleet, "drain", json!({"patience_ms": "soon"})).await;
        assert_eq!(response["error"]["code"], -32602);
    });
}

#[test]
fn metrics_count_requests_and_control() {
    run(async {
        let fleet = TestFleet::new().await;
        for i in 0..4 {
            let operation = fleet.plain(Method::GET, "record/7");
            fleet.send(0, &format!("m{i}"), operation).await;
        }
        let mut wrong = fleet.request(0, "w", fleet.plain(Method::GET, "record/7"));
        wrong.key = "wrong".to_owned();
        hibiscusrail_load::client::send(&wrong).await;
        let page = get(&fleet, "/metrics", TOKEN).await.body;
        let plain = &fleet.deployment.plain_service;
        let answered = format!(
            "hibiscusrail_requests_total{{code=\"ok\",outcome=\"answered\",service=\"{plain}\"}}"
        );
        assert!((metric_value(&page, &answered) - 4.0).abs() < 0.5, "{page}");
        let refused = "hibiscusrail_requests_total{code=\"unauthorized\",outcome=\"not_run\"";
        assert!((metric_value(&page, refused) - 1.0).abs() < 0.5, "{page}");
        let seen = format!("hibiscusrail_request_seconds_count{{service=\"{plain}\"}}");
        assert!((metric_value(&page, &seen) - 4.0).abs() < 0.5, "{page}");
        assert!(metric_value(&page, "hibiscusrail_control_bytes_total") > 0.0);
        assert!(metric_value(&page, "hibiscusrail_config_version") > 0.5);
        assert!(metric_value(&page, "process_resident_memory_bytes") > 0.0);
    });
}

#[test]
fn metrics_are_documented() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.send(0, "d", fleet.draft("hello", 3, true)).await;
        let page = get(&fleet, "/metrics", TOKEN).await.body;
        let docs = include_str!("../../docs/METRICS.md");
        for line in page.lines().filter_map(|l| l.strip_prefix("# TYPE ")) {
            let name = line.split(' ').next().expect("a name");
            assert!(docs.contains(&format!("`{name}`")), "{name} is not in docs");
        }
    });
}

#[test]
fn drain_cuts_no_stream() {
    run(async {
        let fleet = TestFleet::new().await;
        let request = fleet.request(0, "s", fleet.draft("hello", 60, true));
        let router = std::rc::Rc::clone(&fleet.routers[0]);
        let running =
            compio::runtime::spawn(async move { hibiscusrail_load::client::send(&request).await });
        wait_until(|| router.with_router(|r| r.running()) == 1).await;
        let response = rpc(&fleet, "drain", json!({})).await;
        assert_eq!(response["result"]["running"], 1);
        let late = fleet.request(0, "l", fleet.draft("late", 3, true));
        let late = hibiscusrail_load::client::send(&late).await;
        assert_eq!(late.code, "stopping");
        assert_eq!(late.ending, hibiscusrail_load::client::Ending::NotRun);
        let received = running.await.expect("the task ends");
        assert_eq!(received.ending, hibiscusrail_load::client::Ending::Right);
    });
}
