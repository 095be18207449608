//! State of one backend server at this router, with estimates of prefill time and token interval.
//!
//! Engines prefill prompts in order of arrival, so the time to first token follows from the prompt
//! tokens that still wait for prefill. Each router counts the tokens it sent itself and adds those
//! that the other routers last reported.

use std::time::{Duration, Instant};

use hibiscusrail_macros::{record, value};
use rustc_hash::FxHashMap;

use crate::arrivals::Arrivals;
use crate::cold::ColdBucket;
use crate::health::Health;
use crate::liveness::{Liveness, life_hash};
use crate::model::Model;
use crate::notice::Notice;
use crate::objects::{Backend, Revision};
use crate::pace::Pace;
use crate::window::Window;

/// Divisor of an engine's KV cache capacity for its prefix cache; running requests use the rest.
const PREFIX_CACHE_DIVISOR: u64 = 2;
/// Window over which an engine's prefill load is averaged: several prompts long, and a fraction of
/// the duration of a stream.
pub const PREFILL_WINDOW: Duration = Duration::from_millis(1_000);
/// Moving average weight of the newest observed prefill rate.
const RATE_WEIGHT: f64 = 0.05;
/// Factor by which earlier events lose weight with each new one. An engine sends about ten events
/// to each router in the time in which its batch changes.
const INTERVAL_DECAY: f64 = 0.9;
/// Number of tokens for which a reported interval counts: about one event of a stream.
const REPORTED_TOKENS: f64 = 8.0;
/// Age from which an observed token interval says nothing about the engine's present batch.
const INTERVAL_TTL: Duration = Duration::from_millis(1_000);
/// Lowest prefill rate assumed for an engine, relative to its data sheet.
const MIN_RATE: f64 = 0.1;
/// Prompt parts retained for each engine; bounds the router's memory use.
const RETAINED_PARTS: usize = 512;
/// Number of parts at which the oldest are evicted down to [`RETAINED_PARTS`]. Evicting them one at
/// a time would search all of them for each new part.
const MAX_PARTS: usize = 2 * RETAINED_PARTS;

/// Part of a prompt that several requests may share.
#[value]
pub struct Part {
    /// Id of the part's content.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Prompt of a request to an engine.
#[record]
#[derive(Default)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub input: u32,
    /// Number of output tokens that the caller expects.
    pub output: u32,
    /// Parts of the prompt in order; the last is not shared with other requests.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the tokens that count against the workspace's share; output tokens count twice.
    #[must_use]
    pub fn charge(&self) -> f64 {
        f64::from(self.input) + 2.0 * f64::from(self.output)
    }

    /// Returns the id of the last shared part, which identifies the shared prefix.
    #[must_use]
    pub fn prefix_id(&self) -> Option<u64> {
        let last = self.parts.len().checked_sub(2)?;
        self.parts.get(last).map(|p| p.id)
    }

    /// Returns the parts of the shared prefix: all but the last.
    fn shared_parts(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Returns the ids of the parts in the shared prefix.
    pub fn shared_ids(&self) -> impl Iterator<Item = u64> + Clone {
        self.shared_parts().iter().map(|p| p.id)
    }

    /// Returns the number of tokens in the shared prefix.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|p| p.tokens).sum()
    }
}

/// Load at a server.
#[value]
#[derive(Default)]
pub struct Load {
    /// Prompt tokens sent for prefill whose first output token has not arrived yet.
    pub pending_prefill: u64,
    /// Number of requests in progress.
    pub running: u32,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.pending_prefill += other.pending_prefill;
        self.running += other.running;
    }

    /// Subtracts a load; the pending prefill does not fall below zero.
    pub fn subtract(&mut self, other: Self) {
        self.pending_prefill = self.pending_prefill.saturating_sub(other.pending_prefill);
        self.running = self.running.saturating_sub(other.running);
    }
}

