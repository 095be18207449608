//! The callers' side: HTTP/1.1 in, the reducer's calls out.
//!
//! `head` reads who asks and how, `body` what was sent, `route` finds the
//! service, `deliver` passes the answer back, and `watch` keeps the account of
//! one request for metrics and logs.

mod body;
mod deliver;
mod digest;
mod head;
mod route;
mod watch;

use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc;
use futures_util::FutureExt;
use hibiscusrail_core::effect::Execution;
use hibiscusrail_core::event::Call;
use hibiscusrail_core::{CallId, Event};
use hibiscusrail_net::Body;
use hibiscusrail_net::server::Handler;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;

use crate::delivery::Delivery;
use crate::metrics::{Ended, Metrics};
use crate::refusal::{self, Code};
use crate::shell::{CallState, Shell, ToCaller};
pub use body::Reserved;
use watch::Watch;

/// Path of model requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// A refusal before the request is queued; such a request has not run.
#[derive(Debug)]
struct Early {
    code: Code,
    message: String,
}

impl Early {
    /// Refuses with the code's own message.
    fn new(code: Code) -> Self {
        Self::with_message(code, code.message())
    }

    /// Refuses with a message that says more.
    fn with_message(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// A request that the reducer was given.
struct Submitted {
    call: CallId,
    receiver: mpsc::UnboundedReceiver<ToCaller>,
    delivery: Rc<Delivery>,
    watch: Watch,
}

/// Returns the handler of callers' requests.
#[must_use]
pub fn handler(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |request| {
        let shell = Rc::clone(&shell);
        async move { answer(shell, request).await }.boxed_local()
    })
}

/// Builds the refusal of a request on a connection over the limit.
#[must_use]
pub fn too_many(metrics: &Metrics, headers: &HeaderMap) -> Response<Body> {
    let early = Early::new(Code::TooManyConnections);
    refuse(metrics, &early, &head::given_id(headers), Duration::ZERO)
}

async fn answer(shell: Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let started = shell.clock().now();
    let id = head::request_id(&shell, request.headers());
    match accept(&shell, &id, request).await {
        Ok(submitted) => deliver::deliver(shell, id, submitted).await,
        Err(early) => {
            let total = shell.clock().now().duration_since(started);
            refuse(shell.metrics(), &early, &id, total)
        }
    }
}

fn refuse(metrics: &Metrics, early: &Early, id: &str, total: Duration) -> Response<Body> {
    let code = early.code.name();
    metrics.ended(Ended {
        service: "",
        outcome: refusal::execution_name(Execution::NotRun),
        code,
        total,
    });
    log::debug!(request = id, code = code, execution = "not_run"; "request_refused");
    refusal::early(early.code, &early.message, id)
}

async fn accept(
    shell: &Rc<Shell>,
    id: &str,
    request: Request<Incoming>,
) -> Result<Submitted, Early> {
    let (parts, body) = request.into_parts();
    let asked = head::read_head(shell, &parts)?;
    let body = body::read_body(shell, body).await?;
    let routed = route::route(shell, id, &asked, &parts, body)?;
    let watch = Watch::new(shell, id, &asked, &routed.name);
    let (caller, receiver) = mpsc::unbounded();
    let resumable = routed.outgoing.stream;
    let repeat = digest::add(asked.repeat, &routed.outgoing);
    let state = CallState::new(routed.outgoing, caller);
    let delivery = Rc::clone(&state.delivery);
    let call = shell.open_call(state);
    shell.event(Event::Submit(Call {
        id: call,
        request: id.to_owned(),
        workspace: asked.workspace,
        service: routed.service,
        repeat,
        resumable,
        hint: asked.hint,
        prefix: None,
        deadline: shell.clock().now() + asked.deadline,
    }));
    Ok(Submitted {
        call,
        receiver,
        delivery,
        watch,
    })
}
