//! Forwards responses that are not streamed, once they are complete.

use std::time::Instant;

use bytes::Bytes;
use hibiscusrail_core::claim::{MAX_STORED_BYTES, Stored};
use hibiscusrail_core::event::{Milestone, Stage};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::shell::ToCaller;

use super::cost::{Completion, response_cost};
use super::{Exchange, PROGRESS_INTERVAL, ServerResponse, caller_headers, content_type};

/// Maximum size in bytes of the body of a response that is not streamed.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Reads a response to its end, sends it to the caller and returns the final milestone.
pub(super) async fn forward(
    exchange: &Exchange<'_>,
    received: ServerResponse,
) -> Result<Milestone, Milestone> {
    let started = Instant::now();
    let status = received.response.status();
    let content_type = content_type(received.response.headers());
    let headers = caller_headers(received.response.headers());
    let body = collect(exchange, received.response.into_body()).await?;
    let request = &exchange.state.request;
    let mut cost = request.prompt_weight + request.output_weight * started.elapsed().as_secs_f64();
    if request.model && status.is_success() {
        cost = model_cost(exchange, &body)?;
    }
    let pool = exchange.shell.pool();
    pool.put(
        exchange.dispatch.address,
        received.connection,
        Instant::now(),
    );
    if exchange.is_keyed() && body.len() <= MAX_STORED_BYTES {
        exchange.report(Milestone::StoredAnswer(Stored {
            status: status.as_u16(),
            content_type,
            body: body.to_vec(),
        }));
    }
    let caller = &exchange.state.caller;
    // Sending fails only if the caller has hung up, which `HangupGuard` reports.
    let _ = caller.unbounded_send(ToCaller::Head(status, headers));
    let _ = caller.unbounded_send(ToCaller::Data(body));
    Ok(Milestone::Done {
        cost,
        status: status.as_u16(),
    })
}

/// Returns the cost of a model response; fails if it is malformed or of another request.
fn model_cost(exchange: &Exchange<'_>, body: &[u8]) -> Result<f64, Milestone> {
    let request = &exchange.state.request;
    let completion: Completion = serde_json::from_slice(body).map_err(|_| Milestone::Mismatch)?;
    if completion.id != request.request_id {
        return Err(Milestone::Mismatch);
    }
    Ok(completion
        .usage
        .map_or(0.0, |u| response_cost(request, &u, 0)))
}

/// Reads a body to its end and reports progress meanwhile.
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
        if body.len() > MAX_BODY_BYTES {
            return Err(broken);
        }
        if reported.elapsed() >= PROGRESS_INTERVAL {
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