/// Decayed sums of the time that streams took and of the tokens that they received.
///
/// The sums are kept apart because a busy router reads late events in one batch, whose tokens must
/// all count.
#[derive(Debug, Clone, Copy)]
struct TokenInterval {
    seconds: f64,
    tokens: f64,
    observed_at: Instant,
}

impl TokenInterval {
    /// Returns the sums after a further observation.
    fn after(before: Option<Self>, now: Instant, gap: Duration, tokens: f64) -> Self {
        let before = before.filter(|i| i.is_fresh(now));
        let (seconds, sum) = before.map_or((0.0, 0.0), |i| {
            (i.seconds * INTERVAL_DECAY, i.tokens * INTERVAL_DECAY)
        });
        Self {
            seconds: seconds + gap.as_secs_f64(),
            tokens: sum + tokens,
            observed_at: now,
        }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.observed_at) < INTERVAL_TTL
    }
}

/// State of one backend server at this router.
#[derive(Debug)]
pub struct Server {
    /// Id under which the server is registered.
    pub id: String,
    /// Hash of the id, the same at every router.
    pub hash: u32,
    /// Newest registration.
    pub backend: Backend,
    /// End of the cold period.
    pub cold_until: Option<Instant>,
    /// Limits the requests from this router while the server is cold.
    pub bucket: ColdBucket,
    /// Recent failures and the error rate.
    pub health: Health,
    /// What the server announced in its responses.
    pub notice: Notice,
    /// Speed learned from its responses.
    pub model: Model,
    /// Pace after its start or recovery; none if it is not limited.
    pub pace: Option<Pace>,
    /// Load of this router's own requests.
    pub own_load: Load,
    /// Load that the other routers reported.
    pub peer_load: Load,
    /// When the registration expired, if a store outage may be the cause, so the server is kept.
    pub expired_at: Option<Instant>,
    /// Revision of a newer server list, known from another router, in which the server is leaving
    /// or missing.
    pub withdrawn: Option<Revision>,
    /// When the newest request was sent whose answer did not say that the server leaves.
    pub proven_at: Option<Instant>,
    /// When this router itself last heard the server.
    pub heard_at: Option<Instant>,
    /// What all routers have heard of the server's present life.
    pub liveness: Liveness,
    /// When this router last sent a health check.
    pub checked_at: Option<Instant>,
    /// Prompt tokens that this router sent for prefill since its start.
    pub sent_tokens: u64,
    /// Requests that this router sent since its start.
    pub sent_requests: u64,
    /// When this router last sent a request.
    pub sent_at: Option<Instant>,
    /// Requests that all routers sent recently.
    arrivals: Arrivals,
    /// Prompt tokens that all routers sent for prefill in the last [`PREFILL_WINDOW`].
    prefill: Window,
    /// Observed prefill rate relative to the data sheet.
    rate: f64,
    /// Recent token interval of this router's own streams.
    interval: Option<TokenInterval>,
    /// Recent token interval that the other routers reported.
    peer_interval: Option<TokenInterval>,
    /// Prompt tokens that all routers sent for prefill since this record was created.
    total_tokens: u64,
    /// Last parts of the shared prefixes sent to the server, each with `total_tokens` at that time.
    parts: FxHashMap<u64, u64>,
}

impl Server {
    /// Creates the state of a newly registered server.
    #[must_use]
    pub fn new(id: &str, hash: u32, backend: Backend, now: Instant) -> Self {
        let cold = backend.cold;
        Self {
            id: id.to_owned(),
            hash,
            backend,
            cold_until: (!cold.is_zero()).then(|| now + cold),
            bucket: ColdBucket::new(now),
            health: Health::default(),
            notice: Notice::default(),
            model: Model::default(),
            pace: (!cold.is_zero()).then(|| Pace::new(now)),
            own_load: Load::default(),
            peer_load: Load::default(),
            expired_at: None,
            withdrawn: None,
            proven_at: None,
            heard_at: None,
            liveness: Liveness::default(),
            checked_at: None,
            sent_tokens: 0,
            sent_requests: 0,
            arrivals: Arrivals::default(),
            sent_at: None,
            prefill: Window::new(PREFILL_WINDOW),
            rate: 1.0,
            interval: None,
            peer_interval: None,
            total_tokens: 0,
            parts: FxHashMap::default(),
        }
    }

