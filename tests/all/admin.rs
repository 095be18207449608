//! The admin port: tokens, readiness, metrics and operators' calls.

use http::Method;
use serde_json::json;

use crate::http::{Answer, request, send};
use crate::support::{Stage, run, until};

/// The operators' token of the tests' routers.
const TOKEN: &str = "token";

async fn get(stage: &Stage, path: &str, token: &str) -> Answer {
    let peer = stage.deployment.routers[0].admin;
    send(peer, request(Method::GET, path, token, "")).await
}

async fn call(stage: &Stage, method: &str, params: serde_json::Value) -> serde_json::Value {
    let peer = stage.deployment.routers[0].admin;
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
    let answer = send(
        peer,
        request(Method::POST, "/rpc", TOKEN, &call.to_string()),
    );
    answer.await.json()
}

/// Returns the value of the metric line that starts with `name`.
fn metric(page: &str, name: &str) -> f64 {
    let line = page.lines().find(|l| l.starts_with(name));
    let value = line.and_then(|l| l.rsplit(' ').next());
    value.map_or(0.0, |v| v.parse().expect("a number"))
}

#[test]
fn admin_token_wrong_is_refused_everywhere() {
    run(async {
        let stage = Stage::new().await;
        for path in ["/health", "/ready", "/metrics", "/rpc", "/other"] {
            for token in ["", "tokem", "token2"] {
                let answer = get(&stage, path, token).await;
                assert_eq!(answer.status, 401, "{path} {token}");
                assert_eq!(answer.json()["error"]["code"], "unauthorized");
            }
        }
    });
}

#[test]
fn admin_ready_says_why_not() {
    run(async {
        let stage = Stage::new().await;
        assert_eq!(get(&stage, "/health", TOKEN).await.status, 200);
        assert_eq!(get(&stage, "/ready", TOKEN).await.status, 200);
        let answer = call(&stage, "drain", json!({"patience_ms": 1000})).await;
        assert_eq!(answer["result"]["running"], 0);
        let answer = get(&stage, "/ready", TOKEN).await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.json(), json!({"ready": false, "reason": "stopping"}));
        assert_eq!(get(&stage, "/health", TOKEN).await.status, 200);
    });
}

#[test]
fn admin_status_names_servers_and_version() {
    run(async {
        let stage = Stage::new().await;
        let answer = call(&stage, "status", json!(null)).await;
        let status = &answer["result"];
        assert_eq!(status["ready"], true);
        assert_eq!(status["router"], stage.deployment.routers[0].name);
        assert_eq!(status["version"], 1);
    });
}

#[test]
fn admin_call_unknown_is_an_error() {
    run(async {
        let stage = Stage::new().await;
        let answer = call(&stage, "reboot", json!(null)).await;
        assert_eq!(answer["error"]["code"], -32601);
        let answer = call(&stage, "drain", json!({"patience_ms": "soon"})).await;
        assert_eq!(answer["error"]["code"], -32602);
    });
}

#[test]
fn metrics_count_requests_and_control() {
    run(async {
        let stage = Stage::new().await;
        for i in 0..4 {
            let ask = stage.plain(Method::GET, "record/7");
            stage.ask(0, &format!("m{i}"), ask).await;
        }
        let mut wrong = stage.sending(0, "w", stage.plain(Method::GET, "record/7"));
        wrong.key = "wrong".to_owned();
        hibiscusrail_load::client::send(&wrong).await;
        let page = get(&stage, "/metrics", TOKEN).await.body;
        let plain = &stage.deployment.plain;
        let answered = format!(
            "hibiscusrail_requests_total{{code=\"ok\",outcome=\"answered\",service=\"{plain}\"}}"
        );
        assert!((metric(&page, &answered) - 4.0).abs() < 0.5, "{page}");
        let refused = "hibiscusrail_requests_total{code=\"unauthorized\",outcome=\"not_run\"";
        assert!((metric(&page, refused) - 1.0).abs() < 0.5, "{page}");
        let seen = format!("hibiscusrail_request_seconds_count{{service=\"{plain}\"}}");
        assert!((metric(&page, &seen) - 4.0).abs() < 0.5, "{page}");
        assert!(metric(&page, "hibiscusrail_control_bytes_total") > 0.0);
        assert!(metric(&page, "hibiscusrail_config_version") > 0.5);
        assert!(metric(&page, "process_resident_memory_bytes") > 0.0);
    });
}

#[test]
fn metrics_are_documented() {
    run(async {
        let stage = Stage::new().await;
        stage.ask(0, "d", stage.draft("hello", 3, true)).await;
        let page = get(&stage, "/metrics", TOKEN).await.body;
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
        let stage = Stage::new().await;
        let sending = stage.sending(0, "s", stage.draft("hello", 60, true));
        let router = std::rc::Rc::clone(&stage.routers[0]);
        let running =
            compio::runtime::spawn(async move { hibiscusrail_load::client::send(&sending).await });
        until(|| router.with_router(|r| r.running()) == 1).await;
        let answer = call(&stage, "drain", json!({})).await;
        assert_eq!(answer["result"]["running"], 1);
        let late = stage.sending(0, "l", stage.draft("late", 3, true));
        let late = hibiscusrail_load::client::send(&late).await;
        assert_eq!(late.code, "stopping");
        assert_eq!(late.ending, hibiscusrail_load::client::Ending::NotRun);
        let received = running.await.expect("the task ends");
        assert_eq!(received.ending, hibiscusrail_load::client::Ending::Right);
    });
}
