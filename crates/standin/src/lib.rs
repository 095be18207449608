//! Stand-ins for what the routers meet outside: the platform, model engines
//! and plain services.
//!
//! Each stand-in keeps its own record of every run, so that a test can join
//! what callers saw with what servers did.

pub mod engine;
pub mod http_util;
pub mod plain;
pub mod platform;
pub mod runs;
pub mod text;
