//! The head of a request: who asks, how often it may run, until when.

use std::time::{Duration, Instant};

use hibiscusrail_core::WorkspaceId;
use hibiscusrail_core::claim::Key;
use hibiscusrail_core::event::Repeat;
use http::request::Parts;
use http::{HeaderMap, Method};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::{CHAT_PATH, Early};
use crate::refusal::{Code, REQUEST_ID};
use crate::secrets::bearer;
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
#[derive(Debug)]
pub struct Asked {
    /// When the head was read.
    pub started: Instant,
    /// The workspace that asks.
    pub workspace: WorkspaceId,
    /// Its name.
    pub name: String,
    /// How often the request may run.
    pub repeat: Repeat,
    /// How long the caller waits.
    pub deadline: Duration,
    /// The caller's hint of the cost in cost units.
    pub hint: Option<f64>,
}

/// Returns the caller's request id, or makes one.
pub fn request_id(shell: &Shell, headers: &HeaderMap) -> String {
    let given = given_id(headers);
    if !given.is_empty() {
        return given;
    }
    let start = shell.clock().epoch_ms();
    format!("{start:016x}{:016x}", rand::random::<u64>())
}

/// Returns the caller's request id; empty when there is none that can be used.
pub fn given_id(headers: &HeaderMap) -> String {
    text(headers, REQUEST_ID)
        .filter(|id| id.len() <= MAX_ID)
        .unwrap_or_default()
        .to_owned()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads the head of a request.
pub fn read_head(shell: &Shell, parts: &Parts) -> Result<Asked, Early> {
    let headers = &parts.headers;
    let started = shell.clock().now();
    check_size(shell, parts)?;
    let workspace = authenticate(shell, headers).ok_or(Early::new(Code::Unauthorized))?;
    let name = shell.with_router(|r| r.config().workspace(workspace).map(|w| w.name.clone()));
    Ok(Asked {
        started,
        workspace,
        name: name.unwrap_or_default(),
        repeat: repeat(&parts.method, parts.uri.path(), headers)?,
        deadline: deadline(shell, headers)?,
        hint: hint(headers)?,
    })
}

/// Refuses a head with too many headers or bytes.
fn check_size(shell: &Shell, parts: &Parts) -> Result<(), Early> {
    let settings = shell.settings();
    let lines = parts.headers.iter();
    let headers: usize = lines.map(|(n, v)| n.as_str().len() + v.len()).sum();
    let target = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    if parts.headers.len() > settings.headers as usize || headers + target > settings.head_bytes {
        let message = format!(
            "allowed are {} headers and {} bytes of target and headers",
            settings.headers, settings.head_bytes
        );
        return Err(Early::with_message(Code::HeadTooLarge, message));
    }
    Ok(())
}

fn authenticate(shell: &Shell, headers: &HeaderMap) -> Option<WorkspaceId> {
    let token = bearer(headers)?;
    let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
    let (workspace, expected) = shell.with_router(|r| r.config().workspace_by_key(&hash))?;
    bool::from(hash.ct_eq(&expected)).then_some(workspace)
}

fn deadline(shell: &Shell, headers: &HeaderMap) -> Result<Duration, Early> {
    let settings = shell.settings();
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(settings.deadline);
    };
    let longest = settings.deadline_max;
    let time = value
        .to_str()
        .ok()
        .and_then(|ms| ms.parse().ok())
        .map(Duration::from_millis);
    time.filter(|t| *t <= longest).ok_or_else(|| {
        let allowed = format!(
            "a whole number of milliseconds up to {}",
            longest.as_millis()
        );
        bad_header(DEADLINE, &allowed)
    })
}

fn hint(headers: &HeaderMap) -> Result<Option<f64>, Early> {
    let Some(value) = headers.get(COST_HINT) else {
        return Ok(None);
    };
    let hint = value.to_str().ok().and_then(|h| h.parse::<f64>().ok());
    hint.filter(|h| h.is_finite() && *h >= 0.0)
        .map(Some)
        .ok_or_else(|| bad_header(COST_HINT, "a number of cost units"))
}

fn bad_header(name: &str, allowed: &str) -> Early {
    let message = format!("header {name}: allowed is {allowed}");
    Early::with_message(Code::BadHeader, message)
}

/// Returns how often the request may run: by key, by override, by method.
fn repeat(method: &Method, path: &str, headers: &HeaderMap) -> Result<Repeat, Early> {
    if let Some(value) = headers.get(IDEMPOTENCY_KEY) {
        let key = value.to_str().unwrap_or_default();
        if key.is_empty() || key.len() > MAX_ID {
            return Err(bad_header(IDEMPOTENCY_KEY, "1 to 128 ASCII characters"));
        }
        return Ok(Repeat::Keyed(Key::new(key)));
    }
    let by_method = method.is_idempotent() || path == CHAT_PATH;
    let idempotent = match headers.get(IDEMPOTENT).map(http::HeaderValue::as_bytes) {
        None => by_method,
        Some(b"true") => true,
        Some(b"false") => false,
        Some(_) => return Err(bad_header(IDEMPOTENT, "true or false")),
    };
    Ok(if idempotent {
        Repeat::Idempotent
    } else {
        Repeat::Once
    })
}
