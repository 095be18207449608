//! Requests and prompt parts that crash the servers which run them.
//!
//! If the connection to a server breaks, the server may have crashed on the request as a whole, or,
//! at the start of an answer, on any shared part of its prompt. A complete answer, at any router,
//! clears the request and its parts. A suspect that several servers failed on and none answered is
//! quarantined at all routers.
//!
//! Sound parts fail beside the one that crashes servers. So a part that was answered at some time
//! is not held against a request without a suspect that never was and that each of those servers
//! failed on too: that suspect explains the failures. Once a server fails on the part alone, it
//! explains them no longer.
//!
//! Requests that share a part differ, so the part is tried again after a while. A request is the
//! same each time and costs a server, so its quarantine grows with each, and one router tries first.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};
use prost::Message;
use rustc_hash::FxHashMap;

use crate::peers::Scope;

/// Number of servers that must have failed on a suspect. Other requests break with a crashed server,
/// so one or two failures prove nothing about what few requests share.
const MIN_SERVERS: usize = 3;
/// Number of servers from which a request is suspected enough to be sent one at a time.
const LIMITED_SERVERS: usize = 2;
/// Time after which a failure no longer counts against a part, so that it is tried again.
const PART_TTL: Duration = Duration::from_secs(30);
/// Time after the last failure for which those of a request count.
const REQUEST_TTL: Duration = Duration::from_secs(60 * 60);
/// Quarantine of a request on which [`MIN_SERVERS`] servers failed.
const MIN_QUARANTINE: Duration = Duration::from_secs(30);
/// Factor by which the quarantine of a request grows with each further server.
const QUARANTINE_GROWTH: u32 = 4;
/// Longest quarantine of a request.
const MAX_QUARANTINE: Duration = Duration::from_secs(30 * 60);
/// Time for which an answer clears a request and the parts of its prompt.
const ANSWER_TTL: Duration = Duration::from_secs(10);
/// Time for which a failure that quarantines nothing is reported.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// Time for which a silent server that then leaves the list may have crashed on its request.
const SILENCE_TTL: Duration = Duration::from_secs(10);
/// Maximum number of requests given up at silent servers that are remembered; bounds the memory.
const MAX_SILENCES: usize = 1_024;
/// Maximum number of suspects; bounds the memory.
const MAX_SUSPECTS: usize = 2_048;
/// Maximum number of servers of a suspect; bounds the memory and the size of reports.
const MAX_SERVERS: usize = 16;
/// Number of answers that are remembered for sure; bounds the memory at twice as many.
const MAX_ANSWERS: usize = 4_096;
/// Number of answered parts that are remembered for sure; bounds the memory at twice as many.
const MAX_PROVEN: usize = 4_096;
/// Maximum number of suspects in a report; bounds its size.
const MAX_REPORTED: usize = 64;
/// Maximum number of cleared suspects in a report; bounds its size.
const MAX_CLEARED: usize = 256;

/// Identity of a suspect.
#[id]
pub enum SuspectKey {
    /// Id of a shared part of prompts.
    Part(u64),
    /// Fingerprint of a request.
    Request(u64),
}

impl SuspectKey {
    /// Returns the id of the part or the fingerprint of the request.
    #[must_use]
    pub fn hash(self) -> u64 {
        match self {
            Self::Part(hash) | Self::Request(hash) => hash,
        }
    }

    fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }
}

/// Suspect in a report.
#[derive(Clone, PartialEq, Message)]
pub struct Suspect {
    /// Id of the part or fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub hash: u64,
    /// Lives of the servers that failed, by [`life_hash`](crate::liveness::life_hash): those of the
    /// sender, and all that it knows of once the suspect is quarantined.
    #[prost(fixed32, repeated, tag = "2")]
    pub servers: Vec<u32>,
    /// Milliseconds since each of these failures; without them the failures are new.
    #[prost(uint32, repeated, tag = "3")]
    pub ages: Vec<u32>,
    /// Whether it is a whole request.
    #[prost(bool, tag = "4")]
    pub request: bool,
}

impl Suspect {
    fn key(&self) -> SuspectKey {
        if self.request {
            SuspectKey::Request(self.hash)
        } else {
            SuspectKey::Part(self.hash)
        }
    }
}

/// What a report says of suspects.
#[derive(Debug, Default)]
pub struct News {
    /// Suspects that the sender saw servers fail on, and all that are quarantined.
    pub suspects: Vec<Suspect>,
    /// Suspects that the sender saw answered since.
    pub cleared: Vec<SuspectKey>,
}

