//! Transfers the operator configuration and the servers over HTTP to routers that don't follow the
//! store or can't reach it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::freshness::{Confirmation, Source};
use hibiscusrail_fleet::objects::{OperatorConfig, Revision, Servers};
use hibiscusrail_fleet::unrecorded::Table;
use hibiscusrail_net::body::{CollectError, collect};
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{connect_owned, empty, json};
use http::{HeaderValue, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::refusal;
use crate::shell::{Shell, millis};

/// Path of state requests on the routers' port; the query holds the two revisions already known.
const STATE_PATH: &str = "/state";
/// Timeout of a state request, also of its connection alone.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a state in bytes.
const MAX_STATE_BYTES: usize = 16 << 20;

/// The tables of which the requesting router has an older revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The operator configuration; none if the requesting router has it.
    pub orders: Option<(Revision, OperatorConfig)>,
    /// The servers; none if the requesting router has them.
    pub servers: Option<(Revision, Servers)>,
    /// Milliseconds since the store confirmed the servers, as far as the sender knows; none from a
    /// router of an older version.
    #[serde(default)]
    pub age: Option<u64>,
    /// Milliseconds since the store confirmed the operator configuration, as far as the sender knows;
    /// none from a router of an older version.
    #[serde(default)]
    pub config_age: Option<u64>,
    /// Tables of the versions of streams without a record, by service; none from a router of an older
    /// version.
    #[serde(default)]
    pub tables: BTreeMap<String, Table>,
}

/// Why the state of a router could not be fetched.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// The router can't be reached.
    #[snafu(display("{source}"))]
    Connect {
        /// Error of the connection.
        source: hibiscusrail_net::client::ConnectError,
    },
    /// The request failed before the response began.
    #[snafu(display("requesting the state of {peer} failed: {source}"))]
    Call {
        /// Address of the router.
        peer: SocketAddr,
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
    /// The response is incomplete or too large.
    #[snafu(display("reading the state of {peer} failed: {source}"))]
    Body {
        /// Address of the router.
        peer: SocketAddr,
        /// Error of reading the body.
        source: CollectError,
    },
    /// The response is not a valid state.
    #[snafu(display("invalid state of {peer}: {source}"))]
    Decode {
        /// Address of the router.
        peer: SocketAddr,
        /// Error of decoding the JSON.
        source: serde_json::Error,
    },
    /// The request timed out.
    #[snafu(display("{peer} did not respond within {REQUEST_TIMEOUT:?}"))]
    Late {
        /// Address of the router.
        peer: SocketAddr,
    },
}

/// Returns the request handler of the routers' port.
#[must_use]
pub fn handler(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |request| {
        let uri = request.uri();
        let known = uri
            .query()
            .and_then(parse_revisions)
            .filter(|_| uri.path() == STATE_PATH);
        let response = match known {
            Some((config, servers)) => Response::new(json(&newer_state(&shell, config, servers))),
            None => refusal::text_response(StatusCode::NOT_FOUND, "no such path"),
        };
        std::future::ready(response).boxed_local()
    })
}

/// Parses the revisions that the requesting router has.
fn parse_revisions(query: &str) -> Option<(Revision, Revision)> {
    let (config, servers) = query.split_once(',')?;
    Some((
        Revision(config.parse().ok()?),
        Revision(servers.parse().ok()?),
    ))
}

fn newer_state(shell: &Shell, config: Revision, servers: Revision) -> State {
    shell.with_fleet(|f| {
        let newest = (f.config_revision(), f.registry().revision());
        State {
            orders: (newest.0 > config).then(|| (newest.0, f.config().clone())),
            age: f.freshness().age(shell.now()).map(millis),
            config_age: f.config_freshness().age(shell.now()).map(millis),
            tables: f.versions().unrecorded.tables(),
            servers: (newest.1 > servers).then(|| (newest.1, f.registry().entries(shell.now()))),
        }
    })
}

/// Fetches the tables of which `peer` has a newer revision and applies them; also the configuration
/// of the same revision if this router lacks `deployment`, the version that the peer reported.
pub async fn catch_up(shell: &Rc<Shell>, peer: SocketAddr, source: Source, deployment: u64) {
    let asked = shell.now();
    let (config, servers) = shell.with_fleet(|f| {
        let own = f.config_revision();
        let lacks = f.lacks_deployment(own, deployment);
        let known = if lacks { Revision::default() } else { own };
        (known, f.registry().revision())
    });
    let fetching = fetch(peer, config, servers);
    match hibiscusrail_net::timeout(REQUEST_TIMEOUT, fetching).await {
        Ok(Ok(state)) => {
            shell.with_fleet_mut(|f| f.inherit_tables(&state.tables));
            let confirmation = |revision, age: Option<u64>| {
                Some(Confirmation {
                    revision,
                    complete: revision,
                    at: asked.checked_sub(Duration::from_millis(age?))?,
                    source,
                })
            };
            if let Some((revision, config)) = state.orders {
                let age = state.config_age;
                log::info!(peer:% = peer, orders = revision.0, age_ms = age; "state_taken_over");
                if let Some(confirmation) = confirmation(revision, age) {
                    shell.handle(Event::ConfigConfirmed(confirmation));
                }
                shell.handle(Event::Config(revision, config));
            }
            if let Some((revision, servers)) = state.servers {
                let age = state.age;
                log::info!(peer:% = peer, servers = revision.0, age_ms = age; "state_taken_over");
                if let Some(confirmation) = confirmation(revision, age) {
                    shell.handle(Event::ServersConfirmed(confirmation));
                }
                shell.handle(Event::Servers(revision, servers));
            }
        }
        Ok(Err(error)) => log::warn!(step = "state", error:% = error; "peer_failed"),
        Err(_) => {
            let error = StateError::Late { peer };
            log::warn!(step = "state", error:% = error; "peer_failed");
        }
    }
}

/// Fetches the tables of which `peer` has a newer revision than these.
async fn fetch(peer: SocketAddr, config: Revision, servers: Revision) -> Result<State, StateError> {
    let mut connection = connect_owned(peer, REQUEST_TIMEOUT)
        .await
        .context(ConnectSnafu)?;
    let mut request = Request::new(empty());
    let uri = format!("{STATE_PATH}?{},{}", config.0, servers.0);
    *request.uri_mut() = uri.parse().expect("a path and numbers are a valid URI");
    let host = HeaderValue::from_str(&peer.to_string()).expect("an address is a valid header");
    request.headers_mut().insert(header::HOST, host);
    let response = connection.send(request).await;
    let body = response.context(CallSnafu { peer })?.into_body();
    let reading = collect(body, MAX_STATE_BYTES);
    let bytes = connection.wait(reading).await.context(BodySnafu { peer })?;
    serde_json::from_slice(&bytes).context(DecodeSnafu { peer })
}
