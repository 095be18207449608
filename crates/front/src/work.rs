//! Counts what the event loop works on and how late it is.
//!
//! A router that is short of processor time shows by these counts which work fills its loop. They
//! cost two readings of the clock for each event.

use std::cell::Cell;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::rotation::LoopUse;
use hibiscusrail_net::event_loop::Used;
use hibiscusrail_net::server::AcceptTotals;

use crate::shell::{NextStep, millis};

/// Lag from which a second of the loop's work is logged: a quarter of 120 ms, the shortest bound on
/// forwarding an event.
const LOGGED_LAG: Duration = Duration::from_millis(30);
/// Minimum time between two log lines about the loop's work.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Kind of work of the event loop.
#[hibiscusrail_macros::id]
pub enum Kind {
    /// A request was refused by the reducer.
    Refusal,
    /// A request was sent to a server.
    Start,
    /// A stream went on, or an attempt ended.
    Stream,
    /// Another router's report was applied.
    Report,
    /// The store answered, or a call to it failed.
    Store,
    /// Timers and measurements.
    Other,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Refusal,
        Self::Start,
        Self::Stream,
        Self::Report,
        Self::Store,
        Self::Other,
    ];

    /// Returns the label of the metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Refusal => "refusal",
            Self::Start => "start",
            Self::Stream => "stream",
            Self::Report => "report",
            Self::Store => "store",
            Self::Other => "other",
        }
    }

    /// Returns the kind of an event, as far as it is known before the reducer decides.
    #[must_use]
    pub fn of(event: &Event) -> Self {
        match event {
            Event::Submit(_) | Event::SubmitAdmitted(_) => Self::Start,
            Event::FirstByte(_)
            | Event::Served(_)
            | Event::StreamProgress { .. }
            | Event::Ended(..)
            | Event::Stalled(_)
            | Event::Replaced(_)
            | Event::Resumed { .. }
            | Event::ServerChecked(..)
            | Event::ServerLeaving(_)
            | Event::ServerRate(..)
            | Event::ServerThrottled(..)
            | Event::ServerStatus(..)
            | Event::ServerStatusRejected(..) => Self::Stream,
            Event::Report(_) => Self::Report,
            Event::Config(..)
            | Event::Servers(..)
            | Event::StoreAnswered
            | Event::StoreFailed
            | Event::ServersUnchanged
            | Event::ConfigConfirmed(_)
            | Event::ServersConfirmed(_)
            | Event::Members(_)
            | Event::Versions(..)
            | Event::VersionsSaved(_)
            | Event::RolloutStatus { .. } => Self::Store,
            Event::LoopLag(_) | Event::LoopUse(_) | Event::Tick | Event::Stopping => Self::Other,
        }
    }

    /// Returns the kind of an event after the decision on it.
    #[must_use]
    pub fn with_step(self, step: Option<&NextStep>) -> Self {
        match step {
            Some(NextStep::Fail(_)) => Self::Refusal,
            Some(NextStep::Send(_)) => Self::Start,
            None => self,
        }
    }
}

/// Amount of one kind of work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Amount {
    /// Number of events.
    pub count: u64,
    /// Time in the reducer and for carrying out its decisions; the bytes around them are not in it.
    pub time: Duration,
    /// Sum of the loop's lag, as last measured, when each event was handled.
    pub late: Duration,
}

/// Work of the event loop since the start, and in the current second.
#[derive(Debug)]
pub struct Work {
    amounts: Cell<[Amount; Kind::ALL.len()]>,
    lag: Cell<Duration>,
    max_lag: Cell<Duration>,
    logged: Cell<Logged>,
}

/// Time that the event loop used, and what it accepted, since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoopTotals {
    /// Time used by the event loop.
    pub used: Used,
    /// Connections of callers.
    pub accepted: AcceptTotals,
}

impl LoopTotals {
    /// Returns the time for control work and that for requests.
    fn split(self) -> (Duration, Duration) {
        let requests = self.used.total() - self.used.urgent;
        let accepting = self.accepted.time.min(requests);
        (self.used.urgent + accepting, requests - accepting)
    }
}

