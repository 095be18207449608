//! Answers that are passed on event by event.
//!
//! An event without a token is held back until the next token or the end, so
//! that a cut never leaves the caller with an event that the resumed answer
//! would repeat.

use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use hibiscusrail_core::claim::{STORED_BYTES, Stored};
use hibiscusrail_core::event::{Milestone, Stage};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::shell::ToCaller;
use hibiscusrail_net::sse::{Splitter, SseEvent};

use super::price::{Answer, price};
use super::request::RESUME;
use super::{Answered, Exchange, PROGRESS_PERIOD, content_type, passed_on};

/// State of a streamed answer.
struct Streaming<'a> {
    exchange: &'a Exchange<'a>,
    status: StatusCode,
    kind: Option<String>,
    headers: HeaderMap,
    held: BytesMut,
    kept: Vec<u8>,
    cost: f64,
    reported: Instant,
}

/// How far one event brought the answer.
enum Passed {
    /// More is to come.
    Part,
    /// It was the last.
    End,
}

pub(super) async fn pass_on(
    exchange: &Exchange<'_>,
    answered: Answered,
) -> Result<Milestone, Milestone> {
    let answer = answered.answer;
    if !resumes(exchange, answer.headers()) {
        return Err(Milestone::Mismatch);
    }
    let mut streaming = Streaming {
        exchange,
        status: answer.status(),
        kind: content_type(answer.headers()),
        headers: passed_on(answer.headers()),
        held: BytesMut::new(),
        kept: Vec::new(),
        cost: 0.0,
        reported: Instant::now(),
    };
    let mut incoming = answer.into_body();
    let done = streaming.run(&mut incoming).await?;
    let pool = exchange.shell.pool();
    pool.recycle(exchange.dispatch.address, answered.connection, incoming);
    Ok(done)
}

/// Returns whether an answer goes on at the token that was asked for.
fn resumes(exchange: &Exchange<'_>, headers: &HeaderMap) -> bool {
    let Some(token) = exchange.resume else {
        return true;
    };
    let named = headers.get(RESUME).and_then(|t| t.to_str().ok());
    named.and_then(|t| t.parse().ok()) == Some(token)
}

impl Streaming<'_> {
    async fn run(&mut self, incoming: &mut Incoming) -> Result<Milestone, Milestone> {
        let mut splitter = Splitter::new();
        while let Some(Ok(frame)) = incoming.frame().await {
            if let Some(data) = frame.data_ref() {
                splitter.push(data);
            }
            while let Some(event) = splitter.next_event() {
                if let Passed::End = self.event(&event)? {
                    return Ok(self.done());
                }
            }
            self.wait_for_room().await;
        }
        self.report();
        Err(Milestone::Broken(Stage::AfterOutput))
    }

    /// Takes in one event.
    fn event(&mut self, event: &SseEvent) -> Result<Passed, Milestone> {
        if event.is_done() {
            self.held.extend_from_slice(&event.0);
            self.deliver();
            return Ok(Passed::End);
        }
        let request = &self.exchange.state.request;
        let chunk: Answer = serde_json::from_slice(event.data()).map_err(|_| self.mismatch())?;
        if chunk.id != request.request {
            return Err(self.mismatch());
        }
        self.held.extend_from_slice(&event.0);
        if let Some(usage) = &chunk.usage {
            let skipped = self.exchange.resume.unwrap_or(0);
            self.cost = price(request, usage, skipped);
        }
        if chunk.has_token() {
            self.cost += request.output_weight;
            self.deliver_token();
        }
        Ok(Passed::Part)
    }

    fn deliver_token(&mut self) {
        let tokens = &self.exchange.state.delivery.tokens;
        tokens.set(tokens.get() + 1);
        self.deliver();
        // The reducer must know from the first token on that the caller saw something.
        if tokens.get() == 1 || self.reported.elapsed() >= PROGRESS_PERIOD {
            self.report();
        }
    }

    /// Passes on what is held back, after the head of the answer.
    fn deliver(&mut self) {
        let state = self.exchange.state;
        let caller = &state.caller;
        if !state.delivery.head.replace(true) {
            let headers = std::mem::take(&mut self.headers);
            // A caller that is gone has been noticed elsewhere.
            let _ = caller.unbounded_send(ToCaller::Head(self.status, headers));
        }
        let data: Bytes = self.held.split().freeze();
        if self.exchange.is_keyed() && self.kept.len() <= STORED_BYTES {
            self.kept.extend_from_slice(&data);
        }
        state.delivery.sent(data.len());
        let _ = caller.unbounded_send(ToCaller::Data(data));
    }

    /// Waits while too much waits for the caller; the server is not silent meanwhile.
    async fn wait_for_room(&mut self) {
        let delivery = Rc::clone(&self.exchange.state.delivery);
        while !delivery.has_room() {
            let room = compio::time::timeout(PROGRESS_PERIOD, delivery.room());
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

    /// Reports how far the answer came before an event of another one.
    fn mismatch(&self) -> Milestone {
        self.exchange.report(Milestone::Progress {
            cost: self.cost,
            tokens: self.exchange.state.delivery.tokens.get(),
        });
        Milestone::Mismatch
    }

    fn done(&mut self) -> Milestone {
        if self.exchange.is_keyed() && self.kept.len() <= STORED_BYTES {
            self.exchange.report(Milestone::Kept(Stored {
                status: self.status.as_u16(),
                content_type: self.kind.take(),
                body: std::mem::take(&mut self.kept),
            }));
        }
        Milestone::Done {
            cost: self.cost,
            status: self.status.as_u16(),
        }
    }
}
