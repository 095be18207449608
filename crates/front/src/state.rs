//! The state that routers give each other while the store is away.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::objects::{Orders, Revision, Servers};
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{empty, json, open};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::refusal;
use crate::shell::Shell;

/// Path of the state on the routers' port.
const PATH: &str = "/state";
/// Time for a router to answer.
const ANSWER_TIME: Duration = Duration::from_millis(800);
/// Bytes of a state at most.
const STATE_BYTES: usize = 16 << 20;

/// What a router knows that the one that asks does not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The operator's orders; none when the asking router has them.
    pub orders: Option<(Revision, Orders)>,
    /// The servers; none when the asking router has them.
    pub servers: Option<(Revision, Servers)>,
}

/// Why a router's state could not be had.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// It can't be reached.
    #[snafu(display("{source}"))]
    Connect {
        /// What went wrong.
        source: hibiscusrail_net::client::ConnectError,
    },
    /// The call failed.
    #[snafu(display("asking {peer}: {source}"))]
    Call {
        /// The router.
        peer: SocketAddr,
        /// What went wrong.
        source: hyper::Error,
    },
    /// The answer broke off or is too large.
    #[snafu(display("reading from {peer}: {source}"))]
    Body {
        /// The router.
        peer: SocketAddr,
        /// What went wrong.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer is not a state.
    #[snafu(display("state of {peer}: {source}"))]
    Decode {
        /// The router.
        peer: SocketAddr,
        /// What went wrong.
        source: serde_json::Error,
    },
    /// The answer took too long.
    #[snafu(display("{peer} did not answer in {ANSWER_TIME:?}"))]
    Late {
        /// The router.
        peer: SocketAddr,
    },
}

/// Returns the handler of the routers' port.
#[must_use]
pub fn handler(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |request| {
        let uri = request.uri();
        let known = uri.query().and_then(known).filter(|_| uri.path() == PATH);
        let answer = match known {
            Some((orders, servers)) => Response::new(json(&state(&shell, orders, servers))),
            None => refusal::plain(StatusCode::NOT_FOUND, "no such path"),
        };
        std::future::ready(answer).boxed_local()
    })
}

/// Reads the revisions that the asking router has.
fn known(query: &str) -> Option<(Revision, Revision)> {
    let (orders, servers) = query.split_once(',')?;
    Some((
        Revision(orders.parse().ok()?),
        Revision(servers.parse().ok()?),
    ))
}

fn state(shell: &Shell, orders: Revision, servers: Revision) -> State {
    shell.with_fleet(|f| {
        let newest = (f.orders_revision(), f.roster().revision());
        State {
            orders: (newest.0 > orders).then(|| (newest.0, f.orders().clone())),
            servers: (newest.1 > servers).then(|| (newest.1, f.roster().entries(shell.now()))),
        }
    })
}

/// Takes over what another router knows and this one does not.
pub async fn catch_up(shell: &Rc<Shell>, peer: SocketAddr) {
    match compio::time::timeout(ANSWER_TIME, fetch(shell, peer)).await {
        Ok(Ok(state)) => {
            if let Some((revision, orders)) = state.orders {
                log::info!(peer:% = peer, orders = revision.0; "state_taken_over");
                shell.event(Event::Orders(revision, orders));
            }
            if let Some((revision, servers)) = state.servers {
                log::info!(peer:% = peer, servers = revision.0; "state_taken_over");
                shell.event(Event::Servers(revision, servers));
            }
        }
        Ok(Err(error)) => log::warn!(step = "state", error:% = error; "peer_failed"),
        Err(_) => {
            let error = StateError::Late { peer };
            log::warn!(step = "state", error:% = error; "peer_failed");
        }
    }
}

async fn fetch(shell: &Shell, peer: SocketAddr) -> Result<State, StateError> {
    let mut channel = open(peer, ANSWER_TIME).await.context(ConnectSnafu)?;
    let mut request = Request::new(empty());
    let (orders, servers) = shell.with_fleet(|f| (f.orders_revision().0, f.roster().revision().0));
    let uri = format!("{PATH}?{orders},{servers}");
    *request.uri_mut() = uri.parse().expect("a path and numbers are a valid URI");
    let host = HeaderValue::from_str(&peer.to_string()).expect("an address is a valid header");
    request.headers_mut().insert(header::HOST, host);
    let answer = channel.sender.send_request(request).await;
    let body = answer.context(CallSnafu { peer })?.into_body();
    let body = Limited::new(body, STATE_BYTES).collect().await;
    let bytes = body.context(BodySnafu { peer })?.to_bytes();
    serde_json::from_slice(&bytes).context(DecodeSnafu { peer })
}
