//! Answers that are delivered only when they are whole.

use std::time::Instant;

use bytes::Bytes;
use hibiscusrail_core::claim::{STORED_BYTES, Stored};
use hibiscusrail_core::event::{Milestone, Stage};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::shell::ToCaller;

use super::price::{Answer, price};
use super::{Answered, Exchange, PROGRESS_PERIOD, content_type, passed_on};

/// Bytes of an answer that is not streamed at most.
const MAX_ANSWER: usize = 16 << 20;

pub(super) async fn pass_on(
    exchange: &Exchange<'_>,
    answered: Answered,
) -> Result<Milestone, Milestone> {
    let started = Instant::now();
    let status = answered.answer.status();
    let kind = content_type(answered.answer.headers());
    let headers = passed_on(answered.answer.headers());
    let body = collect(exchange, answered.answer.into_body()).await?;
    let request = &exchange.state.request;
    let mut cost = request.prompt_weight + request.output_weight * started.elapsed().as_secs_f64();
    if request.model && status.is_success() {
        cost = model_cost(exchange, &body)?;
    }
    let pool = exchange.shell.pool();
    pool.put(
        exchange.dispatch.address,
        answered.connection,
        Instant::now(),
    );
    if exchange.is_keyed() && body.len() <= STORED_BYTES {
        exchange.report(Milestone::Kept(Stored {
            status: status.as_u16(),
            content_type: kind,
            body: body.to_vec(),
        }));
    }
    let caller = &exchange.state.caller;
    // A caller that is gone has been noticed elsewhere.
    let _ = caller.unbounded_send(ToCaller::Head(status, headers));
    let _ = caller.unbounded_send(ToCaller::Data(body));
    Ok(Milestone::Done {
        cost,
        status: status.as_u16(),
    })
}

/// Returns the cost of a model answer that belongs to the request.
fn model_cost(exchange: &Exchange<'_>, body: &[u8]) -> Result<f64, Milestone> {
    let request = &exchange.state.request;
    let answer: Answer = serde_json::from_slice(body).map_err(|_| Milestone::Mismatch)?;
    if answer.id != request.request {
        return Err(Milestone::Mismatch);
    }
    Ok(answer.usage.map_or(0.0, |u| price(request, &u, 0)))
}

/// Reads a body to its end.
async fn collect(exchange: &Exchange<'_>, mut incoming: Incoming) -> Result<Bytes, Milestone> {
    let broken = Milestone::Broken(Stage::AfterSend);
    let mut body = Vec::new();
    let mut reported = Instant::now();
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return Err(broken);
        };
        if let Some(data) = frame.data_ref() {
            body.extend_from_slice(data);
        }
        if body.len() > MAX_ANSWER {
            return Err(broken);
        }
        if reported.elapsed() >= PROGRESS_PERIOD {
            reported = Instant::now();
            let progress = Milestone::Progress {
                cost: 0.0,
                tokens: 0,
            };
            exchange.report(progress);
        }
    }
    Ok(body.into())
}
