//! Service that each workspace received over time, from the servers' records.

use std::collections::BTreeMap;

use hibiscusrail_standin::runs::Run;

use super::lab::ServerRuns;

/// Time between two samples, in milliseconds.
pub const SAMPLE_MS: u64 = 250;

/// Cumulative service of each workspace, sampled from a start time on.
#[derive(Debug)]
pub struct ServiceSeries {
    start_ms: u64,
    samples: usize,
    /// Tokens generated between the sample before and this one.
    added: BTreeMap<String, Vec<f64>>,
}

impl ServiceSeries {
    /// Samples the model engines' records between two times of day.
    ///
    /// Within a run, tokens count as generated evenly from the first to the end.
    #[must_use]
    pub fn new(servers: &[ServerRuns], start_ms: u64, end_ms: u64) -> Self {
        let span = end_ms.saturating_sub(start_ms) / SAMPLE_MS;
        let samples = usize::try_from(span).unwrap_or(usize::MAX);
        let mut series = Self {
            start_ms,
            samples,
            added: BTreeMap::new(),
        };
        for server in servers.iter().filter(|s| s.server.model) {
            for run in &server.runs {
                series.add(run, end_ms);
            }
        }
        series
    }

    #[allow(clippy::cast_precision_loss)]
    fn add(&mut self, run: &Run, now_ms: u64) {
        let Some(first) = run.first_ms else {
            return;
        };
        let end = run.end_ms.unwrap_or(now_ms).max(first + 1);
        let rate = run.work as f64 / (end - first) as f64;
        let added = self
            .added
            .entry(run.workspace.clone())
            .or_insert_with(|| vec![0.0; self.samples]);
        let sample = |ms: u64| ms.saturating_sub(self.start_ms) / SAMPLE_MS;
        for number in sample(first)..=sample(end - 1) {
            let Some(slot) = usize::try_from(number).ok().and_then(|i| added.get_mut(i)) else {
                return;
            };
            let from = (self.start_ms + number * SAMPLE_MS).max(first);
            let to = (self.start_ms + (number + 1) * SAMPLE_MS).min(end);
            *slot += rate * to.saturating_sub(from) as f64;
        }
    }

    /// Returns the number of samples.
    #[must_use]
    pub fn len(&self) -> usize {
        self.samples
    }

    /// Returns whether there are no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples == 0
    }

    /// Returns the seconds from the start to the end of a sample.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn seconds(sample: usize) -> f64 {
        (sample as f64 + 1.0) * SAMPLE_MS as f64 / 1_000.0
    }

    /// Returns the cumulative service of a workspace.
    #[must_use]
    pub fn cumulative(&self, workspace: &str) -> Vec<f64> {
        let added = self.added.get(workspace);
        let mut sum = 0.0;
        let mut out = Vec::with_capacity(self.samples);
        for i in 0..self.samples {
            sum += added.map_or(0.0, |a| a[i]);
            out.push(sum);
        }
        out
    }

    /// Returns the service of a workspace within a range of samples.
    #[must_use]
    pub fn within(&self, workspace: &str, samples: std::ops::Range<usize>) -> f64 {
        self.added
            .get(workspace)
            .map_or(0.0, |a| a[samples].iter().sum())
    }

    /// Returns the service of all workspaces within a range of samples.
    #[must_use]
    pub fn total(&self, samples: std::ops::Range<usize>) -> f64 {
        let all = self.added.values();
        all.map(|a| a[samples.clone()].iter().sum::<f64>()).sum()
    }
}

/// Slot-seconds used and bearable at model engines between two times of day.
///
/// What an engine bears follows from the work that it has completed.
#[must_use]
pub fn slots(servers: &[ServerRuns], from_ms: u64, to_ms: u64) -> (f64, f64) {
    let mut sum = (0.0, 0.0);
    for server in servers.iter().filter(|s| s.server.model) {
        let used = server.runs.iter().map(|r| overlap(r, from_ms, to_ms));
        sum.0 += used.sum::<f64>();
        sum.1 += bearable(server, from_ms, to_ms);
    }
    sum
}

/// Returns the seconds of a run within a range.
#[allow(clippy::cast_precision_loss)]
fn overlap(run: &Run, from_ms: u64, to_ms: u64) -> f64 {
    let end = run.end_ms.unwrap_or(to_ms).min(to_ms);
    end.saturating_sub(run.start_ms.max(from_ms)) as f64 / 1_000.0
}

/// Returns the slot-seconds that an engine could bear within a range.
#[allow(clippy::cast_precision_loss)]
fn bearable(server: &ServerRuns, from_ms: u64, to_ms: u64) -> f64 {
    let (cold, warm) = (server.server.cold, server.server.warm);
    let complete = server.runs.iter().filter(|r| r.complete);
    let mut ends: Vec<u64> = complete.filter_map(|r| r.end_ms).collect();
    ends.sort_unstable();
    let mut sum = 0.0;
    let mut at = from_ms;
    for (done, end) in (0_u32..).zip(ends.iter().chain([&to_ms])) {
        let end = (*end).clamp(at, to_ms);
        let limit = cold + (warm - cold) * done.min(warm) / warm.max(1);
        sum += f64::from(limit) * (end - at) as f64 / 1_000.0;
        at = end;
    }
    sum
}
