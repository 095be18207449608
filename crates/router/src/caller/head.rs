//! The head of a request: who asks, how often it may run, until when.

use std::time::Duration;

use hibiscusrail_core::WorkspaceId;
use hibiscusrail_core::claim::Key;
use hibiscusrail_core::event::Repeat;
use http::{HeaderMap, Method, StatusCode, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::{CHAT_PATH, Early};
use crate::refusal::REQUEST_ID;
use crate::shell::Shell;

/// Header with the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the deadline in milliseconds.
const DEADLINE: &str = "x-deadline-ms";
/// Header that overrides whether the request may be repeated.
const IDEMPOTENT: &str = "x-idempotent";
/// Header with the caller's hint of the cost in cost units.
const COST_HINT: &str = "x-cost-hint";
/// Characters of a request id or idempotency key at most.
const MAX_ID: usize = 128;

/// What a request asks for, after its head was read.
pub struct Asked {
    pub workspace: WorkspaceId,
    pub repeat: Repeat,
    pub deadline: Duration,
    pub hint: Option<f64>,
}

/// Returns the caller's request id, or makes one.
pub fn request_id(shell: &Shell, headers: &HeaderMap) -> String {
    let given = text(headers, REQUEST_ID).filter(|id| !id.is_empty() && id.len() <= MAX_ID);
    given.map_or_else(
        || {
            format!(
                "{:016x}{:016x}",
                shell.clock().epoch_ms(),
                rand::random::<u64>()
            )
        },
        str::to_owned,
    )
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

pub fn read_head(
    shell: &Shell,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
) -> Result<Asked, Early> {
    let workspace = authenticate(shell, headers).ok_or_else(|| {
        Early::new(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "no workspace has this key",
        )
    })?;
    let deadline = match text(headers, DEADLINE) {
        None => shell.settings().deadline,
        Some(ms) => ms
            .parse()
            .map(Duration::from_millis)
            .map_err(|_| bad_header(DEADLINE, "a whole number of milliseconds"))?,
    };
    let hint = match text(headers, COST_HINT) {
        None => None,
        Some(hint) => Some(
            hint.parse::<f64>()
                .ok()
                .filter(|h| h.is_finite() && *h >= 0.0)
                .ok_or_else(|| bad_header(COST_HINT, "a number of cost units"))?,
        ),
    };
    Ok(Asked {
        workspace,
        repeat: repeat(method, path, headers)?,
        deadline,
        hint,
    })
}

fn bad_header(name: &str, allowed: &str) -> Early {
    Early::new(
        StatusCode::BAD_REQUEST,
        "bad_header",
        format!("header {name}: allowed is {allowed}"),
    )
}

/// Returns how often the request may run: by key, by override, by method.
fn repeat(method: &Method, path: &str, headers: &HeaderMap) -> Result<Repeat, Early> {
    if let Some(key) = text(headers, IDEMPOTENCY_KEY) {
        if key.is_empty() || key.len() > MAX_ID {
            return Err(bad_header(IDEMPOTENCY_KEY, "1 to 128 characters"));
        }
        return Ok(Repeat::Keyed(Key::new(key)));
    }
    let by_method = method.is_idempotent() || path == CHAT_PATH;
    let idempotent = match text(headers, IDEMPOTENT) {
        None => by_method,
        Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad_header(IDEMPOTENT, "true or false")),
    };
    Ok(if idempotent {
        Repeat::Idempotent
    } else {
        Repeat::Once
    })
}

fn authenticate(shell: &Shell, headers: &HeaderMap) -> Option<WorkspaceId> {
    let token = text(headers, header::AUTHORIZATION.as_str())?.strip_prefix("Bearer ")?;
    let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
    let (workspace, expected) = shell.with_router(|r| r.config().workspace_by_key(&hash))?;
    bool::from(hash.ct_eq(&expected)).then_some(workspace)
}
