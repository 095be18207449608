//! Rules that hold for every rollout, whatever fails.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::rollout::order::{Bounds, State};

/// Time after which a router that is not disturbed knows a change of the store.
pub(super) const CONTACT: Duration = Duration::from_secs(4);
/// Bad response from which the rollback time runs.
const ROLLBACK_RESPONSE: u64 = 50;

/// Order in force.
#[derive(Debug)]
struct Current {
    version: u64,
    to: String,
    is_bad: bool,
    at: Instant,
    sent: u64,
    sent_new: u64,
    /// Bad responses while the store was stable.
    bad: u64,
    /// When the response came from which the rollback time runs.
    fiftieth: Option<Instant>,
}

/// Counts requests and records states; panics if a rule is broken.
#[derive(Debug)]
pub struct Oracle {
    bounds: Bounds,
    duration: Duration,
    current: Option<Current>,
    /// State of each order by its row's version and the version that is rolled out.
    states: BTreeMap<(u64, String), State>,
    /// Version in service, and since when a version is not allowed any more.
    in_service: String,
    changed: Instant,
}

impl Oracle {
    pub(super) fn new(now: Instant, bounds: Bounds, duration: Duration, in_service: &str) -> Self {
        Self {
            bounds,
            duration,
            current: None,
            states: BTreeMap::new(),
            in_service: in_service.to_owned(),
            changed: now,
        }
    }

    /// Returns the version in service.
    #[must_use]
    pub fn in_service(&self) -> &str {
        &self.in_service
    }

    /// Returns the state of the order in force; none without one.
    #[must_use]
    pub fn state(&self) -> Option<State> {
        let current = self.current.as_ref()?;
        let id = (current.version, current.to.clone());
        self.states.get(&id).copied()
    }

    pub(super) fn record_order(&mut self, now: Instant, version: u64, to: &str, is_bad: bool) {
        self.changed = now;
        self.current = Some(Current {
            version,
            to: to.to_owned(),
            is_bad,
            at: now,
            sent: 0,
            sent_new: 0,
            bad: 0,
            fiftieth: None,
        });
    }

    /// Records that the store was not stable: bad responses are counted anew.
    pub(super) fn store_disturbed(&mut self) {
        if let Some(current) = &mut self.current {
            current.bad = 0;
            current.fiftieth = None;
        }
    }

    /// Records a state that the store accepted.
    pub(super) fn record_state(&mut self, now: Instant, order: u64, to: &str, state: State) {
        let before = self.states.insert((order, to.to_owned()), state);
        assert!(
            before.is_none_or(|b| !b.is_final() || b == state),
            "order {order} to {to}: {state:?} after {before:?}"
        );
        let current = self.current.as_ref().map(|c| (c.version, c.to.as_str()));
        assert_eq!(current, Some((order, to)), "state of another order");
        self.changed = now;
        if state == State::Completed {
            to.clone_into(&mut self.in_service);
        }
    }

    /// Records a request that reaches a server; `in_touch` says whether its router was disturbed by
    /// nothing within [`CONTACT`].
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn record_sent(&mut self, now: Instant, version: &str, in_touch: bool) {
        let state = self.state();
        let is_settled = now.saturating_duration_since(self.changed) > CONTACT;
        let is_in_service = version == self.in_service;
        let Some(current) = &mut self.current else {
            assert!(is_in_service, "{version} without an order");
            return;
        };
        let is_new = version == current.to;
        if in_touch && is_settled && !is_in_service {
            let is_allowed = is_new && state != Some(State::Reverted);
            assert!(
                is_allowed,
                "{version} is not allowed: {current:?} {state:?}"
            );
        }
        let age = now.saturating_duration_since(current.at);
        let is_bounded = current.is_bad || state != Some(State::Completed);
        if age <= self.duration && is_bounded {
            current.sent += 1;
            current.sent_new += u64::from(is_new && (current.is_bad || !is_in_service));
            let bound = current.sent as f64 * self.bounds.share + self.bounds.slack;
            assert!(current.sent_new as f64 <= bound, "exposure: {current:?}");
        }
        let late = current.fiftieth.map(|at| at + self.bounds.rollback);
        if is_new && in_touch && current.is_bad && late.is_some_and(|late| now > late) {
            panic!("sent after the rollback time: {current:?} {state:?}");
        }
    }

    /// Records a bad response of a version to a router that is not cut off.
    pub(super) fn record_bad(&mut self, now: Instant, version: &str) {
        let Some(current) = self.current.as_mut().filter(|c| c.to == version) else {
            return;
        };
        current.bad += 1;
        if current.bad == ROLLBACK_RESPONSE {
            current.fiftieth = Some(now);
        }
    }
}
