//! Model of one server's speed, learned from its responses.
//!
//! Each figure is estimated from this router's own observations and from those that other routers
//! report, and starts at the configured value: without observations the model is the configured
//! one. The momentary slowdown that a server reports multiplies the learned times while it is
//! fresh. A server's model ends with its life, since [`Server`](crate::engine::Server) is created
//! anew then.

use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};
use prost::Message;

/// Number of observations that the configured value counts for.
const PRIOR_COUNT: f64 = 2.0;
/// Maximum number of observations that count, so that a lasting change is followed.
const MAX_COUNT: f64 = 20.0;
/// Time after which observations count half.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Maximum effect of one observation, as a logarithm, while few are known.
const MAX_FIRST_STEP: f64 = 0.7;
/// Maximum effect of one observation, as a logarithm. A prompt that the server has cached without
/// this router's knowledge seems to be prefilled ten times as fast.
const MAX_STEP: f64 = 0.3;
/// Number of observations from which [`MAX_STEP`] applies.
const FIRST_COUNT: f64 = 4.0;
/// Range of a learned figure relative to the configured one.
const MAX_RATIO: f64 = 8.0;
/// Range of the service time, for which no figure is configured.
const MAX_SERVICE_RATIO: f64 = 500.0;
/// Age from which a reported slowdown says nothing: a slow period lasts some 600 ms.
const SLOWDOWN_TTL: Duration = Duration::from_millis(300);
/// Range of the slowdown that is used, so that a wrong figure neither attracts all requests nor
/// excludes a server.
const SLOWDOWN_RANGE: (f64, f64) = (0.8, 10.0);
/// Slowdown up to which observations count; above it they tell about the slow period.
const MAX_LEARNED_SLOWDOWN: f64 = 1.25;
/// Slowdown from which other routers are told; below it they assume none.
const MIN_REPORTED_SLOWDOWN: f64 = 1.1;
/// Minimum prompt tokens of an observation; below it, the round trip outweighs the prefill.
const MIN_TOKENS: u64 = 400;
/// Minimum fraction of the counted tokens that are the request's own. The others' may have been
/// prefilled already, as other routers report late.
const MIN_OWN_FRACTION: f64 = 0.5;
/// Tokens that count as one observation of the token time: about one event of a stream.
const EVENT_TOKENS: f64 = 8.0;
/// Factor by which earlier token times lose weight with each new one: some hundred events count.
const TOKEN_DECAY: f64 = 0.99;
/// Maximum token time relative to the configured one; a longer one is an interruption.
const MAX_TOKEN_RATIO: f64 = 5.0;
/// Variance of the batch, in requests squared, at which the observed growth counts half.
const GROWTH_VARIANCE: f64 = 16.0;
/// Service time of a plain request that is assumed until one is observed.
const PLAIN_TIME: Duration = Duration::from_millis(20);

/// Whether learned models and paces are used.
#[id]
#[derive(Default)]
pub enum Learn {
    /// For services of which a server has reported its momentary slowdown.
    #[default]
    Auto,
    /// For all services.
    On,
    /// For none; the configured speed applies.
    Off,
}

/// Load that a server reports in a response.
#[value]
pub struct LoadStatus {
    /// Requests in progress.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests processed at once.
    pub slots: u32,
    /// Momentary duration of work relative to the usual one; none if the server does not report it.
    pub slowdown: Option<f64>,
}

/// Configured speed of a service's servers.
#[value]
pub struct Nominal {
    /// Prefill rate of an idle engine in tokens per millisecond.
    pub read_rate: f64,
    /// Time per output token at an idle engine.
    pub step_time: Duration,
    /// Increase of the time per output token for each running request.
    pub step_each: Duration,
}

/// A learned value with the weight of what is behind it.
#[value]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// Weight of the observations, from 0 to 1; the rest is the configured value's.
    pub confidence: f64,
    /// Time since the newest observation; none without one.
    pub age: Option<Duration>,
}

/// Robust moving average of a positive figure.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    /// Logarithm of the average.
    log: f64,
    count: f64,
    at: Option<Instant>,
}

