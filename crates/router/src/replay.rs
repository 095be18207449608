//! Delivers the stored response of a keyed request to a later request with the same key.

use hibiscusrail_core::claim::Stored;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

use crate::shell::{CallState, ToCaller};

/// Header that marks a response as that of an earlier request with the same key.
pub const REPLAYED: &str = "x-replayed";

/// Sends a stored response to the caller of `state`.
pub fn deliver(state: &CallState, stored: Stored) {
    let mut headers = HeaderMap::new();
    let content_type = stored.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(content_type)) = content_type {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert(
        HeaderName::from_static(REPLAYED),
        HeaderValue::from_static("1"),
    );
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let caller = &state.caller;
    // Sending fails only if the caller has hung up, which `HangupGuard` reports.
    let _ = caller.unbounded_send(ToCaller::Head(status, headers));
    let _ = caller.unbounded_send(ToCaller::Data(stored.body.into()));
    let _ = caller.unbounded_send(ToCaller::End);
}
