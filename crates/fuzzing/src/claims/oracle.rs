//! What must hold: the set of runs per call and per key.

use std::collections::BTreeMap;

use hibiscusrail_core::claim::Stored;
use hibiscusrail_core::effect::Execution;
use hibiscusrail_core::{CallId, Incarnation};
use hibiscusrail_macros::{id, record};

/// A call at one run of one router.
#[id]
pub struct CallRef {
    /// Index of the router.
    pub router: usize,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The call.
    pub call: CallId,
}

/// How often a call may run.
#[record]
pub enum Kind {
    /// Again and again.
    Idempotent,
    /// Once.
    Once,
    /// Once for all calls with the key.
    Keyed(String),
}

/// What became of one call.
#[derive(Debug)]
struct Record {
    kind: Kind,
    runs: u32,
    told: Option<Execution>,
    finals: u32,
}

/// Everything that ran and everything that callers were told.
#[derive(Debug, Default)]
pub struct Oracle {
    calls: BTreeMap<CallRef, Record>,
    keys: BTreeMap<String, u32>,
}

impl Oracle {
    /// Notes a call of a caller.
    pub fn submit(&mut self, call: CallRef, kind: Kind) {
        let record = Record {
            kind,
            runs: 0,
            told: None,
            finals: 0,
        };
        self.calls.insert(call, record);
    }

    /// Returns the body that a run for `key` answers with.
    #[must_use]
    pub fn body(key: &str) -> Vec<u8> {
        key.as_bytes().to_vec()
    }

    /// Returns how often a key ran.
    #[must_use]
    pub fn runs(&self, key: &str) -> u32 {
        self.keys.get(key).copied().unwrap_or(0)
    }

    /// Notes that a server runs a call.
    ///
    /// # Panics
    ///
    /// When it must not run.
    pub fn run(&mut self, call: CallRef) {
        let record = self.calls.get_mut(&call).expect("the call was submitted");
        record.runs += 1;
        assert_ne!(
            record.told,
            Some(Execution::NotRun),
            "{call:?} runs after its caller was told that it does not"
        );
        match &record.kind {
            Kind::Idempotent => {}
            Kind::Once => assert_eq!(record.runs, 1, "{call:?} ran twice"),
            Kind::Keyed(key) => {
                let runs = self.keys.entry(key.clone()).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "key {key} ran twice");
            }
        }
    }

    /// Notes a refusal.
    ///
    /// # Panics
    ///
    /// When it is not true, or not the first final answer.
    pub fn refuse(&mut self, call: CallRef, execution: Execution) {
        let record = self.end(call);
        record.told = Some(execution);
        let runs = record.runs;
        let key = match &record.kind {
            Kind::Keyed(key) => Some(key.clone()),
            Kind::Idempotent | Kind::Once => None,
        };
        match execution {
            Execution::NotRun => assert_eq!(runs, 0, "{call:?} ran and is said not to have"),
            Execution::AlreadyRun => {
                let key = key.expect("only keyed calls are already run");
                assert_eq!(self.runs(&key), 1, "key {key} did not run");
            }
            Execution::Failed | Execution::Unknown => {}
        }
    }

    /// Notes that a caller received a kept answer.
    ///
    /// # Panics
    ///
    /// When it is not the answer of the key's run.
    pub fn replay(&mut self, call: CallRef, stored: &Stored) {
        let record = self.end(call);
        let Kind::Keyed(key) = record.kind.clone() else {
            panic!("{call:?} has no key and received a kept answer");
        };
        assert_eq!(self.runs(&key), 1, "key {key} did not run");
        assert_eq!(stored.body, Self::body(&key), "the answer of another key");
    }

    /// Notes that a caller received its whole answer.
    ///
    /// # Panics
    ///
    /// When the call did not run, or was answered before.
    pub fn finish(&mut self, call: CallRef) {
        let record = self.end(call);
        assert!(record.runs > 0, "{call:?} was answered and did not run");
    }

    fn end(&mut self, call: CallRef) -> &mut Record {
        let record = self.calls.get_mut(&call).expect("the call was submitted");
        record.finals += 1;
        assert_eq!(record.finals, 1, "{call:?} received two final answers");
        record
    }

    /// Returns the calls of live routers that were never answered.
    #[must_use]
    pub fn unanswered(&self, is_live: impl Fn(&CallRef) -> bool) -> Vec<CallRef> {
        self.calls
            .iter()
            .filter(|(call, r)| r.finals == 0 && is_live(call))
            .map(|(call, _)| *call)
            .collect()
    }
}