impl Average {
    fn age(&self, now: Instant) -> Option<Duration> {
        self.at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the number of observations that still count.
    fn count(&self, now: Instant) -> f64 {
        let age = self.age(now).unwrap_or_default();
        self.count * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Adds observations of `value`, where `nominal` is the configured one.
    fn observe(&mut self, now: Instant, value: f64, weight: f64, (nominal, ratio): (f64, f64)) {
        if !(value.is_finite() && value > 0.0 && weight > 0.0 && nominal > 0.0) {
            return;
        }
        let count = self.count(now);
        let limit = if count < FIRST_COUNT {
            MAX_FIRST_STEP
        } else {
            MAX_STEP
        };
        let nominal = nominal.ln();
        let before = if count > 0.0 { self.log } else { nominal };
        let step = (value.ln() - before).clamp(-limit, limit);
        let range = ratio.ln();
        let log = before + step * weight / (count + weight);
        self.log = log.clamp(nominal - range, nominal + range);
        self.count = (count + weight).min(MAX_COUNT);
        self.at = self.at.max(Some(now));
    }
}

/// A figure from this router's own observations and from those of others.
#[derive(Debug, Clone, Copy, Default)]
struct Figure {
    own: Average,
    peers: Average,
}

impl Figure {
    fn estimate(&self, now: Instant, nominal: f64) -> Estimate {
        let (own, peers) = (self.own.count(now), self.peers.count(now));
        let total = own + peers + PRIOR_COUNT;
        let sum = own * self.own.log + peers * self.peers.log + PRIOR_COUNT * nominal.ln();
        let ages = [self.own.age(now), self.peers.age(now)];
        Estimate {
            value: (sum / total).exp(),
            confidence: (own + peers) / total,
            age: ages.into_iter().flatten().min(),
        }
    }
}

/// Decayed sums for a linear fit of the time per output token over the batch.
#[derive(Debug, Clone, Copy, Default)]
struct TokenFit {
    weight: f64,
    batch: f64,
    batch_squared: f64,
    /// Time in microseconds.
    time: f64,
    time_batch: f64,
}

impl TokenFit {
    fn add(&mut self, weight: f64, batch: f64, time: f64) {
        let sums = [
            (&mut self.weight, 1.0),
            (&mut self.batch, batch),
            (&mut self.batch_squared, batch * batch),
            (&mut self.time, time),
            (&mut self.time_batch, time * batch),
        ];
        for (sum, value) in sums {
            *sum = *sum * TOKEN_DECAY + weight * value;
        }
    }

    /// Returns the time at an empty batch and its growth with each request, in microseconds.
    ///
    /// While the batch has hardly varied, the growth is the configured share of the time.
    fn line(&self, nominal: &Nominal) -> Option<(f64, f64)> {
        if self.weight <= 0.0 {
            return None;
        }
        let (batch, time) = (self.batch / self.weight, self.time / self.weight);
        let variance = (self.batch_squared / self.weight - batch * batch).max(0.0);
        let covariance = self.time_batch / self.weight - time * batch;
        let (base, each) = (micros(nominal.step_time), micros(nominal.step_each));
        let scaled = each * time / (base + each * batch).max(1.0);
        let growth = (covariance + GROWTH_VARIANCE * scaled) / (variance + GROWTH_VARIANCE);
        let growth = growth.clamp(0.0, time / batch.max(1.0));
        Some((time - growth * batch, growth))
    }
}

/// Momentary slowdown that a server reported.
#[value]
struct Slowdown {
    factor: f64,
    at: Instant,
    /// Whether this router received the response.
    own: bool,
}

/// Learned figures of a server, for reports. A value of zero is not known.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LearnedSpeed {
    /// Hash of the server's id.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Low bits of the server's start time, which tell its lives apart.
    #[prost(fixed32, tag = "2")]
    pub life: u32,
    /// Prefill rate in tokens per second.
    #[prost(uint32, tag = "3")]
    pub prefill: u32,
    /// Time per output token at an empty batch, in microseconds.
    #[prost(uint32, tag = "4")]
    pub step_time: u32,
    /// Growth of the time per output token with each request, in nanoseconds.
    #[prost(uint32, tag = "5")]
    pub step_each: u32,
    /// Service time of a plain request in microseconds.
    #[prost(uint32, tag = "6")]
    pub service_time: u32,
    /// Number of observations of the sender.
    #[prost(uint32, tag = "7")]
    pub count: u32,
    /// Milliseconds since the sender's newest observation.
    #[prost(uint32, tag = "8")]
    pub age: u32,
}

/// Momentary slowdown that a server reported to the sender.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlowdownNotice {
    /// Hash of the server's id.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Duration of work in percent of the usual one.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
    /// Milliseconds since the response was received.
    #[prost(uint32, tag = "3")]
    pub age: u32,
}

/// Learned speed of one server.
#[derive(Debug, Clone, Default)]
pub struct Model {
    /// Prefill rate in tokens per millisecond.
    prefill: Figure,
    /// Time per output token at an empty batch, in microseconds.
    step_time: Figure,
    /// Growth of the time per output token with each request, in microseconds.
    step_each: Figure,
    /// Service time of a plain request in microseconds.
    service: Figure,
    tokens: TokenFit,
    slowdown: Option<Slowdown>,
    /// Whether a figure of this server was rejected, so that further ones are not logged.
    rejected: bool,
}

impl Model {
    /// Records the load that a response received at `now` reports.
    pub fn record_status(&mut self, now: Instant, status: LoadStatus) {
        if let Some(factor) = status.slowdown {
            self.set_slowdown(now, factor, true);
        }
    }

