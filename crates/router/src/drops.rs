//! Limits the rate of log lines about dropped datagrams.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use hibiscusrail_wire::OpenError;

/// Minimum time between two log lines about one sender and kind of error.
const LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of pairs of sender and kind that are tracked at the same time.
const MAX_TRACKED: usize = 256;

/// Times at which drops were last logged, by sender and kind of error.
#[derive(Debug, Default)]
pub struct DropLog {
    logged: BTreeMap<(IpAddr, &'static str), Instant>,
}

impl DropLog {
    /// Returns whether to log a drop and records the time; false for new pairs in a full table.
    pub fn should_log(&mut self, now: Instant, from: SocketAddr, error: OpenError) -> bool {
        self.logged
            .retain(|_, at| now.duration_since(*at) < LOG_INTERVAL);
        let key = (from.ip(), error.kind());
        if self.logged.len() >= MAX_TRACKED || self.logged.contains_key(&key) {
            return false;
        }
        self.logged.insert(key, now);
        true
    }
}
