//! Limits on the load of a server for accepting a request.
//!
//! They fall as a workspace exceeds its fair share, so that admissions settle at equal shares.

use std::time::{Duration, Instant};

use hibiscusrail_macros::value;

use crate::event::{Inputs, Submission};
use crate::quota::ShareStatus;

/// Fraction of the time to the target in which a request within its share has to start.
const WITHIN_TIME_FRACTION: f64 = 0.7;
/// Fraction of the time to the target in which a request over its share has to start, unless its
/// workspace has received less than others.
const BEYOND_TIME_FRACTION: f64 = 0.3;
/// Fraction of the allowed time that a prompt may wait whose own prefill exceeds that time.
const LONG_PROMPT_WAIT_FRACTION: f64 = 0.3;
/// Fraction of an engine's time spent on prefill up to which requests within their share are
/// admitted: streams take up to seven times as long as on an idle engine, and still end in time.
const MAX_PREFILL_WITHIN: f64 = 0.85;
/// Prefill limit for requests over their share: streams take twice as long.
const MAX_PREFILL_BEYOND: f64 = 0.55;
/// Prefill limit for requests over their share at engines that do not have their shared prefix.
const MAX_PREFILL_UNCACHED: f64 = 0.3;
/// Time per output token up to which requests within their share are admitted; the longest answers,
/// of about a thousand tokens, then end in ten seconds.
const MAX_INTERVAL_WITHIN: Duration = Duration::from_millis(11);
/// Limit of the time per output token for requests over their share.
const MAX_INTERVAL_BEYOND: Duration = Duration::from_millis(8);
/// Fraction of an engine's slots in use up to which requests within their share are admitted. It is
/// below 1 because routers learn of each other's requests late, and a request without a slot waits
/// until a stream ends.
const MAX_SLOTS_WITHIN: f64 = 0.9;
/// Slot limit for requests over their share, before the factor of the workspace's excess.
const MAX_SLOTS_BEYOND: f64 = 0.75;
/// Upper bound of the slot limit over the share, which workspaces that received least reach.
const MAX_SLOTS_LEAST_SERVED: f64 = 0.85;
/// Prefill limit for requests over their share at engines that are none of the first homes of their
/// shared prefix.
const MAX_PREFILL_SPILL: f64 = 0.03;
/// Shortfall, in even shares, from which a workspace over its guaranteed share has received far
/// less than others, so that limits which hold others back do not apply to it.
const FULL_DEFICIT: f64 = 0.4;
/// Decrease of the limits for each even share that a workspace is over.
const EXCESS_WEIGHT: f64 = 0.5;
/// Lower bound of the factor on the limits: earlier use does not hold back a workspace alone.
const MIN_LIMIT_FACTOR: f64 = 0.4;
/// Upper bound of the factor on the limits, for a workspace that has received nothing.
const MAX_LIMIT_FACTOR: f64 = 1.25;

/// Excess up to which all requests of a workspace are considered.
const FREE_EXCESS: f64 = 1.05;
/// Excess from which only so many even shares of its requests are. Of two workspaces that ask for more
/// than there is, one then gets at most five thirds of the other's tokens, however many more requests it
/// sends.
const MAX_EXCESS: f64 = 1.25;

/// Limits that a server is over.
#[value]
#[derive(Default)]
pub(super) struct Exceeded {
    pub(super) prefill: bool,
    pub(super) interval: bool,
    pub(super) occupancy: bool,
}

impl Exceeded {
    /// Returns whether the server is over any limit.
    pub(super) fn any(self) -> bool {
        self.prefill || self.interval || self.occupancy
    }
}

/// Returns the limits that a server is over; within all of them it can prefill more without slowing
/// its streams too much.
///
/// `cached` says whether it has the prompt's shared prefix or can transfer it.
pub(super) fn exceeded(inputs: &Inputs, cached: bool, share: ShareStatus) -> Exceeded {
    let (max_prefill, max_interval, max_slots) = match share {
        ShareStatus::Within => (MAX_PREFILL_WITHIN, MAX_INTERVAL_WITHIN, MAX_SLOTS_WITHIN),
        ShareStatus::Beyond { excess } => {
            let factor = limit_factor(excess);
            let max_prefill = if cached {
                MAX_PREFILL_BEYOND
            } else {
                max_uncached_prefill(excess)
            };
            (
                max_prefill * factor,
                MAX_INTERVAL_BEYOND.mul_f64(factor),
                (MAX_SLOTS_BEYOND * factor).min(MAX_SLOTS_LEAST_SERVED),
            )
        }
    };
    Exceeded {
        prefill: inputs.prefill_fraction > max_prefill,
        interval: inputs.token_interval > max_interval,
        occupancy: inputs.slots_used > max_slots,
    }
}