/// Failure of a server on a suspect.
#[value]
struct Failure {
    at: Instant,
    /// Whether this router saw it itself.
    own: bool,
}

/// Failures of servers on one suspect, by the life of the server: one that crashed and started again under
/// its id counts again.
#[derive(Debug, Default)]
struct Failures(BTreeMap<u32, Failure>);

/// Bounded map of suspects in two generations, of which the older is dropped as a whole.
#[derive(Debug)]
struct Generations<V> {
    recent: FxHashMap<SuspectKey, V>,
    older: FxHashMap<SuspectKey, V>,
}

/// Complete answer to a request.
#[value]
struct Answer {
    at: Instant,
    /// Whether this router saw it itself.
    own: bool,
}

/// Request that was given up at a silent server.
#[value]
struct Silence {
    at: Instant,
    /// Hash of the server's id.
    server: u32,
    life: u32,
    key: SuspectKey,
}

/// Suspects and recently answered requests and parts.
#[derive(Debug, Default)]
pub struct Suspects {
    failures: BTreeMap<SuspectKey, Failures>,
    /// The oldest first.
    silences: VecDeque<Silence>,
    answers: Generations<Answer>,
    /// Parts of prompts that were answered at some time.
    proven: Generations<()>,
    /// Answered suspects that other routers may suspect.
    cleared: BTreeMap<SuspectKey, Instant>,
    /// Numbers of suspects that reports of each scope have gone past.
    cursors: [usize; 2],
}

impl Failures {
    /// Returns when the last server failed.
    fn last(&self) -> Option<Instant> {
        self.0.values().map(|f| f.at).max()
    }

    /// Adds a failure or makes a known one older; what others repeat does not make it newer.
    fn add(&mut self, server: u32, failure: Failure) {
        let known = self.0.entry(server).or_insert(failure);
        known.at = known.at.min(failure.at);
        known.own |= failure.own;
        if self.0.len() > MAX_SERVERS {
            let oldest = self.0.iter().min_by_key(|(_, f)| f.at);
            let oldest = oldest.map(|(server, _)| *server);
            oldest.and_then(|server| self.0.remove(&server));
        }
    }

    /// Drops the failures that no longer count; returns whether any is left.
    fn expire(&mut self, now: Instant, key: SuspectKey) -> bool {
        let ttl = if key.is_request() {
            let last = self.last().filter(|at| is_recent(now, *at, REQUEST_TTL));
            return last.is_some();
        } else {
            PART_TTL
        };
        self.0.retain(|_, failure| is_recent(now, failure.at, ttl));
        !self.0.is_empty()
    }

    /// Returns the time for which the suspect is still quarantined; `waits` tells whether another
    /// router tries a request first.
    fn quarantine(&self, now: Instant, key: SuspectKey, waits: bool) -> Option<Duration> {
        let excess = self.0.len().checked_sub(MIN_SERVERS)?;
        let until = if key.is_request() {
            let growth = u32::try_from(excess).unwrap_or(u32::MAX);
            let length = MIN_QUARANTINE * QUARANTINE_GROWTH.saturating_pow(growth.min(8));
            self.last()? + length.min(MAX_QUARANTINE) * if waits { 2 } else { 1 }
        } else {
            let mut times: Vec<Instant> = self.0.values().map(|f| f.at + PART_TTL).collect();
            times.sort_unstable();
            times.get(excess).copied()?
        };
        let left = until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the suspect for a report, if the router has something to tell of it.
    fn report(&self, now: Instant, key: SuspectKey) -> Option<Suspect> {
        let whole = self.0.len() >= MIN_SERVERS;
        let is_news = |f: &Failure| {
            let ttl = if key.is_request() {
                REPORT_TTL
            } else {
                PART_TTL
            };
            f.own && is_recent(now, f.at, ttl)
        };
        let told = self.0.iter().filter(|(_, f)| whole || is_news(f));
        let age = |at| now.saturating_duration_since(at).as_millis();
        let age = |f: &Failure| u32::try_from(age(f.at)).unwrap_or(u32::MAX);
        let (servers, ages): (Vec<u32>, Vec<u32>) = told.map(|(s, f)| (*s, age(f))).unzip();
        (!servers.is_empty()).then(|| Suspect {
            hash: key.hash(),
            servers,
            ages,
            request: key.is_request(),
        })
    }
}

impl<V> Default for Generations<V> {
    fn default() -> Self {
        Self {
            recent: FxHashMap::default(),
            older: FxHashMap::default(),
        }
    }
}

impl<V: Copy> Generations<V> {
    /// Inserts a value; `limit` is the size of a generation.
    fn insert(&mut self, key: SuspectKey, value: V, limit: usize) {
        if self.recent.len() >= limit && !self.recent.contains_key(&key) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(key, value);
    }

