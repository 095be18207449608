//! The request that is sent to backend servers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hibiscusrail_net::{Body, full, headers};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};

use crate::protocol::Protocol;
use crate::shell::Target;

/// The parts of a caller's request that every attempt sends.
#[derive(Debug)]
pub struct Outgoing {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    needs_length: bool,
    /// The caller's request id; empty when it sent none.
    pub id: HeaderValue,
    /// When the request times out for the caller or by the route's timeout.
    pub deadline: Instant,
}

impl Outgoing {
    /// Takes over a caller's request without its key and the headers that only the router may set.
    ///
    /// `workspace` is sent to the servers in a header.
    #[must_use]
    pub fn new(
        protocol: &Protocol,
        parts: &Parts,
        body: Bytes,
        workspace: Option<&str>,
        deadline: Instant,
    ) -> Self {
        let mut headers = parts.headers.clone();
        headers::strip(&mut headers);
        for name in &protocol.reserved {
            headers.remove(name);
        }
        headers.remove(header::AUTHORIZATION);
        headers.remove(&protocol.workspace);
        if let Some(value) = workspace.and_then(|w| HeaderValue::from_str(w).ok()) {
            headers.insert(protocol.workspace.clone(), value);
        }
        let empty = HeaderValue::from_static("");
        let id = parts.headers.get(&protocol.request_id).unwrap_or(&empty);
        let has_body = parts.headers.contains_key(header::CONTENT_LENGTH)
            || parts.headers.contains_key(header::TRANSFER_ENCODING);
        Self {
            method: parts.method.clone(),
            uri: parts.uri.clone(),
            headers,
            body,
            needs_length: has_body,
            id: id.clone(),
            deadline,
        }
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the request for a server; a stream is resumed after the event `resume`.
    #[must_use]
    pub fn build(
        &self,
        protocol: &Protocol,
        target: &Target,
        resume: Option<u64>,
        now: Instant,
    ) -> Request<Body> {
        let mut request = Request::new(full(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        if self.needs_length {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        let remaining = millis(self.remaining(now));
        headers.insert(protocol.deadline.clone(), HeaderValue::from(remaining));
        if let Ok(value) = HeaderValue::from_str(&target.id) {
            headers.insert(protocol.expect_server.clone(), value);
        }
        let source = target.source.map(|s| s.to_string());
        if let Some(value) = source.and_then(|s| HeaderValue::from_str(&s).ok()) {
            headers.insert(protocol.kv_source.clone(), value);
        }
        if let Some(event) = resume {
            headers.insert(protocol.last_event_id.clone(), HeaderValue::from(event));
        }
        request
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
