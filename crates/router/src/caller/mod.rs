//! Serves callers: turns HTTP/1.1 requests into calls submitted to the reducer.
//!
//! `head` authenticates a request and reads its headers, `body` reads its body,
//! `route` finds its service, `digest` fingerprints a keyed request, `deliver` builds
//! the response and `tracker` records the outcome in metrics and logs.

mod body;
mod deliver;
mod digest;
mod head;
mod route;
mod tracker;

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
use crate::metrics::{Metrics, RequestEnd};
use crate::refusal::{self, Code};
use crate::shell::{CallState, Shell, ToCaller};
pub use body::Reservation;
use tracker::RequestTracker;

/// Path of model requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// The refusal of a request before it is submitted to the reducer; it has not run.
#[derive(Debug)]
struct EarlyRefusal {
    code: Code,
    message: String,
}

impl EarlyRefusal {
    /// Creates a refusal with the default message of `code`.
    fn new(code: Code) -> Self {
        Self::with_message(code, code.message())
    }

    fn with_message(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// A request that was submitted to the reducer.
struct Submitted {
    call: CallId,
    receiver: mpsc::UnboundedReceiver<ToCaller>,
    delivery: Rc<Delivery>,
    tracker: RequestTracker,
}

/// Returns the HTTP handler for requests of callers.
#[must_use]
pub fn handler(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |request| {
        let shell = Rc::clone(&shell);
        async move { respond(shell, request).await }.boxed_local()
    })
}

/// Builds the refusal of a request on a connection above the limit.
#[must_use]
pub fn refuse_connection(metrics: &Metrics, headers: &HeaderMap) -> Response<Body> {
    let early = EarlyRefusal::new(Code::TooManyConnections);
    refuse(metrics, &early, &head::received_id(headers), Duration::ZERO)
}

async fn respond(shell: Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let started = shell.clock().now();
    let id = head::request_id(&shell, request.headers());
    match submit(&shell, &id, request).await {
        Ok(submitted) => deliver::deliver(shell, id, submitted).await,
        Err(early) => {
            let total = shell.clock().now().duration_since(started);
            refuse(shell.metrics(), &early, &id, total)
        }
    }
}

/// Builds the response for a refused request and records the refusal in metrics and logs.
fn refuse(metrics: &Metrics, early: &EarlyRefusal, id: &str, total: Duration) -> Response<Body> {
    let code = early.code.name();
    metrics.request_ended(RequestEnd {
        service: "",
        outcome: refusal::execution_name(Execution::NotRun),
        code,
        total,
    });
    log::debug!(request = id, code = code, execution = "not_run"; "request_refused");
    refusal::not_run(early.code, &early.message, id)
}

/// Reads and routes a request and submits it to the reducer.
async fn submit(
    shell: &Rc<Shell>,
    id: &str,
    request: Request<Incoming>,
) -> Result<Submitted, EarlyRefusal> {
    let (parts, body) = request.into_parts();
    let head = head::read_head(shell, &parts)?;
    let body = body::read_body(shell, body).await?;
    let routed = route::route(shell, id, &head, &parts, body)?;
    let tracker = RequestTracker::new(shell, id, &head, &routed.service_name);
    let (caller, receiver) = mpsc::unbounded();
    let resumable = routed.outgoing.stream;
    let repeat = digest::add_to_key(head.repeat, &routed.outgoing);
    let state = CallState::new(routed.outgoing, caller);
    let delivery = Rc::clone(&state.delivery);
    let call = shell.open_call(state);
    shell.handle(Event::Submit(Call {
        id: call,
        request: id.to_owned(),
        workspace: head.workspace,
        service: routed.service,
        repeat,
        resumable,
        cost_hint: head.hint,
        prefix: None,
        deadline: shell.clock().now() + head.deadline,
    }));
    Ok(Submitted {
        call,
        receiver,
        delivery,
        tracker,
    })
}