    fn get(&self, key: SuspectKey) -> Option<V> {
        let value = self.recent.get(&key).or_else(|| self.older.get(&key));
        value.copied()
    }
}

impl Suspects {
    /// Records that a server failed in one of its lives; returns the suspects quarantined by it.
    pub fn record_failure(
        &mut self,
        now: Instant,
        life: u32,
        keys: impl Iterator<Item = SuspectKey>,
    ) -> Vec<SuspectKey> {
        let failure = Failure { at: now, own: true };
        keys.filter(|key| self.add(now, *key, life, failure))
            .collect()
    }

    /// Records that a request was given up at a silent server, which may have crashed on it.
    pub fn record_silence(&mut self, now: Instant, server: u32, life: u32, key: SuspectKey) {
        if self.silences.len() >= MAX_SILENCES {
            self.silences.pop_front();
        }
        let silence = Silence {
            at: now,
            server,
            life,
            key,
        };
        self.silences.push_back(silence);
    }

    /// Records that a server left the list or started again, so that its silence was a crash; returns
    /// the suspects quarantined by it.
    pub fn server_gone(&mut self, now: Instant, server: u32) -> Vec<SuspectKey> {
        self.silences
            .retain(|silence| is_recent(now, silence.at, SILENCE_TTL));
        let silences = self.silences.iter().filter(|s| s.server == server);
        let silences: Vec<(u32, SuspectKey)> = silences.map(|s| (s.life, s.key)).collect();
        let quarantined = silences
            .into_iter()
            .flat_map(|(life, key)| self.record_failure(now, life, std::iter::once(key)));
        quarantined.collect()
    }

    /// Records a complete answer, which clears the request and the parts of its prompt.
    pub fn record_answer(&mut self, now: Instant, keys: impl Iterator<Item = SuspectKey>) {
        for key in keys {
            self.add_answer(key, Answer { at: now, own: true });
            if self.failures.remove(&key).is_some() {
                self.tell_cleared(now, key);
            }
        }
    }

    /// Applies what a report says; returns the suspects quarantined by it.
    pub fn apply(&mut self, now: Instant, news: &News) -> Vec<SuspectKey> {
        for key in &news.cleared {
            let answer = Answer {
                at: now,
                own: false,
            };
            self.add_answer(*key, answer);
            self.failures.remove(key);
        }
        let mut quarantined = Vec::new();
        for suspect in &news.suspects {
            let key = suspect.key();
            let answer = self.answer(now, key);
            if answer.is_some_and(|a| a.own) {
                self.tell_cleared(now, key);
            }
            let ages = suspect.ages.iter().copied().chain(std::iter::repeat(0));
            let mut is_new = false;
            for (server, age) in suspect.servers.iter().zip(ages) {
                let at = now.checked_sub(Duration::from_millis(age.into()));
                let failure = Failure {
                    at: at.unwrap_or(now),
                    own: false,
                };
                is_new |= self.add(now, key, *server, failure);
            }
            if is_new {
                quarantined.push(key);
            }
        }
        quarantined
    }

    /// Returns what the next report to the routers in `scope` says.
    pub fn report(&mut self, now: Instant, scope: Scope) -> News {
        self.failures
            .retain(|key, failures| failures.expire(now, *key));
        self.cleared.retain(|_, at| is_recent(now, *at, ANSWER_TTL));
        let told = self.failures.iter();
        let told = told.filter_map(|(key, f)| Some((f.0.len(), f.report(now, *key)?)));
        let (mut likely, mut others): (Vec<_>, Vec<_>) =
            told.partition(|(servers, _)| *servers >= LIMITED_SERVERS);
        // Each in turn, so that many innocent ones keep none out for long.
        let cursor = &mut self.cursors[usize::from(scope == Scope::All)];
        for list in [&mut likely, &mut others] {
            let length = list.len().max(1);
            list.rotate_left(*cursor % length);
        }
        *cursor = cursor.wrapping_add(MAX_REPORTED / 2);
        let first = likely.len().min(MAX_REPORTED / 2);
        let rest = likely.split_off(first);
        let all = likely.into_iter().chain(others).chain(rest);
        News {
            suspects: all.take(MAX_REPORTED).map(|(_, s)| s).collect(),
            cleared: self.cleared.keys().copied().collect(),
        }
    }

