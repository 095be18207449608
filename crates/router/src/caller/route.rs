//! Finds the service of a request and builds the request for its backend servers.

use hibiscusrail_core::ServiceId;
use hibiscusrail_core::configuration::ServiceKind;
use hibiscusrail_net::headers;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use serde::Deserialize;

use super::body::RequestBody;
use super::head::RequestHead;
use super::{CHAT_PATH, EarlyRefusal};
use crate::refusal::Code;
use crate::shell::{Outgoing, Shell};

/// The fields of a chat request that the router reads.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// A request and the service that it is routed to.
pub struct Routed {
    /// Id of the service.
    pub service: ServiceId,
    /// Name of the service.
    pub service_name: String,
    /// The request for the backend servers of the service.
    pub outgoing: Outgoing,
}

/// The service that a request names, with the path and mode for its backend servers.
struct Target {
    service: String,
    path: String,
    stream: bool,
}

/// Finds the service of a request and builds the request for its backend servers.
pub fn route(
    shell: &Shell,
    id: &str,
    head: &RequestHead,
    parts: &Parts,
    body: RequestBody,
) -> Result<Routed, EarlyRefusal> {
    let target = target(parts, &body.bytes)?;
    let chat = parts.uri.path() == CHAT_PATH;
    let service = ServiceId::new(&target.service);
    let found = shell.with_router(|r| r.config().service(service).cloned());
    let found = found.filter(|s| (s.kind == ServiceKind::Model) == chat);
    let found = found.ok_or_else(|| {
        let message = format!("no service {:?} takes this request", target.service);
        EarlyRefusal::with_message(Code::UnknownService, message)
    })?;
    let outgoing = Outgoing {
        method: parts.method.clone(),
        path: target.path,
        headers: server_headers(&parts.headers, head),
        body: body.bytes,
        reservation: body.reservation,
        request_id: id.to_owned(),
        stream: target.stream,
        prompt_weight: found.prompt_weight,
        output_weight: found.output_weight,
        model: chat,
    };
    Ok(Routed {
        service,
        service_name: found.name,
        outgoing,
    })
}

/// Returns the target of a request: from the body of a model request, else from the path.
fn target(parts: &Parts, body: &[u8]) -> Result<Target, EarlyRefusal> {
    let path = parts.uri.path();
    if path == CHAT_PATH {
        let chat: ChatRequest = serde_json::from_slice(body).map_err(|e| {
            let message = format!("the body is not a chat request: {e}");
            EarlyRefusal::with_message(Code::BadJson, message)
        })?;
        return Ok(Target {
            service: chat.model,
            path: CHAT_PATH.to_owned(),
            stream: chat.stream,
        });
    }
    let (service, rest) = split_path(path);
    let query = parts.uri.query().map(|q| format!("?{q}"));
    Ok(Target {
        service: service.to_owned(),
        path: format!("/{rest}{}", query.unwrap_or_default()),
        stream: false,
    })
}

/// Splits `/service/rest` into `service` and `rest`.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    path.split_once('/').unwrap_or((path, ""))
}

/// Header that gives backend servers the name of the workspace.
const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");

/// End-to-end headers that are meant for the router and not forwarded to backend servers.
const STRIPPED_HEADERS: [HeaderName; 2] = [header::AUTHORIZATION, header::HOST];

fn server_headers(received: &HeaderMap, head: &RequestHead) -> HeaderMap {
    let mut out = received.clone();
    headers::strip(&mut out);
    for name in STRIPPED_HEADERS {
        out.remove(name);
    }
    if let Ok(name) = HeaderValue::from_str(&head.workspace_name) {
        out.insert(WORKSPACE, name);
    }
    out
}
