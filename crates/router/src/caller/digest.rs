//! Digest of a keyed request, to detect an idempotency key used for two different requests.

use hibiscusrail_core::event::Repeat;
use sha2::{Digest, Sha256};

use crate::shell::Outgoing;

/// Adds the digest of method, path and body to the idempotency key, if there is one.
pub fn add_to_key(repeat: Repeat, outgoing: &Outgoing) -> Repeat {
    match repeat {
        Repeat::Keyed(key) => Repeat::Keyed(key.with_digest(digest(outgoing))),
        other => other,
    }
}

fn digest(outgoing: &Outgoing) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(outgoing.method.as_str());
    hasher.update([0]);
    hasher.update(&outgoing.path);
    hasher.update([0]);
    hasher.update(&outgoing.body);
    let [a, b, c, d, e, f, g, h, ..]: [u8; 32] = hasher.finalize().into();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