    /// Records that a response reports an invalid load; returns whether it is the first.
    pub fn reject_status(&mut self) -> bool {
        !std::mem::replace(&mut self.rejected, true)
    }

    fn set_slowdown(&mut self, at: Instant, factor: f64, own: bool) {
        if self.slowdown.is_none_or(|s| at >= s.at) {
            let (low, high) = SLOWDOWN_RANGE;
            let factor = factor.clamp(low, high);
            self.slowdown = Some(Slowdown { factor, at, own });
        }
    }

    /// Returns the momentary slowdown; 1 if none is known.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        let fresh = |s: &Slowdown| now.saturating_duration_since(s.at) < SLOWDOWN_TTL;
        self.slowdown.filter(fresh).map_or(1.0, |s| s.factor)
    }

    /// Returns the factor by which an observed time exceeds the usual one; none if the server is in
    /// a slow period, whose times are not learned.
    fn learned_slowdown(&self, now: Instant) -> Option<f64> {
        let slowdown = self.slowdown(now);
        (slowdown <= MAX_LEARNED_SLOWDOWN).then_some(slowdown)
    }

    /// Records that the first token came after `took`, in which `tokens` were prefilled, `own` of
    /// them those of the request.
    #[allow(clippy::cast_precision_loss)]
    pub fn observe_prefill(
        &mut self,
        now: Instant,
        tokens: u64,
        own: u64,
        took: Duration,
        nominal: &Nominal,
    ) {
        let Some(slowdown) = self.learned_slowdown(now) else {
            return;
        };
        if own < MIN_TOKENS || (own as f64) < tokens as f64 * MIN_OWN_FRACTION || took.is_zero() {
            return;
        }
        let rate = tokens as f64 / (took.as_secs_f64() * 1e3) * slowdown;
        self.prefill
            .own
            .observe(now, rate, 1.0, (nominal.read_rate, MAX_RATIO));
    }

    /// Records that a stream received `tokens` after `gap`, while the server processed `running`
    /// requests and spent `prefill_fraction` of its time on prefill.
    pub fn observe_tokens(
        &mut self,
        now: Instant,
        gap: Duration,
        tokens: u32,
        running: u32,
        prefill_fraction: f64,
        nominal: &Nominal,
    ) {
        let Some(slowdown) = self.learned_slowdown(now) else {
            return;
        };
        if tokens == 0 {
            return;
        }
        let batch = f64::from(running);
        let decoding = (1.0 - prefill_fraction).clamp(0.1, 1.0);
        let time = micros(gap) / f64::from(tokens) * decoding / slowdown;
        let (base, each) = (micros(nominal.step_time), micros(nominal.step_each));
        let time = time.min((base + each * batch) * MAX_TOKEN_RATIO);
        self.tokens.add(f64::from(tokens), batch, time);
        let Some((at_rest, growth)) = self.tokens.line(nominal) else {
            return;
        };
        let weight = f64::from(tokens) / EVENT_TOKENS;
        let weight = weight.min(1.0);
        self.step_time
            .own
            .observe(now, at_rest, weight, (base, MAX_RATIO));
        self.step_each
            .own
            .observe(now, growth, weight, (each, MAX_RATIO));
    }

    /// Records that the server answered a plain request after `took`, with `running` requests in
    /// progress on `slots` slots.
    pub fn observe_service(&mut self, now: Instant, took: Duration, running: u32, slots: u32) {
        let Some(slowdown) = self.learned_slowdown(now) else {
            return;
        };
        let rounds = (f64::from(running) / f64::from(slots.max(1))).max(1.0);
        let time = micros(took) / rounds / slowdown;
        self.service
            .own
            .observe(now, time, 1.0, (micros(PLAIN_TIME), MAX_SERVICE_RATIO));
    }

    /// Returns the learned prefill rate in tokens per millisecond, without the momentary slowdown.
    #[must_use]
    pub fn prefill_rate(&self, now: Instant, nominal: &Nominal) -> Estimate {
        self.prefill.estimate(now, nominal.read_rate)
    }

    /// Returns the present prefill time of `tokens`.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn prefill_time(&self, now: Instant, tokens: u64, nominal: &Nominal) -> Duration {
        let rate = self.prefill_rate(now, nominal).value;
        Duration::from_secs_f64(tokens as f64 / rate / 1e3 * self.slowdown(now))
    }

    /// Returns the time per output token with `running` requests, without the momentary slowdown.
    #[must_use]
    pub fn token_time(&self, now: Instant, running: u32, nominal: &Nominal) -> Estimate {
        let base = self.step_time.estimate(now, micros(nominal.step_time));
        let each = self.step_each.estimate(now, micros(nominal.step_each));
        Estimate {
            value: base.value + each.value * f64::from(running),
            ..base
        }
    }

    /// Returns the present time per output token with `running` requests, given the fraction of
    /// time spent on prefill.
    #[must_use]
    pub fn token_interval(
        &self,
        now: Instant,
        running: u32,
        prefill_fraction: f64,
        nominal: &Nominal,
    ) -> Duration {
        let time = self.token_time(now, running, nominal).value * self.slowdown(now);
        let decoding = (1.0 - prefill_fraction).max(0.1);
        Duration::from_secs_f64(time / decoding / 1e6)
    }

    /// Returns the service time of a plain request in microseconds, without the momentary slowdown.
    #[must_use]
    pub fn service_time(&self, now: Instant) -> Estimate {
        self.service.estimate(now, micros(PLAIN_TIME))
    }

    /// Returns the present service time of a plain request.
    #[must_use]
    pub fn plain_time(&self, now: Instant) -> Duration {
        Duration::from_secs_f64(self.service_time(now).value * self.slowdown(now) / 1e6)
    }

    /// Returns this router's own figures for a report; none without observations that count.
    #[must_use]
    pub fn learned(&self, now: Instant, server: u32, life: u32) -> Option<LearnedSpeed> {
        let own = [&self.prefill, &self.step_time, &self.service].map(|f| f.own);
        let count = own.iter().map(|a| a.count(now)).fold(0.0, f64::max);
        let age = own.iter().filter_map(|a| a.age(now)).min()?;
        let value = |a: Average, factor: f64| {
            if a.at.is_some() {
                a.log.exp() * factor
            } else {
                0.0
            }
        };
        let [prefill, step_time, service] = own;
        (count >= 1.0).then(|| LearnedSpeed {
            server,
            life,
            prefill: whole(value(prefill, 1e3)),
            step_time: whole(value(step_time, 1.0)),
            step_each: whole(value(self.step_each.own, 1e3)),
            service_time: whole(value(service, 1.0)),
            count: whole(count),
            age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Takes up the figures that another router observed.
    pub fn merge(&mut self, now: Instant, learned: &LearnedSpeed, nominal: &Nominal) {
        let age = f64::from(learned.age) / 1e3;
        let count = f64::from(learned.count).min(MAX_COUNT);
        let weight = count * (-age / HALF_LIFE.as_secs_f64()).exp2();
        let figures = [
            (
                &mut self.prefill,
                learned.prefill,
                1e3,
                nominal.read_rate,
                MAX_RATIO,
            ),
            (
                &mut self.step_time,
                learned.step_time,
                1.0,
                micros(nominal.step_time),
                MAX_RATIO,
            ),
            (
                &mut self.step_each,
                learned.step_each,
                1e3,
                micros(nominal.step_each),
                MAX_RATIO,
            ),
            (
                &mut self.service,
                learned.service_time,
                1.0,
                micros(PLAIN_TIME),
                MAX_SERVICE_RATIO,
            ),
        ];
        for (figure, value, scale, nominal, ratio) in figures {
            let value = f64::from(value) / scale;
            let range = (nominal, ratio);
            figure.peers.observe_report(now, value, weight, range);
        }
    }

    /// Takes up the slowdown that a server reported to another router.
    pub fn merge_slowdown(&mut self, at: Instant, percent: u32) {
        if percent > 0 {
            self.set_slowdown(at, f64::from(percent) / 100.0, false);
        }
    }

    /// Returns the slowdown that the server reported to this router, if others have to know it.
    #[must_use]
    pub fn slowdown_notice(&self, now: Instant, server: u32) -> Option<SlowdownNotice> {
        let slowdown = self.slowdown.filter(|s| s.own)?;
        let age = now.saturating_duration_since(slowdown.at);
        let is_news = age < SLOWDOWN_TTL && slowdown.factor >= MIN_REPORTED_SLOWDOWN;
        is_news.then(|| SlowdownNotice {
            server,
            percent: whole(slowdown.factor * 100.0),
            age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }
}

impl Average {
    /// Adds an average that another router reports, which is no single observation: its effect is
    /// limited by its weight alone.
    fn observe_report(
        &mut self,
        now: Instant,
        value: f64,
        weight: f64,
        (nominal, ratio): (f64, f64),
    ) {
        if value <= 0.0 || weight <= 0.0 || nominal <= 0.0 {
            return;
        }
        let count = self.count(now);
        let range = ratio.ln();
        let log = value.ln().clamp(nominal.ln() - range, nominal.ln() + range);
        let before = if count > 0.0 { self.log } else { log };
        self.log = before + (log - before) * weight / (count + weight);
        self.count = (count + weight).min(MAX_COUNT);
        self.at = self.at.max(Some(now));
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(value: f64) -> u32 {
    value.round() as u32
}
