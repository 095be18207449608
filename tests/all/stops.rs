//! Planned stops cut nothing.

use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc;
use futures_util::StreamExt;
use hibiscusrail_core::configuration::{Admission, Object, Version};
use hibiscusrail_core::{Event, Router};
use hibiscusrail_load::client::{Ending, send};
use hibiscusrail_router::shell::Shell;
use hibiscusrail_store::object::ObjectRow;
use http::Method;

use crate::support::{Stage, run, until};

/// Asks for a drain; the receiver is told how many requests were cut.
fn drain(shell: &Rc<Shell>, patience: Duration) -> mpsc::UnboundedReceiver<u32> {
    let (sender, drained) = mpsc::unbounded();
    shell.on_drained(sender);
    shell.event(Event::Drain { patience });
    drained
}

async fn until_running(shell: &Shell) {
    until(|| shell.with_router(Router::running) > 0).await;
}

#[test]
fn stop_lets_running_answers_end() {
    run(async {
        let stage = Stage::new().await;
        let shell = &stage.routers[0];
        let sending = stage.sending(0, "a", stage.draft("hello", 300, true));
        let task = compio::runtime::spawn(async move { send(&sending).await });
        until_running(shell).await;
        let mut drained = drain(shell, Duration::from_secs(30));
        assert!(shell.with_router(|r| r.readiness().is_err()));
        let refused = stage.ask(0, "b", stage.plain(Method::POST, "filing")).await;
        assert_eq!(refused.code, "stopping");
        assert_eq!(refused.ending, Ending::NotRun);
        assert_eq!(drained.next().await, Some(0));
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Right, "{received:?}");
        assert!(stage.plain_runs().is_empty());
    });
}

#[test]
fn stop_past_its_deadline_counts_what_it_cut() {
    run(async {
        let stage = Stage::new().await;
        let shell = &stage.routers[0];
        let sending = stage.sending(0, "a", stage.draft("hello", 1_000_000, true));
        let task = compio::runtime::spawn(async move { send(&sending).await });
        until(|| stage.engine_runs().iter().any(|r| r.work > 2)).await;
        let mut drained = drain(shell, Duration::from_millis(200));
        assert_eq!(drained.next().await, Some(1));
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Cut, "{received:?}");
    });
}

#[test]
fn server_leaving_ends_its_answers_and_gets_no_more() {
    run(async {
        let stage = Stage::new().await;
        let sending = stage.sending(0, "a", stage.draft("hello", 300, true));
        let task = compio::runtime::spawn(async move { send(&sending).await });
        until(|| stage.engines.iter().any(|e| e.running() > 0)).await;
        let leaving = stage
            .engines
            .iter()
            .position(|e| e.running() > 0)
            .expect("one runs it");
        let name = &stage.deployment.servers[leaving].name;
        for shell in &stage.routers {
            shell.event(closed(&stage, name));
        }
        for i in 0..6 {
            let ask = stage.draft("more", 5, true);
            let received = stage.ask(i % 3, &format!("b{i}"), ask).await;
            assert_eq!(received.ending, Ending::Right);
        }
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Right, "{received:?}");
        assert_eq!(stage.engines[leaving].runs.all().len(), 1);
    });
}

/// Returns the change that takes a server out.
fn closed(stage: &Stage, name: &str) -> Event {
    let row = stage
        .deployment
        .objects()
        .into_iter()
        .find(|o| matches!(o, ObjectRow::Server { name: n, .. } if n == name))
        .expect("the server is configured");
    let Some(Object::Server(mut server)) = row.into_object() else {
        panic!("the row is a server");
    };
    server.admission = Admission::Closed;
    Event::Objects(vec![(Version(2), Object::Server(server))])
}
