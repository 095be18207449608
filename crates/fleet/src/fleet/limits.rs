//! How full a server may be for a request to begin there.
//!
//! The limits fall with what a workspace has received beyond others, so that
//! admissions settle where what was given is even.

use std::time::{Duration, Instant};

use crate::event::{Ask, Inputs};
use crate::quota::Standing;

/// Part of the time to the target in which a request within its share has to begin.
const WITHIN_PART: f64 = 0.7;
/// The same for a request of a workspace that has its share already.
const BEYOND_PART: f64 = 0.3;
/// Part of the allowed time that a prompt may wait which alone takes longer to read.
const LONG_PROMPT_WAIT: f64 = 0.3;
/// Part of its time that an engine may spend on reading prompts while requests
/// within their share are admitted: streams then take up to seven times as long
/// as on an idle engine, and still end in the time that callers have.
const READING_WITHIN: f64 = 0.85;
/// The same for requests beyond their share: streams take twice as long.
const READING_BEYOND: f64 = 0.55;
/// The same for those whose shared prefix the engine would have to read as well.
const READING_ELSEWHERE: f64 = 0.3;
/// Time for each token up to which requests within their share are admitted;
/// the longest answers, of about a thousand tokens, then end in ten seconds.
const PACE_WITHIN: Duration = Duration::from_millis(11);
/// The same for requests beyond their share.
const PACE_BEYOND: Duration = Duration::from_millis(8);
/// Part of an engine's places that may be taken while requests within their share
/// are admitted: routers learn of each other's requests late, and one too many
/// waits until a stream ends.
const PLACES_WITHIN: f64 = 0.9;
/// The same for requests beyond their share.
const PLACES_BEYOND: f64 = 0.75;
/// The same for those whose workspace has the least.
const MOST_PLACES_BEYOND: f64 = 0.85;
/// Part of an even share that a workspace lacks from which any engine will do.
const ELSEWHERE_LACKING: f64 = 0.4;
/// How much the limits fall for each even share that a workspace has in excess.
const EXCESS_WEIGHT: f64 = 0.5;
/// Least part of the limits: a workspace alone is not held back by its past.
const LEAST_PRIORITY: f64 = 0.4;
/// Most: what a workspace without anything may use beyond others.
const MOST_PRIORITY: f64 = 1.25;

/// Returns whether the server can read more without slowing its streams too much.
///
/// `holds` says whether it holds the shared prefix of the prompt.
pub(super) fn has_room(inputs: &Inputs, holds: bool, standing: Standing) -> bool {
    let (most, slowest, places) = match standing {
        Standing::Within => (READING_WITHIN, PACE_WITHIN, PLACES_WITHIN),
        Standing::Beyond { excess } => {
            let part = priority(excess);
            let most = if holds {
                READING_BEYOND
            } else {
                elsewhere(excess)
            };
            (
                most * part,
                PACE_BEYOND.mul_f64(part),
                (PLACES_BEYOND * part).min(MOST_PLACES_BEYOND),
            )
        }
    };
    inputs.reading <= most && inputs.pace <= slowest && inputs.taken <= places
}

/// Returns whether a request may begin in time.
///
/// A prompt that takes longer to read than is allowed would be refused for
/// ever; it may begin wherever it hardly waits for others.
pub(super) fn fits(begin: Duration, wait: Duration, allowed: Duration) -> bool {
    begin <= allowed || wait <= allowed.mul_f64(LONG_PROMPT_WAIT)
}

/// Returns the time in which a request has to begin.
pub(super) fn allowance(now: Instant, ask: &Ask, begun: bool, standing: Standing) -> Duration {
    if begun {
        // The caller has part of the answer; any server that goes on is better than none.
        return ask.deadline.saturating_duration_since(now);
    }
    let left = ask.target.saturating_duration_since(now);
    if ask.prompt.is_none() {
        return left;
    }
    match standing {
        Standing::Within => left.mul_f64(WITHIN_PART),
        Standing::Beyond { .. } => left.mul_f64(BEYOND_PART),
    }
}

/// Returns the part of the limits beyond the share that applies at an excess.
///
/// Below an even share it is more than one, above it less: the limits settle
/// where what was given is even.
fn priority(excess: f64) -> f64 {
    (1.0 - EXCESS_WEIGHT * (excess - 1.0)).clamp(LEAST_PRIORITY, MOST_PRIORITY)
}

/// Returns the limit at engines that do not hold the prefix.
///
/// A workspace that has less than an even share is not bound to the engines
/// that hold its few prefixes.
fn elsewhere(excess: f64) -> f64 {
    let lacking = ((1.0 - excess) / ELSEWHERE_LACKING).clamp(0.0, 1.0);
    READING_ELSEWHERE + (READING_BEYOND - READING_ELSEWHERE) * lacking
}
