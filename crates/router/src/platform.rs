//! Reads the configuration from the platform's table.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusrail_core::Event;
use hibiscusrail_net::{connect, json};
use hibiscusrail_platform::table::{ScanAnswer, ScanRequest};
use hibiscusrail_platform::{keys, object};
use http::{Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::shell::Shell;

/// Time for one call of the platform.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Rows read by one scan.
const SCAN_ROWS: usize = 500;

/// Why a call of the platform failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// No connection.
    #[snafu(display("{step}: {source}"))]
    Connect {
        /// What was called.
        step: &'static str,
        /// What went wrong.
        source: hibiscusrail_net::client::ConnectError,
    },
    /// The connection broke.
    #[snafu(display("{step} at {peer}: {source}"))]
    Http {
        /// What was called.
        step: &'static str,
        /// The platform.
        peer: SocketAddr,
        /// What went wrong.
        source: hyper::Error,
    },
    /// The platform answered with an error.
    #[snafu(display("{step} at {peer}: status {status}"))]
    Status {
        /// What was called.
        step: &'static str,
        /// The platform.
        peer: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The answer is no JSON of the expected shape.
    #[snafu(display("{step} at {peer}: {source}"))]
    Json {
        /// What was called.
        step: &'static str,
        /// The platform.
        peer: SocketAddr,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The time was up.
    #[snafu(display("{step} at {peer}: no answer in time"))]
    Timeout {
        /// What was called.
        step: &'static str,
        /// The platform.
        peer: SocketAddr,
    },
}

/// Calls the platform once.
///
/// # Errors
///
/// Says at which step and peer the call failed; a call that failed after it
/// was sent may still have taken effect.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    peer: SocketAddr,
    step: &'static str,
    question: &Q,
) -> Result<A, PlatformError> {
    compio::time::timeout(CALL_TIME, exchange(peer, step, question))
        .await
        .unwrap_or_else(|_| TimeoutSnafu { step, peer }.fail())
}

async fn exchange<Q: Serialize, A: DeserializeOwned>(
    peer: SocketAddr,
    step: &'static str,
    question: &Q,
) -> Result<A, PlatformError> {
    let mut connection = connect(peer, CALL_TIME)
        .await
        .context(ConnectSnafu { step })?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(step)
        .header(header::HOST, peer.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(json(question))
        .expect("the request is made of valid parts");
    let answer = connection
        .send_request(request)
        .await
        .context(HttpSnafu { step, peer })?;
    let status = answer.status();
    if status != StatusCode::OK {
        return StatusSnafu { step, peer, status }.fail();
    }
    let body: Bytes = answer
        .into_body()
        .collect()
        .await
        .context(HttpSnafu { step, peer })?
        .to_bytes();
    serde_json::from_slice(&body).context(JsonSnafu { step, peer })
}

/// Reads the configuration again and again.
pub async fn poll(shell: Rc<Shell>) {
    loop {
        if let Err(error) = read_objects(&shell).await {
            log::warn!(step = "read_config", error:% = error; "platform_unreachable");
        }
        compio::time::sleep(shell.settings().platform_poll).await;
    }
}

async fn read_objects(shell: &Rc<Shell>) -> Result<(), PlatformError> {
    let mut after = String::new();
    let mut objects = Vec::new();
    loop {
        let question = ScanRequest {
            prefix: keys::CONFIG_PREFIX.to_owned(),
            after: after.clone(),
            limit: SCAN_ROWS,
        };
        let answer: ScanAnswer = call(shell.settings().platform, "/table/scan", &question).await?;
        for row in &answer.rows {
            match object::from_row(row) {
                Ok(versioned) => objects.push(versioned),
                Err(error) => log::warn!(step = "read_config", error:% = error; "row_ignored"),
            }
        }
        match answer.rows.last() {
            Some(last) if answer.more => after.clone_from(&last.key),
            _ => break,
        }
    }
    shell.event(Event::Objects(objects));
    Ok(())
}
