//! Polls the load of the backend servers that this router dispatches.
//!
//! From the reports the reducer learns that a server has restarted, and that requests
//! of a lost router have ended. A missing or invalid report is ignored.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusrail_core::event::LoadReport;
use hibiscusrail_core::{Event, ServerId};
use hibiscusrail_net::body::collect;
use hibiscusrail_net::{connect, empty};
use http::{Request, header};
use serde::Deserialize;

use crate::shell::Shell;

/// Interval between two polls of one server.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 4_096;

/// Load report as a backend server sends it.
#[derive(Debug, Deserialize)]
struct Report {
    incarnation: u64,
    running: u32,
    #[serde(default)]
    waiting: u32,
}

/// Polls the servers until the task is dropped.
pub async fn poll(shell: Rc<Shell>) {
    loop {
        for (server, address) in dispatched_servers(&shell) {
            let shell = Rc::clone(&shell);
            compio::runtime::spawn(async move {
                if let Some(report) = fetch_report(address).await {
                    shell.handle(Event::Load(server, report));
                }
            })
            .detach();
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the servers whose dispatcher this router is.
fn dispatched_servers(shell: &Shell) -> Vec<(ServerId, SocketAddr)> {
    shell.with_router(|router| {
        let servers = router.dispatcher().servers();
        servers
            .filter_map(|(id, ..)| Some((id, router.config().server(id)?.address)))
            .collect()
    })
}

async fn fetch_report(address: SocketAddr) -> Option<LoadReport> {
    let bytes = hibiscusrail_net::timeout(POLL_TIMEOUT, get_load(address))
        .await
        .ok()??;
    let report: Report = serde_json::from_slice(&bytes).ok()?;
    Some(LoadReport {
        incarnation: report.incarnation,
        running: report.running,
        waiting: report.waiting,
    })
}

async fn get_load(address: SocketAddr) -> Option<Bytes> {
    let mut connection = connect(address, POLL_TIMEOUT).await.ok()?;
    let request = Request::get("/load")
        .header(header::HOST, address.to_string())
        .body(empty())
        .ok()?;
    let response = connection.send_request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    collect(response.into_body(), MAX_REPORT_BYTES).await.ok()
}
