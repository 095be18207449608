//! Secrets of the daemon, which are read from files and never logged.

use std::fmt;
use std::io;
use std::path::Path;

use http::{HeaderMap, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The secrets that a router starts with.
#[derive(Clone)]
pub struct Secrets {
    /// Secret that all routers share and seal datagrams with.
    pub fleet: Vec<u8>,
    /// Token that operators present on the admin port.
    pub admin: AdminToken,
}

impl fmt::Debug for Secrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Secrets").finish_non_exhaustive()
    }
}

impl Secrets {
    /// Creates the secrets from the contents of their files.
    #[must_use]
    pub fn new(fleet: &[u8], admin: &[u8]) -> Self {
        Self {
            fleet: fleet.to_vec(),
            admin: AdminToken::new(admin),
        }
    }
}

/// Reads a secret from a file and trims white space at both ends.
///
/// # Errors
///
/// Returns an error if the file can't be read or is empty.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    let text = std::fs::read(path)?;
    let secret = text.trim_ascii();
    if secret.is_empty() {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the file is empty",
        ));
    }
    Ok(secret.to_vec())
}

/// SHA-256 hash of the operators' token.
#[derive(Clone)]
pub struct AdminToken {
    hash: [u8; 32],
}

impl fmt::Debug for AdminToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminToken").finish_non_exhaustive()
    }
}

impl AdminToken {
    /// Hashes the token.
    #[must_use]
    pub fn new(token: &[u8]) -> Self {
        Self {
            hash: Sha256::digest(token).into(),
        }
    }

    /// Returns whether a request carries the token, comparing in constant time.
    #[must_use]
    pub fn authorizes(&self, headers: &HeaderMap) -> bool {
        let Some(token) = bearer(headers) else {
            return false;
        };
        let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        bool::from(hash.ct_eq(&self.hash))
    }
}

/// Returns the bearer token of a request.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| token.trim_start())
}
