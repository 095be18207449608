//! Coordination of a router fleet that shares model capacity among many workspaces.
//!
//! This crate re-exports the parts that other programs embed: the reducer that makes
//! all decisions ([`core`]), the messages between routers ([`wire`]), access to the
//! platform's table ([`platform`]) and validated settings ([`settings`]).

pub use hibiscusrail_core as core;
pub use hibiscusrail_settings as settings;
pub use hibiscusrail_store as platform;
pub use hibiscusrail_wire as wire;
