//! What one server has to do, and when it would begin the next request.
//!
//! Engines read prompts in the order in which requests arrive, so the time to
//! a first token follows from the prompt tokens that are still unread. Each
//! router counts its own and adds what the others last reported.

use std::time::{Duration, Instant};

use hibiscusrail_macros::{record, value};
use rustc_hash::FxHashMap;

use crate::cold::ColdBucket;
use crate::health::Health;
use crate::objects::Backend;
use crate::window::Window;

/// Part of an engine's memory, as a divisor, that holds prefixes beside running requests.
const KEPT_PART: u64 = 2;
/// Window over which the reading of an engine is averaged: several prompts long,
/// and a fraction of the time that a stream takes.
pub const BUSY_WINDOW: Duration = Duration::from_millis(1_000);
/// Weight of the newest observation in the reading rate.
const RATE_WEIGHT: f64 = 0.05;
/// Weight that earlier events keep with each new one: an engine sends some ten
/// events to each router in the time in which its batch changes.
const PACE_KEPT: f64 = 0.9;
/// Age from which a pace says nothing of an engine's present batch.
const PACE_LIFE: Duration = Duration::from_millis(1_000);
/// Reading rate at which an engine is taken to be slow, relative to its data sheet.
const SLOWEST: f64 = 0.1;
/// Prompt parts remembered for each engine; bounds the memory of a router.
const PARTS: usize = 512;
/// Parts from which the oldest are dropped, down to [`PARTS`]: dropping them one
/// by one would search all of them for each new one.
const MOST_PARTS: usize = 2 * PARTS;

/// A part of a prompt that requests may share.
#[value]
pub struct Part {
    /// Identity of the part's content.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a request asks of an engine.
#[record]
#[derive(Default)]
pub struct Prompt {
    /// Prompt tokens.
    pub input: u32,
    /// Tokens to generate, as the caller expects.
    pub output: u32,
    /// The parts of the prompt in order; the last belongs to the request alone.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the tokens that count for a workspace's share: those read once,
    /// those generated twice.
    #[must_use]
    pub fn charge(&self) -> f64 {
        f64::from(self.input) + 2.0 * f64::from(self.output)
    }

    /// Returns the identity of the last part that other requests share.
    #[must_use]
    pub fn shared(&self) -> Option<u64> {
        let at = self.parts.len().checked_sub(2)?;
        self.parts.get(at).map(|p| p.id)
    }

    /// Returns the tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|p| p.tokens).sum()
    }
}

/// Work at a server.
#[value]
#[derive(Default)]
pub struct Load {
    /// Prompt tokens whose reading has not been followed by a first token yet.
    pub unread: u64,
    /// Requests under way.
    pub running: u32,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.unread += other.unread;
        self.running += other.running;
    }

    /// Takes another load off.
    pub fn subtract(&mut self, other: Self) {
        self.unread = self.unread.saturating_sub(other.unread);
        self.running = self.running.saturating_sub(other.running);
    }
}

/// Time that streams took, and for how many tokens.
///
/// The two are summed apart: events that a busy router reads late come
/// together, and then count with all their tokens.
#[derive(Debug, Clone, Copy)]
struct Pace {
    seconds: f64,
    tokens: f64,
    seen: Instant,
}

impl Pace {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.seen) < PACE_LIFE
    }
}

/// One backend server as this router sees it.
#[derive(Debug)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Hash of its id, the same at every router.
    pub hash: u32,
    /// Its newest entry.
    pub backend: Backend,
    /// When it stops being cold.
    pub cold_until: Option<Instant>,
    /// What it receives from here while it is cold.
    pub bucket: ColdBucket,
    /// Whether it answers.
    pub health: Health,
    /// Work sent from here.
    pub own: Load,
    /// Work that the other routers reported.
    pub others: Load,
    /// When its entry lapsed, while that may be the store's fault.
    pub lapsed: Option<Instant>,
    /// Prompt tokens sent from here to be read since this router's start.
    pub sent: u64,
    /// When that last grew.
    pub sent_at: Option<Instant>,
    /// Prompt tokens sent by all routers in the last [`BUSY_WINDOW`].
    reads: Window,
    /// Observed reading rate relative to the data sheet.
    rate: f64,
    /// Time and tokens of streams lately, older ones with less weight.
    pace: Option<Pace>,
    /// Prompt tokens sent by all routers since the record was made.
    total: u64,
    /// Last parts of prefixes that were sent there, each with the total at that time.
    parts: FxHashMap<u64, u64>,
}

