//! Comparison of a new version's responses with those of the old one.
//!
//! Two cumulative sum tests run on failures and on slow responses, both relative to what the old
//! version's servers of the same zone did at the same time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_macros::id;

use crate::window::decay;

/// Number of buckets of the times to first byte.
pub const BUCKETS: usize = 24;
/// Upper bound of the first bucket; each further one is larger by the square root of two.
const FIRST_BUCKET: Duration = Duration::from_millis(5);
/// Threshold of the test on failures.
const FAILURE_THRESHOLD: f64 = 8.0;
/// Threshold of the test on slow responses, which vary more.
const SLOW_THRESHOLD: f64 = 10.0;
/// Failure rate that is always accepted.
const MIN_FAILURE_RATE: f64 = 0.01;
/// Rate of slow responses that is always accepted.
const MIN_SLOW_RATE: f64 = 0.08;
/// Lowest failure rate that the test looks for.
const BAD_FAILURE_RATE: f64 = 0.08;
/// Lowest rate of slow responses that the test looks for.
const BAD_SLOW_RATE: f64 = 0.25;
/// Factor on the old version's rate that is accepted.
const RATE_MARGIN: f64 = 1.5;
/// Highest rate that can be accepted. Above it the old version's failures are compared with the new
/// one's only by their excess.
const MAX_ACCEPTED_RATE: f64 = 0.6;
/// Time constant by which the old version's responses lose weight.
const RECENT: Duration = Duration::from_secs(2);
/// Responses of the old version in a zone below which those of all zones are used.
const MIN_OLD_RESPONSES: f64 = 8.0;
/// Responses of the old version below which times are not compared.
const MIN_OLD_TIMES: f64 = 20.0;
/// Fraction of the old version's responses that are above the time from which one is slow.
const SLOW_TAIL: f64 = 0.05;
/// Bad responses that stop a rollout on their own: well below 50, from which the bound counts, since
/// reports of other routers arrive late.
const MAX_BAD: f64 = 30.0;
/// Length of a stratum of the test on the excess of failures: the old version has enough responses in
/// it, and the common rate changes little.
const STRATUM: Duration = Duration::from_millis(400);
/// Failures of the new version below which their excess is not tested: the rollback bound counts
/// from the 50th.
const MIN_EXCESS_FAILURES: u64 = 30;
/// Exponent of Bernstein's bound on the chance of a false alarm in one evaluation.
const EXCESS_EXPONENT: f64 = 6.0;
/// Factor on the number of bad responses that the old version's rates explain.
const BAD_FACTOR: f64 = 3.0;

/// Why a version was found to be bad.
#[id]
pub enum Fault {
    /// More of its responses fail than of the old version's.
    Failures,
    /// More of its responses are slow than of the old version's.
    Slow,
    /// It gave too many bad responses in total.
    TooMany,
}

/// Responses of one version; a total or a difference of two.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of responses, including failures.
    pub responses: u64,
    /// Number of failures.
    pub failures: u64,
    /// Number of responses by time to first byte.
    pub times: [u64; BUCKETS],
}

impl Tally {
    /// Counts a response.
    pub fn record(&mut self, failed: bool) {
        self.responses += 1;
        self.failures += u64::from(failed);
    }

    /// Counts a time to first byte.
    pub fn record_time(&mut self, time: Duration) {
        self.times[bucket(time)] += 1;
    }

    /// Returns what was counted since an earlier total.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut times = self.times;
        for (count, before) in times.iter_mut().zip(earlier.times) {
            *count = count.saturating_sub(before);
        }
        Self {
            responses: self.responses.saturating_sub(earlier.responses),
            failures: self.failures.saturating_sub(earlier.failures),
            times,
        }
    }

    /// Returns the fraction of failures; zero with few responses.
    #[allow(clippy::cast_precision_loss)]
    fn failure_rate(&self) -> f64 {
        let responses = self.responses as f64;
        if responses < MIN_OLD_RESPONSES {
            return 0.0;
        }
        self.failures as f64 / responses
    }

    /// Adds another count.
    pub fn add(&mut self, other: &Self) {
        self.responses += other.responses;
        self.failures += other.failures;
        for (count, more) in self.times.iter_mut().zip(other.times) {
            *count += more;
        }
    }
}

/// Returns the bucket of a time to first byte.
fn bucket(time: Duration) -> usize {
    let mut bound = FIRST_BUCKET.as_secs_f64();
    let mut bucket = 0;
    while bucket + 1 < BUCKETS && time.as_secs_f64() > bound {
        bound *= std::f64::consts::SQRT_2;
        bucket += 1;
    }
    bucket
}

