//! One attempt at a backend server: sends the request, passes the answer on.
//!
//! An answer must name the request that it belongs to. A whole answer is
//! passed on only once it is whole; a streamed one event by event, and when it
//! is cut the next attempt goes on at the first token that the caller lacks.

mod price;
mod request;
mod stream;
mod whole;

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

/// Time to connect to a server.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Least time between two reports of progress to the reducer.
const PROGRESS_PERIOD: Duration = Duration::from_millis(200);
/// Header by which a server says that it refused admission.
pub const NOT_ADMITTED: &str = "x-not-admitted";

/// What an attempt works with.
struct Exchange<'a> {
    shell: &'a Rc<Shell>,
    dispatch: &'a Dispatch,
    state: &'a CallState,
    resume: Option<u64>,
}

/// An answer's head with the connection that it came on.
struct Answered {
    connection: Connection,
    answer: Response<Incoming>,
}

/// Runs one attempt to its end and returns how it ended.
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

/// Returns whether the answer names the request it belongs to.
fn echoes(headers: &HeaderMap, request: &str) -> bool {
    headers
        .get(REQUEST_ID)
        .is_some_and(|id| id.as_bytes() == request.as_bytes())
}

/// Returns whether the end of a body can be told from a cut.
fn has_end(answer: &Response<Incoming>) -> bool {
    let headers = answer.headers();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || hyper::body::Body::is_end_stream(answer.body())
}

impl Exchange<'_> {
    async fn run(&self) -> Result<Milestone, Milestone> {
        let answered = self.send().await?;
        let headers = answered.answer.headers();
        let status = answered.answer.status();
        if !echoes(headers, &self.state.request.request) || !has_end(&answered.answer) {
            // It is not the answer asked for, but the server does answer.
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
            return stream::pass_on(self, answered).await;
        }
        whole::pass_on(self, answered).await
    }

    /// Sends the request on a kept connection, or on a new one.
    async fn send(&self) -> Result<Answered, Milestone> {
        let mut request = request::build(self);
        if let Some(connection) = self.kept() {
            self.report(Milestone::Connected);
            match self.send_on(connection, request).await {
                Ok(answered) => return Ok(answered),
                // The connection was closed by then; nothing was written.
                Err(Some(unwritten)) => request = unwritten,
                Err(None) => return Err(Milestone::Broken(Stage::AfterSend)),
            }
        }
        let address = self.dispatch.address;
        let Ok(connection) = connect(address, CONNECT_TIME).await else {
            return Err(Milestone::Broken(Stage::BeforeSend));
        };
        self.report(Milestone::Connected);
        match self.send_on(connection, request).await {
            Ok(answered) => Ok(answered),
            Err(Some(_)) => Err(Milestone::Broken(Stage::BeforeSend)),
            Err(None) => Err(Milestone::Broken(Stage::AfterSend)),
        }
    }

    fn kept(&self) -> Option<Connection> {
        if !self.dispatch.reuse {
            return None;
        }
        let pool = self.shell.pool();
        pool.take(self.dispatch.address, Instant::now())
    }

    /// Sends the request; an error holds it when nothing of it was written.
    async fn send_on(
        &self,
        mut connection: Connection,
        request: Request<Body>,
    ) -> Result<Answered, Option<Request<Body>>> {
        self.report(Milestone::Sent);
        match connection.try_send_request(request).await {
            Ok(answer) => Ok(Answered { connection, answer }),
            Err(mut error) => Err(error.take_message()),
        }
    }

    fn report(&self, milestone: Milestone) {
        self.shell.event(Event::Attempt(self.attempt(), milestone));
    }

    fn attempt(&self) -> AttemptKey {
        self.dispatch.attempt
    }

    /// Returns whether repeats of the request are to receive its answer.
    fn is_keyed(&self) -> bool {
        self.dispatch.fence.is_some()
    }
}

/// Headers of an answer that are passed to the caller.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut out = HeaderMap::new();
    for name in [header::CONTENT_TYPE, header::ETAG, header::LOCATION] {
        if let Some(value) = headers.get(&name) {
            out.insert(name, value.clone());
        }
    }
    out
}

/// Returns the content type of an answer.
fn content_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}
