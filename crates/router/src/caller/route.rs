//! Finds the service that a request is for, and what its servers receive.

use hibiscusrail_core::ServiceId;
use hibiscusrail_core::configuration::ServiceKind;
use hibiscusrail_net::headers;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use serde::Deserialize;

use super::body::Whole;
use super::head::Asked;
use super::{CHAT_PATH, Early};
use crate::refusal::Code;
use crate::shell::{Outgoing, Shell};

/// The part of a chat request that the router reads.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// A request with the service that it goes to.
pub struct Routed {
    /// The service.
    pub service: ServiceId,
    /// Its name.
    pub name: String,
    /// What its servers receive.
    pub outgoing: Outgoing,
}

/// Where a request goes, as its path and body say.
struct Target {
    service: String,
    path: String,
    stream: bool,
}

/// Finds the service and the request that its servers receive.
pub fn route(
    shell: &Shell,
    id: &str,
    asked: &Asked,
    parts: &Parts,
    body: Whole,
) -> Result<Routed, Early> {
    let target = target(parts, &body.bytes)?;
    let chat = parts.uri.path() == CHAT_PATH;
    let service = ServiceId::new(&target.service);
    let found = shell.with_router(|r| r.config().service(service).cloned());
    let found = found.filter(|s| (s.kind == ServiceKind::Model) == chat);
    let found = found.ok_or_else(|| {
        let message = format!("no service {:?} takes this request", target.service);
        Early::with_message(Code::UnknownService, message)
    })?;
    let outgoing = Outgoing {
        method: parts.method.clone(),
        path: target.path,
        headers: to_server(&parts.headers, asked),
        body: body.bytes,
        reserved: body.reserved,
        request: id.to_owned(),
        stream: target.stream,
        prompt_weight: found.prompt_weight,
        output_weight: found.output_weight,
        model: chat,
    };
    Ok(Routed {
        service,
        name: found.name,
        outgoing,
    })
}

/// Reads the service from the body of a model request, else from the path.
fn target(parts: &Parts, body: &[u8]) -> Result<Target, Early> {
    let path = parts.uri.path();
    if path == CHAT_PATH {
        let chat: ChatRequest = serde_json::from_slice(body).map_err(|e| {
            let message = format!("the body is not a chat request: {e}");
            Early::with_message(Code::BadJson, message)
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

/// Splits `/service/rest` into the service and the rest.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    path.split_once('/').unwrap_or((path, ""))
}

/// Header that tells servers which workspace asks.
const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");

/// Headers that are the router's own, besides those of one connection.
const NOT_PASSED: [HeaderName; 2] = [header::AUTHORIZATION, header::HOST];

fn to_server(received: &HeaderMap, asked: &Asked) -> HeaderMap {
    let mut out = received.clone();
    headers::strip(&mut out);
    for name in NOT_PASSED {
        out.remove(name);
    }
    if let Ok(name) = HeaderValue::from_str(&asked.name) {
        out.insert(WORKSPACE, name);
    }
    out
}
