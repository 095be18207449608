//! Load and experiment tool.
//!
//! [`deployment`] describes a fleet with its back ends, [`fleet`] starts it as
//! processes on loopback and stops it by pid, [`client`] sends single requests
//! and checks their answers, [`generator`] sends an open-loop load and
//! [`report`] sums up what came back.

pub mod client;
pub mod deployment;
pub mod experiment;
pub mod fleet;
pub mod generator;
pub mod report;
