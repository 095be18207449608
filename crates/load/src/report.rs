//! Summarises the results of a load, as text and as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use hibiscusrail_macros::{id, record};
use serde::Serialize;

use crate::client::{CallerResult, Ending, Kind};

/// Summary of the results of a load.
#[record]
#[derive(Serialize)]
pub struct Report {
    /// Number of requests with a result.
    pub requests: u64,
    /// Number of requests by ending.
    pub endings: BTreeMap<Ending, u64>,
    /// Number of requests by refusal code.
    pub codes: BTreeMap<String, u64>,
    /// Times of the right answers by kind of request.
    pub times: BTreeMap<Kind, Times>,
}

/// Times of one kind of request, in microseconds.
#[record]
#[derive(Serialize)]
pub struct Times {
    /// Time to the first byte of the answer.
    pub first_byte: Quantiles,
    /// Time to the end of the answer.
    pub total: Quantiles,
}

/// Quantiles in microseconds.
#[id]
#[derive(Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

impl Quantiles {
    /// Computes the quantiles of `times`.
    ///
    /// # Panics
    ///
    /// Never: the histogram grows as needed.
    #[must_use]
    pub fn new(times: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram
                .record(micros)
                .expect("a histogram that resizes takes every value");
        }
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}

impl Report {
    /// Summarises `received`.
    #[must_use]
    pub fn new(received: &[CallerResult]) -> Self {
        let mut report = Self {
            requests: received.len() as u64,
            endings: BTreeMap::new(),
            codes: BTreeMap::new(),
            times: BTreeMap::new(),
        };
        for r in received {
            *report.endings.entry(r.ending).or_default() += 1;
            if !r.code.is_empty() {
                *report.codes.entry(r.code.clone()).or_default() += 1;
            }
        }
        for kind in [Kind::Draft, Kind::Lookup, Kind::Write] {
            let right = |r: &&CallerResult| r.kind == kind && r.ending == Ending::Right;
            let right = || received.iter().filter(right);
            let times = Times {
                first_byte: Quantiles::new(right().map(|r| r.first_byte)),
                total: Quantiles::new(right().map(|r| r.total)),
            };
            if times.total.count > 0 {
                report.times.insert(kind, times);
            }
        }
        report
    }

    /// Returns the number of requests that ended in `ending`.
    #[must_use]
    pub fn count(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |us: u64| Duration::from_micros(us).as_secs_f64() * 1_000.0;
        write!(
            f,
            "p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            millis(self.p50),
            millis(self.p95),
            millis(self.p99),
            millis(self.max)
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests: {}", self.requests)?;
        for (ending, count) in &self.endings {
            writeln!(f, "  {ending:?}: {count}")?;
        }
        for (code, count) in &self.codes {
            writeln!(f, "  code {code}: {count}")?;
        }
        for (kind, times) in &self.times {
            writeln!(f, "{kind:?}: {} right", times.total.count)?;
            writeln!(f, "  first byte: {}", times.first_byte)?;
            writeln!(f, "  total: {}", times.total)?;
        }
        Ok(())
    }
}
