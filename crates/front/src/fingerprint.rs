//! Identity of a request at all routers and all of its caller's attempts.

use http::Method;
use xxhash_rust::xxh3::Xxh3;

/// Parts of a request that the caller's further attempts have in common.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Host without port, in any case.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Workspace of the caller; none on public routes.
    pub workspace: Option<&'a str>,
    /// Whole body.
    pub body: &'a [u8],
}

/// Returns a hash of the identity that is the same at every router.
#[must_use]
pub fn fingerprint(identity: Identity<'_>) -> u64 {
    let host = identity.host.to_ascii_lowercase();
    let fields = [
        identity.method.as_str().as_bytes(),
        host.as_bytes(),
        identity.target.as_bytes(),
        identity.workspace.unwrap_or_default().as_bytes(),
        identity.body,
    ];
    let mut hasher = Xxh3::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}
