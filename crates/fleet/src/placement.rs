//! Preferred server for the shared prefix of a prompt.
//!
//! Every router ranks the servers by rendezvous hashing on the last shared part of a prompt.
//! Requests with the same prefix thus go to the same engine without messages between routers, and
//! the loss of an engine moves only its own prefixes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous weight of a server for a part; the highest one is the preferred server's.
#[must_use]
pub fn weight(part: u64, server: u32) -> u64 {
    xxh3_64_with_seed(&server.to_le_bytes(), part)
}

/// Returns a number from 0 to 1 that depends on a part and a server, as their weight does.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn draw(part: u64, server: u32) -> f64 {
    weight(part, server) as f64 / u64::MAX as f64
}

/// Returns a hash of a name that is the same at every router.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn name_hash(name: &str) -> u32 {
    xxh3_64_with_seed(name.as_bytes(), 0) as u32
}
