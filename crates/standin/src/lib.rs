//! Stand-ins for what the routers meet outside: the platform, model engines
//! and plain services, and a relay that cuts the network between them.
//!
//! Each stand-in keeps its own record of every run, so that a test can join
//! what callers saw with what servers did. [`host`] serves a stand-in over
//! HTTP and lets its [`faults`] strike.

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
