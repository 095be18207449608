//! Streamed answers: resumed at the token, or ended visibly as cut.

use futures_util::future::join_all;
use hibiscusrail_load::client::{Ending, send};
use hibiscusrail_net::connect;
use hibiscusrail_standin::faults::Faults;
use http::{Method, Request, header};
use http_body_util::BodyExt;

use crate::support::{Stage, run, until};

#[test]
fn stream_truncated_is_resumed_without_gap_or_repeat() {
    run(async {
        const DRAFTS: usize = 12;
        let stage = Stage::new().await;
        stage.engines_fail(&Faults::default().with_truncate(0.4));
        let all = join_all((0..DRAFTS).map(|i| {
            let ask = stage.draft(&format!("draft {i}"), 30, true);
            let sending = stage.sending(i % 3, &format!("a{i}"), ask);
            async move { send(&sending).await }
        }))
        .await;
        for received in &all {
            assert_ne!(received.ending, Ending::Wrong, "{received:?}");
            assert_ne!(received.ending, Ending::NotRun, "{received:?}");
        }
        assert!(all.iter().any(|r| r.ending == Ending::Right));
        assert!(stage.engine_runs().len() > DRAFTS, "nothing was resumed");
    });
}

#[test]
fn stream_truncated_with_key_is_visibly_cut() {
    run(async {
        let stage = Stage::new().await;
        stage.engines_fail(&Faults::default().with_truncate(1.0));
        let mut sending = stage.sending(0, "a", stage.draft("hello", 60, true));
        sending.idempotency = Some("key".to_owned());
        let received = send(&sending).await;
        assert!(
            matches!(received.ending, Ending::Cut | Ending::Unknown),
            "{received:?}"
        );
        assert_eq!(stage.engine_runs().len(), 1);
    });
}

#[test]
fn whole_answer_truncated_is_never_delivered() {
    run(async {
        let stage = Stage::new().await;
        stage.engines_fail(&Faults::default().with_truncate(0.5));
        stage.plains_fail(&Faults::default().with_truncate(0.5));
        for i in 0..8 {
            let ask = if i % 2 == 0 {
                stage.draft("hello", 10, false)
            } else {
                stage.plain(Method::GET, "record/7")
            };
            let received = stage.ask(i % 3, &format!("a{i}"), ask).await;
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
        let stage = Stage::new().await;
        let router = stage.deployment.routers[0].listen;
        let limit = std::time::Duration::from_secs(1);
        let mut connection = connect(router, limit).await.expect("the router accepts");
        let chat = serde_json::json!({
            "model": stage.deployment.model,
            "stream": true,
            "messages": [{"role": "user", "content": "hello #tokens=1000000#"}],
        });
        let request = Request::post("/v1/chat/completions")
            .header(header::HOST, "router")
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", stage.deployment.workspaces[0].key()),
            )
            .body(hibiscusrail_net::full(chat.to_string()))
            .expect("valid parts");
        let answer = connection.send_request(request).await.expect("a head");
        let mut body = answer.into_body();
        assert!(body.frame().await.is_some());
        drop(body);
        drop(connection);
        let running = || stage.engines.iter().map(|e| e.running()).sum::<u32>();
        until(|| running() == 0).await;
        let shell = &stage.routers[0];
        until(|| shell.with_router(hibiscusrail_core::Router::running) == 0).await;
    });
}
