//! Tests of the router's decisions, without I/O and on a simulated clock.

mod admission;
mod cold_return;
mod connections;
mod crowded_router;
mod departures;
mod engines;
mod flooded_router;
mod flooded_zone;
mod freshness;
mod incremental_reports;
mod kv_transfers;
mod lopsided_wave;
mod lost_work;
mod notices;
mod outcomes;
mod overload;
mod placement;
mod quota;
mod registry;
mod reports;
mod retries;
mod server_rates;
mod stalls;
mod store_restored;
mod support;
mod suspects;
