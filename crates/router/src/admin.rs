//! The admin port: health, readiness, metrics and operators' calls.
//!
//! Every path asks for the operators' token; health and readiness too, since
//! they tell how the fleet is doing.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use hibiscusrail_admin::RPC_PATH;
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{Body, full, json};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;

use crate::refusal;
use crate::refusal::Code;
use crate::rpc::Calls;
use crate::secrets::AdminToken;
use crate::shell::Shell;

/// Bytes of an operator's call at most.
const MAX_CALL: usize = 64 * 1024;
/// Content type of the metrics page.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Whether callers may be sent to the router.
#[derive(Debug, Serialize)]
struct Readiness {
    ready: bool,
    reason: Option<&'static str>,
}

/// Returns the handler of the admin port.
#[must_use]
pub fn handler(shell: &Rc<Shell>, token: AdminToken) -> Handler {
    let port = Rc::new(AdminPort {
        shell: Rc::clone(shell),
        token,
        calls: Calls::new(shell),
    });
    Rc::new(move |request| {
        let port = Rc::clone(&port);
        async move { port.answer(request).await }.boxed_local()
    })
}

/// The admin port of one router.
struct AdminPort {
    shell: Rc<Shell>,
    token: AdminToken,
    calls: Calls,
}

impl AdminPort {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if !self.token.admits(request.headers()) {
            return refused(
                Code::Unauthorized,
                "the operators' token is missing or wrong",
            );
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => Response::new(full("ok\n")),
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::POST, RPC_PATH) => self.call(request.into_body()).await,
            _ => refused(Code::UnknownService, "no such path"),
        }
    }

    fn ready(&self) -> Response<Body> {
        let reason = self.shell.with_router(|r| r.readiness().err());
        let mut answer = Response::new(json(&Readiness {
            ready: reason.is_none(),
            reason: reason.map(|r| Code::from(r).name()),
        }));
        if reason.is_some() {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        with_type(answer, "application/json")
    }

    fn metrics(&self) -> Response<Body> {
        let page = self.shell.with_router(|r| self.shell.metrics().page(r));
        with_type(Response::new(full(page)), METRICS_TYPE)
    }

    async fn call(&self, body: Incoming) -> Response<Body> {
        let limited = Limited::new(body, MAX_CALL).collect();
        let time = self.shell.settings().body_time;
        let Ok(Ok(body)) = compio::time::timeout(time, limited).await else {
            return refused(
                Code::BodyIncomplete,
                "the call is too long or did not arrive in time",
            );
        };
        match self.calls.answer(&body.to_bytes()).await {
            Some(answer) => with_type(Response::new(full(Bytes::from(answer))), "application/json"),
            None => refused(Code::BadJson, "the body is not a JSON-RPC call"),
        }
    }
}

fn refused(code: Code, message: &str) -> Response<Body> {
    refusal::early(code, message, "")
}

fn with_type(mut answer: Response<Body>, kind: &'static str) -> Response<Body> {
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}
