//! Which server holds the shared prefix of a prompt.
//!
//! Every router ranks the servers alike by rendezvous hashing on the last
//! shared part, so requests with the same prefix meet at one engine without
//! any message, and only the parts of a lost engine move.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rank weight of a server for a part; the highest is its home.
#[must_use]
pub fn weight(part: u64, server: u32) -> u64 {
    xxh3_64_with_seed(&server.to_le_bytes(), part)
}

/// Returns a hash of a name that is the same at every router.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn name_hash(name: &str) -> u32 {
    xxh3_64_with_seed(name.as_bytes(), 0) as u32
}