/// Measures the event loop's use between two observations.
#[derive(Debug)]
pub struct UseMeter {
    at: Instant,
    /// Time used for control work and for requests until then.
    used: (Duration, Duration),
}

impl UseMeter {
    /// Creates a meter for a loop that begins now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            at: now,
            used: (Duration::ZERO, Duration::ZERO),
        }
    }

    /// Returns the use since the last call.
    pub fn take(&mut self, now: Instant, totals: LoopTotals) -> LoopUse {
        let elapsed = now.saturating_duration_since(std::mem::replace(&mut self.at, now));
        let used = totals.split();
        let before = std::mem::replace(&mut self.used, used);
        if elapsed.is_zero() {
            return LoopUse::default();
        }
        let part = |used: Duration, before: Duration| {
            let time = used.saturating_sub(before);
            time.div_duration_f64(elapsed).min(1.0)
        };
        LoopUse {
            control: part(used.0, before.0),
            requests: part(used.1, before.1),
        }
    }
}

/// State at the last log line.
#[derive(Debug, Clone, Copy)]
struct Logged {
    at: Instant,
    amounts: [Amount; Kind::ALL.len()],
    totals: LoopTotals,
}

impl Work {
    /// Creates counts of zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let amounts = [Amount::default(); Kind::ALL.len()];
        Self {
            amounts: Cell::new(amounts),
            lag: Cell::default(),
            max_lag: Cell::default(),
            logged: Cell::new(Logged {
                at: now,
                amounts,
                totals: LoopTotals::default(),
            }),
        }
    }

    /// Counts an event that took `time`.
    pub fn add(&self, kind: Kind, time: Duration) {
        let mut amounts = self.amounts.get();
        let amount = &mut amounts[kind as usize];
        amount.count += 1;
        amount.time += time;
        amount.late += self.lag.get();
        self.amounts.set(amounts);
    }

    /// Returns the amounts since the start.
    #[must_use]
    pub fn amounts(&self) -> [(Kind, Amount); Kind::ALL.len()] {
        let amounts = self.amounts.get();
        Kind::ALL.map(|kind| (kind, amounts[kind as usize]))
    }

    /// Records the loop's lag; logs the work of the last second if the lag was high in it.
    pub fn set_lag(&self, now: Instant, lag: Duration, totals: LoopTotals) {
        self.lag.set(lag);
        self.max_lag.set(self.max_lag.get().max(lag));
        let before = self.logged.get();
        let elapsed = now.saturating_duration_since(before.at);
        if elapsed < LOG_INTERVAL {
            return;
        }
        let amounts = self.amounts.get();
        self.logged.set(Logged {
            at: now,
            amounts,
            totals,
        });
        let max_lag = self.max_lag.take();
        if max_lag < LOGGED_LAG {
            return;
        }
        let count = |kind: Kind| amounts[kind as usize].count - before.amounts[kind as usize].count;
        let time =
            |kind: Kind| millis(amounts[kind as usize].time - before.amounts[kind as usize].time);
        let (used, used_before) = (totals.used, before.totals.used);
        let (accepted, accepted_before) = (totals.accepted, before.totals.accepted);
        log::warn!(
            over_ms = millis(elapsed),
            late_ms = millis(max_lag),
            urgent_ms = millis(used.urgent - used_before.urgent),
            tasks_ms = millis(used.tasks - used_before.tasks),
            polling_ms = millis(used.polling - used_before.polling),
            accepted = accepted.served - accepted_before.served,
            closed = accepted.refused - accepted_before.refused,
            full_batches = accepted.full_batches - accepted_before.full_batches,
            accept_ms = millis(accepted.time - accepted_before.time),
            refusals = count(Kind::Refusal),
            refusal_ms = time(Kind::Refusal),
            starts = count(Kind::Start),
            start_ms = time(Kind::Start),
            streams = count(Kind::Stream),
            stream_ms = time(Kind::Stream),
            reports = count(Kind::Report),
            report_ms = time(Kind::Report),
            store = count(Kind::Store),
            store_ms = time(Kind::Store);
            "loop_late"
        );
    }
}
