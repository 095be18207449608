//! Simulated server, and the limits that its dispatchers had for it.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hibiscusrail_core::AttemptKey;
use hibiscusrail_core::event::LoadReport;

/// Time for which a replaced limit still counts, as requests dispatched under it arrive later.
const LIMIT_TTL: Duration = Duration::from_millis(2_500);
const MAX_REPORTS: usize = 8;

/// A request that runs at a server.
#[derive(Debug, Clone)]
pub struct Run {
    /// Index of the router that sent it.
    pub node: usize,
    /// Generation of the router that sent it.
    pub generation: u32,
    /// Attempt of the router.
    pub attempt: AttemptKey,
    /// Index of the workspace.
    pub workspace: usize,
    /// Time at which it started.
    pub started: Instant,
    /// Time that it takes; its cost is one unit per millisecond.
    pub duration: Duration,
    /// Largest recent limit of any dispatcher when it arrived; see [`SlotServer::recent_limit`].
    pub limit: u32,
}

impl Run {
    /// Returns the cost so far, in cost units.
    #[must_use]
    pub fn cost(&self, now: Instant) -> f64 {
        let time = now.duration_since(self.started).min(self.duration);
        time.as_secs_f64() * 1_000.0
    }
}

/// A simulated server.
#[derive(Debug)]
pub struct SlotServer {
    /// Number of concurrent requests that it can run when cold.
    pub cold_limit: u32,
    /// Number of concurrent requests that it can run when warm.
    pub max_limit: u32,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Number of requests completed since it was last cold.
    pub completed: u32,
    /// Running requests, by their number in the fleet.
    pub runs: BTreeMap<u64, Run>,
    /// Limits that dispatchers had, each with the time at which it replaced the previous one.
    limits: VecDeque<(Instant, u32)>,
    /// Last load reports, oldest first.
    reports: VecDeque<LoadReport>,
}

impl SlotServer {
    /// Creates a cold server.
    #[must_use]
    pub fn new(cold_limit: u32, max_limit: u32) -> Self {
        Self {
            cold_limit,
            max_limit,
            incarnation: 1,
            completed: 0,
            runs: BTreeMap::new(),
            limits: VecDeque::new(),
            reports: VecDeque::new(),
        }
    }

    /// Returns the number of concurrent requests that it can run now.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.max_limit.min(self.cold_limit + self.completed)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// Records a dispatcher's current limit for this server, and drops expired limits.
    pub fn record_limit(&mut self, now: Instant, limit: u32) {
        if self.limits.back().is_none_or(|(_, l)| *l != limit) {
            self.limits.push_back((now, limit));
        }
        while self
            .limits
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) > LIMIT_TTL)
        {
            self.limits.pop_front();
        }
    }

    /// Returns the largest limit that has not expired.
    #[must_use]
    pub fn recent_limit(&self) -> u32 {
        self.limits.iter().map(|(_, l)| *l).max().unwrap_or(0)
    }

    /// Returns the largest limit under which any running request was dispatched.
    #[must_use]
    pub fn run_limit(&self) -> u32 {
        self.runs.values().map(|r| r.limit).max().unwrap_or(0)
    }

    /// Records the current load; returns the report from two calls before, as reports are delayed.
    pub fn report(&mut self) -> Option<LoadReport> {
        self.reports.push_back(LoadReport {
            incarnation: self.incarnation,
            running: self.running(),
            waiting: 0,
        });
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        let lag = 2;
        self.reports.iter().rev().nth(lag).copied()
    }
}
