//! Generators and oracles for stateful fuzzing.

pub mod claims;
pub mod config;
