//! Kept answers, given to repeats of a keyed request.

use hibiscusrail_core::claim::Stored;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

use crate::shell::{CallState, ToCaller};

/// Header that marks an answer as the one to an earlier request with the same key.
pub const REPLAYED: &str = "x-replayed";

/// Gives a kept answer to a caller.
pub fn deliver(state: &CallState, stored: Stored) {
    let mut headers = HeaderMap::new();
    let kind = stored.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(kind)) = kind {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    headers.insert(
        HeaderName::from_static(REPLAYED),
        HeaderValue::from_static("1"),
    );
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let caller = &state.caller;
    // A caller that is gone has been noticed elsewhere.
    let _ = caller.unbounded_send(ToCaller::Head(status, headers));
    let _ = caller.unbounded_send(ToCaller::Data(stored.body.into()));
    let _ = caller.unbounded_send(ToCaller::End);
}
