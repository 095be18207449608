//! Streamed responses: resumed at the next token or visibly cut off after a truncation.

use futures_util::future::join_all;
use hibiscusrail_load::client::{Ending, send};
use hibiscusrail_net::connect;
use hibiscusrail_standin::faults::Faults;
use http::{Method, Request, header};
use http_body_util::BodyExt;

use crate::support::{TestFleet, run, wait_until};

#[test]
fn stream_truncated_is_resumed_without_gap_or_repeat() {
    run(async {
        const DRAFTS: usize = 12;
        let fleet = TestFleet::new().await;
        fleet.set_engine_faults(&Faults::default().with_truncate(0.4));
        let all = join_all((0..DRAFTS).map(|i| {
            let operation = fleet.draft(&format!("draft {i}"), 30, true);
            let request = fleet.request(i % 3, &format!("a{i}"), operation);
            async move { send(&request).await }
        }))
        .await;
        for received in &all {
            assert_ne!(received.ending, Ending::Wrong, "{received:?}");
            assert_ne!(received.ending, Ending::NotRun, "{received:?}");
        }
        assert!(all.iter().any(|r| r.ending == Ending::Right));
        assert!(fleet.engine_runs().len() > DRAFTS, "nothing was resumed");
    });
}

#[test]
fn stream_truncated_with_key_is_visibly_cut() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.set_engine_faults(&Faults::default().with_truncate(1.0));
        let mut request = fleet.request(0, "a", fleet.draft("hello", 60, true));
        request.idempotency_key = Some("key".to_owned());
        let received = send(&request).await;
        assert!(
            matches!(received.ending, Ending::Cut | Ending::Unknown),
            "{received:?}"
        );
        assert_eq!(fleet.engine_runs().len(), 1);
    });
}

#[test]
fn unstreamed_answer_truncated_is_never_delivered() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.set_engine_faults(&Faults::default().with_truncate(0.5));
        fleet.set_plain_faults(&Faults::default().with_truncate(0.5));
        for i in 0..8 {
            let operation = if i % 2 == 0 {
                fleet.draft("hello", 10, false)
            } else {
                fleet.plain(Method::GET, "record/7")
            };
            let received = fleet.send(i % 3, &format!("a{i}"), operation).await;
            assert!(
                matches!(received.ending, Ending::Right | Ending::Unknown),
                "{received:?}"
            );
        }
    });
}

#[test]
fn stream_hangup_frees_the_slot_and_the_engine() {
    run(async {
        let fleet = TestFleet::new().await;
        let router = fleet.deployment.routers[0].listen;
        let limit = std::time::Duration::from_secs(1);
        let mut connection = connect(router, limit).await.expect("the router accepts");
        let chat = serde_json::json!({
            "model": fleet.deployment.model_service,
            "stream": true,
            "messages": [{"role": "user", "content": "hello #tokens=1000000#"}],
        });
        let request = Request::post("/v1/chat/completions")
            .header(header::HOST, "router")
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", fleet.deployment.workspaces[0].key()),
            )
            .body(hibiscusrail_net::full(chat.to_string()))
            .expect("valid parts");
        let response = connection.send_request(request).await.expect("a response");
        let mut body = response.into_body();
        assert!(body.frame().await.is_some());
        drop(body);
        drop(connection);
        let running = || fleet.engines.iter().map(|e| e.running()).sum::<u32>();
        wait_until(|| running() == 0).await;
        let shell = &fleet.routers[0];
        wait_until(|| shell.with_router(hibiscusrail_core::Router::running) == 0).await;
    });
}
