//! Asks the servers handled by this router for their load.
//!
//! Reports tell the reducer that a server has restarted, and which requests of
//! a lost router are gone. A server that reports nothing is left at that.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusrail_core::event::LoadReport;
use hibiscusrail_core::{Event, ServerId};
use hibiscusrail_net::{connect, empty};
use http::{Request, header};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;

use crate::shell::Shell;

/// Time between two questions to one server.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for one question.
const ASK_TIME: Duration = Duration::from_millis(500);
/// Bytes of a report at most.
const MOST_BYTES: usize = 4_096;

/// A report as servers give it.
#[derive(Debug, Deserialize)]
struct Report {
    incarnation: u64,
    running: u32,
    #[serde(default)]
    waiting: u32,
}

/// Asks until the task is dropped.
pub async fn poll(shell: Rc<Shell>) {
    loop {
        for (server, address) in handled(&shell) {
            let shell = Rc::clone(&shell);
            compio::runtime::spawn(async move {
                if let Some(report) = ask(address).await {
                    shell.event(Event::Load(server, report));
                }
            })
            .detach();
        }
        compio::time::sleep(INTERVAL).await;
    }
}

/// Returns the servers whose slots this router hands out.
fn handled(shell: &Shell) -> Vec<(ServerId, SocketAddr)> {
    shell.with_router(|router| {
        let servers = router.dispatcher().servers();
        servers
            .filter_map(|(id, ..)| Some((id, router.config().server(id)?.address)))
            .collect()
    })
}

async fn ask(address: SocketAddr) -> Option<LoadReport> {
    let bytes = compio::time::timeout(ASK_TIME, fetch(address))
        .await
        .ok()??;
    let report: Report = serde_json::from_slice(&bytes).ok()?;
    Some(LoadReport {
        incarnation: report.incarnation,
        running: report.running,
        waiting: report.waiting,
    })
}

async fn fetch(address: SocketAddr) -> Option<Bytes> {
    let mut connection = connect(address, ASK_TIME).await.ok()?;
    let request = Request::get("/load")
        .header(header::HOST, address.to_string())
        .body(empty())
        .ok()?;
    let answer = connection.send_request(request).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let body = Limited::new(answer.into_body(), MOST_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}
