//! A stand-in server: it counts the requests that it runs.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hibiscusrail_core::AttemptKey;
use hibiscusrail_core::event::LoadReport;

/// How long a limit that a dispatcher had still explains a request's arrival.
const LIMIT_MEMORY: Duration = Duration::from_millis(2_500);
/// Load reports that are kept.
const REPORTS: usize = 8;

/// A request at a server.
#[derive(Debug, Clone)]
pub struct Run {
    /// The router that sent it, and the number of its run.
    pub node: usize,
    /// Which start of the router sent it.
    pub life: u32,
    /// The router's attempt.
    pub attempt: AttemptKey,
    /// The workspace.
    pub workspace: usize,
    /// When it began.
    pub started: Instant,
    /// How long it takes; its cost is one unit per millisecond.
    pub length: Duration,
    /// Largest limit that any dispatcher had when it arrived.
    pub limit: u32,
}

impl Run {
    /// Returns the cost so far, in cost units.
    #[must_use]
    pub fn cost(&self, now: Instant) -> f64 {
        let time = now.duration_since(self.started).min(self.length);
        time.as_secs_f64() * 1_000.0
    }
}

/// A server.
#[derive(Debug)]
pub struct SlotServer {
    /// Requests it bears when cold.
    pub cold: u32,
    /// Requests it bears when warm.
    pub max: u32,
    /// Start of its process.
    pub incarnation: u64,
    /// Requests completed since it was last cold.
    pub completed: u32,
    /// The requests it runs.
    pub runs: BTreeMap<u64, Run>,
    limits: VecDeque<(Instant, u32)>,
    reports: VecDeque<LoadReport>,
}

impl SlotServer {
    /// Creates a cold server.
    #[must_use]
    pub fn new(cold: u32, max: u32) -> Self {
        Self {
            cold,
            max,
            incarnation: 1,
            completed: 0,
            runs: BTreeMap::new(),
            limits: VecDeque::new(),
            reports: VecDeque::new(),
        }
    }

    /// Returns the requests that it bears now.
    #[must_use]
    pub fn bearable(&self) -> u32 {
        self.max.min(self.cold + self.completed)
    }

    /// Returns the requests that it runs.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// Notes the largest limit that any dispatcher now has for it.
    pub fn note_limit(&mut self, now: Instant, limit: u32) {
        if self.limits.back().is_none_or(|(_, l)| *l != limit) {
            self.limits.push_back((now, limit));
        }
        while self
            .limits
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) > LIMIT_MEMORY)
        {
            self.limits.pop_front();
        }
    }

    /// Returns the largest limit of late.
    #[must_use]
    pub fn late_limit(&self) -> u32 {
        self.limits.iter().map(|(_, l)| *l).max().unwrap_or(0)
    }

    /// Returns the most requests that the limits of its requests allow.
    #[must_use]
    pub fn ceiling(&self) -> u32 {
        self.runs.values().map(|r| r.limit).max().unwrap_or(0)
    }

    /// Measures the load; returns the report that is due, which lags.
    pub fn report(&mut self) -> Option<LoadReport> {
        self.reports.push_back(LoadReport {
            incarnation: self.incarnation,
            running: self.running(),
            waiting: 0,
        });
        if self.reports.len() > REPORTS {
            self.reports.pop_front();
        }
        let lag = 2;
        self.reports.iter().rev().nth(lag).copied()
    }
}
