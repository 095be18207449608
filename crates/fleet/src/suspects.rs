//! Prompt parts that crash the engines which answer requests with them.
//!
//! If the connection to an engine breaks at the start of an answer, each shared part of the prompt
//! is a suspect, since the engine may have crashed on it. A complete answer, at any router, clears
//! the parts of its prompt. A part that several engines failed on and none answered is quarantined.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use prost::Message;
use rustc_hash::FxHashMap;

/// Number of engines that must have failed on a part. Other requests break with a crashed engine,
/// so one or two failures prove nothing about a part that few requests share.
const MIN_ENGINES: usize = 3;
/// Time after which a failure no longer counts, so that a quarantined part is tried again.
const FAILURE_TTL: Duration = Duration::from_secs(30);
/// Time for which an answer clears the parts of its prompt in the eyes of other routers.
const ANSWER_TTL: Duration = Duration::from_secs(10);
/// Number of answered parts from which old ones are dropped; bounds the memory.
const MAX_ANSWERED: usize = 4_096;
/// Maximum number of suspects in a report; bounds its size.
const MAX_REPORTED: usize = 32;

/// Suspect part in a report.
#[derive(Clone, PartialEq, Message)]
pub struct Suspect {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Hashes of the ids of the engines that failed at the sender.
    #[prost(fixed32, repeated, tag = "2")]
    pub engines: Vec<u32>,
}

/// Failure of an engine on a part.
#[derive(Debug, Clone, Copy)]
struct Failure {
    at: Instant,
    /// Whether this router saw it itself.
    own: bool,
}

/// Suspect parts and recently answered parts.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Failures by part and engine.
    failures: BTreeMap<u64, BTreeMap<u32, Failure>>,
    answered: FxHashMap<u64, Instant>,
    /// Answered parts that other routers suspect.
    cleared: BTreeMap<u64, Instant>,
}

impl Suspects {
    /// Records that an engine failed at the start of an answer; returns the parts quarantined by it.
    pub fn record_failure(
        &mut self,
        now: Instant,
        engine: u32,
        parts: impl Iterator<Item = u64>,
    ) -> Vec<u64> {
        parts
            .filter(|part| self.add(now, *part, engine, true))
            .collect()
    }

    /// Records a complete answer, which clears the parts of its prompt.
    pub fn record_answer(&mut self, now: Instant, parts: impl Iterator<Item = u64>) {
        if self.answered.len() >= MAX_ANSWERED {
            self.answered
                .retain(|_, at| now.saturating_duration_since(*at) < ANSWER_TTL);
        }
        for part in parts {
            self.answered.insert(part, now);
            self.failures.remove(&part);
        }
    }

    /// Applies the suspects and cleared parts of a report; returns the parts quarantined by it.
    pub fn apply(&mut self, now: Instant, suspects: &[Suspect], cleared: &[u64]) -> Vec<u64> {
        for part in cleared {
            self.failures.remove(part);
        }
        let mut quarantined = Vec::new();
        for suspect in suspects {
            if self.is_answered(now, suspect.part) {
                self.cleared.insert(suspect.part, now);
                continue;
            }
            for engine in &suspect.engines {
                if self.add(now, suspect.part, *engine, false) {
                    quarantined.push(suspect.part);
                }
            }
        }
        quarantined
    }

    /// Returns the suspects seen by this router and the suspects of others that it clears.
    pub fn report(&mut self, now: Instant) -> (Vec<Suspect>, Vec<u64>) {
        let is_recent = |at: Instant, ttl| now.saturating_duration_since(at) < ttl;
        self.failures.retain(|_, engines| {
            engines.retain(|_, failure| is_recent(failure.at, FAILURE_TTL));
            !engines.is_empty()
        });
        self.cleared.retain(|_, at| is_recent(*at, ANSWER_TTL));
        let mut suspects: Vec<Suspect> = Vec::new();
        for (part, engines) in &self.failures {
            let own = engines.iter().filter(|(_, failure)| failure.own);
            let engines: Vec<u32> = own.map(|(engine, _)| *engine).collect();
            if !engines.is_empty() {
                suspects.push(Suspect {
                    part: *part,
                    engines,
                });
            }
        }
        suspects.sort_by_key(|s| std::cmp::Reverse(s.engines.len()));
        suspects.truncate(MAX_REPORTED);
        (suspects, self.cleared.keys().copied().collect())
    }

    /// Returns the time until requests with a part may be sent again, if it is quarantined.
    #[must_use]
    pub fn quarantine(&self, now: Instant, part: u64) -> Option<Duration> {
        let engines = self.failures.get(&part)?;
        let mut left: Vec<Duration> = engines
            .values()
            .map(|f| (f.at + FAILURE_TTL).saturating_duration_since(now))
            .filter(|left| !left.is_zero())
            .collect();
        left.sort_unstable();
        let excess = left.len().checked_sub(MIN_ENGINES)?;
        left.get(excess).copied()
    }

    /// Adds a failure; returns whether it quarantines the part.
    fn add(&mut self, now: Instant, part: u64, engine: u32, own: bool) -> bool {
        let before = self.quarantine(now, part).is_some();
        let engines = self.failures.entry(part).or_default();
        let failure = engines.entry(engine).or_insert(Failure { at: now, own });
        failure.own |= own;
        !before && self.quarantine(now, part).is_some()
    }

    fn is_answered(&self, now: Instant, part: u64) -> bool {
        self.answered
            .get(&part)
            .is_some_and(|at| now.saturating_duration_since(*at) < ANSWER_TTL)
    }
}