    /// Returns the hash that tells the server's present life from others.
    #[must_use]
    pub fn life(&self) -> u32 {
        life_hash(self.hash, self.backend.born)
    }

    /// Returns whether the server is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the model of the server's speed.
    #[must_use]
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// Sets the end of the cold period.
    pub fn set_cold(&mut self, now: Instant, until: Option<Instant>) {
        let before = self.cold_until;
        match &mut self.pace {
            Some(pace) => pace.settle(now, before),
            None if until.is_some() => self.pace = Some(Pace::new(now)),
            None => {}
        }
        self.cold_until = until;
    }

    /// Records that the server answers again after a failure, and the end of its cold period.
    pub fn recover(&mut self, now: Instant, cold_until: Option<Instant>) {
        self.pace = Some(Pace::new(now));
        self.cold_until = cold_until;
    }

    /// Returns the pace as a multiple of the cold limit; none if it does not limit the server.
    #[must_use]
    pub fn pace_level(&self, now: Instant) -> Option<f64> {
        let pace = self.pace.as_ref()?;
        let is_full = pace.is_full(now, self.cold_until);
        (!is_full).then(|| pace.level(now, self.cold_until))
    }

    /// Returns whether the server is limited to the request rate of a cold server.
    #[must_use]
    pub fn is_limited(&self, now: Instant) -> bool {
        self.is_cold(now) || self.health.needs_probe()
    }

