//! Connections to other zones that failed before a response began.
//!
//! Such a failure is the server's or that of the network between two zones. It counts as a response
//! of the server's version once any server of the same zone has answered a request that was sent
//! after it, or a router there has reported, if the zone was heard without a longer pause since
//! before the connection was opened: then the network was not cut. All other failures are dropped.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hibiscusrail_macros::{record, value};

/// Longest pause between two messages of a zone in which the network is taken to be up. A shorter cut
/// fails requests of the old version in that zone too, with which the new one is compared.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time after which a failure is dropped: the next answer came after a pause, or there is none.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Greatest number of failures that are kept, which bounds the memory.
const MAX_FAILURES: usize = 1_024;

/// Connection to a server that failed before a response began.
#[record]
pub struct Failure {
    /// Name of the server's service.
    pub service: String,
    /// Version of the server.
    pub version: String,
    /// Hash of the server's zone.
    pub zone: u32,
    /// When the attempt began.
    pub sent_at: Instant,
    /// When it failed.
    pub at: Instant,
}

/// Answers and reports of a zone without a longer pause.
#[value]
struct Run {
    first: Instant,
    last: Instant,
}

/// Failures for which it is not known yet whether the network was cut, oldest first.
#[derive(Debug, Default)]
pub struct ZonePaths {
    failures: VecDeque<Failure>,
    runs: BTreeMap<u32, Run>,
}

impl ZonePaths {
    /// Adds a failure.
    pub fn record_failure(&mut self, failure: Failure) {
        if self.failures.len() == MAX_FAILURES {
            self.failures.pop_front();
        }
        self.failures.push_back(failure);
    }

    /// Records that a server of a zone answered a request that was sent at `sent_at`, or that a router
    /// there sent a report then; returns the failures that were not the network's.
    pub fn record_contact(&mut self, now: Instant, zone: u32, sent_at: Instant) -> Vec<Failure> {
        let first = Run {
            first: now,
            last: now,
        };
        let run = self.runs.entry(zone).or_insert(first);
        if now.saturating_duration_since(run.last) > MAX_PAUSE {
            *run = first;
        }
        run.last = now;
        if self.failures.is_empty() {
            return Vec::new();
        }
        let is_judged = |f: &Failure| f.zone == zone && f.at <= sent_at;
        let failures = std::mem::take(&mut self.failures).into_iter();
        let (mut judged, left): (Vec<_>, Vec<_>) = failures.partition(is_judged);
        self.failures = left.into();
        judged.retain(|f| run.first <= f.sent_at);
        judged
    }

    /// Drops the failures after which the zone did not answer in time.
    pub fn drop_old(&mut self, now: Instant) {
        let is_recent = |f: &Failure| now.saturating_duration_since(f.at) < MAX_AGE;
        self.failures.retain(is_recent);
    }
}
