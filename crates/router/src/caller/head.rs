//! Reads a request's head: its workspace, whether it may be retried, deadline and cost hint.

use std::time::{Duration, Instant};

use hibiscusrail_core::WorkspaceId;
use hibiscusrail_core::claim::Key;
use hibiscusrail_core::event::Repeat;
use http::request::Parts;
use http::{HeaderMap, Method};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::{CHAT_PATH, EarlyRefusal};
use crate::refusal::{Code, REQUEST_ID};
use crate::secrets::bearer;
use crate::shell::Shell;

const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the time in milliseconds for which the caller waits.
const DEADLINE: &str = "x-deadline-ms";
/// Header that overrides whether the request is idempotent.
const IDEMPOTENT: &str = "x-idempotent";
/// Header with the caller's estimate of the cost, in cost units.
const COST_HINT: &str = "x-cost-hint";
/// Maximum length in characters of a request id or idempotency key.
const MAX_ID_LEN: usize = 128;

/// The validated head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// When the head was read.
    pub started: Instant,
    /// The workspace whose API key the request carries.
    pub workspace: WorkspaceId,
    /// Name of the workspace.
    pub workspace_name: String,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Time from `started` for which the caller waits.
    pub deadline: Duration,
    /// The caller's estimate of the cost, in cost units.
    pub hint: Option<f64>,
}

/// Returns the request id that the caller sent, or a new one.
pub fn request_id(shell: &Shell, headers: &HeaderMap) -> String {
    let id = received_id(headers);
    if !id.is_empty() {
        return id;
    }
    let now_ms = shell.clock().epoch_ms();
    format!("{now_ms:016x}{:016x}", rand::random::<u64>())
}

/// Returns the request id that the caller sent, or an empty string if it is missing or invalid.
pub fn received_id(headers: &HeaderMap) -> String {
    header_str(headers, REQUEST_ID)
        .filter(|id| id.len() <= MAX_ID_LEN)
        .unwrap_or_default()
        .to_owned()
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Authenticates a request and reads its headers.
pub fn read_head(shell: &Shell, parts: &Parts) -> Result<RequestHead, EarlyRefusal> {
    let headers = &parts.headers;
    let started = shell.clock().now();
    check_size(shell, parts)?;
    let workspace = authenticate(shell, headers).ok_or(EarlyRefusal::new(Code::Unauthorized))?;
    let name = shell.with_router(|r| r.config().workspace(workspace).map(|w| w.name.clone()));
    Ok(RequestHead {
        started,
        workspace,
        workspace_name: name.unwrap_or_default(),
        repeat: repeat(&parts.method, parts.uri.path(), headers)?,
        deadline: deadline(shell, headers)?,
        hint: hint(headers)?,
    })
}

/// Checks the number of headers and the size of target and headers.
fn check_size(shell: &Shell, parts: &Parts) -> Result<(), EarlyRefusal> {
    let settings = shell.settings();
    let fields = parts.headers.iter();
    let headers: usize = fields.map(|(n, v)| n.as_str().len() + v.len()).sum();
    let target = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    if parts.headers.len() > settings.max_headers as usize
        || headers + target > settings.max_head_bytes
    {
        let message = format!(
            "allowed are {} headers and {} bytes of target and headers",
            settings.max_headers, settings.max_head_bytes
        );
        return Err(EarlyRefusal::with_message(Code::HeadTooLarge, message));
    }
    Ok(())
}

fn authenticate(shell: &Shell, headers: &HeaderMap) -> Option<WorkspaceId> {
    let token = bearer(headers)?;
    let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
    let (workspace, expected) = shell.with_router(|r| r.config().workspace_by_key(&hash))?;
    bool::from(hash.ct_eq(&expected)).then_some(workspace)
}

fn deadline(shell: &Shell, headers: &HeaderMap) -> Result<Duration, EarlyRefusal> {
    let settings = shell.settings();
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(settings.default_deadline);
    };
    let max = settings.max_deadline;
    let time = value
        .to_str()
        .ok()
        .and_then(|ms| ms.parse().ok())
        .map(Duration::from_millis);
    time.filter(|t| *t <= max).ok_or_else(|| {
        let allowed = format!("a whole number of milliseconds up to {}", max.as_millis());
        bad_header(DEADLINE, &allowed)
    })
}

fn hint(headers: &HeaderMap) -> Result<Option<f64>, EarlyRefusal> {
    let Some(value) = headers.get(COST_HINT) else {
        return Ok(None);
    };
    let hint = value.to_str().ok().and_then(|h| h.parse::<f64>().ok());
    hint.filter(|h| h.is_finite() && *h >= 0.0)
        .map(Some)
        .ok_or_else(|| bad_header(COST_HINT, "a number of cost units"))
}

fn bad_header(name: &str, allowed: &str) -> EarlyRefusal {
    let message = format!("header {name}: allowed is {allowed}");
    EarlyRefusal::with_message(Code::BadHeader, message)
}

/// Returns how often a request may run, by idempotency key, else override header, else method.
fn repeat(method: &Method, path: &str, headers: &HeaderMap) -> Result<Repeat, EarlyRefusal> {
    if let Some(value) = headers.get(IDEMPOTENCY_KEY) {
        let key = value.to_str().unwrap_or_default();
        if key.is_empty() || key.len() > MAX_ID_LEN {
            return Err(bad_header(IDEMPOTENCY_KEY, "1 to 128 ASCII characters"));
        }
        return Ok(Repeat::Keyed(Key::new(key)));
    }
    let default = method.is_idempotent() || path == CHAT_PATH;
    let idempotent = match headers.get(IDEMPOTENT).map(http::HeaderValue::as_bytes) {
        None => default,
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