    /// Returns the time until requests with a suspect may be sent again, if it is quarantined;
    /// `waits` tells whether another router tries a request first.
    #[must_use]
    pub fn quarantine(&self, now: Instant, key: SuspectKey, waits: bool) -> Option<Duration> {
        self.failures.get(&key)?.quarantine(now, key, waits)
    }

    /// Returns the time until a request that consists of `keys` may be sent again, if one of its
    /// parts is quarantined for it.
    #[must_use]
    pub fn part_quarantine(
        &self,
        now: Instant,
        keys: &(impl Iterator<Item = SuspectKey> + Clone),
    ) -> Option<Duration> {
        let parts = keys.clone().filter(|key| !key.is_request());
        let held = parts.filter_map(|key| {
            let left = self.quarantine(now, key, false)?;
            let is_excused = self.is_proven(key) && self.is_explained(key, keys);
            (!is_excused).then_some(left)
        });
        held.max()
    }

    /// Returns whether a part was answered at some time, as far as this router remembers.
    #[must_use]
    pub fn is_proven(&self, key: SuspectKey) -> bool {
        self.proven.get(key).is_some()
    }

    /// Returns whether each server that failed on a part also failed on a suspect that was never
    /// answered and is not among `keys`.
    fn is_explained(
        &self,
        part: SuspectKey,
        keys: &(impl Iterator<Item = SuspectKey> + Clone),
    ) -> bool {
        let Some(servers) = self.failures.get(&part) else {
            return false;
        };
        self.failures.iter().any(|(other, failures)| {
            let mut servers = servers.0.keys();
            !self.is_proven(*other)
                && keys.clone().all(|key| key != *other)
                && servers.all(|server| failures.0.contains_key(server))
        })
    }

    /// Returns the number of servers that failed on a suspect.
    #[must_use]
    pub fn servers(&self, key: SuspectKey) -> usize {
        self.failures.get(&key).map_or(0, |f| f.0.len())
    }

    /// Returns whether a request is suspected enough to be sent one at a time.
    #[must_use]
    pub fn is_limited(&self, key: SuspectKey) -> bool {
        self.servers(key) >= LIMITED_SERVERS
    }

    /// Returns the recent answer to a suspect.
    fn answer(&self, now: Instant, key: SuspectKey) -> Option<Answer> {
        let answer = self.answers.get(key);
        answer.filter(|a| is_recent(now, a.at, ANSWER_TTL))
    }

    fn add_answer(&mut self, key: SuspectKey, answer: Answer) {
        let known = self.answer(answer.at, key);
        let own = answer.own || known.is_some_and(|a| a.own);
        self.answers
            .insert(key, Answer { own, ..answer }, MAX_ANSWERS);
        if !key.is_request() {
            self.proven.insert(key, (), MAX_PROVEN);
        }
    }

    /// Adds a failure; returns whether it quarantines the suspect.
    fn add(&mut self, now: Instant, key: SuspectKey, server: u32, failure: Failure) -> bool {
        if self.answer(now, key).is_some() {
            return false;
        }
        if self.failures.len() >= MAX_SUSPECTS && !self.failures.contains_key(&key) {
            self.drop_least();
        }
        let before = self.quarantine(now, key, false).is_some();
        let failures = self.failures.entry(key).or_default();
        failures.add(server, failure);
        failures.expire(now, key);
        !before && self.quarantine(now, key, false).is_some()
    }

    /// Tells other routers for a while that a suspect was answered.
    fn tell_cleared(&mut self, now: Instant, key: SuspectKey) {
        if self.cleared.len() < MAX_CLEARED || self.cleared.contains_key(&key) {
            self.cleared.insert(key, now);
        }
    }

    /// Drops the suspect with the fewest servers, of these the oldest.
    fn drop_least(&mut self) {
        let weight = |f: &Failures| (f.0.len(), f.last());
        let least = self.failures.iter().min_by_key(|(_, f)| weight(f));
        let least = least.map(|(key, _)| *key);
        least.and_then(|key| self.failures.remove(&key));
    }
}

fn is_recent(now: Instant, at: Instant, ttl: Duration) -> bool {
    now.saturating_duration_since(at) < ttl
}
