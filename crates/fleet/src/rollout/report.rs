//! Part of a router's report about a rollout.

use prost::Message;

use super::order::State;
use super::verdict::{BUCKETS, Tally};

/// Responses of a version's servers in one zone to the sender, since its start.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ZoneEvidence {
    /// Hash of the servers' zone.
    #[prost(fixed32, tag = "1")]
    pub zone: u32,
    /// Whether the servers have the version that is rolled out.
    #[prost(bool, tag = "2")]
    pub is_new: bool,
    /// Number of responses.
    #[prost(uint64, tag = "3")]
    pub responses: u64,
    /// Number of failures among them.
    #[prost(uint64, tag = "4")]
    pub failures: u64,
    /// Number of responses by time to first byte.
    #[prost(uint64, repeated, tag = "5")]
    pub times: Vec<u64>,
}

/// State of a rollout at the sender.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutReport {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Version of the order's row.
    #[prost(uint64, tag = "2")]
    pub order: u64,
    /// Hash of the version that is rolled out.
    #[prost(fixed32, tag = "3")]
    pub to: u32,
    /// Milliseconds since the order was first known, as far as the sender knows.
    #[prost(uint64, tag = "4")]
    pub age: u64,
    /// State that the store records: 0 none, 1 in progress, 2 completed, 3 reverted.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// Whether the sender's evidence stopped the new version.
    #[prost(bool, tag = "6")]
    pub stopped: bool,
    /// Responses that the sender received.
    #[prost(message, repeated, tag = "7")]
    pub evidence: Vec<ZoneEvidence>,
}

impl ZoneEvidence {
    /// Creates the evidence of one zone and version.
    #[must_use]
    pub fn new(zone: u32, is_new: bool, tally: &Tally) -> Self {
        Self {
            zone,
            is_new,
            responses: tally.responses,
            failures: tally.failures,
            times: tally.times.to_vec(),
        }
    }

    /// Returns the counts.
    #[must_use]
    pub fn tally(&self) -> Tally {
        let mut times = [0; BUCKETS];
        for (count, reported) in times.iter_mut().zip(&self.times) {
            *count = *reported;
        }
        Tally {
            responses: self.responses,
            failures: self.failures,
            times,
        }
    }
}

/// Returns the number of a recorded state in a report.
#[must_use]
pub fn encode_state(state: Option<State>) -> u32 {
    match state {
        None => 0,
        Some(State::InProgress) => 1,
        Some(State::Completed) => 2,
        Some(State::Reverted) => 3,
    }
}

/// Returns the recorded state of a report; none without one, or with an unknown one.
#[must_use]
pub fn decode_state(number: u32) -> Option<State> {
    match number {
        1 => Some(State::InProgress),
        2 => Some(State::Completed),
        3 => Some(State::Reverted),
        _ => None,
    }
}
