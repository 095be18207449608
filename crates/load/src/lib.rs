//! Load and experiment tool.
//!
//! [`deployment`] describes a fleet with its backend servers and platform, [`fleet`] starts its
//! processes on loopback and stops them by pid, [`client`] sends single requests and checks their
//! answers, [`generator`] sends a load, [`report`] summarises the results, [`audit`] checks them
//! against the servers' own records, and [`experiment`] holds the measurements.

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