impl Server {
    /// Creates the record of a server that was just read.
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
            own: Load::default(),
            others: Load::default(),
            lapsed: None,
            sent: 0,
            sent_at: None,
            reads: Window::new(BUSY_WINDOW),
            rate: 1.0,
            pace: None,
            total: 0,
            parts: FxHashMap::default(),
        }
    }

    /// Returns whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns whether it may receive only what a cold server bears.
    #[must_use]
    pub fn is_limited(&self, now: Instant) -> bool {
        self.is_cold(now) || self.health.is_trial()
    }

    /// Returns all work at the server.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Returns the tokens of a prompt's shared prefix that the server holds.
    ///
    /// Parts that were not used for long yield to what was read since.
    #[must_use]
    pub fn held(&self, prompt: &Prompt, memory: u64) -> u32 {
        let kept = memory / KEPT_PART;
        let mut held = 0;
        let mut prefix = 0;
        for part in &prompt.parts[..prompt.parts.len().saturating_sub(1)] {
            prefix += part.tokens;
            let used = self.parts.get(&part.id);
            if used.is_some_and(|at| self.total.saturating_sub(*at) < kept) {
                held = prefix;
            }
        }
        held
    }

    /// Returns the time in which the server reads `tokens` at `sheet` tokens a millisecond.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn reading_time(&self, tokens: u64, sheet: f64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / (sheet * self.rate) / 1e3)
    }

    /// Notes prompt tokens that another router sent.
    #[allow(clippy::cast_precision_loss)]
    pub fn others_read(&mut self, now: Instant, tokens: u64) {
        self.total += tokens;
        self.reads.add(now, tokens as f64);
    }

    /// Notes prompt tokens that are sent from here.
    pub fn send_read(&mut self, now: Instant, tokens: u32) {
        self.sent += u64::from(tokens);
        self.sent_at = Some(now);
        self.total += u64::from(tokens);
        self.reads.add(now, f64::from(tokens));
    }

    /// Returns the part of its time that an engine spends on reading prompts.
    ///
    /// Streams slow down by the inverse of the rest: an engine that reads all
    /// the time ends no stream.
    #[must_use]
    pub fn reading_share(&self, now: Instant, sheet: f64) -> f64 {
        let capacity = sheet * BUSY_WINDOW.as_secs_f64() * 1e3;
        self.reads.peek(now) / capacity
    }

    /// Notes that the server reads the shared prefix that ends with a part.
    pub fn note_part(&mut self, part: u64) {
        self.parts.insert(part, self.total);
        if self.parts.len() < MOST_PARTS {
            return;
        }
        let mut used: Vec<u64> = self.parts.values().copied().collect();
        let (_, oldest, _) = used.select_nth_unstable(MOST_PARTS - PARTS);
        let oldest = *oldest;
        self.parts.retain(|_, at| *at >= oldest);
    }

    /// Takes in how long `tokens` took to read at `sheet` tokens a millisecond.
    #[allow(clippy::cast_precision_loss)]
    pub fn observe(&mut self, tokens: u64, took: Duration, sheet: f64) {
        let ms = took.as_secs_f64() * 1e3;
        if tokens == 0 || ms <= 0.0 {
            return;
        }
        let seen = (tokens as f64 / ms / sheet).clamp(SLOWEST, 1.0);
        self.rate += RATE_WEIGHT * (seen - self.rate);
    }

    /// Takes in that a stream took `gap` for its next `tokens`.
    pub fn observe_pace(&mut self, now: Instant, gap: Duration, tokens: u32) {
        let before = self.pace.filter(|p| p.is_fresh(now));
        let (seconds, sum) = before.map_or((0.0, 0.0), |p| {
            (p.seconds * PACE_KEPT, p.tokens * PACE_KEPT)
        });
        self.pace = Some(Pace {
            seconds: seconds + gap.as_secs_f64(),
            tokens: sum + f64::from(tokens),
            seen: now,
        });
    }

    /// Returns the time that a stream takes for each token; zero when none was seen lately.
    #[must_use]
    pub fn pace(&self, now: Instant) -> Duration {
        let fresh = self.pace.filter(|p| p.is_fresh(now) && p.tokens > 0.0);
        fresh.map_or(Duration::ZERO, |p| {
            Duration::from_secs_f64(p.seconds / p.tokens)
        })
    }
}