/// Recent responses of the old version, weighted by age.
#[derive(Debug, Clone, Default)]
struct Recent {
    responses: f64,
    failures: f64,
    times: [f64; BUCKETS],
}

#[allow(clippy::cast_precision_loss)]
impl Recent {
    fn decay(&mut self, factor: f64) {
        self.responses *= factor;
        self.failures *= factor;
        self.times.iter_mut().for_each(|t| *t *= factor);
    }

    fn add(&mut self, tally: &Tally) {
        self.responses += tally.responses as f64;
        self.failures += tally.failures as f64;
        for (count, more) in self.times.iter_mut().zip(tally.times) {
            *count += more as f64;
        }
    }

    fn merge(&mut self, other: &Self) {
        self.responses += other.responses;
        self.failures += other.failures;
        for (count, more) in self.times.iter_mut().zip(other.times) {
            *count += more;
        }
    }

    fn failure_rate(&self) -> f64 {
        self.failures / self.responses.max(MIN_OLD_RESPONSES)
    }

    /// Returns the bucket from which a response is slow; none with too few responses.
    fn slow_from(&self) -> Option<usize> {
        let total: f64 = self.times.iter().sum();
        if total < MIN_OLD_TIMES {
            return None;
        }
        let mut tail = 0.0;
        let mut is_tail = |count: &f64| {
            tail += count;
            tail <= total * SLOW_TAIL
        };
        let skipped = self.times.iter().rev().take_while(|c| is_tail(c)).count();
        // One more bucket, for differences of caches and hosts.
        Some(BUCKETS - skipped + 1)
    }
}

/// Returns the change of a cumulative sum by `bad` of `count` responses, where `accepted` is the
/// highest rate of bad ones that is accepted and `looked_for` the lowest that is not.
fn log_ratio(bad: f64, count: f64, accepted: f64, looked_for: f64) -> f64 {
    bad * (looked_for / accepted).ln()
        + (count - bad) * ((1.0 - looked_for) / (1.0 - accepted)).ln()
}

/// Returns the accepted rate of bad responses and the one that is looked for.
fn rates(old: f64, least: f64, bad: f64) -> (f64, f64) {
    let accepted = (old * RATE_MARGIN).clamp(least, MAX_ACCEPTED_RATE);
    let looked_for = bad.max(accepted * bad / least).min((1.0 + accepted) / 2.0);
    (accepted, looked_for)
}

/// Excess of the new version's failures over those of the old one at the same time in the same zone:
/// the test of Cochran, Mantel and Haenszel, with one stratum for each zone and [`STRATUM`].
///
/// Each stratum is compared only with itself, so a disruption of both versions adds nothing,
/// however fast the common rate changes.
#[derive(Debug, Default)]
struct Excess {
    sum: f64,
    variance: f64,
}

#[allow(clippy::cast_precision_loss)]
impl Excess {
    /// Adds the responses of a stratum.
    fn add(&mut self, new: &Tally, old: &Tally) {
        let (n, m) = (new.responses as f64, old.responses as f64);
        let total = n + m;
        if n < 1.0 || m < 1.0 {
            return;
        }
        let failed = (new.failures + old.failures) as f64;
        self.sum += new.failures as f64 - n * failed / total;
        let others = total - failed;
        self.variance += n * m * failed * others / (total * total * (total - 1.0));
    }

    /// Returns whether the excess is above what a version that is as good has by chance, by
    /// Bernstein's bound, which also holds for few failures.
    fn is_significant(&self) -> bool {
        let bound = (2.0 * self.variance * EXCESS_EXPONENT).sqrt() + EXCESS_EXPONENT / 3.0;
        self.sum >= bound
    }
}

/// Responses of one zone's servers.
#[derive(Debug, Default)]
struct Zone {
    /// Responses of both versions in the stratum that is being filled.
    stratum: [Tally; 2],
    /// Failure rate of the old version between the last two evaluations, which follows the begin of
    /// a disruption without delay; zero with few responses.
    last_rate: f64,
    /// Responses of the new version since the last evaluation.
    new: Tally,
    /// Responses of the old version since the last evaluation.
    old: Tally,
    recent: Recent,
}

