//! Reads a router's metrics in the Prometheus text format.

use std::collections::BTreeMap;

use hibiscusrail_macros::record;

/// One sample of a metric.
#[record]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Labels by name.
    pub labels: BTreeMap<String, String>,
    /// Value of the sample.
    pub value: f64,
}

/// All samples of one router at one time.
#[record]
#[derive(Default)]
pub struct Metrics(pub Vec<Sample>);

impl Metrics {
    /// Parses the text format; lines that are not samples are skipped.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        Self(text.lines().filter_map(parse_line).collect())
    }

    /// Returns the samples of a metric.
    pub fn samples<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Sample> {
        self.0.iter().filter(move |s| s.name == name)
    }

    /// Returns the sum of a metric over all its labels.
    #[must_use]
    pub fn sum(&self, name: &str) -> f64 {
        self.samples(name).map(|s| s.value).sum()
    }

    /// Returns the sums of a metric by the value of one label.
    #[must_use]
    pub fn sums_by_label(&self, name: &str, label: &str) -> BTreeMap<String, f64> {
        let mut sums_by_label = BTreeMap::new();
        for sample in self.samples(name) {
            let key = sample.labels.get(label).cloned().unwrap_or_default();
            *sums_by_label.entry(key).or_default() += sample.value;
        }
        sums_by_label
    }
}

fn parse_line(line: &str) -> Option<Sample> {
    if line.starts_with('#') {
        return None;
    }
    let (head, value) = line.rsplit_once(' ')?;
    let (name, labels) = match head.split_once('{') {
        Some((name, rest)) => (name, parse_labels(rest.strip_suffix('}')?)),
        None => (head, BTreeMap::new()),
    };
    Some(Sample {
        name: name.to_owned(),
        labels,
        value: value.parse().ok()?,
    })
}

/// Parses `a="x",b="y"`; label values must not contain quotes.
fn parse_labels(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split("\",").filter_map(|p| p.split_once("=\""));
    pairs
        .map(|(name, value)| (name.to_owned(), value.trim_end_matches('"').to_owned()))
        .collect()
}
