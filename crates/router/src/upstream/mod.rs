//! One attempt at a backend server: sends the request and forwards the response to the caller.
//!
//! A response must name the request that it belongs to. A response that is not streamed is
//! forwarded only once it is complete. A streamed response is forwarded event by event; if it is
//! interrupted, the next attempt resumes at the first token that the caller has not received.

mod buffered;
mod cost;
mod request;
mod stream;

use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_core::effect::Dispatch;
use hibiscusrail_core::event::{Milestone, Stage};
use hibiscusrail_core::{AttemptKey, Event};
use hibiscusrail_net::{Body, Connection, connect};
use http::{HeaderMap, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::refusal::REQUEST_ID;
use crate::shell::{CallState, Shell};

/// Timeout of connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between two progress reports to the reducer.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Header of a 503 response by which a backend server states that it did not admit the request.
pub const NOT_ADMITTED: &str = "x-not-admitted";

/// The HTTP exchange of one attempt with a backend server.
struct Exchange<'a> {
    shell: &'a Rc<Shell>,
    dispatch: &'a Dispatch,
    state: &'a CallState,
    /// Index of the first token that the caller has not received; `None` before the first.
    resume: Option<u64>,
}

/// A response whose body is still to be read, and its connection.
struct ServerResponse {
    connection: Connection,
    response: Response<Incoming>,
}

/// Runs one attempt to its end and returns the final milestone.
pub async fn run(shell: &Rc<Shell>, dispatch: &Dispatch, state: &CallState) -> Milestone {
    let tokens = state.delivery.tokens.get();
    let exchange = Exchange {
        shell,
        dispatch,
        state,
        resume: (tokens > 0).then_some(tokens),
    };
    exchange.run().await.unwrap_or_else(|milestone| milestone)
}

/// Returns whether the response carries the id of the request.
fn echoes_id(headers: &HeaderMap, request_id: &str) -> bool {
    headers
        .get(REQUEST_ID)
        .is_some_and(|id| id.as_bytes() == request_id.as_bytes())
}

/// Returns whether a truncated body can be distinguished from a complete one.
fn has_framed_body(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || hyper::body::Body::is_end_stream(response.body())
}

impl Exchange<'_> {
    async fn run(&self) -> Result<Milestone, Milestone> {
        let received = self.send().await?;
        let headers = received.response.headers();
        let status = received.response.status();
        if !echoes_id(headers, &self.state.request.request_id)
            || !has_framed_body(&received.response)
        {
            // The response can't be used, but the server is responsive.
            self.report(Milestone::FirstByte);
            return Err(Milestone::Mismatch);
        }
        if status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(NOT_ADMITTED) {
            return Err(Milestone::Refused);
        }
        if status.is_server_error() {
            return Err(Milestone::Done {
                cost: self.state.request.prompt_weight,
                status: status.as_u16(),
            });
        }
        self.report(Milestone::FirstByte);
        if self.state.request.stream && status.is_success() {
            return stream::forward(self, received).await;
        }
        buffered::forward(self, received).await
    }

    /// Sends the request on a pooled connection if possible, else on a new one.
    async fn send(&self) -> Result<ServerResponse, Milestone> {
        let mut request = request::build(self);
        if let Some(connection) = self.pooled_connection() {
            self.report(Milestone::Connected);
            match self.send_on(connection, request).await {
                Ok(received) => return Ok(received),
                // The pooled connection was already closed; nothing was written.
                Err(Some(unwritten)) => request = unwritten,
                Err(None) => return Err(Milestone::Broken(Stage::AfterSend)),
            }
        }
        let address = self.dispatch.address;
        let Ok(connection) = connect(address, CONNECT_TIMEOUT).await else {
            return Err(Milestone::Broken(Stage::BeforeSend));
        };
        self.report(Milestone::Connected);
        match self.send_on(connection, request).await {
            Ok(received) => Ok(received),
            Err(Some(_)) => Err(Milestone::Broken(Stage::BeforeSend)),
            Err(None) => Err(Milestone::Broken(Stage::AfterSend)),
        }
    }

    /// Takes an idle connection from the pool, if the attempt may use one.
    fn pooled_connection(&self) -> Option<Connection> {
        if !self.dispatch.allow_pooled {
            return None;
        }
        let pool = self.shell.pool();
        pool.take(self.dispatch.address, Instant::now())
    }

    /// Sends the request on a connection; an error returns it if none of it was written.
    async fn send_on(
        &self,
        mut connection: Connection,
        request: Request<Body>,
    ) -> Result<ServerResponse, Option<Request<Body>>> {
        self.report(Milestone::Sent);
        match connection.try_send_request(request).await {
            Ok(response) => Ok(ServerResponse {
                connection,
                response,
            }),
            Err(mut error) => Err(error.take_message()),
        }
    }

    fn report(&self, milestone: Milestone) {
        self.shell.handle(Event::Attempt(self.attempt(), milestone));
    }

    fn attempt(&self) -> AttemptKey {
        self.dispatch.attempt
    }

    /// Returns whether the response is stored for requests with the same idempotency key.
    fn is_keyed(&self) -> bool {
        self.dispatch.fence.is_some()
    }
}

/// Returns the headers of a response that the caller receives.
fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = HeaderMap::new();
    for name in [header::CONTENT_TYPE, header::ETAG, header::LOCATION] {
        if let Some(value) = headers.get(&name) {
            out.insert(name, value.clone());
        }
    }
    out
}

fn content_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}
