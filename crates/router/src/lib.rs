//! The router daemon: one compio loop on one thread around the reducer.
//!
//! [`shell`] turns what happens on sockets into the reducer's events and
//! carries out its effects; [`caller`] serves callers, [`upstream`] talks to
//! backend servers, [`peers`] exchanges datagrams with other routers and
//! [`platform`] reads the platform's table. [`admin`] and [`rpc`] serve
//! operators, [`metrics`] counts what happens.

pub mod admin;
pub mod caller;
pub mod claims;
pub mod delivery;
pub mod drops;
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
