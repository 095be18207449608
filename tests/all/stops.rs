//! Draining of routers and servers: running requests complete, new ones go elsewhere.

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

use crate::support::{TestFleet, run, wait_until};

/// Starts to drain a router; the receiver gets the number of requests cut off at the end.
fn drain(shell: &Rc<Shell>, time_limit: Duration) -> mpsc::UnboundedReceiver<u32> {
    let (sender, drained) = mpsc::unbounded();
    shell.set_drain_listener(sender);
    shell.handle(Event::Drain { time_limit });
    drained
}

async fn wait_running(shell: &Shell) {
    wait_until(|| shell.with_router(Router::running) > 0).await;
}

#[test]
fn stop_lets_running_answers_end() {
    run(async {
        let fleet = TestFleet::new().await;
        let shell = &fleet.routers[0];
        let request = fleet.request(0, "a", fleet.draft("hello", 300, true));
        let task = compio::runtime::spawn(async move { send(&request).await });
        wait_running(shell).await;
        let mut drained = drain(shell, Duration::from_secs(30));
        assert!(shell.with_router(|r| r.readiness().is_err()));
        let refused = fleet
            .send(0, "b", fleet.plain(Method::POST, "filing"))
            .await;
        assert_eq!(refused.code, "stopping");
        assert_eq!(refused.ending, Ending::NotRun);
        assert_eq!(drained.next().await, Some(0));
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Right, "{received:?}");
        assert!(fleet.plain_runs().is_empty());
    });
}

#[test]
fn stop_past_its_deadline_counts_cut_requests() {
    run(async {
        let fleet = TestFleet::new().await;
        let shell = &fleet.routers[0];
        let request = fleet.request(0, "a", fleet.draft("hello", 1_000_000, true));
        let task = compio::runtime::spawn(async move { send(&request).await });
        wait_until(|| fleet.engine_runs().iter().any(|r| r.output_tokens > 2)).await;
        let mut drained = drain(shell, Duration::from_millis(200));
        assert_eq!(drained.next().await, Some(1));
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Cut, "{received:?}");
    });
}

#[test]
fn server_draining_completes_requests_and_gets_no_more() {
    run(async {
        let fleet = TestFleet::new().await;
        let request = fleet.request(0, "a", fleet.draft("hello", 300, true));
        let task = compio::runtime::spawn(async move { send(&request).await });
        wait_until(|| fleet.engines.iter().any(|e| e.running() > 0)).await;
        let draining = fleet
            .engines
            .iter()
            .position(|e| e.running() > 0)
            .expect("an engine runs the draft");
        let name = &fleet.deployment.servers[draining].name;
        for shell in &fleet.routers {
            shell.handle(close_server_event(&fleet, name));
        }
        for i in 0..6 {
            let operation = fleet.draft("more", 5, true);
            let received = fleet.send(i % 3, &format!("b{i}"), operation).await;
            assert_eq!(received.ending, Ending::Right);
        }
        let received = task.await.expect("the caller's task ends");
        assert_eq!(received.ending, Ending::Right, "{received:?}");
        assert_eq!(fleet.engines[draining].runs.all().len(), 1);
    });
}

/// Returns the event that closes a server to new requests.
fn close_server_event(fleet: &TestFleet, name: &str) -> Event {
    let row = fleet
        .deployment
        .objects()
        .into_iter()
        .find(|o| matches!(o, ObjectRow::Server { name: n, .. } if n == name))
        .expect("the server is configured");
    let Some(Object::Server(mut server)) = row.into_object() else {
        panic!("the row is a server");
    };
    server.admission = Admission::Closed;
    Event::ConfigRead(vec![(Version(2), Object::Server(server))])
}
