//! The outside shape of requests and answers: the names of a deployment.

use hibiscusrail_fleet::engine::Prompt;
use http::{HeaderMap, HeaderName};

/// Headers by which a deployment's callers and servers speak.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Names a request; servers repeat it in their answers.
    pub request_id: HeaderName,
    /// Milliseconds that whoever sent the request still waits.
    pub deadline: HeaderName,
    /// Last event of a stream that the receiver already has.
    pub last_event: HeaderName,
    /// Proves that an answer is the server's.
    pub seal: HeaderName,
    /// Tells servers the workspace that asks.
    pub workspace: HeaderName,
    /// Names the one server that may run the request.
    pub expect_server: HeaderName,
    /// Names the server from which another copies what it lacks of a prompt.
    pub copy_from: HeaderName,
    /// By which a server says that it did not run the request.
    pub not_run: HeaderName,
    /// Headers that are the router's to set; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
    /// Path at which readiness is asked for.
    pub ready_path: &'static str,
    /// Reads what a request asks of an engine.
    pub prompt: fn(&HeaderMap) -> Option<Prompt>,
}
