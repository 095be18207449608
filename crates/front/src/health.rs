//! Health checks of servers that may have restarted.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::event::HealthCheck;
use hibiscusrail_net::body::empty;
use hibiscusrail_net::client::connect_owned;
use hibiscusrail_net::event_loop;
use hibiscusrail_net::time::timeout;
use http::{HeaderMap, Request, StatusCode, header};

use crate::protocol::Protocol;
use crate::shell::Shell;

/// Time for a check; its result would say little of the present after it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest cold time that a server can tell; a longer one is taken for a mistake.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// Carries out the health checks that the reducer decides on until the task is dropped.
pub async fn check_servers(shell: Rc<Shell>) {
    let Some(mut checks) = shell.checks() else {
        return;
    };
    while let Some(check) = checks.next().await {
        let shell = Rc::clone(&shell);
        event_loop::spawn(async move { check_server(&shell, &check).await });
    }
}

async fn check_server(shell: &Shell, check: &HealthCheck) {
    let asked_at = shell.now();
    match timeout(CHECK_TIMEOUT, ask(shell.protocol(), check)).await {
        Ok(Ok(cold)) => {
            shell.handle(Event::ServerChecked(check.server, asked_at, cold));
        }
        Ok(Err(error)) => log_failed(check, error.as_str()),
        Err(_) => log_failed(check, "no response in time"),
    }
}

fn log_failed(check: &HealthCheck, error: &str) {
    log::info!(
        step = "check",
        peer:% = check.address,
        server = check.id.as_str(),
        error = error;
        "check_failed"
    );
}

/// Asks a server for how long it stays cold.
///
/// # Errors
///
/// Returns why the server did not tell.
pub async fn ask(protocol: &Protocol, check: &HealthCheck) -> Result<Duration, String> {
    let connected = connect_owned(check.address, CHECK_TIMEOUT).await;
    let mut connection = connected.map_err(|e| e.to_string())?;
    let request = Request::get(&check.path)
        .header(header::HOST, check.address.to_string())
        .body(empty());
    let request = request.map_err(|e| e.to_string())?;
    let response = connection.send(request).await.map_err(|e| e.to_string())?;
    read_cold_time(protocol, check, response.status(), response.headers())
}

/// Returns the time for which a server stays cold, according to its response to a health check.
///
/// # Errors
///
/// Returns why the response does not tell.
fn read_cold_time(
    protocol: &Protocol,
    check: &HealthCheck,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Duration, String> {
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    let server = headers.get(&protocol.server);
    if server.is_none_or(|id| id.as_bytes() != check.id.as_bytes()) {
        return Err(format!("response of {server:?}"));
    }
    let Some(value) = headers.get(&protocol.cold) else {
        return Ok(Duration::ZERO);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|v| v.trim().parse::<f64>().ok());
    let millis = millis.filter(|ms| (0.0..=MAX_COLD_TIME.as_secs_f64() * 1e3).contains(ms));
    let millis = millis.ok_or_else(|| format!("cold time {value:?}"))?;
    Ok(Duration::from_secs_f64(millis / 1e3))
}
