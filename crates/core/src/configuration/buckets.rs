//! Digests of the versions in force, by bucket of object identifiers.
//!
//! Two routers with equal digests have the same version of every object. When
//! they differ, the buckets that differ narrow the comparison down to a
//! fraction of the objects.

use xxhash_rust::xxh3::xxh3_64;

use super::object::{ObjectId, Version};

/// Buckets that objects are spread over by their identifier.
pub const BUCKETS: usize = 64;

/// One digest for each bucket: the exclusive-or of its objects' hashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Buckets([u64; BUCKETS]);

impl Default for Buckets {
    fn default() -> Self {
        Self([0; BUCKETS])
    }
}

/// Returns the identifier as bytes: its kind, then its number.
fn bytes_of(id: ObjectId) -> [u8; 5] {
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
    bytes[..5].copy_from_slice(&bytes_of(id));
    bytes[5..].copy_from_slice(&version.0.to_le_bytes());
    xxh3_64(&bytes)
}

impl Buckets {
    /// Returns the bucket of an object.
    #[must_use]
    pub fn bucket(id: ObjectId) -> usize {
        usize::from(xxh3_64(&bytes_of(id)).to_le_bytes()[0]) % BUCKETS
    }

    /// Creates the digests that another router sent; none when their number is wrong.
    #[must_use]
    pub fn from_digests(digests: &[u64]) -> Option<Self> {
        Some(Self(digests.try_into().ok()?))
    }

    /// Returns the digest of each bucket.
    #[must_use]
    pub fn digests(&self) -> &[u64] {
        &self.0
    }

    /// Returns one digest of everything.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut bytes = [0; BUCKETS * 8];
        for (chunk, digest) in bytes.chunks_exact_mut(8).zip(self.0) {
            chunk.copy_from_slice(&digest.to_le_bytes());
        }
        xxh3_64(&bytes)
    }

    /// Takes in that an object went from version `old` to `new`.
    pub(super) fn replace(&mut self, id: ObjectId, old: Option<Version>, new: Version) {
        let digest = &mut self.0[Self::bucket(id)];
        if let Some(old) = old {
            *digest ^= hash(id, old);
        }
        *digest ^= hash(id, new);
    }

    /// Returns the buckets in which two routers differ.
    #[must_use]
    pub fn differing(&self, other: &Self) -> Vec<usize> {
        (0..BUCKETS).filter(|b| self.0[*b] != other.0[*b]).collect()
    }
}
