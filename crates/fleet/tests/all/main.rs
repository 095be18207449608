//! Tests of the fleet's decisions, without I/O and on a clock moved by hand.

mod cold_return;
mod copies;
mod crowded_router;
mod engines;
mod news;
mod outcomes;
mod overload;
mod placement;
mod quota;
mod reports;
mod retries;
mod roster;
mod support;
