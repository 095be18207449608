//! One attempt at a backend server: sends the request, passes the answer on.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hibiscusrail_core::effect::Dispatch;
use hibiscusrail_core::event::{Milestone, Stage};
use hibiscusrail_core::{AttemptKey, Event};
use hibiscusrail_net::{connect, full};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::refusal::REQUEST_ID;
use crate::shell::{CallState, Outgoing, Shell, ToCaller};
use crate::sse::Splitter;

/// Time to connect to a server.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Bytes of an answer that is not streamed at most.
const MAX_ANSWER: usize = 16 << 20;
/// Least time between two reports of progress to the reducer.
const PROGRESS_PERIOD: Duration = Duration::from_millis(200);
/// Header that asks an engine to resume at a token.
pub const RESUME: &str = "x-resume-token";
/// Header by which a server says that it refused admission.
pub const NOT_ADMITTED: &str = "x-not-admitted";

/// The part of a model answer that gives its cost.
#[derive(Debug, Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// The part of a model answer, or of one of its chunks, that the router reads.
#[derive(Debug, Deserialize)]
struct Answer {
    id: String,
    usage: Option<Usage>,
}

/// Runs one attempt to its end and returns how it ended.
pub async fn run(shell: &Rc<Shell>, dispatch: &Dispatch, state: &CallState) -> Milestone {
    let Ok(mut connection) = connect(dispatch.address, CONNECT_TIME).await else {
        return Milestone::Broken(Stage::BeforeSend);
    };
    shell.event(Event::Attempt(dispatch.attempt, Milestone::Connected));
    let request = build(dispatch, &state.request);
    shell.event(Event::Attempt(dispatch.attempt, Milestone::Sent));
    let Ok(answer) = connection.send_request(request).await else {
        return Milestone::Broken(Stage::AfterSend);
    };
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE
        && answer.headers().contains_key(NOT_ADMITTED)
    {
        return Milestone::Refused;
    }
    if !echoes(answer.headers(), &state.request.request) {
        return Milestone::Mismatch;
    }
    shell.event(Event::Attempt(dispatch.attempt, Milestone::FirstByte));
    if state.request.stream && answer.status().is_success() {
        stream(shell, dispatch, state, answer).await
    } else {
        whole(state, answer).await
    }
}

fn build(dispatch: &Dispatch, outgoing: &Outgoing) -> Request<hibiscusrail_net::Body> {
    let mut request = Request::new(full(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.clone_from(&outgoing.headers);
    let host = HeaderValue::from_str(&dispatch.address.to_string());
    headers.insert(header::HOST, host.expect("an address is a valid header"));
    if let Ok(id) = HeaderValue::from_str(&outgoing.request) {
        headers.insert(REQUEST_ID, id);
    }
    if let Some(token) = dispatch.resume {
        headers.insert(RESUME, HeaderValue::from(token));
    }
    request
}

/// Returns whether the answer names the request it belongs to.
fn echoes(headers: &HeaderMap, request: &str) -> bool {
    headers
        .get(REQUEST_ID)
        .is_some_and(|id| id.as_bytes() == request.as_bytes())
}

/// Headers of an answer that are passed to the caller.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut out = HeaderMap::new();
    for name in [header::CONTENT_TYPE, header::ETAG, header::LOCATION] {
        if let Some(value) = headers.get(&name) {
            out.insert(name, value.clone());
        }
    }
    if let Some(id) = headers.get(REQUEST_ID) {
        out.insert(REQUEST_ID, id.clone());
    }
    out
}

/// Passes on an answer that is only delivered when it is whole.
async fn whole(state: &CallState, answer: Response<Incoming>) -> Milestone {
    let started = Instant::now();
    let status = answer.status();
    let headers = passed_on(answer.headers());
    let mut body = Vec::new();
    let mut incoming = answer.into_body();
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return Milestone::Broken(Stage::AfterSend);
        };
        if let Some(data) = frame.data_ref() {
            body.extend_from_slice(data);
        }
        if body.len() > MAX_ANSWER {
            return Milestone::Broken(Stage::AfterSend);
        }
    }
    let request = &state.request;
    let mut cost = request.prompt_weight + request.output_weight * started.elapsed().as_secs_f64();
    if request.model && status.is_success() {
        match serde_json::from_slice::<Answer>(&body) {
            Ok(answer) if answer.id == request.request => {
                cost = answer.usage.map_or(0.0, |u| price(request, &u));
            }
            _ => return Milestone::Mismatch,
        }
    }
    let _ = state.caller.unbounded_send(ToCaller::Head(status, headers));
    let _ = state.caller.unbounded_send(ToCaller::Data(body.into()));
    Milestone::Done {
        cost,
        status: status.as_u16(),
    }
}

fn price(request: &Outgoing, usage: &Usage) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let (prompt, output) = (usage.prompt_tokens as f64, usage.completion_tokens as f64);
    prompt * request.prompt_weight + output * request.output_weight
}

/// State of a streamed answer.
struct Streaming<'a> {
    shell: &'a Rc<Shell>,
    state: &'a CallState,
    attempt: AttemptKey,
    tokens: u64,
    cost: f64,
    reported: Instant,
}

/// Passes on a streamed answer event by event.
async fn stream(
    shell: &Rc<Shell>,
    dispatch: &Dispatch,
    state: &CallState,
    answer: Response<Incoming>,
) -> Milestone {
    let status = answer.status();
    if dispatch.resume.is_none() {
        let headers = passed_on(answer.headers());
        let _ = state.caller.unbounded_send(ToCaller::Head(status, headers));
    }
    let mut streaming = Streaming {
        shell,
        state,
        attempt: dispatch.attempt,
        tokens: dispatch.resume.unwrap_or(0),
        cost: 0.0,
        reported: Instant::now(),
    };
    let mut splitter = Splitter::new();
    let mut incoming = answer.into_body();
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return streaming.broken();
        };
        if let Some(data) = frame.data_ref() {
            splitter.push(data);
        }
        while let Some(event) = splitter.next_event() {
            if event.is_done() {
                let _ = state.caller.unbounded_send(ToCaller::Data(event.0));
                return Milestone::Done {
                    cost: streaming.cost,
                    status: status.as_u16(),
                };
            }
            if !streaming.pass_on(event.data(), event.0.clone()) {
                return Milestone::Mismatch;
            }
        }
    }
    streaming.broken()
}

impl Streaming<'_> {
    /// Passes on one event; false when it belongs to another request.
    fn pass_on(&mut self, data: &[u8], raw: Bytes) -> bool {
        let Ok(chunk) = serde_json::from_slice::<Answer>(data) else {
            return false;
        };
        let request = &self.state.request;
        if chunk.id != request.request {
            return false;
        }
        if let Some(usage) = chunk.usage {
            self.cost = price(request, &usage);
        } else {
            self.tokens += 1;
            self.cost += request.output_weight;
        }
        let _ = self.state.caller.unbounded_send(ToCaller::Data(raw));
        if self.reported.elapsed() >= PROGRESS_PERIOD {
            self.report();
        }
        true
    }

    fn report(&mut self) {
        self.reported = Instant::now();
        let progress = Milestone::Progress {
            cost: self.cost,
            tokens: self.tokens,
        };
        self.shell.event(Event::Attempt(self.attempt, progress));
    }

    fn broken(mut self) -> Milestone {
        self.report();
        Milestone::Broken(Stage::AfterOutput)
    }
}