    /// Returns whether the server may receive requests, regardless of its load and health.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        !self.backend.leaving && self.withdrawn.is_none() && self.notice.allows(now)
    }

    /// Records that the server has answered a request that was sent at this time.
    pub fn record_proof(&mut self, sent_at: Instant) {
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// Returns whether an answer proves that the server was not leaving within `age` before now.
    #[must_use]
    pub fn is_proven(&self, now: Instant, age: Duration) -> bool {
        self.proven_at
            .is_some_and(|at| now.saturating_duration_since(at) <= age)
    }

    /// Returns the load from all routers.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.peer_load);
        load
    }

    /// Returns the cached tokens of the prompt's shared prefix, given the cache capacity in tokens.
    ///
    /// Prefixes that have not been used recently are assumed evicted by the tokens prefilled since.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &Prompt, kv_capacity: u64) -> u32 {
        let capacity = kv_capacity / PREFIX_CACHE_DIVISOR;
        let mut cached = 0;
        let mut prefix = 0;
        for part in &prompt.parts[..prompt.parts.len().saturating_sub(1)] {
            prefix += part.tokens;
            let used = self.parts.get(&part.id);
            if used.is_some_and(|at| self.total_tokens.saturating_sub(*at) < capacity) {
                cached = prefix;
            }
        }
        cached
    }

    /// Returns the prefill time of `tokens`, given the nominal rate in tokens per millisecond.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn prefill_time(&self, tokens: u64, nominal_rate: f64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / (nominal_rate * self.rate) / 1e3)
    }

    /// Records requests that another router sent and their prompt tokens to prefill.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_peer_requests(&mut self, now: Instant, requests: u64, tokens: u64) {
        self.arrivals.add(now, requests as f64);
        self.total_tokens += tokens;
        self.prefill.add(now, tokens as f64);
    }

    /// Records a request that this router sends and its prompt tokens to prefill.
    pub fn record_request(&mut self, now: Instant, tokens: u32) {
        self.sent_requests += 1;
        self.arrivals.add(now, 1.0);
        self.sent_tokens += u64::from(tokens);
        self.sent_at = Some(now);
        self.total_tokens += u64::from(tokens);
        self.prefill.add(now, f64::from(tokens));
    }

    /// Returns the fraction of the engine's time spent on prefill, given the nominal tokens per ms.
    ///
    /// Streams slow down by the inverse of the remaining fraction: an engine that spends all its
    /// time on prefill finishes no stream.
    #[must_use]
    pub fn prefill_fraction(&self, now: Instant, nominal_rate: f64) -> f64 {
        let capacity = nominal_rate * PREFILL_WINDOW.as_secs_f64() * 1e3;
        self.prefill.peek(now) / capacity
    }

    /// Returns how much of the rate that the server accepts is used: 1 if it may receive no more now,
    /// and 0 if it names no rate. `unknown` routers count with their even parts of `routers`.
    #[must_use]
    pub fn rate_used(&self, now: Instant, unknown: u32, routers: u32) -> f64 {
        let rate = self.notice.rate.map(|r| r.per_second);
        rate.map_or(0.0, |rate| {
            self.arrivals.rate_used(now, rate, unknown, routers)
        })
    }

    /// Returns the time after which the server may receive a request, as far as it announced a pause
    /// or a rate; zero if that is now.
    #[must_use]
    pub fn announced_wait(&self, now: Instant) -> Duration {
        let rate = self.notice.rate.map(|r| r.per_second);
        let wait = rate.map_or(Duration::ZERO, |rate| self.arrivals.wait(now, rate));
        wait.max(self.notice.pause_left(now))
    }

    /// Records that the server prefills the shared prefix that ends with a part.
    pub fn record_part(&mut self, part: u64) {
        self.parts.insert(part, self.total_tokens);
        if self.parts.len() < MAX_PARTS {
            return;
        }
        let mut used: Vec<u64> = self.parts.values().copied().collect();
        let (_, oldest, _) = used.select_nth_unstable(MAX_PARTS - RETAINED_PARTS);
        let oldest = *oldest;
        self.parts.retain(|_, at| *at >= oldest);
    }

    /// Updates the prefill rate with the time that `tokens` took, given the nominal tokens per ms.
    #[allow(clippy::cast_precision_loss)]
    pub fn observe_prefill(&mut self, tokens: u64, took: Duration, nominal_rate: f64) {
        let ms = took.as_secs_f64() * 1e3;
        if tokens == 0 || ms <= 0.0 {
            return;
        }
        let seen = (tokens as f64 / ms / nominal_rate).clamp(MIN_RATE, 1.0);
        self.rate += RATE_WEIGHT * (seen - self.rate);
    }

    /// Updates the token interval with the `tokens` that a stream of this router received after
    /// `gap`.
    pub fn observe_interval(&mut self, now: Instant, gap: Duration, tokens: u32) {
        let interval = TokenInterval::after(self.interval, now, gap, f64::from(tokens));
        self.interval = Some(interval);
    }

    /// Updates the token interval with one that another router reported.
    pub fn observe_peer_interval(&mut self, now: Instant, interval: Duration) {
        let gap = interval.mul_f64(REPORTED_TOKENS);
        let interval = TokenInterval::after(self.peer_interval, now, gap, REPORTED_TOKENS);
        self.peer_interval = Some(interval);
    }

    /// Returns the average time per output token of this router's own streams; zero without a
    /// recent observation.
    #[must_use]
    pub fn own_interval(&self, now: Instant) -> Duration {
        mean_interval([self.interval], now)
    }

    /// Returns the average time per output token of all routers' streams; zero without a recent
    /// observation.
    #[must_use]
    pub fn token_interval(&self, now: Instant) -> Duration {
        mean_interval([self.interval, self.peer_interval], now)
    }
}

/// Returns the time per output token over the fresh observations; zero without one.
fn mean_interval<const N: usize>(intervals: [Option<TokenInterval>; N], now: Instant) -> Duration {
    let fresh = intervals.into_iter().flatten().filter(|i| i.is_fresh(now));
    let (seconds, tokens) = fresh.fold((0.0, 0.0), |(seconds, tokens), i| {
        (seconds + i.seconds, tokens + i.tokens)
    });
    if tokens > 0.0 {
        Duration::from_secs_f64(seconds / tokens)
    } else {
        Duration::ZERO
    }
}
