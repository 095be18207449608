//! Exports CPU time and memory of this process as Prometheus metrics.
//!
//! The process collector of the `prometheus` crate counts CPU time in whole
//! seconds, too coarse to measure what a second of control traffic costs. The
//! daemon has one thread, so the scheduler statistics of that thread, in
//! nanoseconds, give the CPU time of the process.

use std::fs;

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{Counter, Gauge};

/// Nanoseconds per second.
const NANOS_PER_SEC: f64 = 1e9;
/// Bytes per kibibyte, the unit in which the system reports memory.
const BYTES_PER_KIB: f64 = 1024.0;

/// Collector of the process's CPU time and memory.
#[derive(Debug)]
pub struct ProcessMetrics {
    cpu: Counter,
    memory: Gauge,
}

impl Default for ProcessMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl ProcessMetrics {
    /// Creates the collector.
    ///
    /// # Panics
    ///
    /// Never: the metric names are valid.
    #[must_use]
    pub fn new() -> Self {
        let cpu = Counter::new(
            "process_cpu_seconds_total",
            "CPU time of the process in seconds.",
        );
        let memory = Gauge::new(
            "process_resident_memory_bytes",
            "Resident memory of the process in bytes.",
        );
        Self {
            cpu: cpu.expect("the name is valid"),
            memory: memory.expect("the name is valid"),
        }
    }

    fn refresh(&self) {
        if let Some(seconds) = cpu_seconds() {
            self.cpu.inc_by((seconds - self.cpu.get()).max(0.0));
        }
        if let Some(bytes) = resident_bytes() {
            self.memory.set(bytes);
        }
    }
}

impl Collector for ProcessMetrics {
    fn desc(&self) -> Vec<&Desc> {
        let mut descs = self.cpu.desc();
        descs.extend(self.memory.desc());
        descs
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.refresh();
        let mut families = self.cpu.collect();
        families.extend(self.memory.collect());
        families
    }
}

/// Returns the CPU time of the main thread in seconds; none if the system does not report it.
fn cpu_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/schedstat").ok()?;
    let nanos: f64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanos / NANOS_PER_SEC)
}

/// Returns the resident memory in bytes; none if the system does not report it.
fn resident_bytes() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}
