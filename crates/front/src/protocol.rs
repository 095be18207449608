//! The HTTP interface of a deployment: its header names, readiness path and prompt headers.

use hibiscusrail_fleet::engine::Prompt;
use hibiscusrail_fleet::model::LoadStatus;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Load that a response reports; none without the header.
///
/// # Errors
///
/// Holds the header's value if it can't be read.
pub type LoadHeader = Result<Option<LoadStatus>, HeaderValue>;

/// Header names and other parts of HTTP messages that differ between deployments.
#[derive(Debug, Clone)]
pub struct Protocol {
    /// Id of a request; servers repeat it in their responses.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender of the request still waits.
    pub deadline: HeaderName,
    /// Id of the last stream event that the receiver already has.
    pub last_event_id: HeaderName,
    /// Id of the request that brought the caller the first event of the stream which it resumes.
    pub resumes: HeaderName,
    /// Present in every successful response of a server, as proof that the server sent it.
    pub seal: HeaderName,
    /// The workspace of the request, for servers.
    pub workspace: HeaderName,
    /// Id of the only server that may run the request.
    pub expect_server: HeaderName,
    /// Address of the server from which the KV cache of a prompt's prefix is transferred.
    pub kv_source: HeaderName,
    /// Present in a response if the server did not run the request.
    pub not_run: HeaderName,
    /// Present in the responses of a server that is leaving.
    pub leaving: HeaderName,
    /// Requests per second that a server accepts from all routers together, as a decimal number.
    pub rate: HeaderName,
    /// Id of the server that answers a health check.
    pub server: HeaderName,
    /// Milliseconds for which a server that answers a health check stays cold; absent if it is not.
    pub cold: HeaderName,
    /// Headers that only the router may set; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
    /// Path of the readiness probe.
    pub ready_path: &'static str,
    /// Parses the prompt that a request's headers describe; none if they don't.
    pub prompt: fn(&HeaderMap) -> Option<Prompt>,
    /// Reads the load that a server's response reports.
    pub load: fn(&HeaderMap) -> LoadHeader,
}
