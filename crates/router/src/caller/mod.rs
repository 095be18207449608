//! The callers' side: HTTP/1.1 in, the reducer's calls out.
//!
//! [`head`] reads who asks and how, [`body`] what was sent, [`route`] finds the
//! service, and [`deliver`] passes the answer back.

mod body;
mod deliver;
mod digest;
mod head;
mod route;

use std::rc::Rc;

use futures_channel::mpsc;
use futures_util::FutureExt;
use hibiscusrail_core::event::Call;
use hibiscusrail_core::{CallId, Event};
use hibiscusrail_net::Body;
use hibiscusrail_net::server::Handler;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::refusal;
use crate::shell::{CallState, Shell, ToCaller};

/// Path of model requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// A refusal before the request is queued; such a request has not run.
struct Early {
    status: StatusCode,
    code: &'static str,
    message: String,
}

impl Early {
    fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
        }
    }
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

async fn answer(shell: Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let id = head::request_id(&shell, request.headers());
    match accept(&shell, &id, request).await {
        Ok((call, receiver)) => deliver::deliver(shell, id, call, receiver).await,
        Err(early) => refusal::error(early.status, early.code, &early.message, &id, "not_run"),
    }
}

async fn accept(
    shell: &Rc<Shell>,
    id: &str,
    request: Request<Incoming>,
) -> Result<(CallId, mpsc::UnboundedReceiver<ToCaller>), Early> {
    let (parts, body) = request.into_parts();
    let asked = head::read_head(shell, &parts.method, parts.uri.path(), &parts.headers)?;
    let body = body::read_body(shell, body).await?;
    let (service, outgoing) = route::route(shell, id, &parts, body)?;
    let (caller, receiver) = mpsc::unbounded();
    let resumable = outgoing.stream;
    let repeat = digest::add(asked.repeat, &outgoing);
    let call = shell.open_call(CallState::new(outgoing, caller));
    shell.event(Event::Submit(Call {
        id: call,
        request: id.to_owned(),
        workspace: asked.workspace,
        service,
        repeat,
        resumable,
        hint: asked.hint,
        prefix: None,
        deadline: shell.clock().now() + asked.deadline,
    }));
    Ok((call, receiver))
}
