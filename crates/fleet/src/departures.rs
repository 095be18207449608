//! Servers that recently left, as this router tells the other routers.
//!
//! A router that follows another one learns from a report that there is a newer server list, and
//! then has to fetch it. Reports therefore name the servers that may not receive requests any more.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which reports repeat a departure: enough for other routers to fetch the list.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// Recent departures, oldest first.
#[derive(Debug, Default)]
pub struct Departures {
    recent: VecDeque<(Instant, u32)>,
}

impl Departures {
    /// Records that a server, given by the hash of its id, is leaving or was removed.
    pub fn record(&mut self, now: Instant, server: u32) {
        self.recent.push_back((now, server));
    }

    /// Returns the hashes of the servers that left recently.
    pub fn recent(&mut self, now: Instant) -> Vec<u32> {
        while let Some((at, _)) = self.recent.front()
            && now.saturating_duration_since(*at) >= REPORT_TIME
        {
            self.recent.pop_front();
        }
        self.recent.iter().map(|(_, server)| *server).collect()
    }
}
