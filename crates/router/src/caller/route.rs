//! Finds the service that a request is for, and what its servers receive.

use bytes::Bytes;
use hibiscusrail_core::ServiceId;
use hibiscusrail_core::configuration::ServiceKind;
use http::{HeaderMap, HeaderName, StatusCode, header};
use serde::Deserialize;

use super::{CHAT_PATH, Early};
use crate::shell::{Outgoing, Shell};

/// The part of a chat request that the router reads.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Finds the service and the request that its servers receive.
pub fn route(
    shell: &Shell,
    id: &str,
    parts: &http::request::Parts,
    body: Bytes,
) -> Result<(ServiceId, Outgoing), Early> {
    let path = parts.uri.path();
    let (name, server_path, stream) = if path == CHAT_PATH {
        let chat: ChatRequest = serde_json::from_slice(&body).map_err(|e| {
            Early::new(
                StatusCode::BAD_REQUEST,
                "bad_json",
                format!("the body is not a chat request: {e}"),
            )
        })?;
        (chat.model, CHAT_PATH.to_owned(), chat.stream)
    } else {
        let (name, rest) = split_path(path);
        let query = parts.uri.query().map(|q| format!("?{q}"));
        let server_path = format!("/{rest}{}", query.unwrap_or_default());
        (name.to_owned(), server_path, false)
    };
    let service = ServiceId::new(&name);
    let found = shell.with_router(|r| r.config().service(service).cloned());
    let found = found.filter(|s| (s.kind == ServiceKind::Model) == (path == CHAT_PATH));
    let found = found.ok_or_else(|| {
        Early::new(
            StatusCode::NOT_FOUND,
            "unknown_service",
            format!("no service {name} takes this request"),
        )
    })?;
    let outgoing = Outgoing {
        method: parts.method.clone(),
        path: server_path,
        headers: to_server(&parts.headers),
        body,
        request: id.to_owned(),
        stream,
        prompt_weight: found.prompt_weight,
        output_weight: found.output_weight,
        model: found.kind == ServiceKind::Model,
    };
    Ok((service, outgoing))
}

/// Splits `/service/rest` into the service and the rest.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    path.split_once('/').unwrap_or((path, ""))
}

/// Headers that belong to one connection or to the router.
const NOT_PASSED: [HeaderName; 6] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

fn to_server(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    for name in NOT_PASSED {
        out.remove(name);
    }
    out
}
