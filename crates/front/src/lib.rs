//! The daemon of routers that share engines: one compio loop on one thread
//! around the reducer of `hibiscusrail-fleet`.
//!
//! [`caller`] serves callers, [`upstream`] sends attempts to backend servers
//! and [`answer`] passes their answers on; [`shell`] turns what they see into
//! the reducer's events. [`peers`] exchanges reports with the other routers,
//! [`watch`] follows the store through the [`Store`](watch::Store) that the
//! deployment's adapter brings, and [`shape`] holds the names by which the
//! deployment's callers and servers speak.

pub mod answer;
pub mod caller;
pub mod metrics;
pub mod outgoing;
pub mod peers;
pub mod refusal;
pub mod shape;
pub mod shell;
pub mod start;
pub mod state;
pub mod stop;
pub mod upstream;
pub mod watch;

pub use start::{StartError, run};
