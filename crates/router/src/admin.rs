//! The admin port: health, readiness, metrics and operators' JSON-RPC calls.
//!
//! Every path requires the operators' token, including health and readiness,
//! since they reveal the state of the fleet.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use hibiscusrail_admin::RPC_PATH;
use hibiscusrail_net::body::collect;
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{Body, full, json};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;

use crate::refusal;
use crate::refusal::Code;
use crate::rpc::RpcMethods;
use crate::secrets::AdminToken;
use crate::shell::Shell;

/// Maximum size in bytes of the body of a JSON-RPC call.
const MAX_CALL_BYTES: usize = 64 * 1024;
/// Content type of the metrics page.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// JSON body of `/ready`: whether the router can serve callers, else the reason.
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
        methods: RpcMethods::new(shell),
    });
    Rc::new(move |request| {
        let port = Rc::clone(&port);
        async move { port.handle(request).await }.boxed_local()
    })
}

/// State behind the handler of the admin port.
struct AdminPort {
    shell: Rc<Shell>,
    token: AdminToken,
    methods: RpcMethods,
}

impl AdminPort {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        if !self.token.authorizes(request.headers()) {
            return refusal(
                Code::Unauthorized,
                "the operators' token is missing or wrong",
            );
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => Response::new(full("ok\n")),
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::POST, RPC_PATH) => self.call(request.into_body()).await,
            _ => refusal(Code::UnknownService, "no such path"),
        }
    }

    fn ready(&self) -> Response<Body> {
        let reason = self.shell.with_router(|r| r.readiness().err());
        let mut response = Response::new(json(&Readiness {
            ready: reason.is_none(),
            reason: reason.map(|r| Code::from(r).name()),
        }));
        if reason.is_some() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        with_content_type(response, "application/json")
    }

    fn metrics(&self) -> Response<Body> {
        let text = self.shell.with_router(|r| self.shell.metrics().encode(r));
        with_content_type(Response::new(full(text)), METRICS_CONTENT_TYPE)
    }

    async fn call(&self, body: Incoming) -> Response<Body> {
        let reading = collect(body, MAX_CALL_BYTES);
        let timeout = self.shell.settings().body_timeout;
        let Ok(Ok(body)) = hibiscusrail_net::timeout(timeout, reading).await else {
            return refusal(
                Code::BodyIncomplete,
                "the call is too long or did not arrive in time",
            );
        };
        match self.methods.call(&body).await {
            Some(response) => with_content_type(
                Response::new(full(Bytes::from(response))),
                "application/json",
            ),
            None => refusal(Code::BadJson, "the body is not a JSON-RPC call"),
        }
    }
}

fn refusal(code: Code, message: &str) -> Response<Body> {
    refusal::not_run(code, message, "")
}

fn with_content_type(mut response: Response<Body>, content_type: &'static str) -> Response<Body> {
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
