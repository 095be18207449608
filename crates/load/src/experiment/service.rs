//! Computes the service of each workspace over time from the servers' records of runs.
//!
//! The service of a workspace is the number of tokens generated for it.

use std::collections::BTreeMap;

use hibiscusrail_standin::runs::Run;

use super::lab::ServerRuns;

/// Interval between two samples, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 250;

/// Service of each workspace, sampled at equal intervals from a start time on.
#[derive(Debug)]
pub struct ServiceSeries {
    start_ms: u64,
    samples: usize,
    /// Tokens generated in each interval, by workspace.
    increments: BTreeMap<String, Vec<f64>>,
}

impl ServiceSeries {
    /// Samples the engines' records between two times, in milliseconds since the epoch.
    ///
    /// The tokens of a run count as generated evenly from its first token to its end.
    #[must_use]
    pub fn new(servers: &[ServerRuns], start_ms: u64, end_ms: u64) -> Self {
        let span = end_ms.saturating_sub(start_ms) / SAMPLE_INTERVAL_MS;
        let samples = usize::try_from(span).unwrap_or(usize::MAX);
        let mut series = Self {
            start_ms,
            samples,
            increments: BTreeMap::new(),
        };
        for server in servers.iter().filter(|s| s.server.is_model) {
            for run in &server.runs {
                series.add(run, end_ms);
            }
        }
        series
    }

    /// Adds the tokens of a run; a run that has not ended counts until `now_ms`.
    #[allow(clippy::cast_precision_loss)]
    fn add(&mut self, run: &Run, now_ms: u64) {
        let Some(first) = run.first_output_ms else {
            return;
        };
        let end = run.end_ms.unwrap_or(now_ms).max(first + 1);
        let rate = run.output_tokens as f64 / (end - first) as f64;
        let increments = self
            .increments
            .entry(run.workspace.clone())
            .or_insert_with(|| vec![0.0; self.samples]);
        let sample = |ms: u64| ms.saturating_sub(self.start_ms) / SAMPLE_INTERVAL_MS;
        for number in sample(first)..=sample(end - 1) {
            let Some(increment) = usize::try_from(number)
                .ok()
                .and_then(|i| increments.get_mut(i))
            else {
                return;
            };
            let from = (self.start_ms + number * SAMPLE_INTERVAL_MS).max(first);
            let to = (self.start_ms + (number + 1) * SAMPLE_INTERVAL_MS).min(end);
            *increment += rate * to.saturating_sub(from) as f64;
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

    /// Returns the time from the start of the series to the end of a sample, in seconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn end_s(sample: usize) -> f64 {
        (sample as f64 + 1.0) * SAMPLE_INTERVAL_MS as f64 / 1_000.0
    }

    /// Returns the cumulative service of a workspace at each sample.
    #[must_use]
    pub fn cumulative(&self, workspace: &str) -> Vec<f64> {
        let increments = self.increments.get(workspace);
        let mut sum = 0.0;
        let mut out = Vec::with_capacity(self.samples);
        for i in 0..self.samples {
            sum += increments.map_or(0.0, |a| a[i]);
            out.push(sum);
        }
        out
    }

    /// Returns the service of a workspace within a range of samples.
    #[must_use]
    pub fn workspace_total(&self, workspace: &str, samples: std::ops::Range<usize>) -> f64 {
        self.increments
            .get(workspace)
            .map_or(0.0, |a| a[samples].iter().sum())
    }

    /// Returns the service of all workspaces within a range of samples.
    #[must_use]
    pub fn total(&self, samples: std::ops::Range<usize>) -> f64 {
        let all = self.increments.values();
        all.map(|a| a[samples.clone()].iter().sum::<f64>()).sum()
    }
}

/// Returns the slot-seconds used and available at engines between two times in epoch milliseconds.
///
/// An engine's limit grows from cold to warm with the number of requests that it has completed.
#[must_use]
pub fn slot_seconds(servers: &[ServerRuns], from_ms: u64, to_ms: u64) -> (f64, f64) {
    let mut sum = (0.0, 0.0);
    for server in servers.iter().filter(|s| s.server.is_model) {
        let used = server.runs.iter().map(|r| overlap_s(r, from_ms, to_ms));
        sum.0 += used.sum::<f64>();
        sum.1 += available_s(server, from_ms, to_ms);
    }
    sum
}

/// Returns the time of a run between `from_ms` and `to_ms`, in seconds.
#[allow(clippy::cast_precision_loss)]
fn overlap_s(run: &Run, from_ms: u64, to_ms: u64) -> f64 {
    let end = run.end_ms.unwrap_or(to_ms).min(to_ms);
    end.saturating_sub(run.start_ms.max(from_ms)) as f64 / 1_000.0
}

/// Returns the slot-seconds that an engine had available between `from_ms` and `to_ms`.
#[allow(clippy::cast_precision_loss)]
fn available_s(server: &ServerRuns, from_ms: u64, to_ms: u64) -> f64 {
    let (cold, warm) = (server.server.cold_limit, server.server.warm_limit);
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
