//! Whether a server still lives the life in which it was last known to be warm.
//!
//! A server that crashes may start again under its id, cold, long before its new registration is
//! read. What it tells of itself has no date, and the answer to a request may come from its new life.
//! So a server counts as warm only as long as something is heard of it at short intervals: in the time
//! between two such moments it cannot have restarted. All evidence has the time at which the server
//! was heard, or an earlier one, and comes from this router's responses or another router's.

use std::time::{Duration, Instant};

use hibiscusrail_macros::value;
use prost::Message;

/// Time without a gap in the evidence, from its start to its newest part.
#[value]
struct Run {
    since: Instant,
    until: Instant,
}

/// Evidence of a server's present life, as far as its registration tells the lives apart.
#[derive(Debug, Clone, Default)]
pub struct Liveness {
    /// Newest time at which the server was known to be warm.
    warm_at: Option<Instant>,
    /// Newest time without a gap.
    run: Option<Run>,
    /// When a connection to the server last failed, unless it is known not to have restarted then.
    failed_at: Option<Instant>,
}

/// Rules by which evidence counts.
#[value]
pub struct Rules {
    /// Time in which no server restarts.
    pub restart_time: Duration,
    /// Time for which a server is cold after its start.
    pub cold_time: Duration,
    /// Time up to which each restart is known by its registration; none if the store does not tell.
    pub known_until: Option<Instant>,
    /// Time after which the registration of a server that has gone is no longer listed.
    pub lapse_time: Duration,
}

impl Liveness {
    /// Records that one life of the server lasted from `since` to `until`.
    ///
    /// Both are the same moment for the first part of a response. The connection of a response under
    /// way shows that there was no restart since its first part.
    pub fn observe(&mut self, since: Instant, until: Instant, rules: Rules) {
        let joins = |earlier: Instant| since <= earlier + rules.restart_time;
        if self.warm_at.is_some_and(|at| joins(at) && at < until) {
            self.warm_at = Some(until);
        }
        let run = match self.run {
            Some(run) if joins(run.until) => {
                if until + rules.restart_time < run.since {
                    return;
                }
                Run {
                    since: run.since.min(since),
                    until: run.until.max(until),
                }
            }
            _ => Run { since, until },
        };
        self.run = Some(run);
        let lasts = |at: Instant| run.since <= at && at + rules.restart_time <= run.until;
        self.failed_at = self.failed_at.filter(|at| !lasts(*at));
        // Whenever it started before the run, its cold time has passed, or the start would be known.
        let has_warmed = run.until.saturating_duration_since(run.since) >= rules.cold_time;
        if has_warmed || rules.known_until >= Some(run.since) {
            self.warm_at = self.warm_at.max(Some(run.until));
        }
    }

    /// Records that the server was known to be warm at a time.
    pub fn confirm(&mut self, at: Instant, rules: Rules) {
        self.observe(at, at, rules);
        let run = self.run.filter(|r| r.since <= at + rules.restart_time);
        let until = run.map_or(at, |r| r.until);
        self.warm_at = self.warm_at.max(Some(until));
    }

    /// Records that a connection to the server failed or fell silent, as it does if the server
    /// restarts.
    pub fn connection_failed(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Returns whether the server may have restarted since a connection to it failed, and its
    /// registration would not tell.
    #[must_use]
    pub fn may_be_new(&self, rules: Rules) -> bool {
        // One that went then and has not registered again is not listed for longer than this.
        let tells = |at: Instant| rules.known_until >= Some(at + rules.lapse_time);
        self.failed_at.is_some_and(|at| !tells(at))
    }

    /// Returns the newest time at which the server was known to be warm.
    #[must_use]
    pub fn warm_at(&self) -> Option<Instant> {
        self.warm_at
    }

    /// Returns when the server was last heard.
    #[must_use]
    pub fn heard_at(&self) -> Option<Instant> {
        self.run.map(|r| r.until)
    }

    /// Returns whether the server was known to be warm within `age`.
    #[must_use]
    pub fn is_warm(&self, now: Instant, age: Duration) -> bool {
        self.warm_at
            .is_some_and(|at| now.saturating_duration_since(at) <= age)
    }
}

/// Servers that were heard, for reports: the lives by [`life_hash`], and the milliseconds since.
#[derive(Clone, PartialEq, Message)]
pub struct Heard {
    /// Lives that were known to be warm.
    #[prost(fixed32, repeated, tag = "1")]
    pub warm: Vec<u32>,
    /// Time since each of [`Self::warm`] was heard.
    #[prost(uint32, repeated, tag = "2")]
    pub warm_ages: Vec<u32>,
    /// Lives that may have begun a short time ago.
    #[prost(fixed32, repeated, tag = "3")]
    pub other: Vec<u32>,
    /// Time since each of [`Self::other`] was heard.
    #[prost(uint32, repeated, tag = "4")]
    pub other_ages: Vec<u32>,
}

impl Heard {
    /// Adds a server.
    pub fn add(&mut self, life: u32, age: Duration, is_warm: bool) {
        let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let (lives, ages) = if is_warm {
            (&mut self.warm, &mut self.warm_ages)
        } else {
            (&mut self.other, &mut self.other_ages)
        };
        lives.push(life);
        ages.push(age);
    }

    /// Returns the lives with the time since each was heard, and whether it was known to be warm.
    pub fn entries(&self) -> impl Iterator<Item = (u32, Duration, bool)> {
        let warm = self.warm.iter().zip(&self.warm_ages);
        let other = self.other.iter().zip(&self.other_ages);
        let warm = warm.map(|(life, age)| (*life, *age, true));
        let all = warm.chain(other.map(|(life, age)| (*life, *age, false)));
        all.map(|(life, age, warm)| (life, Duration::from_millis(u64::from(age)), warm))
    }
}

/// Returns a hash of a server's id, given by its hash, and its start time in Unix milliseconds.
#[must_use]
pub fn life_hash(server: u32, born: u64) -> u32 {
    // Fibonacci hashing; a server's lives differ by the low bits of their start times.
    let mixed = (u64::from(server) << 32 ^ born).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    #[allow(clippy::cast_possible_truncation)]
    let hash = (mixed >> 32) as u32;
    hash
}
