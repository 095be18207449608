//! Forwards streamed responses event by event.
//!
//! An event without a token is held back until the next token or the end. Otherwise the caller
//! could receive an event that a resumed response repeats after an interruption.

use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use hibiscusrail_core::claim::{MAX_STORED_BYTES, Stored};
use hibiscusrail_core::event::{Milestone, Stage};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::shell::ToCaller;
use hibiscusrail_net::sse::{MAX_EVENT_BYTES, Splitter, SseEvent};

use super::cost::{Completion, response_cost};
use super::request::RESUME;
use super::{Exchange, PROGRESS_INTERVAL, ServerResponse, caller_headers, content_type};

/// Forwards one streamed response to the caller.
struct StreamForwarder<'a> {
    exchange: &'a Exchange<'a>,
    status: StatusCode,
    content_type: Option<String>,
    headers: HeaderMap,
    /// Events that were received but not yet sent to the caller.
    pending: BytesMut,
    /// Body to store for requests with the same idempotency key.
    stored: Vec<u8>,
    cost: f64,
    /// Time of the last progress report.
    reported: Instant,
}

/// Whether the stream continues after an event.
enum StreamState {
    Open,
    Ended,
}

/// Forwards a streamed response to its end and returns the final milestone.
pub(super) async fn forward(
    exchange: &Exchange<'_>,
    received: ServerResponse,
) -> Result<Milestone, Milestone> {
    let response = received.response;
    if !resumes(exchange, response.headers()) {
        return Err(Milestone::Mismatch);
    }
    let mut forwarder = StreamForwarder {
        exchange,
        status: response.status(),
        content_type: content_type(response.headers()),
        headers: caller_headers(response.headers()),
        pending: BytesMut::new(),
        stored: Vec::new(),
        cost: 0.0,
        reported: Instant::now(),
    };
    let mut incoming = response.into_body();
    let milestone = forwarder.run(&mut incoming).await?;
    let pool = exchange.shell.pool();
    pool.put_after_body(exchange.dispatch.address, received.connection, incoming);
    Ok(milestone)
}

/// Returns whether the response resumes at the requested token.
fn resumes(exchange: &Exchange<'_>, headers: &HeaderMap) -> bool {
    let Some(token) = exchange.resume else {
        return true;
    };
    let named = headers.get(RESUME).and_then(|t| t.to_str().ok());
    named.and_then(|t| t.parse().ok()) == Some(token)
}

impl StreamForwarder<'_> {
    async fn run(&mut self, incoming: &mut Incoming) -> Result<Milestone, Milestone> {
        let mut splitter = Splitter::new();
        while let Some(Ok(frame)) = incoming.frame().await {
            if let Some(data) = frame.data_ref() {
                splitter.push(data);
            }
            while let Some(event) = splitter.next_event() {
                if let StreamState::Ended = self.handle_event(&event)? {
                    return Ok(self.done());
                }
            }
            if splitter.pending_bytes() > MAX_EVENT_BYTES {
                return Err(self.mismatch());
            }
            self.wait_for_room().await;
        }
        self.report();
        Err(Milestone::Broken(Stage::AfterOutput))
    }

    /// Checks one event and forwards it, or holds it back.
    fn handle_event(&mut self, event: &SseEvent) -> Result<StreamState, Milestone> {
        if event.is_done() {
            self.pending.extend_from_slice(&event.0);
            self.forward_pending();
            return Ok(StreamState::Ended);
        }
        let request = &self.exchange.state.request;
        let chunk: Completion =
            serde_json::from_slice(event.data()).map_err(|_| self.mismatch())?;
        if chunk.id != request.request_id {
            return Err(self.mismatch());
        }
        self.pending.extend_from_slice(&event.0);
        if let Some(usage) = &chunk.usage {
            let skipped = self.exchange.resume.unwrap_or(0);
            self.cost = response_cost(request, usage, skipped);
        }
        if chunk.has_token() {
            self.cost += request.output_weight;
            self.forward_token();
        }
        Ok(StreamState::Open)
    }

    /// Forwards the pending events, the last of which carries a token.
    fn forward_token(&mut self) {
        let tokens = &self.exchange.state.delivery.tokens;
        tokens.set(tokens.get() + 1);
        self.forward_pending();
        // Reports the first token at once: the reducer must know that the caller received text.
        if tokens.get() == 1 || self.reported.elapsed() >= PROGRESS_INTERVAL {
            self.report();
        }
    }

    /// Sends the pending events to the caller, preceded by the head if it was not sent yet.
    fn forward_pending(&mut self) {
        let state = self.exchange.state;
        let caller = &state.caller;
        if !state.delivery.head_sent.replace(true) {
            let headers = std::mem::take(&mut self.headers);
            // Sending fails only if the caller has hung up, which `HangupGuard` reports.
            let _ = caller.unbounded_send(ToCaller::Head(self.status, headers));
        }
        let data: Bytes = self.pending.split().freeze();
        if self.exchange.is_keyed() && self.stored.len() <= MAX_STORED_BYTES {
            self.stored.extend_from_slice(&data);
        }
        state.delivery.sent(data.len());
        let _ = caller.unbounded_send(ToCaller::Data(data));
    }

    /// Waits while the caller's buffer is full, reporting progress so that the server does not
    /// count as silent.
    async fn wait_for_room(&mut self) {
        let delivery = Rc::clone(&self.exchange.state.delivery);
        while !delivery.has_room() {
            let room = hibiscusrail_net::timeout(PROGRESS_INTERVAL, delivery.wait_for_room());
            if room.await.is_err() {
                self.report();
            }
        }
    }

    fn report(&mut self) {
        self.reported = Instant::now();
        self.exchange.report(Milestone::Progress {
            cost: self.cost,
            tokens: self.exchange.state.delivery.tokens.get(),
        });
    }

    /// Reports the progress made before an event that is malformed or belongs to another request.
    fn mismatch(&self) -> Milestone {
        self.exchange.report(Milestone::Progress {
            cost: self.cost,
            tokens: self.exchange.state.delivery.tokens.get(),
        });
        Milestone::Mismatch
    }

    /// Reports the body to store, if any, and returns the final milestone.
    fn done(&mut self) -> Milestone {
        if self.exchange.is_keyed() && self.stored.len() <= MAX_STORED_BYTES {
            self.exchange.report(Milestone::StoredAnswer(Stored {
                status: self.status.as_u16(),
                content_type: self.content_type.take(),
                body: std::mem::take(&mut self.stored),
            }));
        }
        Milestone::Done {
            cost: self.cost,
            status: self.status.as_u16(),
        }
    }
}
