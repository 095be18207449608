//! The router daemon: runs the reducer on a single-threaded compio event loop.
//!
//! [`shell`] passes events to the reducer and executes the effects that it returns. [`caller`]
//! serves callers, [`upstream`] sends requests to backend servers, [`peers`] exchanges datagrams
//! with other routers and [`platform`] reads the platform's table. [`admin`] and [`rpc`] serve
//! operators, [`metrics`] collects metrics and [`findings`] logs errors in the configuration.

pub mod admin;
pub mod caller;
pub mod claims;
pub mod delivery;
pub mod drops;
pub mod findings;
pub mod load;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod refusal;
pub mod replay;
pub mod rpc;
pub mod secrets;
pub mod shell;
pub mod start;
pub mod stop;
pub mod upstream;
