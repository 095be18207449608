//! Experiments on real processes.

pub mod path;
