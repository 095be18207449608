//! Digests of the object versions in force, one per bucket of object identifiers.
//!
//! Routers with equal digests have the same version of every object. Otherwise
//! only the objects in buckets with different digests have to be compared.

use xxhash_rust::xxh3::xxh3_64;

use super::object::{ObjectId, Version};

/// Number of buckets; an object's bucket follows from a hash of its identifier.
pub const BUCKETS: usize = 64;

/// Digest of each bucket: the XOR of the hashes of its objects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Buckets([u64; BUCKETS]);

impl Default for Buckets {
    fn default() -> Self {
        Self([0; BUCKETS])
    }
}

/// Encodes an identifier as its kind followed by its number.
fn encode(id: ObjectId) -> [u8; 5] {
    let (kind, number) = match id {
        ObjectId::Workspace(w) => (0, w.0),
        ObjectId::Service(s) => (1, s.0),
        ObjectId::Server(s) => (2, s.0),
        ObjectId::Zone(z) => (3, z.0),
    };
    let [a, b, c, d] = number.to_le_bytes();
    [kind, a, b, c, d]
}

fn hash(id: ObjectId, version: Version) -> u64 {
    let mut bytes = [0; 13];
    bytes[..5].copy_from_slice(&encode(id));
    bytes[5..].copy_from_slice(&version.0.to_le_bytes());
    xxh3_64(&bytes)
}

impl Buckets {
    /// Returns the index of the bucket of an object.
    #[must_use]
    pub fn bucket(id: ObjectId) -> usize {
        usize::from(xxh3_64(&encode(id)).to_le_bytes()[0]) % BUCKETS
    }

    /// Creates digests received from another router; `None` unless there are [`BUCKETS`] of them.
    #[must_use]
    pub fn from_digests(digests: &[u64]) -> Option<Self> {
        Some(Self(digests.try_into().ok()?))
    }

    /// Returns the digest of each bucket.
    #[must_use]
    pub fn digests(&self) -> &[u64] {
        &self.0
    }

    /// Returns one digest over all buckets.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut bytes = [0; BUCKETS * 8];
        for (chunk, digest) in bytes.chunks_exact_mut(8).zip(self.0) {
            chunk.copy_from_slice(&digest.to_le_bytes());
        }
        xxh3_64(&bytes)
    }

    /// Updates the digest of the object's bucket from version `old` to `new`.
    pub(super) fn replace(&mut self, id: ObjectId, old: Option<Version>, new: Version) {
        let digest = &mut self.0[Self::bucket(id)];
        if let Some(old) = old {
            *digest ^= hash(id, old);
        }
        *digest ^= hash(id, new);
    }

    /// Returns the indexes of the buckets whose digests differ.
    #[must_use]
    pub fn differing(&self, other: &Self) -> Vec<usize> {
        (0..BUCKETS).filter(|b| self.0[*b] != other.0[*b]).collect()
    }
}
