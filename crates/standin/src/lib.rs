//! Stand-ins (simulated servers) for the routers' environment in tests: the platform, model
//! engines, plain services (other HTTP services) and a relay that partitions the network.
//!
//! Engines and plain services log the requests they process in [`runs`], so that a test can compare
//! what callers received with what servers did. [`host`] serves a stand-in and injects [`faults`].

mod batch;
pub mod cache;
pub mod engine;
pub mod faults;
pub mod host;
pub mod http_util;
pub mod plain;
pub mod platform;
pub mod rate;
pub mod relay;
pub mod runs;
pub mod table;
pub mod text;
