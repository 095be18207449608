//! Sums up what came back.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client::{Ending, Received};

/// Summary of a load.
#[derive(Debug)]
pub struct Report {
    endings: BTreeMap<Ending, u64>,
    codes: BTreeMap<String, u64>,
    first_byte: Histogram<u64>,
    total: Histogram<u64>,
}

impl Report {
    /// Sums up `received`.
    ///
    /// # Panics
    ///
    /// Never: the histograms grow as needed.
    #[must_use]
    pub fn new(received: &[Received]) -> Self {
        let empty = || Histogram::new(3).expect("three digits are allowed");
        let mut report = Self {
            endings: BTreeMap::new(),
            codes: BTreeMap::new(),
            first_byte: empty(),
            total: empty(),
        };
        for r in received {
            *report.endings.entry(r.ending).or_default() += 1;
            if !r.code.is_empty() {
                *report.codes.entry(r.code.clone()).or_default() += 1;
            }
            if r.ending == Ending::Right {
                record(&mut report.first_byte, r.first_byte);
                record(&mut report.total, r.total);
            }
        }
        report
    }

    /// Returns the requests that ended in `ending`.
    #[must_use]
    pub fn count(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }
}

/// Records microseconds.
fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram
        .record(micros)
        .expect("a histogram that resizes takes every value");
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (ending, count) in &self.endings {
            writeln!(f, "{ending:?}: {count}")?;
        }
        for (code, count) in &self.codes {
            writeln!(f, "  code {code}: {count}")?;
        }
        for (name, histogram) in [("first byte", &self.first_byte), ("total", &self.total)] {
            writeln!(
                f,
                "{name}: p50 {} us, p95 {} us, p99 {} us, max {} us",
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.95),
                histogram.value_at_quantile(0.99),
                histogram.max()
            )?;
        }
        Ok(())
    }
}
