//! The `check` command: finds errors in an operator configuration before it is sent.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hibiscusrail_check::{Finding, Known, Report, form};
use hibiscusrail_fleet::objects::{OperatorConfig, Revision, Servers};
use hibiscusrail_net::empty;
use hibiscusrail_settings::front::memory_budget;
use http::{Request, header};
use serde::Deserialize;
use snafu::ResultExt;

use crate::context::Context;
use crate::error::{CtlError, FileSnafu, FlagSnafu, JsonSnafu, UnreadableSnafu};
use crate::exchange::exchange;
use crate::exit::Exit;
use crate::flags::ConfigCheck;

/// Path of a router's whole state, as newer than the revisions 0 of both tables.
const STATE_PATH: &str = "/state?0,0";
/// Timeout of reading a router's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(3);

/// What a configuration is compared with.
#[derive(Debug, Default, Deserialize)]
struct InForce {
    /// The operator configuration; none if it is unknown.
    orders: Option<(Revision, OperatorConfig)>,
    /// The servers; none if they are unknown.
    servers: Option<(Revision, Servers)>,
}

/// Prints the findings of a configuration and its differences from the one in force.
///
/// Whatever can't be read has the exit code 2, also a router, as 1 means that there are findings.
pub async fn run(context: &Context, flags: &ConfigCheck) -> Exit {
    match check(flags).await {
        Ok(report) => {
            context.format.print(&report);
            if report.findings.is_empty() {
                Exit::Done
            } else {
                Exit::Findings
            }
        }
        Err(error) => {
            eprintln!("hibiscusrail-ctl: {error}");
            Exit::Usage
        }
    }
}

async fn check(flags: &ConfigCheck) -> Result<Report, CtlError> {
    let path = flags.file.as_deref().unwrap_or(Path::new("-"));
    let (findings, config) = parse(path)?;
    let in_force = match (&flags.in_force, flags.peer) {
        (Some(_), Some(_)) => {
            let requirement = "not together with --in-force";
            let flag = "peer";
            return FlagSnafu { flag, requirement }.fail();
        }
        (Some(path), None) => read_in_force(path)?,
        (None, Some(peer)) => read_state(peer).await?,
        (None, None) => InForce::default(),
    };
    let mut known = Known::new();
    if let Some(megabytes) = flags.memory {
        known = known.with_budget(memory_budget(megabytes));
    }
    if let Some((_, servers)) = &in_force.servers {
        let servers = servers.values();
        known = known.with_servers(servers.map(|s| (s.service.as_str(), s.zone.as_str())));
    }
    let old = in_force.orders.as_ref().map(|(_, config)| config);
    Ok(Report::new(findings, config.as_ref(), old, &known))
}

fn read_in_force(path: &Path) -> Result<InForce, CtlError> {
    let (_, Some(config)) = parse(path)? else {
        let reason = "not a configuration that routers accept";
        return UnreadableSnafu { path, reason }.fail();
    };
    Ok(InForce {
        orders: Some((Revision::default(), config)),
        servers: None,
    })
}

/// Reads the configuration in force and the servers from a router.
async fn read_state(peer: SocketAddr) -> Result<InForce, CtlError> {
    let request = Request::builder()
        .uri(STATE_PATH)
        .header(header::HOST, peer.to_string())
        .body(empty())
        .expect("the request is made of valid parts");
    let step = STATE_PATH;
    let body = exchange(peer, step, STATE_TIMEOUT, request).await?;
    serde_json::from_slice(&body).context(JsonSnafu { step, peer })
}

fn parse(path: &Path) -> Result<(Vec<Finding>, Option<OperatorConfig>), CtlError> {
    let text = if path == Path::new("-") {
        let mut text = Vec::new();
        let read = std::io::stdin().read_to_end(&mut text);
        read.context(FileSnafu { path })?;
        text
    } else {
        std::fs::read(path).context(FileSnafu { path })?
    };
    form::parse(&text).map_err(|error| CtlError::Unreadable {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}
