//! Stand-ins (simulated servers) for the routers' environment in tests: the platform,
//! model engines, plain services (HTTP services that aren't model engines), and a relay
//! that partitions the network between zones.
//!
//! Engines and plain services log every request they process in [`runs`], so that a test
//! can compare what callers received with what servers did. [`host`] serves a stand-in
//! over HTTP and injects its [`faults`].

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
