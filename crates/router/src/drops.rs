//! Limits the log lines about datagrams that were dropped.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use hibiscusrail_wire::OpenError;

/// Least time between two lines about one sender and kind.
const QUIET: Duration = Duration::from_secs(60);
/// Senders and kinds remembered at most.
const REMEMBERED: usize = 256;

/// When drops were last logged, by sender and kind.
#[derive(Debug, Default)]
pub struct Drops {
    logged: BTreeMap<(IpAddr, &'static str), Instant>,
}

impl Drops {
    /// Notes a drop; returns whether it is to be logged.
    pub fn note(&mut self, now: Instant, from: SocketAddr, error: OpenError) -> bool {
        self.logged.retain(|_, at| now.duration_since(*at) < QUIET);
        let key = (from.ip(), error.kind());
        if self.logged.len() >= REMEMBERED || self.logged.contains_key(&key) {
            return false;
        }
        self.logged.insert(key, now);
        true
    }
}
