//! Load and experiment tool.
//!
//! [`deployment`] describes a fleet with its back ends, [`fleet`] starts it as
//! processes on loopback and stops it by pid, [`client`] sends single requests
//! and checks their answers, [`generator`] sends a load, [`report`] sums up
//! what came back, [`audit`] compares it with the servers' own records, and
//! [`experiment`] holds the measurements.

pub mod audit;
pub mod call;
pub mod client;
pub mod deployment;
pub mod experiment;
pub mod fleet;
pub mod generator;

pub mod machine;
pub mod metrics;
pub mod report;