/// Returns whether servers are considered for all requests of a workspace, however many it sends.
pub(super) fn considers_all(share: ShareStatus) -> bool {
    match share {
        ShareStatus::Within => true,
        ShareStatus::Beyond { excess } => excess <= FREE_EXCESS,
    }
}

/// Returns the fraction of a workspace's new requests for which servers are considered.
///
/// The limits on the servers' load alone don't keep a workspace to its share: one that sends many times the
/// requests of others takes most of what becomes free, as each router finds it a moment too early. What a
/// workspace received before others came must not keep it from an even share now, so of the
/// `requested_shares` even shares that it asks for [`MAX_EXCESS`] are always considered.
pub(super) fn considered_fraction(share: ShareStatus, requested_shares: f64) -> f64 {
    match share {
        ShareStatus::Within => 1.0,
        ShareStatus::Beyond { excess } => {
            let fraction = (MAX_EXCESS - excess) / (MAX_EXCESS - FREE_EXCESS);
            fraction.max(MAX_EXCESS / requested_shares).clamp(0.0, 1.0)
        }
    }
}

/// Returns whether a request may use an engine that is none of the first homes of its prefix.
///
/// Each further copy of a prefix evicts others, so over the share only engines that are nearly idle
/// take one, unless the workspace has received far less than others.
pub(super) fn may_spill(inputs: &Inputs, share: ShareStatus) -> bool {
    match share {
        ShareStatus::Within => true,
        ShareStatus::Beyond { excess } => {
            deficit(excess) >= 1.0 || inputs.prefill_fraction <= MAX_PREFILL_SPILL
        }
    }
}

/// Returns whether a request starts in time.
///
/// A prompt whose prefill alone takes longer than allowed would always be refused, so it may start
/// wherever it hardly waits for other requests.
pub(super) fn starts_in_time(first_byte: Duration, wait: Duration, allowed: Duration) -> bool {
    first_byte <= allowed || wait <= allowed.mul_f64(LONG_PROMPT_WAIT_FRACTION)
}

/// Returns the time within which a request has to start.
pub(super) fn start_allowance(
    now: Instant,
    submission: &Submission,
    was_admitted: bool,
    share: ShareStatus,
) -> Duration {
    if was_admitted {
        // A late answer is worth more to the caller than none; after part of a stream, any server
        // that can resume it will do.
        return submission.deadline.saturating_duration_since(now);
    }
    let remaining = submission.target.saturating_duration_since(now);
    if submission.prompt.is_none() {
        return remaining;
    }
    match share {
        ShareStatus::Within => remaining.mul_f64(WITHIN_TIME_FRACTION),
        ShareStatus::Beyond { excess } => {
            let range = WITHIN_TIME_FRACTION - BEYOND_TIME_FRACTION;
            remaining.mul_f64(BEYOND_TIME_FRACTION + range * deficit(excess))
        }
    }
}

/// Returns the factor on the limits over the share: above 1 below an even share, below 1 above it.
fn limit_factor(excess: f64) -> f64 {
    (1.0 - EXCESS_WEIGHT * (excess - 1.0)).clamp(MIN_LIMIT_FACTOR, MAX_LIMIT_FACTOR)
}

/// Returns how far a workspace is below its share: 1 within its guaranteed share, and 0 at an even
/// share of what was given.
pub(super) fn shortfall(share: ShareStatus) -> f64 {
    match share {
        ShareStatus::Within => 1.0,
        ShareStatus::Beyond { excess } => deficit(excess),
    }
}

/// Returns how far a workspace is below an even share: from 0 to 1, at [`FULL_DEFICIT`].
fn deficit(excess: f64) -> f64 {
    ((1.0 - excess) / FULL_DEFICIT).clamp(0.0, 1.0)
}

/// Returns the prefill limit at engines that do not have the prefix cached.
///
/// A workspace below an even share is not restricted to the few engines that have its prefixes.
fn max_uncached_prefill(excess: f64) -> f64 {
    MAX_PREFILL_UNCACHED + (MAX_PREFILL_BEYOND - MAX_PREFILL_UNCACHED) * deficit(excess)
}
