//! Settings of the reducer's policies; each key is named like its field in [`Params`].

use hibiscusrail_core::Params;
use hibiscusrail_core::params::Policy;

use crate::reader::Reader;
use crate::value::Value;

/// Section with the policies' parameters.
const POLICY: &str = "policy";

impl Value for Policy {
    const ALLOWED: &'static str = "fleet_fair, local_fair or fifo";

    fn parse(text: &str) -> Option<Self> {
        match text {
            "fleet_fair" => Some(Self::FleetFair),
            "local_fair" => Some(Self::LocalFair),
            "fifo" => Some(Self::Fifo),
            _ => None,
        }
    }
}

/// Reads the setting of each listed field of [`Params`], or takes the field's default.
macro_rules! params {
    ($reader:ident, $($field:ident),* $(,)?) => {{
        let defaults = Params::new();
        Params {
            $($field: $reader.optional(POLICY, stringify!($field), defaults.$field),)*
            ..defaults
        }
    }};
}

/// Reads all policy parameters and checks that they are consistent.
#[allow(clippy::needless_update)]
pub fn read(r: &mut Reader) -> Params {
    let params = params!(
        r,
        policy,
        grant_life,
        period,
        demand_delay,
        full_memory,
        orphan_life,
        report_lag,
        recover_retry,
        prefix_affinity,
        first_cost,
        progress_timeout,
        first_timeout,
        whole_timeout,
        ask_timeout,
        silence_memory,
        probe_period,
        probe_timeout,
        lookup_timeout,
        max_attempts,
        retry_burst,
    );
    if params.demand_delay > params.period {
        r.conflict(POLICY, "demand_delay", "a time up to period");
    }
    if params.demand_delay >= params.grant_life {
        r.conflict(POLICY, "demand_delay", "a time below grant_life");
    }
    params
}
