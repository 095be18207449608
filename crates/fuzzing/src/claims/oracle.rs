//! Records and checks executions per call and per key, and the answers to callers.

use std::collections::BTreeMap;

use hibiscusrail_core::claim::Stored;
use hibiscusrail_core::effect::Execution;
use hibiscusrail_core::{CallId, Incarnation};
use hibiscusrail_macros::{id, record};

/// Identifies a call within one incarnation of one router.
#[id]
pub struct CallRef {
    /// Index of the router.
    pub router: usize,
    /// Incarnation of the router's process.
    pub incarnation: Incarnation,
    /// Identifier of the call, unique within the incarnation.
    pub call: CallId,
}

/// How often a call may be executed.
#[record]
pub enum RunLimit {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// At most once among all calls with this key.
    Keyed(String),
}

#[derive(Debug)]
struct CallRecord {
    limit: RunLimit,
    runs: u32,
    /// Execution status in the refusal that the caller received.
    reported: Option<Execution>,
    /// Number of final answers: refusals, stored answers and complete answers.
    answers: u32,
}

/// All executions by servers and all final answers to callers.
#[derive(Debug, Default)]
pub struct Oracle {
    calls: BTreeMap<CallRef, CallRecord>,
    key_runs: BTreeMap<String, u32>,
}

impl Oracle {
    /// Records a call that a caller submits.
    pub fn record_submit(&mut self, call: CallRef, limit: RunLimit) {
        let record = CallRecord {
            limit,
            runs: 0,
            reported: None,
            answers: 0,
        };
        self.calls.insert(call, record);
    }

    /// Returns the response body that servers produce for `key`.
    #[must_use]
    pub fn expected_body(key: &str) -> Vec<u8> {
        key.as_bytes().to_vec()
    }

    /// Returns how often calls with `key` were executed.
    #[must_use]
    pub fn key_runs(&self, key: &str) -> u32 {
        self.key_runs.get(key).copied().unwrap_or(0)
    }

    /// Records that a server executes a call.
    ///
    /// # Panics
    ///
    /// Panics if the call was executed too often, or was reported to its caller as not executed.
    pub fn record_run(&mut self, call: CallRef) {
        let record = self.calls.get_mut(&call).expect("the call was submitted");
        record.runs += 1;
        assert_ne!(
            record.reported,
            Some(Execution::NotRun),
            "{call:?} runs after its caller was told that it does not"
        );
        match &record.limit {
            RunLimit::Idempotent => {}
            RunLimit::Once => assert_eq!(record.runs, 1, "{call:?} was executed twice"),
            RunLimit::Keyed(key) => {
                let runs = self.key_runs.entry(key.clone()).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "key {key} was executed twice");
            }
        }
    }

    /// Records a refusal of a call and the execution status reported with it.
    ///
    /// # Panics
    ///
    /// Panics if the execution status is wrong, or if the call already had a final answer.
    pub fn record_refusal(&mut self, call: CallRef, execution: Execution) {
        let record = self.record_final(call);
        record.reported = Some(execution);
        let runs = record.runs;
        let key = match &record.limit {
            RunLimit::Keyed(key) => Some(key.clone()),
            RunLimit::Idempotent | RunLimit::Once => None,
        };
        match execution {
            Execution::NotRun => assert_eq!(runs, 0, "{call:?} ran but was reported as not run"),
            Execution::AlreadyRun => {
                let key = key.expect("only keyed calls are refused as already executed");
                assert_eq!(self.key_runs(&key), 1, "key {key} did not run");
            }
            Execution::Failed | Execution::Unknown => {}
        }
    }

    /// Records that a caller received the stored answer of an earlier call with the same key.
    ///
    /// # Panics
    ///
    /// Panics if the call has no key, if `stored` is not the answer to its key, or if the call
    /// already had a final answer.
    pub fn record_replay(&mut self, call: CallRef, stored: &Stored) {
        let record = self.record_final(call);
        let RunLimit::Keyed(key) = record.limit.clone() else {
            panic!("{call:?} has no key but received a stored answer");
        };
        assert_eq!(self.key_runs(&key), 1, "key {key} did not run");
        assert_eq!(
            stored.body,
            Self::expected_body(&key),
            "{call:?} received the answer of another key"
        );
    }

    /// Records that a caller received a complete answer.
    ///
    /// # Panics
    ///
    /// Panics if the call was not executed, or already had a final answer.
    pub fn record_finish(&mut self, call: CallRef) {
        let record = self.record_final(call);
        assert!(record.runs > 0, "{call:?} was answered but not executed");
    }

    fn record_final(&mut self, call: CallRef) -> &mut CallRecord {
        let record = self.calls.get_mut(&call).expect("the call was submitted");
        record.answers += 1;
        assert_eq!(record.answers, 1, "{call:?} received two final answers");
        record
    }

    /// Returns the calls without a final answer for which `is_live` holds.
    #[must_use]
    pub fn unanswered(&self, is_live: impl Fn(&CallRef) -> bool) -> Vec<CallRef> {
        self.calls
            .iter()
            .filter(|(call, r)| r.answers == 0 && is_live(call))
            .map(|(call, _)| *call)
            .collect()
    }
}