/// State of the comparison.
#[derive(Debug, Default)]
pub struct Verdict {
    zones: BTreeMap<u32, Zone>,
    evaluated_at: Option<Instant>,
    failures: f64,
    slow: f64,
    /// Responses of the new version, and the bad ones among them.
    responses: u64,
    bad: f64,
    /// Bad responses that the old version's rates explain.
    explained: f64,
    excess: Excess,
    /// Failures of the new version.
    failed: u64,
    /// When the strata in progress began.
    stratum_at: Option<Instant>,
    fault: Option<Fault>,
}

impl Verdict {
    /// Adds responses of servers in a zone.
    pub fn add(&mut self, zone: u32, is_new: bool, tally: &Tally) {
        let zone = self.zones.entry(zone).or_default();
        let to = if is_new { &mut zone.new } else { &mut zone.old };
        to.add(tally);
    }

    /// Evaluates the responses that were added since the last time.
    #[allow(clippy::cast_precision_loss)]
    pub fn evaluate(&mut self, now: Instant) -> Option<Fault> {
        let last = self.evaluated_at.replace(now);
        let elapsed = last.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = decay(elapsed, RECENT);
        let mut all = Recent::default();
        for zone in self.zones.values_mut() {
            zone.recent.decay(factor);
            zone.stratum[0].add(&zone.new);
            zone.stratum[1].add(&zone.old);
            zone.last_rate = zone.old.failure_rate();
            zone.recent.add(&std::mem::take(&mut zone.old));
            all.merge(&zone.recent);
        }
        self.close_strata(now);
        let (mut failures, mut slow) = (0.0, 0.0);
        for zone in self.zones.values_mut() {
            let new = std::mem::take(&mut zone.new);
            if new == Tally::default() {
                continue;
            }
            let has_old = zone.recent.responses >= MIN_OLD_RESPONSES;
            let old = if has_old { &zone.recent } else { &all };
            let (responses, failed) = (new.responses as f64, new.failures as f64);
            let old_rate = old.failure_rate().max(zone.last_rate);
            if old_rate * RATE_MARGIN <= MAX_ACCEPTED_RATE {
                let (accepted, looked_for) = rates(old_rate, MIN_FAILURE_RATE, BAD_FAILURE_RATE);
                failures += log_ratio(failed, responses, accepted, looked_for);
            }
            self.responses += new.responses;
            self.bad += failed;
            self.failed += new.failures;
            self.explained += responses * old_rate;
            let has_times = has_old && zone.recent.slow_from().is_some();
            let old = if has_times { &zone.recent } else { &all };
            let Some(from) = old.slow_from() else {
                continue;
            };
            let timed: f64 = new.times.iter().sum::<u64>() as f64;
            let late: f64 = new.times.iter().skip(from).sum::<u64>() as f64;
            let old_late: f64 = old.times.iter().skip(from).sum();
            let old_rate = old_late / old.times.iter().sum::<f64>().max(1.0);
            let (accepted, looked_for) = rates(old_rate, MIN_SLOW_RATE, BAD_SLOW_RATE);
            slow += log_ratio(late, timed, accepted, looked_for);
            self.bad += late;
            self.explained += timed * old_rate.max(SLOW_TAIL);
        }
        self.failures = (self.failures + failures).max(0.0);
        self.slow = (self.slow + slow).max(0.0);
        if self.fault.is_none() {
            self.fault = self.find_fault();
        }
        self.fault
    }

    fn close_strata(&mut self, now: Instant) {
        let began = *self.stratum_at.get_or_insert(now);
        if now.saturating_duration_since(began) < STRATUM {
            return;
        }
        self.stratum_at = Some(now);
        for zone in self.zones.values_mut() {
            let [new, old] = std::mem::take(&mut zone.stratum);
            self.excess.add(&new, &old);
        }
    }

    fn find_fault(&self) -> Option<Fault> {
        let is_excess = || self.failed >= MIN_EXCESS_FAILURES && self.excess.is_significant();
        if self.failures >= FAILURE_THRESHOLD || is_excess() {
            Some(Fault::Failures)
        } else if self.slow >= SLOW_THRESHOLD {
            Some(Fault::Slow)
        } else if self.bad >= MAX_BAD && self.bad > self.explained * BAD_FACTOR {
            Some(Fault::TooMany)
        } else {
            None
        }
    }

    /// Returns the number of the new version's responses that were evaluated.
    #[must_use]
    pub fn responses(&self) -> u64 {
        self.responses
    }

    /// Returns the sums of the tests on failures and slow responses, for the log.
    #[must_use]
    pub fn sums(&self) -> (f64, f64) {
        (self.failures, self.slow)
    }
}
